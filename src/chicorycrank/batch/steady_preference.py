"""Preference of units for workers whose executors stay up.

Load that it answers: executors that leave or flap. A gang loses all its unsaved work when the
worker of one member goes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from chicorycrank.batch.interruptions import loses_little
from chicorycrank.batch.units import UnitRef
from chicorycrank.model.ids import TargetId
from chicorycrank.policy.placement import PlacementRule
from chicorycrank.policy.worker_preference import JobKind

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

WorkerSets = tuple[frozenset[TargetId], ...]


def steady_first(
    preferred: WorkerSets,
    allowed: frozenset[TargetId],
    unsteady: frozenset[TargetId],
    kind: JobKind,
) -> WorkerSets:
    """Return the sets of workers to try, each after those of its workers that are steady.

    The last set of an urgent job stays the last, as work there is evicted before others are used.

    :param preferred: sets of workers that are alike otherwise; empty if all allowed ones are
    :param unsteady: workers that were interrupted a short time ago
    """
    sets = preferred or (allowed,)
    result: list[frozenset[TargetId]] = []
    for workers in sets:
        steady = workers - unsteady
        if steady & allowed and (workers & unsteady & allowed):
            result.append(steady)
        result.append(workers)
    if not preferred and (kind is not JobKind.URGENT or len(result) == 1):
        result.pop()  # all allowed workers are tried in any case
    return tuple(result)


def without_restricted(
    preferred: WorkerSets, allowed: frozenset[TargetId], restricted: frozenset[TargetId]
) -> WorkerSets:
    """Return the sets of workers to try before restricted ones, which remain allowed."""
    sets = (workers - restricted for workers in preferred or (allowed,))
    return tuple(workers for workers in sets if workers & allowed)


def avoid_unsteady(
    planner: PlannerState,
    ref: UnitRef,
    kind: JobKind,
    choice: tuple[WorkerSets, PlacementRule],
    can_hold: Callable[[Iterable[TargetId]], bool],
) -> tuple[WorkerSets, PlacementRule]:
    """Return the sets of workers that a unit tries first, and the rule without workers that flap.

    A unit that loses much is kept off workers that flap if the others could hold it, were they
    empty. An urgent job within its team's quota only tries the others first, also by evictions.

    :param choice: sets of workers to try first, and rule of the unit, apart from interruptions
    :param can_hold: returns whether the unit would fit on given workers if they were empty
    """
    preferred, rule = choice
    step = planner.step_of(ref)
    unsteady = planner.interruptions.recent(planner.now_s)
    if not unsteady or loses_little(step):
        return choice
    allowed = frozenset(planner.cell.workers_by_id) if rule.workers is None else rule.workers
    restricted = planner.interruptions.restricted(planner.now_s) & allowed
    if restricted and ref.name in planner.cell.jobs_within_quota:
        preferred = without_restricted(preferred, allowed, restricted)
    elif restricted and can_hold(allowed - restricted):
        allowed -= restricted
        rule = rule.restricted_to(allowed)
    if step.gang and step.count > 1:
        preferred = steady_first(preferred, allowed, unsteady, kind)
    return preferred, rule
