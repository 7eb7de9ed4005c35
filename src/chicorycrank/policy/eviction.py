"""Selection of the borrowed work to evict, by the least amount of lost work."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import chain, islice
from math import inf

from chicorycrank.model.ids import JobId, RackId, TargetId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.placement import (
    PlacementRule,
    cheapest_placement,
    find_placement,
    open_masks,
)
from chicorycrank.policy.pool import WorkerMask, WorkerMasks, members_that_fit

# These limits bound the search time independently of the number of workers.
MAX_BORROWED_JOBS_SCANNED = 64  # most recently started borrowed jobs whose racks are considered
MAX_RACKS_TRIED = 24  # racks of these jobs for which a placement is computed
MAX_WORKERS_COMPARED = 128  # workers considered for a gang that needs more than one rack
# Returns the cost of an eviction, given the cell, the victim and the time in seconds.
VictimCost = Callable[[Cell, JobId, float], float]

# More than any other cost, so that such a victim is chosen only if there is no other.
REPEATED_EVICTION_COST = 1e12


@dataclass(frozen=True, kw_only=True)
class EvictionPlan:
    """Accelerators to free and the jobs to evict for that.

    :param lost_accelerator_s: work lost by the evictions, in accelerator seconds
    :param cost: costs of the victims, see :func:`eviction_cost`
    """

    worker_masks: WorkerMasks
    victims: tuple[JobId, ...]
    lost_accelerator_s: float
    cost: float

    @property
    def rank(self) -> tuple[float, int]:
        """Cost and number of evictions; the plan with the smallest rank is chosen."""
        return self.cost, len(self.victims)


def lost_accelerator_s(cell: Cell, job_id: JobId, now_s: float) -> float:
    """Return the accelerator seconds lost by evicting a job; 0 if it is already stopping."""
    running = cell.running_by_id[job_id]
    if running.stopping:
        return 0.0
    elapsed_s = max(0.0, now_s - running.started_s)
    if running.job.checkpointable:
        elapsed_s = min(elapsed_s, running.job.eviction_loss_s)
    # The added second gives a cost to jobs that have just started, by their size.
    return (elapsed_s + 1.0) * cell.accelerator_equivalents(running.job.shape)


def eviction_cost(cell: Cell, job_id: JobId, now_s: float) -> float:
    """Return the cost of evicting a job; 0 if it is already stopping.

    It is the lost work, up to twice that for a job near its expected end, as its accelerators
    become free soon without an eviction. A gang that was stopped for an urgent job costs
    :data:`REPEATED_EVICTION_COST` more until its next run has lasted as long as expected.
    """
    running = cell.running_by_id[job_id]
    if running.stopping:
        return 0.0
    elapsed_s = max(0.0, now_s - running.started_s)
    expected_s = cell.expected_duration_s(running)
    cost = lost_accelerator_s(cell, job_id, now_s) * (1.0 + min(1.0, elapsed_s / expected_s))
    is_gang = running.job.shape.members > 1
    if is_gang and job_id in cell.evicted_s_by_id and elapsed_s < expected_s:
        cost += REPEATED_EVICTION_COST
    return cost


def plan_for_placement(
    cell: Cell, worker_masks: WorkerMasks, shape: GangShape, now_s: float, *, exempt_urgent: bool
) -> EvictionPlan | None:
    """Return the evictions that free given accelerators, and cores and memory on their workers.

    :param shape: gang whose members need the cores and memory
    :param exempt_urgent: do not evict urgent work
    :returns: None if that would evict a job that may not be evicted, or if the cores and memory
        would not suffice even then
    """
    needed_by_worker: dict[TargetId, list[int]] = {}
    for worker, mask in worker_masks:
        mask_and_members = needed_by_worker.setdefault(worker, [0, 0])
        mask_and_members[0] |= mask
        mask_and_members[1] += 1
    victims: dict[JobId, None] = {}
    for worker, (mask, _) in needed_by_worker.items():
        for job_id, job_mask in cell.masks_by_worker.get(worker, {}).items():
            if job_mask & mask:
                victims[job_id] = None
    for worker, (_, members) in needed_by_worker.items():
        if not _add_victims_for_resources(cell, worker, members, shape, victims, now_s):
            return None
    for job_id in victims:
        if not _may_evict(cell, job_id, exempt_urgent):
            return None
    new_victims = tuple(job_id for job_id in victims if not cell.running_by_id[job_id].stopping)
    total = sum(lost_accelerator_s(cell, job_id, now_s) for job_id in new_victims)
    cost = sum(eviction_cost(cell, job_id, now_s) for job_id in new_victims)
    return EvictionPlan(
        worker_masks=worker_masks, victims=new_victims, lost_accelerator_s=total, cost=cost
    )


def plan_for_urgent(
    cell: Cell,
    job: QueuedJob,
    now_s: float,
    claimed_mask_by_worker: Mapping[TargetId, int],
    is_allowed: Callable[[EvictionPlan], bool],
) -> EvictionPlan | None:
    """Return the cheapest allowed evictions found that let an urgent job start.

    To keep the search time independent of the number of workers, only these are compared: the best
    fit in the reclaimable accelerators, the racks of recently started borrowed jobs and, for a
    gang that may span racks, the first ``MAX_WORKERS_COMPARED`` workers.

    :param claimed_mask_by_worker: accelerators that are being freed for other jobs
    :param is_allowed: returns whether a plan may be used
    """
    shape = job.shape
    best_fit = find_placement(cell.reclaimable, shape, job.rule)
    if best_fit is None:
        return (
            plan_for_job_within_quota(cell, job, now_s, claimed_mask_by_worker, is_allowed)
            if job.job_id in cell.jobs_within_quota
            else None
        )
    plans = [plan_for_placement(cell, best_fit, shape, now_s, exempt_urgent=True)]
    feasible: list[EvictionPlan] = []
    # If the victims of least cost are not allowed, those with the least lost work may be.
    for victim_cost in (eviction_cost, lost_accelerator_s):
        for worker_masks in _candidate_placements(cell, shape, job.rule, now_s, victim_cost):
            plans.append(plan_for_placement(cell, worker_masks, shape, now_s, exempt_urgent=True))
        feasible = [plan for plan in plans if plan is not None and is_allowed(plan)]
        if feasible:
            break
    if not feasible and job.job_id in cell.jobs_within_quota:
        return plan_for_job_within_quota(cell, job, now_s, claimed_mask_by_worker, is_allowed)
    return min(feasible, key=lambda plan: plan.rank, default=None)


def plan_for_job_within_quota(
    cell: Cell,
    job: QueuedJob,
    now_s: float,
    claimed_mask_by_worker: Mapping[TargetId, int],
    is_allowed: Callable[[EvictionPlan], bool],
) -> EvictionPlan | None:
    """Return the cheapest allowed evictions for a job within its team's quota.

    They may include urgent work that is outside of the quota of its own team.
    """
    shape = job.shape
    member_limit = partial(_empty_worker_member_limit, cell, job.rule, shape)
    cost = partial(_block_cost, cell, now_s, False, eviction_cost)  # urgent work may be evicted
    capacity_by_worker = cell.guarantee_placements.capacity_by_worker
    racks = [
        [
            (worker, capacity_by_worker[worker][0] & ~claimed_mask_by_worker.get(worker, 0))
            for worker, _ in open_masks(cell.free, rack)
        ]
        for rack in cell.free.workers_by_rack
    ]
    candidate_groups = [*racks, [worker_mask for rack in racks for worker_mask in rack]]
    if shape.adjacency is Adjacency.WORKER and shape.members > 1:
        candidate_groups = [[worker_mask] for rack in racks for worker_mask in rack]
    elif shape.adjacency is Adjacency.RACK and shape.members > 1:
        candidate_groups = racks
    plans = []
    for group in candidate_groups:
        placement_and_costs = cheapest_placement(group, shape, member_limit, cost)
        plan = placement_and_costs and plan_for_placement(
            cell, placement_and_costs[0], shape, now_s, exempt_urgent=False
        )
        if plan and is_allowed(plan):
            plans.append(plan)
    return min(plans, key=lambda plan: plan.rank, default=None)


def _empty_worker_member_limit(
    cell: Cell, rule: PlacementRule, shape: GangShape, worker: TargetId
) -> int:
    """Return how many members fit on an empty worker."""
    if rule.workers is not None and worker not in rule.workers:
        return 0
    _, cores, memory_gb = cell.guarantee_placements.capacity_by_worker[worker]
    limit = cell.free.within_run_room(worker, members_that_fit(shape, cores, memory_gb))
    return min(limit, rule.max_members) if rule.max_members else limit


def _candidate_placements(
    cell: Cell, shape: GangShape, rule: PlacementRule, now_s: float, victim_cost: VictimCost
) -> Iterable[WorkerMasks]:
    """Yield the cheapest placements in racks of recently started borrowed jobs and across racks."""
    racks: dict[RackId, None] = {}
    for job_id in islice(reversed(cell.borrowed), MAX_BORROWED_JOBS_SCANNED):
        for worker, _ in cell.worker_masks(job_id):
            if cell.reclaimable.is_open(worker):
                racks[cell.reclaimable.rack_by_worker[worker]] = None
    member_limit = partial(rule.member_limit, cell.reclaimable, shape=shape)
    cost = partial(_block_cost, cell, now_s, True, victim_cost)  # urgent work is exempt
    for rack in islice(racks, MAX_RACKS_TRIED):
        worker_masks = open_masks(cell.reclaimable, rack)
        candidate_groups: list[list[WorkerMask]] = [worker_masks]
        if shape.adjacency is Adjacency.WORKER and shape.members > 1:
            candidate_groups = [[worker_mask] for worker_mask in worker_masks]
        for group in candidate_groups:
            placement_and_costs = cheapest_placement(group, shape, member_limit, cost)
            if placement_and_costs is not None:
                yield placement_and_costs[0]
    if shape.adjacency is Adjacency.ANY and shape.members > 1:
        workers = chain.from_iterable(
            open_masks(cell.reclaimable, rack) for rack in cell.reclaimable.workers_by_rack
        )
        placement_and_costs = cheapest_placement(
            list(islice(workers, MAX_WORKERS_COMPARED)), shape, member_limit, cost
        )
        if placement_and_costs is not None:
            yield placement_and_costs[0]


def _block_cost(
    cell: Cell,
    now_s: float,
    exempt_urgent: bool,
    victim_cost: VictimCost,
    worker: TargetId,
    block: int,
) -> float:
    """Return the cost of the evictions that free a block; infinite if that is not allowed."""
    cost = 0.0
    for job_id, job_mask in cell.masks_by_worker.get(worker, {}).items():
        if job_mask & block:
            may_evict = _may_evict(cell, job_id, exempt_urgent)
            cost += victim_cost(cell, job_id, now_s) if may_evict else inf
    return cost


def _may_evict(cell: Cell, job_id: JobId, exempt_urgent: bool) -> bool:
    running = cell.running_by_id[job_id]
    if not cell.is_evictable(job_id):
        return False
    return running.stopping or not (exempt_urgent and running.job.urgent)


def _add_victims_for_resources(
    cell: Cell,
    worker: TargetId,
    members: int,
    shape: GangShape,
    victims: dict[JobId, None],
    now_s: float,
) -> bool:
    """Add the cheapest borrowed jobs of a worker to the victims until cores and memory suffice."""
    cores, memory_gb = cell.free.cores[worker], cell.free.memory_gb[worker]
    jobs_on_worker = list(cell.masks_by_worker.get(worker, {}))
    other_jobs = sorted(
        (
            other_id
            for other_id in jobs_on_worker
            if other_id not in victims and cell.is_evictable(other_id)
        ),
        key=lambda job_id: eviction_cost(cell, job_id, now_s),
    )
    for job_id in [*(other_id for other_id in jobs_on_worker if other_id in victims), *other_jobs]:
        if job_id not in victims:
            if cores >= members * shape.cores and memory_gb >= members * shape.memory_gb:
                break
            victims[job_id] = None
        job_shape = cell.running_by_id[job_id].job.shape
        count = sum(worker_mask[0] == worker for worker_mask in cell.worker_masks(job_id))
        cores += count * job_shape.cores
        memory_gb += count * job_shape.memory_gb
    return cores >= members * shape.cores and memory_gb >= members * shape.memory_gb
