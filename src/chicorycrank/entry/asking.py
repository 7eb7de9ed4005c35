"""Asking several entries for one answer."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

from chicorycrank.model.messages import AnyMessage, Refused
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError

CALL_TIMEOUT = timedelta(seconds=2)
# The last entry is asked after this time, so that with the timeout an answer or a refusal takes
# at most 4 s, less than the 5 s that the HTTP interface waits for the event loop.
SPREAD = timedelta(seconds=2)
# An entry that lives answers sooner, and then no other entry's reply crosses regions.
STAGGER = timedelta(milliseconds=300)
MAX_ASKED = 64


async def ask_first(
    links: Sequence[Link], message: AnyMessage, clock: Clock, accepts: Callable[[AnyMessage], bool]
) -> AnyMessage | None:
    """Return the first reply that is accepted.

    The entries are asked one shortly after the other without waiting for replies; the message
    must be safe to repeat.

    :returns: without an accepted reply, the refusal of the last entry that refused; absent if
        none replied
    """
    asked = list(links[:MAX_ASKED])
    step = min(STAGGER, SPREAD / max(1, len(asked)))
    refusal: AnyMessage | None = None
    tasks = [
        asyncio.create_task(_ask_later(link, message, clock, step * position))
        for position, link in enumerate(asked)
    ]
    try:
        for answered in asyncio.as_completed(tasks):
            reply = await answered
            if reply is not None and accepts(reply):
                return reply
            if isinstance(reply, Refused):
                refusal = reply
    finally:
        for task in tasks:
            task.cancel()
    return refusal


async def _ask_later(
    link: Link, message: AnyMessage, clock: Clock, delay: timedelta
) -> AnyMessage | None:
    if delay:
        await clock.sleep(delay)
    try:
        return await link.request(message, timeout=CALL_TIMEOUT)
    except LinkError:
        return None
