"""Explanations of why a job waits or was evicted."""

from collections.abc import Mapping, Sequence

import msgspec

from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobRecord, JobState
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.explain import explain_wait

# Limits the size of the reply in a cell with thousands of running jobs.
MAX_BLOCKERS = 100


def explain_record(
    record: JobRecord, records_by_id: Mapping[JobId, JobRecord]
) -> dict[str, object]:
    """Return the part of an explanation that is in the job's record: state, reason, eviction."""
    document: dict[str, object] = {
        "job_id": record.job_id,
        "state": record.state.value,
        "generation": record.generation,
        "reason": record.reason,
        "needs": msgspec.to_builtins(record.spec.shape),
        "evictions": record.evictions,
        "failed_on": list(record.failed_on),
        "lost_on": list(record.lost_on),
    }
    if record.evicted_for is not None:
        evicting_record = records_by_id.get(record.evicted_for)
        document["reclaimed_by"] = {
            "job_id": record.evicted_for,
            "team": evicting_record.spec.team if evicting_record else None,
        }
    return document


def explain_queued(
    record: JobRecord,
    cell: Cell,
    queue: Sequence[QueuedJob],
    now_s: float,
    delay_s: float,
) -> dict[str, object]:
    """Return what prevents a queued job from starting, or nothing for a job in another state.

    :param delay_s: time until the next start is allowed, in seconds
    """
    if record.state is not JobState.QUEUED:
        return {}
    explanation = explain_wait(cell, queue, record.job_id, now_s)
    blockers = msgspec.to_builtins(explanation.blockers[:MAX_BLOCKERS])
    return {
        "cause": "delayed" if delay_s > 0 else explanation.cause.value,
        "delay_s": delay_s,
        "inside_guarantee": explanation.inside_guarantee,
        "free_accelerators": explanation.free_accelerators,
        "blocked_by": blockers,
        "borrowers": [blocker for blocker in blockers if blocker["borrowed"]],
        "freed_by": list(explanation.freed_by[:MAX_BLOCKERS]),
        "expected_wait_s": explanation.expected_wait_s,
    }
