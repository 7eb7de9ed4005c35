"""Plans which units run where: the state of the leader, without calls to anything.

The planner holds the jobs, the workers and the scheduling core's cell. Its caller passes in what
changed, asks for a plan and writes the changed records.
"""

import logging
from collections.abc import Collection, Iterable, Iterator, Mapping

from chicorycrank.batch.interruptions import reason_to_stop
from chicorycrank.batch.metrics import (
    JOBS_ENDED,
    TASKS_ENDED,
    UNITS_STARTED,
    UNITS_STOPPED,
    WAIT_SECONDS,
)
from chicorycrank.batch.orders import Changes, assignment_of, number_accelerators
from chicorycrank.batch.shapes import UnitShapes
from chicorycrank.batch.units import (
    ENDED,
    Member,
    UnitRef,
    begin_run,
    is_complete,
    next_due_ms,
    note_end,
    parse_unit,
    units_of_step,
    waiting_units,
)
from chicorycrank.batch.workers import Workers
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
    WorkOrder,
)
from chicorycrank.model.batch import WorkerState as ExecutorState
from chicorycrank.model.config import Team
from chicorycrank.model.ids import Incarnation, JobId, QueueId, TargetId, TaskId, TeamId
from chicorycrank.model.jobs import WorkKind
from chicorycrank.policy.cell import Cell, RunningJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision, Evict, Start
from chicorycrank.policy.eviction import lost_work_s
from chicorycrank.policy.placement import placement_of

# The users' accounting weighs an accelerator like eight cores; here in thousandths of a core.
CORES_PER_ACCELERATOR = 8000.0
MAX_PASSES = 8  # bounds the time of one plan

logger = logging.getLogger("absl")


class Planner:
    """State and decisions of the leader; one thread at a time.

    :param now_s: monotonic time in seconds at the start of the term
    """

    def __init__(self, shapes: UnitShapes, now_s: float) -> None:
        self.cell = Cell(cores_per_accelerator=CORES_PER_ACCELERATOR)
        self.shapes = shapes
        self.now_s = now_s
        self.now_ms = 0
        self.changes = Changes()
        self.jobs_by_id: dict[JobId, Submission] = {}
        self.progress_by_id: dict[JobId, Progress] = {}
        self.active: dict[JobId, None] = {}
        self.cancelled: set[JobId] = set()
        self.workers = Workers(self.cell, now_s, shapes.forget_workers)
        self.runs_by_worker: dict[TargetId, dict[TaskId, Member]] = {}
        self.queues_by_id: Mapping[QueueId, Queue] = {}
        self.quota_by_team: dict[TeamId, int] = {}
        self.tickets_by_step: dict[str, dict[TargetId, str]] = {}
        self.fresh_tickets: set[str] = set()

    # What changed.

    def set_time(self, now_s: float, now_ms: int) -> None:
        """Set monotonic time in seconds and Unix time in milliseconds."""
        self.now_s, self.now_ms = now_s, now_ms
        self.workers.now_s = now_s

    def set_config(self, queues: Mapping[QueueId, Queue], teams: Iterable[BatchTeam]) -> None:
        """Put queues and quotas in force."""
        self.queues_by_id = queues
        self.quota_by_team = {team.team: team.quota for team in teams}
        self.cell.set_config({team: Team() for team in self.quota_by_team}, {})

    def put_job(self, job: Submission, progress: Progress | None) -> None:
        """Add a job; its running units take their places again."""
        if job.job_id in self.jobs_by_id:
            return
        self.jobs_by_id[job.job_id] = job
        self.progress_by_id[job.job_id] = progress = progress or Progress()
        for key, unit in progress.units.items():
            if unit.places:
                self._occupy(parse_unit(job.job_id, key), unit)
        if progress.state not in FINAL_BATCH_STATES:
            self.active[job.job_id] = None

    def forget_job(self, job_id: JobId) -> None:
        """Forget a job that has ended and holds nothing."""
        self.jobs_by_id.pop(job_id, None)
        self.progress_by_id.pop(job_id, None)
        self.active.pop(job_id, None)
        self.cancelled.discard(job_id)
        self.shapes.forget_job(job_id)

    def cancel(self, job_id: JobId) -> None:
        """Stop whatever a job runs and start nothing more of it."""
        self.cancelled.add(job_id)
        progress = self.progress_by_id.get(job_id)
        if progress is not None and progress.state not in FINAL_BATCH_STATES:
            self._end_job(job_id, BatchState.CANCELLED, "cancelled")

    def put_report(self, worker: TargetId, report: WorkerReport) -> None:
        """Take over a worker's report and the ends in it."""
        self.workers.put_report(worker, report)
        for end in report.ends:
            self.note_end(worker, end)
        gone = report.state is ExecutorState.GONE
        for task, run in list(self.runs_by_worker.get(worker, {}).items()):
            place = self._unit(run.ref).places[run.number]
            if gone or place.incarnation != report.incarnation:
                self._lose(worker, task, run)
        self._interrupt(worker, report)
        self.workers.refresh(worker)

    def lose_worker(self, worker: TargetId) -> None:
        """Note that nothing can be running on a worker any more."""
        for task, run in list(self.runs_by_worker.get(worker, {}).items()):
            self._lose(worker, task, run)

    def note_end(self, worker: TargetId, end: TaskEnd) -> None:
        """Note the end of a run that the records still hold on a worker.

        Runs of a task have different numbers, so an end of an earlier life of the executor
        cannot be taken for that of a later run.
        """
        run = self.runs_by_worker.get(worker, {}).get(end.task)
        if run is None:
            return
        unit = self._unit(run.ref)
        if unit.run != end.run:
            return
        self._note_end(worker, run, unit, end)

    # Decisions.

    def plan(self) -> None:
        """Decide what starts and what is stopped; :attr:`changes` says which records changed."""
        self.workers.refresh_all()
        self.cell.headroom = self.shapes.headroom(self)
        for _ in range(MAX_PASSES):
            refs = list(self._waiting())
            queue = [self.shapes.queued(self, ref) for ref in refs]
            self.cell.protected = self.shapes.protected(self)
            decisions = decide(self.cell, self.shapes.one_per_step(self, queue), self.now_s)
            refs_by_name = {ref.name: ref for ref in refs}
            progressed = False
            for decision in decisions:
                progressed = self._apply(decision, refs_by_name) or progressed
            if not progressed:
                return

    def next_due_ms(self) -> int | None:
        """Return the Unix time in milliseconds of the next occurrence of a job."""
        dues = (next_due_ms(self.jobs_by_id[job_id], self.now_ms) for job_id in self.active)
        return min((due for due in dues if due is not None), default=None)

    def run_of(self, member: Member) -> int:
        """Return the number of the current run of a member's unit."""
        return self._unit(member.ref).run

    def order_for(self, worker: TargetId, *, without: Collection[TaskId] = ()) -> WorkOrder:
        """Return all that may run on a worker, but for some tasks."""
        assignments = []
        incarnation = Incarnation("")
        for task, run in self.runs_by_worker.get(worker, {}).items():
            if task in without:
                continue
            unit = self._unit(run.ref)
            incarnation = unit.places[run.number].incarnation
            ticket = self.tickets_by_step.get(run.ref.step_key, {}).get(worker, "")
            job = self.jobs_by_id[run.ref.job_id]
            assignments.append(assignment_of(job, run.ref, unit, task, ticket))
        return WorkOrder(incarnation=incarnation, assignments=tuple(assignments))

    def queue_of(self, job: Submission) -> Queue:
        """Return a job's queue as it is now, or as it was if it is gone."""
        return self.queues_by_id.get(job.queue.queue_id, job.queue)

    def step_of(self, ref: UnitRef) -> Step:
        """Return the step of a unit."""
        return self.jobs_by_id[ref.job_id].steps[ref.step]

    def running_of_step(self, ref: UnitRef) -> Iterator[tuple[UnitRef, Unit]]:
        """Yield the units of a unit's step and occurrence that hold places."""
        units = self.progress_by_id[ref.job_id].units
        for other in units_of_step(self.jobs_by_id[ref.job_id], ref.occurrence, ref.step):
            unit = units.get(other.key)
            if unit is not None and unit.places:
                yield other, unit

    def _waiting(self) -> Iterator[UnitRef]:
        for job_id in self.active:
            job = self.jobs_by_id[job_id]
            yield from waiting_units(job, self.progress_by_id[job_id], self.now_ms)

    def _apply(self, decision: Decision, refs_by_name: Mapping[JobId, UnitRef]) -> bool:
        """Apply a decision; false if it only waits."""
        match decision:
            case Start():
                ref = refs_by_name[decision.job_id]
                self._start(ref, decision)
                return True
            case Evict():
                running = self.cell.running_by_id.get(decision.job_id)
                if running is None:
                    return False
                job_id, _, key = decision.job_id.partition(".")
                ref = parse_unit(JobId(job_id), key)
                self.stop(ref, f"{decision.cause.value} for {decision.for_job}")
                return True

    def _start(self, ref: UnitRef, decision: Start) -> None:
        progress = self.progress_by_id[ref.job_id]
        unit = progress.units.setdefault(ref.key, Unit())
        places = [
            Place(member.worker, self.workers.by_id[member.worker].report.incarnation)
            for member in decision.placement
        ]
        begin_run(unit, places, self.now_ms)
        progress.state = BatchState.RUNNING
        self.workers.quarantine.begin(ref.job_id, decision.placement)
        self.cell.start(
            RunningJob(
                job=self.shapes.queued(self, ref),
                placement=decision.placement,
                kind=WorkKind.BORROWED,
                started_s=self.now_s,
                backfill=decision.backfill,
            )
        )
        self._index(ref, unit)
        self.changes.jobs.add(ref.job_id)
        UNITS_STARTED.inc()
        if unit.run == 1 and len(progress.units) == 1:
            WAIT_SECONDS.observe(
                max(0, self.now_ms - self.jobs_by_id[ref.job_id].submitted_at_ms) / 1000
            )
        logger.info(
            "event=unit_started job=%s unit=%s run=%d workers=%s checkpoint=%s",
            ref.job_id,
            ref.key,
            unit.run,
            ",".join(place.worker for place in places),
            unit.checkpoint,
        )

    def stop(self, ref: UnitRef, reason: str) -> None:
        """Stop a running unit; it waits again once all members have ended."""
        unit = self._unit(ref)
        if unit.state is not UnitState.ASSIGNED:
            return
        lost_s = lost_work_s(self.cell, ref.name, self.now_s)
        UNITS_STOPPED.labels(reason.split()[0]).inc()
        unit.state = UnitState.STOPPING
        self.cell.mark_stopping(ref.name)
        self.changes.jobs.add(ref.job_id)
        self.changes.workers.update(place.worker for place in unit.places if place != ENDED)
        logger.info(
            "event=unit_stopped job=%s unit=%s run=%d lost_s=%.1f reason=%s",
            ref.job_id,
            ref.key,
            unit.run,
            lost_s,
            reason,
        )

    # Places.

    def _unit(self, ref: UnitRef) -> Unit:
        return self.progress_by_id[ref.job_id].units[ref.key]

    def _index(self, ref: UnitRef, unit: Unit) -> None:
        tasks = ref.tasks(self.step_of(ref))
        for member, (task, place) in enumerate(zip(tasks, unit.places, strict=True)):
            if place != ENDED:
                self.runs_by_worker.setdefault(place.worker, {})[task] = Member(ref, member)
                self.changes.workers.add(place.worker)

    def _occupy(self, ref: UnitRef, unit: Unit) -> None:
        """Give a unit of the records its place in the cell."""
        self._index(ref, unit)
        workers = [place.worker for place in unit.places if place != ENDED]
        spots = number_accelerators(self.cell, workers, self.step_of(ref).accelerators)
        self.cell.start(
            RunningJob(
                job=self.shapes.queued(self, ref),
                placement=placement_of(spots),
                kind=WorkKind.BORROWED,
                started_s=self.now_s - max(0, self.now_ms - unit.started_at_ms) / 1000,
                stopping=unit.state is not UnitState.ASSIGNED,
            )
        )

    def _lose(self, worker: TargetId, task: TaskId, run: Member) -> None:
        unit = self._unit(run.ref)
        logger.warning(
            "event=run_lost task=%s run=%d worker=%s lost_s=%.1f",
            task,
            unit.run,
            worker,
            lost_work_s(self.cell, run.ref.name, self.now_s),
        )
        saved = self.workers.saved(worker, task, unit.run)
        end = TaskEnd(task, unit.run, EndKind.LOST, saved)
        self._note_end(worker, run, unit, end)

    def _note_end(self, worker: TargetId, run: Member, unit: Unit, end: TaskEnd) -> None:
        ref = run.ref
        job = self.jobs_by_id[ref.job_id]
        step = self.step_of(ref)
        was_stopping = unit.state is UnitState.STOPPING
        is_over = note_end(unit, run.number, end, step, self.queue_of(job).max_attempts)
        self.runs_by_worker[worker].pop(end.task, None)
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
        self.workers.judge(worker, ref.job_id, end)
        if unit.state is UnitState.DONE and unit.places:
            # One end of a gang stands for all; the other members are stopped.
            self.changes.workers.update(p.worker for p in unit.places if p != ENDED)
        elif step.gang and unit.state is UnitState.ASSIGNED and not is_over:
            self.stop(ref, "a member has ended")
        if is_over:
            ended = EndKind.DONE.name == unit.outcome
            workers = [spot[0] for spot in self.cell.spots(ref.name)]
            self.cell.finish(ref.name, completed=ended and not was_stopping, now_s=self.now_s)
            for name in set(workers):
                self.cell.compact(name)
        self._settle_job(ref.job_id)

    def _settle_job(self, job_id: JobId) -> None:
        progress = self.progress_by_id[job_id]
        if progress.state in FINAL_BATCH_STATES:
            return
        if any(unit.state is UnitState.FAILED for unit in progress.units.values()):
            self._end_job(job_id, BatchState.FAILED, "a task failed too often")
        elif is_complete(self.jobs_by_id[job_id], progress):
            self._end_job(job_id, BatchState.COMPLETED, "")

    def _end_job(self, job_id: JobId, state: BatchState, reason: str) -> None:
        progress = self.progress_by_id[job_id]
        progress.state, progress.reason, progress.ended_at_ms = state, reason, self.now_ms
        self.active.pop(job_id, None)
        self.changes.jobs.add(job_id)
        for key, unit in progress.units.items():
            if unit.state is UnitState.ASSIGNED:
                self.stop(parse_unit(job_id, key), state.name.lower())
        JOBS_ENDED.labels(state.name.lower()).inc()
        self.workers.quarantine.note_final(job_id, is_faulty=state is BatchState.FAILED)
        logger.info("event=job_ended job=%s state=%s reason=%s", job_id, state.name, reason)

    # Workers.

    def _interrupt(self, worker: TargetId, report: WorkerReport) -> None:
        """Stop work that would not end, or not in time, on this worker."""
        for task, run in list(self.runs_by_worker.get(worker, {}).items()):
            step, unit = self.step_of(run.ref), self._unit(run.ref)
            reason = reason_to_stop(step, unit, task, report, self.now_ms)
            if reason:
                self.stop(run.ref, reason)
