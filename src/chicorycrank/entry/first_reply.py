"""Send a message to several entries and return the first accepted reply."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

from chicorycrank.model.messages import AnyMessage, Refused
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError, MessageNotSentError

CALL_TIMEOUT = timedelta(seconds=2)
# Longest delay of the message to the last entry. Together with the timeout, a reply or a refusal
# takes at most 4 s, less than the 5 s that the HTTP interface waits for the event loop.
MAX_TOTAL_STAGGER = timedelta(seconds=2)
# A responsive entry replies within this time, so that usually only one reply crosses regions.
STAGGER_INTERVAL = timedelta(milliseconds=300)
MAX_QUERIED_LINKS = 64
NOT_SENT = Refused("unreachable", "no entry that could answer is connected")


async def request_first_accepted(
    links: Sequence[Link], message: AnyMessage, clock: Clock, accepts: Callable[[AnyMessage], bool]
) -> AnyMessage:
    """Return the first reply that is accepted.

    The message is sent to one entry after the other at a short interval, without waiting for the
    replies, so it must be idempotent.

    :returns: without an accepted reply, Refused: ``no_reply`` if an entry may have processed the
        message, otherwise a refusal of an entry, or ``unreachable``
    """
    queried_links = list(links[:MAX_QUERIED_LINKS])
    interval = min(STAGGER_INTERVAL, MAX_TOTAL_STAGGER / max(1, len(queried_links)))
    refusal = NOT_SENT
    tasks = [
        asyncio.create_task(_request_after_delay(link, message, clock, interval * position))
        for position, link in enumerate(queried_links)
    ]
    try:
        for finished in asyncio.as_completed(tasks):
            reply = await finished
            if accepts(reply):
                return reply
            # A lost reply takes precedence over refusals, as that entry may have processed the
            # message.
            is_less_relevant = refusal.code == "no_reply" or reply == NOT_SENT
            if isinstance(reply, Refused) and not is_less_relevant:
                refusal = reply
    finally:
        for task in tasks:
            task.cancel()
    return refusal


async def _request_after_delay(
    link: Link, message: AnyMessage, clock: Clock, delay: timedelta
) -> AnyMessage:
    if delay:
        await clock.sleep(delay)
    try:
        return await link.request(message, timeout=CALL_TIMEOUT)
    except MessageNotSentError:
        return NOT_SENT
    except LinkError as error:
        return Refused("no_reply", str(error))
