"""Log lines on units that still wait after a while, with what keeps them from starting.

They are those of urgent jobs, and those of other jobs that evacuations keep from starting.
"""

import logging
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import chain, islice

from chicorycrank.batch.interruptions import loses_little
from chicorycrank.batch.planner_state import PlannerState
from chicorycrank.batch.queued_jobs import URGENT_PRIORITY
from chicorycrank.batch.units import UnitRef, due_at_ms
from chicorycrank.model.ids import JobId
from chicorycrank.policy.admission import members_on_worker
from chicorycrank.policy.cell import QueuedJob
from chicorycrank.policy.packing import blocks

MIN_WAIT_MS = 2000
CHECK_INTERVAL_S = 1.0
REPEAT_S = 5.0
# Jobs that are not urgent are looked at less often, so that all of them have their turn.
REPEAT_NOT_URGENT_S = 30.0
MAX_LINES_PER_CHECK = 10

logger = logging.getLogger("absl")


class WaitCause(Enum):
    """What keeps a unit from starting."""

    STARTS_NOW = "starts-now"  # only in the answer to where a job would go
    SET_ASIDE = "set-aside"
    HELD = "held"  # a test run of its job, or the verdict on it, comes first
    NO_SUITABLE_WORKER = "no-suitable-worker"
    EXCEEDS_CAPACITY = "exceeds-capacity"  # it would not fit if these workers were empty
    EVACUATED = "evacuated"  # it would fit only if its workers in evacuated zones were open
    ALL_CLOSED = "all-closed"
    EVICTIONS = "evictions"
    RESERVED = "reserved"
    NO_ROOM = "no-room"
    NOT_CHOSEN = "not-chosen"


@dataclass(frozen=True, kw_only=True)
class Room:
    """Room for a unit on its suitable workers.

    :param closed: number of closed workers by cause
    :param accelerators: free accelerators of the open workers
    :param cores: free cores of the open workers
    :param members: members of the unit that fit there now
    :param members_if_empty: members that the suitable workers would hold if they were empty
    :param members_in_open_zones: those of them on workers outside of evacuated zones
    """

    suitable: int
    members_if_empty: int
    members_in_open_zones: int
    closed: Counter[str]
    accelerators: int
    cores: int
    members: int


class UrgentWaitLog:
    """Writer of the log lines, which limits their number."""

    def __init__(self) -> None:
        self._next_check_s = 0.0
        self._next_line_at_by_id: dict[JobId, float] = {}

    def update(self, planner: PlannerState) -> None:
        """Log the first waiting unit of each job that waits too long."""
        if planner.now_s < self._next_check_s:
            return
        self._next_check_s = planner.now_s + CHECK_INTERVAL_S
        self._next_line_at_by_id = {
            job_id: next_line_at
            for job_id, next_line_at in self._next_line_at_by_id.items()
            if planner.now_s < next_line_at
        }
        late_units = self._late_units(planner, is_urgent=True)
        if planner.workers.evacuated_zones:
            late_units = chain(late_units, self._late_units(planner, is_urgent=False))
        for ref in islice(late_units, MAX_LINES_PER_CHECK):
            repeat_s = REPEAT_S if _is_urgent(planner, ref.job_id) else REPEAT_NOT_URGENT_S
            self._next_line_at_by_id[ref.job_id] = planner.now_s + repeat_s
            try:
                _log_wait(planner, ref)
            except Exception:
                # A job that is set aside may fail here, too; the plan still has to be written.
                logger.exception("event=wait_not_described job=%s unit=%s", ref.job_id, ref.key)

    def _late_units(self, planner: PlannerState, *, is_urgent: bool) -> Iterator[UnitRef]:
        for job_id in planner.active_jobs:
            if job_id not in self._next_line_at_by_id and _is_urgent(planner, job_id) is is_urgent:
                late = (
                    ref
                    for ref in planner.waiting_units_of(job_id)
                    if _waited_ms(planner, ref) >= MIN_WAIT_MS
                )
                yield from islice(late, 1)


def _is_urgent(planner: PlannerState, job_id: JobId) -> bool:
    return planner.queue_of(planner.jobs_by_id[job_id]).priority == URGENT_PRIORITY


def _waited_ms(planner: PlannerState, ref: UnitRef) -> int:
    job = planner.jobs_by_id[ref.job_id]
    return planner.now_ms - max(job.submitted_at_ms, due_at_ms(job, ref.occurrence))


def _log_wait(planner: PlannerState, ref: UnitRef) -> None:
    job = planner.job_builder.make_queued_job(planner, ref)
    room = find_room(planner, job)
    cause = wait_cause(planner, ref, job, room)
    if not job.urgent and cause is not WaitCause.EVACUATED:
        return
    unit = planner.progress_by_id[ref.job_id].units.get(ref.key)
    logger.warning(
        "event=unit_waiting job=%s unit=%s waited_s=%.1f runs=%d members=%d accelerators=%d"
        " cores=%d cause=%s suitable=%d closed=%s free_accelerators=%d free_cores=%d"
        " members_that_fit=%d within_quota=%s restricted=%s",
        ref.job_id,
        ref.key,
        _waited_ms(planner, ref) / 1000,
        unit.run if unit is not None else 0,
        job.shape.members,
        job.shape.accelerators,
        job.shape.cores,
        cause.value,
        room.suitable,
        ",".join(f"{cause}:{count}" for cause, count in sorted(room.closed.items())),
        room.accelerators,
        room.cores,
        room.members,
        job.job_id in planner.cell.jobs_within_quota,
        _restricted(planner, ref),
    )


def _restricted(planner: PlannerState, ref: UnitRef) -> str:
    """Return the number of workers that get only units that lose less than this one, by cause."""
    if loses_little(planner.step_of(ref)):
        return ""
    flapping = planner.interruptions.restricted(planner.now_s)
    return f"flapping:{len(flapping)}" if flapping else ""


def wait_cause(planner: PlannerState, ref: UnitRef, job: QueuedJob, room: Room) -> WaitCause:
    """Return what keeps a unit from starting."""
    if planner.failing_jobs.is_set_aside(ref.job_id, planner.now_s):
        return WaitCause.SET_ASIDE
    if planner.crashes.is_held(planner, ref):
        return WaitCause.HELD
    if not room.suitable:
        return WaitCause.NO_SUITABLE_WORKER
    if room.members_if_empty < job.shape.members:
        return WaitCause.EXCEEDS_CAPACITY
    if room.members_in_open_zones < job.shape.members:
        return WaitCause.EVACUATED
    if room.closed.total() == room.suitable:
        return WaitCause.ALL_CLOSED
    if job.job_id in planner.cell.waiting_for_evictions:
        return WaitCause.EVICTIONS
    if job.job_id in planner.cell.reservations_by_id:
        return WaitCause.RESERVED
    return WaitCause.NO_ROOM if room.members < job.shape.members else WaitCause.NOT_CHOSEN


def find_room(planner: PlannerState, job: QueuedJob) -> Room:
    """Return the room for a unit on its suitable workers."""
    pool = planner.cell.free
    workers = planner.cell.workers_by_id if job.rule.workers is None else job.rule.workers
    closed: Counter[str] = Counter()
    accelerators = cores = members = members_if_empty = members_in_open_zones = 0
    for worker in workers:
        capacity = members_on_worker(planner.cell.workers_by_id[worker], job.shape)
        members_if_empty += capacity
        if not planner.workers.is_evacuated(worker):
            members_in_open_zones += capacity
        cause = planner.workers.closed_cause(worker)
        if cause is not None:
            closed[cause.value] += 1
            continue
        mask = pool.masks[worker]
        accelerators += mask.bit_count()
        cores += pool.cores[worker]
        limit = job.rule.member_limit(pool, worker, job.shape)
        if job.shape.accelerators:
            limit = min(limit, len(blocks(mask, job.shape.accelerators)))
        members += limit
    return Room(
        suitable=len(workers),
        members_if_empty=members_if_empty,
        members_in_open_zones=members_in_open_zones,
        closed=closed,
        accelerators=accelerators,
        cores=cores,
        members=members,
    )
