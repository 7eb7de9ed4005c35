"""Interface of the platform's key-value store."""

from dataclasses import dataclass
from datetime import timedelta
from typing import NewType, Protocol

from chicorycrank.model.ids import Version

LeaseId = NewType("LeaseId", str)


class StoreError(Exception):
    """The store did not answer; a write may have taken effect."""


class VersionConflictError(Exception):
    """The key's version is not the expected one; nothing was written.

    :param version: the key's current version
    """

    def __init__(self, key: str, version: Version) -> None:
        super().__init__(f"{key} is at version {version}")
        self.version = version


@dataclass(frozen=True, kw_only=True)
class Entry:
    """A stored value; version 0 means that the key does not exist."""

    key: str
    value: bytes
    version: Version


@dataclass(frozen=True, kw_only=True)
class WatchResult:
    """Keys under a prefix that changed, and the revision to continue from."""

    entries: tuple[Entry, ...]
    revision: int


class Store(Protocol):
    """Compare-and-swap store with leases and watches; every call is metered and billed."""

    async def get(self, key: str) -> Entry:
        """Return the value of a key.

        :raises StoreError: the store did not answer
        """

    async def list(self, prefix: str) -> WatchResult:
        """Return all keys under a prefix and the current revision.

        :raises StoreError: the store did not answer
        """

    async def put(
        self, key: str, value: bytes, *, if_version: Version, lease: LeaseId | None = None
    ) -> Version:
        """Write a key if its version matches; version 0 creates it.

        :param lease: the key is deleted when this lease expires
        :returns: the new version
        :raises VersionConflictError: the key has another version
        :raises StoreError: no answer; the write may have taken effect
        """

    async def delete(self, key: str, *, if_version: Version) -> None:
        """Delete a key if its version matches.

        :raises VersionConflictError: the key has another version
        :raises StoreError: no answer; the deletion may have taken effect
        """

    async def watch(self, prefix: str, *, after: int, timeout: timedelta) -> WatchResult:
        """Wait until a key under ``prefix`` changes after revision ``after``.

        A deleted key is returned with version 0. The result is empty after ``timeout``.

        :raises StoreError: the store did not answer
        """

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease.

        :raises StoreError: the store did not answer
        """

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return false if it has expired.

        :raises StoreError: the store did not answer
        """

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys.

        :raises StoreError: the store did not answer
        """
