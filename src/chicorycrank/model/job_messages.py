"""Messages to the leader of a cell about jobs and workers."""

from msgspec import Struct

from chicorycrank.model.ids import (
    Generation,
    JobId,
    TargetId,
)
from chicorycrank.model.jobs import JobRecord, JobSpec, JobState
from chicorycrank.model.message import Message


class SubmitJob(Message, frozen=True):
    """Submits a job to the leader of a cell; answered by JobReply or Refused."""

    job_id: JobId
    spec: JobSpec


class CancelJob(Message, frozen=True):
    """Cancels a job; answered by JobReply or Refused.

    :param if_generation: refused unless the record has this generation
    """

    job_id: JobId
    if_generation: Generation | None = None


class QueryJob(Message, frozen=True):
    """Asks for a job record; answered by JobReply or Refused.

    :param above: waits until the generation exceeds this
    :param wait_s: longest wait in seconds
    """

    job_id: JobId
    above: Generation = Generation(-1)
    wait_s: float = 0.0


class ExplainJob(Message, frozen=True):
    """Asks why a job waits or was evicted; answered by Text or Refused."""

    job_id: JobId


class JobReply(Message, frozen=True):
    """A job record."""

    record: JobRecord


class ListJobs(Message, frozen=True):
    """Asks for the jobs of a cell; answered by JobList or Refused.

    :param team: empty for all teams
    :param state: absent for all states
    """

    team: str = ""
    state: JobState | None = None


class JobList(Message, frozen=True):
    """Job records of a cell, the last submitted first.

    :param omitted: number of further records that would not fit in one reply
    """

    records: tuple[JobRecord, ...]
    omitted: int = 0


class JobFinding(Struct, frozen=True, array_like=True):
    """A problem of a submitted job.

    :param field: dotted path of the field with the problem
    """

    code: str
    field: str
    message: str


class JobFindings(Message, frozen=True):
    """Negative reply to :class:`SubmitJob`; the job was not accepted."""

    findings: tuple[JobFinding, ...]


class ReleaseQuarantine(Message, frozen=True):
    """Asks a cell's leader to give a quarantined worker work; answered by Ok or Refused."""

    worker: TargetId
