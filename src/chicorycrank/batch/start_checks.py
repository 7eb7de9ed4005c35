"""Check whether a unit may begin on workers once others have been stopped there for it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

from chicorycrank.batch.units import NO_WORKER, UnitRef, parse_unit_key
from chicorycrank.model.ids import JobId, TargetId

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState


def can_begin(
    planner: PlannerState,
    name: JobId,
    members_by_worker: Mapping[TargetId, int],
    victims: Collection[JobId],
) -> bool:
    """Return whether orders, quarantine and crash tests allow a unit to start.

    Otherwise work would be stopped for a unit that then cannot use the capacity.

    :param name: name of the unit among all units
    :param victims: units that have ended before the start
    """
    ref = _parse_name(name)
    workers = members_by_worker.keys()
    if planner.crashes.is_held(planner, ref) or workers & planner.crashes.testing_workers(planner):
        return False
    if any(map(planner.workers.quarantine.rejects_jobs, workers)):
        return False
    freed_bytes: Counter[TargetId] = Counter()
    for victim in map(_parse_name, victims):
        for place in planner.unit_of(victim).places:
            if place != NO_WORKER:
                freed_bytes[place.worker] += planner.units_by_id[victim.job_id].assignment_bytes
    size = planner.units_by_id[ref.job_id].assignment_bytes
    return all(
        planner.order_sizes.fits(worker, count * size - freed_bytes[worker])
        for worker, count in members_by_worker.items()
    )


def _parse_name(name: JobId) -> UnitRef:
    job_id, _, key = name.partition(".")
    return parse_unit_key(JobId(job_id), key)
