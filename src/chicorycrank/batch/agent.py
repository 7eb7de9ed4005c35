"""Agent beside an executor: carries out the leader's order and reports the executor's state."""

import logging
from collections.abc import Sequence

import msgspec

from chicorycrank.batch.cancellation_checks import CancellationChecks
from chicorycrank.batch.confirmation import Confirmation, Confirmer
from chicorycrank.batch.executor_poller import ExecutorPoller
from chicorycrank.batch.executor_state import ExecutorEnd, ExecutorState, Heartbeat
from chicorycrank.batch.keys import decode, order_key
from chicorycrank.batch.leases import MAX_CONFIRMATION_AGE_S
from chicorycrank.batch.pacing import Pacer
from chicorycrank.batch.presence import Presence
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.report_store import (
    MAX_JOBS_PER_REPORT,
    JobsCancelledError,
    OrderChangedError,
    ReportConflictError,
    ReportStore,
)
from chicorycrank.batch.run_driver import CallContext, RunDriver
from chicorycrank.batch.running_time import RunningTime
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.threads import keep_running, make_condition, make_event
from chicorycrank.model.batch import WorkerReport, WorkerState, WorkOrder
from chicorycrank.model.ids import Incarnation, JobId, TargetId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import BatchExecutor, ExecutorStatus
from chicorycrank.ports.transactions import (
    MISSING,
    Item,
    StoreUnavailableError,
    TransactionalStore,
)

ORDER_WATCH_TIMEOUT_S = 2.0
REPORT_CHECK_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.15
# Ends that arrive within this time are reported in one write.
REPORT_BATCHING_DELAY_S = 0.01
# A process that stops waits for its last report no longer than this.
LAST_REPORT_TIMEOUT_S = 1.0

logger = logging.getLogger("absl")


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
        self._executor = executor
        self._clock = clock
        self._lock = make_condition()
        self._stop = make_event()
        self._reports_stop = False
        self._has_reported_last = make_event()
        self._running_time = RunningTime(clock, self._stop)
        self.executor_state = ExecutorState(worker, clock, self._running_time, max_lease_s)
        self._order_replica = Replica(
            store, order_key(worker), self._apply_order_items, clock, wait_s=ORDER_WATCH_TIMEOUT_S
        )
        self.table = RunTable()
        # Slows filling tasks down while they slow down tasks that serve users.
        self._pacer = Pacer()
        self._cancellation_checks = CancellationChecks(store, clock)
        self._run_driver = RunDriver(
            executor,
            clock,
            self.table,
            self._cancellation_checks,
            self._lock,
            self._stop,
            get_context=self._call_context,
            granting=self.executor_state.clock.granting,
            has_room=lambda run: self.table.has_room(run, self.report),
            on_fenced=self._invalidate_registration,
        )
        self._report_store = ReportStore(worker, store)
        self._order_revision = MISSING
        self._is_registered = False
        # Accepted runs that are not known here may have begun.
        self._may_be_present = True
        self._has_read_report = False
        # An earlier process has accepted runs, and this one is not registered yet.
        self._has_restored_runs = False
        self._poller = ExecutorPoller(
            worker,
            executor,
            clock,
            self._running_time,
            self.executor_state,
            self.table,
            self._lock,
            self._stop,
            get_context=self._call_context,
            stored_end=self._last_stored_end_number,
            apply_status=self._apply_status,
            on_fenced=self._invalidate_registration,
        )
        self._confirmer = Confirmer(
            worker,
            executor,
            clock,
            self._running_time,
            self.executor_state,
            self._poller.record_failed_call,
        )
        self._presence = Presence(store, worker, clock, self._stop, self._confirm_order)

    @property
    def report(self) -> WorkerReport:
        """The executor's part of the report, of the registered incarnation."""
        return self.executor_state.report

    def start(self) -> None:
        """Start the threads."""
        self._order_replica.start()
        for work in (
            self._running_time.keep,
            self._presence.keep,
            self._poller.run,
            self._report_forever,
        ):
            keep_running(work, work.__qualname__, self._stop)

    def stop(self, grace_s: float = 0.0) -> None:
        """Stop the threads; tasks run on under their lease until the agent restarts.

        With a grace time, the last report says when this lease expires, as the machine may be
        removed. Without it, the leader would have to assume that the lease is still extended.

        :param grace_s: longest time to wait for the ends of the runs of an executor that seems to
            have ended; without them, these runs wait until the whole worker counts as lost
        """
        deadline = self._clock.monotonic() + grace_s
        with self._lock:
            while self._awaits_ends and (wait_s := deadline - self._clock.monotonic()) > 0:
                self._lock.wait(min(wait_s, REPORT_CHECK_INTERVAL_S))
        with self._lock:
            self._reports_stop = grace_s > 0
            self._stop.set()
            self._lock.notify_all()
        self._order_replica.stop()
        if grace_s > 0:
            self._has_reported_last.wait(LAST_REPORT_TIMEOUT_S)

    def dump(self) -> dict[str, object]:
        """Return the state of this agent for operators."""
        with self._lock:
            return {
                "worker": self._worker,
                "registered": self._is_registered,
                "executor_ended": self.executor_state.end and self.executor_state.end.value,
                "has_candidates": self.executor_state.has_candidates,
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
        heartbeat = Heartbeat(
            report=report,
            number=number,
            started_at_ms=started_at_ms,
            clock_ms=clock_ms,
            received_at=self._clock.monotonic(),
        )
        with self._lock:
            is_new = self.executor_state.apply_heartbeat(heartbeat)
            if is_new:
                self._lock.notify_all()
            return is_new

    def record_executor_exit(self, executor: str) -> None:
        """Record the notice of an executor that it ends."""
        with self._lock:
            if self.executor_state.apply_exit_notice(executor):
                self._lock.notify_all()

    def _deadline_ms(self) -> int | None:
        """Return the end of a new lease on the executor's clock, or None for no extension.

        After a loss of presence, the leader may have withdrawn the order that is known here, so the
        order has to be read before the lease is extended.
        """
        confirmed_at = min(self._presence.confirmed_at, self._order_replica.confirmed_at)
        is_outdated = self._clock.monotonic() - confirmed_at >= MAX_CONFIRMATION_AGE_S
        if is_outdated or not self._is_order_read or self._stop.is_set():
            return None
        return self.executor_state.clock.deadline_ms()

    @property
    def _is_order_read(self) -> bool:
        """Whether the order was read since the presence was restored.

        An answered watch does not show it, as a watch may hear nothing of changes for a while.
        """
        return self._order_replica.read_at >= self._presence.resumed_at

    def _confirm_order(self) -> None:
        """Read the order after a loss of presence."""
        if self._is_order_read or self._presence.resumed_at > self._clock.monotonic():
            return
        try:
            self._order_replica.refresh()
        except StoreUnavailableError as error:
            logger.warning("event=order_read_failed target=%s error=%s", self._worker, error)
            return
        with self._lock:
            self._run_driver.submit_calls()

    def _call_context(self) -> CallContext:
        """Return the context of calls to the executor; the caller holds the lock."""
        return CallContext(
            incarnation=self.report.incarnation,
            is_registered=self._is_registered,
            is_reachable=self.executor_state.is_reachable,
            may_start=self.executor_state.may_start,
            is_ready=self.report.state is WorkerState.READY,
            fence=self.report.fence,
            deadline_ms=self._deadline_ms(),
        )

    def _invalidate_registration(self, fence: int) -> None:
        """Request a new registration, as the executor has received a higher fencing token.

        :param fence: token of the call that it rejected
        """
        with self._lock:
            if fence != self.report.fence:
                return
            logger.warning("event=registration_fenced target=%s fence=%d", self._worker, fence)
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
                order = order or WorkOrder(incarnation=Incarnation(""))
                logger.info(
                    "event=order_received incarnation=%s tasks=%s",
                    order.incarnation,
                    ",".join(f"{a.task}/{a.run}{'!' if a.stop else ''}" for a in order.assignments),
                )
                self._apply_order(order)

    def _apply_order(self, order: WorkOrder) -> None:
        self.table.order = order
        if not self._is_registered:
            return
        self.table.apply_order(order, self.report.incarnation, may_be_present=self._may_be_present)
        if self.executor_state.end is not None:
            self.table.end_unaccepted()
        self._run_driver.submit_calls()
        self._lock.notify_all()

    def _apply_status(
        self,
        status: ExecutorStatus,
        incarnation: Incarnation,
        sent_at: float,
        sent_at_running_s: float,
    ) -> None:
        with self._lock:
            if incarnation != self.report.incarnation:
                return
            self.executor_state.record_answer(status, sent_at, sent_at_running_s)
            self.table.apply_status(status, sent_at)
            self._lock.notify_all()
            self._run_driver.submit_calls()
            pace_changes = self._pacer.update(list(self.table.runs_by_task.values()), sent_at)
        for pace_change in pace_changes:
            self._pacer.send(pace_change, self._executor, self.report.fence)

    # Reports to the store.

    @property
    def _awaits_ends(self) -> bool:
        """Whether ends that no other process can prove soon are to be proven or reported."""
        state, written = self.executor_state, self._report_store.written
        seems_ended = state.clock.is_refusing or state.has_exit_notice
        if self._has_restored_runs:
            return seems_ended
        if written is None:
            return False
        # A registration may be lost, or not be written yet.
        if state.end is not None or written.incarnation != self.report.incarnation:
            return written.ends != self.table.ends
        return seems_ended and bool(self.table.tracked_runs())

    def _report_forever(self) -> None:
        self._order_replica.is_loaded.wait()
        while not self._stop.is_set():
            try:
                if not self._has_read_report:
                    self._restore_incarnation()
                self._report_once()
            except StoreUnavailableError as error:
                logger.warning("event=report_failed target=%s error=%s", self._worker, error)
                self._stop.wait(RETRY_DELAY_S)
        if self._reports_stop:
            self._report_stop()
        self._has_reported_last.set()

    def _report_stop(self) -> None:
        """Report when the lease expires under which the accepted runs go on."""
        with self._lock:
            lease_left_s = self.executor_state.clock.longest_lease_left_s()
            if not self._is_registered or not self.table.accepted or lease_left_s is None:
                return
            report = msgspec.structs.replace(
                self._current_report(),
                accepted=dict(self.table.accepted),
                lease_left_s=lease_left_s,
            )
        try:
            self._report_store.write(report, None)
        except (StoreUnavailableError, OrderChangedError, ReportConflictError) as error:
            logger.warning("event=stop_not_reported target=%s error=%s", self._worker, error)
            return
        logger.info("event=stop_reported target=%s lease_left_s=%.1f", self._worker, lease_left_s)

    def _restore_incarnation(self) -> None:
        """Go on with the incarnation of the stored report.

        An executor that is lost sends no heartbeat, and its runs wait until its end is proven.

        :raises StoreUnavailableError: the store did not respond
        """
        stored = self._report_store.read()
        with self._lock:
            self._has_read_report = True
            if stored.incarnation and not self.report.incarnation:
                self.executor_state.restore(stored)
                self._has_restored_runs = bool(stored.accepted)

    def _report_once(self) -> None:
        """Register the executor or write the report if one of them is due, or wait a while.

        :raises StoreUnavailableError: the store did not respond
        """
        with self._lock:
            candidate = self._next_registration()
            if candidate is None and not self._has_unwritten_changes():
                self._lock.wait(REPORT_CHECK_INTERVAL_S)
                return
            is_urgent = candidate is not None or self._has_unaccepted()
        if not is_urgent:
            self._stop.wait(REPORT_BATCHING_DELAY_S)
        if candidate is None:
            self._write_report()
        elif not self._register(candidate):
            self._wait_to_register()

    def _wait_to_register(self) -> None:
        """Wait after a registration that has failed.

        Each attempt reads the stored report. An executor that does not answer may be lost for good,
        so its attempts are rarer until a heartbeat comes.
        """
        with self._lock:
            state = self.executor_state
            if self.report.is_unreachable and not state.is_candidate_due:
                self._lock.wait(REPORT_CHECK_INTERVAL_S)
                return
        self._stop.wait(RETRY_DELAY_S)

    def _last_stored_end_number(self) -> int:
        """Return the number of the last stored end of this incarnation of the executor."""
        written = self._report_store.written
        if written is None or written.incarnation != self.report.incarnation:
            return 0
        return written.seen

    def _has_unwritten_changes(self) -> bool:
        return self._is_registered and self._current_report() != self._report_store.written

    def _has_unaccepted(self) -> bool:
        return self.table.has_unaccepted(includes_new=self.executor_state.accepts_runs)

    def _unaccepted_jobs(self) -> list[JobId]:
        return self.table.unaccepted_jobs(includes_new=self.executor_state.accepts_runs)

    def _current_report(self) -> WorkerReport:
        includes_new = self.executor_state.accepts_runs
        return msgspec.structs.replace(
            self.report,
            ends=list(self.table.ends),
            seen=self.table.last_end_number,
            suspects=dict(self.table.suspects),
            checkpoints=dict(self.table.checkpoints),
            work_rates=dict(self.table.work_rates),
            accepted=self.table.runs_to_accept(includes_new=includes_new),
            cleared=dict(self.table.cleared),
        )

    def _next_registration(self) -> Heartbeat | None:
        """Return the incarnation to register now: a candidate, or the registered one again."""
        candidate = self.executor_state.next_candidate()
        if candidate is None and self.report.incarnation and not self._is_registered:
            return self.executor_state.last_heartbeat
        return candidate

    def _register(self, candidate: Heartbeat) -> bool:
        """Register an incarnation, once it has answered a status call with the next fencing token.

        No start is sent before the token is stored, as the next agent process may use it again.

        :returns: whether it is registered
        """
        stored = self._report_store.read()
        incarnation = candidate.report.incarnation
        confirmation = self._confirmer.confirm(candidate, stored)
        with self._lock:
            is_known = incarnation == self.report.incarnation
            has_ended = is_known and self.executor_state.end is not None
            is_unreachable = is_known and self.report.is_unreachable
            if confirmation is not None or has_ended:
                self._is_registered = False
                if confirmation is not None and not is_known:
                    self._replace_incarnation(candidate, confirmation.status)
                self._restore(stored, confirmation)
        if confirmation is None and not has_ended:
            if is_unreachable and not stored.is_unreachable:
                self._close_worker(stored)
            return False
        if not self._write_report():
            return False
        with self._lock:
            self._is_registered = True
            self._has_restored_runs = False
            logger.info(
                "event=registered target=%s incarnation=%s fence=%d",
                self._worker,
                incarnation,
                self.report.fence,
            )
            self._apply_order(self.table.order)
        return True

    def _close_worker(self, stored: WorkerReport) -> None:
        """Report that the incarnation of the stored report does not answer.

        :raises StoreUnavailableError: the store did not respond
        """
        try:
            self._report_store.write(msgspec.structs.replace(stored, is_unreachable=True), None)
        except ReportConflictError:
            # The next attempt reads the report of the other agent.
            logger.warning("event=worker_not_closed target=%s", self._worker)

    def _replace_incarnation(self, candidate: Heartbeat, status: ExecutorStatus) -> None:
        """Begin with a new incarnation, and report the ends of all runs of the last one.

        :param status: first status of the new incarnation
        """
        if self.report.incarnation and self.executor_state.end is None:
            self.table.withdraw_start_answers(status)
            self._poller.end_incarnation(ExecutorEnd.REPLACED, has_crashed=True)
        self.table.begin_incarnation()
        self.executor_state.register(candidate)

    def _restore(self, stored: WorkerReport, confirmation: Confirmation | None) -> None:
        """Restore the stored state, and compare it with what the registered incarnation lists."""
        is_same_life = stored.incarnation == self.report.incarnation
        self.report.fence = (
            confirmation.fence if confirmation else self._confirmer.next_fence(stored)
        )
        self.table.restore(stored)
        if not is_same_life:
            if confirmation is not None:
                self.table.apply_late_ends(confirmation.status)
            self.table.end_unwitnessed(stored)
        else:
            self.table.resume_incarnation(stored)
            if confirmation is None:
                has_crashed = self.executor_state.clock.has_refused
                self.table.end_unwitnessed(stored, has_crashed=has_crashed)
            if stored.state is WorkerState.DRAINING and self.report.state is WorkerState.READY:
                # The heartbeat is a late one; an executor that drains gets ready no more.
                self.report.state, self.report.remaining_ms = stored.state, stored.remaining_ms
        self._may_be_present = confirmation is None or not confirmation.status.has_all_ends
        if confirmation is not None:
            self.executor_state.record_answer(
                confirmation.status, confirmation.sent_at, confirmation.sent_at_running_s
            )
            self.table.apply_status(confirmation.status, confirmation.sent_at)
            self.table.resolve_starts(confirmation.status)

    def _write_report(self) -> bool:
        """Write the report; return whether it was written.

        It is not written if another agent of this worker has written it since, or if the order has
        changed while runs wait for their acceptance.

        Runs are accepted on condition that the order that names them is unchanged, so that the
        leader can withdraw runs that have not been accepted, and that their jobs are not cancelled.
        """
        with self._lock:
            report = self._current_report()
            order_revision = self._order_revision if self._has_unaccepted() else None
            # The starts of further jobs are checked one by one.
            new_jobs = self._unaccepted_jobs()[:MAX_JOBS_PER_REPORT]
        sent_at = self._clock.monotonic()
        try:
            if self._report_store.write(report, order_revision, new_jobs):
                self._cancellation_checks.record_absent(new_jobs, sent_at)
        except JobsCancelledError as error:
            logger.info("event=acceptance_prevented jobs=%s", ",".join(sorted(error.job_ids)))
            with self._lock:
                self.table.stop_jobs(error.job_ids)
            return False
        except OrderChangedError as error:
            self._apply_order_items([error.item] if error.item is not None else [])
            return False
        except ReportConflictError:
            with self._lock:
                self._is_registered = False
            return False
        with self._lock:
            if report.incarnation == self.report.incarnation:
                self.table.record_accepted(report.accepted)
                self._run_driver.submit_calls()
            self._lock.notify_all()
        return True
