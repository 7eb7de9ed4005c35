"""Planning of units on workers, without calls to the store or to other services.

A unit is a gang, or a task outside of gangs. The planner holds the jobs, the workers and the
:class:`Cell` of :mod:`chicorycrank.policy`. Its caller applies changes, requests a plan and writes
the changed records.
"""

import logging
from collections import Counter
from collections.abc import Collection, Iterator, Mapping

from chicorycrank.batch.drains import stop_units
from chicorycrank.batch.job_turns import postponed_units
from chicorycrank.batch.job_units import JobUnits
from chicorycrank.batch.planner_state import (
    MAX_DECISION_PASSES,
)
from chicorycrank.batch.rate_records import record_rates, update_speeds
from chicorycrank.batch.stop_reasons import NO_PROGRESS, stop_reason
from chicorycrank.batch.unit_lifecycle import UnitLifecycle
from chicorycrank.batch.units import (
    UnitRef,
    parse_unit_key,
)
from chicorycrank.model.batch import (
    FINAL_BATCH_STATES,
    BatchState,
    Progress,
    Submission,
    TaskEnd,
    UnitState,
    WorkerReport,
    WorkerState,
)
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import MemberPlacement
from chicorycrank.policy.decide import MAX_DECISIONS
from chicorycrank.policy.decisions import Decision, Evict, EvictionCause, Start

# After so many passes at the limit of decisions, jobs that have started units in a plan come last.
PASSES_IN_FULL_ORDER = MAX_DECISION_PASSES // 2

logger = logging.getLogger("absl")


class Planner(UnitLifecycle):
    """Decisions of the leader on units; not safe for concurrent use."""

    def add_job(self, job: Submission, progress: Progress | None) -> None:
        """Add a job and restore the allocations of its running units."""
        if job.job_id in self.jobs_by_id:
            return
        self.jobs_by_id[job.job_id] = job
        self.progress_by_id[job.job_id] = progress = progress or Progress()
        self.units_by_id[job.job_id] = JobUnits(job, progress)
        self.crashes.restore(job.job_id, progress)
        self.interruptions.restore(progress)
        for key, unit in progress.units.items():
            if unit.places:
                self.restore_allocation(parse_unit_key(job.job_id, key), unit)
        if progress.state not in FINAL_BATCH_STATES:
            self.active_jobs[job.job_id] = None
            self._restore_failures(job.job_id, progress)
            self.jobs_with_other_limits.add(job.job_id)

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
            self.end_job(job_id, BatchState.CANCELLED, "cancelled")

    def apply_report(self, worker: TargetId, report: WorkerReport) -> None:
        """Apply a worker's report and record the task ends that it contains."""
        replaced = self.workers.replaced_incarnation(worker, report)
        record_rates(self, worker, report)
        self.interruptions.record(worker, report, self.now_s, self.now_ms)
        self.workers.apply_report(worker, report)
        for end in report.ends:
            self._record_end(worker, end)
        is_gone = report.state is WorkerState.GONE
        for task, member in list(self.members_by_worker.get(worker, {}).items()):
            unit = self.unit_of(member.ref)
            place = unit.places[member.place_index]
            if report.incarnation and (is_gone or place.incarnation != report.incarnation):
                self.end_lost_run(worker, task, member)
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
            self.end_lost_run(worker, task, member)

    def record_end(self, worker: TargetId, end: TaskEnd) -> None:
        """Record the end of a run; ignore it if the run is not assigned to this worker.

        Run numbers of a task are unique, so an end from an earlier incarnation of the executor
        cannot be mistaken for the end of a later run.
        """
        self._record_end(worker, end)
        self.crashes.record_crashes(self, worker)

    def plan(self) -> None:
        """Start and stop units; :attr:`changes` collects the changed records."""
        self._fail_exhausted_jobs()
        self.crashes.end_old_tests(self)
        for job_id, reason in self.crashes.find_culprits(self):
            self.fail_job(job_id, "crashes", reason)
        for job_id in self.active_jobs:
            self.units_by_id[job_id].discard_done()
        update_speeds(self)
        stop_units(self, self.drains.workers())
        self.interruptions.update_metrics(self.now_s)
        self.order_sizes.begin_plan()
        self.workers.testing = self.crashes.testing_workers(self)
        self.workers.full = self.order_sizes.full_workers()
        self.workers.update_all_availability()
        self.cell.headroom = self.job_builder.headroom_workers(self)
        self.cell.jobs_within_quota = self.job_builder.units_within_quota(self)
        # A unit that a pass stops waits again only after its runs have ended, in a later plan.
        waiting = dict.fromkeys(self.waiting_units())
        started_on: set[TargetId] = set()
        started_jobs: set[JobId] = set()
        steady_jobs, self.jobs_with_ends = self.jobs_with_ends, set()
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
            full = self.workers.full | set(filter(self.order_sizes.is_full, started_on))
            if (self.workers.testing, self.workers.full) != (testing, full):
                self.workers.testing, self.workers.full = testing, full
                self.workers.update_all_availability()

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
            self.order_sizes.has_room(worker, ref.job_id, count * size)
            for worker, count in tasks_by_worker.items()
        ):
            return False
        unit = self.progress_by_id[ref.job_id].units.get(ref.key)
        return not (self.crashes.needs_test(self, ref, unit) and workers & started_on)

    def waiting_units(self) -> Iterator[UnitRef]:
        """Yield the units on which a plan decides."""
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
                self.start_unit(ref, decision)
                return True
            case Evict():
                running = self.cell.running_by_id.get(decision.job_id)
                if running is None:
                    return False
                if decision.cause is EvictionCause.URGENT:
                    self.cell.record_eviction(decision.job_id, self.now_s)
                # In the cell, a job id is <job>.<unit key>.
                job_id, _, key = decision.job_id.partition(".")
                ref = parse_unit_key(JobId(job_id), key)
                self.stop_unit(ref, f"{decision.cause.value} for {decision.for_job}")
                return True

    def _restore_failures(self, job_id: JobId, progress: Progress) -> None:
        """Count the recorded failures of unfinished units, so that a takeover ends no quarantine.

        A worker that has recovered meanwhile is probed again after the shortest delay.
        """
        for unit in progress.units.values():
            for worker in unit.failed_on if unit.state is not UnitState.DONE else ():
                self.workers.quarantine.record_failure(worker, job_id, "failed in an earlier term")

    def _fail_exhausted_jobs(self) -> None:
        """End the jobs of which a waiting unit has used up the attempts that its queue now allows.

        A unit that runs may still end as done.
        """
        for job_id in self.active_jobs.keys() & self.jobs_with_other_limits:
            max_attempts = self.queue_of(self.jobs_by_id[job_id]).max_attempts
            for unit in self.progress_by_id[job_id].units.values():
                if unit.state is UnitState.WAITING and unit.failures >= max_attempts:
                    unit.state = UnitState.FAILED
                    self.update_job_state(job_id, unit)
                    break
        self.jobs_with_other_limits.clear()

    def _stop_affected_units(self, worker: TargetId, report: WorkerReport) -> None:
        """Stop units that are stalled on this worker, or that may not stay as it drains."""
        for task, member in list(self.members_by_worker.get(worker, {}).items()):
            step, unit = self.step_of(member.ref), self.unit_of(member.ref)
            reason = stop_reason(step, task, report)
            # A run that is stopped already may make no progress while it stops.
            is_stall = reason == NO_PROGRESS and unit.state is UnitState.ASSIGNED
            if reason:
                self.stop_unit(member.ref, reason)
            # A gang may be held up by any of its workers.
            if is_stall and len({place.worker for place in unit.places}) == 1:
                self.workers.quarantine.record_stall(worker, member.ref.job_id, reason)
        self.drains.record(worker, report, self.now_s)
        stop_units(self, (worker,))
