"""Asking several entries for one answer."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

from chicorycrank.model.messages import AnyMessage, Refused
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError, LinkNotSentError

CALL_TIMEOUT = timedelta(seconds=2)
# The last entry is asked after this time, so that with the timeout an answer or a refusal takes
# at most 4 s, less than the 5 s that the HTTP interface waits for the event loop.
SPREAD = timedelta(seconds=2)
# An entry that lives answers sooner, and then no other entry's reply crosses regions.
STAGGER = timedelta(milliseconds=300)
MAX_ASKED = 64
NOT_SENT = Refused("unreachable", "no entry that could answer is connected")


async def ask_first(
    links: Sequence[Link], message: AnyMessage, clock: Clock, accepts: Callable[[AnyMessage], bool]
) -> AnyMessage:
    """Return the first reply that is accepted.

    The entries are asked one shortly after the other without waiting for replies; the message
    must be safe to repeat.

    :returns: without an accepted reply, Refused: ``no_reply`` if an entry may have carried the
        message out, otherwise a refusal of an entry, or ``unreachable``
    """
    asked = list(links[:MAX_ASKED])
    step = min(STAGGER, SPREAD / max(1, len(asked)))
    refusal = NOT_SENT
    tasks = [
        asyncio.create_task(_ask_later(link, message, clock, step * position))
        for position, link in enumerate(asked)
    ]
    try:
        for answered in asyncio.as_completed(tasks):
            reply = await answered
            if accepts(reply):
                return reply
            is_weaker = refusal.code == "no_reply" or reply == NOT_SENT
            if isinstance(reply, Refused) and not is_weaker:
                refusal = reply
    finally:
        for task in tasks:
            task.cancel()
    return refusal


async def _ask_later(link: Link, message: AnyMessage, clock: Clock, delay: timedelta) -> AnyMessage:
    if delay:
        await clock.sleep(delay)
    try:
        return await link.request(message, timeout=CALL_TIMEOUT)
    except LinkNotSentError:
        return NOT_SENT
    except LinkError as error:
        return Refused("no_reply", str(error))
