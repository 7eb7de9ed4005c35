"""Reservations for waiting jobs, and the expected end times that backfill relies on."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from functools import partial
from itertools import chain, islice
from math import inf
from types import MappingProxyType

from chicorycrank.model.ids import JobId, RackId, TargetId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.cell import Cell, QueuedJob, Reservation, RunningJob
from chicorycrank.policy.packing import PIECE_SIZES, blocks, piece_class
from chicorycrank.policy.placement import (
    PlacementRule,
    cheapest_placement,
    neighbour_order,
    open_masks,
)
from chicorycrank.policy.pool import WorkerMask, WorkerMasks

# Limit of the single racks that are tried for a gang. It also sets from how many starting racks
# sequences of neighbouring racks are tried.
MAX_RACKS_TRIED = 16
MAX_BLOCKS_COMPARED = 128  # bounds the search time for gangs of many small members
# A reservation keeps its accelerators at least this long before others are considered.
MIN_RESERVATION_AGE_S = 300.0
# Added to the expected free time of accelerators in a guarantee's placement: the team of the
# guarantee is likely to use them again.
GUARANTEE_PENALTY_S = 4 * 3600.0
# A worker is closed this long after it has rejected or not accepted a run, with a margin. A
# reservation that moved each time would begin its wait anew.
MAX_CLOSED_S = 3.0
MAX_WORKERS_COMPARED = 128  # workers considered for a late urgent gang that may be spread
NOTHING_TAKEN: Mapping[TargetId, int] = MappingProxyType({})
EXPECTED_STOP_S = 5.0  # assumed time until a job that is being stopped ends


def expected_end_s(cell: Cell, running: RunningJob, now_s: float) -> float:
    """Return when a job is expected to end.

    A job past its expected run time is assumed to run as long again as it has run so far.
    """
    if running.stopping:
        return now_s + EXPECTED_STOP_S
    expected_s = cell.expected_duration_s(running)
    elapsed_s = max(0.0, now_s - running.started_s)
    return now_s + (expected_s - elapsed_s if elapsed_s < expected_s else elapsed_s)


def is_overrun(cell: Cell, running: RunningJob, now_s: float) -> bool:
    """Return whether a job has run longer than its expected run time."""
    return now_s - running.started_s > cell.expected_duration_s(running)


def reserve(
    cell: Cell,
    job: QueuedJob,
    now_s: float,
    taken_mask_by_worker: Mapping[TargetId, int] = NOTHING_TAKEN,
) -> Reservation | None:
    """Return a reservation for a job, or None if it needs no accelerators or never fits.

    An earlier reservation on open workers keeps its accelerators while it is recent or its cost
    has not risen, as long as the job still fits there. The cost is the latest expected free time of
    its accelerators, with :data:`GUARANTEE_PENALTY_S` added for those in the placement of a
    guarantee, and with the time that the job takes longer on slow workers.

    The reservation of a late urgent job stands until the job starts, unless one of its workers
    stays closed. Its workers may be in any racks if the job may be spread.

    :param taken_mask_by_worker: accelerators that are claimed or reserved for other jobs
    """
    if not job.shape.accelerators:
        return None
    earlier = cell.reservations_by_id.get(job.job_id)
    if earlier is not None and _is_usable(cell, job, earlier, taken_mask_by_worker):
        kept = _keep(cell, job, earlier, now_s)
        if kept is not None:
            return kept
    best: tuple[float, WorkerMasks] | None = None

    def cost(worker: TargetId, block: int) -> float:
        is_taken = taken_mask_by_worker.get(worker, 0) & block
        return inf if is_taken else _cost_s(cell, job, now_s, worker, block)

    compared = 0
    for group in _candidate_groups(cell, job.shape, job.rule, any_racks=job.is_late_urgent):
        if compared >= MAX_BLOCKS_COMPARED:
            break
        compared += sum(len(blocks(mask, job.shape.accelerators)) for _, mask in group)
        member_limit = partial(_members_allowed, cell, job)
        placement_and_costs = cheapest_placement(group, job.shape, member_limit, cost)
        if placement_and_costs is not None and (
            best is None or max(placement_and_costs[1]) < best[0]
        ):
            best = (max(placement_and_costs[1]), placement_and_costs[0])
    if best is None:
        return None
    return Reservation(
        job_id=job.job_id,
        worker_masks=best[1],
        expected_start_s=_expected_start_s(cell, best[1], now_s),
        cost_s=best[0],
        created_s=now_s,
    )


def overrun_victims(cell: Cell, reservation: Reservation, now_s: float) -> list[JobId]:
    """Return the backfilled jobs to evict from reserved accelerators.

    These are the jobs that overran and are evictable. Jobs that overran on other accelerators
    continue to run.
    """
    found: dict[JobId, None] = {}
    for worker, mask in reservation.worker_masks:
        for job_id, job_mask in cell.masks_by_worker.get(worker, {}).items():
            running = cell.running_by_id[job_id]
            if (
                job_mask & mask
                and running.backfill
                and not running.stopping
                and cell.is_evictable(job_id)
                and is_overrun(cell, running, now_s)
            ):
                found[job_id] = None
    return list(found)


def _expected_start_s(cell: Cell, worker_masks: WorkerMasks, now_s: float) -> float:
    """Return when reserved accelerators are expected to be free.

    Backfilled jobs are ignored. Otherwise each overrun would postpone the expected start and allow
    further jobs to be backfilled.
    """
    return max(
        _free_at_s(cell, now_s, worker, mask, with_backfill=False) for worker, mask in worker_masks
    )


def _free_at_s(
    cell: Cell, now_s: float, worker: TargetId, block: int, *, with_backfill: bool = True
) -> float:
    if not cell.free.is_open(worker):
        return inf
    ends = (
        expected_end_s(cell, cell.running_by_id[job_id], now_s)
        for job_id, job_mask in cell.masks_by_worker.get(worker, {}).items()
        if job_mask & block and (with_backfill or not cell.running_by_id[job_id].backfill)
    )
    return max(ends, default=now_s)


def _cost_s(cell: Cell, job: QueuedJob, now_s: float, worker: TargetId, block: int) -> float:
    """Return when a block is expected to be free, with the penalties for its use."""
    placements = cell.guarantee_placements
    cost_s = _free_at_s(cell, now_s, worker, block)
    cost_s += job.run_time_s * (1.0 / cell.speed_on((worker,)) - 1.0)
    if placements.pool.masks.get(worker, 0) & block == block:
        return cost_s
    return cost_s + GUARANTEE_PENALTY_S


def _keep(cell: Cell, job: QueuedJob, earlier: Reservation, now_s: float) -> Reservation | None:
    """Return an earlier reservation with its present expected start, or None if it ends."""
    worker_masks = earlier.worker_masks
    if not all(cell.free.is_open(worker) for worker, _ in worker_masks):
        since_s = now_s if earlier.closed_since_s is None else earlier.closed_since_s
        if not job.is_late_urgent or now_s - since_s >= MAX_CLOSED_S:
            return None
        return replace(earlier, closed_since_s=since_s)
    if not job.is_late_urgent and now_s - earlier.created_s >= MIN_RESERVATION_AGE_S:
        costs_s = (_cost_s(cell, job, now_s, worker, mask) for worker, mask in worker_masks)
        if max(costs_s) > earlier.cost_s:
            return None
    return replace(
        earlier,
        expected_start_s=_expected_start_s(cell, worker_masks, now_s),
        closed_since_s=None,
    )


def _is_usable(
    cell: Cell,
    job: QueuedJob,
    reservation: Reservation,
    taken_mask_by_worker: Mapping[TargetId, int],
) -> bool:
    """Return whether a job would fit on its reserved accelerators if they were free."""
    members_by_worker = Counter(worker for worker, _ in reservation.worker_masks)
    return all(
        worker in cell.workers_by_id and count <= _members_allowed(cell, job, worker)
        for worker, count in members_by_worker.items()
    ) and not any(
        taken_mask_by_worker.get(worker, 0) & mask for worker, mask in reservation.worker_masks
    )


def _members_allowed(cell: Cell, job: QueuedJob, worker: TargetId) -> int:
    """Return how many members the cores and memory of an empty worker and the job's rule allow."""
    if job.rule.workers is not None and worker not in job.rule.workers:
        return 0
    shape, capacity = job.shape, cell.workers_by_id[worker]
    limits = [shape.members, job.rule.max_members or shape.members]
    if shape.cores:
        limits.append(capacity.cores // shape.cores)
    if shape.memory_gb:
        limits.append(capacity.memory_gb // shape.memory_gb)
    return min(limits)


def _candidate_groups(
    cell: Cell, shape: GangShape, rule: PlacementRule, *, any_racks: bool
) -> Iterable[list[WorkerMask]]:
    """Yield groups of whole workers that a gang may use together.

    The groups are single racks, or single workers, in the order of the free blocks of the member's
    size in the rack, most first. For a gang that may be spread and fits in none of these racks,
    sequences of neighbouring racks follow.

    :param any_racks: yield all workers together first, up to ``MAX_WORKERS_COMPARED``, for a gang
        that may be spread
    """
    capacity_by_worker = cell.guarantee_placements.capacity_by_worker
    allowed_workers = rule.workers

    def whole_workers(rack: RackId) -> list[WorkerMask]:
        return [
            (worker, capacity_by_worker[worker][0])
            for worker, _ in open_masks(cell.free, rack)
            if allowed_workers is None or worker in allowed_workers
        ]

    if any_racks and shape.adjacency is Adjacency.ANY:
        all_workers = chain.from_iterable(map(whole_workers, cell.free.workers_by_rack))
        yield list(islice(all_workers, MAX_WORKERS_COMPARED))
    buckets = cell.free.racks_by_piece_count[PIECE_SIZES.index(piece_class(shape.accelerators))]
    racks = (rack for count in sorted(buckets, reverse=True) for rack in sorted(buckets[count]))
    is_rack_found = False
    for rack in islice(racks, MAX_RACKS_TRIED):
        worker_masks = whole_workers(rack)
        if shape.adjacency is Adjacency.WORKER and shape.members > 1:
            yield from ([worker_mask] for worker_mask in worker_masks)
        elif worker_masks:
            count = sum(mask.bit_count() // shape.accelerators for _, mask in worker_masks)
            if count >= shape.members:
                is_rack_found = True
                yield worker_masks
    if is_rack_found or shape.adjacency is not Adjacency.ANY:
        return
    order = neighbour_order(cell.free.workers_by_rack)
    step = max(1, len(order) // MAX_RACKS_TRIED)
    for start in range(0, len(order), step):
        window: list[WorkerMask] = []
        count = 0
        for rack in order[start:]:
            if count >= shape.members:
                break
            worker_masks = whole_workers(rack)
            count += sum(mask.bit_count() // shape.accelerators for _, mask in worker_masks)
            window += worker_masks
        if count >= shape.members:
            yield window
