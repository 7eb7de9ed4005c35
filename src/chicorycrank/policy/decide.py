"""Decides which queued jobs start where and which running jobs are evicted."""

from collections.abc import Sequence
from dataclasses import dataclass

from chicorycrank.model.ids import JobId, RackId, TargetId
from chicorycrank.model.jobs import Adjacency, GangShape, MemberPlacement, WorkKind
from chicorycrank.policy.cell import Cell, QueuedJob, WorkerState


@dataclass(frozen=True, kw_only=True)
class Start:
    """Start a queued job."""

    job_id: JobId
    placement: tuple[MemberPlacement, ...]
    kind: WorkKind


@dataclass(frozen=True, kw_only=True)
class Evict:
    """Stop a running job so that ``for_job`` can start."""

    job_id: JobId
    for_job: JobId
    reason: str


Decision = Start | Evict


def decide(cell: Cell, queue: Sequence[QueuedJob], now_s: float) -> list[Decision]:
    """Return the decisions for the current state; the caller applies them to the cell."""
    taken: set[tuple[TargetId, int]] = set()
    decisions: list[Decision] = []
    for job in sorted(queue, key=lambda job: (not job.urgent, job.submitted_s)):
        placement = _first_fit(cell, job.shape, taken)
        if placement is not None:
            taken |= {(m.worker, a) for m in placement for a in m.accelerators}
            kind = WorkKind.GUARANTEED
            decisions.append(Start(job_id=job.job_id, placement=placement, kind=kind))
    return decisions


def _first_fit(
    cell: Cell, shape: GangShape, taken: set[tuple[TargetId, int]]
) -> tuple[MemberPlacement, ...] | None:
    if shape.adjacency is Adjacency.WORKER:
        groups = [[worker] for worker in cell.workers_by_id.values()]
    elif shape.adjacency is Adjacency.RACK:
        by_rack: dict[RackId, list[WorkerState]] = {}
        for worker in cell.workers_by_id.values():
            by_rack.setdefault(worker.rack, []).append(worker)
        groups = list(by_rack.values())
    else:
        groups = [list(cell.workers_by_id.values())]
    for group in groups:
        placement = _fit_group(group, shape, taken)
        if placement is not None:
            return placement
    return None


def _fit_group(
    group: list[WorkerState], shape: GangShape, taken: set[tuple[TargetId, int]]
) -> tuple[MemberPlacement, ...] | None:
    members: list[MemberPlacement] = []
    for worker in group:
        if not worker.available:
            continue
        free = sorted(a for a in worker.free if (worker.worker, a) not in taken)
        while len(free) >= shape.accelerators and len(members) < shape.members:
            members.append(MemberPlacement(worker.worker, tuple(free[: shape.accelerators])))
            free = free[shape.accelerators :]
    return tuple(members) if len(members) == shape.members else None
