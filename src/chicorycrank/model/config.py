"""Configuration document, and the release notes that change it.

A release note is a change of the configuration that an operator writes and applies.
"""

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
PositiveInt = Annotated[int, Meta(ge=1)]


class Team(Struct, frozen=True, kw_only=True):
    """Team that submits jobs and requests.

    :param weight: share of free capacity relative to other teams
    :param max_queued_jobs: maximum number of the team's queued jobs in a cell
    """

    weight: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    max_queued_jobs: Annotated[int, Meta(ge=0)] = 1000


class Guarantee(Struct, frozen=True, kw_only=True):
    """Guarantee of ``count`` gangs of a shape for a team in one region."""

    team: TeamId
    region: RegionId
    shape: GangShape
    count: PositiveInt = 1


class Service(Struct, frozen=True, kw_only=True):
    """Type of short request, which is answered directly instead of being queued as a job.

    :param repeatable: running a request more than once is safe
    :param deadline_s: default deadline in seconds
    """

    request_class: RequestClass
    repeatable: bool
    deadline_s: Annotated[float, Meta(gt=0, le=3600)] = 30.0


class Limits(Struct, frozen=True, kw_only=True):
    """Limits that apply in every region.

    :param max_queue_per_team: maximum number of queued requests per team, request class and entry
    :param max_connections_per_executor: maximum number of connections per executor, which also
        limits its concurrent requests
    :param cross_region_cost_s_per_mb: time in seconds that forwarding to another region must save
        for each megabyte of the request
    """

    max_queue_per_team: PositiveInt = 200
    max_body_bytes: PositiveInt = 1_000_000
    max_connections_per_executor: PositiveInt = 60
    cross_region_cost_s_per_mb: Annotated[float, Meta(ge=0)] = 0.5


class ChangeSummary(Struct, frozen=True, kw_only=True):
    """Author and changed keys of an accepted release.

    :param keys: changed objects, as in :attr:`ReleaseNote.keys`
    :param nonce: value unique to the write; shows whether a write of unknown outcome was applied,
        even if other releases followed
    :param digest: digest of the release note, which identifies a repeated release
    """

    generation: Generation
    release: str
    author: str
    accepted_at: datetime
    keys: tuple[str, ...]
    nonce: Nonce = Nonce("")
    digest: str = ""


class Config(Struct, frozen=True, kw_only=True):
    """Active configuration.

    :param generation: incremented by one for each accepted release
    :param nonce: value unique to the write that produced this document
    :param history: last accepted releases, at most ``HISTORY_LENGTH``, the oldest first
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
    """Objects by id that a release adds or changes."""

    teams: dict[TeamId, Team] = field(default_factory=dict)
    guarantees: dict[GuaranteeId, Guarantee] = field(default_factory=dict)
    services: dict[ServiceId, Service] = field(default_factory=dict)


class ChangedSection(Section, frozen=True, kw_only=True):
    """Objects and limits that a release changes; each replaces the old value completely."""

    limits: Limits | None = None


class WithdrawnSection(Struct, frozen=True, kw_only=True):
    """Ids of the objects that a release withdraws."""

    teams: tuple[TeamId, ...] = ()
    guarantees: tuple[GuaranteeId, ...] = ()
    services: tuple[ServiceId, ...] = ()


class ReleaseNote(Struct, frozen=True, kw_only=True):
    """Change of the configuration, written by an operator.

    :param written_against: generation of the configuration on which the note is based
    """

    release: Annotated[str, Meta(min_length=1, max_length=200)]
    author: Annotated[str, Meta(min_length=1, max_length=200)]
    written_against: Annotated[int, Meta(ge=0)]
    added: Section = Section()
    changed: ChangedSection = ChangedSection()
    withdrawn: WithdrawnSection = WithdrawnSection()

    @property
    def keys(self) -> tuple[str, ...]:
        """Added (``+``), changed (``~``) and withdrawn (``-``) keys, such as ``+teams/claims``."""
        kinds = ("teams", "guarantees", "services")
        sections = (("+", self.added), ("~", self.changed), ("-", self.withdrawn))
        keys = [
            f"{sign}{kind}/{object_id}"
            for sign, section in sections
            for kind in kinds
            for object_id in getattr(section, kind)
        ]
        return (*keys, "~limits") if self.changed.limits is not None else tuple(keys)

    def apply_to(self, config: Config) -> Config:
        """Return the configuration with the changes of this release."""
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
    old: dict[Id, Value],
    added: dict[Id, Value],
    changed: dict[Id, Value],
    withdrawn: tuple[Id, ...],
) -> dict[Id, Value]:
    merged = old | added | changed
    return {key: value for key, value in merged.items() if key not in withdrawn}
