"""Placements reserved for guarantee instances, and the jobs that run inside them.

The placements are disjoint. They contain only free accelerators, borrowed work and guaranteed work
of their own team. As long as every instance has a placement, gangs of all guaranteed shapes can be
placed at the same time by evicting only borrowed work.
"""

from collections.abc import Iterable, Mapping

from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.guarantee_instance import (
    GuaranteeInstance,
    InstanceKey,
    covers,
    fit_in_instance,
)
from chicorycrank.policy.packing import blocks
from chicorycrank.policy.placement import find_placement, fit_group
from chicorycrank.policy.pool import Pool, WorkerMask, WorkerMasks


class GuaranteePlacements:
    """Guarantee instances of a cell with their placements, and the pool of other accelerators.

    ``capacity_by_worker`` contains the accelerator mask, cores and memory in GB of whole workers.
    A closed worker gets no new placements, see :meth:`Pool.close`.
    """

    def __init__(self) -> None:
        self.pool = Pool()
        self.instance_by_key: dict[InstanceKey, GuaranteeInstance] = {}
        self.instances_by_team: dict[TeamId, list[GuaranteeInstance]] = {}
        self.instance_by_job: dict[JobId, GuaranteeInstance] = {}
        self.keys_by_worker: dict[TargetId, dict[InstanceKey, None]] = {}
        self.capacity_by_worker: dict[TargetId, tuple[int, int, int]] = {}
        # Instances that were moved, each with its placement and shares before the move.
        self.journal: list[
            tuple[GuaranteeInstance, WorkerMasks | None, tuple[tuple[int, int], ...]]
        ] = []
        self.needs_placement = False
        self.unplaced_count = 0
        self.avoided: WorkerMasks = ()  # reserved for waiting jobs, the last choice for instances
        self._fitting_by_team: dict[TeamId, dict[GangShape, list[GuaranteeInstance]]] = {}

    def instances_with_room(self, team: TeamId, shape: GangShape) -> list[GuaranteeInstance]:
        """Return a team's instances with room for a gang, those in use first.

        The result is cached until an instance of the team or one of its workers changes.
        """
        by_shape = self._fitting_by_team.setdefault(team, {})
        if shape not in by_shape:
            found = []
            for instance in self.instances_by_team.get(team, []):
                if shape not in instance.has_room_by_shape:
                    fits = fit_in_instance(instance, shape, None, self.pool) is not None
                    instance.has_room_by_shape[shape] = fits
                if instance.has_room_by_shape[shape]:
                    found.append(instance)
            by_shape[shape] = sorted(found, key=lambda instance: (not instance.jobs, instance.key))
        return by_shape[shape]

    def invalidate_fits(self, worker: TargetId) -> None:
        """Invalidate the cached fits of instances on a worker that was opened or closed."""
        for key in self.keys_by_worker.get(worker, {}):
            self._invalidate(self.instance_by_key[key])

    def _invalidate(self, instance: GuaranteeInstance) -> None:
        instance.has_room_by_shape.clear()
        self._fitting_by_team.pop(instance.team, None)

    def set_guarantees(self, guarantees: Mapping[GuaranteeId, Guarantee]) -> list[JobId]:
        """Apply guarantees.

        :returns: jobs whose instance was removed
        """
        guarantee_by_key = {
            (key, index): guarantee
            for key, guarantee in guarantees.items()
            for index in range(guarantee.count)
        }
        displaced: list[JobId] = []
        for key, instance in list(self.instance_by_key.items()):
            new_guarantee = guarantee_by_key.get(key)
            if new_guarantee is None or (new_guarantee.team, new_guarantee.shape) != (
                instance.team,
                instance.shape,
            ):
                displaced += instance.jobs
                for job_id in instance.jobs:
                    del self.instance_by_job[job_id]
                self.move(instance, None)
                del self.instance_by_key[key]
        for key, guarantee in guarantee_by_key.items():
            if key not in self.instance_by_key:
                self.instance_by_key[key] = GuaranteeInstance(
                    key=key, team=guarantee.team, shape=guarantee.shape
                )
        self.instances_by_team = {}
        self._fitting_by_team.clear()
        for key in sorted(self.instance_by_key):
            instance = self.instance_by_key[key]
            self.instances_by_team.setdefault(instance.team, []).append(instance)
        self.needs_placement = True
        return displaced

    def unplaced(self) -> list[GuaranteeInstance]:
        """Return the instances without a placement."""
        return [
            instance for instance in self.instance_by_key.values() if instance.worker_masks is None
        ]

    def place_unplaced(self) -> None:
        """Place unplaced instances; repack idle instances if that places more of them."""
        if not self.needs_placement:
            return
        self.needs_placement = False
        unplaced = self.unplaced()
        self._place_all(unplaced)
        self.unplaced_count = sum(instance.worker_masks is None for instance in unplaced)
        if not self.unplaced_count:
            return
        idle = [instance for instance in self.instance_by_key.values() if not instance.jobs]
        before = [(instance, instance.worker_masks, instance.shares) for instance in idle]
        self._repack(idle)
        after = sum(instance.worker_masks is None for instance in idle)
        if after < self.unplaced_count:
            self.unplaced_count = after
        else:
            self._restore(before)

    def avoid(self, worker_masks: WorkerMasks) -> None:
        """Move idle instances off accelerators reserved for waiting jobs, as far as possible."""
        if set(worker_masks) == set(self.avoided):
            return
        self.avoided = worker_masks
        for instance in self._instances_overlapping(worker_masks):
            if not instance.jobs:
                before = instance.worker_masks
                self.move(instance, None)
                self.move(instance, self._find_placement(instance.shape) or before)

    def _find_placement(self, shape: GangShape) -> WorkerMasks | None:
        avoided_free = [
            (worker, self.pool.masks[worker] & mask)
            for worker, mask in self.avoided
            if worker in self.pool.masks
        ]
        for worker, mask in avoided_free:
            self.pool.allocate(worker, mask)
        worker_masks = find_placement(self.pool, shape)
        for worker, mask in avoided_free:
            self.pool.release(worker, mask)
        return worker_masks or (find_placement(self.pool, shape) if avoided_free else None)

    def move(self, instance: GuaranteeInstance, worker_masks: WorkerMasks | None) -> None:
        """Move an instance to another placement, or remove its placement if that is None."""
        self.journal.append((instance, instance.worker_masks, instance.shares))
        self._release_placement(instance)
        if worker_masks is not None:
            self._reserve_placement(
                instance, worker_masks, self._resource_shares(instance.shape, worker_masks)
            )

    def undo_moves(self) -> None:
        """Restore the placements that instances had when the journal was last cleared."""
        first_entry_by_key: dict[
            InstanceKey, tuple[GuaranteeInstance, WorkerMasks | None, tuple[tuple[int, int], ...]]
        ] = {}
        for entry in self.journal:
            first_entry_by_key.setdefault(entry[0].key, entry)
        self._restore(list(first_entry_by_key.values()))
        self.journal.clear()

    def add_job(
        self,
        instance: GuaranteeInstance,
        job_id: JobId,
        worker_masks: WorkerMasks,
        shape: GangShape,
    ) -> None:
        """Record that a job runs inside an instance."""
        instance.jobs[job_id] = (worker_masks, shape)
        self._invalidate(instance)
        self.instance_by_job[job_id] = instance

    def remove_job(self, job_id: JobId) -> list[JobId]:
        """Remove a job from its instance.

        The instance loses its placement if one of its workers is closed and runs none of its
        other jobs.

        :returns: other jobs of the instance, if it loses its placement
        """
        instance = self.instance_by_job.pop(job_id, None)
        if instance is None:
            return []
        del instance.jobs[job_id]
        self._invalidate(instance)
        self.needs_placement |= self.unplaced_count > 0
        return self._leave_closed_workers(instance)

    def assign_job(
        self, team: TeamId, job_id: JobId, worker_masks: WorkerMasks, shape: GangShape
    ) -> bool:
        """Assign a job to an instance of its team; move instances if none covers its accelerators.

        :returns: false if no instance is available, or if overlapping instances cannot move
        """
        instances = self.instances_by_team.get(team, [])
        for instance in instances:
            if instance.worker_masks is not None and covers(instance, worker_masks, shape):
                self.add_job(instance, job_id, worker_masks, shape)
                return True
        tried: set[GangShape] = set()
        for instance in instances:
            if not instance.jobs and instance.shape not in tried:
                tried.add(instance.shape)
                if self._move_onto(instance, worker_masks, shape):
                    self.add_job(instance, job_id, worker_masks, shape)
                    return True
        return False

    def vacate_worker(self, worker: TargetId, *, lost: bool = False) -> list[JobId]:
        """Remove placements from a closed worker, unless jobs inside them still run there.

        :param lost: the jobs on the worker have ended, so placements are removed even if jobs are
            still recorded in them
        :returns: jobs whose instance lost its placement
        """
        displaced: list[JobId] = []
        for key in list(self.keys_by_worker.get(worker, {})):
            displaced += self._leave_closed_workers(self.instance_by_key[key], lost=lost)
        return displaced

    def _leave_closed_workers(
        self, instance: GuaranteeInstance, *, lost: bool = False
    ) -> list[JobId]:
        closed_workers = {
            worker for worker, _ in instance.worker_masks or () if not self.pool.is_open(worker)
        }
        if not lost:
            closed_workers -= {
                worker for worker_masks, _ in instance.jobs.values() for worker, _ in worker_masks
            }
        if not closed_workers:
            return []
        displaced = list(instance.jobs)
        for job_id in displaced:
            del self.instance_by_job[job_id]
        instance.jobs.clear()
        self.move(instance, None)
        self.needs_placement = True
        return displaced

    def _move_onto(
        self, instance: GuaranteeInstance, worker_masks: WorkerMasks, shape: GangShape
    ) -> bool:
        """Move an idle instance onto a job's accelerators; overlapping instances move elsewhere."""
        journal_length = len(self.journal)
        self.move(instance, None)
        masks: dict[TargetId, int] = {}
        for worker, mask in worker_masks:
            masks[worker] = masks.get(worker, 0) | mask
        target = self._placement_containing(instance.shape, masks)
        if target is not None:
            overlapping = self._instances_overlapping(target)
            if not any(other.jobs for other in overlapping):
                for other in overlapping:
                    self.move(other, None)
                if self._has_room(instance.shape, target):
                    self.move(instance, target)
                    if covers(instance, worker_masks, shape):
                        self._place_all(overlapping)
                        if all(other.worker_masks is not None for other in overlapping):
                            return True
        self._restore(list(reversed(self.journal[journal_length:])), is_sequential=True)
        del self.journal[journal_length:]
        return False

    def _placement_containing(
        self, shape: GangShape, masks: dict[TargetId, int]
    ) -> WorkerMasks | None:
        """Return a placement of a shape that contains given accelerators."""
        worker_masks: list[WorkerMask] = []
        for worker, mask in masks.items():
            if worker not in self.capacity_by_worker:
                return None
            for block in blocks(self.capacity_by_worker[worker][0], shape.accelerators):
                if block & mask:
                    worker_masks.append((worker, block))
                    mask &= ~block
            if mask:
                return None
        racks = {self.pool.rack_by_worker[worker] for worker in masks}
        if shape.adjacency is Adjacency.WORKER and shape.members > 1 and len(masks) > 1:
            return None
        if shape.adjacency is Adjacency.RACK and shape.members > 1 and len(racks) > 1:
            return None
        members_left = shape.members - len(worker_masks)
        if members_left <= 0:
            return tuple(worker_masks) if members_left == 0 else None
        chosen = dict.fromkeys(masks, 0)
        for worker, block in worker_masks:
            chosen[worker] |= block
        nearby = (
            list(masks)
            if shape.adjacency is Adjacency.WORKER
            else [worker for rack in sorted(racks) for worker in self.pool.workers_by_rack[rack]]
        )
        candidates = [
            (worker, self.pool.masks[worker] & ~chosen.get(worker, 0))
            for worker in nearby
            if self.pool.is_open(worker)
        ]
        placement_and_loss = fit_group(candidates, shape, lambda worker: shape.members)
        if placement_and_loss is None:
            return None
        return tuple(worker_masks) + placement_and_loss[0][:members_left]

    def _instances_overlapping(self, worker_masks: WorkerMasks) -> list[GuaranteeInstance]:
        found: dict[InstanceKey, GuaranteeInstance] = {}
        for worker, mask in worker_masks:
            for key in self.keys_by_worker.get(worker, {}):
                instance = self.instance_by_key[key]
                if any(w == worker and m & mask for w, m in instance.worker_masks or ()):
                    found[key] = instance
        return list(found.values())

    def _has_room(self, shape: GangShape, worker_masks: WorkerMasks) -> bool:
        count: dict[TargetId, int] = {}
        for worker, mask in worker_masks:
            if not self.pool.is_open(worker) or self.pool.masks[worker] & mask != mask:
                return False
            count[worker] = count.get(worker, 0) + 1
        return all(
            self.pool.cores[worker] >= members * shape.cores
            and self.pool.memory_gb[worker] >= members * shape.memory_gb
            for worker, members in count.items()
        )

    def _place_all(self, instances: Iterable[GuaranteeInstance]) -> None:
        """Place instances, those that are hardest to place first.

        These are the ones with the most accelerators per member, then those with the most members,
        then those whose members are bound to one worker or rack.
        """
        failed: set[GangShape] = set()
        for instance in sorted(instances, key=_packing_order):
            if instance.shape not in failed:
                worker_masks = self._find_placement(instance.shape)
                if worker_masks is None:
                    failed.add(instance.shape)
                else:
                    self.move(instance, worker_masks)

    def _repack(self, idle: list[GuaranteeInstance]) -> None:
        for instance in idle:
            self.move(instance, None)
        self._place_all(idle)

    def _restore(
        self,
        entries: list[tuple[GuaranteeInstance, WorkerMasks | None, tuple[tuple[int, int], ...]]],
        *,
        is_sequential: bool = False,
    ) -> None:
        """Restore earlier placements of instances.

        :param is_sequential: apply the entries one after another, as needed for a journal, which
            may contain an instance several times; otherwise all placements are released first
        """
        if not is_sequential:
            for instance, _, _ in entries:
                self._release_placement(instance)
        for instance, worker_masks, shares in entries:
            self._release_placement(instance)
            if worker_masks is not None:
                self._reserve_placement(instance, worker_masks, shares)

    def _resource_shares(
        self, shape: GangShape, worker_masks: WorkerMasks
    ) -> tuple[tuple[int, int], ...]:
        """Return the cores and memory in GB of each member.

        A value that the shape does not declare is in proportion to the accelerators of a member,
        and at most what its worker has left.
        """
        shares = []
        remaining: dict[TargetId, list[int]] = {}
        for worker, _ in worker_masks:
            full_mask, cores, memory_gb = self.capacity_by_worker[worker]
            remaining_on_worker = remaining.setdefault(
                worker, [self.pool.cores[worker], self.pool.memory_gb[worker]]
            )
            accelerator_share = shape.accelerators / full_mask.bit_count()
            share = (
                shape.cores or max(0, min(int(cores * accelerator_share), remaining_on_worker[0])),
                shape.memory_gb
                or max(0, min(int(memory_gb * accelerator_share), remaining_on_worker[1])),
            )
            remaining_on_worker[0] -= share[0]
            remaining_on_worker[1] -= share[1]
            shares.append(share)
        return tuple(shares)

    def _reserve_placement(
        self,
        instance: GuaranteeInstance,
        worker_masks: WorkerMasks,
        shares: tuple[tuple[int, int], ...],
    ) -> None:
        instance.worker_masks, instance.shares = worker_masks, shares
        self._invalidate(instance)
        for (worker, mask), (cores, memory_gb) in zip(worker_masks, shares, strict=True):
            self.pool.allocate(worker, mask, cores, memory_gb)
            self.keys_by_worker.setdefault(worker, {})[instance.key] = None

    def _release_placement(self, instance: GuaranteeInstance) -> None:
        for (worker, mask), (cores, memory_gb) in zip(
            instance.worker_masks or (), instance.shares, strict=True
        ):
            if worker in self.pool.masks:
                self.pool.release(worker, mask, cores, memory_gb)
            self.keys_by_worker.get(worker, {}).pop(instance.key, None)
        instance.worker_masks, instance.shares = None, ()
        self._invalidate(instance)


def _packing_order(instance: GuaranteeInstance) -> tuple[int, int, bool, InstanceKey]:
    shape = instance.shape
    is_spread = shape.members > 1 and shape.adjacency is Adjacency.ANY
    return -shape.accelerators, -shape.members, is_spread, instance.key
