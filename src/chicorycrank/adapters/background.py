"""Background tasks of a process."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger("absl")


class Background:
    """Holds background tasks until they end; an exception of a task is logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish)
        return task

    def cancel_all(self) -> None:
        """Cancel every task."""
        for task in self._tasks:
            task.cancel()

    def _finish(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("event=background_failed", exc_info=task.exception())
