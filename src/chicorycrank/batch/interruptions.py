"""Which running work is better stopped and continued on another worker."""

from chicorycrank.model.batch import Step, Unit

# Executors go on for a little longer than they say when they drain.
DRAIN_MARGIN_S = 2.0
# A stall of some seconds ends by itself; only little unsaved work is given up for it.
RESTART_PERCENT = 25


def fits_in(step: Step, unit: Unit, now_ms: int, remaining_ms: int) -> bool:
    """Whether a unit is expected to end before its draining executor does.

    :param remaining_ms: least time that the executor has left
    """
    left_s = step.run_time_s - (now_ms - unit.started_at_ms) / 1000
    # Work without checkpoints has nothing to gain from a stop, so it may run over a little.
    margin_s = 0.0 if step.checkpointing else DRAIN_MARGIN_S
    return not step.long_running and left_s <= remaining_ms / 1000 + margin_s


def is_worth_moving(step: Step, percent: int) -> bool:
    """Whether a task that stands still loses little by starting again elsewhere.

    :param percent: work that is done, 0 to 100
    """
    return step.checkpointing or percent <= RESTART_PERCENT
