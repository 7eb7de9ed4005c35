"""Job records of a cell, packed in shards of the store and written by the leader only."""

import asyncio
import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from itertools import islice

from msgspec import Struct

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.entry.waiting import wait_at_most
from chicorycrank.model.ids import CellId, Epoch, Generation, JobId, Version
from chicorycrank.model.jobs import FINAL_STATES, JobRecord
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import Entry, Store, StoreError, VersionConflictError

SHARDS = 64
# The store holds values up to 1 MB; the rest is left for the growth of records already accepted.
MAX_SHARD_BYTES = 900_000
RETENTION = timedelta(days=1)
PRUNE_INTERVAL = timedelta(minutes=1)
PRUNE_LIMIT = 200
FLUSH_INTERVAL = timedelta(milliseconds=50)
RETRY_INTERVAL = timedelta(seconds=1)
# Equal to the size of the store client's thread pool.
CONCURRENT_WRITES = 8
NO_VERSION = Version(0)

logger = logging.getLogger("absl")


class DeposedError(Exception):
    """Another leader wrote a shard; this one must not act any more."""


class ShardDocument(Struct, frozen=True):
    """A shard as stored."""

    epoch: Epoch
    sequence: int
    records: list[JobRecord]


@dataclass(kw_only=True)
class Shard:
    """A shard in memory.

    :param version: version in the store as far as known; a lost reply leaves it outdated
    :param size: encoded size in bytes at the last write plus records added since
    :param changes: number of changes so far
    :param written: number of changes that are in the store
    """

    version: Version = NO_VERSION
    sequence: int = 0
    size: int = 0
    changes: int = 0
    written: int = 0
    records_by_id: dict[JobId, JobRecord] = field(default_factory=dict)


class JobRecords:
    """Records in memory and their grouped writes."""

    def __init__(self, store: Store, clock: Clock, cell: CellId) -> None:
        self._store = store
        self._clock = clock
        self._prefix = f"jobs/{cell}/"
        self._epoch = Epoch(0)
        self._shards = [Shard() for _ in range(SHARDS)]
        self._unsent: set[JobId] = set()
        self._unaccepted: set[JobId] = set()
        self._written = asyncio.Condition()
        self._changed_by_job: dict[JobId, asyncio.Event] = {}
        self._wakes = 0
        self.records_by_id: dict[JobId, JobRecord] = {}
        self.is_available = True

    async def load(self, epoch: Epoch) -> None:
        """Read all shards and rewrite every one with the new epoch.

        Unused shards are written too: an older leader that has not noticed its end could
        otherwise accept a job in one of them that this leader would not see.

        :raises StoreError: the store did not answer
        :raises DeposedError: a leader with a higher epoch writes at the same time
        """
        self._epoch = epoch
        self._shards = [Shard() for _ in range(SHARDS)]
        self._unsent.clear()
        self._unaccepted.clear()
        self.records_by_id.clear()
        result = await self._store.list(self._prefix)
        for entry in result.entries:
            number = entry.key.removeprefix(self._prefix)
            # A cell whose name extends this one's by a slash has keys under the same prefix.
            if number.isdecimal() and int(number) < SHARDS:
                self._take_over(self._shards[int(number)], entry)
        await self._write_all(range(SHARDS))
        self.is_available = True

    def add(self, record: JobRecord) -> bool:
        """Add a new record; false if its shard has no room."""
        shard = self._shard_of(record.job_id)
        size = len(encode(record))
        if shard.size + size > MAX_SHARD_BYTES:
            return False
        shard.size += size
        shard.records_by_id[record.job_id] = record
        self.records_by_id[record.job_id] = record
        self._unsent.add(record.job_id)
        self._unaccepted.add(record.job_id)
        self.mark(record.job_id)
        return True

    def withdraw(self, job_id: JobId) -> bool:
        """Remove a new record; false if a write may already have carried it to the store."""
        if job_id not in self._unsent:
            return False
        self._remove(job_id)
        return True

    def is_accepted(self, job_id: JobId) -> bool:
        """Return whether the job's record is in the store."""
        return job_id in self.records_by_id and job_id not in self._unaccepted

    def mark(self, job_id: JobId) -> None:
        """Note that a record changed."""
        self._shard_of(job_id).changes += 1
        if event := self._changed_by_job.pop(job_id, None):
            event.set()

    async def wait_above(self, job_id: JobId, above: Generation, limit: timedelta) -> None:
        """Wait until a record's generation exceeds ``above`` or the role ends."""
        wakes = self._wakes

        async def wait() -> None:
            while (record := self.records_by_id.get(job_id)) and record.generation <= above:
                event = self._changed_by_job.setdefault(job_id, asyncio.Event())
                await event.wait()
                if self._wakes != wakes:
                    return

        if limit > timedelta(0):
            await wait_at_most(self._clock, wait(), limit)

    def wake_all(self) -> None:
        """End all waits for a change."""
        self._wakes += 1
        for event in self._changed_by_job.values():
            event.set()
        self._changed_by_job.clear()

    async def flush(self) -> None:
        """Write all changed shards.

        :raises StoreError: the store did not answer; the shards stay to be written
        :raises DeposedError: another leader wrote a shard
        """
        numbers = [n for n, shard in enumerate(self._shards) if shard.changes > shard.written]
        if not numbers:
            return
        try:
            await self._write_all(numbers)
            self.is_available = True
        except StoreError:
            self.is_available = False
            raise

    async def flush_forever(self, on_deposed: Callable[[str], None]) -> None:
        """Write changes in groups and remove old records until cancelled or deposed."""
        pruned_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            if self._clock.monotonic() - pruned_at >= PRUNE_INTERVAL.total_seconds():
                pruned_at = self._clock.monotonic()
                self.prune()
            try:
                await self.flush()
            except StoreError as error:
                logger.warning("event=flush_delayed shards=%s error=%s", self._prefix, error)
                await self._clock.sleep(RETRY_INTERVAL)
            except DeposedError as error:
                on_deposed(str(error))
                return

    async def wait_written(self, job_id: JobId, limit: timedelta) -> bool:
        """Wait until all changes that the record has now are in the store.

        :returns: whether that happened within ``limit``
        """
        shard = self._shard_of(job_id)
        wanted = shard.changes

        async def wait() -> None:
            async with self._written:
                await self._written.wait_for(lambda: shard.written >= wanted)

        return shard.written >= wanted or await wait_at_most(self._clock, wait(), limit)

    def prune(self) -> int:
        """Remove records that ended longer ago than the retention, a bounded number per call.

        :returns: the number of removed records
        """
        oldest = self._clock.now() - RETENTION
        ended = (
            record.job_id
            for record in self.records_by_id.values()
            if record.state in FINAL_STATES
            and record.ended_at is not None
            and record.ended_at < oldest
        )
        job_ids = list(islice(ended, PRUNE_LIMIT))
        for job_id in job_ids:
            self._remove(job_id)
        return len(job_ids)

    def _remove(self, job_id: JobId) -> None:
        del self.records_by_id[job_id]
        del self._shard_of(job_id).records_by_id[job_id]
        self._unsent.discard(job_id)
        self._unaccepted.discard(job_id)
        self.mark(job_id)

    def _shard_of(self, job_id: JobId) -> Shard:
        return self._shards[shard_number(job_id)]

    async def _write_all(self, numbers: "range | list[int]") -> None:
        """Write shards concurrently; a failure of one does not keep the others from being tried."""
        places = asyncio.Semaphore(CONCURRENT_WRITES)

        async def write(number: int) -> None:
            async with places:
                await self._write(number, self._shards[number])

        results = await asyncio.gather(*map(write, numbers), return_exceptions=True)
        errors = [result for result in results if isinstance(result, BaseException)]
        for error in sorted(errors, key=lambda error: not isinstance(error, DeposedError)):
            raise error

    async def _write(self, number: int, shard: Shard) -> None:
        key = f"{self._prefix}{number}"
        while True:
            changes, job_ids = shard.changes, list(shard.records_by_id)
            document = ShardDocument(
                self._epoch, shard.sequence + 1, list(shard.records_by_id.values())
            )
            data = encode(document)
            self._unsent.difference_update(job_ids)
            try:
                version = await self._store.put(key, data, if_version=shard.version)
            except VersionConflictError:
                # An earlier write of this leader whose reply was lost conflicts as well.
                entry = await self._store.get(key)
                if entry.value != data:
                    self._take_over(shard, entry)
                    continue
                version = entry.version
            except StoreError:
                entry = await self._store.get(key)
                if entry.value != data:
                    raise
                version = entry.version
            break
        shard.version, shard.sequence = version, document.sequence
        shard.size, shard.written = len(data), changes
        self._unaccepted.difference_update(job_ids)
        async with self._written:
            self._written.notify_all()

    def _take_over(self, shard: Shard, entry: Entry) -> None:
        """Continue from a shard as it is in the store.

        :raises DeposedError: a leader with a higher epoch wrote it
        """
        shard.version = entry.version
        if not entry.value:
            return
        document = decode(entry.value, ShardDocument)
        if document.epoch > self._epoch:
            raise DeposedError(f"{entry.key} has epoch {document.epoch}, not {self._epoch}")
        shard.sequence = max(shard.sequence, document.sequence)
        if document.epoch < self._epoch:
            for record in document.records:
                shard.records_by_id[record.job_id] = record
                self.records_by_id[record.job_id] = record


def shard_number(job_id: JobId) -> int:
    """Return the number of the shard that holds a job's record."""
    return zlib.crc32(job_id.encode()) % SHARDS
