"""Messages for the handshake, membership, configuration and load digests of peers."""

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
    """First message from the peer that opens a connection.

    :param address: ``host:port`` on which the peer accepts connections
    :param config_generation: generation of the peer's active configuration
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
    """Last message before a peer closes the connection."""

    reason: str


class Heartbeat(Message, frozen=True):
    """Sent on an idle connection, which the peer would otherwise close."""


class PeerList(Message, frozen=True):
    """Entries of the agent's region."""

    entries: tuple[EntryInfo, ...]


class ConfigOffer(Message, frozen=True):
    """Encoded configuration document."""

    generation: Generation
    document: bytes


class ConfigRequest(Message, frozen=True):
    """Query for the configuration if its generation exceeds ``above``."""

    above: Generation


class ConfigInForce(Message, frozen=True):
    """Notification that the sender has applied this generation of the configuration."""

    generation: Generation


class ServiceLoad(Struct, frozen=True, array_like=True):
    """Load of one service in one region.

    :param latency_s: latency of the service in seconds
    :param queued: number of queued requests
    """

    service: ServiceId
    free_slots: int
    slots: int
    latency_s: float
    queued: int


class CellLoad(Struct, frozen=True, array_like=True):
    """Load of one cell, sent by its leader.

    :param largest_free_workers: highest number of completely free workers in one rack
    :param free_guarantees: guarantees with at least one instance that no job uses
    """

    cell: CellId
    epoch: Epoch
    leader: EntryId
    free_accelerators: int
    largest_free_workers: int
    queued_jobs: int
    free_guarantees: tuple[GuaranteeId, ...] = ()


class Digest(Message, frozen=True):
    """Summary of an entry's load, sent to the other entries every second.

    :param config_nonce: distinguishes configuration documents of the same generation
    """

    config_generation: Generation
    services: tuple[ServiceLoad, ...]
    cells: tuple[CellLoad, ...]
    draining: bool
    config_nonce: Nonce = Nonce("")
