"""Stand-in for an executor of the external platform, which sends heartbeats to its agent."""

import json
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Any

from chicorycrank_standin.background import start_daemon_thread
from chicorycrank_standin.forwarder import Forwarder
from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response
from chicorycrank_standin.platform.heartbeats import (
    HEARTBEAT_INTERVAL_S,
    HeartbeatSender,
    Message,
)
from chicorycrank_standin.platform.incarnation import Incarnation
from chicorycrank_standin.platform.run_recorder import RunRecord, RunRecorder

RUN_CHECK_INTERVAL_S = 0.02
STOP_RANGE_S = (0.0, 0.35)  # time until the end of a stopped run is listed
CALL_DELAY_RANGE_S = (2.0, 6.0)  # of calls that get no answer and are executed late
ANSWER_DELAY_RANGE_S = (0.0, 1.5)  # of answers that come late and out of order
CALLER_TIMEOUT_S = 1.0  # exceeds the timeout of every caller
ANSWERED_CRASH_SHARE = 0.5  # share of the crashes by a task that come after the answer to its start
CRASH_DELAY_S = 0.005  # time from this answer to the crash
DOWN_RANGE_S = (1.0, 3.0)  # time until an executor that a task has crashed is back
SAME_ID_SHARE = 0.5  # share of the restarts after which the executor has the id that it had
# A smaller capacity counts once the agent must know of it.
CAPACITY_NOTICE_S = 4.0 + HEARTBEAT_INTERVAL_S


@dataclass(frozen=True, kw_only=True)
class _Call:
    """Call that has arrived, and may be executed late.

    :param arrived_at: monotonic time
    :param life: incarnation that it has arrived at
    """

    request: HttpRequest
    arrived_at: float
    life: Incarnation


_CallHandler = Callable[[_Call], HttpResponse]


class ExecutorMode(Enum):
    """Fault that the executor injects into calls; each affects about half of them.

    PROTOCOL.md, "Running tasks": a call that gets no response may be executed seconds later, after
    newer calls; responses on different connections may overtake each other; an unhealthy executor
    refuses a start with 429 or 503 and does nothing.
    """

    NORMAL = "normal"
    LATE_STARTS = "late-starts"  # starts are executed late and get no complete answer
    LATE_CALLS = "late-calls"  # starts and stops are answered late, or executed late
    UNHEALTHY = "unhealthy"  # starts are refused


class BatchExecutorStandIn:
    """Executor that runs each task for the number of seconds in its payload.

    A task whose payload says that it crashes takes the executor down, before or just after the
    answer to its start; the executor is back after some seconds as a new incarnation. It starts
    tasks beyond its capacity and reports a violation.

    :param agent_address: ``host:port`` of the agent
    :param agent: name of the agent in the records of runs
    :ivar is_up: the present incarnation runs
    :ivar link: forwarder through which the agent calls; it is closed while the executor is down
    :ivar earlier_messages: the last heartbeat of each earlier incarnation, and its exit notice
    """

    def __init__(
        self,
        name: str,
        agent_address: str,
        run_recorder: RunRecorder,
        rng: random.Random,
        *,
        accelerators: int,
        agent: str = "",
    ) -> None:
        self.name = name
        self.mode = ExecutorMode.NORMAL
        self.run_recorder = run_recorder
        self.link: Forwarder | None = None
        self.earlier_messages: list[Message] = []
        self.is_up = True
        self._agent = agent
        self._rng = rng
        self._restart_rng = random.Random(f"restarts {name}")
        self._accelerators = accelerators
        self._full_accelerators = accelerators
        # The capacity that starts are checked against, and the time until which it is.
        self._earlier_capacity = (accelerators, float("-inf"))
        self._condition = threading.Condition()
        self._freeze_lock = threading.Lock()
        self._is_thawed = threading.Event()
        self._is_thawed.set()
        self._is_clock_stopped = False
        self._stop = threading.Event()
        self._back_at = float("inf")
        self._id_number = 1
        self._life = Incarnation(f"{name}-1", name, agent, run_recorder)
        self.heartbeats = HeartbeatSender(
            name, agent_address, self._next_heartbeat, self._record_acknowledged_heartbeat
        )
        self.heartbeats.send_soon()
        start_daemon_thread(self._end_runs_forever, f"work-{name}")

    def routes(self) -> dict[str, Handler]:
        """Return the HTTP handlers by route."""
        return {
            "POST /-/run-start": self._when_thawed(self._handle_start),
            "POST /-/run-stop": self._when_thawed(self._handle_stop),
            "POST /-/hold": self._when_thawed(self._handle_hold),
            "POST /-/pace": lambda request: json_response({"clockMs": self._life.clock_ms()}),
        }

    def close(self) -> None:
        """Stop the threads."""
        self._stop.set()
        self.heartbeats.close()

    @property
    def instance(self) -> str:
        """Id of the present incarnation, or of the last one while the executor is down."""
        return self._life.instance

    @property
    def draining_since(self) -> float | None:
        """Monotonic time of the acknowledgement that this incarnation drains, or None."""
        return self._life.draining_since

    def is_running(self, task_prefix: str) -> bool:
        """Return whether a task whose name begins with a prefix runs here."""
        with self._condition:
            return any(task.startswith(task_prefix) for task, _ in self._life.runs)

    def set_capacity(self, accelerators: int | None) -> None:
        """Change the capacity that the next heartbeats report; None restores it."""
        with self._condition:
            if accelerators is None:
                accelerators = self._full_accelerators
            until = time.monotonic() + CAPACITY_NOTICE_S
            self._earlier_capacity = (max(self._capacity_in_force(), accelerators), until)
            self._accelerators = accelerators

    def _capacity_in_force(self) -> int:
        accelerators, until = self._earlier_capacity
        is_noticed = time.monotonic() >= until
        return self._accelerators if is_noticed else max(accelerators, self._accelerators)

    def crash(self, down_s: float = 0.0) -> None:
        """End all runs without notice, close the port and start again as a new incarnation.

        :param down_s: time in seconds until the new incarnation answers
        """
        with self._condition:
            self._end_life("crashed", down_s)

    def drain(self, remaining_s: float, *, down_s: float = float("inf")) -> None:
        """Report the state ``draining``; the executor exits after the remaining time.

        PROTOCOL.md, "Service discovery": it serves on for ``drainMs`` and at times many seconds
        more, says that it leaves, and ends.

        :param remaining_s: time in seconds in which the executor runs on
        :param down_s: time in seconds from the exit until a new incarnation answers
        """
        with self._condition:
            if not self.is_up or self._life.exits_at is not None:
                return
            self._life.exits_at = time.monotonic() + remaining_s
            self._life.down_s_after_exit = down_s
        self.heartbeats.send_soon()

    def freeze(self, duration_s: float, *, stops_clock: bool) -> None:
        """Suspend the executor and return after that; calls wait and are executed late.

        The lease of a frozen executor expires by its clock, unless the clock stands still.

        :param stops_clock: the machine is suspended, and the executor's clock with it
        """
        with self._freeze_lock:
            with self._condition:
                life = self._life
                self._is_clock_stopped = stops_clock
                self._is_thawed.clear()
                frozen_at = time.monotonic()
                if stops_clock:
                    life.stop_clock()
            time.sleep(duration_s)
            with self._condition:
                frozen_s = time.monotonic() - frozen_at
                life.record_freeze(frozen_s, stops_clock=stops_clock)
                self._is_clock_stopped = False
                self._is_thawed.set()
                self._condition.notify_all()

    def _when_thawed(self, handler: _CallHandler) -> Handler:
        def handle(request: HttpRequest) -> HttpResponse:
            call = _Call(request=request, arrived_at=time.monotonic(), life=self._life)
            self._is_thawed.wait()
            return handler(call)

        return handle

    def _exit(self) -> None:
        """End all runs, send the exit notice and close the port; the caller holds the lock."""
        notice = Message(instance=self._life.instance, body=None)
        self._end_life("left", self._life.down_s_after_exit)

        def send_notice() -> None:
            self.heartbeats.send(notice)

        start_daemon_thread(send_notice, f"exit-{self.name}")

    def _end_life(self, kind: str, down_s: float) -> None:
        """End the present incarnation; the caller holds the lock."""
        if self.is_up:
            self._life.heartbeat_number += 1
            last = Message.heartbeat(self._life.instance, self.heartbeat_fields())
            self.earlier_messages += [last, Message(instance=self._life.instance, body=None)]
        self._life.end_all(kind)
        self.is_up = False
        self._back_at = time.monotonic() + down_s
        if self.link is not None:
            self.link.set_closed(True)
        self._condition.notify_all()
        if down_s <= 0:
            self._begin_life()

    def _begin_life(self) -> None:
        """Start a new incarnation; the caller holds the lock.

        PROTOCOL.md, "Service discovery": it may have the id of the one before.
        """
        if self._restart_rng.random() >= SAME_ID_SHARE:
            self._id_number += 1
        instance = f"{self.name}-{self._id_number}"
        self._life = Incarnation(instance, self.name, self._agent, self.run_recorder)
        self.is_up = True
        if self.link is not None:
            self.link.set_closed(False)
        self.heartbeats.send_soon()

    def _check_preconditions(self, call: _Call, body: dict[str, Any]) -> HttpResponse | None:
        """Record the fencing token, or return an error if it or the incarnation is outdated.

        PROTOCOL.md, "Service discovery": an executor that has started again holds and knows nothing
        of before, so a late call ends with the incarnation that it has arrived at.
        """
        if not self._is_present(call.life):
            return _no_response()
        if call.request.headers.get("expect-instance", self.instance) != self.instance:
            return self._response(status=421)
        if body.get("fencingToken", 0) < self._life.fencing_token:
            return self._response(status=409, reason="fence")
        self._life.fencing_token = body.get("fencingToken", 0)
        return None

    def _response(self, *, status: int = 200, **fields: str) -> HttpResponse:
        return json_response({"clockMs": self._life.clock_ms(), **fields}, status=status)

    def _handle_start(self, call: _Call) -> HttpResponse:
        if self.mode is ExecutorMode.UNHEALTHY and self._rng.random() < 0.5:
            statuses = [HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE]
            return json_response({}, status=self._rng.choice(statuses))
        is_delaying = self.mode in (ExecutorMode.LATE_STARTS, ExecutorMode.LATE_CALLS)
        return self._execute(self._start_run, call, is_delaying=is_delaying)

    def _handle_stop(self, call: _Call) -> HttpResponse:
        is_delaying = self.mode is ExecutorMode.LATE_CALLS
        return self._execute(self._stop_run, call, is_delaying=is_delaying)

    def _execute(self, handler: _CallHandler, call: _Call, *, is_delaying: bool) -> HttpResponse:
        """Execute an order now, or late and without an answer; or delay the answer."""
        if not is_delaying or self._rng.random() < 0.5:
            return handler(call)
        if self.mode is ExecutorMode.LATE_CALLS and self._rng.random() < 0.5:
            response = handler(call)
            time.sleep(self._rng.uniform(*ANSWER_DELAY_RANGE_S))
            return response
        delay_s = self._rng.uniform(*CALL_DELAY_RANGE_S)

        def execute_late() -> None:
            self._is_thawed.wait()
            handler(call)

        timer = threading.Timer(delay_s, execute_late)
        timer.daemon = True
        timer.start()
        time.sleep(CALLER_TIMEOUT_S)
        return _no_response()

    def _start_run(self, call: _Call) -> HttpResponse:
        body = call.request.json()
        with self._condition:
            refusal = self._check_preconditions(call, body)
            if refusal is not None:
                return refusal
            if (body["task"], body["run"]) in self._life.runs:
                return self._response()
            reason = self._life.find_refusal(body)
            if reason:
                return self._response(status=409, reason=reason)
            record = self._life.start(body, call.arrived_at)
            if json.loads(body["spec"]).get("crashes"):
                if self._rng.random() < ANSWERED_CRASH_SHARE:
                    timer = threading.Timer(CRASH_DELAY_S, self._crash_by, (record, self._life))
                    timer.daemon = True
                    timer.start()
                    return self._response()
                self._crash_by(record, self._life)
                return _no_response()
            used_accelerators = sum(run.accelerators for run in self._life.runs.values())
            if used_accelerators > self._capacity_in_force():
                self.run_recorder.report_violation(
                    f"{self.name} uses {used_accelerators} accelerators: {sorted(self._life.runs)}"
                )
            return self._response()

    def _crash_by(self, record: RunRecord, life: Incarnation) -> None:
        """End an incarnation by a run, unless it has ended meanwhile."""
        with self._condition:
            if self._life is life and self.is_up:
                self.run_recorder.record_crash_by(record)
                self._end_life("crashed", self._rng.uniform(*DOWN_RANGE_S))

    def _stop_run(self, call: _Call) -> HttpResponse:
        body = call.request.json()
        with self._condition:
            refusal = self._check_preconditions(call, body)
            if refusal is not None:
                return refusal
            stops_at = time.monotonic() + self._restart_rng.uniform(*STOP_RANGE_S)
            self._life.stop(body["task"], body["run"], stops_at)
            return self._response()

    def _handle_hold(self, call: _Call) -> HttpResponse:
        """Extend the lease, remove acknowledged ends and return runs and ends.

        Waits until there is an end to return, for at most the time that the request names.
        """
        body = call.request.json()
        with self._condition:
            refusal = self._check_preconditions(call, body)
            if refusal is not None:
                return refusal
            life = self._life
            life.extend_lease(body.get("deadlineMs", 0))
            life.acknowledge_ends(body["lastSeen"])
            self._condition.wait_for(
                lambda: bool(life.unacknowledged_ends) or not self._is_present(life),
                body.get("waitMs", 0) / 1000,
            )
            self._condition.wait_for(self._is_thawed.is_set)
            return json_response(life.status()) if self._is_present(life) else _no_response()

    def _is_present(self, life: Incarnation) -> bool:
        return self.is_up and self._life is life

    def _end_runs_forever(self) -> None:
        while not self._stop.wait(RUN_CHECK_INTERVAL_S):
            with self._condition:
                if not self.is_up:
                    if time.monotonic() >= self._back_at:
                        self._begin_life()
                    continue
                if not self._is_clock_stopped:
                    self._life.lapse_if_due()
                if self._is_thawed.is_set():
                    exits_at = self._life.exits_at
                    if exits_at is not None and time.monotonic() >= exits_at:
                        self._exit()
                        continue
                    self._life.end_due_runs()
                if self._life.unacknowledged_ends:
                    self._condition.notify_all()

    def _next_heartbeat(self) -> Message | None:
        with self._condition:
            if not self.is_up or not self._is_thawed.is_set():
                return None
            self._life.heartbeat_number += 1
            return Message.heartbeat(self._life.instance, self.heartbeat_fields())

    def heartbeat_fields(self) -> dict[str, Any]:
        """Return the fields of a heartbeat."""
        address = self.link.address if self.link is not None else ""
        return self._life.heartbeat_fields(address, self._accelerators)

    def _record_acknowledged_heartbeat(self, message: Message) -> None:
        fields = json.loads(message.body or b"{}")
        with self._condition:
            life = self._life
            if fields["born"] == life.born_ms and fields["state"] == "draining":
                life.draining_since = life.draining_since or time.monotonic()


def _no_response() -> HttpResponse:
    """Return a response that breaks off, as if the connection was lost."""
    return HttpResponse(status=503, body=b"{}", is_truncated=True)
