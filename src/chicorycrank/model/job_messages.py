"""Calls to the leader of a cell about jobs and workers, and the replies."""

from msgspec import Struct

from chicorycrank.model.ids import (
    Generation,
    JobId,
    TargetId,
)
from chicorycrank.model.jobs import JobRecord, JobSpec, JobState
from chicorycrank.model.message import Message


class SubmitJob(Message, frozen=True):
    """Request to accept a job; answered by JobReply, JobFindings or Refused."""

    job_id: JobId
    spec: JobSpec


class CancelJob(Message, frozen=True):
    """Request to cancel a job; answered by JobReply or Refused.

    :param if_generation: generation that the record must have; None for any generation
    """

    job_id: JobId
    if_generation: Generation | None = None


class QueryJob(Message, frozen=True):
    """Query for a job record; answered by JobReply or Refused.

    :param above: generation that the record must exceed before the reply is sent
    :param wait_s: maximum time in seconds to wait for that generation
    """

    job_id: JobId
    above: Generation = Generation(-1)
    wait_s: float = 0.0


class ExplainJob(Message, frozen=True):
    """Query for the reason why a job waits or was evicted; answered by Text or Refused."""

    job_id: JobId


class WhereJob(Message, frozen=True):
    """Query for where a job would go now; answered by Text, JobFindings or Refused."""

    spec: JobSpec


class JobReply(Message, frozen=True):
    """Reply with a job record."""

    record: JobRecord


class ListJobs(Message, frozen=True):
    """Query for the jobs of a cell; answered by JobList or Refused.

    :param team: team of the jobs; empty for all teams
    :param state: state of the jobs; None for all states
    """

    team: str = ""
    state: JobState | None = None


class JobList(Message, frozen=True):
    """Job records of a cell, the last submitted first.

    :param omitted: number of matching records that did not fit in the reply
    """

    records: tuple[JobRecord, ...]
    omitted: int = 0


class JobFinding(Struct, frozen=True, array_like=True):
    """Problem of a submitted job.

    :param code: machine-readable kind of the problem
    :param field: dotted path of the field with the problem
    """

    code: str
    field: str
    message: str


class JobFindings(Message, frozen=True):
    """Reply to :class:`SubmitJob` that rejects the job with all its problems."""

    findings: tuple[JobFinding, ...]


class ReleaseQuarantine(Message, frozen=True):
    """Request to release a worker from quarantine; answered by Ok or Refused."""

    worker: TargetId
