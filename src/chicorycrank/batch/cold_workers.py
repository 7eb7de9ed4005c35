"""Limits of the runs on workers that are cold, or whose zone has just been taken back.

Load that it answers: a zone is taken back while jobs wait. Its workers are empty and their
executors may be cold, so all that waits would start there at once, on slow workers.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from chicorycrank.batch.planner_state import PlannerState
from chicorycrank.model.ids import TargetId, ZoneId
from chicorycrank.policy.run_limits import count_runs

# A worker of a zone that was taken back gets one run, and one more in each of these intervals.
REOPENING_STEP_S = 1.0
# After this time, a worker of such a zone is limited only while its executor is cold.
REOPENING_S = 10.0


@dataclass(frozen=True, kw_only=True)
class ColdBounds:
    """Limits of the runs on a cold worker, of which the larger one counts.

    :param overage: limit as a multiple of the mean number of runs on the warm workers
    :param slack: limit as a number of runs
    """

    overage: float
    slack: float


def run_limits(
    planner: PlannerState, bounds: ColdBounds, reopened_at_by_zone: Mapping[ZoneId, float]
) -> dict[TargetId, int]:
    """Return the largest number of runs by worker, for the workers that have a limit.

    :param reopened_at_by_zone: monotonic time in seconds at which a zone was taken back
    """
    workers = planner.workers.by_id
    cold = {worker for worker, state in workers.items() if state.report.is_cold}
    reopening_s_by_worker = {
        worker: planner.now_s - reopened_at
        for worker, state in workers.items()
        if (reopened_at := reopened_at_by_zone.get(ZoneId(state.report.zone))) is not None
        and planner.now_s - reopened_at < REOPENING_S
    }
    if not cold and not reopening_s_by_worker:
        return {}
    limit = int(max(bounds.slack, bounds.overage * _mean_runs(planner, cold)))
    limits = dict.fromkeys(cold, limit)
    for worker, reopened_s in reopening_s_by_worker.items():
        limits[worker] = min(limit, 1 + int(reopened_s / REOPENING_STEP_S))
    return limits


def _mean_runs(planner: PlannerState, cold: set[TargetId]) -> float:
    """Return the mean number of runs on the warm workers whose agents are present."""
    warm = [
        worker
        for worker in planner.cell.workers_by_id
        if worker not in cold and planner.workers.by_id[worker].presence_expired_at is None
    ]
    if not warm:
        return 0.0
    return sum(count_runs(planner.cell, worker) for worker in warm) / len(warm)
