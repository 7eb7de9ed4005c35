"""Empty workers kept for the next urgent job while other work can still wait."""

from chicorycrank.model.ids import TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.holds import Holds
from chicorycrank.policy.placement import find_spots
from chicorycrank.policy.pool import Spots, members_that_fit


class Headroom:
    """The empty workers that one decision pass keeps."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._held = Holds(cell.free)
        self._spots: Spots = ()

    def hold(self) -> None:
        """Keep the empty workers, as far as no job has taken them."""
        if self._cell.headroom and not self._held:
            self._spots = self._spots or empty_workers(self._cell, self._cell.headroom)
            self._held.add(self._spots, None)

    def lift(self) -> None:
        """Give the empty workers back."""
        self._held.lift()

    def find_outside(self, job: QueuedJob) -> Spots | None:
        """Find a place for a job; one that can wait no longer also gets what is kept.

        The caller holds the headroom again after the job has taken the place.
        """
        if not self._held or job.can_wait:
            return find_spots(self._cell.free, job.shape, job.rule)
        self.lift()
        spots = find_spots(self._cell.free, job.shape, job.rule)
        if spots is None:
            self.hold()
        return spots


def used_share(cell: Cell) -> float:
    """Return the share of accelerators, cores or memory in use, whichever is largest."""
    used = [sum(parts) for parts in zip(*cell.usage_by_team.values(), strict=True)]
    shares = (part / whole for part, whole in zip(used, cell.totals, strict=False) if whole > 0)
    return max(shares, default=0.0)


def members_by_worker(cell: Cell, shape: GangShape) -> dict[TargetId, int]:
    """Return how many members of a gang each worker holds when it is empty."""
    rooms = {}
    for name in cell.workers_by_id:
        mask, cores, memory_gb = cell.homes.full_by_worker[name]
        room = mask.bit_count() // max(1, shape.accelerators)
        rooms[name] = min(room, members_that_fit(shape, cores, memory_gb))
    return rooms


def workers_needed(cell: Cell, shape: GangShape) -> int:
    """Return how many empty workers of the largest size a gang needs."""
    largest = max(members_by_worker(cell, shape).values(), default=0)
    return -(-shape.members // largest) if largest else 0


def empty_workers(cell: Cell, count: int) -> Spots:
    """Return up to ``count`` empty open workers, those of the emptiest racks first.

    Urgent gangs that have to stay in a rack need them side by side.
    """
    empty_by_rack: dict[str, list[TargetId]] = {}
    for worker, (mask, _, _) in cell.homes.full_by_worker.items():
        if cell.free.is_open(worker) and mask and cell.free.masks[worker] == mask:
            empty_by_rack.setdefault(cell.free.rack_by_worker[worker], []).append(worker)
    racks = sorted(empty_by_rack, key=lambda rack: (-len(empty_by_rack[rack]), rack))
    workers = [worker for rack in racks for worker in sorted(empty_by_rack[rack])]
    return tuple((worker, cell.free.masks[worker]) for worker in workers[:count])
