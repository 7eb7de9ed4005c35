"""Threads, locks, waits and tokens of this package; a search of schedules replaces their source."""

import logging
import queue
import secrets
import threading
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import AbstractContextManager, contextmanager
from typing import Generic, Protocol, TypeVar

RESTART_DELAY_S = 0.5

logger = logging.getLogger("absl")

Item = TypeVar("Item")


class Lock(AbstractContextManager[object, None], Protocol):
    """Mutual exclusion, as :class:`threading.Lock`."""


class Condition(AbstractContextManager[object, None], Protocol):
    """Condition variable with a reentrant lock, as :class:`threading.Condition`."""

    def acquire(self) -> bool:
        """Wait for the lock and take it."""

    def release(self) -> None:
        """Release the lock."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait for a notification; return false after the timeout in seconds."""

    def notify_all(self) -> None:
        """Wake all that wait."""


class Event(Protocol):
    """Flag that threads wait for, as :class:`threading.Event`."""

    def is_set(self) -> bool:
        """Return whether it is set."""

    def set(self) -> None:
        """Set it and wake all that wait."""

    def wait(self, timeout: float | None = None) -> bool:
        """Wait until it is set; return false after the timeout in seconds."""


class Queue(Protocol, Generic[Item]):
    """Queue between threads, as :class:`queue.SimpleQueue`."""

    def put(self, item: Item) -> None:
        """Append an item."""

    def get(self) -> Item:
        """Wait for an item and remove it."""

    def empty(self) -> bool:
        """Return whether there is no item."""


class Pool(Protocol):
    """Threads that run functions."""

    def submit(self, work: Callable[..., None], /, *arguments: object) -> object:
        """Run a function with these arguments as soon as a thread is free."""


class ThreadProvider(Protocol):
    """Source of threads and of what they wait for."""

    def make_lock(self) -> Lock:
        """Return a free lock."""

    def make_condition(self) -> Condition:
        """Return a condition with a free lock."""

    def make_event(self) -> Event:
        """Return an event that is not set."""

    def make_queue(self) -> Queue[Item]:
        """Return an empty queue."""

    def make_pool(self, size: int, name: str) -> Pool:
        """Return a pool with at most this many threads."""

    def start_thread(self, work: Callable[[], None], name: str) -> None:
        """Start a thread that does not keep the process alive."""

    def make_token(self, length: int) -> str:
        """Return a random text of this many bytes in hexadecimal digits."""


class SystemThreads:
    """Threads of the operating system."""

    def make_lock(self) -> Lock:
        """Return a free lock."""
        return threading.Lock()

    def make_condition(self) -> Condition:
        """Return a condition with a free lock."""
        return threading.Condition()

    def make_event(self) -> Event:
        """Return an event that is not set."""
        return threading.Event()

    def make_queue(self) -> Queue[Item]:
        """Return an empty queue."""
        return queue.SimpleQueue()

    def make_pool(self, size: int, name: str) -> Pool:
        """Return a pool with at most this many threads."""
        return ThreadPoolExecutor(size, thread_name_prefix=name)

    def start_thread(self, work: Callable[[], None], name: str) -> None:
        """Start a thread that does not keep the process alive."""
        threading.Thread(target=work, name=name, daemon=True).start()

    def make_token(self, length: int) -> str:
        """Return a random text of this many bytes in hexadecimal digits."""
        return secrets.token_hex(length)


_provider: ThreadProvider = SystemThreads()


@contextmanager
def provided_by(provider: ThreadProvider) -> Iterator[None]:
    """Replace the source of threads for the body of the ``with`` statement."""
    global _provider
    replaced, _provider = _provider, provider
    try:
        yield
    finally:
        _provider = replaced


def make_lock() -> Lock:
    """Return a free lock."""
    return _provider.make_lock()


def make_condition() -> Condition:
    """Return a condition with a free lock."""
    return _provider.make_condition()


def make_event() -> Event:
    """Return an event that is not set."""
    return _provider.make_event()


def make_queue() -> Queue[Item]:
    """Return an empty queue."""
    return _provider.make_queue()


def make_pool(size: int, name: str) -> Pool:
    """Return a pool with at most this many threads."""
    return _provider.make_pool(size, name)


def start_thread(work: Callable[[], None], name: str) -> None:
    """Start a thread that does not keep the process alive."""
    _provider.start_thread(work, name)


def make_token(length: int) -> str:
    """Return a random text of this many bytes in hexadecimal digits."""
    return _provider.make_token(length)


def keep_running(work: Callable[[], None], name: str, stop: Event) -> None:
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

    start_thread(run, name)
