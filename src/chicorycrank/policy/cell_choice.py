"""Selection of the cell for a job that names no region."""

from collections.abc import Collection, Iterable, Mapping

from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import CellId, GuaranteeId
from chicorycrank.model.jobs import Adjacency, GangShape, JobSpec
from chicorycrank.model.messages import CellLoad


def choose_cell(
    spec: JobSpec, loads: Iterable[CellLoad], guarantees: Mapping[GuaranteeId, Guarantee]
) -> CellId | None:
    """Return the best cell for a job, or None if there are no cells.

    Cells with a free guarantee of the team that fits the job come first, then cells with enough
    free accelerators. Cells with enough are ordered by free accelerators, the others by the length
    of their queue.
    """
    needed_accelerators = spec.shape.members * spec.shape.accelerators

    def sort_key(load: CellLoad) -> tuple[bool, bool, int, int, CellId]:
        is_outside = not _has_free_guarantee(spec, load.free_guarantees, guarantees)
        free, queued = -load.free_accelerators, load.queued_jobs
        if load.free_accelerators >= needed_accelerators:
            return is_outside, False, free, queued, load.cell
        return is_outside, True, queued, free, load.cell

    best = min(loads, key=sort_key, default=None)
    return best.cell if best is not None else None


def _has_free_guarantee(
    spec: JobSpec,
    free: Collection[GuaranteeId],
    guarantees: Mapping[GuaranteeId, Guarantee],
) -> bool:
    return any(
        guarantees[key].team == spec.team and _fits_inside(guarantees[key].shape, spec.shape)
        for key in free
        if key in guarantees
    )


def _fits_inside(guaranteed: GangShape, shape: GangShape) -> bool:
    """Return whether all members of a gang fit in a guaranteed shape."""
    if guaranteed.adjacency is Adjacency.ANY and shape.adjacency is not Adjacency.ANY:
        return False
    return (
        guaranteed.members * (guaranteed.accelerators // max(1, shape.accelerators))
        >= shape.members
        and guaranteed.cores >= shape.cores
        and guaranteed.memory_gb >= shape.memory_gb
    )
