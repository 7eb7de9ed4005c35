"""Acceptance of submitted jobs: a job is accepted once its record is in the store."""

from datetime import timedelta

from chicorycrank.entry.job_records import JobRecords
from chicorycrank.model.ids import Epoch, Generation, JobId
from chicorycrank.model.jobs import JobRecord, JobSpec, JobState
from chicorycrank.model.messages import Refused
from chicorycrank.ports.clock import Clock

# Shorter than the timeout of a forwarding entry for the leader's reply.
WRITE_TIMEOUT = timedelta(seconds=3)
RETRY_AFTER_S = 5.0


async def submit(
    records: JobRecords, clock: Clock, epoch: Epoch, job_id: JobId, spec: JobSpec
) -> JobRecord | Refused:
    """Accept a job, or return the record of an earlier submission with the same key.

    :returns: the record once it is in the store, or a refusal. After the refusal
        ``write_unconfirmed`` the record may still be written later; after any other it is not.
    """
    record = records.records_by_id.get(job_id)
    if record is None:
        if not records.is_available:
            return _refuse("store_unavailable", "the store does not answer")
        record = JobRecord(
            job_id=job_id,
            spec=spec,
            state=JobState.QUEUED,
            generation=Generation(1),
            epoch=epoch,
            submitted_at=clock.now(),
        )
        if not records.add(record):
            return _refuse("shard_full", "the job's record shard has no room for further jobs")
    elif record.spec != spec:
        return Refused("key_conflict", "the key was used for a job with another specification")
    if not records.is_accepted(job_id):
        await records.wait_until_written(job_id, WRITE_TIMEOUT)
    if records.is_accepted(job_id):
        return record
    if records.withdraw(job_id):
        return _refuse("store_unavailable", "the record could not be written in time")
    return _refuse("write_unconfirmed", "submit again with the same key")


async def confirm_written(records: JobRecords, record: JobRecord) -> JobRecord | Refused:
    """Return a changed record once the change is in the store, or a refusal after a timeout."""
    if await records.wait_until_written(record.job_id, WRITE_TIMEOUT):
        return record
    return _refuse("write_unconfirmed", "the store has not confirmed the change")


def _refuse(code: str, detail: str) -> Refused:
    return Refused(code, detail, RETRY_AFTER_S)
