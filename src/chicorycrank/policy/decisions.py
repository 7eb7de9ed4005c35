"""Decisions that a decision pass returns."""

from dataclasses import dataclass
from enum import Enum

from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import MemberPlacement, WorkKind


@dataclass(frozen=True, kw_only=True)
class Start:
    """Start a queued job.

    :param backfill: the job starts on accelerators reserved for another job
    """

    job_id: JobId
    placement: tuple[MemberPlacement, ...]
    kind: WorkKind
    backfill: bool = False


class EvictionCause(Enum):
    """Reason for an eviction."""

    GUARANTEE = "guarantee"
    URGENT = "urgent"
    OVERRUN = "overrun"


@dataclass(frozen=True, kw_only=True)
class Evict:
    """Stop a running job so that ``for_job`` can start."""

    job_id: JobId
    for_job: JobId
    cause: EvictionCause
    reason: str


EVICTION_REASONS = {
    EvictionCause.GUARANTEE: "used accelerators guaranteed to team {team}",
    EvictionCause.URGENT: "used accelerators that urgent work of team {team} needs",
    EvictionCause.OVERRUN: "exceeded its run time on accelerators reserved for team {team}",
}

Decision = Start | Evict
