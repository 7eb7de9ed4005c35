"""Threads that run for the lifetime of the process."""

import logging
import threading
from collections.abc import Callable

RESTART_DELAY_S = 0.5

logger = logging.getLogger("absl")


def keep_running(work: Callable[[], None], name: str, stop: threading.Event) -> None:
    """Run a function in a daemon thread; log an unhandled exception and run it again.

    :param stop: set when the process stops
    """

    def run() -> None:
        while not stop.is_set():
            try:
                work()
                return
            except Exception:
                logger.exception("event=thread_failed thread=%s", name)
                stop.wait(RESTART_DELAY_S)

    threading.Thread(target=run, name=name, daemon=True).start()
