"""Local copy of the keys under a prefix, kept current by a watch."""

import logging
import threading
from collections.abc import Callable, Sequence

from chicorycrank.batch.threads import keep_running
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import (
    HistoryLostError,
    Item,
    Revision,
    StoreUnavailableError,
    TransactionalStore,
)

RETRY_DELAY_S = 0.25

logger = logging.getLogger("absl")

ApplyItems = Callable[[Sequence[Item]], None]


class Replica:
    """Follows a prefix of the store and passes on each change once, in order of revision.

    :param apply: called with new items, on the thread of the replica
    :param wait_s: longest time of a watch call in seconds
    """

    def __init__(
        self,
        store: TransactionalStore,
        prefix: str,
        apply: ApplyItems,
        clock: Clock,
        *,
        wait_s: float,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._apply = apply
        self._clock = clock
        self._wait_s = wait_s
        self._revision_by_key: dict[str, Revision] = {}
        self._position: Revision | None = None
        self._stop = threading.Event()
        self._is_reachable = False
        self.is_loaded = threading.Event()
        # Monotonic time up to which all changes are known.
        self.confirmed_at = float("-inf")
        self.failed_since: float | None = None

    def start(self) -> None:
        """Follow the prefix in a thread."""
        name = f"replica-{self._prefix.strip('/')}"
        keep_running(self.follow, name, self._stop)

    def stop(self) -> None:
        """End after the current call."""
        self._stop.set()

    def follow(self) -> None:
        """Follow the prefix until :meth:`stop`."""
        while not self._stop.is_set():
            try:
                self.attempt()
            except StoreUnavailableError:
                self._stop.wait(RETRY_DELAY_S)

    def attempt(self) -> None:
        """Make one call to the store and note whether it succeeded.

        :raises StoreUnavailableError: the store did not answer
        """
        try:
            self.step()
        except StoreUnavailableError as error:
            self._note_failure(str(error))
            raise

    def step(self) -> None:
        """Read all keys if the position is unknown, otherwise wait for changes.

        :raises StoreUnavailableError: the store did not answer
        """
        sent_at = self._clock.monotonic()
        if self._position is None:
            changes = self._store.read_all(self._prefix)
            listed = {item.key for item in changes.items}
            gone = [
                Item(key=key, value=None, revision=revision)
                for key, revision in self._revision_by_key.items()
                if key not in listed
            ]
            items = [*changes.items, *gone]
            self._take([item for item in items if item.value is None or self._is_news(item)])
            self._position = changes.revision
            self._note_success(sent_at)
            self.is_loaded.set()
            return
        try:
            # After a failure a call that waits could go on being silent once the store is back.
            wait_s = self._wait_s if self.failed_since is None else 0.0
            changes = self._store.watch(self._prefix, self._position, wait_s)
        except HistoryLostError:
            logger.warning("event=watch_history_lost prefix=%s", self._prefix)
            self._position = None
            return
        self._take([item for item in changes.items if self._is_news(item)])
        self._position = max(self._position, changes.revision)
        # An empty answer was given at the end of the wait at the earliest.
        waited = 0.0 if changes.items else wait_s
        self._note_success(min(sent_at + waited, self._clock.monotonic()))

    def _is_news(self, item: Item) -> bool:
        return item.revision > self._revision_by_key.get(item.key, 0)

    def _take(self, items: list[Item]) -> None:
        for item in items:
            if item.value is None:
                self._revision_by_key.pop(item.key, None)
            else:
                self._revision_by_key[item.key] = item.revision
        if items:
            self._apply(items)

    def _note_success(self, confirmed_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.failed_since = None
        if not self._is_reachable:
            self._is_reachable = True
            logger.info("event=store_regained prefix=%s revision=%s", self._prefix, self._position)

    def _note_failure(self, reason: str) -> None:
        if self.failed_since is None:
            self.failed_since = self._clock.monotonic()
        if self._is_reachable:
            self._is_reachable = False
            logger.warning("event=store_lost prefix=%s error=%s", self._prefix, reason)
