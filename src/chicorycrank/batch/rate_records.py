"""Recording of the rates that agents report, in the groups in which they can be compared."""

from chicorycrank.batch.interference_records import relative_rate, update_interference
from chicorycrank.batch.planner_state import PlannerState
from chicorycrank.batch.speed_estimates import SPREAD_GANG_VARIANCE, STEP_VARIANCE
from chicorycrank.batch.units import Member
from chicorycrank.model.batch import Step, Unit, WorkerReport
from chicorycrank.model.ids import RackId, TargetId, TaskId

# An unchanged rate is not reported again, so the rates of long runs are recorded at this interval.
REPEAT_INTERVAL_S = 20.0


def record_rates(state: PlannerState, worker: TargetId, report: WorkerReport) -> None:
    """Record the rates that a report adds; it is not applied yet, so its runs are still known."""
    known = state.workers.by_id.get(worker)
    former = known.report if known is not None else WorkerReport()
    is_restarted = former.incarnation not in ("", report.incarnation)
    if is_restarted and report.incarnation:
        state.performance.discount(worker)
    for task, rate in report.work_rates.items():
        if is_restarted or former.work_rates.get(task) != rate:
            _record_rate(state, worker, report, task)


def update_speeds(state: PlannerState) -> None:
    """Update the speeds of the workers, at most once a second, and the disturbing workloads."""
    update_interference(state)
    if not state.performance.is_update_due(state.now_s):
        return
    for worker, known in state.workers.by_id.items():
        is_due = state.now_s - state.performance.observed_at_s(worker) >= REPEAT_INTERVAL_S
        for task in known.report.work_rates if is_due else ():
            _record_rate(state, worker, known.report, task)
    state.performance.update(state.now_s)


def _record_rate(state: PlannerState, worker: TargetId, report: WorkerReport, task: TaskId) -> None:
    """Record the rate of a run that the leader has assigned to this incarnation."""
    number, percent = report.work_rates[task]
    member = state.members_by_worker.get(worker, {}).get(task)
    if member is None:
        return
    unit, step = state.unit_of(member.ref), state.step_of(member.ref)
    place = unit.places[member.place_index]
    if unit.run != number or place.incarnation != report.incarnation:
        return
    group, variance = _group(state, member, unit, step, report.rack)
    rate = relative_rate(state, worker, member, report, percent / 100, (group, variance))
    state.performance.record(group, worker, rate, state.now_s, group_variance=variance)


def _group(
    state: PlannerState, member: Member, unit: Unit, step: Step, rack: RackId
) -> tuple[str, float]:
    """Return the name of the runs with which one is compared, and the variance of their value.

    The tasks of a step have the same declared time. Each run of a gang may be slowed as a whole,
    and so are tasks outside the rack of their data.
    """
    ref = member.ref
    if step.gang:
        workers = {place.worker for place in unit.places if place.worker}
        by_id = state.workers.by_id
        racks = {by_id[worker].report.rack for worker in workers & by_id.keys()}
        is_spread = step.same_rack and len(racks) > 1
        variance = SPREAD_GANG_VARIANCE if is_spread else STEP_VARIANCE
        return f"{ref.name}/{unit.run}", variance
    name = f"{ref.job_id}.{ref.step}"
    if step.data_rack and step.data_rack != rack:
        return f"{name}/far", STEP_VARIANCE
    return name, STEP_VARIANCE
