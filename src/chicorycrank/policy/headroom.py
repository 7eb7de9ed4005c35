"""Empty workers kept for the next urgent job while other work can still wait."""

from chicorycrank.model.ids import TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.cell import Cell
from chicorycrank.policy.pool import Spots


def used_share(cell: Cell) -> float:
    """Return the share of accelerators, cores or memory in use, whichever is largest."""
    used = [sum(parts) for parts in zip(*cell.usage_by_team.values(), strict=True)]
    shares = (part / whole for part, whole in zip(used, cell.totals, strict=False) if whole > 0)
    return max(shares, default=0.0)


def workers_needed(cell: Cell, shape: GangShape) -> int:
    """Return how many empty workers of the largest size a gang needs."""
    rooms = []
    for name, (mask, cores, memory_gb) in cell.homes.full_by_worker.items():
        if name not in cell.workers_by_id:
            continue
        room = mask.bit_count() // max(1, shape.accelerators)
        if shape.cores:
            room = min(room, cores // shape.cores)
        if shape.memory_gb:
            room = min(room, memory_gb // shape.memory_gb)
        rooms.append(room)
    largest = max(rooms, default=0)
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
