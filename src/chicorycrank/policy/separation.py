"""Placement apart from workloads that slow a job down or are slowed down by it.

Speeds, racks and the packing that keeps whole workers free for gangs come first: a placement apart
is used only if it is as good in these respects. It is never a reason to wait.
"""

from collections.abc import Iterable

from chicorycrank.model.ids import TargetId
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.placement import PlacementRule
from chicorycrank.policy.pool import Pool, WorkerMasks
from chicorycrank.policy.preferred_placement import find_preferred_placement, placement_search

# An empty worker is taken for this reason only while more than this share of the workers is empty,
# as gangs need whole workers.
MIN_EMPTY_SHARE = 0.25


def find_separate_placement(cell: Cell, job: QueuedJob) -> WorkerMasks | None:
    """Return the best fit of a job on free accelerators, or None.

    It is apart from disturbing workloads if there is room for that.
    """
    disturbed = disturbed_workers(cell, job)
    if not disturbed:
        return find_preferred_placement(cell.free, job)
    rules = [*map(job.rule.restricted_to, job.preferred), job.rule]
    search = placement_search(job)
    for rule in rules:
        worker_masks = search(cell.free, job.shape, rule)
        if worker_masks is not None:
            return _place_apart(cell, job, rule, worker_masks, disturbed) or worker_masks
    return None


def disturbed_workers(cell: Cell, job: QueuedJob) -> frozenset[TargetId]:
    """Return the workers that run a workload which a job slows down or is slowed down by."""
    disturbing = cell.disturbing_workloads.get(job.workload)
    if not disturbing:
        return frozenset()
    running = cell.running_by_id
    return frozenset(
        worker
        for worker, masks in cell.masks_by_worker.items()
        if any(running[job_id].job.workload in disturbing for job_id in masks)
    )


def _place_apart(
    cell: Cell,
    job: QueuedJob,
    rule: PlacementRule,
    worker_masks: WorkerMasks,
    disturbed: frozenset[TargetId],
) -> WorkerMasks | None:
    """Return a placement without disturbed workers that is otherwise as good as a given one."""
    if disturbed.isdisjoint(_workers(worker_masks)):
        return None
    undisturbed = frozenset(cell.workers_by_id) - disturbed
    apart = placement_search(job)(cell.free, job.shape, rule.restricted_to(undisturbed))
    if apart is None:
        return None
    workers, workers_apart = _workers(worker_masks), _workers(apart)
    racks = cell.free.rack_by_worker
    is_as_good = (
        cell.speed_on(workers_apart) >= cell.speed_on(workers)
        and len(workers_apart) <= len(workers)
        and len({racks[worker] for worker in workers_apart})
        <= len({racks[worker] for worker in workers})
        and _leaves_empty_workers(cell.free, workers, workers_apart)
    )
    return apart if is_as_good else None


def _leaves_empty_workers(
    pool: Pool, workers: Iterable[TargetId], workers_apart: Iterable[TargetId]
) -> bool:
    """Return whether a placement apart uses no more empty workers, or enough others are left."""
    more = sum(_is_empty(pool, worker) for worker in workers_apart) - sum(
        _is_empty(pool, worker) for worker in workers
    )
    if more <= 0:
        return True
    open_workers = [worker for worker in pool.masks if pool.is_open(worker)]
    empty = sum(_is_empty(pool, worker) for worker in open_workers)
    return empty > MIN_EMPTY_SHARE * len(open_workers)


def _is_empty(pool: Pool, worker: TargetId) -> bool:
    """Return whether all accelerators of a worker are free, and it has some."""
    return pool.masks[worker] == pool.capacity_masks[worker] != 0


def _workers(worker_masks: WorkerMasks) -> frozenset[TargetId]:
    return frozenset(worker for worker, _ in worker_masks)
