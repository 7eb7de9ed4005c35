"""Messages between entries and agents.

Each message is an array-like tagged struct; ``docs/protocols.md`` gives the wire format.
"""

from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import (
    AttemptId,
    CellId,
    EntryId,
    Epoch,
    Generation,
    GuaranteeId,
    Incarnation,
    JobId,
    Nonce,
    RegionId,
    RequestKey,
    ServiceId,
    TargetId,
    ZoneId,
)
from chicorycrank.model.jobs import JobRecord, JobSpec, JobState, MemberPlacement
from chicorycrank.model.requests import Answer, Request
from chicorycrank.model.targets import (
    EntryInfo,
    ExecutorInfo,
    ExecutorLoad,
    TargetKind,
    WorkerInfo,
    WorkerLoad,
)

PROTOCOL_VERSION = 1


class Role(Enum):
    """Role of a peer."""

    ENTRY = "entry"
    AGENT = "agent"


class Message(Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; the tag is the class name."""


class Hello(Message, frozen=True):
    """First message of the side that opened the connection.

    :param address: ``host:port`` at which the peer accepts connections
    """

    version: int
    role: Role
    peer_id: str
    incarnation: Incarnation
    region: RegionId
    zone: ZoneId
    address: str
    config_generation: Generation = Generation(0)
    target_kind: TargetKind | None = None
    executor: ExecutorInfo | None = None
    worker: WorkerInfo | None = None


class Welcome(Message, frozen=True):
    """Reply to :class:`Hello`."""

    entry: EntryInfo
    incarnation: Incarnation
    entries: tuple[EntryInfo, ...]


class Goodbye(Message, frozen=True):
    """Last message before a side closes the connection."""

    reason: str


class Heartbeat(Message, frozen=True):
    """Proves that the connection lives."""


class PeerList(Message, frozen=True):
    """Entries of the agent's region."""

    entries: tuple[EntryInfo, ...]


class ConfigOffer(Message, frozen=True):
    """A configuration document, encoded."""

    generation: Generation
    document: bytes


class ConfigRequest(Message, frozen=True):
    """Asks for the configuration if it is newer than ``above``."""

    above: Generation


class ConfigInForce(Message, frozen=True):
    """The sender has put this generation in force."""

    generation: Generation


class ExecutorReport(Message, frozen=True):
    """Load of the sender's executor."""

    load: ExecutorLoad


class WorkerReport(Message, frozen=True):
    """Occupation of the sender's worker."""

    load: WorkerLoad
    epoch: Epoch


class RunRequest(Message, frozen=True):
    """Runs a request on the agent's executor; answered by :class:`RunResult`."""

    attempt_id: AttemptId
    nonce: Nonce
    incarnation: Incarnation
    request: Request


class RunResult(Message, frozen=True):
    """Outcome of an attempt."""

    attempt_id: AttemptId
    answer: Answer


class QueryAttempt(Message, frozen=True):
    """Asks for the outcome of an attempt after a lost connection."""

    attempt_id: AttemptId
    incarnation: Incarnation


class QueryKey(Message, frozen=True):
    """Asks whether a claimed key has run; an unseen nonce is refused from then on."""

    key: RequestKey
    nonce: Nonce
    incarnation: Incarnation


class QueryKeyAt(Message, frozen=True):
    """Entry to entry: put a :class:`QueryKey` to an agent of the receiver's region."""

    target: TargetId
    key: RequestKey
    nonce: Nonce
    incarnation: Incarnation


class KeyStatus(Enum):
    """What an agent knows of a key or an attempt."""

    NEVER_RAN = "never_ran"
    RUNNING = "running"
    DONE = "done"
    OTHER_INCARNATION = "other_incarnation"


class KeyState(Message, frozen=True):
    """Reply to :class:`QueryKey` and :class:`QueryAttempt`."""

    status: KeyStatus
    answer: Answer | None = None


class ForwardRequest(Message, frozen=True):
    """Runs a request in the receiving entry's region; answered by :class:`RunResult`."""

    attempt_id: AttemptId
    request: Request


class SetDraining(Message, frozen=True):
    """Tells an agent that its target leaves or returns; answered by :class:`Ok`."""

    target: TargetId
    draining: bool


class Ok(Message, frozen=True):
    """Positive reply without content."""


class Refused(Message, frozen=True):
    """Negative reply; nothing was changed.

    :param code: stable word for programs, such as ``stale_epoch``
    :param retry_after_s: time after which a retry makes sense in seconds; 0 if unknown
    """

    code: str
    detail: str = ""
    retry_after_s: float = 0.0


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


class ServiceLoad(Struct, frozen=True, array_like=True):
    """Load of one service in one region."""

    service: ServiceId
    free_slots: int
    slots: int
    latency_s: float
    queued: int


class CellLoad(Struct, frozen=True, array_like=True):
    """Load of one cell, sent by its leader.

    :param largest_free_workers: wholly free workers of the rack with the most of them
    :param free_guarantees: guarantees with an instance that no job of the team uses
    """

    cell: CellId
    epoch: Epoch
    leader: EntryId
    free_accelerators: int
    largest_free_workers: int
    queued_jobs: int
    free_guarantees: tuple[GuaranteeId, ...] = ()


class Digest(Message, frozen=True):
    """State of an entry, sent to the other entries every second.

    :param config_nonce: tells apart two documents of one generation
    """

    config_generation: Generation
    services: tuple[ServiceLoad, ...]
    cells: tuple[CellLoad, ...]
    draining: bool
    config_nonce: Nonce = Nonce("")


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


class QueryState(Message, frozen=True):
    """Asks for the peer's state; answered by Text with a JSON document."""

    peer_id: str


class ListTargets(Message, frozen=True):
    """Asks an entry for the targets connected to it; answered by :class:`TargetList`."""


class TargetInfo(Struct, frozen=True, array_like=True):
    """A connected target.

    :param generation: configuration that its agent has confirmed
    """

    target: TargetId
    kind: TargetKind
    region: RegionId
    zone: ZoneId
    generation: Generation
    draining: bool
    reachable: bool
    executor: ExecutorInfo | None = None
    worker: WorkerInfo | None = None


class TargetList(Message, frozen=True):
    """The targets of an entry, and the configuration in force there."""

    entry: EntryId
    region: RegionId
    generation: Generation
    nonce: Nonce
    targets: tuple[TargetInfo, ...]


class Text(Message, frozen=True):
    """A JSON document."""

    text: str


AnyMessage = (
    Hello
    | Welcome
    | Goodbye
    | Heartbeat
    | PeerList
    | ConfigOffer
    | ConfigRequest
    | ConfigInForce
    | ExecutorReport
    | WorkerReport
    | RunRequest
    | RunResult
    | QueryAttempt
    | QueryKey
    | QueryKeyAt
    | KeyState
    | ForwardRequest
    | SetDraining
    | Ok
    | Refused
    | LeaderAnnounce
    | Reserve
    | CancelReservation
    | StartGang
    | StopGang
    | GangStarted
    | GangEnded
    | PrepareTask
    | ReleaseTask
    | GangBeat
    | TaskStatus
    | StopTask
    | Digest
    | SubmitJob
    | CancelJob
    | QueryJob
    | ExplainJob
    | JobReply
    | ListJobs
    | JobList
    | JobFindings
    | ReleaseQuarantine
    | QueryState
    | Text
    | ListTargets
    | TargetList
)
