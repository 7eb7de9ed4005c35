"""Keep connections to the other entries."""

import logging
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.entry.directory import Directory, Peer
from chicorycrank.model.ids import EntryId
from chicorycrank.model.messages import AnyMessage, Hello, PeerList
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError

PEER_HEARTBEAT = timedelta(seconds=2)
RECONNECT_MIN_DELAY = timedelta(milliseconds=300)
RECONNECT_MAX_JITTER = timedelta(milliseconds=1500)

logger = logging.getLogger("absl")


class PeerLinks:
    """One connection to each other entry, opened by the entry with the smaller id.

    :param make_hello: returns this entry's current hello
    :param on_open: called with each connection that this entry has opened
    """

    def __init__(
        self,
        info: EntryInfo,
        directory: Directory,
        clock: Clock,
        background: BackgroundTasks,
        *,
        handler: Handler,
        make_hello: Callable[[], Hello],
        on_open: Callable[[PeerLink], Coroutine[Any, Any, None]],
        counters: Counter[str],
    ) -> None:
        self._info = info
        self._directory = directory
        self._clock = clock
        self._background = background
        self._handler = handler
        self._make_hello = make_hello
        self._on_open = on_open
        self._counters = counters

    def add(self, info: EntryInfo) -> None:
        """Add an entry whose record is in the store; connect to it if its id is the larger one."""
        if info.entry_id == self._info.entry_id:
            return
        known_peer = self._directory.peers_by_id.get(info.entry_id)
        peer = known_peer or Peer(info=info)
        if info.region == self._info.region and (known_peer is None or known_peer.info != info):
            self._background.start(self._notify_agents(info))
        self._directory.peers_by_id[info.entry_id] = peer
        peer.info = info
        peer.is_listed = True
        if self._info.entry_id < info.entry_id and not peer.is_dialled:
            peer.is_dialled = True
            self._background.start(self._connect_forever(peer))

    def unlist_missing(self, listed_ids: frozenset[EntryId]) -> None:
        """Unlist every known entry whose record is not in the store.

        :param listed_ids: entries whose records are in the store
        """
        for entry_id in list(self._directory.peers_by_id):
            if entry_id not in listed_ids:
                self.unlist(entry_id)

    def unlist(self, entry_id: EntryId) -> None:
        """Mark an entry as unlisted; remove it unless its connection is open."""
        peer = self._directory.peers_by_id.get(entry_id)
        if peer is None:
            return
        peer.is_listed = False
        if peer.link is None or not peer.link.is_open:
            del self._directory.peers_by_id[entry_id]
            logger.info("event=entry_dropped entry=%s", entry_id)

    def add_incoming(self, link: PeerLink) -> None:
        """Add a connection that another entry opened."""
        peer = self._find_or_add_peer(link.peer)
        peer.link = link
        self._background.start(self._clear_when_closed(peer, link))

    async def send_all(self, message: AnyMessage) -> None:
        """Send a message to every connected entry."""
        for peer in list(self._directory.peers_by_id.values()):
            if peer.link is not None and peer.link.is_open:
                try:
                    await peer.link.send(message)
                except LinkError as error:
                    logger.debug("event=message_lost peer=%s error=%s", peer.info.entry_id, error)

    async def _connect_forever(self, peer: Peer) -> None:
        """Keep a connection to an entry until it is neither listed nor connected."""
        while self._directory.peers_by_id.get(peer.info.entry_id) is peer:
            try:
                link, _ = await dial(
                    peer.info.peer_address,
                    hello=self._make_hello(),
                    handler=self._handler,
                    clock=self._clock,
                    heartbeat=PEER_HEARTBEAT,
                    counters=self._counters,
                )
            except LinkError as error:
                logger.info("event=dial_failed entry=%s error=%s", peer.info.entry_id, error)
                await self._clock.sleep(
                    random.uniform(0.0, 1.0) * RECONNECT_MAX_JITTER + RECONNECT_MIN_DELAY
                )
                continue
            if self._directory.peers_by_id.get(peer.info.entry_id) is not peer:
                await link.close("entry is not listed")
                break
            peer.link = link
            self._background.start(self._on_open(link))
            await link.run()
            self._clear_link(peer, link)
        peer.is_dialled = False

    async def _clear_when_closed(self, peer: Peer, link: PeerLink) -> None:
        await link.wait_closed()
        self._clear_link(peer, link)

    def _clear_link(self, peer: Peer, link: PeerLink) -> None:
        if peer.link is link:
            peer.link = None
            if not peer.is_listed:
                self.unlist(peer.info.entry_id)

    def _find_or_add_peer(self, hello: Hello) -> Peer:
        """Return the entry that opened a connection; add it if its record is not known yet."""
        entry_id = EntryId(hello.peer_id)
        peer = self._directory.peers_by_id.get(entry_id)
        if peer is None:
            info = EntryInfo(
                entry_id=entry_id,
                region=hello.region,
                zone=hello.zone,
                peer_address=hello.address,
                http_address="",
            )
            peer = self._directory.peers_by_id[entry_id] = Peer(info=info, is_listed=False)
        return peer

    async def _notify_agents(self, info: EntryInfo) -> None:
        """Send the record of an entry of this region to the agents that are connected already."""
        for target in list(self._directory.targets_by_id.values()):
            try:
                await target.link.send(PeerList((info,)))
            except LinkError as error:
                logger.info("event=peer_list_lost target=%s error=%s", target.target_id, error)
