"""Reasons to stop a run and continue it on another worker."""

from chicorycrank.model.batch import Step, Unit, WorkerReport, WorkerState
from chicorycrank.model.ids import TaskId

# A draining executor runs slightly longer than the remaining time that it reports.
DRAIN_MARGIN_S = 2.0
# A stall often ends by itself within seconds, so only little unsaved work is given up for it.
MAX_RESTART_PERCENT = 25
NO_PROGRESS = "no progress"


def stop_reason(step: Step, unit: Unit, task: TaskId, report: WorkerReport, now_ms: int) -> str:
    """Return why a unit should be stopped given its worker's report, or an empty string.

    :param task: task of the unit on this worker
    """
    percent = report.suspects.get(task)
    if percent is not None and is_restart_cheap(step, percent):
        return NO_PROGRESS
    is_draining = report.state is WorkerState.DRAINING
    if is_draining and not ends_before_drain(step, unit, now_ms, report.remaining_ms):
        return "the worker drains"
    return ""


def ends_before_drain(step: Step, unit: Unit, now_ms: int, remaining_ms: int) -> bool:
    """Return whether a unit is expected to end before its draining executor exits.

    :param remaining_ms: minimum time in milliseconds until the executor exits
    """
    remaining_s = step.run_time_s - (now_ms - unit.started_at_ms) / 1000
    # Work without checkpoints gains nothing from a stop, so it may exceed the time slightly.
    margin_s = 0.0 if step.checkpointing else DRAIN_MARGIN_S
    return not step.long_running and remaining_s <= remaining_ms / 1000 + margin_s


def is_restart_cheap(step: Step, percent: int) -> bool:
    """Return whether a stalled task loses little work by restarting on another worker.

    :param percent: completed share of the work, 0 to 100
    """
    return step.checkpointing or percent <= MAX_RESTART_PERCENT
