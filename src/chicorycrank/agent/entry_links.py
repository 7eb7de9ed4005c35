"""Connections from an agent to the entries of its region."""

import asyncio
import logging
import random
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.model.ids import EntryId, RegionId
from chicorycrank.model.messages import AnyMessage, Hello
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError

RECONNECT_MIN = timedelta(milliseconds=200)
RECONNECT_MAX = timedelta(seconds=3)
# An entry that is unreachable for this long is no longer dialled, because its VM may have been
# replaced. If the entry returns, another entry or the balancer announces it.
UNREACHABLE_LIMIT_S = 600.0

logger = logging.getLogger("absl")


class EntryLinks:
    """Maintains one connection to each entry of the region.

    :param hello: returns the hello message for a new connection
    :param on_link: called with each new link when it starts to handle messages
    """

    def __init__(
        self,
        region: RegionId,
        clock: Clock,
        background: BackgroundTasks,
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
        self._make_hello = hello
        self._handler = handler
        self._counters = counters
        self._on_link = on_link
        self._balancer_dial_tasks: list[asyncio.Task[None]] = []
        self._dial_task_by_address: dict[str, asyncio.Task[None]] = {}
        self.link_by_entry: dict[EntryId, PeerLink] = {}

    def start(self, balancer: str) -> None:
        """Dial the balancer whenever no entry is connected."""
        self._balancer_dial_tasks.append(self._background.start(self._dial_balancer(balancer)))

    def add_entry(self, entry: EntryInfo) -> None:
        """Maintain a connection to an entry; entries of other regions are ignored."""
        if entry.region != self._region:
            return
        task = self._dial_task_by_address.get(entry.peer_address)
        if task is None or task.done():
            self._dial_task_by_address[entry.peer_address] = self._background.start(
                self._dial_entry(entry)
            )

    async def send(self, message: AnyMessage) -> None:
        """Send a message to all connected entries."""
        for link in list(self.link_by_entry.values()):
            try:
                await link.send(message)
            except LinkError as error:
                logger.debug("event=report_send_failed error=%s", error)

    async def close(self, reason: str) -> None:
        """Stop dialling and close all links."""
        for task in [*self._balancer_dial_tasks, *self._dial_task_by_address.values()]:
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
        """Maintain a connection to an entry; stop after :data:`UNREACHABLE_LIMIT_S` without one."""
        delay = RECONNECT_MIN
        last_connected_at = self._clock.monotonic()
        while self._clock.monotonic() < last_connected_at + UNREACHABLE_LIMIT_S:
            link = self.link_by_entry.get(entry.entry_id)
            if link is not None and link.is_open:
                await link.wait_closed()
                delay = RECONNECT_MIN
                last_connected_at = self._clock.monotonic()
            elif await self._connect(entry.peer_address):
                continue
            await self._clock.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, RECONNECT_MAX)
        logger.warning("event=entry_dialling_stopped entry=%s", entry.entry_id)

    async def _connect(self, address: str) -> bool:
        try:
            link, welcome = await dial(
                address,
                hello=self._make_hello(),
                handler=self._handler,
                clock=self._clock,
                heartbeat=self._heartbeat,
                counters=self._counters,
            )
        except LinkError as error:
            logger.info("event=dial_failed address=%s error=%s", address, error)
            return False
        entry_id = welcome.entry.entry_id
        previous_link = self.link_by_entry.get(entry_id)
        self.link_by_entry[entry_id] = link
        if previous_link is not None:
            # The entry uses the newest connection of a target, so the previous one is closed.
            self._background.start(previous_link.close("duplicate connection"))
        self._background.start(self._run_link(entry_id, link))
        for entry in welcome.entries:
            self.add_entry(entry)
        return True

    async def _run_link(self, entry_id: EntryId, link: PeerLink) -> None:
        logger.info("event=entry_connected entry=%s", entry_id)
        self._background.start(self._call_on_link(link))
        try:
            await link.run()
        finally:
            if self.link_by_entry.get(entry_id) is link:
                del self.link_by_entry[entry_id]
            logger.info("event=entry_lost entry=%s", entry_id)

    async def _call_on_link(self, link: PeerLink) -> None:
        try:
            await self._on_link(link)
        except LinkError as error:
            logger.debug("event=report_send_failed error=%s", error)
