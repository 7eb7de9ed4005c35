"""Where a gang fits: in a worker, then a rack, then neighbouring racks."""

import re
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import lru_cache, partial
from itertools import islice
from math import inf

from chicorycrank.model.ids import RackId, TargetId
from chicorycrank.model.jobs import Adjacency, GangShape, MemberPlacement
from chicorycrank.policy.packing import (
    PIECE_SIZES,
    blocks,
    mask_of,
    numbers_of,
    piece_class,
    take_blocks,
)
from chicorycrank.policy.pool import Pool, Spot, Spots

Room = Callable[[TargetId], int]

RACKS_COMPARED = 8  # racks with the best counts whose loss is compared


@dataclass(frozen=True, kw_only=True)
class PlacementRule:
    """Which workers a job may use.

    :param workers: the only workers allowed; any worker if None
    :param max_members: members allowed on one worker; 0 for no limit
    """

    workers: frozenset[TargetId] | None = None
    max_members: int = 0

    def room(self, pool: Pool, worker: TargetId, shape: GangShape) -> int:
        """Return how many members may be placed on a worker of a pool."""
        if self.workers is not None and worker not in self.workers:
            return 0
        room = pool.room(worker, shape)
        return min(room, self.max_members) if self.max_members else room


ANY_WORKER = PlacementRule()


def spots_of(placement: Iterable[MemberPlacement]) -> Spots:
    """Return a placement as worker and mask per member."""
    return tuple((member.worker, mask_of(member.accelerators)) for member in placement)


def placement_of(spots: Spots) -> tuple[MemberPlacement, ...]:
    """Return spots as the placement of a job record."""
    return tuple(MemberPlacement(worker, numbers_of(mask)) for worker, mask in spots)


def find_spots(pool: Pool, shape: GangShape, rule: PlacementRule = ANY_WORKER) -> Spots | None:
    """Return the best fit of a gang in a pool, or None."""
    index = PIECE_SIZES.index(piece_class(shape.accelerators))
    if pool.totals[index] < shape.members:
        return None
    spots = _find_in_worker(pool, shape, rule)
    if spots is None and shape.adjacency is not Adjacency.WORKER and shape.members > 1:
        spots = _find_in_rack(pool, shape, index, rule)
        if spots is None and shape.adjacency is Adjacency.ANY:
            spots = _find_across_racks(pool, shape, index, rule)
    return spots


def fit_spots(
    candidates: Sequence[Spot],
    shape: GangShape,
    room: Room,
    rack_by_worker: Mapping[TargetId, RackId],
) -> Spots | None:
    """Return the best fit of a gang in given masks, with its adjacency.

    :param candidates: usable mask per worker
    """
    groups: dict[str, list[Spot]] = {}
    for spot in candidates:
        key = ""
        if shape.members > 1 and shape.adjacency is not Adjacency.ANY:
            key = spot[0] if shape.adjacency is Adjacency.WORKER else rack_by_worker[spot[0]]
        groups.setdefault(key, []).append(spot)
    fits = [fit for group in groups.values() if (fit := fit_group(group, shape, room))]
    return min(fits, key=lambda fit: fit[1])[0] if fits else None


def fit_group(candidates: Sequence[Spot], shape: GangShape, room: Room) -> tuple[Spots, int] | None:
    """Place members one by one where the least value is lost.

    :param room: members that the cores and memory of a worker allow
    :returns: the spots and the value lost, or None if not all members fit
    """
    masks = dict(candidates)
    rooms = {worker: room(worker) for worker in masks}
    spots: list[Spot] = []
    lost = 0
    while len(spots) < shape.members:
        best: tuple[int, TargetId, int] | None = None
        for worker, mask in masks.items():
            taken = take_blocks(mask, shape.accelerators, 1) if rooms[worker] > 0 else None
            if taken is not None and (best is None or taken[1] < best[0]):
                best = (taken[1], worker, taken[0][0])
        if best is None:
            return None
        loss, worker, block = best
        # A whole worker's blocks are taken together, so that no second worker is split.
        while block and len(spots) < shape.members:
            lost += loss
            spots.append((worker, block))
            masks[worker] &= ~block
            rooms[worker] -= 1
            taken = take_blocks(masks[worker], shape.accelerators, 1)
            if taken is None or rooms[worker] <= 0:
                break
            loss, block = taken[1], taken[0][0]
    return tuple(spots), lost


def cheapest_spots(
    candidates: Sequence[Spot],
    shape: GangShape,
    room: Room,
    cost: Callable[[TargetId, int], float],
) -> tuple[Spots, list[float]] | None:
    """Choose the blocks of least cost among workers that may be used together.

    :param cost: cost of one block; infinite if it may not be used
    :returns: the spots and the cost of each, or None if not all members fit
    """
    priced = sorted(
        (price, worker, block)
        for worker, mask in candidates
        for block in blocks(mask, shape.accelerators)
        if (price := cost(worker, block)) != inf
    )
    rooms: dict[TargetId, int] = {}
    spots: list[Spot] = []
    costs: list[float] = []
    for price, worker, block in priced:
        if rooms.setdefault(worker, room(worker)) > 0:
            rooms[worker] -= 1
            spots.append((worker, block))
            costs.append(price)
            if len(spots) == shape.members:
                return tuple(spots), costs
    return None


def neighbour_order(racks: Iterable[RackId]) -> tuple[RackId, ...]:
    """Return racks in the order in which they stand side by side.

    Numbers inside rack names are compared as numbers: rack 10 stands after rack 9.
    """
    return _neighbour_order(tuple(racks))


@lru_cache(maxsize=16)
def _neighbour_order(racks: tuple[RackId, ...]) -> tuple[RackId, ...]:
    return tuple(sorted(racks, key=_natural_key))


@lru_cache(maxsize=4096)
def _natural_key(rack: RackId) -> tuple[tuple[int, str], ...]:
    parts = re.findall(r"\d+|\D+", rack)
    return tuple((int(part), "") if part.isdigit() else (0, part) for part in parts)


def _find_in_worker(pool: Pool, shape: GangShape, rule: PlacementRule) -> Spots | None:
    fits = []
    for mask in pool.workers_by_mask:
        taken = take_blocks(mask, shape.accelerators, shape.members)
        if taken is not None:
            fits.append((taken[1], mask.bit_count(), mask, taken[0]))
    for _, _, mask, chosen in sorted(fits):
        for worker in pool.pick(mask):
            if rule.room(pool, worker, shape) >= shape.members:
                return tuple((worker, block) for block in chosen)
    return None


def _find_in_rack(pool: Pool, shape: GangShape, index: int, rule: PlacementRule) -> Spots | None:
    best: tuple[int, Spots] | None = None
    compared = 0
    buckets = pool.racks_by_count[index]
    room = partial(rule.room, pool, shape=shape)
    for count in sorted(count for count in buckets if count >= shape.members):
        for rack in sorted(buckets[count]):
            found = fit_group(open_masks(pool, rack), shape, room)
            if found is not None and (best is None or found[1] < best[0]):
                best = (found[1], found[0])
            compared += found is not None
            if compared >= RACKS_COMPARED:
                break
        if best is not None:
            return best[1]
    return None


def open_masks(pool: Pool, rack: RackId) -> list[Spot]:
    """Return the masks of the open workers of a rack."""
    return [(w, pool.masks[w]) for w in pool.workers_by_rack[rack] if pool.is_open(w)]


def _find_across_racks(
    pool: Pool, shape: GangShape, index: int, rule: PlacementRule
) -> Spots | None:
    racks = neighbour_order(pool.workers_by_rack)
    counts = [pool.counts_by_rack[rack][index] for rack in racks]
    windows = []
    start = total = 0
    for end, count in enumerate(counts):
        total += count
        while total - counts[start] >= shape.members:
            total -= counts[start]
            start += 1
        if total >= shape.members:
            windows.append((end - start, total, start, end))
    room = partial(rule.room, pool, shape=shape)
    for _, _, start, end in islice(sorted(windows), RACKS_COMPARED):
        spots = [spot for rack in racks[start : end + 1] for spot in open_masks(pool, rack)]
        found = fit_group(spots, shape, room)
        if found is not None:
            return found[0]
    found = fit_group([s for rack in racks for s in open_masks(pool, rack)], shape, room)
    return found[0] if found else None
