"""Clocks of the operating system."""

import asyncio
import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Wall clock and monotonic clock of the machine, and the event loop's sleep."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    async def sleep(self, delay: timedelta) -> None:
        """Suspend the current task for ``delay``."""
        await asyncio.sleep(delay.total_seconds())


class SuspendAwareClock(SystemClock):
    """Clock whose monotonic time includes the time that the machine spends suspended.

    Leases and confirmations also expire during a suspension, which ``CLOCK_MONOTONIC`` of Linux
    does not count.
    """

    def monotonic(self) -> float:
        """Return monotonic time in seconds, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
