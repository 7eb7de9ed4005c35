"""Interface of a store with transactions over several keys, leases and watches."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NewType, Protocol

Revision = NewType("Revision", int)
Lease = NewType("Lease", int)

NO_LEASE = Lease(0)
ABSENT = Revision(0)


class StoreUnavailableError(Exception):
    """The store gave no usable answer.

    :param not_done: the call certainly had no effect
    """

    def __init__(self, text: str, *, not_done: bool) -> None:
        super().__init__(text)
        self.not_done = not_done


class HistoryLostError(Exception):
    """The changes after a revision are no longer known; the keys have to be read again."""


class LeaseEndedError(Exception):
    """The lease of a write does not exist any more; nothing was written."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A key at a revision; a deleted key has no value."""

    key: str
    value: bytes | None
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Items and the revision of the store to continue from."""

    items: Sequence[Item]
    revision: Revision


@dataclass(frozen=True, kw_only=True)
class Write:
    """Values to set under a lease or without one, and keys to delete.

    :param expected: revision that each of these keys must have; ``ABSENT`` if it must not exist
    """

    expected: Mapping[str, Revision] = field(default_factory=dict)
    values: Mapping[str, bytes] = field(default_factory=dict)
    leases: Mapping[str, Lease] = field(default_factory=dict)
    deletes: Sequence[str] = ()


@dataclass(frozen=True, kw_only=True)
class Committed:
    """The write was applied."""

    revision: Revision


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """The write was not applied; the expected keys as they are."""

    items: Mapping[str, Item]


class TransactionalStore(Protocol):
    """Linearizable store; each call blocks its thread and is counted and paid for.

    All calls raise :class:`StoreUnavailableError`.
    """

    def read(self, key: str) -> Item | None:
        """Return a key, or None if it does not exist."""

    def read_all(self, prefix: str) -> Changes:
        """Return all keys under a prefix; changes made meanwhile follow in a watch."""

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Changes:
        """Wait for changes under a prefix; empty if there are none in time.

        :raises HistoryLostError: the revision is too old
        """

    def commit(self, write: Write, *, timeout_s: float) -> Committed | Conflict:
        """Apply a write as a whole or not at all.

        :raises LeaseEndedError: a lease of the write has ended
        """

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""

    def renew(self, lease: Lease) -> bool:
        """Renew a lease; false if it has ended."""

    def revoke(self, lease: Lease) -> None:
        """End a lease and delete its keys."""
