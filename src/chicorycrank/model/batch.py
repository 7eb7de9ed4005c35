"""Batch jobs: configuration, submissions, progress, orders to agents and their reports."""

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
    """Group of identical tasks of a job.

    :param count: number of tasks
    :param accelerators: accelerators of each task
    :param cores: processor share of each task in thousandths of a core
    :param memory_mb: memory of each task in megabytes
    :param run_time_s: declared run time of a task in seconds
    :param after: indexes of the earlier steps that must be complete before this step starts
    :param gang: the tasks are started together
    :param same_rack: the members of the gang are placed in one rack if they fit
    :param label: label that a worker must have; empty for any worker
    :param data_rack: rack that holds the data; tasks run slower in other racks
    :param max_per_worker: maximum number of tasks of the step on one worker; 0 for no limit
    :param checkpointing: the tasks save checkpoints and can resume from them
    :param speculative: stored with the job but not used
    :param image: what the tasks run; tasks of one image slow others down alike
    :param long_running: the tasks run until the job is cancelled
    :param target_latency_s: upper bound of the tail latency in seconds if the tasks serve users,
        otherwise 0
    :param fills: the tasks use only processor time that other tasks leave idle
    :param max_unavailable: number of long-running tasks that may be interrupted at the same time;
        if it is above 0, the running tasks are not evicted
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
    """Response times of the advice service, which selects the workers that may run a step.

    :param decision_s: fixed part of the response time in seconds
    :param per_worker_s: additional response time in seconds for each worker in the query
    :param validity_s: time in seconds for which a response is valid
    """

    decision_s: float = 0.0
    per_worker_s: float = 0.0
    validity_s: float = 0.0


class Queue(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Queue of batch jobs, as configured by the operator.

    :param host: host name in the URLs of the queue's calls
    :param prefix: path prefix in the URLs of the queue's calls
    :param service: service that a worker must offer to run the queue's jobs
    :param priority: 0 is the highest priority; its jobs are urgent and may evict others
    :param max_attempts: number of failed runs of a unit after which its job fails
    :param timeout_s: stored with the job but not used
    :param target_latency_s: time in seconds that is added to ``slack`` times the run time; the sum
        is the allowed completion time
    :param slack: factor of the run time in the allowed completion time
    :param anonymous: calls need no API key
    :param advice: response times of the advice service; None if the queue does not use it
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
    """Immutable record of an accepted job.

    :param queue: configuration of the queue when the job was accepted
    :param payload: opaque text that is passed to each task
    :param submitted_at_ms: Unix time of acceptance in milliseconds
    :param repeat_count: number of occurrences; 0 for a job that runs once, without delay
    :param first_at_ms: Unix time of occurrence 0 in milliseconds
    :param interval_ms: time between occurrences in milliseconds
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
    """State of a :class:`Unit`."""

    WAITING = 0
    ASSIGNED = 1
    STOPPING = 2
    DONE = 3
    FAILED = 4


class Place(Struct, frozen=True, array_like=True):
    """Worker on which a member of a unit runs; the id is empty once the member has ended.

    :param incarnation: incarnation of the worker's executor
    """

    worker: TargetId
    incarnation: Incarnation


class Crash(Struct, frozen=True, array_like=True):
    """Crash of an executor that had a run of a unit, of which the unit has not been cleared.

    :param incarnation: incarnation of the executor that crashed
    :param at_ms: Unix time in milliseconds at which the leader recorded it
    :param age_ms: maximum time in milliseconds from the start of the run until the crash
    :param members: indexes of the unit's tasks that may have been there
    :param started: those of them that had certainly started there, if the unit is the cause
    :param is_outage: the agent did not see the crash, so the machine may have failed
    :param survived_ms: minimum time in milliseconds for which the run had lived at the crash
    :param is_explained: another run that was there explains it, or the job of one was given up
        for it
    """

    incarnation: Incarnation
    worker: TargetId
    at_ms: int
    age_ms: int
    members: tuple[int, ...]
    started: tuple[int, ...] = ()
    is_outage: bool = False
    survived_ms: int = 0
    is_explained: bool = False


class Unit(Struct, array_like=True):
    """Progress of a unit, which is a gang or a single task outside of gangs.

    :param run: number of the current or last run, from 1; 0 before the first
    :param failures: number of failed runs
    :param checkpoint: checkpoint from which the next run resumes
    :param places: one item for each member; empty if no task of the unit can be running
    :param failed_on: workers on which the unit has failed
    :param outcome: name of the :class:`EndKind` of the current run: ``DONE`` if a member ended so,
        otherwise ``FAILED`` if a member ended so, otherwise the kind of the first end; empty until
        the first member ends
    :param started_at_ms: Unix time in milliseconds at which the current run was assigned
    :param crashes: crashes of executors that the unit may have caused
    """

    state: UnitState = UnitState.WAITING
    run: int = 0
    failures: int = 0
    checkpoint: str = ""
    places: list[Place] = []
    failed_on: list[TargetId] = []
    outcome: str = ""
    started_at_ms: int = 0
    crashes: list[Crash] = []


class BatchState(IntEnum):
    """State of a batch job."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4


FINAL_BATCH_STATES = frozenset({BatchState.COMPLETED, BatchState.FAILED, BatchState.CANCELLED})


class Progress(Struct, kw_only=True, omit_defaults=True):
    """Progress of a job; written only by the leader.

    :param units: progress by unit key, which is ``<occurrence>.<step>`` for a gang and
        ``<occurrence>.<step>.<index of the task>`` otherwise; units that were never assigned are
        missing, and units that are done may be
    :param done: sorted ranges of the numbers of the done units, each from its first number to the
        one after its last; units are numbered through all steps and occurrences
    :param ended_at_ms: Unix time in milliseconds at which the job reached its final state; 0 before
    :param reason: reason for the final state
    """

    state: BatchState = BatchState.QUEUED
    units: dict[str, Unit] = field(default_factory=dict)
    done: list[tuple[int, int]] = field(default_factory=list)
    ended_at_ms: int = 0
    reason: str = ""


class EndKind(IntEnum):
    """How a run of a task ended."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3  # the lease on the executor expired
    BROKEN = 4  # another member of the gang ended
    ALONE = 5  # the other members of the gang did not start
    REJECTED = 6  # the executor refused to start the task
    LOST = 7  # the executor of the task was lost
    WITHDRAWN = 8  # the leader withdrew the run before the agent accepted it
    # The executor ended without notice while the run may have been there: a start call had reached
    # it, or may have. A run whose start calls were all refused ends as LOST. While the report names
    # the same incarnation, the executor may live and refuse connections.
    CRASHED = 9


class TaskEnd(Struct, frozen=True, array_like=True):
    """Final record of a run of a task.

    :param checkpoint: last checkpoint of the run; empty if there is none
    :param detail: reason for a rejection
    :param age_ms: for ``CRASHED``, maximum time in milliseconds for which the run has lived: from
        the first start call until the executor was known to be down
    :param is_witnessed: for ``CRASHED``, whether the agent was running at the crash and
        something had come back to a start call
    :param has_started: for ``CRASHED``, whether the executor had confirmed the start, of which
        ``age_ms`` is known; if not, a start call without an answer may have reached it, or an
        earlier process of the agent has started it
    :param survived_ms: for ``CRASHED``, minimum time in milliseconds for which the run had lived:
        from the confirmed start until the request of the last status that listed it
    """

    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str = ""
    detail: str = ""
    age_ms: int = 0
    is_witnessed: bool = True
    has_started: bool = True
    survived_ms: int = 0


class Assignment(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Run of a task that an agent must start or stop.

    :param checkpoint: checkpoint to resume from; empty to start from the beginning
    :param ticket: permission issued by the advice service; empty if none is needed
    :param stop: the run must be stopped
    :param fills: the task uses only processor time that other tasks leave idle
    :param target_latency_s: upper bound of the tail latency in seconds if the task serves users,
        otherwise 0
    :param accelerators: accelerators of the task
    :param cores: processor share of the task in thousandths of a core; 0 if it fills
    :param memory_mb: memory of the task in megabytes
    :param probation_ms: time in milliseconds for which the executor has to list the run until the
        agent reports it as cleared; 0 if the task has crashed no executor
    :param run_time_s: declared run time of the task in seconds; 0 if an earlier version ordered it
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
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0
    probation_ms: int = 0
    run_time_s: float = 0.0


class WorkOrder(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Complete list of the runs allowed on a worker; the agent stops all others.

    :param incarnation: incarnation of the executor to which the order applies
    """

    incarnation: Incarnation
    assignments: tuple[Assignment, ...] = ()


class WorkerState(IntEnum):
    """State of the executor that an agent controls."""

    READY = 0
    DRAINING = 1
    GONE = 2  # The executor has not answered yet.


class WorkerReport(Struct, kw_only=True, omit_defaults=True):
    """Report of an agent about its worker; written only by the agent.

    :param fence: fencing token of the agent, raised when the agent or its executor restarts
    :param incarnation: incarnation of the executor
    :param executor: id of the executor
    :param started_at_ms: Unix time in milliseconds at which the incarnation started; 0 if unknown
    :param cores: processor capacity in thousandths of a core
    :param remaining_ms: minimum time in milliseconds before a draining executor shuts down
    :param is_unreachable: the executor does not answer, or has said that it ends; its runs may
        still be there, but it gets no new ones
    :param is_cold: the executor is still slow for a while
    :param lease_left_s: time in seconds after which the executor's lease has expired, if the agent
        has stopped; None while it may extend the lease
    :param seen: highest sequence number of all ends that this incarnation of the executor has
        listed
    :param ends: ends that the leader has not recorded yet
    :param suspects: percentage of completed work, by task, for tasks that make no progress
    :param checkpoints: run number and checkpoint, by task; updated every few seconds
    :param accepted: run number, by task, of the runs that the agent may have begun to start
    :param cleared: run number, by task, of the runs that have outlasted their probation
    :param work_rates: run number and rate, by task; the rate is the progress per second of work
        relative to the declared run time, in whole percent
    """

    fence: int = 0
    incarnation: Incarnation = Incarnation("")
    executor: str = ""
    started_at_ms: int = 0
    service: ServiceId = ServiceId("")
    zone: str = ""
    state: WorkerState = WorkerState.GONE
    accelerators: int = 0
    cores: int = 0
    memory_mb: int = 0
    labels: tuple[str, ...] = ()
    rack: RackId = RackId("")
    remaining_ms: int = 0
    is_unreachable: bool = False
    is_cold: bool = False
    lease_left_s: float | None = None
    seen: int = 0
    ends: list[TaskEnd] = field(default_factory=list)
    suspects: dict[TaskId, int] = field(default_factory=dict)
    checkpoints: dict[TaskId, tuple[int, str]] = field(default_factory=dict)
    accepted: dict[TaskId, int] = field(default_factory=dict)
    cleared: dict[TaskId, int] = field(default_factory=dict)
    work_rates: dict[TaskId, tuple[int, int]] = field(default_factory=dict)


class BatchTeam(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Team that submits batch jobs.

    :param keys: API keys of the team's calls
    :param quota: number of accelerators guaranteed to the team's jobs of priority 0
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
