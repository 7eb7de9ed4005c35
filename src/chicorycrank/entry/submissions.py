"""Acceptance of jobs: a job is accepted once its record is in the store."""

from datetime import timedelta

from chicorycrank.entry.job_records import JobRecords
from chicorycrank.model.ids import Epoch, Generation, JobId
from chicorycrank.model.jobs import JobRecord, JobSpec, JobState
from chicorycrank.model.messages import Refused
from chicorycrank.ports.clock import Clock

# Below the time that a forwarding entry waits for the leader's reply.
WRITE_LIMIT = timedelta(seconds=3)
RETRY_AFTER_S = 5.0


async def submit(
    records: JobRecords, clock: Clock, epoch: Epoch, job_id: JobId, spec: JobSpec
) -> JobRecord | Refused:
    """Accept a job, or find the record that an earlier submission under the same key left.

    :returns: the record once it is in the store; ``write_unconfirmed`` if it may get there
        later; any other refusal is certain
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
        await records.wait_written(job_id, WRITE_LIMIT)
    if records.is_accepted(job_id):
        return record
    if records.withdraw(job_id):
        return _refuse("store_unavailable", "the record could not be written in time")
    return _refuse("write_unconfirmed", "submit again with the same key")


async def confirm(records: JobRecords, record: JobRecord) -> JobRecord | Refused:
    """Return a changed record once the change is in the store."""
    if await records.wait_written(record.job_id, WRITE_LIMIT):
        return record
    return _refuse("write_unconfirmed", "the store has not confirmed the change")


def _refuse(code: str, detail: str) -> Refused:
    return Refused(code, detail, RETRY_AFTER_S)
