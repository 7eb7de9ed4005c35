"""Guarantee instances, and the capacity that their jobs leave free."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.placement import fit_placement
from chicorycrank.policy.pool import Pool, WorkerMask, WorkerMasks

InstanceKey = tuple[GuaranteeId, int]


@dataclass(kw_only=True)
class GuaranteeInstance:
    """One of the ``count`` instances of a guarantee, with its reserved placement.

    :param key: id of the guarantee and index of the instance
    :param worker_masks: one worker and mask per member; None while the instance is not placed
    :param shares: cores and memory in GB reserved for each member
    :param jobs: guaranteed jobs inside the instance, with their worker masks and shape
    :param has_room_by_shape: cached fits, cleared if the instance or one of its workers changes
    """

    key: InstanceKey
    team: TeamId
    shape: GangShape
    worker_masks: WorkerMasks | None = None
    shares: tuple[tuple[int, int], ...] = ()
    jobs: dict[JobId, tuple[WorkerMasks, GangShape]] = field(default_factory=dict)
    has_room_by_shape: dict[GangShape, bool] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class FreeCapacity:
    """Capacity of an instance on one worker that its jobs leave free."""

    mask: int
    cores: int
    memory_gb: int


def free_capacity_of(instance: GuaranteeInstance) -> dict[TargetId, FreeCapacity]:
    """Return the capacity that the jobs inside an instance leave free, by worker."""
    remaining: dict[TargetId, list[int]] = {}
    for (worker, mask), (cores, memory_gb) in zip(
        instance.worker_masks or (), instance.shares, strict=True
    ):
        free = remaining.setdefault(worker, [0, 0, 0])
        free[0] |= mask
        free[1] += cores
        free[2] += memory_gb
    for worker_masks, shape in instance.jobs.values():
        for worker, mask in worker_masks:
            remaining[worker][0] &= ~mask
            remaining[worker][1] -= shape.cores
            remaining[worker][2] -= shape.memory_gb
    return {
        worker: FreeCapacity(mask=mask, cores=cores, memory_gb=memory_gb)
        for worker, (mask, cores, memory_gb) in remaining.items()
    }


def members_allowed(free: FreeCapacity, shape: GangShape) -> int:
    """Return how many members of a gang fit in free cores and memory."""
    allowed = shape.members
    if shape.cores:
        allowed = min(allowed, free.cores // shape.cores)
    if shape.memory_gb:
        allowed = min(allowed, free.memory_gb // shape.memory_gb)
    return allowed


def fit_in_instance(
    instance: GuaranteeInstance, shape: GangShape, usable: Mapping[TargetId, int] | None, pool: Pool
) -> WorkerMasks | None:
    """Return where a gang fits inside an instance, or None.

    :param usable: mask of usable accelerators by worker; all of the instance's if None
    :param pool: pool that contains the racks and open workers
    """
    free_by_worker = {
        worker: capacity
        for worker, capacity in free_capacity_of(instance).items()
        if pool.is_open(worker)
    }
    candidates: list[WorkerMask] = []
    for worker, free in free_by_worker.items():
        mask = free.mask if usable is None else free.mask & usable.get(worker, 0)
        candidates.append((worker, mask))
    return fit_placement(
        candidates,
        shape,
        lambda worker: members_allowed(free_by_worker[worker], shape),
        pool.rack_by_worker,
    )


def covers(instance: GuaranteeInstance, worker_masks: WorkerMasks, shape: GangShape) -> bool:
    """Return whether an instance has room for a gang in given worker masks."""
    free_by_worker = free_capacity_of(instance)
    masks: dict[TargetId, int] = {}
    members: dict[TargetId, int] = {}
    for worker, mask in worker_masks:
        masks[worker] = masks.get(worker, 0) | mask
        members[worker] = members.get(worker, 0) + 1
    return all(
        worker in free_by_worker
        and mask & ~free_by_worker[worker].mask == 0
        and members_allowed(free_by_worker[worker], shape) >= min(members[worker], shape.members)
        for worker, mask in masks.items()
    )
