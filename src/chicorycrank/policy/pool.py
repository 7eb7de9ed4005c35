"""Pool of free capacity by worker, indexed by mask, rack and piece size."""

from collections.abc import Callable, Iterable
from itertools import islice

from chicorycrank.model.ids import RackId, TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.packing import PIECE_SIZES, piece_counts

WorkerMask = tuple[TargetId, int]  # a worker and a bit mask of some of its accelerators
WorkerMasks = tuple[WorkerMask, ...]  # placement of a gang, one worker and mask per member

MAX_RACKS_TRIED = 16  # bounds the search for the rack with the fewest whole pieces


def members_that_fit(shape: GangShape, cores: int, memory_gb: int) -> int:
    """Return how many members of a gang fit in given cores and memory."""
    limit = shape.members
    if shape.cores:
        limit = min(limit, cores // shape.cores)
    if shape.memory_gb:
        limit = min(limit, memory_gb // shape.memory_gb)
    return limit


class Pool:
    """Free accelerators, cores and memory by worker, with the number of pieces per rack.

    A closed worker keeps its values but is excluded from the indexes and counts.

    :ivar run_room: returns how many further runs a worker may get, None for any number; None if no
        worker is limited
    """

    def __init__(self) -> None:
        self.masks: dict[TargetId, int] = {}
        self.capacity_masks: dict[TargetId, int] = {}
        self.cores: dict[TargetId, int] = {}
        self.memory_gb: dict[TargetId, int] = {}
        self.rack_by_worker: dict[TargetId, RackId] = {}
        self.workers_by_rack: dict[RackId, list[TargetId]] = {}
        self.workers_by_mask: dict[int, set[TargetId]] = {}
        self.piece_counts_by_rack: dict[RackId, list[int]] = {}
        self.racks_by_piece_count: list[dict[int, set[RackId]]] = [{} for _ in PIECE_SIZES]
        self.piece_totals = [0] * len(PIECE_SIZES)
        self._closed: set[TargetId] = set()
        self.run_room: Callable[[TargetId], int | None] | None = None

    def add(self, worker: TargetId, rack: RackId, mask: int, cores: int, memory_gb: int) -> None:
        """Add a worker or replace its values; the worker is open afterwards."""
        if worker in self.masks:
            self.remove(worker)
        self.masks[worker], self.cores[worker], self.memory_gb[worker] = mask, cores, memory_gb
        self.capacity_masks[worker] = mask
        self.rack_by_worker[worker] = rack
        self.workers_by_rack.setdefault(rack, []).append(worker)
        if rack not in self.piece_counts_by_rack:
            self.piece_counts_by_rack[rack] = [0] * len(PIECE_SIZES)
            for buckets in self.racks_by_piece_count:
                buckets.setdefault(0, set()).add(rack)
        self._update_indexes(worker, 0, mask)

    def remove(self, worker: TargetId) -> None:
        """Remove a worker."""
        self.close(worker)
        self._closed.discard(worker)
        rack = self.rack_by_worker.pop(worker)
        del self.masks[worker], self.cores[worker], self.memory_gb[worker]
        del self.capacity_masks[worker]
        self.workers_by_rack[rack].remove(worker)
        if not self.workers_by_rack[rack]:
            del self.workers_by_rack[rack], self.piece_counts_by_rack[rack]
            for buckets in self.racks_by_piece_count:
                buckets[0].discard(rack)

    def close(self, worker: TargetId) -> None:
        """Exclude a worker from the indexes, so that it gets no new placements."""
        if worker in self.masks and worker not in self._closed:
            self._update_indexes(worker, self.masks[worker], 0)
            self._closed.add(worker)

    def open(self, worker: TargetId) -> None:
        """Include a closed worker in the indexes again."""
        if worker in self._closed:
            self._closed.discard(worker)
            self._update_indexes(worker, 0, self.masks[worker])

    def is_open(self, worker: TargetId) -> bool:
        """Return whether a worker exists in the pool and is open."""
        return worker in self.masks and worker not in self._closed

    def allocate(self, worker: TargetId, mask: int, cores: int = 0, memory_gb: int = 0) -> None:
        """Allocate accelerators, cores and memory of a worker."""
        self._set_mask(worker, self.masks[worker] & ~mask)
        self.cores[worker] -= cores
        self.memory_gb[worker] -= memory_gb

    def release(self, worker: TargetId, mask: int, cores: int = 0, memory_gb: int = 0) -> None:
        """Release accelerators, cores and memory of a worker.

        Accelerators that the worker does not have any more are not added.
        """
        self._set_mask(worker, self.masks[worker] | (mask & self.capacity_masks[worker]))
        self.cores[worker] += cores
        self.memory_gb[worker] += memory_gb

    def member_limit(self, worker: TargetId, shape: GangShape) -> int:
        """Return how many members of a gang a worker may get with its free cores and memory."""
        limit = members_that_fit(shape, self.cores[worker], self.memory_gb[worker])
        return self.within_run_room(worker, limit)

    def within_run_room(self, worker: TargetId, members: int) -> int:
        """Return the number of members, or the number of runs that a worker may get if lower."""
        room = None if self.run_room is None else self.run_room(worker)
        return members if room is None else min(members, room)

    def workers_with_mask(self, mask: int) -> Iterable[TargetId]:
        """Return open workers by free mask, from the rack with the fewest whole pieces first."""
        workers = self.workers_by_mask.get(mask, set())
        if len(workers) <= 1:
            return workers
        largest = max(i for i, count in enumerate(piece_counts(mask)) if count or i == 0)
        buckets = self.racks_by_piece_count[largest]
        racks_tried = 0
        for count in sorted(buckets):
            for rack in islice(sorted(buckets[count]), MAX_RACKS_TRIED) if count else ():
                for worker in self.workers_by_rack[rack]:
                    if worker in workers:
                        return [worker, *sorted(workers - {worker})]
                racks_tried += 1
                if racks_tried >= MAX_RACKS_TRIED:
                    return sorted(workers)
        return sorted(workers)

    def _set_mask(self, worker: TargetId, mask: int) -> None:
        old_mask = self.masks[worker]
        if old_mask != mask:
            self.masks[worker] = mask
            if worker not in self._closed:
                self._update_indexes(worker, old_mask, mask)

    def _update_indexes(self, worker: TargetId, old_mask: int, new_mask: int) -> None:
        if old_mask:
            workers = self.workers_by_mask[old_mask]
            workers.discard(worker)
            if not workers:
                del self.workers_by_mask[old_mask]
        if new_mask:
            self.workers_by_mask.setdefault(new_mask, set()).add(worker)
        rack = self.rack_by_worker[worker]
        counts = self.piece_counts_by_rack[rack]
        for i, (before, after) in enumerate(
            zip(piece_counts(old_mask), piece_counts(new_mask), strict=True)
        ):
            if before != after:
                buckets = self.racks_by_piece_count[i]
                buckets[counts[i]].discard(rack)
                if not buckets[counts[i]] and counts[i]:
                    del buckets[counts[i]]
                counts[i] += after - before
                self.piece_totals[i] += after - before
                buckets.setdefault(counts[i], set()).add(rack)
