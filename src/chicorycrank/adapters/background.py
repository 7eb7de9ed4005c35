"""Background tasks of an event loop."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

logger = logging.getLogger("absl")


class BackgroundTasks:
    """Set of running background tasks; an exception that ends a task is logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a background task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def cancel_all(self) -> None:
        """Cancel all tasks that are still running."""
        for task in self._tasks:
            task.cancel()

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("event=background_failed", exc_info=task.exception())
