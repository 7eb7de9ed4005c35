"""Messages of reservations and gangs."""

from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import (
    CellId,
    EntryId,
    Epoch,
    JobId,
    TargetId,
)
from chicorycrank.model.jobs import JobSpec, MemberPlacement
from chicorycrank.model.message import Message
from chicorycrank.model.targets import (
    WorkerLoad,
)


class WorkerReport(Message, frozen=True):
    """Occupation of the sender's worker."""

    load: WorkerLoad
    epoch: Epoch


class LeaderAnnounce(Message, frozen=True):
    """The sender holds the scheduler role of a cell."""

    cell: CellId
    epoch: Epoch
    leader: EntryId


class Reserve(Message, frozen=True):
    """Reserves accelerators of the agent's worker; answered by Ok or Refused.

    :param ttl_s: the reservation expires after this time in seconds
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    member: int
    accelerators: tuple[int, ...]
    cores: int
    memory_gb: int
    ttl_s: float


class CancelReservation(Message, frozen=True):
    """Gives up a reservation; answered by Ok."""

    epoch: Epoch
    job_id: JobId
    attempt: int


class GangMember(Struct, frozen=True, array_like=True):
    """A member of a gang and the address of its agent."""

    placement: MemberPlacement
    address: str


class StartGang(Message, frozen=True):
    """Tells the first member's agent to start a reserved gang; answered by Ok or Refused.

    :param progress_s: saved work to resume from, in seconds
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    spec: JobSpec
    members: tuple[GangMember, ...]
    progress_s: float


class StopGang(Message, frozen=True):
    """Tells the head of a gang to stop it.

    :param grace_s: time for a checkpoint in seconds; 0 stops at once
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    grace_s: float
    reason: str


class GangOutcome(Enum):
    """How a gang ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    LOST = "lost"
    NOT_STARTED = "not_started"


class GangStarted(Message, frozen=True):
    """The head released all members of the gang."""

    job_id: JobId
    attempt: int


class GangEnded(Message, frozen=True):
    """A gang ended; sent until it is answered by Ok.

    :param progress_s: saved work in seconds
    :param blamed: worker whose task failed or was lost
    """

    job_id: JobId
    attempt: int
    outcome: GangOutcome
    progress_s: float
    reason: str = ""
    blamed: TargetId | None = None


class PrepareTask(Message, frozen=True):
    """Head to member: start the reserved task throttled to zero; answered by Ok or Refused."""

    job_id: JobId
    attempt: int
    member: int
    spec: JobSpec
    members: tuple[GangMember, ...]
    progress_s: float


class ReleaseTask(Message, frozen=True):
    """Head to member: lift the throttle; answered by Ok."""

    job_id: JobId
    attempt: int


class GangBeat(Message, frozen=True):
    """Head to member: the gang lives; answered by :class:`TaskStatus`."""

    job_id: JobId
    attempt: int


class TaskPhase(Enum):
    """Phase of a member's task."""

    PREPARED = "prepared"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    GONE = "gone"


class TaskStatus(Message, frozen=True):
    """State of a member's tasks of one gang."""

    phase: TaskPhase
    progress_s: float
    detail: str = ""


class StopTask(Message, frozen=True):
    """Head to member: stop the tasks of a gang; answered by :class:`TaskStatus`."""

    job_id: JobId
    attempt: int
    grace_s: float
