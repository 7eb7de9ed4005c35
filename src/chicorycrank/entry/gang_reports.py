"""Gangs as the workers' agents report them, and their reconciliation with the job records."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobState, MemberPlacement
from chicorycrank.model.targets import TaskRef

# The tasks of a lost agent end when their leases expire, and members without a head end when its
# heartbeats stop; both take at most 10 s.
FENCING_DELAY_S = 10.0
# The fencing delay and 5 s more, in which an agent can reconnect and report.
LOST_GANG_TIMEOUT_S = 15.0

GangId = tuple[JobId, int]


@dataclass(kw_only=True)
class ReportedGang:
    """One attempt of a job as the agents report it.

    :param head: worker whose agent leads the gang, if that agent has reported and is connected
    :param running: whether the head has started its own task
    """

    placement_by_member: dict[int, MemberPlacement] = field(default_factory=dict)
    head: TargetId | None = None
    running: bool = False


@dataclass(kw_only=True)
class WorkerTasks:
    """Tasks and reservations of one worker as of its last report.

    :param lost_at: monotonic time at which the agent's connection ended, if it did
    """

    tasks: tuple[TaskRef, ...]
    lost_at: float | None = None


class GangReports:
    """Last report of each worker; that of a lost worker is kept while its tasks may still run."""

    def __init__(self) -> None:
        self.tasks_by_worker: dict[TargetId, WorkerTasks] = {}

    def record(self, worker: TargetId, tasks: tuple[TaskRef, ...]) -> bool:
        """Record a worker's report; return whether it differs from the last one."""
        last = self.tasks_by_worker.get(worker)
        self.tasks_by_worker[worker] = WorkerTasks(tasks=tasks)
        return last is None or last.tasks != tasks or last.lost_at is not None

    def mark_lost(self, worker: TargetId, now_s: float) -> None:
        """Record that a worker's agent is lost."""
        report = self.tasks_by_worker.get(worker)
        if report is not None and report.lost_at is None:
            report.lost_at = now_s

    def remove_expired(self, now_s: float) -> None:
        """Discard the reports of lost workers whose tasks' leases have expired."""
        for worker, report in list(self.tasks_by_worker.items()):
            if report.lost_at is not None and now_s - report.lost_at >= FENCING_DELAY_S:
                del self.tasks_by_worker[worker]

    def gangs(self) -> dict[GangId, ReportedGang]:
        """Return all reported gangs by job and attempt."""
        gangs: dict[GangId, ReportedGang] = {}
        for worker, report in self.tasks_by_worker.items():
            for task in report.tasks:
                gang = gangs.setdefault((task.job_id, task.attempt), ReportedGang())
                gang.placement_by_member[task.member] = MemberPlacement(worker, task.accelerators)
                if task.head and report.lost_at is None:
                    gang.head = worker
                    gang.running = task.running
        return gangs


@dataclass(frozen=True, kw_only=True)
class Adopt:
    """Adopt a gang that another leader started."""

    job_id: JobId
    attempt: int
    placement: tuple[MemberPlacement, ...]
    running: bool


@dataclass(frozen=True, kw_only=True)
class StopOrphan:
    """Stop a gang that has no record, or whose record has moved on to another state or attempt."""

    head: TargetId
    job_id: JobId
    attempt: int


@dataclass(frozen=True, kw_only=True)
class Requeue:
    """Queue a job again whose gang no head has reported for :data:`LOST_GANG_TIMEOUT_S`."""

    job_id: JobId


Action = Adopt | StopOrphan | Requeue


def is_orphan(record: JobRecord | None, attempt: int) -> bool:
    """Return whether a reported attempt is no longer entitled to its accelerators."""
    return (
        record is None
        or record.state in FINAL_STATES
        or attempt < record.attempt
        or (attempt == record.attempt and record.state is JobState.QUEUED)
    )


def reconcile(
    records_by_id: Mapping[JobId, JobRecord],
    gangs: Mapping[GangId, ReportedGang],
    starting: Collection[JobId],
    last_reported_at_by_job: dict[JobId, float],
    now_s: float,
) -> Iterator[Action]:
    """Compare job records with reported gangs and yield the actions that reconcile them.

    :param starting: jobs whose gangs this leader is starting
    :param last_reported_at_by_job: monotonic time at which a job's gang was last reported by its
        head; updated in place
    """
    for (job_id, attempt), gang in gangs.items():
        record = records_by_id.get(job_id)
        if record is None or is_orphan(record, attempt):
            if gang.head is not None:
                yield StopOrphan(head=gang.head, job_id=job_id, attempt=attempt)
            continue
        if job_id in starting:
            continue
        is_new = attempt > record.attempt
        is_start_unrecorded = record.state is JobState.STARTING and gang.running
        is_complete = len(gang.placement_by_member) == record.spec.shape.members
        if (is_new or is_start_unrecorded) and is_complete and gang.head is not None:
            placement = tuple(place for _, place in sorted(gang.placement_by_member.items()))
            yield Adopt(job_id=job_id, attempt=attempt, placement=placement, running=gang.running)
    for record in records_by_id.values():
        if record.state is JobState.QUEUED or record.state in FINAL_STATES:
            last_reported_at_by_job.pop(record.job_id, None)
        elif record.job_id in starting or _has_head(gangs.get((record.job_id, record.attempt))):
            last_reported_at_by_job[record.job_id] = now_s
        elif (
            now_s - last_reported_at_by_job.setdefault(record.job_id, now_s) >= LOST_GANG_TIMEOUT_S
        ):
            yield Requeue(job_id=record.job_id)


def _has_head(gang: ReportedGang | None) -> bool:
    """Return whether a connected agent leads the gang; otherwise its members end by themselves."""
    return gang is not None and gang.head is not None
