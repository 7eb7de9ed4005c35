"""Manual clock, in-memory store and a scheduler that uses them."""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any, TypeVar

from chicorycrank.entry.directory import Directory
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.scheduler import Scheduler
from chicorycrank.model.ids import CellId, EntryId, RegionId, TeamId, Version
from chicorycrank.model.jobs import GangShape, JobSpec
from chicorycrank.ports.store import (
    Entry,
    LeaseId,
    StoreError,
    VersionConflictError,
    WatchResult,
)

T = TypeVar("T")

EVENT_LOOP_TURNS = 50


class ManualClock:
    """Clock whose time advances only when a test advances it."""

    def __init__(self) -> None:
        self.seconds = 1000.0
        self._sleepers: list[tuple[float, asyncio.Future[None]]] = []

    def now(self) -> datetime:
        """Return the manual time as a date."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.seconds)

    def monotonic(self) -> float:
        """Return the manual time in seconds."""
        return self.seconds

    async def sleep(self, delay: timedelta) -> None:
        """Wait until the manual time has advanced by the delay."""
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._sleepers.append((self.seconds + delay.total_seconds(), future))
        await future

    async def advance(self, seconds: float) -> None:
        """Advance the time and wake the sleepers in the order of their deadlines."""
        end = self.seconds + seconds
        await settle()
        while due := sorted((s for s in self._sleepers if s[0] <= end), key=lambda s: s[0]):
            self._sleepers.remove(due[0])
            self.seconds = max(self.seconds, due[0][0])
            if not due[0][1].done():
                due[0][1].set_result(None)
            await settle()
        self.seconds = end

    def jump(self, seconds: float) -> None:
        """Advance the time without running any task, as for a suspended process."""
        self.seconds += seconds


async def settle() -> None:
    """Let the tasks of the event loop run as far as they can without the clock."""
    for _ in range(EVENT_LOOP_TURNS):
        await asyncio.sleep(0)


class FakeStore:
    """Versioned keys with leases on a manual clock.

    :ivar is_down: whether every call fails without effect
    :ivar loses_reply: returns for a key whether a write takes effect but its reply is lost
    :ivar blocks_write: returns for a key whether its writes hang until they are cancelled
    :ivar fails_call: returns for an operation and a key whether the call fails without effect
    :ivar on_write: called with the key and value of each write that takes effect
    """

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.value_by_key: dict[str, tuple[bytes, int]] = {}
        self.lease_by_id: dict[str, tuple[float, float, set[str]]] = {}
        self.is_down = False
        self.loses_reply: Callable[[str], bool] = lambda _: False
        self.fails_call: Callable[[str, str], bool] = lambda *_: False
        self.blocks_write: Callable[[str], bool] = lambda _: False
        self.writes: list[str] = []
        self.on_write: Callable[[str, bytes], None] = lambda *_: None
        self._lease_numbers = itertools.count()
        self._revision = 0

    def _check_call(self, operation: str, key: str = "") -> None:
        for lease, (_, expires_at, _keys) in list(self.lease_by_id.items()):
            if expires_at < self.clock.seconds:
                self._end_lease(lease)
        if self.is_down or self.fails_call(operation, key):
            raise StoreError(f"{operation} {key}: no answer")

    def _end_lease(self, lease: str) -> None:
        for key in self.lease_by_id.pop(lease, (0.0, 0.0, set()))[2]:
            self.value_by_key.pop(key, None)

    async def get(self, key: str) -> Entry:
        """Return the value of a key."""
        self._check_call("get", key)
        value, version = self.value_by_key.get(key, (b"", 0))
        return Entry(key=key, value=value, version=Version(version))

    async def list(self, prefix: str) -> WatchResult:
        """Return all keys under a prefix."""
        self._check_call("list", prefix)
        keys = [key for key in sorted(self.value_by_key) if key.startswith(prefix)]
        return WatchResult(
            entries=tuple([await self.get(key) for key in keys]), revision=self._revision
        )

    async def put(
        self, key: str, value: bytes, *, if_version: Version, lease: LeaseId | None = None
    ) -> Version:
        """Write a key if its version matches."""
        self._check_call("put", key)
        if self.blocks_write(key):
            await asyncio.get_running_loop().create_future()
        version = self.value_by_key.get(key, (b"", 0))[1]
        if version != if_version or (lease is not None and lease not in self.lease_by_id):
            raise VersionConflictError(key, Version(version))
        self._revision += 1
        self.value_by_key[key] = (value, self._revision)
        self.writes.append(key)
        self.on_write(key, value)
        if lease is not None:
            self.lease_by_id[lease][2].add(key)
        if self.loses_reply(key):
            raise StoreError(f"put {key}: reply lost")
        return Version(self._revision)

    async def delete(self, key: str, *, if_version: Version) -> None:
        """Raise an error; the scheduler does not delete keys."""
        raise NotImplementedError

    async def watch(self, prefix: str, *, after: int, timeout: timedelta) -> WatchResult:
        """Raise an error; the scheduler does not watch keys."""
        raise NotImplementedError

    async def grant_lease(self, ttl: timedelta) -> LeaseId:
        """Create a lease."""
        self._check_call("grant")
        lease = LeaseId(f"lease-{next(self._lease_numbers)}")
        seconds = ttl.total_seconds()
        self.lease_by_id[lease] = (seconds, self.clock.seconds + seconds, set())
        return lease

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return whether it was still valid."""
        self._check_call("renew")
        if lease not in self.lease_by_id:
            return False
        ttl, _, keys = self.lease_by_id[lease]
        self.lease_by_id[lease] = (ttl, self.clock.seconds + ttl, keys)
        return True

    async def revoke_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self._check_call("revoke")
        self._end_lease(lease)


class LeaderHarness:
    """Scheduler role on a fake store, driven by the steps of a scenario."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.directory = Directory()
        self.superseded: list[str] = []
        self.records = JobRecords(self.store, self.clock, CellId("north"))
        self.scheduler = self.make_scheduler(self.records)
        self.tasks: list[asyncio.Task[Any]] = []

    def make_scheduler(self, records: JobRecords) -> Scheduler:
        """Return a scheduler for the cell that uses the given records."""
        scheduler = Scheduler(
            cell=CellId("north"),
            region=RegionId("north"),
            entry=EntryId("a"),
            directory=self.directory,
            records=records,
            clock=self.clock,
        )
        scheduler.on_superseded = self.superseded.append
        return scheduler

    def run_now(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine that does not wait for the clock and return its result."""
        return self.loop.run_until_complete(coroutine)

    def start_task(self, coroutine: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Start a coroutine that may wait for the clock, and return its task."""
        task = self.loop.create_task(coroutine)
        self.tasks.append(task)
        self.advance(0)
        return task

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.run_now(self.clock.advance(seconds))

    def close(self) -> None:
        """Cancel all tasks and close the event loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run_now(settle())
        self.loop.close()


def make_spec(**fields: Any) -> JobSpec:
    """Return the specification of a small job.

    :param fields: fields to set, and ``members`` for the size of the gang
    """
    shape = GangShape(members=fields.pop("members", 1), accelerators=8)
    return JobSpec(team=TeamId("claims"), name="train", shape=shape, run_time_s=60.0, **fields)
