"""A clock for coroutines that jumps from sleeper to sleeper, and tasks that nobody awaits."""

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

T = TypeVar("T")

# Rounds of the event loop after which all tasks wait for the clock.
SETTLE_ROUNDS = 30


class ManualClock:
    """A clock that jumps to the next sleeper once all tasks wait."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
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
        wake = self._now + max(0.0, delay.total_seconds())
        heapq.heappush(self._sleepers, (wake, next(self._order), future))
        await future

    async def run(self, work: Awaitable[T], *, limit_s: float = 600.0) -> T:
        """Advance the clock until ``work`` is done."""
        task = asyncio.ensure_future(work)
        end = self._now + limit_s
        while not task.done():
            for _ in range(SETTLE_ROUNDS):
                await asyncio.sleep(0)
            if task.done():
                break
            assert self._sleepers, "all tasks wait and no one sleeps"
            wake, _, future = heapq.heappop(self._sleepers)
            assert wake <= end, "work takes longer than its limit"
            self._now = max(self._now, wake)
            if not future.done():
                future.set_result(None)
        return task.result()


def start_task(work: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
    """Run a coroutine whose failure concerns nobody once its caller has given up."""
    task = asyncio.ensure_future(work)
    task.add_done_callback(lambda ended: ended.cancelled() or ended.exception())
    return task
