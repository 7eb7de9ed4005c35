"""Placement of gangs: in one worker, else in one rack, else in neighbouring racks."""

import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from functools import lru_cache, partial
from itertools import islice
from math import inf

from msgspec import structs

from chicorycrank.model.ids import RackId, TargetId
from chicorycrank.model.jobs import Adjacency, GangShape, MemberPlacement
from chicorycrank.policy.packing import (
    PIECE_SIZES,
    blocks,
    choose_blocks,
    mask_of,
    numbers_of,
    piece_class,
)
from chicorycrank.policy.pool import Pool, WorkerMask, WorkerMasks

MemberLimit = Callable[[TargetId], int]  # members that may be placed on a worker

MAX_RACKS_COMPARED = 8  # bounds the search over racks and windows of racks


@dataclass(frozen=True, kw_only=True)
class PlacementRule:
    """Restriction of the workers that a job may use.

    :param workers: allowed workers; any worker if None
    :param max_members: largest number of members on one worker; 0 for no limit
    """

    workers: frozenset[TargetId] | None = None
    max_members: int = 0

    def member_limit(self, pool: Pool, worker: TargetId, shape: GangShape) -> int:
        """Return how many members may be placed on a worker of a pool."""
        if self.workers is not None and worker not in self.workers:
            return 0
        limit = pool.member_limit(worker, shape)
        return min(limit, self.max_members) if self.max_members else limit

    def restricted_to(self, workers: frozenset[TargetId]) -> "PlacementRule":
        """Return the rule for some of the workers that it allows."""
        allowed = workers if self.workers is None else self.workers & workers
        return replace(self, workers=allowed)


ANY_WORKER = PlacementRule()


def worker_masks_of(placement: Iterable[MemberPlacement]) -> WorkerMasks:
    """Return a job's placement as one worker and mask per member."""
    return tuple((member.worker, mask_of(member.accelerators)) for member in placement)


def placement_of(worker_masks: WorkerMasks) -> tuple[MemberPlacement, ...]:
    """Return a job's placement from one worker and mask per member."""
    return tuple(MemberPlacement(worker, numbers_of(mask)) for worker, mask in worker_masks)


def find_placement(
    pool: Pool, shape: GangShape, rule: PlacementRule = ANY_WORKER
) -> WorkerMasks | None:
    """Return the best fit of a gang in a pool, or None."""
    if not shape.accelerators:
        return _find_without_accelerators(pool, shape, rule)
    index = PIECE_SIZES.index(piece_class(shape.accelerators))
    if pool.piece_totals[index] < shape.members:
        return None
    worker_masks = _find_in_worker(pool, shape, rule)
    if worker_masks is None and shape.adjacency is not Adjacency.WORKER and shape.members > 1:
        worker_masks = _find_in_rack(pool, shape, index, rule)
        if worker_masks is None and shape.adjacency is Adjacency.ANY:
            worker_masks = _find_across_racks(pool, shape, index, rule)
    return worker_masks


def fit_placement(
    candidates: Sequence[WorkerMask],
    shape: GangShape,
    member_limit: MemberLimit,
    rack_by_worker: Mapping[TargetId, RackId],
) -> WorkerMasks | None:
    """Return the best fit of a gang in given masks, as its adjacency requires.

    :param candidates: mask of usable accelerators per worker
    """
    groups: dict[str, list[WorkerMask]] = {}
    for worker_mask in candidates:
        key = ""
        if shape.members > 1 and shape.adjacency is not Adjacency.ANY:
            key = (
                worker_mask[0]
                if shape.adjacency is Adjacency.WORKER
                else rack_by_worker[worker_mask[0]]
            )
        groups.setdefault(key, []).append(worker_mask)
    fits = [fit for group in groups.values() if (fit := fit_group(group, shape, member_limit))]
    return min(fits, key=lambda fit: fit[1])[0] if fits else None


def fit_group(
    candidates: Sequence[WorkerMask], shape: GangShape, member_limit: MemberLimit
) -> tuple[WorkerMasks, int] | None:
    """Place members one by one where they cause the least loss in ``mask_value``.

    :param member_limit: returns how many members the cores and memory of a worker allow
    :returns: placement and total loss, or None if not all members fit
    """
    masks = dict(candidates)
    limit_by_worker = {worker: member_limit(worker) for worker in masks}
    worker_masks: list[WorkerMask] = []
    total_loss = 0
    while len(worker_masks) < shape.members:
        best: tuple[int, TargetId, int] | None = None
        for worker, mask in masks.items():
            choice = (
                choose_blocks(mask, shape.accelerators, 1) if limit_by_worker[worker] > 0 else None
            )
            if choice is not None and (best is None or choice[1] < best[0]):
                best = (choice[1], worker, choice[0][0])
        if best is None:
            return None
        loss, worker, block = best
        # Further members go to the same worker, so that no second worker is fragmented.
        while len(worker_masks) < shape.members:
            total_loss += loss
            worker_masks.append((worker, block))
            masks[worker] &= ~block
            limit_by_worker[worker] -= 1
            choice = choose_blocks(masks[worker], shape.accelerators, 1)
            if choice is None or limit_by_worker[worker] <= 0:
                break
            loss, block = choice[1], choice[0][0]
    return tuple(worker_masks), total_loss


def cheapest_placement(
    candidates: Sequence[WorkerMask],
    shape: GangShape,
    member_limit: MemberLimit,
    cost: Callable[[TargetId, int], float],
) -> tuple[WorkerMasks, list[float]] | None:
    """Choose the blocks of least cost among workers that may be used together.

    :param cost: returns the cost of a block; infinite if it may not be used
    :returns: placement and the cost of each member, or None if not all members fit
    """
    blocks_by_cost = sorted(
        (block_cost, worker, block)
        for worker, mask in candidates
        for block in blocks(mask, shape.accelerators)
        if (block_cost := cost(worker, block)) != inf
    )
    limit_by_worker: dict[TargetId, int] = {}
    worker_masks: list[WorkerMask] = []
    costs: list[float] = []
    for block_cost, worker, block in blocks_by_cost:
        if limit_by_worker.setdefault(worker, member_limit(worker)) > 0:
            limit_by_worker[worker] -= 1
            worker_masks.append((worker, block))
            costs.append(block_cost)
            if len(worker_masks) == shape.members:
                return tuple(worker_masks), costs
    return None


def neighbour_order(racks: Iterable[RackId]) -> tuple[RackId, ...]:
    """Return racks in physical order, which is the natural order of their names.

    Numbers inside rack names are compared as numbers: rack 10 follows rack 9.
    """
    return _neighbour_order(tuple(racks))


@lru_cache(maxsize=16)
def _neighbour_order(racks: tuple[RackId, ...]) -> tuple[RackId, ...]:
    return tuple(sorted(racks, key=_natural_key))


@lru_cache(maxsize=4096)
def _natural_key(rack: RackId) -> tuple[tuple[int, str], ...]:
    parts = re.findall(r"\d+|\D+", rack)
    return tuple((int(part), "") if part.isdigit() else (0, part) for part in parts)


def _find_without_accelerators(
    pool: Pool, shape: GangShape, rule: PlacementRule
) -> WorkerMasks | None:
    """Return a fit by cores and memory, on workers with few free accelerators first."""
    open_workers = [
        (worker, mask)
        for worker, mask in sorted(pool.masks.items(), key=lambda item: item[1].bit_count())
        if pool.is_open(worker) and rule.member_limit(pool, worker, shape) > 0
    ]
    member_limit = partial(rule.member_limit, pool, shape=shape)
    adjacencies = [Adjacency.WORKER, Adjacency.RACK, Adjacency.ANY]
    for adjacency in adjacencies[: adjacencies.index(shape.adjacency) + 1]:
        closer = structs.replace(shape, adjacency=adjacency)
        worker_masks = fit_placement(open_workers, closer, member_limit, pool.rack_by_worker)
        if worker_masks is not None:
            return worker_masks
    return None


def _find_in_worker(pool: Pool, shape: GangShape, rule: PlacementRule) -> WorkerMasks | None:
    fits = []
    for mask in pool.workers_by_mask:
        choice = choose_blocks(mask, shape.accelerators, shape.members)
        if choice is not None:
            fits.append((choice[1], mask.bit_count(), mask, choice[0]))
    for _, _, mask, chosen in sorted(fits):
        for worker in pool.workers_with_mask(mask):
            if rule.member_limit(pool, worker, shape) >= shape.members:
                return tuple((worker, block) for block in chosen)
    return None


def _find_in_rack(
    pool: Pool, shape: GangShape, index: int, rule: PlacementRule
) -> WorkerMasks | None:
    best: tuple[int, WorkerMasks] | None = None
    fit_count = 0
    buckets = pool.racks_by_piece_count[index]
    member_limit = partial(rule.member_limit, pool, shape=shape)
    for count in sorted(count for count in buckets if count >= shape.members):
        for rack in sorted(buckets[count]):
            placement_and_loss = fit_group(open_masks(pool, rack), shape, member_limit)
            if placement_and_loss is not None and (best is None or placement_and_loss[1] < best[0]):
                best = (placement_and_loss[1], placement_and_loss[0])
            fit_count += placement_and_loss is not None
            if fit_count >= MAX_RACKS_COMPARED:
                break
        if best is not None:
            return best[1]
    return None


def open_masks(pool: Pool, rack: RackId) -> list[WorkerMask]:
    """Return the masks of the open workers of a rack."""
    return [
        (worker, pool.masks[worker])
        for worker in pool.workers_by_rack[rack]
        if pool.is_open(worker)
    ]


def _find_across_racks(
    pool: Pool, shape: GangShape, index: int, rule: PlacementRule
) -> WorkerMasks | None:
    racks = neighbour_order(pool.workers_by_rack)
    counts = [pool.piece_counts_by_rack[rack][index] for rack in racks]
    windows = []
    start = total = 0
    for end, count in enumerate(counts):
        total += count
        while total - counts[start] >= shape.members:
            total -= counts[start]
            start += 1
        if total >= shape.members:
            windows.append((end - start, total, start, end))
    member_limit = partial(rule.member_limit, pool, shape=shape)
    for _, _, start, end in islice(sorted(windows), MAX_RACKS_COMPARED):
        worker_masks = [
            worker_mask for rack in racks[start : end + 1] for worker_mask in open_masks(pool, rack)
        ]
        placement_and_loss = fit_group(worker_masks, shape, member_limit)
        if placement_and_loss is not None:
            return placement_and_loss[0]
    placement_and_loss = fit_group(
        [worker_mask for rack in racks for worker_mask in open_masks(pool, rack)],
        shape,
        member_limit,
    )
    return placement_and_loss[0] if placement_and_loss else None
