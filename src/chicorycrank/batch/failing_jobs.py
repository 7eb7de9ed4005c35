"""Jobs that are left out of planning for a while, as planning them has raised an exception."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from chicorycrank.batch.metrics import JOBS_SET_ASIDE
from chicorycrank.batch.units import UnitRef
from chicorycrank.model.ids import JobId
from chicorycrank.policy.cell import QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

# The cause may lie in the state of the workers, so a job is planned again after this time.
RETRY_S = 10.0
MAX_REASON_LENGTH = 200

Queue = dict[UnitRef, QueuedJob]

logger = logging.getLogger("absl")


class FailingJobs:
    """Jobs whose planning has failed.

    :ivar reason_by_id: why a job is left out, for its caller
    """

    def __init__(self) -> None:
        self.reason_by_id: dict[JobId, str] = {}
        self._retry_at_by_id: dict[JobId, float] = {}

    def is_set_aside(self, job_id: JobId, now_s: float) -> bool:
        """Return whether a job is left out of planning now."""
        return now_s < self._retry_at_by_id.get(job_id, now_s)

    def discard_job(self, job_id: JobId) -> None:
        """Discard a job that has ended."""
        self.reason_by_id.pop(job_id, None)
        self._retry_at_by_id.pop(job_id, None)

    def decide(
        self, planner: PlannerState, waiting: dict[UnitRef, None]
    ) -> tuple[Queue, list[Decision]]:
        """Return the queue and the decisions of one pass; remove units that fail from ``waiting``.

        If the pass fails, it is repeated with one more job each time. A job with which it fails is
        set aside.
        """
        try:
            found = _decide(planner, waiting)
        except Exception:
            logger.exception("event=plan_failed units=%d", len(waiting))
            found = self._decide_one_by_one(planner, waiting)
        for job_id in self.reason_by_id.keys() & {ref.job_id for ref in waiting}:
            self.discard_job(job_id)
            planner.changes.jobs.add(job_id)
        return found

    def _decide_one_by_one(
        self, planner: PlannerState, waiting: dict[UnitRef, None]
    ) -> tuple[Queue, list[Decision]]:
        cell = planner.cell
        before = cell.reservations_by_id, cell.waiting_for_evictions
        sound: dict[UnitRef, None] = {}
        for job_id in dict.fromkeys(ref.job_id for ref in waiting):
            units = [ref for ref in waiting if ref.job_id == job_id]
            cell.reservations_by_id, cell.waiting_for_evictions = before
            try:
                _decide(planner, {**sound, **dict.fromkeys(units)})
            except Exception as error:
                self._set_aside(planner, job_id, error)
                for ref in units:
                    del waiting[ref]
            else:
                sound.update(dict.fromkeys(units))
        cell.reservations_by_id, cell.waiting_for_evictions = before
        return _decide(planner, waiting)

    def _set_aside(self, planner: PlannerState, job_id: JobId, error: Exception) -> None:
        text = f"planning the job failed: {type(error).__name__}: {error}"
        self.reason_by_id[job_id] = text[:MAX_REASON_LENGTH]
        self._retry_at_by_id[job_id] = planner.now_s + RETRY_S
        planner.changes.jobs.add(job_id)
        JOBS_SET_ASIDE.inc()
        logger.error("event=job_set_aside job=%s reason=%s", job_id, text[:MAX_REASON_LENGTH])


def _decide(planner: PlannerState, waiting: dict[UnitRef, None]) -> tuple[Queue, list[Decision]]:
    queue = planner.job_builder.make_queue(planner, waiting)
    return queue, decide(planner.cell, list(queue.values()), planner.now_s)
