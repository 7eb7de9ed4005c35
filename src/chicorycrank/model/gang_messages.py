"""Messages that reserve accelerators and start, monitor and stop gangs."""

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
    """Load of the sender's worker."""

    load: WorkerLoad
    epoch: Epoch


class LeaderAnnounce(Message, frozen=True):
    """Announces the entry that holds the leader role of a cell."""

    cell: CellId
    epoch: Epoch
    leader: EntryId


class Reserve(Message, frozen=True):
    """Request to reserve accelerators of the agent's worker; answered by Ok or Refused.

    :param member: index of the member in its gang
    :param accelerators: numbers of the accelerators on the worker
    :param ttl_s: time in seconds after which the reservation expires
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
    """Request to end an attempt that the leader has cancelled; answered by Ok or Refused.

    The agent also stops tasks of the attempt, which may run if the reply to :class:`StartGang` was
    lost.
    """

    epoch: Epoch
    job_id: JobId
    attempt: int


class GangMember(Struct, frozen=True, array_like=True):
    """Placement of a gang member, and the ``host:port`` address of its agent."""

    placement: MemberPlacement
    address: str


class StartGang(Message, frozen=True):
    """Request to the first member's agent to start a reserved gang; answered by Ok or Refused.

    The agent becomes the head of the gang.

    :param progress_s: saved work in seconds from which the gang resumes
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    spec: JobSpec
    members: tuple[GangMember, ...]
    progress_s: float


class StopGang(Message, frozen=True):
    """Request to the head of a gang to stop it.

    :param grace_s: time in seconds for a checkpoint; 0 stops without one
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
    LOST = "lost"  # a member was lost, stopped unexpectedly or could not start its work
    NOT_STARTED = "not_started"  # a member could not be prepared, so no task has begun to work


class GangStarted(Message, frozen=True):
    """Notification that the head of a gang has let the tasks of all members work."""

    job_id: JobId
    attempt: int


class GangEnded(Message, frozen=True):
    """Notification that a gang has ended; repeated until it is answered by Ok.

    :param progress_s: saved work in seconds
    :param blamed: worker that caused the end, if any: it could not prepare or start its task, or a
        task on it failed or was lost
    """

    job_id: JobId
    attempt: int
    outcome: GangOutcome
    progress_s: float
    reason: str = ""
    blamed: TargetId | None = None


class PrepareTask(Message, frozen=True):
    """Request of the head to start a reserved task with a throttle of 0.

    The task does no work until :class:`ReleaseTask`. Answered by Ok or Refused.
    """

    job_id: JobId
    attempt: int
    member: int
    spec: JobSpec
    members: tuple[GangMember, ...]
    progress_s: float


class ReleaseTask(Message, frozen=True):
    """Request of the head to let the prepared tasks of a gang work; answered by Ok or Refused."""

    job_id: JobId
    attempt: int


class GangBeat(Message, frozen=True):
    """Heartbeat of the head to a member; answered by :class:`TaskStatus` or Refused."""

    job_id: JobId
    attempt: int


class TaskPhase(Enum):
    """Phase of a member's tasks."""

    PREPARED = "prepared"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    GONE = "gone"  # stopped, lost, unreachable or unknown to the agent


class TaskStatus(Message, frozen=True):
    """Status of a member's tasks of one gang.

    :param progress_s: work in seconds that the tasks have done; only saved work if the phase is
        ``FAILED`` or ``GONE``
    """

    phase: TaskPhase
    progress_s: float
    detail: str = ""


class StopTask(Message, frozen=True):
    """Request of the head to stop the tasks of a gang; answered by :class:`TaskStatus` or Refused.

    :param grace_s: time in seconds for a checkpoint; 0 stops without one
    """

    job_id: JobId
    attempt: int
    grace_s: float
