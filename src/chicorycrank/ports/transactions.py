"""Interface of a store with multi-key transactions, with leases and with watches."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NewType, Protocol

Revision = NewType("Revision", int)
Lease = NewType("Lease", int)

NO_LEASE = Lease(0)
MISSING = Revision(0)
CALL_TIMEOUT_S = 1.0


class StoreUnavailableError(Exception):
    """The store gave no usable answer.

    :param has_no_effect: whether it is certain that the call had no effect
    """

    def __init__(self, text: str, *, has_no_effect: bool) -> None:
        super().__init__(text)
        self.has_no_effect = has_no_effect


class HistoryLostError(Exception):
    """The store no longer keeps the changes after a revision; the keys must be read again."""


class LeaseEndedError(Exception):
    """A lease of the write has expired or was revoked; nothing was written."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Item:
    """A key at a revision; the value of a deleted key is None."""

    key: str
    value: bytes | None
    revision: Revision


@dataclass(frozen=True, kw_only=True, slots=True)
class Changes:
    """Changed items and the store revision from which to continue the watch."""

    items: Sequence[Item]
    revision: Revision


@dataclass(frozen=True, kw_only=True)
class Write:
    """Transaction over several keys.

    :param expected: required revision by key; ``MISSING`` if the key must not exist
    :param values: value to set by key
    :param leases: lease by key, for those of the values that have one
    :param deletes: keys to delete
    """

    expected: Mapping[str, Revision] = field(default_factory=dict)
    values: Mapping[str, bytes] = field(default_factory=dict)
    leases: Mapping[str, Lease] = field(default_factory=dict)
    deletes: Sequence[str] = ()


@dataclass(frozen=True, kw_only=True)
class Committed:
    """The write was applied, at this revision of the store."""

    revision: Revision


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """The write was not applied.

    :param items: current items of those keys in :attr:`Write.expected` that exist
    """

    items: Mapping[str, Item]


class TransactionalStore(Protocol):
    """Linearizable store; every call blocks the calling thread and is metered and billed.

    :raises StoreUnavailableError: from every method
    """

    def read(self, key: str, *, timeout_s: float = CALL_TIMEOUT_S) -> Item | None:
        """Return the item of a key, or None if the key does not exist.

        :param timeout_s: longest wait for the response in seconds
        """

    def read_all(self, prefix: str) -> Changes:
        """Return all items under a prefix.

        A watch from the returned revision misses no later change.
        """

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Changes:
        """Wait for changes under a prefix; the result is empty after ``wait_s`` without one.

        :raises HistoryLostError: the store no longer keeps the changes after ``after``
        """

    def commit(self, write: Write, *, timeout_s: float) -> Committed | Conflict:
        """Apply a write atomically.

        :raises LeaseEndedError: a lease of the write has expired or was revoked
        """

    def grant(self, ttl_s: float) -> Lease:
        """Create a lease."""

    def renew(self, lease: Lease) -> bool:
        """Renew a lease; return false if it has expired or was revoked."""

    def revoke(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys."""
