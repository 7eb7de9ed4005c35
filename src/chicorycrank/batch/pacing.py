"""Slows tasks that fill an executor while they disturb tasks that serve users."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass

from chicorycrank.batch.runs import Run
from chicorycrank.model.ids import TaskId
from chicorycrank.ports.executor import BatchExecutor

# The latency that executors report covers the last half second, so a change shows after it.
SETTLE_S = 0.6
SLOW_DOWN_AT = 0.85  # share of the latency bound from which filling work is slowed
SPEED_UP_BELOW = 0.6
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP = 15
# A filling task that works so little disturbs as much as one that stands still and saves less.
LEAST_PERCENT = 10
FULL_PERCENT = 100

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class Pace:
    """Share of its speed at which a filling task has to work."""

    run: Run
    percent: int


class Pacer:
    """Common pace of all filling tasks on one executor."""

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self._changed_at = float("-inf")
        self._percent_by_run: dict[tuple[TaskId, int], int] = {}

    def update(self, runs: Sequence[Run], now: float) -> list[Pace]:
        """Return the tasks whose pace has to change.

        :param runs: runs with their last load
        :param now: monotonic time in seconds
        """
        ratios = [
            run.load / (1000 * run.assignment.target_latency_s)
            for run in runs
            if run.assignment.target_latency_s > 0
        ]
        if now - self._changed_at >= SETTLE_S:
            percent = self._next(max(ratios, default=0.0))
            if percent != self.percent:
                self.percent, self._changed_at = percent, now
        return self._changes([run for run in runs if run.assignment.fills])

    def _next(self, worst: float) -> int:
        if worst > SLOW_DOWN_AT:
            percent = round(self.percent * SLOW_DOWN_FACTOR)
            return percent if percent >= LEAST_PERCENT else 0
        if worst < SPEED_UP_BELOW:
            return min(FULL_PERCENT, self.percent + SPEED_UP_STEP)
        return self.percent

    def _changes(self, fillers: Sequence[Run]) -> list[Pace]:
        """Return the fillers at another pace than the common one; new ones are at full speed."""
        keys = {(run.assignment.task, run.assignment.run): run for run in fillers}
        known = {key: self._percent_by_run.get(key, FULL_PERCENT) for key in keys}
        self._percent_by_run = known
        return [Pace(run, self.percent) for key, run in keys.items() if known[key] != self.percent]

    def send(self, pace: Pace, executor: BatchExecutor, fence: int) -> None:
        """Change the pace of a task; a refused call is made again after the next look.

        :raises ExecutorUnreachableError: the executor did not answer
        """
        item, incarnation = pace.run.assignment, pace.run.incarnation
        accepted = executor.pace(item.task, item.run, pace.percent, fence, incarnation)
        logger.info(
            "event=pace task=%s run=%d percent=%d accepted=%s",
            item.task,
            item.run,
            pace.percent,
            accepted,
        )
        if accepted:
            self.note(pace)

    def note(self, pace: Pace) -> None:
        """Note that an executor has accepted a pace."""
        item = pace.run.assignment
        self._percent_by_run[item.task, item.run] = pace.percent
