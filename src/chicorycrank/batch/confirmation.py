"""Confirmation of an incarnation by its own answer to a status call with a raised fencing token."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from chicorycrank.batch.executor_state import ExecutorState, Heartbeat
from chicorycrank.batch.running_time import RunningTime
from chicorycrank.model.batch import WorkerReport
from chicorycrank.model.ids import Incarnation, TargetId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import (
    BatchExecutor,
    ExecutorStatus,
    ExecutorUnreachableError,
    OtherIncarnationError,
)

logger = logging.getLogger("absl")

CallError = ExecutorUnreachableError | OtherIncarnationError


@dataclass(frozen=True, kw_only=True)
class Confirmation:
    """Status that an incarnation has answered itself.

    :param fence: fencing token of the call, higher than that of any start call
    :param sent_at: monotonic time at which the status was requested
    :param sent_at_running_s: running time at which the status was requested
    """

    status: ExecutorStatus
    fence: int
    sent_at: float
    sent_at_running_s: float


def check_incarnation(worker: TargetId, status: ExecutorStatus, incarnation: Incarnation) -> None:
    """Check which incarnation answers, as calls name the executor by its id only.

    :raises OtherIncarnationError: it is not the called one
    """
    if status.incarnation != incarnation:
        logger.warning(
            "event=other_incarnation_answered target=%s known=%s answered=%s",
            worker,
            incarnation,
            status.incarnation,
        )
        raise OtherIncarnationError(f"{status.incarnation} answered for {incarnation}")


class Confirmer:
    """Calls that confirm which incarnation answers at the executor's address.

    The token makes the executor reject delayed start calls of an earlier agent, and those that were
    meant for an earlier incarnation, so the status shows all that has begun there.

    :param record_failed_call: called with the error, the called incarnation and the running time at
        which the call was sent
    """

    def __init__(
        self,
        worker: TargetId,
        executor: BatchExecutor,
        clock: Clock,
        running_time: RunningTime,
        state: ExecutorState,
        record_failed_call: Callable[[CallError, Incarnation, float], None],
    ) -> None:
        self._worker = worker
        self._executor = executor
        self._clock = clock
        self._running_time = running_time
        self._state = state
        self._record_failed_call = record_failed_call
        # A token that an earlier process has used without storing it is found by refusals.
        self._min_fence = 0

    def next_fence(self, stored: WorkerReport) -> int:
        """Return a token that no start call has."""
        return max(stored.fence + 1, self._state.report.fence + 1, self._min_fence)

    def confirm(self, candidate: Heartbeat, stored: WorkerReport) -> Confirmation | None:
        """Return the status of an incarnation, or None if it is not confirmed.

        Runs that a new life already lists come from late orders; they are stopped, and it is
        confirmed only after they have ended.

        :param stored: the stored report
        """
        incarnation, fence = candidate.report.incarnation, self.next_fence(stored)
        sent_at, sent_at_running_s = self._clock.monotonic(), self._running_time.seconds
        try:
            status = self._executor.extend_lease(
                fence=fence,
                last_acknowledged_end=0,
                deadline_ms=None,
                wait_s=0.0,
                incarnation=incarnation,
            )
            check_incarnation(self._worker, status, incarnation)
            if incarnation != stored.incarnation and status.running:
                self._stop_late_runs(status, fence)
                return None
            return Confirmation(
                status=status, fence=fence, sent_at=sent_at, sent_at_running_s=sent_at_running_s
            )
        except PermissionError:
            logger.warning("event=registration_fenced target=%s fence=%d", self._worker, fence)
            self._min_fence = fence + 1
        except (ExecutorUnreachableError, OtherIncarnationError) as error:
            logger.warning(
                "event=registration_failed target=%s incarnation=%s error=%s",
                self._worker,
                incarnation,
                error,
            )
            self._record_failed_call(error, incarnation, sent_at_running_s)
        return None

    def _stop_late_runs(self, status: ExecutorStatus, fence: int) -> None:
        for row in status.running:
            logger.warning(
                "event=late_run_stopped target=%s incarnation=%s task=%s run=%d",
                self._worker,
                status.incarnation,
                row.task,
                row.run,
            )
            self._executor.stop(row.task, row.run, fence, status.incarnation)
