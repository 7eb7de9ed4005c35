"""Baseline policies of the placement benchmark: strict arrival order, and static partitions."""

from collections.abc import Callable, Sequence
from functools import partial

from chicorycrank.bench.workloads import Workload
from chicorycrank.model.ids import RackId, TargetId, TeamId
from chicorycrank.model.jobs import Adjacency, GangShape, WorkKind
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob
from chicorycrank.policy.decisions import Decision, Start
from chicorycrank.policy.placement import placement_of
from chicorycrank.policy.pool import WorkerMasks

Policy = Callable[[Cell, Sequence[QueuedJob], float], list[Decision]]


def first_fit(cell: Cell, workers: Sequence[TargetId], shape: GangShape) -> WorkerMasks | None:
    """Return the first free accelerators in the order of the workers, whether aligned or not."""
    workers_by_group: dict[str, list[TargetId]] = {}
    for worker in workers:
        if cell.free.is_open(worker):
            rack: RackId = cell.free.rack_by_worker[worker]
            by_worker = shape.adjacency is Adjacency.WORKER
            # Workers with the same key may hold members of the same gang.
            key = "" if shape.adjacency is Adjacency.ANY else worker if by_worker else rack
            workers_by_group.setdefault(key, []).append(worker)
    for group in workers_by_group.values():
        worker_masks: list[tuple[TargetId, int]] = []
        for worker in group:
            mask = cell.free.masks[worker]
            members_left = cell.free.member_limit(worker, shape)
            while (
                mask.bit_count() >= shape.accelerators
                and members_left
                and len(worker_masks) < shape.members
            ):
                block = 0  # mask of the lowest free accelerators, for one member
                for _ in range(shape.accelerators):
                    block |= mask & -mask
                    mask &= mask - 1
                worker_masks.append((worker, block))
                members_left -= 1
        if len(worker_masks) == shape.members:
            return tuple(worker_masks)
    return None


def decide_in_arrival_order(cell: Cell, queue: Sequence[QueuedJob], now_s: float) -> list[Decision]:
    """Start jobs strictly in the order of arrival, with first fit."""
    started: list[Start] = []
    for job in sorted(queue, key=lambda job: job.submitted_s):
        worker_masks = first_fit(cell, list(cell.workers_by_id), job.shape)
        if worker_masks is None:
            break
        started.append(_start_job(cell, job, worker_masks, now_s))
    return _undo_starts(cell, started)


def make_partitioned_policy(workload: Workload) -> Policy:
    """Return a policy that backfills with first fit inside a static partition per team."""
    return partial(_decide_in_partitions, workload.partition_by_team)


def _decide_in_partitions(
    workers_by_team: dict[TeamId, list[TargetId]],
    cell: Cell,
    queue: Sequence[QueuedJob],
    now_s: float,
) -> list[Decision]:
    started: list[Start] = []
    for team, workers in workers_by_team.items():
        jobs = [job for job in queue if job.team == team]
        jobs.sort(key=lambda job: job.submitted_s)
        reserved_start_s: float | None = None
        reserved: WorkerMasks = ()
        for job in jobs:
            worker_masks = first_fit(cell, workers, job.shape)
            if (
                reserved_start_s is not None
                and worker_masks is not None
                and now_s + job.run_time_s > reserved_start_s
            ):
                worker_masks = _exclude_reserved(worker_masks, reserved)
            if worker_masks is not None:
                started.append(_start_job(cell, job, worker_masks, now_s))
            elif reserved_start_s is None:
                reserved_start_s, reserved = _earliest_start(cell, workers, job, now_s)
    return _undo_starts(cell, started)


def _exclude_reserved(worker_masks: WorkerMasks, reserved: WorkerMasks) -> WorkerMasks | None:
    overlaps = any(
        worker == other and mask & reserved_mask
        for worker, mask in worker_masks
        for other, reserved_mask in reserved
    )
    return None if overlaps else worker_masks


def _earliest_start(
    cell: Cell, workers: list[TargetId], job: QueuedJob, now_s: float
) -> tuple[float, WorkerMasks]:
    """Return when and where a job fits if all running jobs end after their declared run time.

    The pool is restored before the function returns.
    """
    partition = set(workers)
    running = [
        (max(now_s, r.started_s + r.job.run_time_s), r.job.job_id)
        for r in cell.running_by_id.values()
        if any(member.worker in partition for member in r.placement)
    ]
    released: list[tuple[TargetId, int, int, int]] = []
    result: tuple[float, WorkerMasks] = (float("inf"), ())
    for end_s, job_id in sorted(running):
        shape = cell.running_by_id[job_id].job.shape
        for worker, mask in cell.worker_masks(job_id):
            if worker in cell.free.masks:
                cell.free.release(worker, mask, shape.cores, shape.memory_gb)
                released.append((worker, mask, shape.cores, shape.memory_gb))
        worker_masks = first_fit(cell, workers, job.shape)
        if worker_masks is not None:
            result = (end_s, worker_masks)
            break
    for values in released:
        cell.free.allocate(*values)
    return result


def _start_job(cell: Cell, job: QueuedJob, worker_masks: WorkerMasks, now_s: float) -> Start:
    placement = placement_of(worker_masks)
    kind = WorkKind.BORROWED
    cell.start(RunningJob(job=job, placement=placement, kind=kind, started_s=now_s))
    return Start(job_id=job.job_id, placement=placement, kind=kind)


def _undo_starts(cell: Cell, started: list[Start]) -> list[Decision]:
    """Undo the starts in the cell, since the caller applies the returned decisions itself."""
    for start in reversed(started):
        cell.finish(start.job_id)
    return list(started)
