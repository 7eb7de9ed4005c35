"""State of a decision pass, and the changes to the cell that a pass makes and reverts."""

from chicorycrank.model.ids import JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape, WorkKind
from chicorycrank.policy.cell import Cell, QueuedJob, Reservation, RunningJob
from chicorycrank.policy.decisions import EVICTION_REASONS, Decision, Evict, EvictionCause, Start
from chicorycrank.policy.eviction import EvictionPlan
from chicorycrank.policy.headroom import Headroom
from chicorycrank.policy.placement import PlacementRule, placement_of
from chicorycrank.policy.pool import WorkerMasks
from chicorycrank.policy.standing_reservations import StandingReservations
from chicorycrank.policy.withheld_capacity import WithheldCapacity

MAX_RESERVATIONS_TRIED = 2  # bounds the time of a pass if the oldest jobs fit nowhere
MAX_DECISIONS = 16  # bounds the time of a pass when many accelerators become free at once

# Shape, placement rule and ``can_wait`` of a job. Jobs with equal keys fit on the same
# accelerators, so a failed search is not repeated for them.
FitKey = tuple[GangShape, PlacementRule, bool]


class DecisionPass:
    """Decisions of a pass, which are applied to the cell and reverted in ``undo``."""

    def __init__(self, cell: Cell, now_s: float) -> None:
        self.cell = cell
        self.now_s = now_s
        self.decisions: list[Decision] = []
        self.started_ids: list[JobId] = []
        self.evicted_jobs: list[RunningJob] = []
        # Free accelerators claimed for jobs that wait for evictions and for urgent reservations.
        self.claimed_free = WithheldCapacity(cell.free)
        # Reclaimable accelerators claimed for jobs that wait for evictions.
        self.claimed_reclaimable = WithheldCapacity(cell.reclaimable)
        self.standing = StandingReservations(cell)
        self.standing_reservations_tried = 0
        self.urgent_reservations: list[Reservation] = []
        self.urgent_reservations_tried = 0
        self.waiting_for_evictions: set[JobId] = set()
        self.claimed_mask_by_worker: dict[TargetId, int] = {}
        self.reservations: list[Reservation] = []
        self.reservations_tried = 0
        # Free accelerators of reservations, released while a job that may use them is placed.
        self.reserved_free = WithheldCapacity(cell.free)
        self.headroom = Headroom(cell)
        self.keys_without_placement: set[FitKey] = set()
        self.keys_without_placement_even_on_reserved: set[FitKey] = set()
        self.keys_without_guarantee_placement: set[tuple[TeamId, GangShape]] = set()

    def has_reached_decision_limit(self) -> bool:
        """Return whether the pass may make no further decision."""
        return len(self.decisions) >= MAX_DECISIONS

    def undo(self) -> None:
        """Restore the state that the cell had before the pass."""
        self.claimed_free.release()
        self.claimed_reclaimable.release()
        self.standing.release_all()
        self.reserved_free.release()
        self.headroom.release()
        for job_id in reversed(self.started_ids):
            self.cell.undo_start(job_id)
        self.cell.guarantee_placements.undo_moves()
        for running in self.evicted_jobs:
            self.cell.running_by_id[running.job.job_id] = running
            self.cell.stopping.pop(running.job.job_id, None)

    def find_free(self, job: QueuedJob) -> WorkerMasks | None:
        """Find a placement on free accelerators; a failed search is not repeated for equal jobs."""
        key = fit_key(job)
        if key in self.keys_without_placement:
            return None
        worker_masks = self.headroom.find_placement(job)
        if worker_masks is None:
            self.keys_without_placement.add(key)
        return worker_masks

    def has_room(self, worker_masks: WorkerMasks, shape: GangShape) -> bool:
        """Return whether the free cores and memory of the workers suffice for a placement."""
        workers = [worker for worker, _ in worker_masks]
        return all(
            self.cell.free.member_limit(worker, shape) >= workers.count(worker)
            for worker in set(workers)
        )

    def make_running_job(
        self, job: QueuedJob, worker_masks: WorkerMasks, kind: WorkKind, backfill: bool = False
    ) -> RunningJob:
        """Return a job as it runs if this pass starts it."""
        return RunningJob(
            job=job,
            placement=placement_of(worker_masks),
            kind=kind,
            started_s=self.now_s,
            backfill=backfill,
        )

    def start(
        self, job: QueuedJob, worker_masks: WorkerMasks, kind: WorkKind, *, backfill: bool = False
    ) -> None:
        """Start a job in the cell and add that to the decisions."""
        running = self.make_running_job(job, worker_masks, kind, backfill)
        self.cell.start(running)
        self.record(running)
        if not job.urgent:
            self.headroom.withhold()

    def record(self, running: RunningJob) -> None:
        """Add a start to the decisions."""
        job_id = running.job.job_id
        self.started_ids.append(job_id)
        self.decisions.append(
            Start(
                job_id=job_id,
                placement=running.placement,
                kind=running.kind,
                backfill=running.backfill,
            )
        )

    def apply_plan(self, job: QueuedJob, plan: EvictionPlan, cause: EvictionCause) -> None:
        """Evict the victims of a plan and withhold what they free for the job."""
        for victim in plan.victims:
            self.evict_job(victim, job, cause)
        self.claim(plan.worker_masks, job)

    def claim(self, worker_masks: WorkerMasks, job: QueuedJob) -> None:
        """Withhold accelerators that evictions free for the job that needs them."""
        self.waiting_for_evictions.add(job.job_id)
        self.claimed_free.add(worker_masks, job.shape)
        self.claimed_reclaimable.add(worker_masks, job.shape)
        for worker, mask in worker_masks:
            self.claimed_mask_by_worker[worker] = self.claimed_mask_by_worker.get(worker, 0) | mask

    def evict_job(self, victim: JobId, job: QueuedJob, cause: EvictionCause) -> None:
        """Evict a running job for another job."""
        if victim in self.started_ids:
            raise AssertionError(f"job {victim} is started and evicted in the same decision pass")
        self.evicted_jobs.append(self.cell.running_by_id[victim])
        self.cell.mark_stopping(victim)
        reason = EVICTION_REASONS[cause].format(team=job.team)
        self.decisions.append(Evict(job_id=victim, for_job=job.job_id, cause=cause, reason=reason))

    def unclaimed_mask(self, worker: TargetId) -> int:
        """Return the accelerators of a worker that are claimed for no job and not reserved."""
        return ~(self.claimed_mask_by_worker.get(worker, 0) | self.standing.mask(worker))

    def taken_masks(self) -> dict[TargetId, int]:
        """Return the accelerators that are claimed or reserved for urgent jobs."""
        masks = dict(self.claimed_mask_by_worker)
        for worker, mask in self.standing.masks().items():
            masks[worker] = masks.get(worker, 0) | mask
        return masks

    def is_compatible_with_pass(self, plan: EvictionPlan) -> bool:
        """Return whether a plan evicts no job and uses no accelerator that this pass has assigned.

        Such a job was started in this pass, and such an accelerator was claimed in it.
        """
        if any(victim in self.started_ids for victim in plan.victims):
            return False
        return not any(mask & ~self.unclaimed_mask(worker) for worker, mask in plan.worker_masks)


def fit_key(job: QueuedJob) -> FitKey:
    """Return what determines where a job fits."""
    return job.shape, job.rule, job.can_wait
