"""Local copy of the keys under a prefix, updated by a watch."""

import logging
from collections import deque
from collections.abc import Callable, Sequence

from chicorycrank.batch.threads import keep_running, make_event, make_lock
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import (
    Changes,
    HistoryLostError,
    Item,
    Revision,
    StoreUnavailableError,
    TransactionalStore,
)

RETRY_DELAY_S = 0.25
# A watch may be answered without changes that the store has made already. They are asked for again
# for this long.
REPEATED_WATCH_S = 10.0

logger = logging.getLogger("absl")

ApplyItems = Callable[[Sequence[Item]], None]


class Replica:
    """Replica of a prefix, which passes on each change once and no key's older revision later.

    :param apply: called with changed items, by one thread at a time
    :param wait_s: longest duration of a watch call in seconds
    :ivar confirmed_at: monotonic time up to which all changes are known, unless the store has
        answered watches without changes that it had made already
    :ivar read_at: monotonic time at which the last successful read of all keys was sent
    :ivar failed_since: monotonic time of the first failure since the last success, or None
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
        self._lock = make_lock()
        self._revision_by_key: dict[str, Revision] = {}
        self._revision_by_deleted_key: dict[str, Revision] = {}
        # All changes up to this revision are known; None if the keys have to be read.
        self._last_revision: Revision | None = None
        # Times and store revisions of the answers without changes since then.
        self._empty_answers: deque[tuple[float, Revision]] = deque()
        self._stop = make_event()
        self._is_available = False
        self.is_loaded = make_event()
        self.confirmed_at = float("-inf")
        self.read_at = float("-inf")
        self.failed_since: float | None = None

    def start(self) -> None:
        """Replicate the prefix in a background thread."""
        name = f"replica-{self._prefix.strip('/')}"
        keep_running(self.run, name, self._stop)

    def stop(self) -> None:
        """Stop after the current call."""
        self._stop.set()

    def run(self) -> None:
        """Replicate the prefix until :meth:`stop` is called."""
        while not self._stop.is_set():
            try:
                self.sync_recording_failure()
            except StoreUnavailableError:
                self._stop.wait(RETRY_DELAY_S)

    def sync_recording_failure(self) -> None:
        """Call :meth:`sync` and record a failure.

        :raises StoreUnavailableError: the store did not respond
        """
        try:
            self.sync()
        except StoreUnavailableError as error:
            self._record_failure(str(error))
            raise

    def sync(self) -> None:
        """Read all keys if no valid revision is known, otherwise wait for changes.

        :raises StoreUnavailableError: the store did not respond
        """
        sent_at = self._clock.monotonic()
        if self._last_revision is None:
            changes = self._read_all()
            self._empty_answers.clear()
            self._last_revision = changes.revision
            self._record_success(sent_at)
            self.is_loaded.set()
            return
        try:
            # After a failure, a long poll could remain unanswered although the store has recovered.
            wait_s = self._wait_s if self.failed_since is None else 0.0
            changes = self._store.watch(self._prefix, self._last_revision, wait_s)
        except HistoryLostError:
            logger.warning("event=watch_history_lost prefix=%s", self._prefix)
            self._last_revision = None
            return
        with self._lock:
            self._apply_newer(changes.items)
            self._last_revision = self._known_revision(self._last_revision, changes)
            self._forget_deletions(self._last_revision)
        # The store sends an empty response at the end of the wait at the earliest.
        waited_s = 0.0 if changes.items else wait_s
        self._record_success(min(sent_at + waited_s, self._clock.monotonic()))

    def refresh(self) -> None:
        """Read all keys and apply what the watch has not brought yet.

        :raises StoreUnavailableError: the store did not respond
        """
        self._read_all()

    def apply_own(self, items: Sequence[Item]) -> None:
        """Apply items that a call of this process has read or written.

        They may be older than what the watch has brought meanwhile.
        """
        with self._lock:
            known = self._last_revision or 0
            self._apply_newer(
                [i for i in items if i.key in self._revision_by_key or i.revision > known]
            )

    def _read_all(self) -> Changes:
        sent_at = self._clock.monotonic()
        changes = self._store.read_all(self._prefix)
        listed = {item.key for item in changes.items}
        with self._lock:
            deleted = [
                Item(key=key, value=None, revision=changes.revision)
                for key in self._revision_by_key
                if key not in listed
            ]
            self._apply_newer([*changes.items, *deleted])
            self.read_at = max(self.read_at, sent_at)
        return changes

    def _known_revision(self, revision: Revision, changes: Changes) -> Revision:
        """Return the revision from which the watch continues after an answer."""
        if changes.items:
            return max(revision, *(item.revision for item in changes.items))
        now_s = self._clock.monotonic()
        self._empty_answers.append((now_s, changes.revision))
        while self._empty_answers[0][0] <= now_s - REPEATED_WATCH_S:
            revision = max(revision, self._empty_answers.popleft()[1])
        return revision

    def _apply_newer(self, items: Sequence[Item]) -> None:
        newer = []
        for item in items:
            known_revisions = self._revision_by_key, self._revision_by_deleted_key
            if item.revision <= max(known.get(item.key, 0) for known in known_revisions):
                continue
            newer.append(item)
            if item.value is None:
                self._revision_by_key.pop(item.key, None)
                self._revision_by_deleted_key[item.key] = item.revision
            else:
                self._revision_by_key[item.key] = item.revision
                self._revision_by_deleted_key.pop(item.key, None)
        if newer:
            self._apply(newer)

    def _forget_deletions(self, revision: Revision) -> None:
        """Forget deletions that no later answer of the store can be older than."""
        if any(deleted <= revision for deleted in self._revision_by_deleted_key.values()):
            self._revision_by_deleted_key = {
                key: deleted
                for key, deleted in self._revision_by_deleted_key.items()
                if deleted > revision
            }

    def _record_success(self, confirmed_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        self.failed_since = None
        if not self._is_available:
            self._is_available = True
            logger.info(
                "event=store_available prefix=%s revision=%s", self._prefix, self._last_revision
            )

    def _record_failure(self, reason: str) -> None:
        if self.failed_since is None:
            self.failed_since = self._clock.monotonic()
        if self._is_available:
            self._is_available = False
            logger.warning("event=store_lost prefix=%s error=%s", self._prefix, reason)
