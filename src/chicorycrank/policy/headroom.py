"""Headroom: empty workers kept for future urgent jobs while other work can still wait."""

from chicorycrank.model.ids import TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.pool import WorkerMasks, members_that_fit
from chicorycrank.policy.preferred_placement import find_preferred_placement
from chicorycrank.policy.withheld_capacity import WithheldCapacity


class Headroom:
    """Empty workers that one decision pass withholds from jobs that can wait."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._withheld = WithheldCapacity(cell.free)
        self._worker_masks: WorkerMasks = ()

    def withhold(self) -> None:
        """Withhold the empty workers, as far as no job was started on them."""
        if self._cell.headroom and not self._withheld:
            self._worker_masks = self._worker_masks or empty_workers(
                self._cell, self._cell.headroom
            )
            self._withheld.add(self._worker_masks, None)

    def release(self) -> None:
        """Release the withheld workers."""
        self._withheld.release()

    def find_placement(self, job: QueuedJob) -> WorkerMasks | None:
        """Find a placement for a job; a job that cannot wait may also use the headroom.

        If headroom was used, the caller calls ``withhold`` again after the start of the job.
        """
        if not self._withheld or job.can_wait:
            return find_preferred_placement(self._cell.free, job)
        self.release()
        worker_masks = find_preferred_placement(self._cell.free, job)
        if worker_masks is None:
            self.withhold()
        return worker_masks


def used_share(cell: Cell) -> float:
    """Return the largest of the shares of accelerators, cores and memory that are in use."""
    used = [sum(parts) for parts in zip(*cell.usage_by_team.values(), strict=True)]
    shares = (part / whole for part, whole in zip(used, cell.totals, strict=False) if whole > 0)
    return max(shares, default=0.0)


def members_by_worker(cell: Cell, shape: GangShape) -> dict[TargetId, int]:
    """Return how many members of a gang fit on each worker when it is empty."""
    member_limit_by_worker = {}
    for name in cell.workers_by_id:
        mask, cores, memory_gb = cell.guarantee_placements.capacity_by_worker[name]
        limit = mask.bit_count() // max(1, shape.accelerators)
        member_limit_by_worker[name] = min(limit, members_that_fit(shape, cores, memory_gb))
    return member_limit_by_worker


def workers_needed(cell: Cell, shape: GangShape) -> int:
    """Return how many empty workers a gang needs if all are as large as the largest one."""
    max_members = max(members_by_worker(cell, shape).values(), default=0)
    return -(-shape.members // max_members) if max_members else 0


def empty_workers(cell: Cell, count: int) -> WorkerMasks:
    """Return up to ``count`` empty open workers, from the racks with most empty workers first.

    Urgent gangs that must fit in one rack need the empty workers in the same rack. Slow workers
    come last.
    """
    empty_by_rack: dict[str, list[TargetId]] = {}
    for worker, (mask, _, _) in cell.guarantee_placements.capacity_by_worker.items():
        if cell.free.is_open(worker) and mask and cell.free.masks[worker] == mask:
            empty_by_rack.setdefault(cell.free.rack_by_worker[worker], []).append(worker)
    fast_count_by_rack = {
        rack: sum(worker not in cell.slow_workers for worker in workers)
        for rack, workers in empty_by_rack.items()
    }
    racks = sorted(empty_by_rack, key=lambda rack: (-fast_count_by_rack[rack], rack))
    workers = [worker for rack in racks for worker in sorted(empty_by_rack[rack])]
    workers.sort(key=lambda worker: worker in cell.slow_workers)
    return tuple((worker, cell.free.masks[worker]) for worker in workers[:count])
