"""Settings of an entry."""

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, Struct

from chicorycrank.model.ids import CellId, EntryId, RegionId, ZoneId
from chicorycrank.settings.common import Address, LogLevel, Name, Port, Seconds, check_url
from chicorycrank.settings.findings import Problem


class EntrySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of ``chicorycrank-entry``.

    :param cell: cell whose scheduler role this entry may hold
    :param store_url: base address of the platform's store
    :param peer_address: ``host:port`` at which peers reach this entry, if it isn't the one it
        listens on
    :param drain_s: time between the health check's turn and the stop in seconds
    """

    entry: EntryId
    region: RegionId
    zone: ZoneId
    cell: CellId
    listen_host: Name
    peer_port: Port
    http_port: Port
    store_url: str
    http_threads: Annotated[int, Meta(ge=1, le=512)] = 64
    agent_heartbeat_s: Annotated[Seconds, Meta(gt=0, le=60)] = 1.5
    drain_s: Annotated[Seconds, Meta(ge=0, le=600)] = 2.0
    peer_address: Address | None = None
    log_level: LogLevel = LogLevel.INFO


def check_entry(settings: EntrySettings) -> list[Problem]:
    """Return the contradictions between fields."""
    return list(_check(settings))


def _check(settings: EntrySettings) -> Iterator[Problem]:
    yield from check_url("store_url", settings.store_url)
    if settings.peer_port == settings.http_port:
        yield Problem(
            path=("http_port",),
            text=f"http_port and peer_port are both {settings.http_port}",
            remedy="give two different ports",
        )
