"""Agent beside an executor: carries out the leader's order and reports the executor's state."""

import logging
import threading
from collections.abc import Sequence
from enum import Enum

import msgspec

from chicorycrank.batch.executor_clock import ExecutorClock
from chicorycrank.batch.keys import decode, encode, order_key, report_key
from chicorycrank.batch.leases import MAX_CONFIRMATION_AGE_S, executor_lease_s
from chicorycrank.batch.metrics import EXECUTORS_ENDED, HEARTBEATS_IGNORED, REPORTS_WRITTEN
from chicorycrank.batch.pacing import Pacer
from chicorycrank.batch.presence import Presence
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.run_driver import CallContext, RunDriver
from chicorycrank.batch.running_time import RunningTime
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.threads import keep_running
from chicorycrank.model.batch import WorkerReport, WorkerState, WorkOrder
from chicorycrank.model.ids import Incarnation, TargetId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import (
    BatchExecutor,
    ExecutorStatus,
    ExecutorUnreachableError,
    OtherIncarnationError,
)
from chicorycrank.ports.transactions import (
    MISSING,
    Conflict,
    Item,
    Revision,
    StoreUnavailableError,
    TransactionalStore,
    Write,
)

ORDER_WATCH_TIMEOUT_S = 2.0
# Limit of a long poll, which occupies a thread on the executor's machine.
LONG_POLL_S = 1.0
# The executor lists no end for a run that was stopped before it started, so that does not complete
# a long poll. Polls are short while runs may end in this way.
ENDING_RUNS_POLL_S = 0.1
RETRY_DELAY_S = 0.15
# Delay between polls while the executor lists ends that are not stored yet.
UNACKNOWLEDGED_WAIT_S = 0.5
# Ends that arrive within this time are reported in one write.
REPORT_BATCHING_DELAY_S = 0.01
COMMIT_TIMEOUT_S = 0.8

logger = logging.getLogger("absl")


class ExecutorEnd(Enum):
    """How an agent noticed the end of an incarnation of its executor."""

    EXITED = "exited"  # the executor announced its exit
    REFUSED = "refused"  # its address refused connections
    REPLACED = "replaced"  # the heartbeat of a later incarnation arrived
    UNRESPONSIVE = "unresponsive"  # its lease expired without a response


class BatchAgent:
    """Agent of one worker; one lock guards the state that its threads share.

    :param worker: id of the worker in the store
    :param max_lease_s: longest lease that the executor grants, in seconds
    """

    def __init__(
        self,
        worker: TargetId,
        store: TransactionalStore,
        executor: BatchExecutor,
        clock: Clock,
        *,
        max_lease_s: float,
    ) -> None:
        self._worker = worker
        self._store = store
        self._executor = executor
        self._clock = clock
        self._executor_clock = ExecutorClock(clock, executor_lease_s(max_lease_s))
        self._lock = threading.Condition()
        self._stop = threading.Event()
        self._order_replica = Replica(
            store, order_key(worker), self._apply_order_items, clock, wait_s=ORDER_WATCH_TIMEOUT_S
        )
        self.table = RunTable()
        # Slows filling tasks down while they slow down tasks that serve users.
        self._pacer = Pacer()
        self._run_driver = RunDriver(
            executor,
            clock,
            self.table,
            self._lock,
            self._stop,
            get_context=self._call_context,
            has_room=lambda run: self.table.has_room(run, self.report),
            on_fenced=self._invalidate_registration,
        )
        self.report = WorkerReport()
        self._written_report: WorkerReport | None = None
        self._revision = MISSING
        self._order_revision = MISSING
        self._is_registered = False
        self._heartbeat_number = -1
        self._executor_started_at_ms = 0
        # The executor was reported as gone and has not answered since.
        self._has_returned = False
        self._running_time = RunningTime(clock, self._stop)
        self._presence = Presence(store, worker, clock, self._stop)

    def start(self) -> None:
        """Start the threads."""
        self._order_replica.start()
        for work in (
            self._running_time.keep,
            self._presence.keep,
            self._extend_lease_forever,
            self._report_forever,
        ):
            keep_running(work, work.__qualname__, self._stop)

    def stop(self) -> None:
        """Stop the threads; tasks run on under their lease until the agent restarts."""
        self._stop.set()
        self._order_replica.stop()
        with self._lock:
            self._lock.notify_all()

    def dump(self) -> dict[str, object]:
        """Return the state of this agent for operators."""
        with self._lock:
            return {
                "worker": self._worker,
                "registered": self._is_registered,
                "presence_confirmed_s_ago": self._clock.monotonic() - self._presence.confirmed_at,
                "report": self._current_report(),
                "order": self.table.order,
                "running": sorted(self.table.runs_by_task),
            }

    # Heartbeats of the executor and the lease derived from them.

    def apply_heartbeat(
        self, report: WorkerReport, *, number: int, started_at_ms: int, clock_ms: int
    ) -> bool:
        """Apply a heartbeat of the executor; return false if a later one is known.

        :param number: sequence number within one incarnation of the executor
        :param started_at_ms: start time of the incarnation in milliseconds
        :param clock_ms: reading of the executor's clock in milliseconds
        """
        with self._lock:
            current = self.report
            if started_at_ms < self._executor_started_at_ms:
                self._record_ignored_heartbeat(report, number, "earlier-life")
                return False
            is_new_incarnation = report.incarnation != current.incarnation
            if not is_new_incarnation and number <= self._heartbeat_number:
                self._record_ignored_heartbeat(report, number, "late-number")
                return False
            if is_new_incarnation:
                logger.info(
                    "event=executor_started target=%s incarnation=%s",
                    self._worker,
                    report.incarnation,
                )
                if current.incarnation and current.state is not WorkerState.GONE:
                    self._record_executor_end(ExecutorEnd.REPLACED)
                    self._record_crash()
                self.table.discard_runs()
                self._is_registered = False
                self._executor_clock.reset()
            elif report.state is not current.state:
                logger.info("event=executor_state state=%s number=%d", report.state.name, number)
                self._has_returned = current.state is WorkerState.GONE
            self._heartbeat_number, self._executor_started_at_ms = number, started_at_ms
            self._executor_clock.record_reading(clock_ms)
            report.fence = current.fence
            self.report = report
            self._lock.notify_all()
            return True

    def _record_ignored_heartbeat(self, report: WorkerReport, number: int, reason: str) -> None:
        HEARTBEATS_IGNORED.labels(reason).inc()
        logger.info(
            "event=heartbeat_ignored target=%s incarnation=%s number=%d known=%s reason=%s",
            self._worker,
            report.incarnation,
            number,
            self.report.incarnation,
            reason,
        )

    def record_executor_exit(self, executor: str) -> None:
        """Record that the executor has exited."""
        with self._lock:
            if self.report.executor == executor and self.report.state is not WorkerState.GONE:
                self._record_executor_end(ExecutorEnd.EXITED)
                self.report.state = WorkerState.GONE
                self.table.discard_runs()
                self._lock.notify_all()

    def _deadline_ms(self) -> int | None:
        """Return the end of a new lease on the executor's clock, or None for no extension.

        After a loss of presence, the leader may have withdrawn the order that is known here, so the
        order has to be confirmed before the lease is extended.
        """
        confirmed_at = min(self._presence.confirmed_at, self._order_replica.confirmed_at)
        is_outdated = self._clock.monotonic() - confirmed_at >= MAX_CONFIRMATION_AGE_S
        if is_outdated or self._order_replica.confirmed_at < self._presence.resumed_at:
            return None
        return self._executor_clock.deadline_ms()

    def _call_context(self) -> CallContext:
        """Return the context of calls to the executor; the caller holds the lock."""
        return CallContext(
            incarnation=self.report.incarnation,
            is_ready=self.report.state is WorkerState.READY,
            fence=self.report.fence,
            deadline_ms=self._deadline_ms(),
        )

    def _invalidate_registration(self) -> None:
        """Request a new registration, as the executor has received a higher fencing token."""
        logger.warning(
            "event=registration_fenced target=%s fence=%d", self._worker, self.report.fence
        )
        with self._lock:
            self._is_registered = False
            self._lock.notify_all()

    # Orders of the leader.

    def _apply_order_items(self, items: Sequence[Item]) -> None:
        with self._lock:
            for item in items:
                if item.key != order_key(self._worker) or item.revision < self._order_revision:
                    continue
                self._order_revision = item.revision
                try:
                    order = decode(item.value, WorkOrder) if item.value else None
                except msgspec.DecodeError as error:
                    logger.warning("event=order_unreadable error=%s", error)
                    continue
                self._apply_order(order or WorkOrder(incarnation=Incarnation("")))

    def _apply_order(self, order: WorkOrder) -> None:
        logger.info(
            "event=order_received incarnation=%s tasks=%s",
            order.incarnation,
            ",".join(f"{a.task}/{a.run}{'!' if a.stop else ''}" for a in order.assignments),
        )
        self.table.order = order
        if self._is_registered:
            self.table.apply_order(order, self.report.incarnation)
            self._run_driver.submit_calls()
            self._lock.notify_all()

    # Lease extension and status of the executor.

    def _extend_lease_forever(self) -> None:
        while not self._stop.is_set():
            with self._lock:
                if not self._is_registered or self.report.state is WorkerState.GONE:
                    self._lock.wait(LONG_POLL_S)
                    continue
                if self._last_stored_end_number() < self.table.last_end_number:
                    # The executor does not delay its response while ends are unacknowledged.
                    self._lock.wait(UNACKNOWLEDGED_WAIT_S)
                context = self._call_context()
                last_acknowledged_end = self._last_stored_end_number()
                has_ending_runs = any(
                    r.starts_rejected_since is not None for r in self.table.runs_by_task.values()
                )
            sent_at = self._clock.monotonic()
            try:
                status = self._executor.extend_lease(
                    fence=context.fence,
                    last_acknowledged_end=last_acknowledged_end,
                    deadline_ms=context.deadline_ms,
                    wait_s=ENDING_RUNS_POLL_S if has_ending_runs else LONG_POLL_S,
                    incarnation=context.incarnation,
                )
                self._apply_status(status, sent_at)
            except PermissionError:
                self._invalidate_registration()
                self._stop.wait(RETRY_DELAY_S)
            except (ExecutorUnreachableError, OtherIncarnationError) as error:
                self._record_unreachable(error)
                self._stop.wait(RETRY_DELAY_S)

    def _apply_status(self, status: ExecutorStatus, sent_at: float) -> None:
        with self._lock:
            if status.incarnation != self.report.incarnation:
                logger.warning(
                    "event=other_incarnation_answered target=%s known=%s answered=%s",
                    self._worker,
                    self.report.incarnation,
                    status.incarnation,
                )
                return
            if self._has_returned:
                self._has_returned = False
                logger.warning(
                    "event=executor_answers_again target=%s incarnation=%s running=%s ends=%s",
                    self._worker,
                    status.incarnation,
                    ",".join(f"{row.task}/{row.run}" for row in status.running),
                    ",".join(f"{e.end.task}/{e.end.run}/{e.end.kind.name}" for e in status.ends),
                )
            self._executor_clock.record_reading(status.clock_ms)
            if self.table.apply_status(status, sent_at):
                self._lock.notify_all()
            self._run_driver.submit_calls()
            pace_changes = self._pacer.update(list(self.table.runs_by_task.values()), sent_at)
        for pace_change in pace_changes:
            self._pacer.send(pace_change, self._executor, self.report.fence)

    def _record_unreachable(self, error: ExecutorUnreachableError | OtherIncarnationError) -> None:
        """Record a failed call; report the executor as lost once nothing can be running there."""
        is_refused = isinstance(error, ExecutorUnreachableError) and error.refused
        with self._lock:
            is_lost = self._executor_clock.record_failed_call(is_refused=is_refused)
            if is_lost and self.report.state is not WorkerState.GONE:
                logger.warning("event=executor_lost target=%s error=%s", self._worker, error)
                self._record_executor_end(
                    ExecutorEnd.REFUSED if is_refused else ExecutorEnd.UNRESPONSIVE
                )
                if is_refused:
                    self._record_crash()
                self.report.state = WorkerState.GONE
                self._heartbeat_number = -1
                self.table.discard_runs()
                self._lock.notify_all()

    def _record_crash(self) -> None:
        """Report the runs of an executor that ended without notice as crashed.

        An executor that drains may end without an announcement.
        """
        if self.report.state is WorkerState.READY:
            self.table.record_crash(self._executor_clock.failed_since or self._clock.monotonic())

    def _record_executor_end(self, how: ExecutorEnd) -> None:
        """Log the end of an incarnation of the executor, with the runs that were there."""
        now_s = self._clock.monotonic()
        EXECUTORS_ENDED.labels(how.value).inc()
        logger.info(
            "event=executor_ended target=%s incarnation=%s how=%s state=%s runs=%s",
            self._worker,
            self.report.incarnation,
            how.value,
            self.report.state.name.lower(),
            ",".join(
                f"{task}/{run.assignment.run}/{run.age_s(now_s):.1f}s"
                for task, run in sorted(self.table.runs_by_task.items())
            ),
        )

    # Reports to the store.

    def _report_forever(self) -> None:
        self._order_replica.is_loaded.wait()
        while not self._stop.is_set():
            with self._lock:
                if not self._has_unwritten_changes():
                    self._lock.wait(LONG_POLL_S)
                    continue
                is_urgent = self.table.has_unaccepted()
            if not is_urgent:
                self._stop.wait(REPORT_BATCHING_DELAY_S)
            try:
                if self._is_registered:
                    self._write_report()
                else:
                    self._register()
            except StoreUnavailableError as error:
                logger.warning("event=report_failed target=%s error=%s", self._worker, error)
                self._stop.wait(RETRY_DELAY_S)

    def _last_stored_end_number(self) -> int:
        """Return the number of the last stored end of this incarnation of the executor."""
        written = self._written_report
        if written is None or written.incarnation != self.report.incarnation:
            return 0
        return written.seen

    def _has_unwritten_changes(self) -> bool:
        if not self.report.incarnation:
            return False
        return not self._is_registered or self._current_report() != self._written_report

    def _current_report(self) -> WorkerReport:
        return msgspec.structs.replace(
            self.report,
            ends=list(self.table.ends),
            seen=self.table.last_end_number,
            suspects=dict(self.table.suspects),
            checkpoints=dict(self.table.checkpoints),
            accepted=self.table.runs_to_accept(),
            cleared=dict(self.table.cleared),
        )

    def _register(self) -> None:
        """Register with the next fencing token and restore the state of the last report.

        The token makes the executor reject calls of an earlier agent, and delayed calls that were
        meant for an earlier incarnation of the executor.
        """
        item = self._store.read(report_key(self._worker))
        stored = WorkerReport()
        if item is not None and item.value:
            try:
                stored = decode(item.value, WorkerReport)
            except msgspec.DecodeError as error:
                logger.warning("event=report_unreadable target=%s error=%s", self._worker, error)
        with self._lock:
            self.report.fence = max(stored.fence, self.report.fence) + 1
            self.table.restore(
                stored, is_same_incarnation=stored.incarnation == self.report.incarnation
            )
            self._revision = item.revision if item is not None else MISSING
            incarnation = self.report.incarnation
        if not self._write_report():
            return
        with self._lock:
            if self.report.incarnation != incarnation:
                return
            self._is_registered = True
            logger.info(
                "event=registered target=%s incarnation=%s fence=%d",
                self._worker,
                incarnation,
                self.report.fence,
            )
            self.table.apply_order(self.table.order, incarnation)
            self._lock.notify_all()
            self._run_driver.submit_calls()

    def _write_report(self) -> bool:
        """Write the report; return whether it was written.

        It is not written if another agent of this worker has written it since, or if the order has
        changed while runs wait for their acceptance.

        Runs are accepted on condition that the order that names them is unchanged, so that the
        leader can withdraw runs that have not been accepted.
        """
        key = report_key(self._worker)
        with self._lock:
            report = self._current_report()
            expected = {key: self._revision}
            if self.table.has_unaccepted():
                expected[order_key(self._worker)] = self._order_revision
        value = encode(report)
        answer = self._store.commit(
            Write(expected=expected, values={key: value}), timeout_s=COMMIT_TIMEOUT_S
        )
        if isinstance(answer, Conflict):
            item = answer.items.get(key)
            if item is not None and item.revision == self._revision:
                logger.info("event=order_changed target=%s", self._worker)
                self._apply_order_items(list(answer.items.values()))
                return False
            if item is None or item.value != value:
                logger.warning("event=report_conflict target=%s", self._worker)
                with self._lock:
                    self._revision = MISSING
                    self._is_registered = False
                return False
            self._revision = item.revision
        else:
            self._revision = Revision(answer.revision)
        REPORTS_WRITTEN.inc()
        with self._lock:
            self._written_report = report
            if report.incarnation == self.report.incarnation:
                self.table.record_accepted(report.accepted)
                self._run_driver.submit_calls()
            self._lock.notify_all()
        return True
