"""Turns of jobs in a plan, whose number of starts is limited."""

from collections.abc import Collection, Container, Iterable

from chicorycrank.batch.units import UnitRef
from chicorycrank.model.ids import JobId


def postponed_units(
    waiting: Collection[UnitRef],
    steady_jobs: Container[JobId],
    started_jobs: Iterable[JobId],
    held_names: Container[JobId],
) -> dict[UnitRef, None]:
    """Return the units that wait until each other job has had its turn in a plan.

    A job whose runs end as fast as a plan starts new ones would take all starts of each plan and
    never fill the workers, so the others would never have their turn.

    :param steady_jobs: jobs of which a run has ended since the last plan
    :param started_jobs: jobs of which this plan has started a unit
    :param held_names: units with reservations, or for which others are evicted
    """
    postponed: dict[UnitRef, None] = {}
    jobs_in_turn = set(started_jobs)
    for ref in waiting:
        is_next = ref.job_id not in jobs_in_turn
        if is_next or ref.job_id not in steady_jobs or ref.name in held_names:
            jobs_in_turn.add(ref.job_id)
        else:
            postponed[ref] = None
    return postponed if len(postponed) < len(waiting) else {}
