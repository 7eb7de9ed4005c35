"""Load of a cell, which its leader sends to the other entries."""

from chicorycrank.model.ids import CellId, EntryId, Epoch, GuaranteeId
from chicorycrank.model.messages import CellLoad
from chicorycrank.policy.cell import Cell
from chicorycrank.policy.packing import PIECE_SIZES, full_mask


def make_cell_load(
    cell_id: CellId, epoch: Epoch, leader: EntryId, cell: Cell, queued: int
) -> CellLoad:
    """Return the load of a cell for digests.

    :param queued: number of queued jobs
    """
    idle_workers_by_rack: dict[str, int] = {}
    for name, worker in cell.workers_by_id.items():
        if cell.free.is_open(name) and cell.free.masks[name] == full_mask(worker.accelerators):
            idle_workers_by_rack[worker.rack] = idle_workers_by_rack.get(worker.rack, 0) + 1
    free_guarantees: set[GuaranteeId] = {
        key[0]
        for key, instance in cell.guarantee_placements.instance_by_key.items()
        if instance.worker_masks is not None and not instance.jobs
    }
    return CellLoad(
        cell_id,
        epoch,
        leader,
        cell.free.piece_totals[PIECE_SIZES.index(1)],
        max(idle_workers_by_rack.values(), default=0),
        queued,
        tuple(sorted(free_guarantees)),
    )
