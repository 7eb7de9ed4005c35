"""Limits of the number of runs on some workers of a cell."""

from collections.abc import Mapping

from chicorycrank.model.ids import TargetId
from chicorycrank.policy.cell import Cell


def limit_runs(cell: Cell, limit_by_worker: Mapping[TargetId, int]) -> None:
    """Limit the number of runs on some workers; running ones stay.

    The limits hold for starts and evictions, in place of those that were set before.
    """

    def room(worker: TargetId) -> int | None:
        limit = limit_by_worker.get(worker)
        return None if limit is None else max(0, limit - count_runs(cell, worker))

    cell.free.run_room = cell.reclaimable.run_room = room if limit_by_worker else None


def count_runs(cell: Cell, worker: TargetId) -> int:
    """Return the number of runs on a worker, with each member of a gang."""
    return sum(
        name == worker
        for job_id in cell.masks_by_worker.get(worker, ())
        for name, _ in cell.worker_masks(job_id)
    )
