"""The configuration document that releases change."""

from datetime import datetime
from typing import Annotated, TypeVar

from msgspec import Meta, Struct, field
from msgspec.structs import replace

from chicorycrank.model.ids import Generation, GuaranteeId, Nonce, RegionId, ServiceId, TeamId
from chicorycrank.model.jobs import GangShape
from chicorycrank.model.requests import RequestClass

HISTORY_LENGTH = 50

Id = TypeVar("Id")
Value = TypeVar("Value")
Count = Annotated[int, Meta(ge=1)]


class Team(Struct, frozen=True, kw_only=True):
    """A team.

    :param weight: share of free capacity relative to other teams
    """

    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    max_queued_jobs: Annotated[int, Meta(ge=0)] = 1000


class Guarantee(Struct, frozen=True, kw_only=True):
    """Guaranteed shape of a team in one region, ``count`` times."""

    team: TeamId
    region: RegionId
    shape: GangShape
    count: Count = 1


class Service(Struct, frozen=True, kw_only=True):
    """A kind of short request.

    :param deadline_s: default deadline in seconds
    """

    request_class: RequestClass
    repeatable: bool
    deadline_s: Annotated[float, Meta(gt=0, le=3600)] = 30.0


class Limits(Struct, frozen=True, kw_only=True):
    """Limits that hold in every region.

    :param max_queue_per_team: queued requests per team, class and entry
    :param cross_region_cost_s_per_mb: delay in seconds that a saved megabyte is worth
    """

    max_queue_per_team: Count = 200
    max_body_bytes: Count = 1_000_000
    max_connections_per_executor: Count = 60
    cross_region_cost_s_per_mb: Annotated[float, Meta(ge=0)] = 0.5


class ChangeSummary(Struct, frozen=True, kw_only=True):
    """One accepted release: who changed which keys.

    :param nonce: identifies the write, also after later releases
    :param digest: of the release note's content; tells a repeated release from another one
    """

    generation: Generation
    release: str
    author: str
    accepted_at: datetime
    keys: tuple[str, ...]
    nonce: Nonce = Nonce("")
    digest: str = ""


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


class Section(Struct, frozen=True, kw_only=True):
    """Objects that a release adds or changes, by id."""

    teams: dict[TeamId, Team] = field(default_factory=dict)
    guarantees: dict[GuaranteeId, Guarantee] = field(default_factory=dict)
    services: dict[ServiceId, Service] = field(default_factory=dict)


class ChangedSection(Section, frozen=True, kw_only=True):
    """Objects that a release changes, and new limits; each is given whole."""

    limits: Limits | None = None


class WithdrawnSection(Struct, frozen=True, kw_only=True):
    """Ids that a release withdraws."""

    teams: tuple[TeamId, ...] = ()
    guarantees: tuple[GuaranteeId, ...] = ()
    services: tuple[ServiceId, ...] = ()


class ReleaseNote(Struct, frozen=True, kw_only=True):
    """A change that an operator asks for.

    :param written_against: generation of the configuration that the author saw
    """

    release: Annotated[str, Meta(min_length=1, max_length=200)]
    author: Annotated[str, Meta(min_length=1, max_length=200)]
    written_against: Annotated[int, Meta(ge=0)]
    added: Section = Section()
    changed: ChangedSection = ChangedSection()
    withdrawn: WithdrawnSection = WithdrawnSection()

    @property
    def keys(self) -> tuple[str, ...]:
        """What the release touches, such as ``+teams/claims``."""
        names = ("teams", "guarantees", "services")
        signs = (("+", self.added), ("~", self.changed), ("-", self.withdrawn))
        keys = [f"{s}{n}/{i}" for s, section in signs for n in names for i in getattr(section, n)]
        return (*keys, "~limits") if self.changed.limits is not None else tuple(keys)

    def apply_to(self, config: Config) -> Config:
        """Return the configuration with the objects of this release, otherwise unchanged."""
        return replace(
            config,
            teams=_merge(config.teams, self.added.teams, self.changed.teams, self.withdrawn.teams),
            guarantees=_merge(
                config.guarantees,
                self.added.guarantees,
                self.changed.guarantees,
                self.withdrawn.guarantees,
            ),
            services=_merge(
                config.services,
                self.added.services,
                self.changed.services,
                self.withdrawn.services,
            ),
            limits=self.changed.limits or config.limits,
        )


def _merge(
    old: dict[Id, Value], added: dict[Id, Value], changed: dict[Id, Value], gone: tuple[Id, ...]
) -> dict[Id, Value]:
    merged = old | added | changed
    return {key: value for key, value in merged.items() if key not in gone}
