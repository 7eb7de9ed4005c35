"""Which borrowed work to evict: the cheapest lost work first."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import chain, islice
from math import inf

from chicorycrank.model.ids import JobId, RackId, TargetId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.placement import PlacementRule, cheapest_spots, find_spots, open_masks
from chicorycrank.policy.pool import Spot, Spots, members_that_fit

VICTIMS_TRIED = 64  # bounds the search at any number of workers
RACKS_TRIED = 24
WORKERS_PRICED = 128  # workers among which a gang wider than a rack is placed


@dataclass(frozen=True, kw_only=True)
class EvictionPlan:
    """Accelerators to free and the jobs to evict for it.

    :param lost_s: accelerator seconds of work lost
    """

    spots: Spots
    victims: tuple[JobId, ...]
    lost_s: float


def lost_work_s(cell: Cell, job_id: JobId, now_s: float) -> float:
    """Return the accelerator seconds that an eviction loses; zero if it is stopping anyway."""
    running = cell.running_by_id[job_id]
    if running.stopping:
        return 0.0
    elapsed_s = max(0.0, now_s - running.started_s)
    if running.job.checkpointable:
        elapsed_s = min(elapsed_s, running.job.restart_s)
    return (elapsed_s + 1.0) * cell.weight(running.job.shape)


def plan_for_spots(
    cell: Cell, spots: Spots, shape: GangShape, now_s: float, *, spare_urgent: bool
) -> EvictionPlan | None:
    """Return the evictions that free given accelerators with their cores and memory.

    :param spare_urgent: do not evict urgent work
    :returns: None if work that may not be evicted is in the way
    """
    needed: dict[TargetId, list[int]] = {}
    for worker, mask in spots:
        need = needed.setdefault(worker, [0, 0])
        need[0] |= mask
        need[1] += 1
    victims: dict[JobId, None] = {}
    for worker, (mask, _) in needed.items():
        for job_id, held in cell.masks_by_worker.get(worker, {}).items():
            if held & mask:
                victims[job_id] = None
    for worker, (_, members) in needed.items():
        if not _free_room(cell, worker, members, shape, victims, now_s):
            return None
    for job_id in victims:
        if not _may_evict(cell, job_id, spare_urgent):
            return None
    fresh = tuple(job_id for job_id in victims if not cell.running_by_id[job_id].stopping)
    lost = sum(lost_work_s(cell, job_id, now_s) for job_id in fresh)
    return EvictionPlan(spots=spots, victims=fresh, lost_s=lost)


def plan_for_urgent(
    cell: Cell, job: QueuedJob, now_s: float, claimed: Mapping[TargetId, int]
) -> EvictionPlan | None:
    """Return the cheapest evictions found that let an urgent job start.

    Only the racks of recently started or checkpointable borrowed jobs and the racks with the
    most reclaimable accelerators are compared, so the cost does not grow with the workers.

    :param claimed: accelerators that were freed for other jobs, by worker
    """
    shape = job.shape
    fallback = find_spots(cell.reclaimable, shape, job.rule)
    if fallback is None:
        return (
            plan_for_protected(cell, job, now_s, claimed) if job.job_id in cell.protected else None
        )
    plans = [plan_for_spots(cell, fallback, shape, now_s, spare_urgent=True)]
    for spots in _candidates(cell, shape, job.rule, now_s):
        plans.append(plan_for_spots(cell, spots, shape, now_s, spare_urgent=True))
    found = [plan for plan in plans if plan is not None]
    if not found and job.job_id in cell.protected:
        return plan_for_protected(cell, job, now_s, claimed)
    return min(found, key=lambda plan: (plan.lost_s, len(plan.victims)), default=None)


def plan_for_protected(
    cell: Cell, job: QueuedJob, now_s: float, claimed: Mapping[TargetId, int]
) -> EvictionPlan | None:
    """Return the cheapest evictions for a job inside its team's quota.

    Urgent work outside of the quota of its own team is evicted too.
    """
    shape = job.shape
    room = partial(_whole_room, cell, job.rule, shape)
    cost = partial(_block_cost, cell, now_s, False)
    full = cell.homes.full_by_worker
    racks = [
        [
            (worker, full[worker][0] & ~claimed.get(worker, 0))
            for worker, _ in open_masks(cell.free, rack)
        ]
        for rack in cell.free.workers_by_rack
    ]
    groups = [*racks, [spot for rack in racks for spot in rack]]
    if shape.adjacency is Adjacency.WORKER and shape.members > 1:
        groups = [[spot] for rack in racks for spot in rack]
    elif shape.adjacency is Adjacency.RACK and shape.members > 1:
        groups = racks
    plans = []
    for group in groups:
        found = cheapest_spots(group, shape, room, cost)
        plan = found and plan_for_spots(cell, found[0], shape, now_s, spare_urgent=False)
        if plan:
            plans.append(plan)
    return min(plans, key=lambda plan: (plan.lost_s, len(plan.victims)), default=None)


def _whole_room(cell: Cell, rule: PlacementRule, shape: GangShape, worker: TargetId) -> int:
    """Return how many members an empty worker has room for."""
    if rule.workers is not None and worker not in rule.workers:
        return 0
    _, cores, memory_gb = cell.homes.full_by_worker[worker]
    room = members_that_fit(shape, cores, memory_gb)
    return min(room, rule.max_members) if rule.max_members else room


def _candidates(cell: Cell, shape: GangShape, rule: PlacementRule, now_s: float) -> Iterable[Spots]:
    racks: dict[RackId, None] = {}
    for job_id in islice(reversed(cell.borrowed), VICTIMS_TRIED):
        for worker, _ in cell.spots(job_id):
            if cell.reclaimable.is_open(worker):
                racks[cell.reclaimable.rack_by_worker[worker]] = None
    room = partial(rule.room, cell.reclaimable, shape=shape)
    cost = partial(_block_cost, cell, now_s, True)
    for rack in islice(racks, RACKS_TRIED):
        spots = open_masks(cell.reclaimable, rack)
        groups: list[list[Spot]] = [spots]
        if shape.adjacency is Adjacency.WORKER and shape.members > 1:
            groups = [[spot] for spot in spots]
        for group in groups:
            found = cheapest_spots(group, shape, room, cost)
            if found is not None:
                yield found[0]
    if shape.adjacency is Adjacency.ANY and shape.members > 1:
        workers = chain.from_iterable(
            open_masks(cell.reclaimable, rack) for rack in cell.reclaimable.workers_by_rack
        )
        found = cheapest_spots(list(islice(workers, WORKERS_PRICED)), shape, room, cost)
        if found is not None:
            yield found[0]


def _block_cost(
    cell: Cell, now_s: float, spare_urgent: bool, worker: TargetId, block: int
) -> float:
    cost = 0.0
    for job_id, held in cell.masks_by_worker.get(worker, {}).items():
        if held & block:
            evictable = _may_evict(cell, job_id, spare_urgent)
            cost += lost_work_s(cell, job_id, now_s) if evictable else inf
    return cost


def _may_evict(cell: Cell, job_id: JobId, spare_urgent: bool) -> bool:
    running = cell.running_by_id[job_id]
    if not cell.is_evictable(job_id):
        return False
    return running.stopping or not (spare_urgent and running.job.urgent)


def _free_room(
    cell: Cell,
    worker: TargetId,
    members: int,
    shape: GangShape,
    victims: dict[JobId, None],
    now_s: float,
) -> bool:
    """Add the cheapest borrowed jobs of a worker until cores and memory suffice."""
    cores, memory_gb = cell.free.cores[worker], cell.free.memory_gb[worker]
    on_worker = list(cell.masks_by_worker.get(worker, {}))
    others = sorted(
        (j for j in on_worker if j not in victims and cell.is_evictable(j)),
        key=lambda job_id: lost_work_s(cell, job_id, now_s),
    )
    for job_id in [*(j for j in on_worker if j in victims), *others]:
        if job_id not in victims:
            if cores >= members * shape.cores and memory_gb >= members * shape.memory_gb:
                break
            victims[job_id] = None
        held = cell.running_by_id[job_id].job.shape
        count = sum(spot[0] == worker for spot in cell.spots(job_id))
        cores += count * held.cores
        memory_gb += count * held.memory_gb
    return cores >= members * shape.cores and memory_gb >= members * shape.memory_gb
