"""State transitions of jobs, including accelerators in use and the backoff between starts."""

import logging
from collections.abc import Callable
from datetime import timedelta

from chicorycrank.entry.cell_occupancy import CellOccupancy
from chicorycrank.entry.gang_reports import FENCING_DELAY_S
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.model.ids import Epoch, Generation, JobId, TargetId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobState
from chicorycrank.model.messages import GangEnded, GangOutcome
from chicorycrank.policy.quarantine import Quarantine
from chicorycrank.ports.clock import Clock

BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 30.0
# Urgent jobs have to start within 9.5 s even after a refusal.
URGENT_BACKOFF_MAX_S = 2.0
# Failures on this many different workers are attributed to the job, which then fails.
MAX_FAILED_WORKERS = 3
# Limits the retries of a job that is placed on the same workers again and again.
MAX_FAILURES = 8
# A job may have caused the loss of a worker that follows its start within this time.
LOST_START_WINDOW = timedelta(seconds=60)
# Workers lost in this way, one after the other, after which the job is given up.
MAX_LOST_WORKERS = 5
MAX_REASON_LENGTH = 400


logger = logging.getLogger("absl")


class Transitions:
    """Applies state transitions to the jobs of one term.

    :param jitter: returns a random factor from 0 to 1 for retry delays
    """

    def __init__(
        self,
        records: JobRecords,
        occupancy: CellOccupancy,
        clock: Clock,
        epoch: Epoch,
        jitter: Callable[[], float],
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._records = records
        self._occupancy = occupancy
        self._clock = clock
        self._epoch = epoch
        self._jitter = jitter
        self._not_before_by_job: dict[JobId, float] = {}
        self._backoffs_by_job: dict[JobId, int] = {}

    def change(self, record: JobRecord, **fields: object) -> None:
        """Change fields of a record and increment its generation."""
        fields["reason"] = str(fields.get("reason", record.reason))[:MAX_REASON_LENGTH]
        for name, value in fields.items():
            setattr(record, name, value)
        record.generation = Generation(record.generation + 1)
        record.epoch = self._epoch
        self._records.mark_changed(record.job_id)

    def record_start(self, record: JobRecord) -> None:
        """Record that all members of the gang run."""
        self._backoffs_by_job.pop(record.job_id, None)
        self.change(record, state=JobState.RUNNING, started_at=self._clock.now())

    def end_job(self, record: JobRecord, state: JobState, reason: str = "") -> None:
        """Move a job to a final state and release its accelerators."""
        ended_at = self._clock.now()
        completed_at = ended_at if state is JobState.COMPLETED else None
        self._occupancy.release(record.job_id, completed_at=completed_at)
        self._not_before_by_job.pop(record.job_id, None)
        self._backoffs_by_job.pop(record.job_id, None)
        self._quarantine.record_attempt_end(
            record.job_id, record.placement, ok=state is JobState.COMPLETED
        )
        self._quarantine.discard_job(record.job_id, is_faulty=state is JobState.FAILED)
        self.change(record, state=state, ended_at=ended_at, reason=reason)

    def end_attempt(self, record: JobRecord, message: GangEnded) -> None:
        """Record the end of an attempt; the job ends or is queued again."""
        record.attempt = message.attempt
        if message.outcome is GangOutcome.COMPLETED:
            self.end_job(record, JobState.COMPLETED)
            return
        self._record_failure(record, message)
        if _has_failed(record) and not record.cancel_requested:
            workers = ", ".join(record.failed_on)
            reason = f"failed {record.failures} times, on {workers or 'no known worker'}; last: "
            self.end_job(record, JobState.FAILED, reason=reason + message.reason)
            return
        record.progress_s = max(record.progress_s, message.progress_s)
        if message.outcome is GangOutcome.LOST:
            if self.record_loss(record, message.blamed):
                return
            fenced_at = self._clock.monotonic() + FENCING_DELAY_S
            self._not_before_by_job[record.job_id] = fenced_at
        elif message.outcome is not GangOutcome.STOPPED:
            self.back_off(record)
        self.requeue(record, message.reason)

    def _record_failure(self, record: JobRecord, message: GangEnded) -> None:
        """Count a failure of the job, unless it is attributed to the worker."""
        is_failed = message.outcome is GangOutcome.FAILED
        worker = message.blamed
        if worker is not None and (is_failed or message.outcome is GangOutcome.NOT_STARTED):
            is_counted = self._quarantine.record_failure(worker, record.job_id, message.reason)
            if worker in self._quarantine.quarantined_by_worker:
                self._discard_failures_on(worker)
            if is_failed and is_counted and worker not in record.failed_on:
                record.failed_on = (*record.failed_on, worker)
            is_failed = is_failed and is_counted
        record.failures += is_failed

    def record_loss(self, record: JobRecord, worker: TargetId | None) -> bool:
        """Record that an attempt was lost; return true if the job is given up for it.

        :param worker: worker that was lost; None if another cause is known
        """
        if worker is None or record.cancel_requested:
            return False
        started_at = record.started_at if record.state is JobState.RUNNING else None
        if started_at is not None and self._clock.now() - started_at > LOST_START_WINDOW:
            record.lost_on = ()
            return False
        if worker not in record.lost_on:
            record.lost_on = (*record.lost_on, worker)
        logger.warning(
            "event=worker_lost_after_start job=%s attempt=%d workers=%s",
            record.job_id,
            record.attempt,
            ",".join(record.lost_on),
        )
        if len(record.lost_on) < MAX_LOST_WORKERS:
            return False
        workers = ", ".join(record.lost_on)
        self.end_job(
            record, JobState.FAILED, reason=f"its starts were followed by the loss of {workers}"
        )
        return True

    def _discard_failures_on(self, worker: TargetId) -> None:
        """Remove the failures on a quarantined worker from jobs that have not ended."""
        for record in self._records.records_by_id.values():
            if worker in record.failed_on and record.state not in FINAL_STATES:
                other_workers = tuple(other for other in record.failed_on if other != worker)
                self.change(record, failed_on=other_workers, failures=max(0, record.failures - 1))

    def requeue(self, record: JobRecord, reason: str) -> None:
        """Queue a job whose attempt has ended, or end the job if it was cancelled meanwhile."""
        if record.cancel_requested:
            self.end_job(record, JobState.CANCELLED, reason="cancelled")
            return
        self._occupancy.release(record.job_id)
        self._quarantine.record_attempt_end(record.job_id, record.placement, ok=False)
        self.change(record, state=JobState.QUEUED, placement=(), reason=reason)

    def back_off(self, record: JobRecord) -> None:
        """Delay the next start after a refusal or failure; the delay doubles up to a limit."""
        backoffs = self._backoffs_by_job.get(record.job_id, 0)
        self._backoffs_by_job[record.job_id] = backoffs + 1
        limit_s = URGENT_BACKOFF_MAX_S if record.spec.urgent else BACKOFF_MAX_S
        delay_s = min(limit_s, BACKOFF_MIN_S * 2.0 ** min(backoffs, 10))
        not_before = self._clock.monotonic() + delay_s * (0.5 + self._jitter() / 2)
        self._not_before_by_job[record.job_id] = not_before

    def delay_s(self, job_id: JobId) -> float:
        """Return the time until the next start of a job is allowed, in seconds."""
        now_s = self._clock.monotonic()
        return max(0.0, self._not_before_by_job.get(job_id, now_s) - now_s)

    def may_start(self, record: JobRecord) -> bool:
        """Return whether a job is queued, its record is in the store and its backoff is over."""
        return (
            record.state is JobState.QUEUED
            and self.delay_s(record.job_id) <= 0
            and self._records.is_accepted(record.job_id)
        )


def _has_failed(record: JobRecord) -> bool:
    return len(record.failed_on) >= MAX_FAILED_WORKERS or record.failures >= MAX_FAILURES
