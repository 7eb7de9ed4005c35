"""Updates the policy's model of a cell from job records and workers' reports."""

from collections.abc import Mapping
from datetime import datetime

from chicorycrank.entry.directory import Target
from chicorycrank.entry.gang_reports import GangReports
from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape, JobRecord, JobState, MemberPlacement, WorkKind
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob, WorkerState


class CellOccupancy:
    """Accelerators in use, by the leader's records and by tasks that only agents report."""

    def __init__(self) -> None:
        self.cell = Cell()
        self._unknown_tasks: dict[JobId, MemberPlacement] = {}
        self._is_ready_by_worker: dict[TargetId, bool] = {}
        self._quarantined: set[TargetId] = set()

    def set_config(
        self, teams: dict[TeamId, Team], guarantees: dict[GuaranteeId, Guarantee]
    ) -> None:
        """Apply the teams and the guarantees of this cell."""
        self.cell.set_config(teams, guarantees)

    def update_worker(self, target: Target) -> bool:
        """Record a reporting worker; return whether it is new or its availability changed."""
        worker = make_worker_state(target)
        if worker is None:
            return False
        load = target.worker_load
        available = load.reachable and not load.draining and worker.worker not in self._quarantined
        known = self.cell.workers_by_id.get(target.target_id)
        if known is None:
            self.cell.set_worker(worker)
        is_changed = known is None or known.available != available
        self.cell.set_available(target.target_id, available)
        self._is_ready_by_worker[target.target_id] = load.reachable and not load.draining
        return is_changed

    def set_quarantined(self, worker: TargetId, is_quarantined: bool) -> None:
        """Exclude a quarantined worker from new work, or include it again if it is ready."""
        if is_quarantined is not (worker in self._quarantined):
            (self._quarantined.add if is_quarantined else self._quarantined.discard)(worker)
            is_ready = self._is_ready_by_worker.get(worker, False)
            self.cell.set_available(worker, is_ready and not is_quarantined)

    def closed_cause(self, worker: TargetId, target: Target | None) -> str:
        """Return why a worker gets no new work; empty if it is open.

        :param target: the worker if its agent is connected
        """
        if target is None:
            return "absent"
        if not target.worker_load.reachable:
            return "unreachable"
        if target.worker_load.draining:
            return "draining"
        if worker in self._quarantined:
            return "quarantine"
        return "" if self.cell.workers_by_id[worker].available else "closed"

    def mark_unavailable(self, worker: TargetId) -> None:
        """Exclude a worker from new work until it reports again."""
        self._is_ready_by_worker[worker] = False
        if worker in self.cell.workers_by_id:
            self.cell.set_available(worker, False)

    def occupy(self, record: JobRecord, now: datetime, *, backfill: bool = False) -> None:
        """Allocate the accelerators of a record's placement.

        :param backfill: the job starts on accelerators reserved for another job
        """
        started_at = min(now, record.started_at) if record.started_at else now
        self.cell.start(
            RunningJob(
                job=make_queued_job(record),
                placement=record.placement,
                kind=record.kind or WorkKind.BORROWED,
                started_s=started_at.timestamp(),
                stopping=record.state is JobState.STOPPING,
                backfill=backfill,
            )
        )

    def release(self, job_id: JobId, *, completed_at: datetime | None = None) -> None:
        """Release the accelerators of a job, except those that another job occupies as well.

        :param completed_at: set if the job completed, so that its run time is learned
        """
        running = self.cell.running_by_id.get(job_id)
        if running is None:
            return
        shared_workers = self._find_shared_workers(job_id)
        now_s = completed_at.timestamp() if completed_at else None
        self.cell.finish(job_id, completed=completed_at is not None, now_s=now_s)
        for worker in shared_workers:
            self.cell.set_worker(self.cell.workers_by_id[worker])

    def _find_shared_workers(self, job_id: JobId) -> list[TargetId]:
        """Return the workers on which another job occupies some accelerators of this one.

        Only the free accelerators of these are computed again, since adding a worker again moves
        the reserved placements on it.
        """
        return [
            worker
            for worker, mask_by_job in self.cell.masks_by_worker.items()
            if worker in self.cell.workers_by_id
            and any(
                mask & mask_by_job.get(job_id, 0)
                for other, mask in mask_by_job.items()
                if other != job_id
            )
        ]

    def occupy_unknown_tasks(
        self, reports: GangReports, records_by_id: Mapping[JobId, JobRecord]
    ) -> None:
        """Occupy the accelerators of reported tasks that belong to no running job of the cell."""
        unknown: dict[JobId, MemberPlacement] = {}
        for worker, report in reports.tasks_by_worker.items():
            for task in report.tasks:
                place = MemberPlacement(worker, task.accelerators)
                running = self.cell.running_by_id.get(task.job_id)
                if running is None or place not in running.placement:
                    task_id = f"{task.job_id}/{task.attempt}/{task.member}@{worker}"
                    unknown[JobId(task_id)] = place
        for job_id in [job_id for job_id in self._unknown_tasks if job_id not in unknown]:
            self.release(job_id)
        for job_id, place in unknown.items():
            if job_id not in self._unknown_tasks:
                record = records_by_id.get(JobId(job_id.split("/", 1)[0]))
                self.cell.start(_make_placeholder(job_id, place, record))
        self._unknown_tasks = unknown


def make_worker_state(target: Target) -> WorkerState | None:
    """Return the state of a target's worker, or ``None`` for an executor."""
    info = target.hello.worker
    if info is None:
        return None
    return WorkerState(
        worker=target.target_id,
        rack=info.rack,
        zone=target.hello.zone,
        accelerators=info.accelerators,
        cores=info.cores,
        memory_gb=info.memory_gb,
    )


def make_queued_job(record: JobRecord) -> QueuedJob:
    """Return a job record as an item of the policy's queue."""
    spec = record.spec
    return QueuedJob(
        job_id=record.job_id,
        team=spec.team,
        shape=spec.shape,
        run_time_s=max(0.0, spec.run_time_s - record.progress_s),
        submitted_s=record.submitted_at.timestamp(),
        urgent=spec.urgent,
        checkpointable=spec.checkpointable,
    )


def _make_placeholder(
    job_id: JobId, place: MemberPlacement, record: JobRecord | None
) -> RunningJob:
    """Return a placeholder for a reported task.

    It is marked as stopping, so that no decision evicts it: the task ends by itself soon.
    """
    job = QueuedJob(
        job_id=job_id,
        team=record.spec.team if record else TeamId(""),
        shape=GangShape(members=1, accelerators=len(place.accelerators)),
        run_time_s=0.0,
        submitted_s=0.0,
    )
    return RunningJob(
        job=job, placement=(place,), kind=WorkKind.BORROWED, started_s=0.0, stopping=True
    )
