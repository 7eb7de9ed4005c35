# ruff: noqa: D102 (the port and asyncio document these methods)
"""Event loop in virtual time, which advances to the next timer when no task can run."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import Any


class _Selector(selectors.SelectSelector):
    """Selector that advances the loop's virtual time instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events:
            if timeout is None:
                raise RuntimeError("deadlock: all tasks are waiting and no timer is scheduled")
            self.loop.virtual_time_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in order without waiting for them."""

    def __init__(self) -> None:
        selector = _Selector()
        selector.loop = self
        self.virtual_time_s = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        return self.virtual_time_s


class VirtualClock:
    """Clock port that returns the virtual time of a loop."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        return datetime.fromtimestamp(self._loop.time(), UTC)

    def monotonic(self) -> float:
        return self._loop.time()

    async def sleep(self, delay: timedelta) -> None:
        await asyncio.sleep(delay.total_seconds())
