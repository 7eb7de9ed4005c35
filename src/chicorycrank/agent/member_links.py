"""Connections from the head of a gang to the agents of its members."""

import asyncio
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.model.messages import AnyMessage, Hello
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError, MessageNotSentError

MEMBER_HEARTBEAT = timedelta(seconds=3)


class MemberLinks:
    """One connection per member's agent, shared by all gangs whose head is this agent.

    :param hello: returns the hello message for a new connection
    :param handler: handles messages that a member's agent sends on its own initiative
    """

    def __init__(
        self,
        clock: Clock,
        background: BackgroundTasks,
        *,
        hello: Callable[[], Hello],
        handler: Handler,
        counters: Counter[str],
    ) -> None:
        self._clock = clock
        self._background = background
        self._make_hello = hello
        self._handler = handler
        self._counters = counters
        self._link_by_address: dict[str, PeerLink] = {}
        self._lock_by_address: dict[str, asyncio.Lock] = {}

    @property
    def links(self) -> list[PeerLink]:
        """Links to members' agents, for traffic counters."""
        return list(self._link_by_address.values())

    async def call(self, address: str, message: AnyMessage, timeout: timedelta) -> AnyMessage:
        """Send a message to the agent at ``address`` and return its reply.

        :raises LinkError: no reply arrived; the next call opens a new connection
        """
        link = await self._get_or_connect(address)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await link.request(message, timeout=timeout)
        except MessageNotSentError:
            raise
        except (LinkError, TimeoutError, asyncio.CancelledError):
            # The connection may be open but never deliver a reply, so it is not used again.
            if self._link_by_address.get(address) is link:
                del self._link_by_address[address]
            self._background.start(link.close("no reply"))
            raise

    def close_unused(self, addresses: set[str]) -> None:
        """Close all links except those to agents at ``addresses``."""
        for address in set(self._link_by_address) - addresses:
            link = self._link_by_address.pop(address)
            self._lock_by_address.pop(address, None)
            self._background.start(link.close("gang ended"))

    async def _get_or_connect(self, address: str) -> PeerLink:
        async with self._lock_by_address.setdefault(address, asyncio.Lock()):
            link = self._link_by_address.get(address)
            if link is None or not link.is_open:
                link, _ = await dial(
                    address,
                    hello=self._make_hello(),
                    handler=self._handler,
                    clock=self._clock,
                    heartbeat=MEMBER_HEARTBEAT,
                    counters=self._counters,
                )
                self._link_by_address[address] = link
                self._background.start(link.run())
            return link
