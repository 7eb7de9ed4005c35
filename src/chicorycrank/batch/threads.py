"""Threads that work for as long as their process."""

import logging
import threading
from collections.abc import Callable

RESTART_DELAY_S = 0.5

logger = logging.getLogger("absl")


def keep_running(work: Callable[[], None], name: str, stop: threading.Event) -> None:
    """Run work in a thread; an error that nothing handles is logged and the work begins anew.

    :param stop: set when the process ends
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
