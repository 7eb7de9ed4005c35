"""What an agent reports about the runs of its executor while they work.

Each change of it costs a write to the store, so figures that change all the time are reported at
intervals.
"""

import logging
from collections.abc import Collection, Mapping

from chicorycrank.batch.metrics import RATES_REPORTED, RUNS_STALLED
from chicorycrank.batch.run import Run
from chicorycrank.model.ids import TaskId

# Minimum time between updates of the reported checkpoints. It bounds the work that is lost with a
# worker, which costs more than a report every few seconds.
CHECKPOINT_REPORT_INTERVAL_S = 4.0
# Minimum time between reports that are written for rates alone, and between two rates of a run.
RATE_REPORT_INTERVAL_S = 2.0
# A rate is reported again when it has changed by more than this factor.
RATE_CHANGE_FACTOR = 1.2

logger = logging.getLogger("absl")


class ReportedRuns:
    """Part of the report that follows from the runs that work.

    :ivar cleared: number of the run that has outlasted its probation, by task
    :ivar suspects: completed percentage by task, for tasks that make no progress
    :ivar checkpoints: run number and checkpoint by task, as reported to the leader
    :ivar work_rates: run number and rate in percent of the declared rate, by task
    """

    def __init__(self) -> None:
        self.cleared: dict[TaskId, int] = {}
        self.suspects: dict[TaskId, int] = {}
        self.checkpoints: dict[TaskId, tuple[int, str]] = {}
        self.work_rates: dict[TaskId, tuple[int, int]] = {}
        self._checkpoints_reported_at = float("-inf")
        self._rates_changed_at = float("-inf")

    def keep_named(self, named: Collection[tuple[TaskId, int]]) -> None:
        """Drop what belongs to runs that the order no longer names.

        The order is written after the ends of these runs, so the report changes at the same time.
        """
        self.checkpoints = {
            task: saved for task, saved in self.checkpoints.items() if (task, saved[0]) in named
        }
        self.work_rates = {
            task: rate for task, rate in self.work_rates.items() if (task, rate[0]) in named
        }

    def clear_runs(self) -> None:
        """Drop what only a working run can have, as nothing runs any more."""
        self.suspects.clear()
        self.cleared.clear()
        self.work_rates.clear()
        self._rates_changed_at = float("-inf")

    def update_reported(self, runs_by_task: Mapping[TaskId, Run], now_s: float) -> None:
        """Update all but the rates.

        :param now_s: monotonic time in seconds at which the last status was requested
        """
        stalled = {task: run for task, run in runs_by_task.items() if run.is_stalled(now_s)}
        for task in stalled.keys() - self.suspects.keys():
            _log_stall(stalled[task], now_s)
        self.suspects = {task: run.progress.percent for task, run in stalled.items()}
        if now_s - self._checkpoints_reported_at >= CHECKPOINT_REPORT_INTERVAL_S:
            self._checkpoints_reported_at = now_s
            self.checkpoints = {
                task: (run.assignment.run, run.checkpoint)
                for task, run in runs_by_task.items()
                if run.checkpoint
            }
        self.cleared = {
            task: run.assignment.run for task, run in runs_by_task.items() if run.is_cleared(now_s)
        }

    def update_rates(
        self, runs_by_task: Mapping[TaskId, Run], clock_s: float, *, is_write_due: bool
    ) -> bool:
        """Update the rates; the first one of a run may go with a write that is due anyway.

        :param runs_by_task: runs that work, and those that have just ended
        :param clock_s: reading of the executor's clock in seconds. A status may be requested 1 s
            before it is made, so the times of the requests would not keep the interval.
        :returns: whether a rate is reported that was not
        """
        is_spaced = clock_s - self._rates_changed_at >= RATE_REPORT_INTERVAL_S
        changes: dict[TaskId, tuple[int, int]] = {}
        for task, run in runs_by_task.items():
            number, percent = run.assignment.run, run.progress.rate.percent
            reported_run, reported_percent = self.work_rates.get(task, (0, 0))
            if not percent or not run.has_rate:
                continue
            if reported_run != number:
                is_reported = is_spaced or is_write_due
            else:
                is_reported = is_spaced and _has_changed(percent, reported_percent)
            if is_reported:
                changes[task] = (number, percent)
        if changes:
            self.work_rates = {**self.work_rates, **changes}
            self._rates_changed_at = clock_s
            RATES_REPORTED.inc(len(changes))
        return bool(changes)


def _log_stall(run: Run, now_s: float) -> None:
    RUNS_STALLED.inc()
    logger.info(
        "event=run_stalled task=%s run=%d percent=%d still_s=%.1f limit_s=%.1f",
        run.assignment.task,
        run.assignment.run,
        run.progress.percent,
        now_s - run.progress.changed_at,
        run.progress.stall_timeout_s(run.assignment),
    )


def _has_changed(percent: int, reported: int) -> bool:
    return max(percent, reported) > RATE_CHANGE_FACTOR * min(percent, reported)
