"""The place of one instance of a guarantee, and the room that is left in it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.placement import fit_spots
from chicorycrank.policy.pool import Pool, Spot, Spots

HomeKey = tuple[GuaranteeId, int]


@dataclass(kw_only=True)
class Home:
    """Place of one instance of a guarantee.

    :param spots: one worker and mask per member; None while it has no place
    :param shares: cores and memory in gigabytes held for each member
    :param jobs: guaranteed jobs inside, with the spots and shape of each
    :param has_room_by_shape: known answers, until the home or one of its workers changes
    """

    key: HomeKey
    team: TeamId
    shape: GangShape
    spots: Spots | None = None
    shares: tuple[tuple[int, int], ...] = ()
    jobs: dict[JobId, tuple[Spots, GangShape]] = field(default_factory=dict)
    has_room_by_shape: dict[GangShape, bool] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Room:
    """What a home still offers on one worker."""

    mask: int
    cores: int
    memory_gb: int


def rooms_of(home: Home) -> dict[TargetId, Room]:
    """Return what the jobs inside a home leave of it, by worker."""
    left: dict[TargetId, list[int]] = {}
    for (worker, mask), (cores, memory_gb) in zip(home.spots or (), home.shares, strict=True):
        room = left.setdefault(worker, [0, 0, 0])
        room[0] |= mask
        room[1] += cores
        room[2] += memory_gb
    for spots, shape in home.jobs.values():
        for worker, mask in spots:
            left[worker][0] &= ~mask
            left[worker][1] -= shape.cores
            left[worker][2] -= shape.memory_gb
    return {
        worker: Room(mask=mask, cores=cores, memory_gb=memory_gb)
        for worker, (mask, cores, memory_gb) in left.items()
    }


def members_allowed(room: Room, shape: GangShape) -> int:
    """Return how many members the cores and memory of a room allow."""
    allowed = shape.members
    if shape.cores:
        allowed = min(allowed, room.cores // shape.cores)
    if shape.memory_gb:
        allowed = min(allowed, room.memory_gb // shape.memory_gb)
    return allowed


def fit_home(
    home: Home, shape: GangShape, usable: Mapping[TargetId, int] | None, pool: Pool
) -> Spots | None:
    """Return where a gang fits inside a home.

    :param usable: accelerators that may be used by worker; all of the home's if None
    :param pool: knows the racks and which workers are open
    """
    rooms = {worker: r for worker, r in rooms_of(home).items() if pool.is_open(worker)}
    candidates: list[Spot] = []
    for worker, room in rooms.items():
        mask = room.mask if usable is None else room.mask & usable.get(worker, 0)
        candidates.append((worker, mask))
    return fit_spots(
        candidates,
        shape,
        lambda worker: members_allowed(rooms[worker], shape),
        pool.rack_by_worker,
    )


def covers(home: Home, spots: Spots, shape: GangShape) -> bool:
    """Whether a home has room for a gang at given spots."""
    rooms = rooms_of(home)
    masks: dict[TargetId, int] = {}
    members: dict[TargetId, int] = {}
    for worker, mask in spots:
        masks[worker] = masks.get(worker, 0) | mask
        members[worker] = members.get(worker, 0) + 1
    return all(
        worker in rooms
        and mask & ~rooms[worker].mask == 0
        and members_allowed(rooms[worker], shape) >= min(members[worker], shape.members)
        for worker, mask in masks.items()
    )
