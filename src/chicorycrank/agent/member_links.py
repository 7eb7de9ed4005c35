"""Links from the head of a gang to the agents of its members."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from chicorycrank.adapters.background import Background
from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.model.messages import AnyMessage, Hello
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError, LinkNotSentError

MEMBER_HEARTBEAT = timedelta(seconds=3)


class MemberLinks:
    """One connection per member's agent, shared by all gangs that this agent leads.

    :param hello: makes the greeting to a member's agent
    :param handler: takes what a member's agent sends without being asked
    """

    def __init__(
        self,
        clock: Clock,
        background: Background,
        *,
        hello: Callable[[], Hello],
        handler: Handler,
        counters: Counter[str],
    ) -> None:
        self._clock = clock
        self._background = background
        self._hello = hello
        self._handler = handler
        self._counters = counters
        self._link_by_address: dict[str, PeerLink] = {}
        self._lock_by_address: dict[str, asyncio.Lock] = {}

    @property
    def links(self) -> list[PeerLink]:
        """Open links, for counters."""
        return list(self._link_by_address.values())

    async def call(self, address: str, message: AnyMessage, timeout: timedelta) -> AnyMessage:
        """Send a message to the agent at ``address`` and return its reply.

        :raises LinkError: no reply; the connection is replaced at the next call
        """
        link = await self._find(address)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await link.request(message, timeout=timeout)
        except LinkNotSentError:
            raise
        except (LinkError, TimeoutError, asyncio.CancelledError):
            # An open connection may be silent for good.
            if self._link_by_address.get(address) is link:
                del self._link_by_address[address]
            self._background.start(link.close("no reply"))
            raise

    def close_unused(self, addresses: set[str]) -> None:
        """Close the links to all agents but these."""
        for address in set(self._link_by_address) - addresses:
            link = self._link_by_address.pop(address)
            self._lock_by_address.pop(address, None)
            self._background.start(link.close("gang ended"))

    async def _find(self, address: str) -> PeerLink:
        async with self._lock_by_address.setdefault(address, asyncio.Lock()):
            link = self._link_by_address.get(address)
            if link is None or not link.is_open:
                link, _ = await dial(
                    address,
                    hello=self._hello(),
                    handler=self._handler,
                    clock=self._clock,
                    heartbeat=MEMBER_HEARTBEAT,
                    counters=self._counters,
                )
                self._link_by_address[address] = link
                self._background.start(link.run())
            return link
