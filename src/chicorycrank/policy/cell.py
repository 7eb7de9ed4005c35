"""Scheduling state of a cell: workers, running jobs and queued jobs."""

from collections.abc import Callable, Collection, Container, Iterable, Mapping, Sequence
from dataclasses import replace
from itertools import islice
from math import inf

from msgspec import structs

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId, Workload
from chicorycrank.model.jobs import GangShape, WorkKind
from chicorycrank.policy.cell_records import QueuedJob, Reservation, RunningJob, WorkerState
from chicorycrank.policy.estimates import RunTimeEstimates
from chicorycrank.policy.guarantees import GuaranteePlacements
from chicorycrank.policy.packing import blocks, full_mask, lowest_bits
from chicorycrank.policy.placement import placement_of, worker_masks_of
from chicorycrank.policy.pool import Pool, WorkerMasks
from chicorycrank.policy.worker_preference import SpeedClass

__all__ = ["Cell", "QueuedJob", "Reservation", "RunningJob", "WorkerState"]

EVICTION_MEMORY_S = 600.0  # bounds the number of jobs that are known to have been evicted
MAX_PROMOTIONS_TRIED = 4  # bounds the processing time when a guaranteed job ends


class Cell:
    """Workers, running jobs and guarantees of one cell.

    ``free`` is the pool of accelerators without a task. ``reclaimable`` also contains those that
    run borrowed work which urgent jobs may evict.

    :param cores_per_accelerator: number of cores that count as one accelerator when lost work is
        compared
    """

    def __init__(self, *, cores_per_accelerator: float = inf) -> None:
        self.cores_per_accelerator = cores_per_accelerator
        self.workers_by_id: dict[TargetId, WorkerState] = {}
        self.running_by_id: dict[JobId, RunningJob] = {}
        self.teams_by_id: dict[TeamId, Team] = {}
        self.guarantees_by_id: dict[GuaranteeId, Guarantee] = {}
        self.estimates = RunTimeEstimates()
        self.free = Pool()
        self.reclaimable = Pool()
        self.guarantee_placements = GuaranteePlacements()
        self.reservations_by_id: dict[JobId, Reservation] = {}
        # Those of the reservations that late urgent jobs keep until they start.
        self.standing_by_id: dict[JobId, Reservation] = {}
        self.waiting_for_evictions: set[JobId] = set()  # jobs for which others were evicted
        self.borrowed: dict[JobId, None] = {}  # in start order
        self.demoted: dict[JobId, None] = {}  # guaranteed jobs that no instance covers any more
        self.stopping: dict[JobId, None] = {}
        self.usage_by_team: dict[TeamId, list[int]] = {}  # accelerators, cores, memory in GB
        self.totals = [0, 0, 0]
        self.masks_by_worker: dict[TargetId, dict[JobId, int]] = {}
        self._worker_masks_by_id: dict[JobId, WorkerMasks] = {}
        # Jobs within the accelerator quota of their team. They are never evicted, and urgent ones
        # may also evict urgent work that is outside of a quota.
        self.jobs_within_quota: Container[JobId] = frozenset()
        # Times at which jobs were last stopped for urgent jobs.
        self.evicted_s_by_id: dict[JobId, float] = {}
        # Returns whether a job may begin on workers, given its members there, once the given jobs
        # have ended: limits that are not part of the cell.
        self.can_begin: Callable[[JobId, Mapping[TargetId, int], Collection[JobId]], bool] = (
            lambda *_: True
        )
        self.headroom = 0  # number of empty workers kept for future urgent jobs
        # Classes of workers of similar speed, the speeds of the workers if they differ, and the
        # workers that urgent jobs use last.
        self.speed_classes: Sequence[SpeedClass] = ()
        self.speed_by_worker: Mapping[TargetId, float] = {}
        self.slow_workers: frozenset[TargetId] = frozenset()
        # By workload, those that it slows down or is slowed down by.
        self.disturbing_workloads: Mapping[Workload, frozenset[Workload]] = {}

    def set_config(
        self, teams: dict[TeamId, Team], guarantees: dict[GuaranteeId, Guarantee]
    ) -> None:
        """Apply teams and the guarantees of this cell."""
        self.teams_by_id = dict(teams)
        self.guarantees_by_id = dict(guarantees)
        for job_id in self.guarantee_placements.set_guarantees(guarantees):
            self._set_borrowed(job_id)

    def set_worker(self, worker: WorkerState) -> None:
        """Add a worker or replace its state."""
        name = worker.worker
        if name in self.workers_by_id:
            self.remove_worker(name)
        self.workers_by_id[name] = worker
        mask = full_mask(worker.accelerators)
        values = (worker.rack, mask, worker.cores, worker.memory_gb)
        self._add_totals(worker, 1)
        self.guarantee_placements.capacity_by_worker[name] = (
            mask,
            worker.cores,
            worker.memory_gb,
        )
        for pool in (self.free, self.reclaimable, self.guarantee_placements.pool):
            pool.add(name, *values)
        for job_id in self.masks_by_worker.get(name, {}):
            self._update_pool(self.free, job_id, 1, only_worker=name)
            if job_id not in self.borrowed or self.running_by_id[job_id].job.is_exempt_from_urgent:
                self._update_pool(self.reclaimable, job_id, 1, only_worker=name)
        self.guarantee_placements.invalidate_fits(name)
        if not worker.available:
            self.set_available(name, False)
        self.guarantee_placements.needs_placement = True

    def set_available(self, worker: TargetId, available: bool) -> None:
        """Open or close a worker for new work."""
        state = self.workers_by_id[worker]
        state.available = available
        pools = (self.free, self.reclaimable, self.guarantee_placements.pool)
        if available and not self.free.is_open(worker):
            for pool in pools:
                pool.open(worker)
            self.guarantee_placements.invalidate_fits(worker)
            self.guarantee_placements.needs_placement = True
        elif not available and self.free.is_open(worker):
            for pool in pools:
                pool.close(worker)
            self.guarantee_placements.invalidate_fits(worker)
            for job_id in self.guarantee_placements.vacate_worker(worker):
                self._set_borrowed(job_id)

    def remove_worker(self, worker: TargetId) -> None:
        """Remove a worker.

        Jobs on it remain until ``finish``, but no longer count towards a guarantee.
        """
        state = self.workers_by_id.pop(worker, None)
        if state is None:
            return
        pools = (self.free, self.reclaimable, self.guarantee_placements.pool)
        for pool in pools:
            pool.close(worker)
        for job_id in self.guarantee_placements.vacate_worker(worker, lost=True):
            self._set_borrowed(job_id)
        for pool in pools:
            pool.remove(worker)
        self.guarantee_placements.invalidate_fits(worker)
        self._add_totals(state, -1)

    def start(self, running: RunningJob) -> None:
        """Allocate the accelerators of a running job."""
        job = running.job
        if job.job_id in self.running_by_id:
            self.finish(job.job_id)
        worker_masks = worker_masks_of(running.placement)
        self.running_by_id[job.job_id] = running
        self._worker_masks_by_id[job.job_id] = worker_masks
        for worker, mask in worker_masks:
            masks = self.masks_by_worker.setdefault(worker, {})
            masks[job.job_id] = masks.get(job.job_id, 0) | mask
        self._update_pool(self.free, job.job_id, 1)
        self._add_usage(job, 1)
        is_guaranteed = running.kind is WorkKind.GUARANTEED
        if is_guaranteed and self.guarantee_placements.assign_job(
            job.team, job.job_id, worker_masks, job.shape
        ):
            self._update_pool(self.reclaimable, job.job_id, 1)
        else:
            self.borrowed[job.job_id] = None
            if is_guaranteed:
                self._demote(job.job_id)
            if job.is_exempt_from_urgent:
                self._update_pool(self.reclaimable, job.job_id, 1)
        if running.stopping:
            self.stopping[job.job_id] = None

    def mark_stopping(self, job_id: JobId, stopping: bool = True) -> None:
        """Record that the eviction of a job was requested, or that the request failed.

        The accelerators of a stopping job count as free soon.
        """
        running = self.running_by_id.get(job_id)
        if running is not None and running.stopping is not stopping:
            self.running_by_id[job_id] = replace(running, stopping=stopping)
            if stopping:
                self.stopping[job_id] = None
            else:
                del self.stopping[job_id]

    def finish(self, job_id: JobId, *, completed: bool = False, now_s: float | None = None) -> None:
        """Release the accelerators of a job that ended.

        :param completed: the job ran to completion, so its run time improves later estimates
        """
        running = self.running_by_id.get(job_id)
        if running is None:
            return
        job = running.job
        if completed and now_s is not None:
            work_s = (now_s - running.started_s) * self.speed_of(running)
            self.evicted_s_by_id.pop(job_id, None)
            self.estimates.record(job.team, job.run_time_s, work_s)
        is_guaranteed = job_id not in self.borrowed
        self.undo_start(job_id)
        if is_guaranteed:
            self._promote(job.team)

    def finish_member(self, job_id: JobId, worker: TargetId) -> None:
        """Release what one member of a running gang uses on a worker; the others go on."""
        running = self.running_by_id[job_id]
        placement = list(running.placement)
        placement.remove(next(member for member in placement if member.worker == worker))
        shape = structs.replace(running.job.shape, members=running.job.shape.members - 1)
        self.undo_start(job_id)
        job = replace(running.job, shape=shape)
        self.start(replace(running, job=job, placement=tuple(placement)))

    def undo_start(self, job_id: JobId) -> None:
        """Remove a running job and release its accelerators, without promoting other jobs."""
        job = self.running_by_id[job_id].job
        self._update_pool(self.free, job_id, -1)
        if job_id not in self.borrowed or job.is_exempt_from_urgent:
            self._update_pool(self.reclaimable, job_id, -1)
        self._add_usage(job, -1)
        for worker, _ in self._worker_masks_by_id[job_id]:
            self.masks_by_worker[worker].pop(job_id, None)
        self.borrowed.pop(job_id, None)
        self.demoted.pop(job_id, None)
        self.stopping.pop(job_id, None)
        del self.running_by_id[job_id], self._worker_masks_by_id[job_id]
        for other in self.guarantee_placements.remove_job(job_id):
            self._set_borrowed(other)

    def place_guarantees(self) -> None:
        """Place all guarantee instances and assign demoted jobs to them, as far as possible."""
        reservations = self.reservations_by_id.values()
        self.guarantee_placements.avoid(
            tuple(
                worker_mask
                for reservation in reservations
                for worker_mask in reservation.worker_masks
            )
        )
        if not self.guarantee_placements.needs_placement:
            return
        for job_id in list(self.demoted):
            running, worker_masks = self.running_by_id[job_id], self._worker_masks_by_id[job_id]
            has_known_workers = all(worker in self.workers_by_id for worker, _ in worker_masks)
            if has_known_workers and not running.stopping:
                job = running.job
                if self.guarantee_placements.assign_job(job.team, job_id, worker_masks, job.shape):
                    self._set_guaranteed(job_id)
        self.guarantee_placements.place_unplaced()

    def speed_on(self, workers: Iterable[TargetId]) -> float:
        """Return the speed of the slowest of some workers, at which a gang on them runs."""
        return min((self.speed_by_worker.get(worker, 1.0) for worker in workers), default=1.0)

    def speed_of(self, running: RunningJob) -> float:
        """Return the speed of the slowest worker of a running job."""
        return self.speed_on(member.worker for member in running.placement)

    def expected_duration_s(self, running: RunningJob) -> float:
        """Return how long a job is expected to run on its workers, in seconds."""
        job = running.job
        return self.estimates.expected_run_time_s(job.team, job.run_time_s) / self.speed_of(running)

    def record_eviction(self, job_id: JobId, now_s: float) -> None:
        """Record that a running job is stopped for an urgent job."""
        for other, evicted_s in list(self.evicted_s_by_id.items()):
            if now_s - evicted_s > EVICTION_MEMORY_S:
                del self.evicted_s_by_id[other]
        self.evicted_s_by_id[job_id] = now_s

    def worker_masks(self, job_id: JobId) -> WorkerMasks:
        """Return the accelerators of a running job."""
        return self._worker_masks_by_id[job_id]

    def accelerator_equivalents(self, shape: GangShape) -> float:
        """Return the accelerators of a gang plus its cores converted to accelerators."""
        return shape.members * (shape.accelerators + shape.cores / self.cores_per_accelerator)

    def is_evictable(self, job_id: JobId) -> bool:
        """Return whether a job runs outside of its team's guarantee and quota and is not pinned."""
        return (
            job_id in self.borrowed
            and job_id not in self.jobs_within_quota
            and not self.running_by_id[job_id].job.pinned
        )

    def renumber_accelerators(self, worker: TargetId) -> None:
        """Renumber the accelerators of a worker so that the free ones form the largest blocks.

        This is only valid for cells whose workers allocate accelerators by count: there the numbers
        have no meaning outside of the cell. Running jobs stay on their workers. If they use more
        accelerators than the worker has, because its capacity has shrunk, none is free; the
        missing ones get numbers above the capacity. Jobs without accelerators keep their place, so
        the time does not grow with their number.
        """
        if worker not in self.workers_by_id or worker not in self.masks_by_worker:
            return
        jobs = [job_id for job_id, mask in self.masks_by_worker[worker].items() if mask]
        members = sorted(
            (
                (mask.bit_count(), job_id, index)
                for job_id in jobs
                for index, (name, mask) in enumerate(self._worker_masks_by_id[job_id])
                if name == worker
            ),
            reverse=True,
        )
        accelerators = self.workers_by_id[worker].accelerators
        used = sum(size for size, _, _ in members)
        free = full_mask(max(accelerators, used))
        new_mask_by_index_by_job: dict[JobId, dict[int, int]] = {}
        for size, job_id, index in members:
            # Aligned blocks may be missing if the capacity has changed under the running jobs.
            mask = next(iter(blocks(free, size)), None) or lowest_bits(free, size)
            free &= ~mask
            new_mask_by_index_by_job.setdefault(job_id, {})[index] = mask
        self._update_pools(worker, jobs, -1)
        for job_id, masks in new_mask_by_index_by_job.items():
            worker_masks = tuple(
                (name, masks.get(index, old_mask))
                for index, (name, old_mask) in enumerate(self._worker_masks_by_id[job_id])
            )
            self._worker_masks_by_id[job_id] = worker_masks
            self.masks_by_worker[worker][job_id] = sum(masks.values())
            running = self.running_by_id[job_id]
            self.running_by_id[job_id] = replace(running, placement=placement_of(worker_masks))
        self._update_pools(worker, jobs, 1)

    def _update_pools(self, worker: TargetId, jobs: list[JobId], sign: int) -> None:
        for job_id in jobs:
            self._update_pool(self.free, job_id, sign, only_worker=worker)
            if job_id not in self.borrowed or self.running_by_id[job_id].job.is_exempt_from_urgent:
                self._update_pool(self.reclaimable, job_id, sign, only_worker=worker)

    def _set_borrowed(self, job_id: JobId) -> None:
        self.borrowed[job_id] = None
        self._demote(job_id)
        if not self.running_by_id[job_id].job.is_exempt_from_urgent:
            self._update_pool(self.reclaimable, job_id, -1)

    def _promote(self, team: TeamId) -> None:
        """Count borrowed jobs of a team as guaranteed if its guarantee has room for them again."""
        team_jobs = (
            borrowed for borrowed in self.borrowed if self.running_by_id[borrowed].job.team == team
        )
        for job_id in list(islice(team_jobs, MAX_PROMOTIONS_TRIED)):
            running = self.running_by_id[job_id]
            shape = running.job.shape
            if running.stopping or not self.guarantee_placements.instances_with_room(team, shape):
                continue
            worker_masks = self._worker_masks_by_id[job_id]
            if all(
                self.free.is_open(worker) for worker, _ in worker_masks
            ) and self.guarantee_placements.assign_job(team, job_id, worker_masks, shape):
                self._set_guaranteed(job_id)

    def _set_guaranteed(self, job_id: JobId) -> None:
        running = self.running_by_id[job_id]
        self.running_by_id[job_id] = replace(running, kind=WorkKind.GUARANTEED)
        del self.borrowed[job_id]
        self.demoted.pop(job_id, None)
        if not running.job.is_exempt_from_urgent:
            self._update_pool(self.reclaimable, job_id, 1)

    def _demote(self, job_id: JobId) -> None:
        """Count a guaranteed job as borrowed until an instance of its team covers it."""
        running = self.running_by_id[job_id]
        self.running_by_id[job_id] = replace(running, kind=WorkKind.BORROWED)
        self.demoted[job_id] = None
        self.guarantee_placements.needs_placement = True

    def _update_pool(
        self, pool: Pool, job_id: JobId, sign: int, only_worker: TargetId | None = None
    ) -> None:
        """Allocate a job's resources in a pool if ``sign`` is 1; release them if it is -1."""
        shape = self.running_by_id[job_id].job.shape
        for worker, mask in self._worker_masks_by_id[job_id]:
            if worker in pool.masks and only_worker in (None, worker):
                if sign > 0:
                    pool.allocate(worker, mask, shape.cores, shape.memory_gb)
                else:
                    pool.release(worker, mask, shape.cores, shape.memory_gb)

    def _add_usage(self, job: QueuedJob, sign: int) -> None:
        shape = job.shape
        used = self.usage_by_team.setdefault(job.team, [0, 0, 0])
        for i, amount in enumerate((shape.accelerators, shape.cores, shape.memory_gb)):
            used[i] += sign * shape.members * amount

    def _add_totals(self, worker: WorkerState, sign: int) -> None:
        for i, amount in enumerate((worker.accelerators, worker.cores, worker.memory_gb)):
            self.totals[i] += sign * amount
