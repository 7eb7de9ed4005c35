"""Registry of the targets and entries that this entry is connected to."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from chicorycrank.adapters.peers import PeerLink
from chicorycrank.model.ids import EntryId, Epoch, Generation, Incarnation, TargetId
from chicorycrank.model.messages import Digest, Hello
from chicorycrank.model.targets import EntryInfo, ExecutorLoad, TargetKind, WorkerLoad

NO_EPOCH = Epoch(0)
NO_GENERATION = Generation(0)


@dataclass(kw_only=True)
class Target:
    """Connected target.

    :param in_flight: number of requests that this entry sent and that are not answered yet
    :param config_generation: generation of the configuration that its agent has confirmed
    """

    target_id: TargetId
    hello: Hello
    link: PeerLink
    executor_load: ExecutorLoad = field(default_factory=ExecutorLoad)
    worker_load: WorkerLoad = field(default_factory=WorkerLoad)
    worker_epoch: Epoch = NO_EPOCH
    has_reported: bool = False
    in_flight: int = 0
    config_generation: Generation = NO_GENERATION

    @property
    def incarnation(self) -> Incarnation:
        """The agent's incarnation."""
        return self.hello.incarnation


@dataclass(kw_only=True)
class Peer:
    """Another entry.

    :param is_listed: whether its record is in the store; an entry without a record is kept while
        its connection is open, because records of serving entries expire during a store outage
    :param is_dialled: whether a task of this entry opens the connection again whenever it is lost
    """

    info: EntryInfo
    is_listed: bool = True
    is_dialled: bool = False
    link: PeerLink | None = None
    digest: Digest | None = None


class Directory:
    """All targets and entries by id."""

    def __init__(self) -> None:
        self.targets_by_id: dict[TargetId, Target] = {}
        self.peers_by_id: dict[EntryId, Peer] = {}

    def add_target(self, link: PeerLink) -> Target:
        """Add a target whose agent has connected; a new connection replaces the previous one."""
        target_id = TargetId(link.peer.peer_id)
        target = Target(target_id=target_id, hello=link.peer, link=link)
        self.targets_by_id[target_id] = target
        return target

    def remove_target(self, link: PeerLink) -> bool:
        """Remove a target if ``link`` is its current connection."""
        target_id = TargetId(link.peer.peer_id)
        target = self.targets_by_id.get(target_id)
        if target is None or target.link is not link:
            return False
        del self.targets_by_id[target_id]
        return True

    def executors(self) -> Iterator[Target]:
        """Iterate over the connected executors."""
        return self._of_kind(TargetKind.EXECUTOR)

    def workers(self) -> Iterator[Target]:
        """Iterate over the connected workers."""
        return self._of_kind(TargetKind.WORKER)

    def _of_kind(self, kind: TargetKind) -> Iterator[Target]:
        return (t for t in self.targets_by_id.values() if t.hello.target_kind is kind)
