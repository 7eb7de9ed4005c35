"""Reasons in the report of a worker to stop a run and continue it on another worker."""

from chicorycrank.model.batch import Step, WorkerReport
from chicorycrank.model.ids import TaskId

# A stall often ends by itself within seconds, so only little unsaved work is given up for it.
MAX_RESTART_PERCENT = 25
NO_PROGRESS = "no progress"


def stop_reason(step: Step, task: TaskId, report: WorkerReport) -> str:
    """Return why a unit should be stopped given its worker's report, or an empty string.

    :param task: task of the unit on this worker
    """
    percent = report.suspects.get(task)
    if percent is not None and is_restart_cheap(step, percent):
        return NO_PROGRESS
    return ""


def is_restart_cheap(step: Step, percent: int) -> bool:
    """Return whether a stalled task loses little work by restarting on another worker.

    :param percent: completed share of the work, 0 to 100
    """
    return step.checkpointing or percent <= MAX_RESTART_PERCENT
