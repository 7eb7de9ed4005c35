"""Messages of operators' calls about processes and targets."""

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
    """Tells an agent that its target leaves or returns; answered by :class:`Ok`."""

    target: TargetId
    draining: bool


class QueryState(Message, frozen=True):
    """Asks for the peer's state; answered by Text with a JSON document."""

    peer_id: str


class ListTargets(Message, frozen=True):
    """Asks an entry for the targets connected to it; answered by :class:`TargetList`."""


class TargetInfo(Struct, frozen=True, array_like=True):
    """A connected target.

    :param generation: configuration that its agent has confirmed
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
    """The targets of an entry, and the configuration in force there."""

    entry: EntryId
    region: RegionId
    generation: Generation
    nonce: Nonce
    targets: tuple[TargetInfo, ...]
