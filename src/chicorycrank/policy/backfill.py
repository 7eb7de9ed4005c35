"""Reservations for the head of the queue, and which jobs may start before it."""

from collections.abc import Iterable
from dataclasses import replace
from functools import partial
from itertools import islice
from math import inf

from chicorycrank.model.ids import JobId, RackId, TargetId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.cell import Cell, QueuedJob, Reservation, RunningJob
from chicorycrank.policy.packing import PIECE_SIZES, blocks, piece_class
from chicorycrank.policy.placement import (
    PlacementRule,
    cheapest_spots,
    neighbour_order,
    open_masks,
)
from chicorycrank.policy.pool import Spot, Spots

RACKS_TRIED = 16  # racks whose expected free time is worked out
BLOCKS_PRICED = 128  # bounds the time for gangs of many small members
RECHOICE_S = 300.0  # a reservation keeps its place at least this long
HOME_PENALTY_S = 4 * 3600.0  # a home is likely to be used again by its team
STOP_GRACE_S = 5.0


def expected_end_s(cell: Cell, running: RunningJob, now_s: float) -> float:
    """Return when a job is expected to end.

    A job past its expected run time is taken to run as long again as it already has.
    """
    if running.stopping:
        return now_s + STOP_GRACE_S
    expected_s = cell.estimates.correct(running.job.team, running.job.run_time_s)
    elapsed_s = max(0.0, now_s - running.started_s)
    return now_s + (expected_s - elapsed_s if elapsed_s < expected_s else elapsed_s)


def is_overrun(cell: Cell, running: RunningJob, now_s: float) -> bool:
    """Whether a job runs longer than its corrected run time."""
    expected_s = cell.estimates.correct(running.job.team, running.job.run_time_s)
    return now_s - running.started_s > expected_s


def reserve(cell: Cell, job: QueuedJob, now_s: float) -> Reservation | None:
    """Return the reservation of a job; an earlier one keeps its place."""
    known = cell.reservations_by_id.get(job.job_id)
    if known is not None and all(cell.free.is_open(worker) for worker, _ in known.spots):
        young = now_s - known.made_s < RECHOICE_S
        price_s = 0.0
        if not young:
            price_s = max(_cost_s(cell, now_s, worker, mask) for worker, mask in known.spots)
        if price_s <= known.price_s:
            return replace(known, start_s=_start_s(cell, known.spots, now_s))
    best: tuple[float, Spots] | None = None
    cost = partial(_cost_s, cell, now_s)
    priced = 0
    for group in _groups(cell, job.shape, job.rule):
        if priced >= BLOCKS_PRICED:
            break
        priced += sum(len(blocks(mask, job.shape.accelerators)) for _, mask in group)
        # Cores and memory are checked again when the job starts.
        room = partial(_members_allowed, job)
        found = cheapest_spots(group, job.shape, room, cost)
        if found is not None and (best is None or max(found[1]) < best[0]):
            best = (max(found[1]), found[0])
    if best is None:
        return None
    return Reservation(
        job_id=job.job_id,
        spots=best[1],
        start_s=_start_s(cell, best[1], now_s),
        price_s=best[0],
        made_s=now_s,
    )


def overrun_victims(cell: Cell, reservation: Reservation, now_s: float) -> list[JobId]:
    """Return backfilled jobs on reserved accelerators that overran and may be evicted.

    Overrunning ends only the protection of a backfilled job: it is evicted if the reservation
    needs its accelerators, and otherwise runs on.
    """
    found: dict[JobId, None] = {}
    for worker, mask in reservation.spots:
        for job_id, held in cell.masks_by_worker.get(worker, {}).items():
            running = cell.running_by_id[job_id]
            if (
                held & mask
                and running.backfill
                and not running.stopping
                and cell.is_evictable(job_id)
                and is_overrun(cell, running, now_s)
            ):
                found[job_id] = None
    return list(found)


def _start_s(cell: Cell, spots: Spots, now_s: float) -> float:
    """Return when reserved accelerators are expected to be free.

    Backfilled jobs do not count: they would move the start on, and let further jobs be backfilled,
    for as long as they overrun.
    """
    return max(_free_at_s(cell, now_s, worker, mask, with_backfill=False) for worker, mask in spots)


def _free_at_s(
    cell: Cell, now_s: float, worker: TargetId, block: int, *, with_backfill: bool = True
) -> float:
    if not cell.free.is_open(worker):
        return inf
    ends = (
        expected_end_s(cell, cell.running_by_id[job_id], now_s)
        for job_id, held in cell.masks_by_worker.get(worker, {}).items()
        if held & block and (with_backfill or not cell.running_by_id[job_id].backfill)
    )
    return max(ends, default=now_s)


def _cost_s(cell: Cell, now_s: float, worker: TargetId, block: int) -> float:
    """Return when a block is free, later if guaranteed jobs are likely to start there."""
    homes = cell.homes
    if homes.pool.masks.get(worker, 0) & block == block:
        return _free_at_s(cell, now_s, worker, block)
    return _free_at_s(cell, now_s, worker, block) + HOME_PENALTY_S


def _members_allowed(job: QueuedJob, worker: TargetId) -> int:
    if job.rule.workers is not None and worker not in job.rule.workers:
        return 0
    return min(job.shape.members, job.rule.max_members or job.shape.members)


def _groups(cell: Cell, shape: GangShape, rule: PlacementRule) -> Iterable[list[Spot]]:
    """Yield groups of whole workers that a gang may use together, the freest racks first."""
    full = cell.homes.full_by_worker
    allowed = rule.workers

    def whole_workers(rack: RackId) -> list[Spot]:
        return [
            (worker, full[worker][0])
            for worker, _ in open_masks(cell.free, rack)
            if allowed is None or worker in allowed
        ]

    buckets = cell.free.racks_by_count[PIECE_SIZES.index(piece_class(shape.accelerators))]
    racks = (rack for count in sorted(buckets, reverse=True) for rack in sorted(buckets[count]))
    fits = False
    for rack in islice(racks, RACKS_TRIED):
        spots = whole_workers(rack)
        if shape.adjacency is Adjacency.WORKER and shape.members > 1:
            yield from ([spot] for spot in spots)
        elif spots:
            count = sum(mask.bit_count() // shape.accelerators for _, mask in spots)
            if count >= shape.members:
                fits = True
                yield spots
    if fits or shape.adjacency is not Adjacency.ANY:
        return
    order = neighbour_order(cell.free.workers_by_rack)
    step = max(1, len(order) // RACKS_TRIED)
    for start in range(0, len(order), step):
        window: list[Spot] = []
        count = 0
        for rack in order[start:]:
            if count >= shape.members:
                break
            spots = whole_workers(rack)
            count += sum(mask.bit_count() // shape.accelerators for _, mask in spots)
            window += spots
        if count >= shape.members:
            yield window
