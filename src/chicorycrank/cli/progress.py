"""Progress of slow calls."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

FIRST_S = 1.0
INTERVAL_S = 10.0


@contextmanager
def progress(text: str, write: Callable[[str], None]) -> Iterator[None]:
    """Write a line once the body has taken a second, and again every ten seconds."""
    ended = threading.Event()

    def report() -> None:
        passed = FIRST_S
        while not ended.wait(FIRST_S if passed == FIRST_S else INTERVAL_S):
            write(f"{text} ({passed:.0f} s)")
            passed += INTERVAL_S

    thread = threading.Thread(target=report, daemon=True)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()
