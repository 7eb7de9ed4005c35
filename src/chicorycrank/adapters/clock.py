"""System clock."""

import asyncio
import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """The machine's clocks and the event loop's sleep."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.monotonic()

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the current task for ``delay``."""
        await asyncio.sleep(delay.total_seconds())


class SuspendAwareClock(SystemClock):
    """Clocks of a machine that may be suspended.

    Leases and confirmations grow older while the machine stands still, which the steady clock of
    Linux does not count.
    """

    def monotonic(self) -> float:
        """Return seconds that never go back and count the time of a suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
