"""Progress of one run on an executor: its rate, and whether it has stopped.

Load that it answers: runs that are much slower than declared, wait for other members of their gang
or restore a checkpoint. None of these is a stall.
"""

from dataclasses import dataclass, field

from chicorycrank.model.batch import Assignment

# Minimum time without progress after which a run counts as stalled. Executors list whole percent,
# and statuses are up to 1 s apart.
STALL_TIMEOUT_S = 2.5
# The same until the first progress of a run that starts, as the members of a gang wait for each
# other at first.
START_STALL_TIMEOUT_S = 4.5
# Executors take up to 600 ms to restore a checkpoint.
RESTORE_S = 0.6
# One percent may take this many times as long as declared: the declared time is off by up to 2, a
# gang across racks is slowed by 3, and the slowest workers take about twice the usual time.
DECLARED_MULTIPLE = 12.0
# One percent may take this many times as long as the earlier ones took on average. Statuses that
# are 1 s apart can make the average too short by 1 s.
MEASURED_MULTIPLE = 6.0
# Until a second percent is gained, the time until the first one is the only measurement.
FIRST_PERCENT_MULTIPLE = 2.0
COMPLETE_PERCENT = 100
# A rate is measured over at least this time and share of the work. Executors list whole percent, so
# five percent give it an error of up to a fifth.
MIN_RATE_TIME_S = 1.5
MIN_RATE_PERCENT = 5
# A rate is that of the last one to two such times, so that a worker that turns slow is noticed.
RATE_WINDOW_S = 2.0
MAX_RATE_PERCENT = 10_000


@dataclass(kw_only=True)
class RunRate:
    """Rate of a run over the last seconds of its work, relative to its declared run time.

    Times are those of the executor's clock in seconds, which stands still with its machine.

    :ivar percent: the rate in whole percent, 100 if the run is as fast as declared; 0 if unknown
    :ivar marks: time and completed share at the begin and at the middle of the window
    """

    percent: int = 0
    marks: list[tuple[float, int]] = field(default_factory=list)

    def restart(self, completed: int, clock_s: float) -> None:
        """Begin a new window, but keep the rate."""
        self.marks = [(clock_s, completed)]

    def record(self, completed: int, clock_s: float, run_time_s: float) -> None:
        """Record the completed share of the work in percent.

        A run that waits at 100 percent keeps its rate.
        """
        if not self.marks or run_time_s <= 0 or completed >= COMPLETE_PERCENT:
            return
        if self._is_enough(self.marks[0], completed, clock_s, run_time_s):
            began_at, began_with = self.marks[0]
            share = (completed - began_with) / COMPLETE_PERCENT
            percent = round(100 * share * run_time_s / (clock_s - began_at))
            self.percent = min(MAX_RATE_PERCENT, max(1, percent))
        mark = self.marks[-1]
        is_full = clock_s - mark[0] >= RATE_WINDOW_S
        if is_full and self._is_enough(mark, completed, clock_s, run_time_s):
            self.marks = [mark, (clock_s, completed)]

    def _is_enough(
        self, mark: tuple[float, int], completed: int, clock_s: float, run_time_s: float
    ) -> bool:
        """Return whether a rate can be measured since a mark.

        A run that has become much slower is measured once it should have made the progress.
        """
        elapsed_s = clock_s - mark[0]
        expected = self.percent * elapsed_s / run_time_s
        gained = max(completed - mark[1], expected)
        return elapsed_s >= MIN_RATE_TIME_S and gained >= MIN_RATE_PERCENT


@dataclass(kw_only=True)
class RunProgress:
    """Progress of a run, as listed by the statuses of its executor.

    Times are monotonic, in seconds.

    :ivar percent: completed share of the work, 0 to 100; -1 before the first status
    :ivar changed_at: time at which ``percent`` last changed
    :ivar listed_at: time of the first status
    :ivar base_percent: percentage at the first change; -1 before it
    :ivar base_at: time of the first change. Only what follows is measured, as a run may wait for
        its gang or restore a checkpoint before.
    :ivar rate: rate of the work since then
    """

    percent: int = -1
    changed_at: float = 0.0
    listed_at: float = 0.0
    base_percent: int = -1
    base_at: float = 0.0
    rate: RunRate = field(default_factory=RunRate)

    def record(self, percent: int, now_s: float, clock_s: float, run_time_s: float) -> None:
        """Record the percentage that a status lists.

        :param clock_s: reading of the executor's clock in the status, in seconds
        :param run_time_s: declared run time in seconds; 0 if unknown
        """
        self.rate.record(percent, clock_s, run_time_s)
        if percent == self.percent:
            return
        if self.percent < 0:
            self.listed_at = now_s
        elif self.base_percent < 0 or percent < self.percent:
            self.base_percent, self.base_at = percent, now_s
            self.rate.restart(percent, clock_s)
        self.percent, self.changed_at = percent, now_s

    def is_stalled(self, assignment: Assignment, now_s: float) -> bool:
        """Return whether the run makes no progress.

        A run at 100 percent is complete or waits for the other members of its gang.
        """
        return (
            0 <= self.percent < COMPLETE_PERCENT
            and not assignment.long_running
            and not assignment.fills
            and now_s - self.changed_at > self.stall_timeout_s(assignment)
        )

    def stall_timeout_s(self, assignment: Assignment) -> float:
        """Return the time in seconds without progress after which the run is stalled."""
        percent_s = self._measured_percent_s()
        if percent_s is not None:
            return max(STALL_TIMEOUT_S, MEASURED_MULTIPLE * percent_s)
        declared_s = DECLARED_MULTIPLE * assignment.run_time_s / COMPLETE_PERCENT
        if self.base_percent >= 0:
            first_s = FIRST_PERCENT_MULTIPLE * (self.base_at - self.listed_at)
            return max(STALL_TIMEOUT_S, declared_s, first_s)
        # A run that resumes waits for its gang at its saved percentage, after it was restored.
        timeout_s = START_STALL_TIMEOUT_S if self._may_be_starting(assignment) else STALL_TIMEOUT_S
        restore_s = RESTORE_S if assignment.checkpoint else 0.0
        return max(timeout_s, declared_s) + restore_s

    def _may_be_starting(self, assignment: Assignment) -> bool:
        return self.percent == 0 or bool(assignment.checkpoint)

    def _measured_percent_s(self) -> float | None:
        """Return the average time of one percent in seconds; None before two changes."""
        gained = self.percent - self.base_percent
        if self.base_percent < 0 or gained <= 0:
            return None
        return (self.changed_at - self.base_at) / gained
