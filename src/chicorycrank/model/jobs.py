"""Jobs: specification, gang shape, placement and stored record."""

from datetime import datetime
from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import Epoch, Generation, JobId, RegionId, TargetId, TeamId


class Adjacency(Enum):
    """Required proximity of the members of a gang."""

    WORKER = "worker"  # all members in one worker
    RACK = "rack"  # all members in one rack
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
    """Whether a running job uses its team's guarantee or borrowed capacity."""

    GUARANTEED = "guaranteed"
    BORROWED = "borrowed"


class GangShape(Struct, frozen=True, kw_only=True):
    """Resources of a gang.

    :param members: number of tasks in the gang
    :param accelerators: number of accelerators of each member, all in one worker
    :param adjacency: required proximity of the members
    :param cores: number of processor cores of each member
    :param memory_gb: memory of each member in gigabytes
    """

    members: int
    accelerators: int
    adjacency: Adjacency = Adjacency.RACK
    cores: int = 0
    memory_gb: int = 0


class JobSpec(Struct, frozen=True, kw_only=True):
    """Specification of a job, as submitted.

    :param run_time_s: declared run time in seconds
    :param urgent: the job is placed before jobs that are not urgent
    :param checkpointable: the job can save checkpoints and resume from them
    :param region: region that must run the job; None for any region
    :param payload: opaque text that is passed to each member's task
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
    """Worker of a gang member, and the numbers of the accelerators that the member uses."""

    worker: TargetId
    accelerators: tuple[int, ...]


class JobRecord(Struct, kw_only=True):
    """Stored record of a job.

    :param generation: incremented by one for each change
    :param epoch: epoch of the leader that wrote the record last
    :param attempt: number of the current or last attempt, from 1; 0 before the first
    :param kind: use of guaranteed or borrowed capacity
    :param progress_s: saved work in seconds of run time
    :param evictions: number of times that the job was evicted
    :param failures: number of failures that count against the job
    :param evicted_for: job for which this job was last evicted
    :param failed_on: distinct workers on which the job's tasks failed
    :param lost_on: distinct workers that were lost soon after starts of the job, since its last
        start that lasted longer
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
    lost_on: tuple[TargetId, ...] = ()
