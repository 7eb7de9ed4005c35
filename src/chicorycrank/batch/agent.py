"""Agent beside an executor: carries out the leader's order and reports the executor's state."""

import logging

import msgspec

from chicorycrank.batch.agent_registration import AgentRegistration
from chicorycrank.batch.executor_state import Heartbeat
from chicorycrank.batch.report_store import OrderChangedError, ReportConflictError
from chicorycrank.batch.threads import keep_running
from chicorycrank.model.batch import WorkerReport
from chicorycrank.ports.transactions import StoreUnavailableError

REPORT_CHECK_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.15
# Ends that arrive within this time are reported in one write.
REPORT_BATCHING_DELAY_S = 0.01
# A process that stops waits for its last report no longer than this.
LAST_REPORT_TIMEOUT_S = 1.0

logger = logging.getLogger("absl")


class BatchAgent(AgentRegistration):
    """Agent of one worker, with the threads that keep it going; see :class:`AgentState`."""

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
                "zone": self.zone,
                "registered": self._is_registered,
                "executor_ended": self.executor_state.end and self.executor_state.end.value,
                "has_candidates": self.executor_state.has_candidates,
                "presence_confirmed_s_ago": self._clock.monotonic() - self._presence.confirmed_at,
                "report": self._current_report(),
                "order": self.table.order,
                "running": sorted(self.table.runs_by_task),
            }

    # Heartbeats of the executor.

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
