# ruff: noqa: D102 (the port and asyncio document these methods)
"""An event loop whose clock moves only when nothing else is left to do."""

import asyncio
import selectors
from datetime import UTC, datetime, timedelta
from typing import Any


class _Selector(selectors.SelectSelector):
    """Moves the loop's clock instead of waiting."""

    loop: "VirtualLoop"

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events:
            if timeout is None:
                raise RuntimeError("every task waits for something that never happens")
            self.loop.virtual_s += timeout
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them."""

    def __init__(self) -> None:
        selector = _Selector()
        selector.loop = self
        self.virtual_s = 1000.0
        super().__init__(selector)

    def time(self) -> float:
        return self.virtual_s


class VirtualClock:
    """The loop's clock through the port."""

    def __init__(self, loop: VirtualLoop) -> None:
        self._loop = loop

    def now(self) -> datetime:
        return datetime.fromtimestamp(self._loop.time(), UTC)

    def monotonic(self) -> float:
        return self._loop.time()

    async def sleep(self, delay: timedelta) -> None:
        await asyncio.sleep(delay.total_seconds())
