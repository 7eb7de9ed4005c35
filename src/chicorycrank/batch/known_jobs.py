"""Jobs and cancellations that the planner takes over from the view."""

import logging
from collections.abc import Collection

from chicorycrank.batch.planner import Planner
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import Progress
from chicorycrank.model.ids import JobId

logger = logging.getLogger("absl")


def add_jobs(
    planner: Planner, view: SharedView, stored_progress: dict[JobId, Progress | None]
) -> None:
    """Add the jobs of the view that the planner lacks; the caller holds the lock of the view.

    :param stored_progress: progress that an earlier leader has written, of jobs that the planner
        lacks; None if it is unreadable, so that the job must not be planned
    """
    for job_id in view.jobs_by_id.keys() - planner.jobs_by_id.keys():
        progress = stored_progress.get(job_id, Progress())
        if progress is None:
            continue
        stored_progress.pop(job_id, None)
        planner.add_job(view.jobs_by_id[job_id], progress)
        logger.info(
            "event=job_learned job=%s state=%s cancelled=%s view_age_s=%.1f",
            job_id,
            progress.state.name.lower(),
            job_id in view.cancelled,
            planner.view_age_s,
        )


def cancel_jobs(planner: Planner, cancelled: Collection[JobId]) -> None:
    """Cancel the active jobs whose cancellation is stored.

    The contents of the view decide, so it doesn't matter in which order they came.
    """
    for job_id in planner.active_jobs.keys() & cancelled:
        planner.cancel(job_id)
