"""Throttling of filling tasks while they slow down tasks that serve users on the same executor.

A filling task, whose step has ``fills`` set, uses only processor time that other tasks leave idle.
"""

import logging
from collections.abc import Sequence
from dataclasses import dataclass

from chicorycrank.batch.run import Run
from chicorycrank.model.ids import TaskId
from chicorycrank.ports.executor import BatchExecutor

# Executors report the latency of the last half second, so a change is visible after that time.
SETTLING_TIME_S = 0.6
SLOW_DOWN_LATENCY_SHARE = 0.85  # share of the latency bound above which filling tasks are slowed
SPEED_UP_LATENCY_SHARE = 0.6
SLOW_DOWN_FACTOR = 0.4
SPEED_UP_STEP_PERCENT = 15
# A filling task below this pace disturbs as much as a stopped one and saves less, so its pace is 0.
MIN_PERCENT = 10
FULL_PERCENT = 100

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class PaceChange:
    """New pace of a filling task, in percent of its full speed."""

    run: Run
    percent: int


class Pacer:
    """Controller of the common pace of all filling tasks on one executor."""

    def __init__(self) -> None:
        self.percent = FULL_PERCENT
        self._changed_at = float("-inf")
        self._percent_by_run: dict[tuple[TaskId, int], int] = {}

    def update(self, runs: Sequence[Run], now_s: float) -> list[PaceChange]:
        """Return the filling tasks whose pace has to change.

        :param runs: runs with their last reported load
        :param now_s: monotonic time in seconds
        """
        latency_ratios = [
            run.load / (1000 * run.assignment.target_latency_s)
            for run in runs
            if run.assignment.target_latency_s > 0
        ]
        if now_s - self._changed_at >= SETTLING_TIME_S:
            percent = self._next_percent(max(latency_ratios, default=0.0))
            if percent != self.percent:
                self.percent, self._changed_at = percent, now_s
        return self._pace_changes([run for run in runs if run.assignment.fills])

    def _next_percent(self, max_ratio: float) -> int:
        if max_ratio > SLOW_DOWN_LATENCY_SHARE:
            percent = round(self.percent * SLOW_DOWN_FACTOR)
            return percent if percent >= MIN_PERCENT else 0
        if max_ratio < SPEED_UP_LATENCY_SHARE:
            return min(FULL_PERCENT, self.percent + SPEED_UP_STEP_PERCENT)
        return self.percent

    def _pace_changes(self, filling_runs: Sequence[Run]) -> list[PaceChange]:
        """Return the changes to the common pace; new runs start at full speed."""
        run_by_key = {(run.assignment.task, run.assignment.run): run for run in filling_runs}
        percent_by_run = {key: self._percent_by_run.get(key, FULL_PERCENT) for key in run_by_key}
        self._percent_by_run = percent_by_run
        return [
            PaceChange(run, self.percent)
            for key, run in run_by_key.items()
            if percent_by_run[key] != self.percent
        ]

    def send(self, pace_change: PaceChange, executor: BatchExecutor, fence: int) -> None:
        """Send a new pace to the executor; a refused one is sent again after the next status.

        :raises ExecutorUnreachableError: the executor did not respond
        :raises OtherIncarnationError: another incarnation of the executor responded
        """
        assignment, incarnation = pace_change.run.assignment, pace_change.run.incarnation
        accepted = executor.set_pace(
            assignment.task, assignment.run, pace_change.percent, fence, incarnation
        )
        logger.info(
            "event=pace_sent task=%s run=%d percent=%d accepted=%s",
            assignment.task,
            assignment.run,
            pace_change.percent,
            accepted,
        )
        if accepted:
            self.record_accepted(pace_change)

    def record_accepted(self, pace_change: PaceChange) -> None:
        """Record that the executor has accepted a pace."""
        assignment = pace_change.run.assignment
        self._percent_by_run[assignment.task, assignment.run] = pace_change.percent
