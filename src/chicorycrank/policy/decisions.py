"""What a decision pass may decide."""

from dataclasses import dataclass
from enum import Enum

from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import MemberPlacement, WorkKind


@dataclass(frozen=True, kw_only=True)
class Start:
    """Start a queued job.

    :param backfill: it starts on accelerators reserved for another job
    """

    job_id: JobId
    placement: tuple[MemberPlacement, ...]
    kind: WorkKind
    backfill: bool = False


class EvictionCause(Enum):
    """Why a job is evicted."""

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


REASONS = {
    EvictionCause.GUARANTEE: "borrowed the guaranteed shape of team {team}",
    EvictionCause.URGENT: "borrowed what urgent work of team {team} needs",
    EvictionCause.OVERRUN: "overran its expected run time on accelerators reserved for team {team}",
}

Decision = Start | Evict
