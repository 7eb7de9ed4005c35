"""Starts, stops and ends of the runs of units, and the state of their jobs that follows."""

import logging

from chicorycrank.batch.metrics import (
    JOBS_ENDED,
    JOBS_FAILED,
    TASKS_ENDED,
    UNITS_STARTED,
    UNITS_STOPPED,
    WAIT_SECONDS,
)
from chicorycrank.batch.orders import choose_accelerators
from chicorycrank.batch.planner_state import (
    PlannerState,
)
from chicorycrank.batch.units import (
    NO_WORKER,
    Member,
    UnitRef,
    begin_run,
    failed_attempts,
    parse_unit_key,
    record_end,
)
from chicorycrank.model.batch import (
    FINAL_BATCH_STATES,
    BatchState,
    EndKind,
    Place,
    TaskEnd,
    Unit,
    UnitState,
)
from chicorycrank.model.ids import JobId, TargetId, TaskId
from chicorycrank.model.jobs import WorkKind
from chicorycrank.policy.cell import RunningJob
from chicorycrank.policy.decisions import Start
from chicorycrank.policy.eviction import lost_accelerator_s
from chicorycrank.policy.placement import placement_of

logger = logging.getLogger("absl")


class UnitLifecycle(PlannerState):
    """State of the planner with the changes that starts, stops and ends of runs make to it."""

    def start_unit(self, ref: UnitRef, decision: Start) -> None:
        """Assign a waiting unit to the workers of a decision under its next run number."""
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
        self.index_members(ref, unit)
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
        unit = self.unit_of(ref)
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
            self.order_sizes.record_stop(worker)
        logger.info(
            "event=unit_stopped job=%s unit=%s run=%d lost_s=%.1f reason=%s",
            ref.job_id,
            ref.key,
            unit.run,
            lost_s,
            reason,
        )

    def index_members(self, ref: UnitRef, unit: Unit) -> None:
        """Index the members of a placed unit by their workers."""
        tasks = ref.tasks(self.step_of(ref))
        size = self.units_by_id[ref.job_id].assignment_bytes
        for place_index, (task, place) in enumerate(zip(tasks, unit.places, strict=True)):
            if place != NO_WORKER:
                self.members_by_worker.setdefault(place.worker, {})[task] = Member(ref, place_index)
                self.order_sizes.add_run(place.worker, ref.job_id, size)
                self.changes.workers.add(place.worker)

    def restore_allocation(self, ref: UnitRef, unit: Unit) -> None:
        """Allocate accelerators in the cell to a unit that runs according to the records."""
        self.index_members(ref, unit)
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

    def end_lost_run(self, worker: TargetId, task: TaskId, member: Member) -> None:
        """Record a run as lost with its worker."""
        unit = self.unit_of(member.ref)
        logger.warning(
            "event=run_lost task=%s run=%d worker=%s lost_s=%.1f",
            task,
            unit.run,
            worker,
            lost_accelerator_s(self.cell, member.ref.name, self.now_s),
        )
        checkpoint = self.workers.reported_checkpoint(worker, task, unit.run)
        end = TaskEnd(task, unit.run, EndKind.LOST, checkpoint)
        self.record_member_end(worker, member, unit, end)

    def _record_end(self, worker: TargetId, end: TaskEnd) -> None:
        member = self.members_by_worker.get(worker, {}).get(end.task)
        if member is None:
            return
        unit = self.unit_of(member.ref)
        if unit.run != end.run:
            return
        self.record_member_end(worker, member, unit, end)

    def record_member_end(self, worker: TargetId, member: Member, unit: Unit, end: TaskEnd) -> None:
        """Record the end of a member of a unit, and what follows for the unit and its job."""
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
        self.order_sizes.remove_run(worker, units.assignment_bytes)
        self.jobs_with_ends.add(ref.job_id)
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
        self.update_job_state(ref.job_id, unit)

    def update_job_state(self, job_id: JobId, ended: Unit) -> None:
        """End a job if a unit of it has failed, or its last one is done."""
        progress = self.progress_by_id[job_id]
        if progress.state in FINAL_BATCH_STATES:
            return
        if ended.state is UnitState.FAILED:
            self.fail_job(job_id, "attempts", failed_attempts(job_id, progress))
        elif self.units_by_id[job_id].is_complete:
            self.end_job(job_id, BatchState.COMPLETED, "")

    def fail_job(self, job_id: JobId, cause: str, reason: str) -> None:
        """End a job as failed.

        :param cause: label of the metric
        :param reason: reason for its callers
        """
        JOBS_FAILED.labels(cause).inc()
        self.end_job(job_id, BatchState.FAILED, reason)
        if cause == "crashes":
            self.crashes.clear_others(self, job_id)

    def end_job(self, job_id: JobId, state: BatchState, reason: str) -> None:
        """End a job in a final state and stop its running units."""
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
