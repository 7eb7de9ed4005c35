"""Batch jobs: steps of tasks, what was submitted and how far it is."""

from enum import IntEnum

from msgspec import Struct, field

from chicorycrank.model.ids import (
    Incarnation,
    JobId,
    QueueId,
    RackId,
    ServiceId,
    TargetId,
    TaskId,
    TeamId,
)


class Step(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Equal tasks of a job.

    :param cores: processor of each task in thousandths of a core
    :param run_time_s: declared run time of a task in seconds
    :param after: numbers of the earlier steps that must be complete
    :param label: label that a worker must have
    :param data_rack: rack with the data; tasks run slower on any other
    :param max_per_worker: tasks of the step allowed on one worker; 0 for no limit
    :param long_running: the tasks run until the job is cancelled
    :param target_latency_s: bound of the tail latency of a task that serves users
    :param fills: the tasks use processor time that others leave
    :param max_unavailable: long-running tasks that may be interrupted at the same time
    """

    count: int
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0
    run_time_s: float = 1.0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    checkpointing: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_latency_s: float = 0.0
    fills: bool = False
    max_unavailable: int = 0


class Advice(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Times of the service that says which workers may run a step.

    :param decision_s: time of an answer in seconds
    :param per_worker_s: further seconds for each worker asked about
    :param validity_s: how long an answer holds, in seconds
    """

    decision_s: float = 0.0
    per_worker_s: float = 0.0
    validity_s: float = 0.0


class Queue(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A queue of batch jobs as the operator declares it.

    :param host: host name of the queue's calls
    :param prefix: path prefix of the queue's calls
    :param priority: 0 comes first and may evict others
    :param max_attempts: failed runs of a task after which its job fails
    :param target_latency_s: allowance in seconds for the wait of a job
    :param slack: allowed completion time as a multiple of the run time
    :param anonymous: calls need no key
    """

    queue_id: QueueId
    host: str
    prefix: str
    service: ServiceId
    priority: int = 1
    max_attempts: int = 1
    timeout_s: float = 0.0
    target_latency_s: float = 0.0
    slack: float = 1.0
    anonymous: bool = False
    advice: Advice | None = None


class Submission(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as accepted; it never changes.

    :param queue: the queue as it was at acceptance
    :param payload: opaque text handed to each task
    :param repeat_count: occurrences; 0 for a job that runs once at once
    :param first_at_ms: Unix time of occurrence 0 in milliseconds
    :param interval_ms: time between occurrences in milliseconds
    :param submitted_at_ms: Unix time of acceptance in milliseconds
    """

    job_id: JobId
    queue: Queue
    team: TeamId
    payload: str
    steps: tuple[Step, ...]
    submitted_at_ms: int
    repeat_count: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0


class UnitState(IntEnum):
    """State of a unit: a gang, or a task outside of gangs."""

    WAITING = 0
    ASSIGNED = 1
    STOPPING = 2
    DONE = 3
    FAILED = 4


class Place(Struct, frozen=True, array_like=True):
    """Where a member of a unit runs; an empty worker means that it has ended.

    :param incarnation: life of the worker's executor
    """

    worker: TargetId
    incarnation: Incarnation


class Unit(Struct, array_like=True):
    """Progress of a unit.

    :param run: number of the current or last run, from 1
    :param failures: runs that ended by a failure
    :param checkpoint: saved progress to continue from
    :param places: one per member; empty if nothing of the unit can be running
    :param failed_on: workers on which the unit failed last
    :param outcome: how the current run ended, once the first member has ended
    :param started_at_ms: Unix time of the assignment of the current run
    """

    state: UnitState = UnitState.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    places: list[Place] = []
    failed_on: list[TargetId] = []
    outcome: str = ""
    started_at_ms: int = 0


class BatchState(IntEnum):
    """State of a batch job."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


FINAL_BATCH_STATES = frozenset({BatchState.COMPLETED, BatchState.FAILED, BatchState.CANCELLED})


class Progress(Struct, kw_only=True, omit_defaults=True):
    """How far a job is; only the leader writes it.

    :param units: progress by unit key, for units that have been assigned at least once
    """

    state: BatchState = BatchState.QUEUED
    units: dict[str, Unit] = field(default_factory=dict)
    ended_at_ms: int = 0
    reason: str = ""


class EndKind(IntEnum):
    """How a run of a task ended."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    BROKEN = 4  # another member of the gang ended
    ALONE = 5  # the other members of the gang did not appear
    REJECTED = 6  # the executor refused to start it
    LOST = 7  # the executor that ran it is gone
    WITHDRAWN = 8  # its agent had not accepted it


class TaskEnd(Struct, frozen=True, array_like=True):
    """End of a run of a task.

    :param detail: reason of a rejection
    """

    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str = ""
    detail: str = ""


class Assignment(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A run of a task that an agent has to start, or to stop.

    :param ticket: permission of the advice service
    :param target_latency_s: bound of the tail latency if the task serves users
    """

    task: TaskId
    run: int
    payload: str = ""
    checkpoint: str = ""
    ticket: str = ""
    stop: bool = False
    long_running: bool = False
    fills: bool = False
    target_latency_s: float = 0.0


class WorkOrder(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """All that may run on a worker; the agent stops whatever is not in it.

    :param incarnation: life of the executor for which it is meant
    """

    incarnation: Incarnation
    assignments: tuple[Assignment, ...] = ()


class WorkerState(IntEnum):
    """State of the executor beside an agent."""

    READY = 0
    DRAINING = 1
    GONE = 2


class WorkerReport(Struct, kw_only=True, omit_defaults=True):
    """What an agent says of its worker; only the agent writes it.

    :param fence: fencing token of the agent, raised at each start of either side
    :param seen: number of the last end that the report has held for this incarnation
    :param executor: id of the executor
    :param ends: ends that the leader has not taken note of yet
    :param suspects: tasks that make no progress, with the percent of their work that is done
    :param checkpoints: run and saved progress of tasks, refreshed now and then
    :param accepted: runs that the agent may have begun to start, by task
    """

    fence: int = 0
    incarnation: Incarnation = Incarnation("")
    executor: str = ""
    service: ServiceId = ServiceId("")
    zone: str = ""
    state: WorkerState = WorkerState.GONE
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0
    labels: tuple[str, ...] = ()
    rack: RackId = RackId("")
    remaining_ms: int = 0
    seen: int = 0
    ends: list[TaskEnd] = field(default_factory=list)
    suspects: dict[TaskId, int] = field(default_factory=dict)
    checkpoints: dict[TaskId, tuple[int, str]] = field(default_factory=dict)
    accepted: dict[TaskId, int] = field(default_factory=dict)


class BatchTeam(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A team of batch jobs.

    :param keys: keys that its calls carry
    :param quota: accelerators that belong to its jobs of priority 0
    """

    team: TeamId
    keys: tuple[str, ...] = ()
    quota: int = 0


class BatchConfig(Struct, frozen=True, kw_only=True):
    """The operator's configuration of queues and teams."""

    version: int
    queues: tuple[Queue, ...] = ()
    teams: tuple[BatchTeam, ...] = ()
    max_body_bytes: int = 262_144
