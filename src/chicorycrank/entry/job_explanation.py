"""Explains why a job waits, or why it was evicted."""

from collections.abc import Mapping, Sequence

import msgspec

from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobRecord, JobState
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.explain import explain_wait

# Bounds the reply in a cell with thousands of running jobs.
MAX_BLOCKERS = 100


def explain_record(
    record: JobRecord, records_by_id: Mapping[JobId, JobRecord]
) -> dict[str, object]:
    """Return what a record says by itself: its state, reason and last eviction."""
    document: dict[str, object] = {
        "job_id": record.job_id,
        "state": record.state.value,
        "generation": record.generation,
        "reason": record.reason,
        "needs": msgspec.to_builtins(record.spec.shape),
        "evictions": record.evictions,
        "failed_on": list(record.failed_on),
    }
    if record.evicted_for is not None:
        other = records_by_id.get(record.evicted_for)
        document["reclaimed_by"] = {
            "job_id": record.evicted_for,
            "team": other.spec.team if other else None,
        }
    return document


def explain_queued(
    record: JobRecord,
    cell: Cell,
    queue: Sequence[QueuedJob],
    now_s: float,
    delay_s: float,
) -> dict[str, object]:
    """Return what keeps a queued job from starting.

    :param delay_s: time until the next start may be tried, in seconds
    """
    if record.state is not JobState.QUEUED:
        return {}
    found = explain_wait(cell, queue, record.job_id, now_s)
    blockers = msgspec.to_builtins(found.blockers[:MAX_BLOCKERS])
    return {
        "cause": "delayed" if delay_s > 0 else found.cause.value,
        "delay_s": delay_s,
        "inside_guarantee": found.inside_guarantee,
        "free_accelerators": found.free_accelerators,
        "blocked_by": blockers,
        "borrowers": [blocker for blocker in blockers if blocker["borrowed"]],
        "freed_by": list(found.freed_by[:MAX_BLOCKERS]),
        "expected_wait_s": found.expected_wait_s,
    }
