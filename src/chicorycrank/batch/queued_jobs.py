"""Queued jobs of the scheduling policy for units, with shapes and placement rules."""

from __future__ import annotations

from collections import Counter
from collections.abc import Container, Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import TYPE_CHECKING

from chicorycrank.batch.interference_records import workload_of
from chicorycrank.batch.orders import MAX_ORDER_BYTES
from chicorycrank.batch.speed_preference import choose_workers, update_speeds
from chicorycrank.batch.steady_preference import avoid_unsteady
from chicorycrank.batch.units import NO_WORKER, UnitRef, unit_count
from chicorycrank.batch.workers import ClosedCause
from chicorycrank.model.batch import Queue, Step, Submission, WorkerReport
from chicorycrank.model.ids import JobId, RackId, TargetId, TeamId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.cell import QueuedJob
from chicorycrank.policy.decide import MAX_DECISIONS
from chicorycrank.policy.headroom import members_by_worker, used_share, workers_needed
from chicorycrank.policy.placement import PlacementRule
from chicorycrank.policy.pool import members_that_fit
from chicorycrank.policy.worker_preference import JobKind

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

URGENT_PRIORITY = 0
BATCH_PRIORITY = 2  # queues of this or a larger number have the least value per unit of work
# Assumed run time of long-running tasks, which is longer than that of any other task.
LONG_RUNNING_RUN_TIME_S = 3600.0
# Time that a unit waits for the rack of its data, as a share of its declared run time.
DATA_RACK_WAIT_SHARE = 0.5
# A wait of this length halves the remaining work that determines the precedence of a job.
WAIT_HALVING_S = 10.0
# Limit of the work, in accelerator seconds, that evictions for an urgent unit outside its team's
# quota may discard. Like the value of a job, it has a fixed part and one that grows with its work.
MAX_LOST_BASE_S = 25.0
MAX_LOST_SHARE = 0.6
# A job that is already late comes after jobs that can still end in time.
LATE_PRECEDENCE_FACTOR = 4.0
# A job that is not urgent leaves the headroom empty for this share of its slack.
WAITABLE_SLACK_SHARE = 0.6
# The headroom fits the largest urgent job that was submitted within this time.
HEADROOM_WINDOW_S = 60.0
MAX_HEADROOM_SHARE = 0.3
# With a smaller share of the fleet in use, urgent jobs find free workers without headroom.
HEADROOM_MIN_USED_SHARE = 0.5
# Workers that are closed for these causes may not come back, or only when an operator says so.
GONE_CAUSES = (
    ClosedCause.ABSENT,
    ClosedCause.NOT_READY,
    ClosedCause.UNREACHABLE,
    ClosedCause.EVACUATED,
)

# Job, occurrence if it matters, step, and workers on which the unit has failed or seen crashes.
UnitClass = tuple[JobId, int | None, int, tuple[TargetId, ...]]


@dataclass(frozen=True, slots=True)
class UnitsOfJobs(Container[JobId]):
    """All units of some jobs, by their names among all units."""

    job_ids: frozenset[JobId]

    def __contains__(self, name: object) -> bool:
        """Return whether a unit is one of these jobs."""
        return isinstance(name, str) and name.partition(".")[0] in self.job_ids


class QueuedJobBuilder:
    """Builder of queued jobs for units, with shapes and placement rules.

    :param checkpoint_s: time between checkpoints in seconds
    :param max_headroom_share: share of the workers that may be kept empty for urgent jobs
    """

    def __init__(self, checkpoint_s: float, max_headroom_share: float = MAX_HEADROOM_SHARE) -> None:
        self._checkpoint_s = checkpoint_s
        self._max_headroom_share = max_headroom_share
        self._workers_by_label: dict[tuple[str, str], frozenset[TargetId]] = {}
        self._workers_needed_by_job: dict[JobId, int] = {}
        # Number of done units and the remaining work then.
        self._remaining_by_job: dict[JobId, tuple[int, float]] = {}

    def clear_worker_caches(self) -> None:
        """Discard the values that depend on workers, after one was added or changed."""
        self._workers_by_label.clear()
        self._workers_needed_by_job.clear()

    def make_queued_job(self, planner: PlannerState, ref: UnitRef) -> QueuedJob:
        """Return a unit as a queued job of the scheduling policy."""
        job = planner.jobs_by_id[ref.job_id]
        queue = planner.queue_of(job)
        step = job.steps[ref.step]
        waited_s = max(0.0, (planner.now_ms - job.submitted_at_ms) / 1000)
        shape = self._gang_shape(planner, step)
        run_time_s = LONG_RUNNING_RUN_TIME_S if step.long_running else step.run_time_s
        kind, can_hold = _job_kind(queue, step), partial(self.can_hold, planner, ref)
        rule = self._placement_rule(planner, ref, step, queue, waited_s)
        choice = choose_workers(planner, ref, kind, rule, can_hold)
        preferred, rule = avoid_unsteady(planner, ref, kind, choice, can_hold)
        slack_s = (queue.slack - 1.0) * run_time_s + queue.target_latency_s
        is_in_time = waited_s <= slack_s
        return QueuedJob(
            job_id=ref.name,
            team=job.team,
            shape=shape,
            run_time_s=run_time_s,
            submitted_s=planner.now_s - waited_s,
            urgent=queue.priority == URGENT_PRIORITY,
            checkpointable=step.checkpointing,
            priority=queue.priority,
            rule=rule,
            eviction_loss_s=self._checkpoint_s,
            precedence=self._precedence(planner, job, waited_s)
            * (1.0 if is_in_time else LATE_PRECEDENCE_FACTOR),
            max_lost_s=MAX_LOST_BASE_S
            + MAX_LOST_SHARE * run_time_s * planner.cell.accelerator_equivalents(shape)
            if is_in_time
            else 0.0,
            pinned=step.long_running and step.max_unavailable > 0,
            can_wait=not step.long_running and waited_s < WAITABLE_SLACK_SHARE * slack_s,
            preferred=preferred,
            workload=workload_of(job, ref.step),
            packs=kind is JobKind.BATCH and step.accelerators == 1 and not step.long_running,
        )

    def units_within_quota(self, planner: PlannerState) -> UnitsOfJobs:
        """Return the units of urgent jobs within the quota of their team."""
        jobs_by_team: dict[TeamId, list[tuple[int, JobId, int]]] = {}
        for job_id in planner.active_jobs:
            job = planner.jobs_by_id[job_id]
            if planner.queue_of(job).priority == URGENT_PRIORITY:
                accelerators = max(step.count * step.accelerators for step in job.steps)
                jobs_by_team.setdefault(job.team, []).append(
                    (job.submitted_at_ms, job_id, accelerators)
                )
        job_ids: set[JobId] = set()
        for team, jobs in jobs_by_team.items():
            remaining = planner.quota_by_team.get(team, 0)
            for _, job_id, accelerators in sorted(jobs):
                if accelerators <= remaining:
                    remaining -= accelerators
                    job_ids.add(job_id)
        return UnitsOfJobs(frozenset(job_ids))

    def headroom_workers(self, planner: PlannerState) -> int:
        """Return how many workers to keep empty for the next urgent job."""
        cell = planner.cell
        evacuated = [*filter(planner.workers.is_evacuated, cell.workers_by_id)]
        if not self._max_headroom_share or used_share(cell, evacuated) < HEADROOM_MIN_USED_SHARE:
            return 0
        since_ms = planner.now_ms - HEADROOM_WINDOW_S * 1000
        needed = 0
        for job in planner.jobs_by_id.values():
            if job.submitted_at_ms >= since_ms and job.queue.priority == URGENT_PRIORITY:
                needed = max(needed, self._workers_needed(planner, job))
        return min(
            needed, int(self._max_headroom_share * (len(cell.workers_by_id) - len(evacuated)))
        )

    def _workers_needed(self, planner: PlannerState, job: Submission) -> int:
        if job.job_id not in self._workers_needed_by_job:
            shapes = [self._gang_shape(planner, step) for step in job.steps]
            self._workers_needed_by_job[job.job_id] = max(
                workers_needed(planner.cell, shape) for shape in shapes
            )
        return self._workers_needed_by_job[job.job_id]

    def discard_job(self, job_id: JobId) -> None:
        """Discard the cached values of a job."""
        self._workers_needed_by_job.pop(job_id, None)
        self._remaining_by_job.pop(job_id, None)

    def make_queue(
        self, planner: PlannerState, refs: Iterable[UnitRef]
    ) -> dict[UnitRef, QueuedJob]:
        """Return the waiting units that a decision pass may start, as queued jobs.

        Units of a step, of any occurrence, that have failed and seen crashes on the same workers
        are equal for the policy but for their name. A pass starts at most ``MAX_DECISIONS`` jobs,
        so further equal units are left out; the time of a pass then does not grow with the width of
        the waiting steps.

        Of a step that limits its tasks per worker, one unit is kept: the limit of the others
        depends on where it is placed.
        """
        cell = planner.cell
        update_speeds(planner)
        held_names = {*cell.reservations_by_id, *cell.waiting_for_evictions}
        held_jobs = {name.partition(".")[0] for name in held_names}
        first_by_class: dict[UnitClass, QueuedJob] = {}
        counts: Counter[UnitClass] = Counter()
        queue: dict[UnitRef, QueuedJob] = {}
        for ref in refs:
            step = planner.step_of(ref)
            is_spread = step.max_per_worker > 0 and not step.gang
            unit = planner.progress_by_id[ref.job_id].units.get(ref.key)
            avoided: tuple[TargetId, ...] = ()
            if unit is not None and not is_spread:
                avoided = (*unit.failed_on, *(crash.worker for crash in unit.crashes))
            # Limits on a worker and tickets are those of one occurrence of the step.
            has_own_rule = is_spread or planner.queue_of(planner.jobs_by_id[ref.job_id]).advice
            key = (ref.job_id, ref.occurrence if has_own_rule else None, ref.step, avoided)
            counts[key] += 1
            if counts[key] > (1 if is_spread else MAX_DECISIONS):
                is_held = ref.job_id in held_jobs and ref.name in held_names
                if is_spread or not is_held:
                    continue
            if key not in first_by_class:
                first_by_class[key] = self.make_queued_job(planner, ref)
            queue[ref] = replace(first_by_class[key], job_id=ref.name)
        return queue

    def _precedence(self, planner: PlannerState, job: Submission, waited_s: float) -> float:
        """Return the remaining work of a job, discounted by its wait.

        Short jobs come first, as callers gain nothing from a job before its last task ends. The
        discount moves long jobs forward while they wait.
        """
        return self._remaining_s(planner, job) / (1.0 + waited_s / WAIT_HALVING_S)

    def _remaining_s(self, planner: PlannerState, job: Submission) -> float:
        """Return the remaining work of a job in accelerator seconds."""
        job_units = planner.units_by_id[job.job_id]
        known_done, remaining_s = self._remaining_by_job.get(job.job_id, (-1, 0.0))
        if known_done == job_units.total_done:
            return remaining_s
        remaining_s = 0.0
        for number, step in enumerate(job.steps):
            units = unit_count(step)
            remaining = units - min(units, job_units.done_count(number))
            weight = planner.cell.accelerator_equivalents(self._gang_shape(planner, step))
            remaining_s += remaining * step.run_time_s * weight
        self._remaining_by_job[job.job_id] = job_units.total_done, remaining_s
        return remaining_s

    @staticmethod
    def _gang_shape(planner: PlannerState, step: Step) -> GangShape:
        shape = GangShape(
            members=step.count if step.gang else 1,
            accelerators=step.accelerators,
            adjacency=Adjacency.ANY,
            cores=0 if step.fills else step.cores,
            memory_gb=step.memory_mb,  # the cell of the batch jobs counts memory in MB
        )
        if shape.members > 1 and step.same_rack and _fits_one_rack(planner, shape):
            return GangShape(
                members=shape.members,
                accelerators=shape.accelerators,
                adjacency=Adjacency.RACK,
                cores=shape.cores,
                memory_gb=shape.memory_gb,
            )
        return shape

    def _placement_rule(
        self, planner: PlannerState, ref: UnitRef, step: Step, queue: Queue, waited_s: float
    ) -> PlacementRule:
        workers = self._suitable_workers(planner, queue.service, step.label)
        unit = planner.progress_by_id[ref.job_id].units.get(ref.key)
        if queue.advice is not None:
            has_valid_tickets = ref.step_key in planner.steps_with_valid_tickets
            workers &= frozenset(planner.tickets_by_step[ref.step_key] if has_valid_tickets else ())
        if unit is not None and unit.failed_on:
            without_failures = workers - set(unit.failed_on)
            if self.can_hold(planner, ref, without_failures):
                workers = without_failures
        workers = planner.crashes.select_workers(planner, ref, unit, workers)
        if step.max_per_worker and not step.gang:
            counts = Counter(
                place.worker
                for _, other in planner.placed_units_of_step(ref)
                for place in other.places
                if place != NO_WORKER
            )
            workers -= {
                worker_id for worker_id, count in counts.items() if count >= step.max_per_worker
            }
        workers -= planner.workers_without_room(ref.job_id)
        if step.data_rack and waited_s < DATA_RACK_WAIT_SHARE * step.run_time_s:
            in_data_rack = {
                worker_id
                for worker_id in workers
                if planner.workers.by_id[worker_id].report.rack == step.data_rack
                and not planner.workers.is_evacuated(worker_id)
            }
            workers = frozenset(in_data_rack) or workers
        return PlacementRule(
            workers=None if len(workers) == len(planner.cell.workers_by_id) else workers,
            max_members=_max_gang_members(step, planner.units_by_id[ref.job_id].assignment_bytes),
        )

    def can_hold(self, planner: PlannerState, ref: UnitRef, workers: Iterable[TargetId]) -> bool:
        """Return whether a unit would fit on those of the workers that are there, were they empty.

        A gang that is placed in one rack has to fit in one of theirs.
        """
        step = planner.step_of(ref)
        shape = self._gang_shape(planner, step)
        size = planner.units_by_id[ref.job_id].assignment_bytes
        most = _max_gang_members(step, size) or shape.members
        members_by_rack: Counter[RackId] = Counter()
        for worker_id in workers:
            if planner.workers.closed_cause(worker_id) in GONE_CAUSES:
                continue
            worker = planner.cell.workers_by_id[worker_id]
            members = min(most, members_that_fit(shape, worker.cores, worker.memory_gb))
            if shape.accelerators:
                members = min(members, worker.accelerators // shape.accelerators)
            members_by_rack[worker.rack] += members
        if shape.adjacency is Adjacency.RACK:
            return max(members_by_rack.values(), default=0) >= shape.members
        return members_by_rack.total() >= shape.members

    def _suitable_workers(
        self, planner: PlannerState, service: str, label: str
    ) -> frozenset[TargetId]:
        key = (service, label)
        if key not in self._workers_by_label:
            self._workers_by_label[key] = frozenset(
                worker_id
                for worker_id in planner.cell.workers_by_id
                if _is_suitable(planner.workers.by_id[worker_id].report, service, label)
            )
        return self._workers_by_label[key]


def _job_kind(queue: Queue, step: Step) -> JobKind:
    if queue.priority == URGENT_PRIORITY:
        return JobKind.URGENT
    return JobKind.BATCH if queue.priority >= BATCH_PRIORITY and not step.gang else JobKind.GANG


def _is_suitable(report: WorkerReport, service: str, label: str) -> bool:
    return report.service == service and (not label or label in report.labels)


def _max_gang_members(step: Step, size: int) -> int:
    """Return how many members of a gang a worker's order has room for; 0 for no limit.

    :param size: size of an assignment in bytes
    """
    if not step.gang:
        return 0
    most = MAX_ORDER_BYTES // size
    if step.max_per_worker:
        return min(step.max_per_worker, most)
    return most if step.count > most else 0


def _fits_one_rack(planner: PlannerState, shape: GangShape) -> bool:
    members_by_rack: Counter[RackId] = Counter()
    for worker_id, members in members_by_worker(planner.cell, shape).items():
        if planner.workers.is_evacuated(worker_id):
            continue
        members_by_rack[planner.cell.workers_by_id[worker_id].rack] += members
    return max(members_by_rack.values(), default=0) >= shape.members
