"""Rules by which urgent jobs outside guarantees start, evict other work or reserve accelerators."""

from collections import Counter
from dataclasses import replace
from math import inf

from chicorycrank.model.ids import TargetId
from chicorycrank.model.jobs import WorkKind
from chicorycrank.policy.backfill import reserve
from chicorycrank.policy.cell import QueuedJob
from chicorycrank.policy.decision_pass import MAX_RESERVATIONS_TRIED, DecisionPass
from chicorycrank.policy.decisions import EvictionCause
from chicorycrank.policy.eviction import EvictionPlan, plan_for_urgent
from chicorycrank.policy.pool import WorkerMasks
from chicorycrank.policy.preferred_placement import find_preferred_placement

# Batch jobs run for seconds. What keeps accelerators for longer than this are long-running tasks,
# which may never end, so a standing reservation would keep the free accelerators idle for nothing.
MAX_STANDING_WAIT_S = 300.0
# Bounds the time of a pass if many late jobs fit nowhere. Jobs that hold a reservation come first.
MAX_STANDING_TRIED = 8


class UrgentDecisions(DecisionPass):
    """Pass with the rules for urgent jobs."""

    def decide_urgent(self, job: QueuedJob) -> None:
        """Start an urgent job, evict work for it, or reserve accelerators for it."""
        if self.standing.holds(job.job_id):
            self.standing.release(job.job_id)
            # An equal job may have found no room beside this reservation.
            self.keys_without_placement.clear()
        if self._start_on_preferred(job):
            return
        if job.job_id in self.cell.jobs_within_quota and self.standing.reservations():
            # The quota of a team comes before the reservations of jobs that are late.
            self.keys_without_placement.clear()
            with self.standing.suspended():
                if self._start_on_preferred(job):
                    return
        self._reserve_urgent(job)

    def _start_on_preferred(self, job: QueuedJob) -> bool:
        """Start an urgent job or evict work for it, on the workers that it prefers if possible."""
        if job.preferred:
            # Work on fast workers is evicted before the job starts on slow ones.
            rule = job.rule.restricted_to(job.preferred[-1])
            if self._start_or_evict(replace(job, rule=rule, preferred=job.preferred[:-1])):
                return True
        return self._start_or_evict(replace(job, preferred=()))

    def _start_or_evict(self, job: QueuedJob) -> bool:
        """Start an urgent job on allowed workers or evict work from them; false if neither."""
        worker_masks = self.find_free(job)
        if worker_masks is not None:
            self.start(job, worker_masks, WorkKind.BORROWED)
            return True
        worker_masks = self._find_free_or_stopping(job)
        if worker_masks is not None:
            self.claim(worker_masks, job)
            return True
        if job.is_late_urgent and job.job_id not in self.cell.jobs_within_quota:
            return False
        max_lost_s = inf if job.job_id in self.cell.jobs_within_quota else job.max_lost_s

        def is_allowed(plan: EvictionPlan) -> bool:
            members_by_worker = Counter(worker for worker, _ in plan.worker_masks)
            return (
                plan.lost_accelerator_s <= max_lost_s
                and self.is_compatible_with_pass(plan)
                and self.cell.can_begin(job.job_id, members_by_worker, plan.victims)
            )

        plan = plan_for_urgent(self.cell, job, self.now_s, self.taken_masks(), is_allowed)
        if plan is None:
            return False
        self.apply_plan(job, plan, EvictionCause.URGENT)
        return True

    def _reserve_urgent(self, job: QueuedJob) -> None:
        """Reserve the accelerators that will become free first, which keeps other jobs off them.

        The reservation of a late job stands until the job starts, unless a long-running task is on
        its accelerators.
        """
        if job.is_late_urgent:
            self.standing_reservations_tried += 1
            if self.standing.has_room and self.standing_reservations_tried <= MAX_STANDING_TRIED:
                reservation = reserve(self.cell, job, self.now_s, self.taken_masks())
                wait_s = reservation.expected_start_s - self.now_s if reservation else inf
                if reservation is not None and wait_s <= MAX_STANDING_WAIT_S:
                    self.standing.withhold(reservation, job.shape)
            return
        self.urgent_reservations_tried += 1
        if self.urgent_reservations_tried > MAX_RESERVATIONS_TRIED:
            return
        reservation = reserve(self.cell, job, self.now_s, self.taken_masks())
        if reservation is not None:
            self.urgent_reservations.append(reservation)
            self.claimed_free.add(reservation.worker_masks, job.shape)

    def _find_free_or_stopping(self, job: QueuedJob) -> WorkerMasks | None:
        """Find a placement on accelerators that are free or used by jobs that are stopping."""
        if not self.cell.stopping:
            return None
        added: list[tuple[TargetId, int, int, int]] = []
        free = self.cell.free
        for job_id in self.cell.stopping:
            job_shape = self.cell.running_by_id[job_id].job.shape
            for worker, mask in self.cell.worker_masks(job_id):
                mask &= self.unclaimed_mask(worker)
                if worker in free.masks and mask:
                    values = (worker, mask, job_shape.cores, job_shape.memory_gb)
                    free.release(*values)
                    added.append(values)
        worker_masks = find_preferred_placement(free, job)
        for values in added:
            free.allocate(*values)
        return worker_masks
