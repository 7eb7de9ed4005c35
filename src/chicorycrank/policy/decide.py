"""Decisions on which queued jobs start where and which running jobs are evicted.

A job, and the accelerators that it uses, are borrowed if it runs outside of its team's guarantees.
"""

from collections.abc import Sequence

from chicorycrank.model.ids import JobId, TargetId, TeamId
from chicorycrank.model.jobs import WorkKind
from chicorycrank.policy.backfill import overrun_victims, reserve
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decision_pass import MAX_DECISIONS, MAX_RESERVATIONS_TRIED, fit_key
from chicorycrank.policy.decisions import Decision, EvictionCause
from chicorycrank.policy.eviction import EvictionPlan, plan_for_placement
from chicorycrank.policy.fairness import fair_order, within_team_order
from chicorycrank.policy.guarantee_instance import GuaranteeInstance, fit_in_instance
from chicorycrank.policy.urgent_decisions import UrgentDecisions

__all__ = ["MAX_DECISIONS", "decide"]

MAX_RESERVATIONS = 1


def decide(cell: Cell, queue: Sequence[QueuedJob], now_s: float) -> list[Decision]:
    """Return the decisions for the current state without applying them.

    The caller applies a ``Start`` with ``Cell.start`` and an ``Evict`` with
    ``Cell.mark_stopping``, in the returned order. It then calls this function again, because a
    pass stops after ``MAX_DECISIONS``. This function only updates the reservations of the cell,
    its jobs that wait for evictions and the placements of its guarantee instances.
    """
    cell.place_guarantees()
    cell.guarantee_placements.journal.clear()
    decision_pass = _DecisionRules(cell, now_s)
    try:
        decision_pass.run(queue)
    finally:
        decision_pass.undo()
    return decision_pass.decisions


class _DecisionRules(UrgentDecisions):
    """Rules by which a pass decides on the jobs of a queue."""

    def run(self, queue: Sequence[QueuedJob]) -> None:
        """Decide on urgent jobs, then on jobs inside guarantees, then on all other jobs."""
        previously_waiting = self.cell.waiting_for_evictions
        self.standing.withhold_earlier(queue)
        self._withhold_reservations(queue)
        # Jobs that wait for evictions come first. If another job took the freed accelerators, it
        # would have to be evicted too.
        for job in sorted(queue, key=self._urgent_sort_key):
            if self.has_reached_decision_limit() or (
                job.job_id not in self.cell.waiting_for_evictions and not job.urgent
            ):
                break
            if not self._decide_guaranteed(job) and job.urgent:
                self.reserved_free.release()
                self.decide_urgent(job)
        self.reserved_free.release()
        self.headroom.withhold()
        self._withhold_reservations(queue)
        not_urgent = [
            job for job in queue if not job.urgent and not self._is_started_or_awaits_evictions(job)
        ]
        not_urgent = within_team_order(self.cell, not_urgent, self.now_s)
        other_jobs = [
            job
            for job in not_urgent
            if self.has_reached_decision_limit() or not self._decide_guaranteed(job)
        ]
        self._start_or_reserve_oldest(other_jobs)
        for priority in sorted({job.priority for job in other_jobs}):
            same_priority = [job for job in other_jobs if job.priority == priority]
            for job in fair_order(self.cell, same_priority, self.now_s):
                if self.has_reached_decision_limit():
                    break
                self._decide_borrowed(job)
        self.cell.waiting_for_evictions = self.waiting_for_evictions
        if self.has_reached_decision_limit():
            undecided = {
                job.job_id for job in queue if not self._is_started_or_awaits_evictions(job)
            }
            self.cell.waiting_for_evictions |= previously_waiting & undecided
        # The standing reservations of jobs that the pass has not reached stay as well.
        standing = self.standing.reservations()
        reservations = [*self.urgent_reservations, *self.reservations]
        # A pass that reached the decision limit may have ended before it made any reservation. The
        # earlier reservations then stay.
        if not reservations and self.has_reached_decision_limit():
            reservations = list(self.cell.reservations_by_id.values())
        self.cell.standing_by_id = {reservation.job_id: reservation for reservation in standing}
        self.cell.reservations_by_id = {
            reservation.job_id: reservation for reservation in [*reservations, *standing]
        }

    def _urgent_sort_key(self, job: QueuedJob) -> tuple[bool | float | JobId, ...]:
        return (
            job.job_id not in self.cell.waiting_for_evictions,
            not job.urgent,
            job.job_id not in self.cell.jobs_within_quota,
            not self.standing.holds(job.job_id),
            job.precedence,
            job.submitted_s,
            job.job_id,
        )

    def _is_started_or_awaits_evictions(self, job: QueuedJob) -> bool:
        return job.job_id in self.waiting_for_evictions or job.job_id in self.cell.running_by_id

    # Jobs inside guarantees.

    def _decide_guaranteed(self, job: QueuedJob) -> bool:
        """Start a job in a guarantee instance of its team, or evict borrowed work from one.

        :returns: false if the job does not fit into a guarantee of its team
        """
        instances = self.cell.guarantee_placements.instances_with_room(job.team, job.shape)
        key = (job.team, job.shape)
        if not instances or key in self.keys_without_guarantee_placement:
            return False
        if self._start_in_guarantee(job, instances):
            return True
        if any(not instance.jobs for instance in instances) and self._start_by_moving_instance(job):
            return True
        if self.reserved_free:
            self.reserved_free.release()
            if self._start_in_guarantee(job, instances):
                return True
        plan = self._plan_in_guarantee(job, instances)
        if plan is None:
            self.keys_without_guarantee_placement.add(key)
            return False
        self.apply_plan(job, plan, EvictionCause.GUARANTEE)
        return True

    def _start_in_guarantee(self, job: QueuedJob, instances: list[GuaranteeInstance]) -> bool:
        free = self.cell.free.masks
        for instance in instances:
            worker_masks = fit_in_instance(instance, job.shape, free, self.cell.free)
            if worker_masks is not None and self.has_room(worker_masks, job.shape):
                self.start(job, worker_masks, WorkKind.GUARANTEED)
                return True
        return False

    def _start_by_moving_instance(self, job: QueuedJob) -> bool:
        """Start a guaranteed job on free accelerators if an instance of its team can move there."""
        worker_masks = self.find_free(job)
        if worker_masks is None:
            return False
        cell = self.cell
        running = self.make_running_job(job, worker_masks, WorkKind.GUARANTEED)
        # ``Cell.start`` moves an instance to the job if possible; otherwise the job is borrowed and
        # thus evictable.
        cell.start(running)
        if cell.is_evictable(job.job_id):
            cell.undo_start(job.job_id)
            return False
        self.record(running)
        return True

    def _plan_in_guarantee(
        self, job: QueuedJob, instances: list[GuaranteeInstance]
    ) -> EvictionPlan | None:
        plans = []
        free_or_stopping = self._free_or_stopping_masks(instances)
        unclaimed_masks = {worker: self.unclaimed_mask(worker) for worker in free_or_stopping}
        for instance in instances:
            for usable in (free_or_stopping, unclaimed_masks):
                worker_masks = fit_in_instance(instance, job.shape, usable, self.cell.free)
                plan = worker_masks and plan_for_placement(
                    self.cell, worker_masks, job.shape, self.now_s, exempt_urgent=False
                )
                if (
                    plan
                    and self.is_compatible_with_pass(plan)
                    and not self._evicts_own_team(plan, job.team)
                ):
                    plans.append(plan)
                    break
        return min(
            plans, key=lambda plan: (plan.lost_accelerator_s, len(plan.victims)), default=None
        )

    def _evicts_own_team(self, plan: EvictionPlan, team: TeamId) -> bool:
        """Return whether a plan evicts work of the team that it is made for."""
        running = self.cell.running_by_id
        return any(running[victim].job.team == team for victim in plan.victims)

    def _free_or_stopping_masks(self, instances: list[GuaranteeInstance]) -> dict[TargetId, int]:
        """Return the accelerators of instances' workers that are free or used by stopping jobs.

        Those of stopping jobs that this pass has claimed for another job are excluded.
        """
        masks: dict[TargetId, int] = {}
        for instance in instances:
            for worker, _ in instance.worker_masks or ():
                masks[worker] = self.cell.free.masks.get(worker, 0)
                for job_id, mask in self.cell.masks_by_worker.get(worker, {}).items():
                    if job_id in self.cell.stopping:
                        masks[worker] |= mask & self.unclaimed_mask(worker)
        return masks

    # Other jobs: borrowed accelerators, reservations and backfill.

    def _decide_borrowed(self, job: QueuedJob) -> None:
        if job.job_id in self.cell.running_by_id:
            return
        if fit_key(job) not in self.keys_without_placement:
            worker_masks = self.find_free(job)
            if worker_masks is not None:
                self.start(job, worker_masks, WorkKind.BORROWED)
                return
        if len(self.reservations) < MAX_RESERVATIONS:
            self._reserve(job)
        elif self.reservations and fit_key(job) not in self.keys_without_placement_even_on_reserved:
            self._backfill(job)

    def _withhold_reservations(self, queue: Sequence[QueuedJob]) -> None:
        """Withhold the accelerators of earlier reservations, so that jobs start elsewhere."""
        if self.reserved_free or not self.cell.reservations_by_id:
            return
        waiting = {job.job_id for job in queue}
        for reservation in self.cell.reservations_by_id.values():
            if reservation.job_id in waiting and not self.standing.holds(reservation.job_id):
                # None withholds the accelerators only, without cores and memory.
                self.reserved_free.add(reservation.worker_masks, None)

    def _start_or_reserve_oldest(self, other_jobs: Sequence[QueuedJob]) -> None:
        """Start the oldest jobs until one does not fit; reserve accelerators for that one."""
        self.reserved_free.release()
        for job in sorted(other_jobs, key=lambda job: (job.submitted_s, job.job_id)):
            if self.has_reached_decision_limit():
                return
            worker_masks = self.find_free(job)
            if worker_masks is None:
                self._reserve(job)
                return
            self.start(job, worker_masks, WorkKind.BORROWED)

    def _reserve(self, job: QueuedJob) -> None:
        """Reserve accelerators for a job, and evict backfilled jobs that overrun on them."""
        self.reservations_tried += 1
        if self.reservations_tried > MAX_RESERVATIONS_TRIED:
            return
        reservation = reserve(self.cell, job, self.now_s, self.taken_masks())
        if reservation is None:
            return
        self.reservations.append(reservation)
        for victim in overrun_victims(self.cell, reservation, self.now_s):
            self.evict_job(victim, job, EvictionCause.OVERRUN)
        self.reserved_free.add(reservation.worker_masks, job.shape)

    def _backfill(self, job: QueuedJob) -> None:
        """Start a job on reserved accelerators if it is expected to end before they are needed."""
        expected_s = self.cell.estimates.expected_run_time_s(job.team, job.run_time_s)
        time_s = min(res.expected_start_s for res in self.reservations) - self.now_s
        if expected_s / max(self.cell.speed_by_worker.values(), default=1.0) > time_s:
            return
        self.reserved_free.release()
        worker_masks = self.headroom.find_placement(job)
        if worker_masks is None:
            self.keys_without_placement_even_on_reserved.add(fit_key(job))
        elif expected_s / self.cell.speed_on(worker for worker, _ in worker_masks) <= time_s:
            self.start(job, worker_masks, WorkKind.BORROWED, backfill=True)
        for reservation in self.reservations:
            self.reserved_free.add(reservation.worker_masks, None)  # accelerators only
