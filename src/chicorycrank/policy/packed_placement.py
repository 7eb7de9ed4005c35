"""Placement of small tasks on as few workers and racks as possible.

Load that it answers: many single-accelerator tasks that end at random. Spread over the fleet, they
keep whole workers and racks from becoming free for gangs, although most accelerators are free.
"""

from collections.abc import Iterator

from chicorycrank.model.ids import RackId, TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.packing import choose_blocks
from chicorycrank.policy.placement import PlacementRule
from chicorycrank.policy.pool import Pool, WorkerMasks


def find_packed_placement(pool: Pool, shape: GangShape, rule: PlacementRule) -> WorkerMasks | None:
    """Return a placement of a single task that leaves the most whole workers and racks free.

    Workers in use come before empty ones, then racks with few free accelerators before others, and
    in a rack the fullest worker. An empty worker is taken from a rack in use if there is one.
    """
    racks = [rack for rack in _fullest_first(pool) if pool.piece_counts_by_rack[rack][0]]
    for rack in racks:
        placement = _find_in_rack(pool, shape, rule, rack, is_empty=False)
        if placement is not None:
            return placement
    racks.sort(key=lambda rack: not _is_in_use(pool, rack))
    for rack in racks:
        placement = _find_in_rack(pool, shape, rule, rack, is_empty=True)
        if placement is not None:
            return placement
    return None


def _fullest_first(pool: Pool) -> Iterator[RackId]:
    """Yield racks by the number of free accelerators on their open workers."""
    buckets = pool.racks_by_piece_count[0]  # pieces of one accelerator
    for count in sorted(buckets):
        yield from sorted(buckets[count])


def _find_in_rack(
    pool: Pool, shape: GangShape, rule: PlacementRule, rack: RackId, *, is_empty: bool
) -> WorkerMasks | None:
    workers = [
        worker
        for worker in pool.workers_by_rack[rack]
        if pool.masks[worker]
        and _is_empty(pool, worker) is is_empty
        and pool.is_open(worker)
        and rule.member_limit(pool, worker, shape) > 0
    ]
    for worker in sorted(workers, key=lambda name: (pool.masks[name].bit_count(), name)):
        choice = choose_blocks(pool.masks[worker], shape.accelerators, 1)
        if choice is not None:
            return ((worker, choice[0][0]),)
    return None


def _is_empty(pool: Pool, worker: TargetId) -> bool:
    return pool.masks[worker] == pool.capacity_masks[worker]


def _is_in_use(pool: Pool, rack: RackId) -> bool:
    return not all(_is_empty(pool, worker) for worker in pool.workers_by_rack[rack])
