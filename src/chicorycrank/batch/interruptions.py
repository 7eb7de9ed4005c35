"""Which running work is better stopped and continued on another worker."""

from chicorycrank.model.batch import Step, Unit, WorkerReport, WorkerState
from chicorycrank.model.ids import TaskId

# Executors go on for a little longer than they say when they drain.
DRAIN_MARGIN_S = 2.0
# A stall of some seconds ends by itself; only little unsaved work is given up for it.
MAX_RESTART_PERCENT = 25


def stop_reason(step: Step, unit: Unit, task: TaskId, report: WorkerReport, now_ms: int) -> str:
    """Return why a unit is better stopped for what its worker reports, or an empty text.

    :param task: the task of the unit on this worker
    """
    percent = report.suspects.get(task)
    if percent is not None and is_restart_cheap(step, percent):
        return "no progress"
    is_draining = report.state is WorkerState.DRAINING
    if is_draining and not ends_before_drain(step, unit, now_ms, report.remaining_ms):
        return "the worker drains"
    return ""


def ends_before_drain(step: Step, unit: Unit, now_ms: int, remaining_ms: int) -> bool:
    """Whether a unit is expected to end before its draining executor does.

    :param remaining_ms: least time that the executor has left
    """
    left_s = step.run_time_s - (now_ms - unit.started_at_ms) / 1000
    # Work without checkpoints has nothing to gain from a stop, so it may run over a little.
    margin_s = 0.0 if step.checkpointing else DRAIN_MARGIN_S
    return not step.long_running and left_s <= remaining_ms / 1000 + margin_s


def is_restart_cheap(step: Step, percent: int) -> bool:
    """Whether a task that stands still loses little by starting again elsewhere.

    :param percent: work that is done, 0 to 100
    """
    return step.checkpointing or percent <= MAX_RESTART_PERCENT
