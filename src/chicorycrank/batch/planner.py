"""Planning of units on workers, without calls to the store or to other services.

A unit is a gang, or a task outside of gangs. The planner holds the jobs, the workers and the
:class:`Cell` of :mod:`chicorycrank.policy`. Its caller applies changes, requests a plan and writes
the changed records.
"""

import logging
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping

from chicorycrank.batch.crash_tracker import CrashTracker
from chicorycrank.batch.failing_jobs import FailingJobs
from chicorycrank.batch.job_turns import postponed_units
from chicorycrank.batch.job_units import JobUnits
from chicorycrank.batch.metrics import (
    JOBS_ENDED,
    JOBS_FAILED,
    TASKS_ENDED,
    UNITS_STARTED,
    UNITS_STOPPED,
    WAIT_SECONDS,
)
from chicorycrank.batch.order_sizes import OrderSizes
from chicorycrank.batch.orders import ChangedRecords, choose_accelerators, make_assignment
from chicorycrank.batch.queued_jobs import QueuedJobBuilder
from chicorycrank.batch.stop_reasons import NO_PROGRESS, stop_reason
from chicorycrank.batch.units import (
    NO_WORKER,
    Member,
    UnitRef,
    begin_run,
    failed_attempts,
    next_due_ms,
    parse_unit_key,
    record_end,
)
from chicorycrank.batch.workers import WorkerRegistry
from chicorycrank.model.batch import (
    FINAL_BATCH_STATES,
    BatchState,
    BatchTeam,
    EndKind,
    Place,
    Progress,
    Queue,
    Step,
    Submission,
    TaskEnd,
    Unit,
    UnitState,
    WorkerReport,
    WorkerState,
    WorkOrder,
)
from chicorycrank.model.config import Team
from chicorycrank.model.ids import Incarnation, JobId, QueueId, TargetId, TaskId, TeamId
from chicorycrank.model.jobs import MemberPlacement, WorkKind
from chicorycrank.policy.cell import Cell, RunningJob
from chicorycrank.policy.decide import MAX_DECISIONS
from chicorycrank.policy.decisions import Decision, Evict, Start
from chicorycrank.policy.eviction import lost_accelerator_s
from chicorycrank.policy.placement import placement_of

# Cores are counted in millicores in this cell. Where the work of jobs is compared, an accelerator
# counts as much as eight cores.
MILLICORES_PER_ACCELERATOR = 8000.0
MAX_DECISION_PASSES = 8  # bounds the duration of one plan
MAX_STARTS_PER_PLAN = MAX_DECISION_PASSES * MAX_DECISIONS
# After so many passes at the limit of decisions, jobs that have started units in a plan come last.
PASSES_IN_FULL_ORDER = MAX_DECISION_PASSES // 2
# Units of a job that have begun and are not done. Their records are one value of the store.
MAX_OPEN_UNITS = 4000

logger = logging.getLogger("absl")


class Planner:
    """State and decisions of the leader; not safe for concurrent use.

    :param now_s: monotonic time in seconds at the start of the term
    :ivar view_age_s: time in seconds since the view of the jobs was last confirmed by the store
    :ivar tickets_by_step: tickets by step and worker; the advice service issues a ticket to permit
        starts of a step on a worker
    :ivar steps_with_valid_tickets: steps whose tickets may still be used for new starts
    """

    def __init__(self, job_builder: QueuedJobBuilder, now_s: float) -> None:
        self.cell = Cell(cores_per_accelerator=MILLICORES_PER_ACCELERATOR)
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
        self.members_by_worker: dict[TargetId, dict[TaskId, Member]] = {}
        # Jobs of which a run has ended since the last plan.
        self._jobs_with_ends: set[JobId] = set()
        # Jobs whose queue may allow fewer attempts than when their units last ended.
        self._jobs_with_other_limits: set[JobId] = set()
        self._order_sizes = OrderSizes(self.unaccepted_tasks)
        self.queues_by_id: Mapping[QueueId, Queue] = {}
        self.quota_by_team: dict[TeamId, int] = {}
        self.tickets_by_step: dict[str, dict[TargetId, str]] = {}
        self.steps_with_valid_tickets: set[str] = set()

    # Changes to the state.

    def set_time(self, now_s: float, now_ms: int, view_age_s: float = 0.0) -> None:
        """Set monotonic time in seconds, Unix time in milliseconds and the age of the view."""
        self.now_s, self.now_ms, self.view_age_s = now_s, now_ms, view_age_s
        self.workers.now_s = now_s

    def set_config(self, queues: Mapping[QueueId, Queue], teams: Iterable[BatchTeam]) -> None:
        """Apply queues and quotas."""
        self.queues_by_id = queues
        self.quota_by_team = {team.team: team.quota for team in teams}
        self.cell.set_config({team: Team() for team in self.quota_by_team}, {})
        self._jobs_with_other_limits.update(self.active_jobs)

    def add_job(self, job: Submission, progress: Progress | None) -> None:
        """Add a job and restore the allocations of its running units."""
        if job.job_id in self.jobs_by_id:
            return
        self.jobs_by_id[job.job_id] = job
        self.progress_by_id[job.job_id] = progress = progress or Progress()
        self.units_by_id[job.job_id] = JobUnits(job, progress)
        self.crashes.restore(job.job_id, progress)
        for key, unit in progress.units.items():
            if unit.places:
                self._restore_allocation(parse_unit_key(job.job_id, key), unit)
        if progress.state not in FINAL_BATCH_STATES:
            self.active_jobs[job.job_id] = None
            self._restore_failures(job.job_id, progress)
            self._jobs_with_other_limits.add(job.job_id)

    def remove_job(self, job_id: JobId) -> None:
        """Remove a job that has ended and has no running units."""
        self.jobs_by_id.pop(job_id, None)
        self.progress_by_id.pop(job_id, None)
        self.units_by_id.pop(job_id, None)
        self.active_jobs.pop(job_id, None)
        self.crashes.forget_job(job_id)
        self.job_builder.discard_job(job_id)

    def cancel(self, job_id: JobId) -> None:
        """Cancel an active job: stop its running units and start no further ones."""
        if job_id in self.active_jobs:
            self._end_job(job_id, BatchState.CANCELLED, "cancelled")

    def apply_report(self, worker: TargetId, report: WorkerReport) -> None:
        """Apply a worker's report and record the task ends that it contains."""
        replaced = self.workers.replaced_incarnation(worker, report)
        self.workers.apply_report(worker, report)
        for end in report.ends:
            self._record_end(worker, end)
        is_gone = report.state is WorkerState.GONE
        for task, member in list(self.members_by_worker.get(worker, {}).items()):
            unit = self._unit(member.ref)
            place = unit.places[member.place_index]
            if report.incarnation and (is_gone or place.incarnation != report.incarnation):
                self._end_lost_run(worker, task, member)
            elif report.cleared.get(task) == unit.run:
                reason = "has outlasted its probation"
                self.crashes.clear(self, member.ref, unit, reason, member=member.place_index)
        self.crashes.record_crashes(self, worker)
        if replaced is not None:
            self.crashes.ledger.record(replaced, worker, self.now_ms)
        if not report.is_unreachable:
            self.crashes.refute(self, report.incarnation)
        self._stop_affected_units(worker, report)
        self.workers.update_cell(worker)

    def mark_worker_lost(self, worker: TargetId) -> None:
        """Record all runs of a lost worker as lost.

        The caller ensures that none of them is still running.
        """
        for task, member in list(self.members_by_worker.get(worker, {}).items()):
            self._end_lost_run(worker, task, member)

    def record_end(self, worker: TargetId, end: TaskEnd) -> None:
        """Record the end of a run; ignore it if the run is not assigned to this worker.

        Run numbers of a task are unique, so an end from an earlier incarnation of the executor
        cannot be mistaken for the end of a later run.
        """
        self._record_end(worker, end)
        self.crashes.record_crashes(self, worker)

    def _record_end(self, worker: TargetId, end: TaskEnd) -> None:
        member = self.members_by_worker.get(worker, {}).get(end.task)
        if member is None:
            return
        unit = self._unit(member.ref)
        if unit.run != end.run:
            return
        self._record_member_end(worker, member, unit, end)

    # Plans and orders.

    def plan(self) -> None:
        """Start and stop units; :attr:`changes` collects the changed records."""
        self._fail_exhausted_jobs()
        self.crashes.end_old_tests(self)
        for job_id, reason in self.crashes.find_culprits(self):
            self._fail_job(job_id, "crashes", reason)
        for job_id in self.active_jobs:
            self.units_by_id[job_id].discard_done()
        self._order_sizes.begin_plan()
        self.workers.testing = self.crashes.testing_workers(self)
        self.workers.full = self._order_sizes.full_workers()
        self.workers.update_all_availability()
        self.cell.headroom = self.job_builder.headroom_workers(self)
        self.cell.jobs_within_quota = self.job_builder.units_within_quota(self)
        # A unit that a pass stops waits again only after its runs have ended, in a later plan.
        waiting = dict.fromkeys(self._waiting_units())
        started_on: set[TargetId] = set()
        started_jobs: set[JobId] = set()
        steady_jobs, self._jobs_with_ends = self._jobs_with_ends, set()
        full_passes = 0  # a pass below the limit has left out no job that can start
        for _ in range(MAX_DECISION_PASSES):
            postponed: dict[UnitRef, None] = {}
            if full_passes >= PASSES_IN_FULL_ORDER:
                held_names = self.cell.reservations_by_id.keys() | self.cell.waiting_for_evictions
                postponed = postponed_units(waiting, steady_jobs, started_jobs, held_names)
                waiting = {ref: None for ref in waiting if ref not in postponed}
            queue, decisions = self.failing_jobs.decide(self, waiting)
            full_passes += len(decisions) >= MAX_DECISIONS
            refs_by_name = {job.job_id: ref for ref, job in queue.items()}
            has_changed = False
            for decision in decisions:
                if isinstance(decision, Start):
                    ref = refs_by_name[decision.job_id]
                    if not self._may_start(ref, decision.placement, started_on):
                        continue
                    started_on |= {member.worker for member in decision.placement}
                    started_jobs.add(ref.job_id)
                    del waiting[ref]
                has_changed = self._apply_decision(decision, refs_by_name) or has_changed
            waiting |= postponed
            if not has_changed:
                if not postponed:
                    return
                steady_jobs = set()  # no other job can start
            for worker in filter(self.workers.quarantine.rejects_jobs, started_on):
                self.workers.update_cell(worker)
            testing = self.crashes.testing_workers(self)
            full = self.workers.full | set(filter(self._order_sizes.is_full, started_on))
            if (self.workers.testing, self.workers.full) != (testing, full):
                self.workers.testing, self.workers.full = testing, full
                self.workers.update_all_availability()

    def next_due_ms(self) -> int | None:
        """Return the Unix time in milliseconds of the next occurrence of a job."""
        due_times_ms = (
            next_due_ms(self.jobs_by_id[job_id], self.now_ms) for job_id in self.active_jobs
        )
        return min((due_ms for due_ms in due_times_ms if due_ms is not None), default=None)

    def run_number(self, member: Member) -> int:
        """Return the number of the current run of a member's unit."""
        return self._unit(member.ref).run

    def order_for(self, worker: TargetId, *, excluded_tasks: Collection[TaskId] = ()) -> WorkOrder:
        """Return the work order for a worker: the runs that it has to execute.

        :param excluded_tasks: tasks to leave out
        """
        assignments = []
        incarnation = Incarnation("")
        for task, member in self.members_by_worker.get(worker, {}).items():
            if task in excluded_tasks:
                continue
            unit = self._unit(member.ref)
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
            unit = self._unit(member.ref)
            if unit.state is UnitState.ASSIGNED and accepted.get(task) != unit.run:
                tasks_by_job.setdefault(member.ref.job_id, []).append(task)
        return tasks_by_job

    def queue_of(self, job: Submission) -> Queue:
        """Return a job's current queue, or its queue at submission if that was removed."""
        return self.queues_by_id.get(job.queue.queue_id, job.queue)

    def step_of(self, ref: UnitRef) -> Step:
        """Return the step of a unit."""
        return self.jobs_by_id[ref.job_id].steps[ref.step]

    def placed_units_of_step(self, ref: UnitRef) -> Iterator[tuple[UnitRef, Unit]]:
        """Yield the units of the same step and occurrence that have places on workers."""
        yield from self.units_by_id[ref.job_id].placed(ref.occurrence, ref.step).items()

    def _may_start(
        self,
        ref: UnitRef,
        placement: Collection[MemberPlacement],
        started_on: set[TargetId],
    ) -> bool:
        """Return whether a start is allowed by orders, quarantine, tests and this plan's starts."""
        tasks_by_worker = Counter(member.worker for member in placement)
        workers = tasks_by_worker.keys()
        if self.crashes.is_held(self, ref) or workers & self.crashes.testing_workers(self):
            return False
        if any(map(self.workers.quarantine.rejects_jobs, workers)):
            return False
        size = self.units_by_id[ref.job_id].assignment_bytes
        if not all(
            self._order_sizes.has_room(worker, ref.job_id, count * size)
            for worker, count in tasks_by_worker.items()
        ):
            return False
        unit = self.progress_by_id[ref.job_id].units.get(ref.key)
        return not (self.crashes.needs_test(self, ref, unit) and workers & started_on)

    def workers_without_room(self, job_id: JobId) -> set[TargetId]:
        """Return the workers on which a job has as much of the order as is left free."""
        units = self.units_by_id[job_id]
        return {
            worker
            for worker, runs in units.runs_by_worker.items()
            if self._order_sizes.has_its_part(worker, runs, runs * units.assignment_bytes)
        }

    def waiting_units_of(self, job_id: JobId) -> Iterator[UnitRef]:
        """Yield as many waiting units of a job as a plan may start."""
        free = max(0, MAX_OPEN_UNITS - len(self.progress_by_id[job_id].units))
        return self.units_by_id[job_id].waiting(self.now_ms, min(MAX_STARTS_PER_PLAN, free))

    def _waiting_units(self) -> Iterator[UnitRef]:
        for job_id in self.active_jobs:
            if not self.failing_jobs.is_set_aside(job_id, self.now_s):
                for ref in self.waiting_units_of(job_id):
                    if not self.crashes.is_held(self, ref):
                        yield ref

    def _apply_decision(self, decision: Decision, refs_by_name: Mapping[JobId, UnitRef]) -> bool:
        """Apply a decision; return false if it starts and stops nothing."""
        match decision:
            case Start():
                ref = refs_by_name[decision.job_id]
                self._start_unit(ref, decision)
                return True
            case Evict():
                running = self.cell.running_by_id.get(decision.job_id)
                if running is None:
                    return False
                # In the cell, a job id is <job>.<unit key>.
                job_id, _, key = decision.job_id.partition(".")
                ref = parse_unit_key(JobId(job_id), key)
                self.stop_unit(ref, f"{decision.cause.value} for {decision.for_job}")
                return True

    def _start_unit(self, ref: UnitRef, decision: Start) -> None:
        progress = self.progress_by_id[ref.job_id]
        unit = progress.units.setdefault(ref.key, Unit())
        places = [
            Place(member.worker, self.workers.by_id[member.worker].report.incarnation)
            for member in decision.placement
        ]
        begin_run(unit, places, self.now_ms)
        self.units_by_id[ref.job_id].record_places(ref, unit)
        self.crashes.begin_run(self, ref, unit)
        is_first_start = progress.state is BatchState.QUEUED
        progress.state = BatchState.RUNNING
        self.workers.quarantine.record_start(ref.job_id, decision.placement)
        self.cell.start(
            RunningJob(
                job=self.job_builder.make_queued_job(self, ref),
                placement=decision.placement,
                kind=WorkKind.BORROWED,
                started_s=self.now_s,
                backfill=decision.backfill,
            )
        )
        self._index_members(ref, unit)
        self.changes.jobs.add(ref.job_id)
        UNITS_STARTED.inc()
        if is_first_start:
            WAIT_SECONDS.observe(
                max(0, self.now_ms - self.jobs_by_id[ref.job_id].submitted_at_ms) / 1000
            )
        logger.info(
            "event=unit_started job=%s unit=%s run=%d workers=%s checkpoint=%s view_age_s=%.1f",
            ref.job_id,
            ref.key,
            unit.run,
            ",".join(place.worker for place in places),
            unit.checkpoint,
            self.view_age_s,
        )

    def stop_unit(self, ref: UnitRef, reason: str) -> None:
        """Stop a running unit; it returns to the waiting state once all members have ended."""
        unit = self._unit(ref)
        if unit.state is not UnitState.ASSIGNED:
            return
        lost_s = lost_accelerator_s(self.cell, ref.name, self.now_s)
        UNITS_STOPPED.labels(reason.split()[0]).inc()
        unit.state = UnitState.STOPPING
        self.cell.mark_stopping(ref.name)
        self.changes.jobs.add(ref.job_id)
        workers = {place.worker for place in unit.places if place != NO_WORKER}
        self.changes.workers |= workers
        for worker in workers:
            self._order_sizes.record_stop(worker)
        logger.info(
            "event=unit_stopped job=%s unit=%s run=%d lost_s=%.1f reason=%s",
            ref.job_id,
            ref.key,
            unit.run,
            lost_s,
            reason,
        )

    # Runs and their places in the cell.

    def _unit(self, ref: UnitRef) -> Unit:
        return self.progress_by_id[ref.job_id].units[ref.key]

    def _index_members(self, ref: UnitRef, unit: Unit) -> None:
        tasks = ref.tasks(self.step_of(ref))
        size = self.units_by_id[ref.job_id].assignment_bytes
        for place_index, (task, place) in enumerate(zip(tasks, unit.places, strict=True)):
            if place != NO_WORKER:
                self.members_by_worker.setdefault(place.worker, {})[task] = Member(ref, place_index)
                self._order_sizes.add_run(place.worker, ref.job_id, size)
                self.changes.workers.add(place.worker)

    def _restore_allocation(self, ref: UnitRef, unit: Unit) -> None:
        """Allocate accelerators in the cell to a unit that runs according to the records."""
        self._index_members(ref, unit)
        workers = [place.worker for place in unit.places if place != NO_WORKER]
        worker_masks = choose_accelerators(self.cell, workers, self.step_of(ref).accelerators)
        self.cell.start(
            RunningJob(
                job=self.job_builder.make_queued_job(self, ref),
                placement=placement_of(worker_masks),
                kind=WorkKind.BORROWED,
                started_s=self.now_s - max(0, self.now_ms - unit.started_at_ms) / 1000,
                stopping=unit.state is not UnitState.ASSIGNED,
            )
        )

    def _restore_failures(self, job_id: JobId, progress: Progress) -> None:
        """Count the recorded failures of unfinished units, so that a takeover ends no quarantine.

        A worker that has recovered meanwhile is probed again after the shortest delay.
        """
        for unit in progress.units.values():
            for worker in unit.failed_on if unit.state is not UnitState.DONE else ():
                self.workers.quarantine.record_failure(worker, job_id, "failed in an earlier term")

    def _end_lost_run(self, worker: TargetId, task: TaskId, member: Member) -> None:
        unit = self._unit(member.ref)
        logger.warning(
            "event=run_lost task=%s run=%d worker=%s lost_s=%.1f",
            task,
            unit.run,
            worker,
            lost_accelerator_s(self.cell, member.ref.name, self.now_s),
        )
        checkpoint = self.workers.reported_checkpoint(worker, task, unit.run)
        end = TaskEnd(task, unit.run, EndKind.LOST, checkpoint)
        self._record_member_end(worker, member, unit, end)

    def _record_member_end(
        self, worker: TargetId, member: Member, unit: Unit, end: TaskEnd
    ) -> None:
        ref = member.ref
        job = self.jobs_by_id[ref.job_id]
        step = self.step_of(ref)
        was_stopping = unit.state is UnitState.STOPPING
        if end.kind is EndKind.CRASHED:
            incarnation = unit.places[member.place_index].incarnation
            self.crashes.add_run(incarnation, ref, member.place_index, end)
        has_run_ended = record_end(
            unit, member.place_index, end, step, self.queue_of(job).max_attempts
        )
        del self.members_by_worker[worker][end.task]
        units = self.units_by_id[ref.job_id]
        self._order_sizes.remove_run(worker, units.assignment_bytes)
        self._jobs_with_ends.add(ref.job_id)
        self.changes.jobs.add(ref.job_id)
        self.changes.workers.add(worker)
        logger.info(
            "event=task_ended job=%s task=%s run=%d worker=%s how=%s detail=%s state=%s",
            ref.job_id,
            end.task,
            end.run,
            worker,
            end.kind.name.lower(),
            end.detail,
            unit.state.name.lower(),
        )
        TASKS_ENDED.labels(end.kind.name.lower()).inc()
        self.workers.record_end(worker, ref.job_id, end)
        if has_run_ended:
            units.record_places(ref, unit)
        if unit.state is UnitState.DONE:
            units.record_done(ref)
            self.crashes.clear(self, ref, unit, "has ended as done")
        elif has_run_ended:
            self.crashes.end_run(ref)
        if unit.state is UnitState.DONE and unit.places:
            # One member that is done completes its gang; the other members are stopped.
            self.changes.workers.update(p.worker for p in unit.places if p != NO_WORKER)
        elif step.gang and unit.state is UnitState.ASSIGNED and not has_run_ended:
            self.stop_unit(ref, "a member has ended")
        if has_run_ended:
            is_done = EndKind.DONE.name == unit.outcome
            workers = [worker_mask[0] for worker_mask in self.cell.worker_masks(ref.name)]
            self.cell.finish(ref.name, completed=is_done and not was_stopping, now_s=self.now_s)
            for worker_id in set(workers):
                self.cell.renumber_accelerators(worker_id)
        else:
            self.cell.finish_member(ref.name, worker)
            self.cell.renumber_accelerators(worker)
        self._update_job_state(ref.job_id, unit)

    def _update_job_state(self, job_id: JobId, ended: Unit) -> None:
        """End a job if a unit of it has failed, or its last one is done."""
        progress = self.progress_by_id[job_id]
        if progress.state in FINAL_BATCH_STATES:
            return
        if ended.state is UnitState.FAILED:
            self._fail_job(job_id, "attempts", failed_attempts(job_id, progress))
        elif self.units_by_id[job_id].is_complete:
            self._end_job(job_id, BatchState.COMPLETED, "")

    def _fail_exhausted_jobs(self) -> None:
        """End the jobs of which a waiting unit has used up the attempts that its queue now allows.

        A unit that runs may still end as done.
        """
        for job_id in self.active_jobs.keys() & self._jobs_with_other_limits:
            max_attempts = self.queue_of(self.jobs_by_id[job_id]).max_attempts
            for unit in self.progress_by_id[job_id].units.values():
                if unit.state is UnitState.WAITING and unit.failures >= max_attempts:
                    unit.state = UnitState.FAILED
                    self._update_job_state(job_id, unit)
                    break
        self._jobs_with_other_limits.clear()

    def _fail_job(self, job_id: JobId, cause: str, reason: str) -> None:
        JOBS_FAILED.labels(cause).inc()
        self._end_job(job_id, BatchState.FAILED, reason)
        if cause == "crashes":
            self.crashes.clear_others(self, job_id)

    def _end_job(self, job_id: JobId, state: BatchState, reason: str) -> None:
        progress = self.progress_by_id[job_id]
        progress.state, progress.reason, progress.ended_at_ms = state, reason, self.now_ms
        self.active_jobs.pop(job_id, None)
        self.failing_jobs.discard_job(job_id)
        self.changes.jobs.add(job_id)
        for key, unit in progress.units.items():
            if unit.state is UnitState.ASSIGNED:
                self.stop_unit(parse_unit_key(job_id, key), state.name.lower())
        JOBS_ENDED.labels(state.name.lower()).inc()
        self.workers.quarantine.discard_job(job_id, is_faulty=state is BatchState.FAILED)
        self.crashes.discard_job(job_id)
        logger.info("event=job_ended job=%s state=%s reason=%s", job_id, state.name, reason)

    # Effects of worker reports.

    def _stop_affected_units(self, worker: TargetId, report: WorkerReport) -> None:
        """Stop units that are stalled on this worker or would not end before its executor exits."""
        for task, member in list(self.members_by_worker.get(worker, {}).items()):
            step, unit = self.step_of(member.ref), self._unit(member.ref)
            reason = stop_reason(step, unit, task, report, self.now_ms)
            # A run that is stopped already may make no progress while it stops.
            is_stall = reason == NO_PROGRESS and unit.state is UnitState.ASSIGNED
            if reason:
                self.stop_unit(member.ref, reason)
            # A gang may be held up by any of its workers.
            if is_stall and len({place.worker for place in unit.places}) == 1:
                self.workers.quarantine.record_stall(worker, member.ref.job_id, reason)
