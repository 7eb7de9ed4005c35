"""Decides which queued jobs start where and which running jobs are evicted."""

from collections.abc import Sequence
from math import inf

from chicorycrank.model.ids import JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape, WorkKind
from chicorycrank.policy.backfill import overrun_victims, reserve
from chicorycrank.policy.cell import Cell, QueuedJob, Reservation, RunningJob
from chicorycrank.policy.decisions import REASONS, Decision, Evict, EvictionCause, Start
from chicorycrank.policy.eviction import EvictionPlan, plan_for_spots, plan_for_urgent
from chicorycrank.policy.fairness import fair_order, within_team_order
from chicorycrank.policy.headroom import Headroom
from chicorycrank.policy.holds import Holds
from chicorycrank.policy.home import Home, fit_home
from chicorycrank.policy.placement import PlacementRule, find_spots, placement_of
from chicorycrank.policy.pool import Spots

MAX_DECISIONS = 16  # bounds the time of a pass when much becomes free at once
MAX_RESERVATIONS = 1
RESERVATIONS_TRIED = 2  # bounds the time if the oldest jobs fit nowhere


FitKey = tuple[GangShape, PlacementRule, bool]


def decide(cell: Cell, queue: Sequence[QueuedJob], now_s: float) -> list[Decision]:
    """Return the decisions for the current state; the caller applies them to the cell.

    The caller applies a ``Start`` with ``Cell.start`` and an ``Evict`` with
    ``Cell.mark_stopping``, in the order given, and then decides again: a pass stops after
    ``MAX_DECISIONS``.
    """
    cell.settle()
    cell.homes.journal.clear()
    work = _Pass(cell, now_s)
    try:
        work.run(queue)
    finally:
        work.undo()
    return work.decisions


class _Pass:
    """One decision pass: changes the cell while it decides and then undoes the changes."""

    def __init__(self, cell: Cell, now_s: float) -> None:
        self.cell = cell
        self.now_s = now_s
        self.decisions: list[Decision] = []
        self.started: list[JobId] = []
        self.stopped: list[RunningJob] = []
        self.held = Holds(cell.free)
        self.held_reclaimable = Holds(cell.reclaimable)
        self.urgent_reservations: list[Reservation] = []
        self.urgent_reservations_tried = 0
        self.waiting_for_evictions: set[JobId] = set()
        self.claimed: dict[TargetId, int] = {}
        self.reservations: list[Reservation] = []
        self.reservations_tried = 0
        self.reserved = Holds(cell.free)
        self.headroom = Headroom(cell)
        self.unfit: set[FitKey] = set()
        self.unfit_lifted: set[FitKey] = set()
        self.unfit_homes: set[tuple[TeamId, GangShape]] = set()

    def run(self, queue: Sequence[QueuedJob]) -> None:
        """Decide for urgent jobs, then jobs inside guarantees, then the rest."""
        before = self.cell.evicted_for
        self._hold_reserved(queue)
        # Jobs for which work was evicted come first: whoever else took the place would be
        # evicted in turn.
        for job in sorted(queue, key=self._turn):
            if self._is_full() or (job.job_id not in self.cell.evicted_for and not job.urgent):
                break
            if not self._guaranteed(job) and job.urgent:
                self.reserved.lift()
                self._urgent(job)
        self.reserved.lift()
        self.headroom.hold()
        self._hold_reserved(queue)
        normal = [job for job in queue if not job.urgent and not self._is_done(job)]
        normal = within_team_order(self.cell, normal, self.now_s)
        rest = [job for job in normal if self._is_full() or not self._guaranteed(job)]
        self._reserve_oldest(rest)
        for priority in sorted({job.priority for job in rest}):
            same = [job for job in rest if job.priority == priority]
            for job in fair_order(self.cell, same, self.now_s):
                if self._is_full():
                    break
                self._borrowed(job)
        self.cell.evicted_for = self.waiting_for_evictions
        if self._is_full():
            unseen = {job.job_id for job in queue if not self._is_done(job)}
            self.cell.evicted_for |= before & unseen
        reservations = [*self.urgent_reservations, *self.reservations]
        if reservations or not self._is_full():
            self.cell.reservations_by_id = {held.job_id: held for held in reservations}

    def _is_full(self) -> bool:
        return len(self.decisions) >= MAX_DECISIONS

    def _turn(self, job: QueuedJob) -> tuple[bool, bool, bool, float, float, JobId]:
        return (
            job.job_id not in self.cell.evicted_for,
            not job.urgent,
            job.job_id not in self.cell.protected,
            job.precedence,
            job.submitted_s,
            job.job_id,
        )

    def _is_done(self, job: QueuedJob) -> bool:
        return job.job_id in self.waiting_for_evictions or job.job_id in self.cell.running_by_id

    def undo(self) -> None:
        """Put the cell back to where it was."""
        self.held.lift()
        self.held_reclaimable.lift()
        self.reserved.lift()
        self.headroom.lift()
        for job_id in reversed(self.started):
            self.cell.take_back(job_id)
        self.cell.homes.undo_moves()
        for running in self.stopped:
            self.cell.running_by_id[running.job.job_id] = running
            self.cell.stopping.pop(running.job.job_id, None)

    # Jobs inside guarantees.

    def _guaranteed(self, job: QueuedJob) -> bool:
        """Start a job in a home of its team, or wait for evictions there.

        :returns: false if the job is not inside a guarantee
        """
        inside = self.cell.homes.fitting(job.team, job.shape)
        key = (job.team, job.shape)
        if not inside or key in self.unfit_homes:
            return False
        if self._start_at_home(job, inside):
            return True
        if any(not home.jobs for home in inside) and self._start_elsewhere(job):
            return True
        if self.reserved:
            self.reserved.lift()
            if self._start_at_home(job, inside):
                return True
        plan = self._plan_at_home(job, inside)
        if plan is None:
            self.unfit_homes.add(key)
            return False
        self._evict(job, plan, EvictionCause.GUARANTEE)
        return True

    def _start_at_home(self, job: QueuedJob, homes: list[Home]) -> bool:
        free = self.cell.free.masks
        for home in homes:
            spots = fit_home(home, job.shape, free, self.cell.free)
            if spots is not None and self._has_room(spots, job.shape):
                self._start(job, spots, WorkKind.GUARANTEED)
                return True
        return False

    def _start_elsewhere(self, job: QueuedJob) -> bool:
        """Start a guaranteed job on free accelerators to which a home of its team can move."""
        spots = self._find(job)
        if spots is None:
            return False
        cell = self.cell
        running = self._running(job, spots, WorkKind.GUARANTEED)
        cell.start(running)
        if cell.is_evictable(job.job_id):
            cell.take_back(job.job_id)
            return False
        self._record(running)
        return True

    def _plan_at_home(self, job: QueuedJob, homes: list[Home]) -> EvictionPlan | None:
        plans = []
        soon = self._soon_free(homes)
        unclaimed = {worker: self._unclaimed(worker) for worker in soon}
        for home in homes:
            for usable in (soon, unclaimed):
                spots = fit_home(home, job.shape, usable, self.cell.free)
                plan = spots and plan_for_spots(
                    self.cell, spots, job.shape, self.now_s, spare_urgent=False
                )
                if plan and self._is_open_plan(plan) and not self._is_own(plan, job.team):
                    plans.append(plan)
                    break
        return min(plans, key=lambda plan: (plan.lost_s, len(plan.victims)), default=None)

    def _is_own(self, plan: EvictionPlan, team: TeamId) -> bool:
        """Whether a plan evicts work of the team that it is for."""
        running = self.cell.running_by_id
        return any(running[victim].job.team == team for victim in plan.victims)

    def _soon_free(self, homes: list[Home]) -> dict[TargetId, int]:
        masks: dict[TargetId, int] = {}
        for home in homes:
            for worker, _ in home.spots or ():
                masks[worker] = self.cell.free.masks.get(worker, 0)
                for job_id, mask in self.cell.masks_by_worker.get(worker, {}).items():
                    if job_id in self.cell.stopping:
                        masks[worker] |= mask & self._unclaimed(worker)
        return masks

    # Urgent jobs outside guarantees.

    def _urgent(self, job: QueuedJob) -> None:
        spots = self._find(job)
        if spots is not None:
            self._start(job, spots, WorkKind.BORROWED)
            return
        spots = self._find_soon(job)
        if spots is not None:
            self._claim(spots, job)
            return
        plan = plan_for_urgent(self.cell, job, self.now_s, self.claimed)
        may_lose = inf if job.job_id in self.cell.protected else job.max_lost_s
        if plan is not None and plan.lost_s <= may_lose and self._is_open_plan(plan):
            self._evict(job, plan, EvictionCause.URGENT)
        else:
            self._reserve_urgent(job)

    def _reserve_urgent(self, job: QueuedJob) -> None:
        """Keep the accelerators that are free soonest from jobs that are not urgent."""
        self.urgent_reservations_tried += 1
        if self.urgent_reservations_tried > RESERVATIONS_TRIED:
            return
        reservation = reserve(self.cell, job, self.now_s)
        if reservation is not None:
            self.urgent_reservations.append(reservation)
            self.held.add(reservation.spots, job.shape)

    def _find_soon(self, job: QueuedJob) -> Spots | None:
        """Find a place among free accelerators and those of jobs that stop."""
        if not self.cell.stopping:
            return None
        given: list[tuple[TargetId, int, int, int]] = []
        free = self.cell.free
        for job_id in self.cell.stopping:
            job_shape = self.cell.running_by_id[job_id].job.shape
            for worker, mask in self.cell.spots(job_id):
                mask &= self._unclaimed(worker)
                if worker in free.masks and mask:
                    values = (worker, mask, job_shape.cores, job_shape.memory_gb)
                    free.give(*values)
                    given.append(values)
        spots = find_spots(free, job.shape, job.rule)
        for values in given:
            free.take(*values)
        return spots

    # The rest.

    def _borrowed(self, job: QueuedJob) -> None:
        if job.job_id in self.cell.running_by_id:
            return
        if _fit_key(job) not in self.unfit:
            spots = self._find(job)
            if spots is not None:
                self._start(job, spots, WorkKind.BORROWED)
                return
        if len(self.reservations) < MAX_RESERVATIONS:
            self._reserve(job)
        elif self.reservations and _fit_key(job) not in self.unfit_lifted:
            self._backfill(job)

    def _hold_reserved(self, queue: Sequence[QueuedJob]) -> None:
        """Keep earlier reservations from jobs that could start elsewhere."""
        if self.reserved or not self.cell.reservations_by_id:
            return
        waiting = {job.job_id for job in queue}
        for reservation in self.cell.reservations_by_id.values():
            if reservation.job_id in waiting:
                self.reserved.add(reservation.spots, None)

    def _reserve_oldest(self, rest: Sequence[QueuedJob]) -> None:
        """Start the oldest jobs, or reserve accelerators for the first that does not fit."""
        self.reserved.lift()
        for job in sorted(rest, key=lambda job: (job.submitted_s, job.job_id)):
            if self._is_full():
                return
            spots = self._find(job)
            if spots is None:
                self._reserve(job)
                return
            self._start(job, spots, WorkKind.BORROWED)

    def _reserve(self, job: QueuedJob) -> None:
        self.reservations_tried += 1
        if self.reservations_tried > RESERVATIONS_TRIED:
            return
        reservation = reserve(self.cell, job, self.now_s)
        if reservation is None:
            return
        self.reservations.append(reservation)
        for victim in overrun_victims(self.cell, reservation, self.now_s):
            self._stop(victim, job, EvictionCause.OVERRUN)
        self.reserved.add(reservation.spots, job.shape)

    def _backfill(self, job: QueuedJob) -> None:
        """Start a job on reserved accelerators if it is expected to end in time."""
        expected_s = self.cell.estimates.correct(job.team, job.run_time_s)
        if self.now_s + expected_s > min(held.start_s for held in self.reservations):
            return
        self.reserved.lift()
        spots = self.headroom.find_outside(job)
        if spots is None:
            self.unfit_lifted.add(_fit_key(job))
        else:
            self._start(job, spots, WorkKind.BORROWED, backfill=True)
        for held in self.reservations:
            self.reserved.add(held.spots, None)

    # Changes to the cell, all undone at the end.

    def _find(self, job: QueuedJob) -> Spots | None:
        key = _fit_key(job)
        if key in self.unfit:
            return None
        spots = self.headroom.find_outside(job)
        if spots is None:
            self.unfit.add(key)
        return spots

    def _has_room(self, spots: Spots, shape: GangShape) -> bool:
        workers = [worker for worker, _ in spots]
        return all(
            self.cell.free.room(worker, shape) >= workers.count(worker) for worker in set(workers)
        )

    def _running(
        self, job: QueuedJob, spots: Spots, kind: WorkKind, backfill: bool = False
    ) -> RunningJob:
        return RunningJob(
            job=job,
            placement=placement_of(spots),
            kind=kind,
            started_s=self.now_s,
            backfill=backfill,
        )

    def _start(
        self, job: QueuedJob, spots: Spots, kind: WorkKind, *, backfill: bool = False
    ) -> None:
        running = self._running(job, spots, kind, backfill)
        self.cell.start(running)
        self._record(running)
        if not job.urgent:
            self.headroom.hold()

    def _record(self, running: RunningJob) -> None:
        job_id = running.job.job_id
        self.started.append(job_id)
        self.decisions.append(
            Start(
                job_id=job_id,
                placement=running.placement,
                kind=running.kind,
                backfill=running.backfill,
            )
        )

    def _evict(self, job: QueuedJob, plan: EvictionPlan, cause: EvictionCause) -> None:
        for victim in plan.victims:
            self._stop(victim, job, cause)
        self._claim(plan.spots, job)

    def _claim(self, spots: Spots, job: QueuedJob) -> None:
        """Keep accelerators that evictions free for the job that needs them."""
        self.waiting_for_evictions.add(job.job_id)
        self.held.add(spots, job.shape)
        self.held_reclaimable.add(spots, job.shape)
        for worker, mask in spots:
            self.claimed[worker] = self.claimed.get(worker, 0) | mask

    def _stop(self, victim: JobId, job: QueuedJob, cause: EvictionCause) -> None:
        if victim in self.started:
            raise AssertionError(f"job {victim} starts and is evicted in one decision")
        self.stopped.append(self.cell.running_by_id[victim])
        self.cell.mark_stopping(victim)
        reason = REASONS[cause].format(team=job.team)
        self.decisions.append(Evict(job_id=victim, for_job=job.job_id, cause=cause, reason=reason))

    def _unclaimed(self, worker: TargetId) -> int:
        return ~self.claimed.get(worker, 0)

    def _is_open_plan(self, plan: EvictionPlan) -> bool:
        """Whether a plan needs nothing that this pass has given to another job."""
        if any(victim in self.started for victim in plan.victims):
            return False
        return not any(mask & ~self._unclaimed(worker) for worker, mask in plan.spots)


def _fit_key(job: QueuedJob) -> FitKey:
    return job.shape, job.rule, job.can_wait
