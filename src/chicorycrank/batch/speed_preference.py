"""Preference of units for workers by speed: which workers to try first, or to wait for."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from chicorycrank.batch.units import UnitRef
from chicorycrank.model.ids import TargetId
from chicorycrank.policy.placement import PlacementRule
from chicorycrank.policy.step_chains import longest_chain_s
from chicorycrank.policy.worker_preference import (
    JobKind,
    Timing,
    fast_classes,
    prefer_workers,
    speed_classes,
)

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState


def update_speeds(planner: PlannerState) -> None:
    """Pass the speeds of the workers on to the cell, if they differ."""
    cell, performance = planner.cell, planner.performance
    cell.speed_classes = ()
    if any(map(performance.is_known, cell.workers_by_id)):
        cell.speed_classes = speed_classes(
            {worker: performance.speed_of(worker) for worker in cell.workers_by_id}
        )
    if len(cell.speed_classes) > 1:
        cell.speed_by_worker = {
            worker: item.speed for item in cell.speed_classes for worker in item.workers
        }
        fast = [item.workers for item in fast_classes(cell.speed_classes)]
        cell.slow_workers = frozenset(cell.workers_by_id).difference(*fast)
    else:
        cell.speed_by_worker, cell.slow_workers = {}, frozenset()


def choose_workers(
    planner: PlannerState,
    ref: UnitRef,
    kind: JobKind,
    rule: PlacementRule,
    can_hold: Callable[[Iterable[TargetId]], bool],
) -> tuple[tuple[frozenset[TargetId], ...], PlacementRule]:
    """Return the sets of workers that a unit tries first, and the rule without excluded workers.

    :param rule: rule of the unit apart from speeds
    :param can_hold: returns whether the unit would fit on given workers if they were empty
    """
    step = planner.step_of(ref)
    if len(planner.cell.speed_classes) < 2 or step.long_running:
        return (), rule
    preference = prefer_workers(planner.cell.speed_classes, kind, _timing(planner, ref))
    allowed = frozenset(planner.cell.workers_by_id) if rule.workers is None else rule.workers
    for excluded in preference.excluded:
        if excluded & allowed and can_hold(allowed - excluded):
            return preference.preferred, rule.restricted_to(allowed - excluded)
    return preference.preferred, rule


def _timing(planner: PlannerState, ref: UnitRef) -> Timing:
    job = planner.jobs_by_id[ref.job_id]
    queue = planner.queue_of(job)
    return Timing(
        remaining_s=longest_chain_s(job.steps, ref.step),
        waited_s=max(0.0, (planner.now_ms - job.submitted_at_ms) / 1000),
        objective_s=queue.slack * longest_chain_s(job.steps) + queue.target_latency_s,
    )
