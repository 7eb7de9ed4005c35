"""Progress lines of slow calls."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

FIRST_LINE_DELAY_S = 1.0
LINE_INTERVAL_S = 10.0


@contextmanager
def show_progress(text: str, write: Callable[[str], None]) -> Iterator[None]:
    """Write a line when the body has run for a second, and again every ten seconds.

    :param text: beginning of each line, followed by the elapsed time
    :param write: called with each line, on another thread
    """
    ended = threading.Event()

    def write_lines() -> None:
        elapsed_s = FIRST_LINE_DELAY_S
        while not ended.wait(
            FIRST_LINE_DELAY_S if elapsed_s == FIRST_LINE_DELAY_S else LINE_INTERVAL_S
        ):
            write(f"{text} ({elapsed_s:.0f} s)")
            elapsed_s += LINE_INTERVAL_S

    thread = threading.Thread(target=write_lines, daemon=True)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()
