"""Chooses the cell of a job that names no region."""

from collections.abc import Collection, Iterable, Mapping

from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import CellId, GuaranteeId
from chicorycrank.model.jobs import Adjacency, GangShape, JobSpec
from chicorycrank.model.messages import CellLoad


def choose_cell(
    spec: JobSpec, loads: Iterable[CellLoad], guarantees: Mapping[GuaranteeId, Guarantee]
) -> CellId | None:
    """Return the best cell for a job, or None if no cell is known.

    A free guarantee of the team that holds the job comes first, then room for it now. Among cells
    with room the most free accelerators decide, among full ones the shorter queue.
    """
    wanted = spec.shape.members * spec.shape.accelerators

    def rank(load: CellLoad) -> tuple[bool, bool, int, int, CellId]:
        is_outside = not _has_guarantee(spec, load.free_guarantees, guarantees)
        free, queued = -load.free_accelerators, load.queued_jobs
        if load.free_accelerators >= wanted:
            return is_outside, False, free, queued, load.cell
        return is_outside, True, queued, free, load.cell

    best = min(loads, key=rank, default=None)
    return best.cell if best is not None else None


def _has_guarantee(
    spec: JobSpec,
    free: Collection[GuaranteeId],
    guarantees: Mapping[GuaranteeId, Guarantee],
) -> bool:
    return any(
        guarantees[key].team == spec.team and _holds(guarantees[key].shape, spec.shape)
        for key in free
        if key in guarantees
    )


def _holds(home: GangShape, shape: GangShape) -> bool:
    """Return whether a gang fits in a guaranteed shape with all its members."""
    if home.adjacency is Adjacency.ANY and shape.adjacency is not Adjacency.ANY:
        return False
    return (
        home.members * (home.accelerators // max(1, shape.accelerators)) >= shape.members
        and home.cores >= shape.cores
        and home.memory_gb >= shape.memory_gb
    )
