"""Messages of the handshake, of membership and of the configuration."""

from enum import Enum

from msgspec import Struct

from chicorycrank.model.ids import (
    CellId,
    EntryId,
    Epoch,
    Generation,
    GuaranteeId,
    Incarnation,
    Nonce,
    RegionId,
    ServiceId,
    ZoneId,
)
from chicorycrank.model.message import Message
from chicorycrank.model.targets import (
    EntryInfo,
    ExecutorInfo,
    TargetKind,
    WorkerInfo,
)

PROTOCOL_VERSION = 1


class Role(Enum):
    """Role of a peer."""

    ENTRY = "entry"
    AGENT = "agent"


class Hello(Message, frozen=True):
    """First message of the side that opened the connection.

    :param address: ``host:port`` at which the peer accepts connections
    """

    version: int
    role: Role
    peer_id: str
    incarnation: Incarnation
    region: RegionId
    zone: ZoneId
    address: str
    config_generation: Generation = Generation(0)
    target_kind: TargetKind | None = None
    executor: ExecutorInfo | None = None
    worker: WorkerInfo | None = None


class Welcome(Message, frozen=True):
    """Reply to :class:`Hello`."""

    entry: EntryInfo
    incarnation: Incarnation
    entries: tuple[EntryInfo, ...]


class Goodbye(Message, frozen=True):
    """Last message before a side closes the connection."""

    reason: str


class Heartbeat(Message, frozen=True):
    """Proves that the connection lives."""


class PeerList(Message, frozen=True):
    """Entries of the agent's region."""

    entries: tuple[EntryInfo, ...]


class ConfigOffer(Message, frozen=True):
    """A configuration document, encoded."""

    generation: Generation
    document: bytes


class ConfigRequest(Message, frozen=True):
    """Asks for the configuration if it is newer than ``above``."""

    above: Generation


class ConfigInForce(Message, frozen=True):
    """The sender has put this generation in force."""

    generation: Generation


class ServiceLoad(Struct, frozen=True, array_like=True):
    """Load of one service in one region."""

    service: ServiceId
    free_slots: int
    slots: int
    latency_s: float
    queued: int


class CellLoad(Struct, frozen=True, array_like=True):
    """Load of one cell, sent by its leader.

    :param largest_free_workers: wholly free workers of the rack with the most of them
    :param free_guarantees: guarantees with an instance that no job of the team uses
    """

    cell: CellId
    epoch: Epoch
    leader: EntryId
    free_accelerators: int
    largest_free_workers: int
    queued_jobs: int
    free_guarantees: tuple[GuaranteeId, ...] = ()


class Digest(Message, frozen=True):
    """State of an entry, sent to the other entries every second.

    :param config_nonce: tells apart two documents of one generation
    """

    config_generation: Generation
    services: tuple[ServiceLoad, ...]
    cells: tuple[CellLoad, ...]
    draining: bool
    config_nonce: Nonce = Nonce("")
