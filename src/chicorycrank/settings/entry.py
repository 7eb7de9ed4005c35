"""Settings of an entry."""

from collections.abc import Iterator
from typing import Annotated

from msgspec import Meta, Struct

from chicorycrank.model.ids import CellId, EntryId, RegionId, ZoneId
from chicorycrank.settings.common import Address, LogLevel, NonEmptyStr, Port, Seconds, check_url
from chicorycrank.settings.findings import Problem


class EntrySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of ``chicorycrank-entry``.

    :param cell: cell whose leader role this entry may hold
    :param store_url: base URL of the platform's store
    :param http_threads: size of the HTTP server's thread pool
    :param agent_heartbeat_s: longest idle time in seconds before a heartbeat is sent to an agent;
        use the ``heartbeat_s`` of the agents
    :param drain_s: time in seconds for which the health check fails before the entry shuts down
    :param peer_address: ``host:port`` at which peers reach this entry, if it differs from the
        address that the entry listens on
    """

    entry: EntryId
    region: RegionId
    zone: ZoneId
    cell: CellId
    listen_host: NonEmptyStr
    peer_port: Port
    http_port: Port
    store_url: str
    http_threads: Annotated[int, Meta(ge=1, le=512)] = 64
    agent_heartbeat_s: Annotated[Seconds, Meta(gt=0, le=60)] = 1.5
    drain_s: Annotated[Seconds, Meta(ge=0, le=600)] = 2.0
    peer_address: Address | None = None
    log_level: LogLevel = LogLevel.INFO


def check_entry(settings: EntrySettings) -> list[Problem]:
    """Return the conflicts between fields and the values that are out of range."""
    return list(_check(settings))


def _check(settings: EntrySettings) -> Iterator[Problem]:
    yield from check_url("store_url", settings.store_url)
    if settings.peer_port == settings.http_port:
        yield Problem(
            path=("http_port",),
            text=f"http_port and peer_port are both {settings.http_port}",
            remedy="give two different ports",
        )
