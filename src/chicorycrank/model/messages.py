"""All messages between entries and agents.

Each message is an array-like tagged struct; ``docs/protocols.md`` describes the wire format.
"""

from chicorycrank.model.gang_messages import (
    CancelReservation,
    GangBeat,
    GangEnded,
    GangMember,
    GangOutcome,
    GangStarted,
    LeaderAnnounce,
    PrepareTask,
    ReleaseTask,
    Reserve,
    StartGang,
    StopGang,
    StopTask,
    TaskPhase,
    TaskStatus,
    WorkerReport,
)
from chicorycrank.model.job_messages import (
    CancelJob,
    ExplainJob,
    JobFinding,
    JobFindings,
    JobList,
    JobReply,
    ListJobs,
    QueryJob,
    ReleaseQuarantine,
    SubmitJob,
    WhereJob,
)
from chicorycrank.model.message import Message, Ok, Refused, Text
from chicorycrank.model.operation_messages import (
    ListTargets,
    QueryState,
    SetDraining,
    TargetInfo,
    TargetList,
)
from chicorycrank.model.peer_messages import (
    PROTOCOL_VERSION,
    CellLoad,
    ConfigInForce,
    ConfigOffer,
    ConfigRequest,
    Digest,
    Goodbye,
    Heartbeat,
    Hello,
    PeerList,
    Role,
    ServiceLoad,
    Welcome,
)
from chicorycrank.model.request_messages import (
    ExecutorReport,
    ForwardRequest,
    KeyState,
    KeyStatus,
    QueryAttempt,
    QueryKey,
    QueryKeyAt,
    RunRequest,
    RunResult,
)

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
    | WhereJob
    | QueryState
    | Text
    | ListTargets
    | TargetList
)

__all__ = [
    "PROTOCOL_VERSION",
    "AnyMessage",
    "CancelJob",
    "CancelReservation",
    "CellLoad",
    "ConfigInForce",
    "ConfigOffer",
    "ConfigRequest",
    "Digest",
    "ExecutorReport",
    "ExplainJob",
    "ForwardRequest",
    "GangBeat",
    "GangEnded",
    "GangMember",
    "GangOutcome",
    "GangStarted",
    "Goodbye",
    "Heartbeat",
    "Hello",
    "JobFinding",
    "JobFindings",
    "JobList",
    "JobReply",
    "KeyState",
    "KeyStatus",
    "LeaderAnnounce",
    "ListJobs",
    "ListTargets",
    "Message",
    "Ok",
    "PeerList",
    "PrepareTask",
    "QueryAttempt",
    "QueryJob",
    "QueryKey",
    "QueryKeyAt",
    "QueryState",
    "Refused",
    "ReleaseQuarantine",
    "ReleaseTask",
    "Reserve",
    "Role",
    "RunRequest",
    "RunResult",
    "ServiceLoad",
    "SetDraining",
    "StartGang",
    "StopGang",
    "StopTask",
    "SubmitJob",
    "TargetInfo",
    "TargetList",
    "TaskPhase",
    "TaskStatus",
    "Text",
    "Welcome",
    "WhereJob",
    "WorkerReport",
]
