"""Links from an agent to the entries of its region."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.agent.background import Background
from chicorycrank.model.ids import EntryId, RegionId
from chicorycrank.model.messages import AnyMessage, Hello, Welcome
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError

RECONNECT_MIN = timedelta(milliseconds=200)
RECONNECT_MAX = timedelta(seconds=3)

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
    ) -> None:
        self._region = region
        self._clock = clock
        self._background = background
        self._heartbeat = heartbeat
        self._hello = hello
        self._handler = handler
        self._on_link = on_link
        self._dialler_by_address: dict[str, asyncio.Task[None]] = {}
        self.link_by_entry: dict[EntryId, PeerLink] = {}

    def keep(self, address: str) -> None:
        """Keep a connection to the entry at ``address``."""
        task = self._dialler_by_address.get(address)
        if task is None or task.done():
            self._dialler_by_address[address] = self._background.start(self._dial_forever(address))

    async def send(self, message: AnyMessage) -> None:
        """Send a message to every entry that is connected."""
        for link in list(self.link_by_entry.values()):
            try:
                await link.send(message)
            except LinkError as error:
                logger.debug("event=report_lost error=%s", error)

    async def close(self, reason: str) -> None:
        """Stop dialling and close every link."""
        for task in self._dialler_by_address.values():
            task.cancel()
        await asyncio.gather(*(link.close(reason) for link in self.link_by_entry.values()))

    async def _dial_forever(self, address: str) -> None:
        delay = RECONNECT_MIN
        while True:
            try:
                link, welcome = await dial(
                    address,
                    hello=self._hello(),
                    handler=self._handler,
                    clock=self._clock,
                    heartbeat=self._heartbeat,
                )
            except LinkError as error:
                logger.info("event=dial_failed address=%s error=%s", address, error)
                await self._clock.sleep(delay * random.uniform(0.5, 1.0))
                delay = min(delay * 2, RECONNECT_MAX)
                continue
            delay = RECONNECT_MIN
            await self._run(link, welcome)
            await self._clock.sleep(RECONNECT_MIN * random.uniform(0.5, 1.0))

    async def _run(self, link: PeerLink, welcome: Welcome) -> None:
        entry_id = welcome.entry.entry_id
        current = self.link_by_entry.get(entry_id)
        if current is not None and current.is_open:
            # The balancer's address leads to an entry that has a connection of its own.
            await link.close("duplicate connection")
            await self._clock.sleep(RECONNECT_MAX)
            return
        self.link_by_entry[entry_id] = link
        logger.info("event=entry_connected entry=%s", entry_id)
        for entry in welcome.entries:
            if entry.region == self._region:
                self.keep(entry.peer_address)
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
