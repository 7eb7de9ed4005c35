"""Search for a placement on the workers that a job prefers, before all that it may use."""

from collections.abc import Callable

from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.cell_records import QueuedJob
from chicorycrank.policy.packed_placement import find_packed_placement
from chicorycrank.policy.placement import PlacementRule, find_placement
from chicorycrank.policy.pool import Pool, WorkerMasks

PlacementSearch = Callable[[Pool, GangShape, PlacementRule], WorkerMasks | None]


def placement_search(job: QueuedJob) -> PlacementSearch:
    """Return the search for a job: small tasks of batch jobs are packed."""
    return find_packed_placement if job.packs else find_placement


def find_preferred_placement(pool: Pool, job: QueuedJob) -> WorkerMasks | None:
    """Return the best fit of a job in the first set of workers that has one, or None."""
    search = placement_search(job)
    for workers in job.preferred:
        worker_masks = search(pool, job.shape, job.rule.restricted_to(workers))
        if worker_masks is not None:
            return worker_masks
    return search(pool, job.shape, job.rule)
