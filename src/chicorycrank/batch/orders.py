"""Changed records, assignments in orders, and accelerators of units restored from records."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from chicorycrank.batch.units import UnitRef
from chicorycrank.model.batch import Assignment, Submission, Unit, UnitState
from chicorycrank.model.ids import JobId, TargetId, TaskId
from chicorycrank.policy.cell import Cell
from chicorycrank.policy.packing import full_mask
from chicorycrank.policy.pool import WorkerMask, WorkerMasks

# The store accepts 32 keys and conditions per write. The leader record and its condition take one
# each; one is kept free.
MAX_KEYS_PER_WRITE = 29
# An order is written under one condition for each job that it starts.
MAX_JOBS_STARTED_PER_ORDER = MAX_KEYS_PER_WRITE - 1
# A worker whose order has reached one of these limits gets no more work until runs have ended. A
# value of the store may have 1,048,576 bytes.
MAX_RUNS_PER_ORDER = 512
FULL_ORDER_BYTES = 524_288
# Limit of an order that the last starts of a pass may reach.
MAX_ORDER_BYTES = 786_432
# With no more than this, a job gets work on a worker whatever the other jobs there leave free.
MIN_RUNS_OF_JOB = 16
MIN_BYTES_OF_JOB = FULL_ORDER_BYTES // 8
# Size of an assignment without its payload.
ASSIGNMENT_BYTES = 440


@dataclass(kw_only=True)
class ChangedRecords:
    """Records that a plan has changed and that have to be written."""

    jobs: set[JobId] = field(default_factory=set)
    workers: set[TargetId] = field(default_factory=set)

    def __bool__(self) -> bool:
        return bool(self.jobs or self.workers)

    def clear(self) -> None:
        """Forget the changes once they are written."""
        self.jobs.clear()
        self.workers.clear()


def assignment_bytes(job: Submission) -> int:
    """Return the largest size of the assignment of a task in an encoded order."""
    return ASSIGNMENT_BYTES + len(msgspec.json.encode(job.payload))


def make_assignment(
    job: Submission, ref: UnitRef, unit: Unit, task: TaskId, ticket: str, probation_ms: int
) -> Assignment:
    """Return the assignment of a task of a unit's current run."""
    step = job.steps[ref.step]
    is_stopped = unit.state is not UnitState.ASSIGNED
    return Assignment(
        task=task,
        run=unit.run,
        payload="" if is_stopped else job.payload,
        checkpoint=unit.checkpoint,
        ticket=ticket,
        stop=is_stopped,
        long_running=step.long_running,
        fills=step.fills,
        target_latency_s=step.target_latency_s,
        accelerators=step.accelerators,
        cores=0 if step.fills else step.cores,
        memory_mb=step.memory_mb,
        probation_ms=probation_ms,
        run_time_s=step.run_time_s,
    )


def choose_accelerators(cell: Cell, workers: Sequence[TargetId], size: int) -> WorkerMasks:
    """Return free accelerators for the members of a unit, one mask for each given worker.

    The records hold the workers of a unit but not its accelerators, so free ones are chosen.

    :param size: accelerators of each member
    """
    member_mask = full_mask(size)
    alignment = 1 << max(0, size - 1).bit_length()
    worker_masks: list[WorkerMask] = []
    allocated_by_worker: dict[TargetId, int] = {}
    for worker in workers:
        used = allocated_by_worker.get(worker, 0)
        for mask in cell.masks_by_worker.get(worker, {}).values():
            used |= mask
        offset = 0
        while used >> offset & member_mask:
            offset += alignment
        allocated_by_worker[worker] = allocated_by_worker.get(worker, 0) | member_mask << offset
        worker_masks.append((worker, member_mask << offset))
    return tuple(worker_masks)
