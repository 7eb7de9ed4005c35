"""Store of the search: one state, and a client for each process, whose calls may be struck."""

from collections.abc import Callable
from typing import TypeVar

from chicorycrank.ports.transactions import (
    CALL_TIMEOUT_S,
    Changes,
    Committed,
    Conflict,
    HistoryLostError,
    Item,
    Lease,
    LeaseEndedError,
    Revision,
    StoreUnavailableError,
    Write,
)
from chicorycrank_standin.interleavings.calls import Calls, CallStruckError
from chicorycrank_standin.interleavings.scheduler import Scheduler, Thread

Answer = TypeVar("Answer")


class StoreState:
    """Keys, leases and history of the store.

    :param on_write: called with the keys of each applied write
    """

    def __init__(self, scheduler: Scheduler, on_write: Callable[[list[str]], None]) -> None:
        self.items: dict[str, Item] = {}
        self._scheduler = scheduler
        self._on_write = on_write
        self._history: list[Item] = []
        self.revision = 1
        self.silent_until = 0.0
        self._discarded = 0
        self._lease_count = 0
        self._ttl_by_lease: dict[Lease, float] = {}
        self._expires_at_by_lease: dict[Lease, float] = {}
        self._lease_by_key: dict[str, Lease] = {}
        self._watching: dict[Thread, str] = {}

    def since(self, prefix: str, after: int) -> list[Item]:
        """Return the changes under a prefix after a revision.

        :raises HistoryLostError: they are not kept
        """
        if after < self._discarded:
            raise HistoryLostError(prefix)
        found = []
        for item in reversed(self._history):
            if item.revision <= after:
                break
            if item.key.startswith(prefix):
                found.append(item)
        return found[::-1]

    def wait(self, prefix: str, timeout_s: float) -> None:
        """Block until a key under a prefix changes or the time is over."""
        thread = self._scheduler.current
        self._watching[thread] = prefix
        try:
            self._scheduler.wait(timeout_s)
        finally:
            self._watching.pop(thread, None)

    def apply(self, write: Write) -> Committed | Conflict:
        """Apply a write.

        :raises LeaseEndedError: a lease of the write has ended
        """
        for key, revision in write.expected.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                found = {k: self.items[k] for k in write.expected if k in self.items}
                return Conflict(items=found)
        for lease in write.leases.values():
            if lease and lease not in self._ttl_by_lease:
                raise LeaseEndedError(str(lease))
        self.revision += 1
        for key, value in write.values.items():
            self._lease_by_key.pop(key, None)
            if write.leases.get(key):
                self._lease_by_key[key] = write.leases[key]
            item = Item(key=key, value=value, revision=Revision(self.revision))
            self.items[key] = item
            self._history.append(item)
        self._delete(list(write.deletes))
        self._on_write([*write.values, *write.deletes])
        self._notify([*write.values, *write.deletes])
        return Committed(revision=Revision(self.revision))

    def _delete(self, keys: list[str]) -> None:
        for key in keys:
            self._lease_by_key.pop(key, None)
            if self.items.pop(key, None) is not None:
                deletion = Item(key=key, value=None, revision=Revision(self.revision))
                self._history.append(deletion)

    def _notify(self, keys: list[str]) -> None:
        for thread, prefix in list(self._watching.items()):
            if any(key.startswith(prefix) for key in keys):
                self._scheduler.wake(thread)

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""
        self._lease_count += 1
        lease = Lease(self._lease_count)
        self._ttl_by_lease[lease] = ttl_s
        self._expires_at_by_lease[lease] = self._scheduler.now_s + ttl_s
        self._check_later(lease)
        return lease

    def _check_later(self, lease: Lease) -> None:
        self._scheduler.at(self._expires_at_by_lease[lease], lambda: self._check(lease))

    def _check(self, lease: Lease) -> None:
        expires_at = self._expires_at_by_lease.get(lease)
        if expires_at is None:
            return
        if expires_at > self._scheduler.now_s:
            self._check_later(lease)
        else:
            self.revoke(lease)

    def renew(self, lease: Lease) -> bool:
        """Renew a lease; return false if it has ended."""
        if lease not in self._ttl_by_lease:
            return False
        self._expires_at_by_lease[lease] = self._scheduler.now_s + self._ttl_by_lease[lease]
        return True

    def revoke(self, lease: Lease) -> None:
        """End a lease and delete its keys."""
        if self._ttl_by_lease.pop(lease, None) is None:
            return
        del self._expires_at_by_lease[lease]
        keys = [key for key, owner in self._lease_by_key.items() if owner == lease]
        self.revision += 1
        self._delete(keys)
        if keys:
            self._on_write([f"{key} (lease ended)" for key in keys])
        self._notify(keys)

    @property
    def is_silent(self) -> bool:
        """Whether no call is carried out or answered now."""
        return self.silent_until > self._scheduler.now_s

    def lapse_in_silence(self, duration_s: float) -> None:
        """Answer nothing for some time, in which all leases expire."""
        self.silent_until = self._scheduler.now_s + duration_s
        self._scheduler.at(self.silent_until, self._lapse)

    def _lapse(self) -> None:
        for lease in list(self._ttl_by_lease):
            self.revoke(lease)

    def discard_history(self) -> None:
        """Discard all changes so far."""
        self._history.clear()
        self._discarded = self.revision


class StoreClient:
    """Client of one process; implements the port of the store.

    :param silent_until: returns the virtual time until which watches hear nothing
    :param on_renewed: called in the thread that has renewed a lease, before the answer
    """

    def __init__(
        self,
        state: StoreState,
        scheduler: Scheduler,
        calls: Calls,
        silent_until: Callable[[], float],
        on_renewed: Callable[[], None],
    ) -> None:
        self._state = state
        self._scheduler = scheduler
        self._calls = calls
        self._silent_until = silent_until
        self._on_renewed = on_renewed

    def _call(
        self,
        name: str,
        work: Callable[[], Answer],
        timeout_s: float,
        on_applied: Callable[[], None] = lambda: None,
    ) -> Answer:
        def carry_out() -> Answer:
            self._check_silence(name, timeout_s)
            answer = work()
            on_applied()
            self._check_silence(name, timeout_s)
            return answer

        try:
            return self._calls.make(f"store {name}", carry_out, timeout_s, apply_late=work)
        except CallStruckError as error:
            raise StoreUnavailableError(str(error), has_no_effect=False) from error

    def _check_silence(self, name: str, timeout_s: float) -> None:
        if self._state.is_silent:
            self._scheduler.sleep(timeout_s)
            raise CallStruckError(f"{name}: the store is silent")

    def read(self, key: str, *, timeout_s: float = CALL_TIMEOUT_S) -> Item | None:
        """Return the item of a key, or None."""
        return self._call("read", lambda: self._state.items.get(key), timeout_s)

    def read_all(self, prefix: str) -> Changes:
        """Return the items under a prefix."""

        def read() -> Changes:
            state = self._state
            found = [item for key, item in state.items.items() if key.startswith(prefix)]
            return Changes(items=found, revision=Revision(state.revision))

        return self._call("list", read, CALL_TIMEOUT_S)

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Changes:
        """Wait for changes under a prefix."""

        def watch() -> Changes:
            state, scheduler = self._state, self._scheduler
            ends_at = scheduler.now_s + wait_s
            while scheduler.now_s < ends_at:
                silent_until = self._silent_until()
                if silent_until > scheduler.now_s:
                    scheduler.sleep(min(silent_until, ends_at) - scheduler.now_s)
                elif state.since(prefix, after):
                    break
                else:
                    state.wait(prefix, ends_at - scheduler.now_s)
            is_silent = self._silent_until() > scheduler.now_s
            found = [] if is_silent else state.since(prefix, after)
            return Changes(items=found, revision=Revision(state.revision))

        return self._call("watch", watch, wait_s + CALL_TIMEOUT_S)

    def commit(self, write: Write, *, timeout_s: float) -> Committed | Conflict:
        """Apply a write."""
        return self._call("commit", lambda: self._state.apply(write), timeout_s)

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""
        return self._call("grant", lambda: self._state.grant(ttl_s), CALL_TIMEOUT_S)

    def renew(self, lease: Lease) -> bool:
        """Renew a lease."""
        return self._call(
            "renew", lambda: self._state.renew(lease), CALL_TIMEOUT_S, self._on_renewed
        )

    def revoke(self, lease: Lease) -> None:
        """End a lease."""
        self._call("revoke", lambda: self._state.revoke(lease), CALL_TIMEOUT_S)
