"""State of a cell as the decisions see it: workers, running jobs and queued jobs."""

from dataclasses import dataclass, replace
from itertools import islice
from math import inf

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, RackId, TargetId, TeamId, ZoneId
from chicorycrank.model.jobs import GangShape, MemberPlacement, WorkKind
from chicorycrank.policy.estimates import Estimates
from chicorycrank.policy.guarantees import Homes
from chicorycrank.policy.packing import blocks
from chicorycrank.policy.placement import ANY_WORKER, PlacementRule, placement_of, spots_of
from chicorycrank.policy.pool import Pool, Spots

RESTART_S = 30.0  # work lost by a checkpoint, its grace and the next start
PROMOTIONS_TRIED = 4  # bounds the time that the end of a guaranteed job takes


@dataclass(kw_only=True)
class WorkerState:
    """A worker.

    :param available: false while it drains, is unreachable or is quarantined
    """

    worker: TargetId
    rack: RackId
    zone: ZoneId
    accelerators: int
    cores: int
    memory_gb: int
    available: bool = True


@dataclass(frozen=True, kw_only=True)
class QueuedJob:
    """A job that waits.

    :param run_time_s: declared run time that remains, in seconds
    :param submitted_s: time of submission on the clock of ``decide``'s ``now_s``
    :param priority: jobs of a smaller number come first among those that are not urgent
    :param restart_s: work in seconds that an eviction loses if the job saves checkpoints
    :param max_lost_s: accelerator seconds of other work that may be lost for it if it is urgent
        and outside of its team's quota
    :param precedence: jobs of a smaller number come first among those of their kind
    :param pinned: it may not be evicted while it runs
    :param can_wait: it ends in time even if it starts later, so it leaves headroom to urgent jobs
    """

    job_id: JobId
    team: TeamId
    shape: GangShape
    run_time_s: float
    submitted_s: float
    urgent: bool = False
    checkpointable: bool = False
    priority: int = 0
    rule: PlacementRule = ANY_WORKER
    restart_s: float = RESTART_S
    max_lost_s: float = inf
    precedence: float = 0.0
    pinned: bool = False
    can_wait: bool = False

    @property
    def is_spared(self) -> bool:
        """Whether urgent work of another job may not evict this job."""
        return self.urgent or self.pinned


@dataclass(frozen=True, kw_only=True)
class RunningJob:
    """A job that holds accelerators.

    :param stopping: an eviction was asked and has not ended yet
    :param backfill: it was started on accelerators reserved for another job
    """

    job: QueuedJob
    placement: tuple[MemberPlacement, ...]
    kind: WorkKind
    started_s: float
    stopping: bool = False
    backfill: bool = False


@dataclass(frozen=True, kw_only=True)
class Reservation:
    """Accelerators kept for a waiting job.

    :param start_s: when they are expected to be free
    :param price_s: ``start_s``, later by the penalty for homes, when it was made
    :param made_s: when it was made
    """

    job_id: JobId
    spots: Spots
    start_s: float
    price_s: float
    made_s: float


class Cell:
    """Workers and running jobs of one cell, with the guarantees that hold there.

    ``free`` holds the accelerators without a task. ``reclaimable`` holds those that are free or
    run borrowed work that is not urgent.

    :param cores_per_accelerator: cores whose loss weighs as much as that of an accelerator
    """

    def __init__(self, *, cores_per_accelerator: float = inf) -> None:
        self.cores_per_accelerator = cores_per_accelerator
        self.workers_by_id: dict[TargetId, WorkerState] = {}
        self.running_by_id: dict[JobId, RunningJob] = {}
        self.teams_by_id: dict[TeamId, Team] = {}
        self.guarantees_by_id: dict[GuaranteeId, Guarantee] = {}
        self.estimates = Estimates()
        self.free = Pool()
        self.reclaimable = Pool()
        self.homes = Homes()
        self.reservations_by_id: dict[JobId, Reservation] = {}
        self.evicted_for: set[JobId] = set()  # waiting jobs for which work was evicted
        self.borrowed: dict[JobId, None] = {}  # in the order of their starts
        self.demoted: dict[JobId, None] = {}  # guaranteed jobs that lost their home
        self.stopping: dict[JobId, None] = {}
        self.usage_by_team: dict[TeamId, list[int]] = {}  # accelerators, cores, memory
        self.totals = [0, 0, 0]
        self.masks_by_worker: dict[TargetId, dict[JobId, int]] = {}
        self._spots_by_id: dict[JobId, Spots] = {}
        # Jobs inside an accelerator quota of their team; work outside of one yields to them.
        self.protected: frozenset[JobId] = frozenset()
        self.headroom = 0  # empty workers kept for urgent jobs to come

    def set_config(
        self, teams: dict[TeamId, Team], guarantees: dict[GuaranteeId, Guarantee]
    ) -> None:
        """Put teams and the guarantees of this cell in force."""
        self.teams_by_id = dict(teams)
        self.guarantees_by_id = dict(guarantees)
        for job_id in self.homes.set_guarantees(guarantees):
            self._set_borrowed(job_id)

    def put_worker(self, worker: WorkerState) -> None:
        """Add a worker or replace what is known of it."""
        name = worker.worker
        if name in self.workers_by_id:
            self.remove_worker(name)
        self.workers_by_id[name] = worker
        full = (1 << worker.accelerators) - 1
        values = (worker.rack, full, worker.cores, worker.memory_gb)
        self._add_totals(worker, 1)
        self.homes.full_by_worker[name] = (full, worker.cores, worker.memory_gb)
        for pool in (self.free, self.reclaimable, self.homes.pool):
            pool.add(name, *values)
        for job_id in self.masks_by_worker.get(name, {}):
            self._hold(self.free, job_id, 1, only=name)
            if job_id not in self.borrowed or self.running_by_id[job_id].job.is_spared:
                self._hold(self.reclaimable, job_id, 1, only=name)
        self.homes.forget_fitting(name)
        if not worker.available:
            self.set_available(name, False)
        self.homes.needs_settling = True

    def set_available(self, worker: TargetId, available: bool) -> None:
        """Open or close a worker for new work."""
        state = self.workers_by_id[worker]
        state.available = available
        pools = (self.free, self.reclaimable, self.homes.pool)
        if available and not self.free.is_open(worker):
            for pool in pools:
                pool.open(worker)
            self.homes.forget_fitting(worker)
            self.homes.needs_settling = True
        elif not available and self.free.is_open(worker):
            for pool in pools:
                pool.close(worker)
            self.homes.forget_fitting(worker)
            for job_id in self.homes.free_worker(worker):
                self._set_borrowed(job_id)

    def remove_worker(self, worker: TargetId) -> None:
        """Forget a worker; jobs on it stay until they are finished, outside any home."""
        state = self.workers_by_id.pop(worker, None)
        if state is None:
            return
        pools = (self.free, self.reclaimable, self.homes.pool)
        for pool in pools:
            pool.close(worker)
        for job_id in self.homes.free_worker(worker, lost=True):
            self._set_borrowed(job_id)
        for pool in pools:
            pool.remove(worker)
        self.homes.forget_fitting(worker)
        self._add_totals(state, -1)

    def start(self, running: RunningJob) -> None:
        """Take the accelerators of a placement."""
        job = running.job
        if job.job_id in self.running_by_id:
            self.finish(job.job_id)
        spots = spots_of(running.placement)
        self.running_by_id[job.job_id] = running
        self._spots_by_id[job.job_id] = spots
        for worker, mask in spots:
            masks = self.masks_by_worker.setdefault(worker, {})
            masks[job.job_id] = masks.get(job.job_id, 0) | mask
        self._hold(self.free, job.job_id, 1)
        self._add_usage(job, 1)
        guaranteed = running.kind is WorkKind.GUARANTEED
        if guaranteed and self.homes.bind(job.team, job.job_id, spots, job.shape):
            self._hold(self.reclaimable, job.job_id, 1)
        else:
            self.borrowed[job.job_id] = None
            if guaranteed:
                self._demote(job.job_id)
            if job.is_spared:
                self._hold(self.reclaimable, job.job_id, 1)
        if running.stopping:
            self.stopping[job.job_id] = None

    def mark_stopping(self, job_id: JobId, stopping: bool = True) -> None:
        """Note that the eviction of a job was asked, or that the request failed.

        The accelerators of a stopping job count as soon free.
        """
        running = self.running_by_id.get(job_id)
        if running is not None and running.stopping is not stopping:
            self.running_by_id[job_id] = replace(running, stopping=stopping)
            if stopping:
                self.stopping[job_id] = None
            else:
                del self.stopping[job_id]

    def finish(self, job_id: JobId, *, completed: bool = False, now_s: float | None = None) -> None:
        """Give back the accelerators of a job.

        :param completed: it ran to its end, so its run time corrects later estimates
        """
        running = self.running_by_id.get(job_id)
        if running is None:
            return
        job = running.job
        if completed and now_s is not None:
            self.estimates.add(job.team, job.run_time_s, now_s - running.started_s)
        guaranteed = job_id not in self.borrowed
        self.take_back(job_id)
        if guaranteed:
            self._promote(job.team)

    def take_back(self, job_id: JobId) -> None:
        """Undo the start of a job."""
        job = self.running_by_id[job_id].job
        self._hold(self.free, job_id, -1)
        if job_id not in self.borrowed or job.is_spared:
            self._hold(self.reclaimable, job_id, -1)
        self._add_usage(job, -1)
        for worker, _ in self._spots_by_id[job_id]:
            self.masks_by_worker[worker].pop(job_id, None)
        self.borrowed.pop(job_id, None)
        self.demoted.pop(job_id, None)
        self.stopping.pop(job_id, None)
        del self.running_by_id[job_id], self._spots_by_id[job_id]
        for other in self.homes.detach(job_id):
            self._set_borrowed(other)

    def settle(self) -> None:
        """Give every home a place and every guaranteed job a home, as far as possible."""
        reserved = self.reservations_by_id.values()
        self.homes.avoid(tuple(spot for held in reserved for spot in held.spots))
        if not self.homes.needs_settling:
            return
        for job_id in list(self.demoted):
            running, spots = self.running_by_id[job_id], self._spots_by_id[job_id]
            known = all(worker in self.workers_by_id for worker, _ in spots)
            if known and not running.stopping:
                job = running.job
                if self.homes.bind(job.team, job_id, spots, job.shape):
                    self._set_guaranteed(job_id)
        self.homes.settle()

    def spots(self, job_id: JobId) -> Spots:
        """Return the accelerators of a running job."""
        return self._spots_by_id[job_id]

    def weight(self, shape: GangShape) -> float:
        """Return the accelerators of a gang, with its cores as parts of accelerators."""
        return shape.members * (shape.accelerators + shape.cores / self.cores_per_accelerator)

    def is_evictable(self, job_id: JobId) -> bool:
        """Whether a job runs outside its team's guarantee and may be stopped for another."""
        return (
            job_id in self.borrowed
            and job_id not in self.protected
            and not self.running_by_id[job_id].job.pinned
        )

    def compact(self, worker: TargetId) -> None:
        """Renumber the accelerators of a worker so that its free ones form the largest pieces.

        Only for cells whose workers give out accelerators by count, so that a number means nothing
        outside the cell. Running jobs keep their workers.
        """
        if worker not in self.workers_by_id or worker not in self.masks_by_worker:
            return
        jobs = list(self.masks_by_worker[worker])
        members = sorted(
            (
                (mask.bit_count(), job_id, index)
                for job_id in jobs
                for index, (name, mask) in enumerate(self._spots_by_id[job_id])
                if name == worker
            ),
            reverse=True,
        )
        free = (1 << self.workers_by_id[worker].accelerators) - 1
        moved: dict[JobId, dict[int, int]] = {}
        for size, job_id, index in members:
            places = blocks(free, size)
            if not places:
                return
            free &= ~places[0]
            moved.setdefault(job_id, {})[index] = places[0]
        self._hold_all(worker, jobs, -1)
        for job_id, masks in moved.items():
            spots = tuple(
                (name, masks.get(index, mask))
                for index, (name, mask) in enumerate(self._spots_by_id[job_id])
            )
            self._spots_by_id[job_id] = spots
            self.masks_by_worker[worker][job_id] = sum(masks.values())
            running = self.running_by_id[job_id]
            self.running_by_id[job_id] = replace(running, placement=placement_of(spots))
        self._hold_all(worker, jobs, 1)

    def _hold_all(self, worker: TargetId, jobs: list[JobId], sign: int) -> None:
        for job_id in jobs:
            self._hold(self.free, job_id, sign, only=worker)
            if job_id not in self.borrowed or self.running_by_id[job_id].job.is_spared:
                self._hold(self.reclaimable, job_id, sign, only=worker)

    def _set_borrowed(self, job_id: JobId) -> None:
        self.borrowed[job_id] = None
        self._demote(job_id)
        if not self.running_by_id[job_id].job.is_spared:
            self._hold(self.reclaimable, job_id, -1)

    def _promote(self, team: TeamId) -> None:
        """Count borrowed jobs of a team as guaranteed where its guarantee has room again."""
        mine = (j for j in self.borrowed if self.running_by_id[j].job.team == team)
        for job_id in list(islice(mine, PROMOTIONS_TRIED)):
            running = self.running_by_id[job_id]
            shape = running.job.shape
            if running.stopping or not self.homes.fitting(team, shape):
                continue
            spots = self._spots_by_id[job_id]
            if all(self.free.is_open(worker) for worker, _ in spots) and self.homes.bind(
                team, job_id, spots, shape
            ):
                self._set_guaranteed(job_id)

    def _set_guaranteed(self, job_id: JobId) -> None:
        running = self.running_by_id[job_id]
        self.running_by_id[job_id] = replace(running, kind=WorkKind.GUARANTEED)
        del self.borrowed[job_id]
        self.demoted.pop(job_id, None)
        if not running.job.is_spared:
            self._hold(self.reclaimable, job_id, 1)

    def _demote(self, job_id: JobId) -> None:
        """Treat a guaranteed job as borrowed until its team has a home at its place."""
        running = self.running_by_id[job_id]
        self.running_by_id[job_id] = replace(running, kind=WorkKind.BORROWED)
        self.demoted[job_id] = None
        self.homes.needs_settling = True

    def _hold(self, pool: Pool, job_id: JobId, sign: int, only: TargetId | None = None) -> None:
        shape = self.running_by_id[job_id].job.shape
        for worker, mask in self._spots_by_id[job_id]:
            if worker in pool.masks and only in (None, worker):
                if sign > 0:
                    pool.take(worker, mask, shape.cores, shape.memory_gb)
                else:
                    pool.give(worker, mask, shape.cores, shape.memory_gb)

    def _add_usage(self, job: QueuedJob, sign: int) -> None:
        shape = job.shape
        used = self.usage_by_team.setdefault(job.team, [0, 0, 0])
        for i, part in enumerate((shape.accelerators, shape.cores, shape.memory_gb)):
            used[i] += sign * shape.members * part

    def _add_totals(self, worker: WorkerState, sign: int) -> None:
        for i, part in enumerate((worker.accelerators, worker.cores, worker.memory_gb)):
            self.totals[i] += sign * part
