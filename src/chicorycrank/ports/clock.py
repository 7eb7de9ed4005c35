"""Clock interface."""

from collections.abc import Awaitable
from datetime import datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for everything that waits or stamps."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC, for records and people."""

    def monotonic(self) -> float:
        """Return seconds that never go back, for deadlines and intervals."""

    def sleep(self, delay: timedelta) -> Awaitable[None]:
        """Suspend the current task for ``delay``."""
