"""Links from an agent to the entries of its region."""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

from chicorycrank.adapters.background import Background
from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.model.ids import EntryId, RegionId
from chicorycrank.model.messages import AnyMessage, Hello
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError

RECONNECT_MIN = timedelta(milliseconds=200)
RECONNECT_MAX = timedelta(seconds=3)
# Replaced VMs do not come back; a returning one is learned from another entry or the balancer.
GIVE_UP_S = 600.0

logger = logging.getLogger("absl")


class EntryLinks:
    """Keeps one connection to each entry of the region.

    :param hello: makes the greeting to an entry
    :param on_link: called with a new link to an entry before its messages are handled
    """

    def __init__(
        self,
        region: RegionId,
        clock: Clock,
        background: Background,
        heartbeat: timedelta,
        *,
        hello: Callable[[], Hello],
        handler: Handler,
        on_link: Callable[[PeerLink], Awaitable[None]],
        counters: Counter[str],
    ) -> None:
        self._region = region
        self._clock = clock
        self._background = background
        self._heartbeat = heartbeat
        self._hello = hello
        self._handler = handler
        self._counters = counters
        self._on_link = on_link
        self._diallers: list[asyncio.Task[None]] = []
        self._dialler_by_address: dict[str, asyncio.Task[None]] = {}
        self.link_by_entry: dict[EntryId, PeerLink] = {}

    def start(self, balancer: str) -> None:
        """Find entries through the balancer whenever no entry is connected."""
        self._diallers.append(self._background.start(self._dial_balancer(balancer)))

    def keep(self, entry: EntryInfo) -> None:
        """Keep a connection to an entry of the region."""
        if entry.region != self._region:
            return
        task = self._dialler_by_address.get(entry.peer_address)
        if task is None or task.done():
            self._dialler_by_address[entry.peer_address] = self._background.start(
                self._dial_entry(entry)
            )

    async def send(self, message: AnyMessage) -> None:
        """Send a message to every entry that is connected."""
        for link in list(self.link_by_entry.values()):
            try:
                await link.send(message)
            except LinkError as error:
                logger.debug("event=report_lost error=%s", error)

    async def close(self, reason: str) -> None:
        """Stop dialling and close every link."""
        for task in [*self._diallers, *self._dialler_by_address.values()]:
            task.cancel()
        await asyncio.gather(*(link.close(reason) for link in self.link_by_entry.values()))

    async def _dial_balancer(self, address: str) -> None:
        delay = RECONNECT_MIN
        while True:
            if self.link_by_entry or await self._connect(address):
                delay = RECONNECT_MIN
            await self._clock.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, RECONNECT_MAX)

    async def _dial_entry(self, entry: EntryInfo) -> None:
        """Keep a connection to an entry; give up when it has been away for long."""
        delay = RECONNECT_MIN
        seen_at = self._clock.monotonic()
        while self._clock.monotonic() < seen_at + GIVE_UP_S:
            link = self.link_by_entry.get(entry.entry_id)
            if link is not None and link.is_open:
                await link.wait_closed()
                delay = RECONNECT_MIN
                seen_at = self._clock.monotonic()
            elif await self._connect(entry.peer_address):
                continue
            await self._clock.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, RECONNECT_MAX)
        logger.warning("event=entry_given_up entry=%s", entry.entry_id)

    async def _connect(self, address: str) -> bool:
        try:
            link, welcome = await dial(
                address,
                hello=self._hello(),
                handler=self._handler,
                clock=self._clock,
                heartbeat=self._heartbeat,
                counters=self._counters,
            )
        except LinkError as error:
            logger.info("event=dial_failed address=%s error=%s", address, error)
            return False
        entry_id = welcome.entry.entry_id
        older = self.link_by_entry.get(entry_id)
        self.link_by_entry[entry_id] = link
        if older is not None:
            # The entry uses the newest connection of a target, so the older one is closed.
            self._background.start(older.close("duplicate connection"))
        self._background.start(self._run(entry_id, link))
        for entry in welcome.entries:
            self.keep(entry)
        return True

    async def _run(self, entry_id: EntryId, link: PeerLink) -> None:
        logger.info("event=entry_connected entry=%s", entry_id)
        self._background.start(self._greet(link))
        try:
            await link.run()
        finally:
            if self.link_by_entry.get(entry_id) is link:
                del self.link_by_entry[entry_id]
            logger.info("event=entry_lost entry=%s", entry_id)

    async def _greet(self, link: PeerLink) -> None:
        try:
            await self._on_link(link)
        except LinkError as error:
            logger.debug("event=report_lost error=%s", error)
