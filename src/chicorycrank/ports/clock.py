"""Clock interface."""

from collections.abc import Awaitable
from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time stamps, monotonic time and delays."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC, for stored records and output."""

    def monotonic(self) -> float:
        """Return monotonic time in seconds, for deadlines and intervals."""

    def sleep(self, delay: timedelta) -> Awaitable[None]:
        """Suspend the current task for ``delay``."""
