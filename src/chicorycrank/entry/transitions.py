"""Changes of job records, with the occupation of the cell and the delays before a next start."""

from collections.abc import Callable

from chicorycrank.entry.gang_reports import FENCE_S
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.occupation import Occupation
from chicorycrank.model.ids import Epoch, Generation, JobId
from chicorycrank.model.jobs import JobRecord, JobState
from chicorycrank.model.messages import GangEnded, GangOutcome
from chicorycrank.ports.clock import Clock

BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 30.0
# Keeps the bound of 9.5 s for the start of urgent work within reach after a refusal.
URGENT_BACKOFF_MAX_S = 2.0
MAX_FAILURES = 3
MAX_REASON_LENGTH = 400


class Transitions:
    """Moves the jobs of one term from state to state.

    :param jitter: returns a number from 0 to 1
    """

    def __init__(
        self,
        records: JobRecords,
        occupation: Occupation,
        clock: Clock,
        epoch: Epoch,
        jitter: Callable[[], float],
    ) -> None:
        self._records = records
        self._occupation = occupation
        self._clock = clock
        self._epoch = epoch
        self._jitter = jitter
        self._not_before_by_job: dict[JobId, float] = {}
        self._refusals_by_job: dict[JobId, int] = {}

    def change(self, record: JobRecord, **fields: object) -> None:
        """Change a record; its generation grows by one."""
        fields["reason"] = str(fields.get("reason", record.reason))[:MAX_REASON_LENGTH]
        for name, value in fields.items():
            setattr(record, name, value)
        record.generation = Generation(record.generation + 1)
        record.epoch = self._epoch
        self._records.mark(record.job_id)

    def note_start(self, record: JobRecord) -> None:
        """Record that all members of the gang work."""
        self._refusals_by_job.pop(record.job_id, None)
        self.change(record, state=JobState.RUNNING, started_at=self._clock.now())

    def end(self, record: JobRecord, state: JobState, reason: str = "") -> None:
        """Put a job into a final state."""
        ended_at = self._clock.now()
        completed_at = ended_at if state is JobState.COMPLETED else None
        self._occupation.release(record.job_id, completed_at=completed_at)
        self._not_before_by_job.pop(record.job_id, None)
        self._refusals_by_job.pop(record.job_id, None)
        self.change(record, state=state, ended_at=ended_at, reason=reason)

    def end_attempt(self, record: JobRecord, message: GangEnded) -> None:
        """Record how an attempt ended: the job ends or is queued again."""
        record.attempt = message.attempt
        if message.outcome is GangOutcome.COMPLETED:
            self.end(record, JobState.COMPLETED)
            return
        record.failures += message.outcome is GangOutcome.FAILED
        if record.failures >= MAX_FAILURES and not record.cancel_requested:
            self.end(record, JobState.FAILED, reason=message.reason)
            return
        record.progress_s = max(record.progress_s, message.progress_s)
        if message.outcome is GangOutcome.LOST:
            fenced_at = self._clock.monotonic() + FENCE_S
            self._not_before_by_job[record.job_id] = fenced_at
        elif message.outcome is not GangOutcome.STOPPED:
            self.back_off(record)
        self.queue_again(record, message.reason)

    def queue_again(self, record: JobRecord, reason: str) -> None:
        """Queue a job whose attempt has ended, or end it if it was cancelled meanwhile."""
        if record.cancel_requested:
            self.end(record, JobState.CANCELLED, reason="cancelled")
            return
        self._occupation.release(record.job_id)
        self.change(record, state=JobState.QUEUED, placement=(), reason=reason)

    def back_off(self, record: JobRecord) -> None:
        """Delay the next start after a refusal or a failure; the delay doubles each time."""
        refusals = self._refusals_by_job.get(record.job_id, 0)
        self._refusals_by_job[record.job_id] = refusals + 1
        limit_s = URGENT_BACKOFF_MAX_S if record.spec.urgent else BACKOFF_MAX_S
        delay_s = min(limit_s, BACKOFF_MIN_S * 2.0 ** min(refusals, 10))
        not_before = self._clock.monotonic() + delay_s * (0.5 + self._jitter() / 2)
        self._not_before_by_job[record.job_id] = not_before

    def may_start(self, record: JobRecord) -> bool:
        """Return whether a job waits, is in the store and has no delay to wait for."""
        now_s = self._clock.monotonic()
        return (
            record.state is JobState.QUEUED
            and self._not_before_by_job.get(record.job_id, now_s) <= now_s
            and self._records.is_accepted(record.job_id)
        )
