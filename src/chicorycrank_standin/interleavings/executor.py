"""Executors of the search, with the incarnations of the platform's stand-in."""

from collections.abc import Callable
from typing import Any

from chicorycrank.model.batch import TaskEnd, WorkerReport, WorkerState
from chicorycrank.model.ids import Incarnation as IncarnationId
from chicorycrank.model.ids import RackId, ServiceId, TaskId
from chicorycrank.platform.executor import (
    CALL_TIMEOUT_S,
    END_KIND_BY_NAME,
    HOLD_TIMEOUT_MARGIN_S,
    START_ANSWER_BY_REASON,
    incarnation_of,
)
from chicorycrank.ports.executor import (
    ExecutorStatus,
    ExecutorUnreachableError,
    NumberedEnd,
    OtherIncarnationError,
    RunningTask,
    StartAnswer,
    StartOrder,
)
from chicorycrank_standin.interleavings.calls import Calls, CallStruckError
from chicorycrank_standin.interleavings.scheduler import START, START_S, Scheduler, Thread
from chicorycrank_standin.platform.incarnation import Incarnation
from chicorycrank_standin.platform.run_recorder import RunRecord, RunRecorder

ACCELERATORS = 8
RUN_CHECK_INTERVAL_S = 0.05
STOP_S = 0.1  # until a stopped run is listed
SERVICE = ServiceId("service")


class FencedError(Exception):
    """The executor has received a higher fencing token."""


class SimulatedExecutor:
    """Executor with its address; ends and restarts when it is told to.

    :ivar life: present incarnation; None while the executor is down
    :ivar frozen_until: virtual time until which it carries out no call
    :ivar refuses_until: virtual time until which its address refuses connections
    :ivar cut_until: virtual time until which nothing passes between it and its agent
    """

    def __init__(self, name: str, agent: str, scheduler: Scheduler, recorder: RunRecorder) -> None:
        self.name = name
        self.agent = agent
        self.frozen_until = 0.0
        self.refuses_until = 0.0
        self.cut_until = 0.0
        self.earlier_heartbeats: list[dict[str, Any]] = []
        self.down_until = 0.0
        self._scheduler = scheduler
        self._recorder = recorder
        self._id_number = 0
        self._polling: list[Thread] = []
        self._is_checking = False
        self._is_clock_stopped = False
        # Called with each run that ends other than as done.
        self.on_broken: Callable[[RunRecord], None] = lambda record: None
        self.life: Incarnation | None = None
        self.begin_life(keeps_id=False)

    @property
    def is_frozen(self) -> bool:
        """Whether it carries out no call now."""
        return self.frozen_until > self._scheduler.now_s

    @property
    def is_cut(self) -> bool:
        """Whether nothing passes between it and its agent now."""
        return self.cut_until > self._scheduler.now_s

    def begin_life(self, *, keeps_id: bool) -> None:
        """Start an incarnation."""
        if self.life is not None:
            return
        self._id_number += not keeps_id
        self.life = Incarnation(
            f"{self.name}-{self._id_number}",
            self.name,
            self.agent,
            self._recorder,
            wall_s=lambda: START.timestamp() + self._scheduler.now_s - START_S,
        )
        self._scheduler.note(f"{self.name}: incarnation {self.life.instance} begins")

    def end_life(self, kind: str, down_s: float, *, keeps_id: bool) -> None:
        """End the present incarnation; another one starts after some time."""
        if self.life is None:
            return
        self.earlier_heartbeats.append(self.next_heartbeat())
        records = list(self.life.runs.values())
        self.life.end_all(kind)
        self.life = None
        for record in records:
            self._scheduler.note(f"{record}: ends, {kind}")
            self.on_broken(record)
        self.down_until = self._scheduler.now_s + down_s
        self._wake_polling()
        self._scheduler.at(self.down_until, lambda: self.begin_life(keeps_id=keeps_id))

    def freeze(self, duration_s: float, *, stops_clock: bool) -> None:
        """Carry out no call for some time; the clock may stand still."""
        if self.is_frozen:
            return
        now_s = self._scheduler.now_s
        self.frozen_until = now_s + duration_s
        self._is_clock_stopped = stops_clock
        life = self.life
        if stops_clock and life is not None:
            life.stop_clock()

        def thaw() -> None:
            self._is_clock_stopped = False
            if life is not None and life is self.life:
                life.record_freeze(duration_s, stops_clock=stops_clock)

        self._scheduler.at(self.frozen_until, thaw)

    def next_heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat of the present incarnation."""
        assert self.life is not None
        self.life.heartbeat_number += 1
        return {
            **self.life.heartbeat_fields("", ACCELERATORS),
            "instance": self.life.instance,
        }

    def _wake_polling(self) -> None:
        threads, self._polling = self._polling, []
        for thread in threads:
            self._scheduler.wake(thread)

    def break_gang(self, record: RunRecord) -> None:
        """End the members here of the gang of a run that has ended elsewhere."""
        if self.life is not None and record.members > 1:
            self.life.break_gang(record.task, record.run)
            self._check_runs_soon()

    def _check_runs_soon(self) -> None:
        if not self._is_checking:
            self._is_checking = True
            self._scheduler.at(self._scheduler.now_s + RUN_CHECK_INTERVAL_S, self._check_runs)

    def _check_runs(self) -> None:
        self._is_checking = False
        life = self.life
        if life is None:
            return
        before = dict(life.runs)
        if not self._is_clock_stopped:
            life.lapse_if_due()
        if not self.is_frozen:
            life.end_due_runs()
        for key, record in before.items():
            if key not in life.runs:
                self._scheduler.note(f"{record}: ends, {record.end_kind}")
                if record.end_kind not in ("done", "broken"):
                    self.on_broken(record)
        if life.unacknowledged_ends and not self.is_frozen:
            self._wake_polling()
        if life.runs:
            self._check_runs_soon()

    # What a call does when it is carried out.

    def _enter(self, incarnation: IncarnationId, fence: int) -> Incarnation:
        life = self.life
        if life is None:
            raise ExecutorUnreachableError("down", refused=True)
        if incarnation.rpartition(":")[0] != life.instance:
            raise OtherIncarnationError(life.instance)
        if fence < life.fencing_token:
            raise FencedError
        life.fencing_token = fence
        return life

    def start(self, order: StartOrder, sent_at: float) -> StartAnswer:
        """Carry out a start."""
        life = self._enter(order.incarnation, order.fence)
        if (order.task, order.run) in life.runs:
            return StartAnswer.STARTED
        body = {
            "task": order.task,
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
        }
        reason = life.find_refusal(body)
        if reason:
            return START_ANSWER_BY_REASON[reason]
        record = life.start(body, sent_at)
        self._scheduler.note(f"{record}: STARTS on {life.instance}")
        self._check_runs_soon()
        return StartAnswer.STARTED

    def stop(self, task: TaskId, run: int, fence: int, incarnation: IncarnationId) -> bool:
        """Carry out a stop."""
        life = self._enter(incarnation, fence)
        life.stop(task, run, self._scheduler.now_s + STOP_S)
        self._scheduler.note(f"{self.name}: stop of {task} run {run} accepted")
        return True

    def hold(
        self, fence: int, last_seen: int, deadline_ms: int | None, incarnation: IncarnationId
    ) -> Incarnation:
        """Carry out the first part of a status call."""
        life = self._enter(incarnation, fence)
        life.extend_lease(deadline_ms or 0)
        life.acknowledge_ends(last_seen)
        return life

    def wait_for_end(self, life: Incarnation, wait_s: float) -> None:
        """Block until an incarnation lists an end or has ended."""
        if not life.unacknowledged_ends and self.life is life and wait_s > 0:
            self._polling.append(self._scheduler.current)
            self._scheduler.wait(wait_s)


class ExecutorClient:
    """Client of one agent process; implements the port of the executor."""

    def __init__(self, executor: SimulatedExecutor, scheduler: Scheduler, calls: Calls) -> None:
        self._executor = executor
        self._scheduler = scheduler
        self._calls = calls

    def _call(self, name: str, work: Callable[[], Any], timeout_s: float, late: Any = None) -> Any:
        executor, scheduler = self._executor, self._scheduler

        def pass_cut() -> None:
            if executor.is_cut:
                scheduler.sleep(timeout_s)
                raise ExecutorUnreachableError("cut", timed_out=True)

        def arrive() -> Any:
            pass_cut()
            if executor.life is None or executor.refuses_until > scheduler.now_s:
                raise ExecutorUnreachableError("refused", refused=True)
            if executor.is_frozen:
                if executor.frozen_until - scheduler.now_s > timeout_s:
                    scheduler.at(executor.frozen_until, lambda: self._carry_out_late(late or work))
                    scheduler.sleep(timeout_s)
                    raise ExecutorUnreachableError("frozen", timed_out=True)
                scheduler.sleep(executor.frozen_until - scheduler.now_s)
            answer = work()
            pass_cut()
            return answer

        try:
            return self._calls.make(f"executor {name}", arrive, timeout_s, apply_late=late or work)
        except CallStruckError as error:
            raise ExecutorUnreachableError(str(error), timed_out=True) from error

    def _carry_out_late(self, work: Callable[[], Any]) -> None:
        try:
            work()
        except (ExecutorUnreachableError, OtherIncarnationError, FencedError) as error:
            self._scheduler.note(f"late call has no effect: {type(error).__name__}")

    def start(self, order: StartOrder) -> StartAnswer:
        """Start a run."""
        sent_at = self._scheduler.now_s
        name = f"start {order.task} run {order.run}"
        try:
            answer: StartAnswer = self._call(
                name, lambda: self._executor.start(order, sent_at), CALL_TIMEOUT_S
            )
        except FencedError:
            return StartAnswer.FENCED
        return answer

    def stop(self, task: TaskId, run: int, fence: int, incarnation: IncarnationId) -> bool:
        """Stop a run."""
        name = f"stop {task} run {run}"
        try:
            return bool(
                self._call(
                    name,
                    lambda: self._executor.stop(task, run, fence, incarnation),
                    CALL_TIMEOUT_S,
                )
            )
        except FencedError:
            return False

    def set_pace(
        self, task: TaskId, run: int, percent: int, fence: int, incarnation: IncarnationId
    ) -> bool:
        """Accept any pace."""
        return True

    def extend_lease(
        self,
        *,
        fence: int,
        last_acknowledged_end: int,
        deadline_ms: int | None,
        wait_s: float,
        incarnation: IncarnationId,
    ) -> ExecutorStatus:
        """Extend the lease and return the status."""
        executor, scheduler = self._executor, self._scheduler

        def hold() -> Incarnation:
            return executor.hold(fence, last_acknowledged_end, deadline_ms, incarnation)

        def poll() -> ExecutorStatus:
            life = hold()
            executor.wait_for_end(life, wait_s)
            if executor.is_frozen:
                scheduler.sleep(min(executor.frozen_until - scheduler.now_s, HOLD_TIMEOUT_MARGIN_S))
            if executor.life is not life or executor.is_frozen:
                raise ExecutorUnreachableError("the connection broke off")
            return status_of(life)

        try:
            status: ExecutorStatus = self._call("hold", poll, wait_s + HOLD_TIMEOUT_MARGIN_S, hold)
        except FencedError as error:
            raise PermissionError from error
        return status


def status_of(life: Incarnation) -> ExecutorStatus:
    """Return the status that an incarnation answers."""
    status = life.status()
    return ExecutorStatus(
        incarnation=incarnation_of(life.instance, life.born_ms),
        clock_ms=status["clockMs"],
        running=[
            RunningTask(TaskId(row[0]), row[1], row[2], row[3], 0.0) for row in status["running"]
        ],
        ends=[
            NumberedEnd(number, TaskEnd(TaskId(task), run, END_KIND_BY_NAME[kind], checkpoint))
            for number, task, run, kind, checkpoint in status["finished"]
        ],
    )


def report_of(heartbeat: dict[str, Any]) -> WorkerReport:
    """Return the executor's part of a report from a heartbeat."""
    capacity = heartbeat["capacity"]
    return WorkerReport(
        incarnation=incarnation_of(heartbeat["instance"], heartbeat["born"]),
        executor=heartbeat["instance"],
        service=SERVICE,
        zone=heartbeat["zone"],
        state=WorkerState.READY if heartbeat["state"] == "ready" else WorkerState.DRAINING,
        accelerators=capacity["gpus"],
        cores=capacity["cpu"],
        memory_mb=capacity["memMb"],
        labels=tuple(heartbeat["labels"]),
        rack=RackId("r1"),
        remaining_ms=heartbeat.get("remainingMs", 0),
    )
