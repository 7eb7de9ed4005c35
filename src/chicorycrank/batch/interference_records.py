"""Observation of workloads beside each other, from the rates that agents report."""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Mapping
from functools import lru_cache
from typing import TYPE_CHECKING

from chicorycrank.batch.metrics import INTERFERENCE_PAIRS, INTERFERENCE_SLOW_DOWN
from chicorycrank.batch.units import Member, UnitRef
from chicorycrank.model.batch import Submission, UnitState, WorkerReport
from chicorycrank.model.ids import TargetId, Workload
from chicorycrank.policy.interference import FoundPair, neighbour_amount
from chicorycrank.policy.slow_down_estimates import RunObservation

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

# Names of workloads are in the stored record, in logs and in labels of metrics.
MAX_WORKLOAD_LENGTH = 40
DIGEST_BYTES = 4
OTHER_CHARACTERS = re.compile(r"[^A-Za-z0-9_.:/@+-]")
# A rate is that of the last 2 to 4 s, so a neighbour that came later counts for a part.
RATE_WINDOW_S = 3.0
# Bounds the labels of the metric.
MAX_PAIRS_IN_METRICS = 32


def workload_of(job: Submission, step: int) -> Workload:
    """Return what tells the tasks of a step from others: its image, or else its queue and index."""
    return _bounded(job.steps[step].image or f"queue:{job.queue.queue_id}/{step}")


def relative_rate(
    state: PlannerState,
    worker: TargetId,
    member: Member,
    report: WorkerReport,
    rate: float,
    group: tuple[str, float],
) -> float:
    """Observe the rate of a run beside its neighbours, and return it without their effect.

    The returned rate is that from which the speed of the worker is learned. The speed is the one
    known before this rate, so that it does not contain what is observed.

    :param group: runs with which it is compared, and the variance of their value
    """
    if not state.avoids_interference or rate <= 0:
        return rate
    ref = member.ref
    workload = workload_of(state.jobs_by_id[ref.job_id], ref.step)
    amounts = _neighbour_amounts(state, worker, ref, report)
    slow_down = math.exp(state.interference.log_slow_down(workload, amounts))
    # The rate of a filling task follows its pace.
    if state.performance.is_known(worker) and not state.step_of(ref).fills:
        state.interference.observe(
            workload,
            RunObservation(
                worker=worker,
                run=f"{ref.key}.{member.place_index}/{state.run_number(member)}",
                group=group[0],
                group_variance=group[1],
                log_rate=math.log(rate / state.performance.speed_of(worker)),
                amounts=amounts,
                at_s=state.now_s,
            ),
        )
    return rate * slow_down


def update_interference(state: PlannerState) -> None:
    """Update the pairs, and pass those to keep apart on to the cell."""
    if not state.avoids_interference:
        return
    state.interference.update(state.now_s)
    if state.cell.disturbing_workloads is not state.interference.disturbing:
        state.cell.disturbing_workloads = state.interference.disturbing
        show_metrics(state.interference.found)


def show_metrics(found: tuple[FoundPair, ...]) -> None:
    """Set the metrics to the found pairs, of which those with the most evidence have labels."""
    INTERFERENCE_PAIRS.set(len(found))
    INTERFERENCE_SLOW_DOWN.clear()
    for pair in found[:MAX_PAIRS_IN_METRICS]:
        INTERFERENCE_SLOW_DOWN.labels(pair.workload, pair.neighbour).set(pair.slow_down)


@lru_cache(maxsize=1024)
def _bounded(name: str) -> Workload:
    """Return a name of bounded length without characters that end a field of a log line."""
    plain = OTHER_CHARACTERS.sub("_", name)
    if plain == name and len(name) <= MAX_WORKLOAD_LENGTH:
        return Workload(name)
    digest = hashlib.blake2s(
        name.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES
    ).hexdigest()
    return Workload(f"{plain[: MAX_WORKLOAD_LENGTH - len(digest) - 1]}#{digest}")


def _neighbour_amounts(
    state: PlannerState, worker: TargetId, ref: UnitRef, report: WorkerReport
) -> Mapping[Workload, float]:
    """Return the amounts of the workloads beside a unit on a worker, without the unit itself."""
    shares: dict[Workload, float] = {}
    for member in state.members_by_worker.get(worker, {}).values():
        unit = state.unit_of(member.ref)
        if member.ref == ref or unit.state is not UnitState.ASSIGNED:
            continue
        step = state.step_of(member.ref)
        share = max(
            step.accelerators / report.accelerators if report.accelerators else 0.0,
            step.cores / report.cores if report.cores else 0.0,
        )
        age_s = max(0, state.now_ms - unit.started_at_ms) / 1000
        workload = workload_of(state.jobs_by_id[member.ref.job_id], member.ref.step)
        shares[workload] = shares.get(workload, 0.0) + share * min(1.0, age_s / RATE_WINDOW_S)
    return {workload: neighbour_amount(share) for workload, share in shares.items() if share > 0}
