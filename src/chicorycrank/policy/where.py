"""Answer to where a job would go now, with the reason against each worker that it would not use."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from copy import deepcopy
from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import JobId, TargetId, TeamId
from chicorycrank.model.jobs import GangShape, MemberPlacement
from chicorycrank.policy.admission import members_on_worker
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Evict, Start
from chicorycrank.policy.explain import explain_wait
from chicorycrank.policy.headroom import empty_workers
from chicorycrank.policy.packing import blocks

# Bounds the size of an answer; the counts by reason cover all workers.
MAX_WORKERS_LISTED = 50
MAX_EVICTIONS_LISTED = 50


class WorkerReason(Enum):
    """Reason why an open worker that a job may use is not used."""

    TOO_SMALL = "too-small"  # it would not hold a member if it were empty
    ACCELERATORS = "accelerators"  # fewer are free than a member needs
    GUARANTEE = "guarantee"  # the accelerators run guaranteed work of other teams
    FRAGMENTED = "fragmented"  # enough accelerators are free, but not next to each other
    CORES = "cores"
    MEMORY = "memory"
    RUN_LIMIT = "run-limit"  # it may get no further run for now
    RESERVED_FOR_OTHERS = "reserved-for-others"  # reserved for a job that waits for more room
    HEADROOM = "headroom"  # kept empty for urgent jobs
    PART_OF_GANG = "part-of-gang"  # it has room for some of the members only
    NOT_CHOSEN = "not-chosen"


class RejectedWorker(Struct, frozen=True, kw_only=True):
    """Worker that a job would not use.

    :param detail: the values behind the reason; empty if it says all
    """

    worker: TargetId
    reason: str
    detail: str = ""


class ChosenWorker(Struct, frozen=True, kw_only=True):
    """Worker that a job would use.

    :param accelerators: numbers of the accelerators of all members there
    """

    worker: TargetId
    members: int
    accelerators: tuple[int, ...]


class PlacementAnswer(Struct, frozen=True, kw_only=True):
    """Where a job would go now, or why it would wait.

    :param job: name of the job, or of the step of a job
    :param cause: ``starts-now`` or what keeps the job from starting
    :param workers: the first workers that it would use, at most ``MAX_WORKERS_LISTED``
    :param worker_count: number of all workers that it would use
    :param evictions: the first jobs that would be stopped for it
    :param rejected: the first workers that it would not use, at most ``MAX_WORKERS_LISTED``
    :param rejected_by_reason: number of all workers that it would not use, by reason
    """

    job: str
    starts_now: bool
    cause: str
    workers: tuple[ChosenWorker, ...] = ()
    worker_count: int = 0
    evictions: tuple[JobId, ...] = ()
    rejected: tuple[RejectedWorker, ...] = ()
    rejected_by_reason: dict[str, int] = {}


def make_answer(
    job: str,
    *,
    cause: str,
    placement: Iterable[MemberPlacement] | None,
    evictions: Iterable[JobId],
    rejected: Iterable[RejectedWorker],
) -> PlacementAnswer:
    """Return an answer within the limits of its size.

    :param placement: placement with which the job would start now; None if it would wait
    """
    chosen: dict[TargetId, tuple[int, tuple[int, ...]]] = {}
    for member in placement or ():
        count, numbers = chosen.get(member.worker, (0, ()))
        chosen[member.worker] = count + 1, (*numbers, *member.accelerators)
    others = [worker for worker in rejected if worker.worker not in chosen]
    return PlacementAnswer(
        job=job,
        starts_now=placement is not None,
        cause=cause,
        workers=tuple(
            ChosenWorker(worker=worker, members=count, accelerators=numbers)
            for worker, (count, numbers) in sorted(chosen.items())[:MAX_WORKERS_LISTED]
        ),
        worker_count=len(chosen),
        evictions=tuple(sorted(evictions)[:MAX_EVICTIONS_LISTED]),
        rejected=tuple(others[:MAX_WORKERS_LISTED]),
        rejected_by_reason=dict(sorted(Counter(worker.reason for worker in others).items())),
    )


@contextmanager
def restored(cell: Cell) -> Iterator[None]:
    """Restore what a decision pass keeps in a cell without guarantees."""
    before = cell.reservations_by_id, cell.waiting_for_evictions, cell.jobs_within_quota
    teams = set(cell.usage_by_team)
    try:
        yield
    finally:
        cell.reservations_by_id, cell.waiting_for_evictions, cell.jobs_within_quota = before
        # A pass leaves an entry without usage for each team of which it has tried a start.
        for team in cell.usage_by_team.keys() - teams:
            del cell.usage_by_team[team]


def explain_job(
    live_cell: Cell,
    job: QueuedJob,
    queue: Sequence[QueuedJob],
    now_s: float,
    closed_cause: Callable[[TargetId], str],
) -> PlacementAnswer:
    """Return where a job would go if it were queued now.

    The pass decides on a copy of the cell: it places guarantee instances, and placing them earlier
    than the next pass of the leader changed later decisions in random trials.

    :param queue: queued jobs that may start now
    :param closed_cause: returns why a worker gets no new work; empty if it is open
    """
    # Running jobs are immutable and most of the cell, so they are not copied.
    memo: dict[int, object] = {id(item): item for item in live_cell.running_by_id.values()}
    cell = deepcopy(live_cell, memo)
    all_jobs = [*queue, job]
    decisions = decide(cell, all_jobs, now_s)
    cause = explain_wait(cell, all_jobs, job.job_id, now_s, decisions).cause
    reserved, headroom = reserved_masks(cell, job.job_id), headroom_for_others(cell, job)
    rejected = [
        RejectedWorker(worker=worker, reason=closed)
        if (closed := closed_cause(worker))
        else reject_open_worker(cell, job, worker, reserved, headroom)
        for worker in sorted(cell.workers_by_id)
    ]
    starts = (item for item in decisions if isinstance(item, Start) and item.job_id == job.job_id)
    return make_answer(
        job.job_id,
        cause=cause.value,
        placement=next((start.placement for start in starts), None),
        evictions=[
            item.job_id
            for item in decisions
            if isinstance(item, Evict) and item.for_job == job.job_id
        ],
        rejected=rejected,
    )


def reserved_masks(cell: Cell, job_id: JobId) -> dict[TargetId, int]:
    """Return the accelerators that are reserved for other jobs, by worker."""
    masks: dict[TargetId, int] = {}
    for reservation in cell.reservations_by_id.values():
        if reservation.job_id != job_id:
            for worker, mask in reservation.worker_masks:
                masks[worker] = masks.get(worker, 0) | mask
    return masks


def headroom_for_others(cell: Cell, job: QueuedJob) -> frozenset[TargetId]:
    """Return the workers that are kept empty for urgent jobs and that a job may not use."""
    if not job.can_wait or job.urgent:
        return frozenset()
    return frozenset(worker for worker, _ in empty_workers(cell, cell.headroom))


def reject_open_worker(
    cell: Cell,
    job: QueuedJob,
    worker: TargetId,
    reserved: dict[TargetId, int],
    headroom: frozenset[TargetId],
) -> RejectedWorker:
    """Return the reason against an open worker that the job's rule allows.

    :param reserved: accelerators that are reserved for other jobs, by worker
    :param headroom: workers that are kept empty for urgent jobs
    """
    reason, detail = _lack_of_room(cell, worker, job.shape)
    if reason is WorkerReason.ACCELERATORS:
        teams = _guaranteed_teams(cell, worker, job)
        if teams:
            reason, detail = WorkerReason.GUARANTEE, f"{detail}; work of {', '.join(sorted(teams))}"
    if reason is None:
        if worker in headroom:
            reason = WorkerReason.HEADROOM
        elif reserved.get(worker, 0) and not _members(
            cell, job, worker, cell.free.masks[worker] & ~reserved[worker]
        ):
            reason = WorkerReason.RESERVED_FOR_OTHERS
        else:
            members = _members(cell, job, worker, cell.free.masks[worker])
            is_part = members < job.shape.members
            reason = WorkerReason.PART_OF_GANG if is_part else WorkerReason.NOT_CHOSEN
            detail = f"room for {members} of {job.shape.members} members" if is_part else ""
    return RejectedWorker(worker=worker, reason=reason.value, detail=detail)


def _guaranteed_teams(cell: Cell, worker: TargetId, job: QueuedJob) -> set[TeamId]:
    """Return the other teams whose guaranteed work is all that keeps a job off a worker."""
    mask, teams = cell.free.masks[worker], set()
    for job_id, job_mask in cell.masks_by_worker.get(worker, {}).items():
        team = cell.running_by_id[job_id].job.team
        if job_id not in cell.borrowed and team != job.team:
            mask |= job_mask
            teams.add(team)
    return teams if blocks(mask, job.shape.accelerators) else set()


def _members(cell: Cell, job: QueuedJob, worker: TargetId, mask: int) -> int:
    """Return how many members of a job fit on some accelerators of a worker."""
    members = job.rule.member_limit(cell.free, worker, job.shape)
    if job.shape.accelerators:
        members = min(members, len(blocks(mask, job.shape.accelerators)))
    return members


def _lack_of_room(
    cell: Cell, worker: TargetId, shape: GangShape
) -> tuple[WorkerReason | None, str]:
    """Return what a worker lacks for one member; None if it has room for it."""
    state, pool = cell.workers_by_id[worker], cell.free
    if not members_on_worker(state, shape):
        return WorkerReason.TOO_SMALL, (
            f"has {state.accelerators} accelerators, {state.cores} cores, {state.memory_gb} memory;"
            f" a member needs {shape.accelerators}, {shape.cores}, {shape.memory_gb}"
        )
    free = pool.masks[worker].bit_count()
    if free < shape.accelerators:
        return WorkerReason.ACCELERATORS, _free_text(free, shape.accelerators)
    if shape.accelerators and not blocks(pool.masks[worker], shape.accelerators):
        return WorkerReason.FRAGMENTED, _free_text(free, shape.accelerators)
    if pool.cores[worker] < shape.cores:
        return WorkerReason.CORES, _free_text(pool.cores[worker], shape.cores)
    if pool.memory_gb[worker] < shape.memory_gb:
        return WorkerReason.MEMORY, _free_text(pool.memory_gb[worker], shape.memory_gb)
    if not pool.within_run_room(worker, 1):
        return WorkerReason.RUN_LIMIT, ""
    return None, ""


def _free_text(free: int, needed: int) -> str:
    return f"{free} free, {needed} needed"
