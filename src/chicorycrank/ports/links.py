"""Interface of a connection to a peer."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Protocol

from chicorycrank.model.messages import AnyMessage, Hello


class LinkError(Exception):
    """Sending failed or a request got no reply; the peer may have received the message."""


class MessageNotSentError(LinkError):
    """The message was not sent, so the peer has not received it.

    The connection is closed or cannot be established, or the message is too large.
    """


class Link(Protocol):
    """Open connection to a peer."""

    peer: Hello

    @property
    def is_open(self) -> bool:
        """Whether the connection is usable."""

    async def send(self, message: AnyMessage) -> None:
        """Send a message that needs no reply.

        :raises MessageNotSentError: nothing was sent
        :raises LinkError: sending failed; the peer may have received the message
        """

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Send a message and wait for its reply.

        :raises MessageNotSentError: nothing was sent
        :raises LinkError: no reply arrived in time, or the connection was closed
        """

    async def close(self, reason: str) -> None:
        """Send a :class:`Goodbye` and close the connection."""


Handler = Callable[[Link, AnyMessage], Awaitable[AnyMessage | None]]
