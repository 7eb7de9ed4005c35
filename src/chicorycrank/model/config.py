"""The configuration document that releases change."""

from datetime import datetime

from msgspec import Struct, field

from chicorycrank.model.ids import Generation, GuaranteeId, Nonce, RegionId, ServiceId, TeamId
from chicorycrank.model.jobs import GangShape
from chicorycrank.model.requests import RequestClass

HISTORY_LENGTH = 50


class Team(Struct, frozen=True, kw_only=True):
    """A team.

    :param weight: share of free capacity relative to other teams
    """

    weight: float = 1.0
    max_queued_jobs: int = 1000


class Guarantee(Struct, frozen=True, kw_only=True):
    """Guaranteed shape of a team in one region, ``count`` times."""

    team: TeamId
    region: RegionId
    shape: GangShape
    count: int = 1


class Service(Struct, frozen=True, kw_only=True):
    """A kind of short request.

    :param deadline_s: default deadline in seconds
    """

    request_class: RequestClass
    repeatable: bool
    deadline_s: float = 30.0


class Limits(Struct, frozen=True, kw_only=True):
    """Limits that hold in every region.

    :param max_queue_per_team: queued requests per team, class and entry
    :param cross_region_cost_s_per_mb: delay in seconds that a saved megabyte is worth
    """

    max_queue_per_team: int = 200
    max_body_bytes: int = 1_000_000
    max_connections_per_executor: int = 60
    cross_region_cost_s_per_mb: float = 0.5


class ChangeSummary(Struct, frozen=True, kw_only=True):
    """One accepted release: who changed which keys."""

    generation: Generation
    release: str
    author: str
    accepted_at: datetime
    keys: tuple[str, ...]


class Config(Struct, frozen=True, kw_only=True):
    """The configuration in force.

    :param generation: grows by exactly one per accepted release
    :param nonce: identifies the write that produced this document
    """

    generation: Generation = Generation(0)
    release: str = ""
    author: str = ""
    nonce: Nonce = Nonce("")
    teams: dict[TeamId, Team] = field(default_factory=dict)
    guarantees: dict[GuaranteeId, Guarantee] = field(default_factory=dict)
    services: dict[ServiceId, Service] = field(default_factory=dict)
    limits: Limits = Limits()
    history: tuple[ChangeSummary, ...] = ()
