"""What the workers' agents report of gangs, and how it is reconciled with the job records."""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobState, MemberPlacement
from chicorycrank.model.targets import TaskRef

# Tasks of a dead agent end by their leases and members without a head by silence, both in 10 s.
FENCE_S = 10.0
# Adds to the fence the time in which an agent reconnects and reports.
LOST_WAIT_S = 15.0

GangId = tuple[JobId, int]


@dataclass(kw_only=True)
class ReportedGang:
    """One attempt of a job as the agents report it.

    :param head: worker whose agent leads the gang, if that agent has reported and is connected
    :param running: whether the head's own task has been released
    """

    placement_by_member: dict[int, MemberPlacement] = field(default_factory=dict)
    head: TargetId | None = None
    running: bool = False


@dataclass(kw_only=True)
class WorkerTasks:
    """Tasks and reservations of one worker by its last report.

    :param lost_at: monotonic time at which the agent's connection ended, if it did
    """

    tasks: tuple[TaskRef, ...]
    lost_at: float | None = None


class GangReports:
    """The last report of each worker; that of a lost worker is kept while its tasks may run."""

    def __init__(self) -> None:
        self.tasks_by_worker: dict[TargetId, WorkerTasks] = {}

    def put(self, worker: TargetId, tasks: tuple[TaskRef, ...]) -> bool:
        """Note a worker's report; true if it differs from the last."""
        last = self.tasks_by_worker.get(worker)
        self.tasks_by_worker[worker] = WorkerTasks(tasks=tasks)
        return last is None or last.tasks != tasks or last.lost_at is not None

    def lose(self, worker: TargetId, now_s: float) -> None:
        """Note that a worker's agent is gone."""
        report = self.tasks_by_worker.get(worker)
        if report is not None and report.lost_at is None:
            report.lost_at = now_s

    def expire(self, now_s: float) -> None:
        """Forget the reports of workers whose tasks have ended by their leases."""
        for worker, report in list(self.tasks_by_worker.items()):
            if report.lost_at is not None and now_s - report.lost_at >= FENCE_S:
                del self.tasks_by_worker[worker]

    def gangs(self) -> dict[GangId, ReportedGang]:
        """Return all reported attempts."""
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
    """Take a gang over that another leader started."""

    job_id: JobId
    attempt: int
    placement: tuple[MemberPlacement, ...]
    running: bool


@dataclass(frozen=True, kw_only=True)
class StopOrphan:
    """Stop a gang that has no record, or whose record has gone on without it."""

    head: TargetId
    job_id: JobId
    attempt: int


@dataclass(frozen=True, kw_only=True)
class Requeue:
    """Queue a job again whose gang no agent has reported for the bounded wait."""

    job_id: JobId


Action = Adopt | StopOrphan | Requeue


def is_orphan(record: JobRecord | None, attempt: int) -> bool:
    """Return whether a reported attempt has no claim to its accelerators any more."""
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
    seen_at_by_job: dict[JobId, float],
    now_s: float,
) -> Iterator[Action]:
    """Compare records and reports.

    :param starting: jobs that this leader is starting at the moment
    :param seen_at_by_job: time at which a job's gang was last reported by its head; updated
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
        is_unnoticed = record.state is JobState.STARTING and gang.running
        is_whole = len(gang.placement_by_member) == record.spec.shape.members
        if (is_new or is_unnoticed) and is_whole and gang.head is not None:
            placement = tuple(place for _, place in sorted(gang.placement_by_member.items()))
            yield Adopt(job_id=job_id, attempt=attempt, placement=placement, running=gang.running)
    for record in records_by_id.values():
        if record.state is JobState.QUEUED or record.state in FINAL_STATES:
            seen_at_by_job.pop(record.job_id, None)
        elif record.job_id in starting or _has_head(gangs.get((record.job_id, record.attempt))):
            seen_at_by_job[record.job_id] = now_s
        elif now_s - seen_at_by_job.setdefault(record.job_id, now_s) >= LOST_WAIT_S:
            yield Requeue(job_id=record.job_id)


def _has_head(gang: ReportedGang | None) -> bool:
    """Return whether a connected agent leads the gang; without one its members end by silence."""
    return gang is not None and gang.head is not None
