"""Wait for an awaitable with a timeout on a given clock."""

import asyncio
from collections.abc import Awaitable
from datetime import timedelta

from chicorycrank.ports.clock import Clock


async def wait_at_most(clock: Clock, work: Awaitable[object], limit: timedelta) -> bool:
    """Wait for ``work`` for at most ``limit`` and cancel it afterwards.

    :returns: whether ``work`` ended in time
    :raises Exception: the exception that ``work`` raised
    """
    task = asyncio.ensure_future(work)
    timer = asyncio.ensure_future(clock.sleep(limit))
    try:
        await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not task.done():
            return False
        task.result()
        return True
    finally:
        task.cancel()
        timer.cancel()
