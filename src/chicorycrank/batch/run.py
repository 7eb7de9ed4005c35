"""Run of a task on one executor, as tracked by its agent."""

from dataclasses import dataclass, field

from chicorycrank.batch.run_progress import RunProgress
from chicorycrank.model.batch import Assignment, EndKind, TaskEnd
from chicorycrank.model.ids import Incarnation, TaskId


@dataclass(kw_only=True)
class Run:
    """Run that the order names or that the executor lists.

    :param should_stop: the run has to be stopped
    :param is_accepted: stored as accepted, so it may have started and the leader waits for its end
    :param is_adopted: accepted by an earlier process of the agent, and no status has shown yet
        whether it is there
    :param is_call_active: a call for the run is active or submitted
    :param unresolved_starts: start calls without a final answer; each may still take effect
    :param has_reached_executor: one of these calls has reached the executor, as something came back
    :param failed_starts: answers that the executor is unhealthy, or that are errors
    :param first_called_at: monotonic time of the first start call that may have had an effect, or
        may still; None before it
    :param is_age_unknown: an earlier process of the agent has started it, and ``first_called_at``
        is the time at which this one found it
    :param listed_at: monotonic time at which the executor first listed the run
    :param last_listed_at: monotonic time at which the last status that listed it was requested
    :param started_at: monotonic time of the answer to the start call, or ``listed_at``
    :param starts_rejected_since: monotonic time of the answer that the executor has accepted the
        stop of the run, or that its start is outdated; the executor does not start the run after
        that, so the run has ended if a later status does not list it
    :param rejection_reason: why the run was not started
    :param load: tail latency in milliseconds if the task serves users, otherwise cores in use
    :param is_named: the order has named the run; otherwise, its assignment holds no more than its
        task and number
    """

    assignment: Assignment
    incarnation: Incarnation
    should_stop: bool = False
    is_accepted: bool = False
    is_adopted: bool = False
    is_call_active: bool = False
    unresolved_starts: int = 0
    has_reached_executor: bool = False
    failed_starts: int = 0
    first_called_at: float | None = None
    is_age_unknown: bool = False
    listed_at: float | None = None
    last_listed_at: float | None = None
    started_at: float | None = None
    starts_rejected_since: float | None = None
    rejection_reason: str = ""
    checkpoint: str = ""
    progress: RunProgress = field(default_factory=RunProgress)
    load: float = 0.0
    is_named: bool = True

    @property
    def needs_call(self) -> bool:
        """Whether a start or stop call is needed."""
        if self.starts_rejected_since is not None:
            return False
        return self.should_stop or (self.started_at is None and self.is_accepted)

    @property
    def may_be_present(self) -> bool:
        """Whether the executor may have the run."""
        return self.is_adopted or self.first_called_at is not None

    @property
    def is_witnessed(self) -> bool:
        """Whether a start call has certainly reached the executor, as something came back."""
        return (
            self.started_at is not None or self.listed_at is not None or self.has_reached_executor
        )

    @property
    def key(self) -> tuple[TaskId, int]:
        """Return task and run number."""
        return self.assignment.task, self.assignment.run

    def record_progress(self, percent: int, now_s: float, clock_s: float) -> None:
        """Record the percentage that a status lists.

        :param clock_s: reading of the executor's clock in the status, in seconds
        """
        self.progress.record(percent, now_s, clock_s, self.assignment.run_time_s)

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the task makes no progress.

        What the percentage means is not known of a run that the order has not named: the task may
        be long-running, or fill and be paced down to 0.
        """
        return self.is_named and self.progress.is_stalled(self.assignment, now_s)

    @property
    def has_rate(self) -> bool:
        """Whether the percentage shows how fast the task works."""
        assignment = self.assignment
        return not (
            self.should_stop
            or assignment.long_running
            or assignment.fills
            or assignment.target_latency_s > 0
        )

    def is_cleared(self, now_s: float) -> bool:
        """Return whether the run has outlasted its probation."""
        return (
            self.assignment.probation_ms > 0
            and self.listed_at is not None
            and (now_s - self.listed_at) * 1000 >= self.assignment.probation_ms
        )

    def age_s(self, now_s: float) -> float:
        """Return the time since the first start call in seconds; 0 before it."""
        return 0.0 if self.first_called_at is None else max(0.0, now_s - self.first_called_at)

    @property
    def survived_s(self) -> float:
        """Minimum time in seconds for which the run has lived after its confirmed start."""
        if self.started_at is None or self.last_listed_at is None:
            return 0.0
        return max(0.0, self.last_listed_at - self.started_at)

    def withdraw_start_answer(self) -> None:
        """Forget the answer to the start call, as a later incarnation has given it."""
        self.started_at = None
        if not self.unresolved_starts:
            self.first_called_at = None

    def crash_end(self, now_s: float, *, was_watched: bool = True) -> TaskEnd:
        """Return the end of the run by a crash of its executor.

        A run of unknown age may have started long before, so its start is not reported.

        :param now_s: monotonic time at which the executor was found to be down
        :param was_watched: the agent was running when the executor ended
        """
        is_confirmed = self.started_at is not None or self.listed_at is not None
        return TaskEnd(
            *self.key,
            EndKind.CRASHED,
            self.checkpoint,
            age_ms=round(self.age_s(now_s) * 1000),
            is_witnessed=was_watched and self.is_witnessed,
            has_started=is_confirmed and not self.is_age_unknown,
            survived_ms=round(self.survived_s * 1000),
        )
