"""Messages for operators' calls about processes and targets."""

from msgspec import Struct

from chicorycrank.model.ids import (
    EntryId,
    Generation,
    Nonce,
    RegionId,
    TargetId,
    ZoneId,
)
from chicorycrank.model.message import Message
from chicorycrank.model.targets import (
    ExecutorInfo,
    TargetKind,
    WorkerInfo,
)


class SetDraining(Message, frozen=True):
    """Request to an agent to start or end draining its target; answered by :class:`Ok`."""

    target: TargetId
    draining: bool


class QueryState(Message, frozen=True):
    """Query for a peer's state; answered by Text with a JSON document."""

    peer_id: str


class ListTargets(Message, frozen=True):
    """Query for the targets connected to an entry; answered by :class:`TargetList`."""


class TargetInfo(Struct, frozen=True, array_like=True):
    """Connected target.

    :param generation: generation of the configuration that the target's agent has confirmed
    """

    target: TargetId
    kind: TargetKind
    region: RegionId
    zone: ZoneId
    generation: Generation
    draining: bool
    reachable: bool
    executor: ExecutorInfo | None = None
    worker: WorkerInfo | None = None


class TargetList(Message, frozen=True):
    """Targets connected to an entry, and generation and nonce of its active configuration."""

    entry: EntryId
    region: RegionId
    generation: Generation
    nonce: Nonce
    targets: tuple[TargetInfo, ...]
