"""State of a cell as the decisions see it: workers, running jobs and queued jobs."""

from dataclasses import dataclass, field

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, RackId, TargetId, TeamId, ZoneId
from chicorycrank.model.jobs import GangShape, MemberPlacement, WorkKind


@dataclass(kw_only=True)
class WorkerState:
    """A worker and its free accelerators.

    :param available: false while it drains, is unreachable or is quarantined
    """

    worker: TargetId
    rack: RackId
    zone: ZoneId
    accelerators: int
    cores: int
    memory_gb: int
    available: bool = True
    free: set[int] = field(default_factory=set)
    free_cores: int = 0
    free_memory_gb: int = 0


@dataclass(frozen=True, kw_only=True)
class QueuedJob:
    """A job that waits.

    :param run_time_s: declared run time that remains, in seconds
    :param submitted_s: time of submission on the caller's clock in seconds
    """

    job_id: JobId
    team: TeamId
    shape: GangShape
    run_time_s: float
    submitted_s: float
    urgent: bool = False
    checkpointable: bool = False


@dataclass(frozen=True, kw_only=True)
class RunningJob:
    """A job that holds accelerators.

    :param stopping: an eviction was asked and has not ended yet
    """

    job: QueuedJob
    placement: tuple[MemberPlacement, ...]
    kind: WorkKind
    started_s: float
    stopping: bool = False


class Cell:
    """Workers and running jobs of one cell, with the guarantees that hold there."""

    def __init__(self) -> None:
        self.workers_by_id: dict[TargetId, WorkerState] = {}
        self.running_by_id: dict[JobId, RunningJob] = {}
        self.teams_by_id: dict[TeamId, Team] = {}
        self.guarantees_by_id: dict[GuaranteeId, Guarantee] = {}

    def set_config(
        self, teams: dict[TeamId, Team], guarantees: dict[GuaranteeId, Guarantee]
    ) -> None:
        """Put teams and the guarantees of this cell in force."""
        self.teams_by_id = dict(teams)
        self.guarantees_by_id = dict(guarantees)

    def put_worker(self, worker: WorkerState) -> None:
        """Add a worker or replace what is known of it."""
        worker.free = set(range(worker.accelerators))
        worker.free_cores = worker.cores
        worker.free_memory_gb = worker.memory_gb
        self.workers_by_id[worker.worker] = worker
        for running in self.running_by_id.values():
            for member in running.placement:
                if member.worker == worker.worker:
                    self._take(worker, member, running.job.shape)

    def set_available(self, worker: TargetId, available: bool) -> None:
        """Open or close a worker for new work."""
        self.workers_by_id[worker].available = available

    def remove_worker(self, worker: TargetId) -> None:
        """Forget a worker; jobs on it stay until they are finished."""
        self.workers_by_id.pop(worker, None)

    def start(self, running: RunningJob) -> None:
        """Take the accelerators of a placement."""
        self.running_by_id[running.job.job_id] = running
        for member in running.placement:
            worker = self.workers_by_id.get(member.worker)
            if worker is not None:
                self._take(worker, member, running.job.shape)

    def finish(self, job_id: JobId) -> None:
        """Give back the accelerators of a job."""
        running = self.running_by_id.pop(job_id, None)
        for member in running.placement if running else ():
            worker = self.workers_by_id.get(member.worker)
            if worker is not None and running is not None:
                worker.free |= set(member.accelerators)
                worker.free_cores += running.job.shape.cores
                worker.free_memory_gb += running.job.shape.memory_gb

    @staticmethod
    def _take(worker: WorkerState, member: MemberPlacement, shape: GangShape) -> None:
        worker.free -= set(member.accelerators)
        worker.free_cores -= shape.cores
        worker.free_memory_gb -= shape.memory_gb
