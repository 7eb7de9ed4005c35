"""In-memory store with faults, and connections between entries in one process."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from chicorycrank.model.ids import Version
from chicorycrank.model.messages import AnyMessage, Hello, Ok
from chicorycrank.ports.links import Handler, MessageNotSentError
from chicorycrank.ports.store import (
    Entry,
    LeaseId,
    StoreError,
    VersionConflictError,
    WatchResult,
)


class FastClock:
    """Clock that advances only by the time that tasks sleep."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0

    def now(self) -> datetime:
        """Return a fixed start date plus the time slept."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.elapsed_s)

    def monotonic(self) -> float:
        """Return the seconds slept."""
        return self.elapsed_s

    async def sleep(self, delay: timedelta) -> None:
        """Advance the time."""
        self.elapsed_s += delay.total_seconds()
        await asyncio.sleep(0)


@dataclass(kw_only=True)
class MemoryStore:
    """Store of versioned keys.

    :param before_put: called once before the next write, for the write of another process
    :param after_lost: called once after a write without a reply
    :param lost_replies: number of following writes that take effect without a reply
    :param failing_puts: number of following writes that neither take effect nor get a reply
    :param is_down: whether all operations fail
    :param is_watch_unresponsive: whether watches get no reply
    :param deleted_key: key that the next watch reports as deleted
    """

    entry_by_key: dict[str, Entry] = field(default_factory=dict)
    before_put: Callable[[], Awaitable[object]] | None = None
    after_lost: Callable[[], Awaitable[object]] | None = None
    lost_replies: int = 0
    failing_puts: int = 0
    is_down: bool = False
    put_count: int = 0
    revision: int = 0
    lease_count: int = 0
    is_lease_live: bool = True
    is_watch_unresponsive: bool = False
    deleted_key: str = ""

    def _check(self) -> None:
        if self.is_down:
            raise StoreError("store is down")

    async def get(self, key: str) -> Entry:
        """Return a key."""
        self._check()
        return self.entry_by_key.get(key, Entry(key=key, value=b"", version=Version(0)))

    async def list(self, prefix: str) -> WatchResult:
        """Return all keys under a prefix."""
        self._check()
        entries = tuple(
            e for k, e in self.entry_by_key.items() if k.startswith(prefix) and e.version
        )
        return WatchResult(entries=entries, revision=self.revision)

    async def put(
        self, key: str, value: bytes, *, if_version: Version, lease: LeaseId | None = None
    ) -> Version:
        """Write a key with compare-and-swap, subject to the configured faults."""
        hook, self.before_put = self.before_put, None
        if hook is not None:
            await hook()
        self._check()
        if self.failing_puts:
            self.failing_puts -= 1
            raise StoreError("no reply")
        current = (await self.get(key)).version
        if current != if_version:
            raise VersionConflictError(key, current)
        self.put_count += 1
        self.revision += 1
        version = Version(self.revision)
        self.entry_by_key[key] = Entry(key=key, value=value, version=version)
        if self.lost_replies:
            self.lost_replies -= 1
            hook, self.after_lost = self.after_lost, None
            if hook is not None:
                await hook()
            raise StoreError("reply lost")
        return version

    async def delete(self, key: str, *, if_version: Version) -> None:
        """Delete a key."""
        self._check()
        self.entry_by_key.pop(key, None)

    async def watch(self, prefix: str, *, after: int, timeout: timedelta) -> WatchResult:
        """Return the changes after a revision without waiting for further ones."""
        self._check()
        if self.is_watch_unresponsive:
            await asyncio.Event().wait()
        await asyncio.sleep(0)
        found = tuple(
            e for k, e in self.entry_by_key.items() if k.startswith(prefix) and e.version > after
        )
        if self.deleted_key:
            found, self.deleted_key = (*found, self.entry_by_key[self.deleted_key]), ""
        return WatchResult(entries=found, revision=self.revision)

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease."""
        self._check()
        self.lease_count += 1
        return LeaseId(str(self.lease_count))

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease."""
        self._check()
        return self.is_lease_live

    async def revoke_lease(self, lease: LeaseId) -> None:
        """Revoke a lease."""
        self._check()


class MemoryLink:
    """One direction of a connection, which calls the handler of the other side directly.

    :ivar reverse_link: the opposite direction
    """

    def __init__(self, peer: Hello, handler: Handler) -> None:
        self.peer = peer
        self.is_open = True
        self.sent: list[str] = []
        self.reverse_link: MemoryLink | None = None
        self._handler = handler

    async def send(self, message: AnyMessage) -> None:
        """Deliver a message."""
        await self.request(message, timeout=timedelta(seconds=1))

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Deliver a message and return the reply."""
        if not self.is_open or self.reverse_link is None:
            raise MessageNotSentError(f"{self.peer.peer_id} is not connected")
        self.sent.append(type(message).__name__)
        return await self._handler(self.reverse_link, message) or Ok()

    async def close(self, reason: str) -> None:
        """Close this direction of the connection."""
        self.is_open = False
