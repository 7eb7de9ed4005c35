"""Keeps the decisions' view of a cell in step with job records and workers' reports."""

from collections.abc import Mapping
from datetime import datetime

from chicorycrank.entry.directory import Target
from chicorycrank.entry.gang_reports import GangReports
from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape, JobRecord, JobState, MemberPlacement, WorkKind
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob, WorkerState


class Occupation:
    """Accelerators in use: by the leader's own records, and by what only the agents know of."""

    def __init__(self) -> None:
        self.cell = Cell()
        self._unknown: dict[JobId, MemberPlacement] = {}
        self._ready: dict[TargetId, bool] = {}
        self._closed: set[TargetId] = set()

    def set_config(
        self, teams: dict[TeamId, Team], guarantees: dict[GuaranteeId, Guarantee]
    ) -> None:
        """Put teams and the guarantees of this cell in force."""
        self.cell.set_config(teams, guarantees)

    def put_worker(self, target: Target) -> bool:
        """Add a worker that has reported; true if it is new or its availability changed."""
        worker = describe_worker(target)
        if worker is None:
            return False
        load = target.worker_load
        available = load.reachable and not load.draining and worker.worker not in self._closed
        known = self.cell.workers_by_id.get(target.target_id)
        if known is None:
            self.cell.put_worker(worker)
        is_changed = known is None or known.available != available
        self.cell.set_available(target.target_id, available)
        self._ready[target.target_id] = load.reachable and not load.draining
        return is_changed

    def set_closed(self, worker: TargetId, is_closed: bool) -> None:
        """Close a quarantined worker for new work, or open it again if it is ready."""
        if is_closed is not (worker in self._closed):
            (self._closed.add if is_closed else self._closed.discard)(worker)
            ready = self._ready.get(worker, False)
            self.cell.set_available(worker, ready and not is_closed)

    def close_worker(self, worker: TargetId) -> None:
        """Use a worker for no further work."""
        self._ready[worker] = False
        if worker in self.cell.workers_by_id:
            self.cell.set_available(worker, False)

    def occupy(self, record: JobRecord, now: datetime, *, backfill: bool = False) -> None:
        """Take the accelerators of a record's placement.

        :param backfill: the job starts on accelerators reserved for another job
        """
        started_at = min(now, record.started_at) if record.started_at else now
        self.cell.start(
            RunningJob(
                job=make_queued(record),
                placement=record.placement,
                kind=record.kind or WorkKind.BORROWED,
                started_s=started_at.timestamp(),
                stopping=record.state is JobState.STOPPING,
                backfill=backfill,
            )
        )

    def release(self, job_id: JobId, *, completed_at: datetime | None = None) -> None:
        """Give back the accelerators of a job, except those that another one holds as well.

        :param completed_at: set if the job ran to its end, so that its run time is learned
        """
        running = self.cell.running_by_id.get(job_id)
        if running is None:
            return
        shared = self._find_shared(job_id)
        now_s = completed_at.timestamp() if completed_at else None
        self.cell.finish(job_id, completed=completed_at is not None, now_s=now_s)
        for worker in shared:
            self.cell.put_worker(self.cell.workers_by_id[worker])

    def _find_shared(self, job_id: JobId) -> list[TargetId]:
        """Return the workers where another job holds some accelerators of this one.

        Only these are counted anew: putting a worker again moves the homes on it.
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

    def take_unknown(self, reports: GangReports, records_by_id: Mapping[JobId, JobRecord]) -> None:
        """Hold the accelerators of reported tasks that no running job accounts for."""
        unknown: dict[JobId, MemberPlacement] = {}
        for worker, report in reports.tasks_by_worker.items():
            for task in report.tasks:
                place = MemberPlacement(worker, task.accelerators)
                running = self.cell.running_by_id.get(task.job_id)
                if running is None or place not in running.placement:
                    name = f"{task.job_id}/{task.attempt}/{task.member}@{worker}"
                    unknown[JobId(name)] = place
        for job_id in [job_id for job_id in self._unknown if job_id not in unknown]:
            self.release(job_id)
        for job_id, place in unknown.items():
            if job_id not in self._unknown:
                record = records_by_id.get(JobId(job_id.split("/", 1)[0]))
                self.cell.start(_make_unknown(job_id, place, record))
        self._unknown = unknown


def describe_worker(target: Target) -> WorkerState | None:
    """Return a target as the decisions see a worker; absent for an executor."""
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


def make_queued(record: JobRecord) -> QueuedJob:
    """Return a record as the decisions see a waiting job."""
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


def _make_unknown(job_id: JobId, place: MemberPlacement, record: JobRecord | None) -> RunningJob:
    """Return a stand-in that no decision evicts, as it is about to end by itself."""
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
