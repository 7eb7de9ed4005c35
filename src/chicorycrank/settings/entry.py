"""Settings of an entry."""

from msgspec import Struct

from chicorycrank.model.ids import CellId, EntryId, RegionId, ZoneId


class EntrySettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of ``chicorycrank-entry``.

    :param cell: cell whose scheduler role this entry may hold
    :param store_url: base address of the platform's store
    :param drain_s: time between the health check's turn and the stop in seconds
    """

    entry: EntryId
    region: RegionId
    zone: ZoneId
    cell: CellId
    listen_host: str
    peer_port: int
    http_port: int
    store_url: str
    http_threads: int = 64
    agent_heartbeat_s: float = 1.5
    drain_s: float = 2.0
    log_level: str = "info"
