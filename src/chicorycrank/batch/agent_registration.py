"""Registration of incarnations of the executor beside an agent."""

import logging

import msgspec

from chicorycrank.batch.agent_reports import AgentReports
from chicorycrank.batch.confirmation import Confirmation
from chicorycrank.batch.executor_state import ExecutorEnd, Heartbeat
from chicorycrank.batch.report_store import ReportConflictError
from chicorycrank.model.batch import WorkerReport, WorkerState
from chicorycrank.ports.executor import ExecutorStatus

logger = logging.getLogger("absl")


class AgentRegistration(AgentReports):
    """State of an agent with the registration of its executor."""

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
