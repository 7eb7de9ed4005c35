"""Explanation of why a job waits and which jobs block it."""

from collections.abc import Sequence
from enum import Enum

from msgspec import Struct

from chicorycrank.model.config import Guarantee
from chicorycrank.model.ids import GuaranteeId, JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.backfill import expected_end_s
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision, Start
from chicorycrank.policy.placement import find_placement


class WaitCause(Enum):
    """Reason why a job waits."""

    STARTS_NOW = "starts_now"  # the next decision pass starts it
    EVICTION_RUNS = "eviction_runs"  # jobs whose accelerators it may use are being evicted
    NO_ROOM = "no_room"  # fewer accelerators are free than it needs
    FRAGMENTED = "fragmented"  # enough accelerators are free, but the gang does not fit on them
    RESERVED_FOR_OTHERS = "reserved_for_others"  # it would fit, but capacity is kept for other jobs


class Blocker(Struct, frozen=True, kw_only=True):
    """Running job on accelerators that a waiting job could use.

    :param accelerators: number of accelerators that the job uses in the whole cell
    :param expected_end_s: seconds from now until the job is expected to end
    """

    job_id: JobId
    team: TeamId
    accelerators: int
    borrowed: bool
    expected_end_s: float


class Explanation(Struct, frozen=True, kw_only=True):
    """Explanation of why a job waits.

    :param needs: shape of the job
    :param inside_guarantee: whether the job fits a guarantee instance of its team
    :param blockers: running jobs on the accelerators reserved for the job; all running jobs if
        nothing is reserved
    :param freed_by: jobs whose end frees accelerators for the job
    :param expected_wait_s: expected wait in seconds, if known
    """

    job_id: JobId
    cause: WaitCause
    needs: GangShape
    inside_guarantee: bool
    free_accelerators: int
    blockers: tuple[Blocker, ...] = ()
    freed_by: tuple[JobId, ...] = ()
    expected_wait_s: float | None = None


class DegradedGuarantee(Struct, frozen=True, kw_only=True):
    """Guarantee of which some instances cannot be placed now.

    :param missing: number of instances that cannot be placed
    """

    guarantee: GuaranteeId
    team: TeamId
    shape: GangShape
    missing: int
    count: int


def explain_wait(
    cell: Cell,
    queue: Sequence[QueuedJob],
    job_id: JobId,
    now_s: float,
    decisions: Sequence[Decision] | None = None,
) -> Explanation:
    """Return why a queued job waits.

    :param decisions: those of ``decide`` on the queue; made here if None
    :raises KeyError: the job is not in the queue
    """
    job = {queued.job_id: queued for queued in queue}[job_id]
    if decisions is None:
        decisions = decide(cell, queue, now_s)
    is_inside_guarantee = bool(cell.guarantee_placements.instances_with_room(job.team, job.shape))
    evicted = {
        decision.job_id
        for decision in decisions
        if not isinstance(decision, Start) and decision.for_job == job_id
    }
    reservation = cell.reservations_by_id.get(job_id)
    wait_s: float | None = None
    freed_by = sorted(evicted)
    if any(isinstance(decision, Start) and decision.job_id == job_id for decision in decisions):
        cause = WaitCause.STARTS_NOW
        wait_s = 0.0
    elif evicted or (cell.stopping and (is_inside_guarantee or job.urgent)):
        cause = WaitCause.EVICTION_RUNS
        freed_by = freed_by or sorted(cell.stopping)
    else:
        cause = _wait_cause(cell, job)
        if reservation is not None:
            wait_s = max(0.0, reservation.expected_start_s - now_s)
            freed_by = sorted(_jobs_on(cell, reservation.worker_masks))
    blocking_jobs = freed_by or sorted(cell.running_by_id)
    return Explanation(
        job_id=job_id,
        cause=cause,
        needs=job.shape,
        inside_guarantee=is_inside_guarantee,
        free_accelerators=cell.free.piece_totals[0],
        blockers=tuple(_blocker(cell, blocking_id, now_s) for blocking_id in blocking_jobs),
        freed_by=tuple(freed_by),
        expected_wait_s=wait_s,
    )


def degraded_guarantees(cell: Cell) -> tuple[DegradedGuarantee, ...]:
    """Return the guarantees of which not all instances can be placed now."""
    cell.place_guarantees()
    unplaced_count_by_id: dict[GuaranteeId, int] = {}
    for instance in cell.guarantee_placements.unplaced():
        unplaced_count_by_id[instance.key[0]] = unplaced_count_by_id.get(instance.key[0], 0) + 1
    found = []
    for key in sorted(unplaced_count_by_id):
        guarantee: Guarantee = cell.guarantees_by_id[key]
        found.append(
            DegradedGuarantee(
                guarantee=key,
                team=guarantee.team,
                shape=guarantee.shape,
                missing=unplaced_count_by_id[key],
                count=guarantee.count,
            )
        )
    return tuple(found)


def _wait_cause(cell: Cell, job: QueuedJob) -> WaitCause:
    if find_placement(cell.free, job.shape) is not None:
        return WaitCause.RESERVED_FOR_OTHERS
    if cell.free.piece_totals[0] >= job.shape.members * job.shape.accelerators:
        return WaitCause.FRAGMENTED
    return WaitCause.NO_ROOM


def _jobs_on(cell: Cell, worker_masks: tuple[tuple[TargetId, int], ...]) -> set[JobId]:
    return {
        job_id
        for worker, mask in worker_masks
        for job_id, job_mask in cell.masks_by_worker.get(worker, {}).items()
        if job_mask & mask
    }


def _blocker(cell: Cell, job_id: JobId, now_s: float) -> Blocker:
    running = cell.running_by_id[job_id]
    shape = running.job.shape
    return Blocker(
        job_id=job_id,
        team=running.job.team,
        accelerators=shape.members * shape.accelerators,
        borrowed=cell.is_evictable(job_id),
        expected_end_s=expected_end_s(cell, running, now_s) - now_s,
    )
