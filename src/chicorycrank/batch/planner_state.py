"""State of the leader's planner: jobs, their progress, workers and the runs on them."""

from collections.abc import Collection, Iterable, Iterator, Mapping
from functools import partial
from math import ceil

from chicorycrank.batch.crash_tracker import CrashTracker
from chicorycrank.batch.drains import Drains
from chicorycrank.batch.failing_jobs import FailingJobs
from chicorycrank.batch.interruptions import Interruptions
from chicorycrank.batch.job_units import JobUnits
from chicorycrank.batch.order_sizes import OrderSizes
from chicorycrank.batch.orders import ChangedRecords, make_assignment
from chicorycrank.batch.performance import PerformanceRecords
from chicorycrank.batch.queued_jobs import QueuedJobBuilder
from chicorycrank.batch.start_checks import can_begin
from chicorycrank.batch.units import (
    Member,
    UnitRef,
    next_due_ms,
)
from chicorycrank.batch.workers import WorkerRegistry
from chicorycrank.model.batch import (
    BatchTeam,
    Progress,
    Queue,
    Step,
    Submission,
    Unit,
    UnitState,
    WorkOrder,
)
from chicorycrank.model.config import Team
from chicorycrank.model.ids import Incarnation, JobId, QueueId, TargetId, TaskId, TeamId
from chicorycrank.policy.cell import Cell
from chicorycrank.policy.decide import MAX_DECISIONS
from chicorycrank.policy.interference import Interference

# Cores are counted in millicores in this cell. Where the work of jobs is compared, an accelerator
# counts as much as eight cores.
MILLICORES_PER_ACCELERATOR = 8000.0
MAX_DECISION_PASSES = 8  # bounds the duration of one plan
MAX_STARTS_PER_PLAN = MAX_DECISION_PASSES * MAX_DECISIONS
# Units of a job that have begun and are not done. Their records are one value of the store.
MAX_OPEN_UNITS = 4000


class PlannerState:
    """State of the planner with the queries on it; not safe for concurrent use.

    :param now_s: monotonic time in seconds at the start of the term
    :ivar view_age_s: time in seconds since the view of the jobs was last confirmed by the store
    :ivar avoids_interference: whether workloads that slow each other down are kept apart
    :ivar jobs_with_ends: jobs of which a run has ended since the last plan
    :ivar jobs_with_other_limits: jobs whose queue may allow fewer attempts than when their units
        last ended
    :ivar tickets_by_step: tickets by step and worker; the advice service issues a ticket to permit
        starts of a step on a worker
    :ivar steps_with_valid_tickets: steps whose tickets may still be used for new starts
    """

    def __init__(self, job_builder: QueuedJobBuilder, now_s: float) -> None:
        self.cell = Cell(cores_per_accelerator=MILLICORES_PER_ACCELERATOR)
        self.cell.can_begin = partial(can_begin, self)
        self.job_builder = job_builder
        self.now_s = now_s
        self.now_ms = 0
        self.view_age_s = 0.0
        self.changes = ChangedRecords()
        self.jobs_by_id: dict[JobId, Submission] = {}
        self.progress_by_id: dict[JobId, Progress] = {}
        self.units_by_id: dict[JobId, JobUnits] = {}
        self.active_jobs: dict[JobId, None] = {}
        self.workers = WorkerRegistry(self.cell, now_s, job_builder.clear_worker_caches)
        self.crashes = CrashTracker()
        self.failing_jobs = FailingJobs()
        self.performance = PerformanceRecords()
        self.interference = Interference()
        self.avoids_interference = True
        self.drains = Drains()
        self.interruptions = Interruptions()
        self.members_by_worker: dict[TargetId, dict[TaskId, Member]] = {}
        # Jobs of which a run has ended since the last plan.
        self.jobs_with_ends: set[JobId] = set()
        # Jobs whose queue may allow fewer attempts than when their units last ended.
        self.jobs_with_other_limits: set[JobId] = set()
        self.order_sizes = OrderSizes(self.unaccepted_tasks)
        self.queues_by_id: Mapping[QueueId, Queue] = {}
        self.quota_by_team: dict[TeamId, int] = {}
        self.tickets_by_step: dict[str, dict[TargetId, str]] = {}
        self.steps_with_valid_tickets: set[str] = set()

    def set_time(self, now_s: float, now_ms: int, view_age_s: float = 0.0) -> None:
        """Set monotonic time in seconds, Unix time in milliseconds and the age of the view."""
        self.now_s, self.now_ms, self.view_age_s = now_s, now_ms, view_age_s
        self.workers.now_s = now_s

    def set_config(self, queues: Mapping[QueueId, Queue], teams: Iterable[BatchTeam]) -> None:
        """Apply queues and quotas."""
        self.queues_by_id = queues
        self.quota_by_team = {team.team: team.quota for team in teams}
        self.cell.set_config({team: Team() for team in self.quota_by_team}, {})
        self.jobs_with_other_limits.update(self.active_jobs)

    def next_due_ms(self) -> int | None:
        """Return the Unix time in milliseconds of the next occurrence, or stop at a drain."""
        due_times_ms = (
            next_due_ms(self.jobs_by_id[job_id], self.now_ms) for job_id in self.active_jobs
        )
        check_s = self.drains.next_check_in_s(self.now_s)
        check_ms = None if check_s is None else self.now_ms + ceil(check_s * 1000)
        times_ms = (*due_times_ms, check_ms)
        return min((time_ms for time_ms in times_ms if time_ms is not None), default=None)

    def run_number(self, member: Member) -> int:
        """Return the number of the current run of a member's unit."""
        return self.unit_of(member.ref).run

    def order_for(self, worker: TargetId, *, excluded_tasks: Collection[TaskId] = ()) -> WorkOrder:
        """Return the work order for a worker: the runs that it has to execute.

        :param excluded_tasks: tasks to leave out
        """
        assignments = []
        incarnation = Incarnation("")
        for task, member in self.members_by_worker.get(worker, {}).items():
            if task in excluded_tasks:
                continue
            unit = self.unit_of(member.ref)
            incarnation = unit.places[member.place_index].incarnation
            ticket = self.tickets_by_step.get(member.ref.step_key, {}).get(worker, "")
            job = self.jobs_by_id[member.ref.job_id]
            probation_ms = self.crashes.probation_ms(member.ref, unit)
            assignments.append(make_assignment(job, member.ref, unit, task, ticket, probation_ms))
        return WorkOrder(incarnation=incarnation, assignments=tuple(assignments))

    def unaccepted_tasks(self, worker: TargetId) -> dict[JobId, list[TaskId]]:
        """Return the tasks that the next order of a worker may start, by job.

        A run that the worker's agent has accepted was started by an earlier order.
        """
        state = self.workers.by_id.get(worker)
        accepted = state.report.accepted if state is not None else {}
        tasks_by_job: dict[JobId, list[TaskId]] = {}
        for task, member in self.members_by_worker.get(worker, {}).items():
            unit = self.unit_of(member.ref)
            if unit.state is UnitState.ASSIGNED and accepted.get(task) != unit.run:
                tasks_by_job.setdefault(member.ref.job_id, []).append(task)
        return tasks_by_job

    def queue_of(self, job: Submission) -> Queue:
        """Return a job's current queue, or its queue at submission if that was removed."""
        return self.queues_by_id.get(job.queue.queue_id, job.queue)

    def step_of(self, ref: UnitRef) -> Step:
        """Return the step of a unit."""
        return self.jobs_by_id[ref.job_id].steps[ref.step]

    def unit_of(self, ref: UnitRef) -> Unit:
        """Return the progress of a unit that has begun."""
        return self.progress_by_id[ref.job_id].units[ref.key]

    def placed_units_of_step(self, ref: UnitRef) -> Iterator[tuple[UnitRef, Unit]]:
        """Yield the units of the same step and occurrence that have places on workers."""
        yield from self.units_by_id[ref.job_id].placed(ref.occurrence, ref.step).items()

    def workers_without_room(self, job_id: JobId) -> set[TargetId]:
        """Return the workers on which a job has as much of the order as is left free."""
        units = self.units_by_id[job_id]
        return {
            worker
            for worker, runs in units.runs_by_worker.items()
            if self.order_sizes.has_its_part(worker, runs, runs * units.assignment_bytes)
        }

    def waiting_units_of(self, job_id: JobId) -> Iterator[UnitRef]:
        """Yield as many waiting units of a job as a plan may start."""
        free = max(0, MAX_OPEN_UNITS - len(self.progress_by_id[job_id].units))
        return self.units_by_id[job_id].waiting(self.now_ms, min(MAX_STARTS_PER_PLAN, free))
