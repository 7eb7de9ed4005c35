"""Jobs: gang shape, placement and the durable record."""

from datetime import datetime
from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import Epoch, Generation, JobId, RegionId, TargetId, TeamId


class Adjacency(Enum):
    """How close the members of a gang must be."""

    WORKER = "worker"
    RACK = "rack"
    ANY = "any"


class JobState(Enum):
    """State of a job record."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class WorkKind(Enum):
    """Whether a running job is inside its team's guarantee or borrows."""

    GUARANTEED = "guaranteed"
    BORROWED = "borrowed"


class GangShape(Struct, frozen=True, kw_only=True):
    """Resources of a gang.

    :param members: tasks in the gang
    :param accelerators: accelerators of each member, all in one worker
    :param adjacency: how close the members must be
    :param cores: processor cores of each member
    :param memory_gb: memory of each member in gigabytes
    """

    members: int
    accelerators: int
    adjacency: Adjacency = Adjacency.RACK
    cores: int = 0
    memory_gb: int = 0


class JobSpec(Struct, frozen=True, kw_only=True):
    """A job as submitted.

    :param run_time_s: declared run time in seconds
    :param payload: opaque text handed to each member's task
    :param region: region that must run the job; any region if absent
    """

    team: TeamId
    name: str
    shape: GangShape
    run_time_s: float
    urgent: bool = False
    checkpointable: bool = False
    region: RegionId | None = None
    payload: str = ""


class MemberPlacement(Struct, frozen=True):
    """Accelerators of one worker that one member of a gang uses."""

    worker: TargetId
    accelerators: tuple[int, ...]


class JobRecord(Struct, kw_only=True):
    """The durable record of a job.

    :param generation: grows by exactly one per change
    :param epoch: scheduler epoch that wrote the record last
    :param attempt: number of the current or last start, from 1
    :param progress_s: saved work in seconds of run time
    :param evicted_for: job for which it was evicted last
    :param failed_on: different workers at which its tasks failed
    """

    job_id: JobId
    spec: JobSpec
    state: JobState
    generation: Generation
    epoch: Epoch
    submitted_at: datetime
    attempt: int = 0
    started_at: datetime | None = None
    ended_at: datetime | None = None
    placement: tuple[MemberPlacement, ...] = ()
    kind: WorkKind | None = None
    progress_s: float = 0.0
    evictions: int = 0
    failures: int = 0
    reason: str = ""
    cancel_requested: bool = False
    evicted_for: JobId | None = None
    failed_on: tuple[TargetId, ...] = ()
