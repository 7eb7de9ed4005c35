"""Manual clock for coroutines, and tasks whose exceptions may stay unretrieved."""

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

T = TypeVar("T")

# Number of event loop iterations after which all tasks wait for the clock.
SETTLE_ROUNDS = 30


class ManualClock:
    """Clock that advances to the next wake-up time when all tasks wait."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._pending_sleeps: list[tuple[float, int, asyncio.Future[None]]] = []
        self._order = itertools.count()

    def now(self) -> datetime:
        """Return the time as a date."""
        return datetime.fromtimestamp(self._now, UTC)

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self._now

    async def sleep(self, delay: timedelta) -> None:
        """Wait until the clock has been advanced by ``delay``."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        wake_at_s = self._now + max(0.0, delay.total_seconds())
        heapq.heappush(self._pending_sleeps, (wake_at_s, next(self._order), future))
        await future

    async def run(self, work: Awaitable[T], *, limit_s: float = 600.0) -> T:
        """Advance the clock until ``work`` is done."""
        task = asyncio.ensure_future(work)
        end_at_s = self._now + limit_s
        while not task.done():
            for _ in range(SETTLE_ROUNDS):
                await asyncio.sleep(0)
            if task.done():
                break
            assert self._pending_sleeps, "all tasks wait, but none of them waits for the clock"
            wake_at_s, _, future = heapq.heappop(self._pending_sleeps)
            assert wake_at_s <= end_at_s, "the work takes longer than its limit"
            self._now = max(self._now, wake_at_s)
            if not future.done():
                future.set_result(None)
        return task.result()


def start_task(work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
    """Start a task whose exception is not logged if its caller no longer awaits it."""
    task = asyncio.ensure_future(work)
    task.add_done_callback(lambda done_task: done_task.cancelled() or done_task.exception())
    return task
