"""Job records of a cell, stored in shards that only the leader writes."""

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

SHARD_COUNT = 64
# The store accepts values up to 1 MB; the margin is for the growth of accepted records.
MAX_SHARD_BYTES = 900_000
RETENTION = timedelta(days=1)
PRUNE_INTERVAL = timedelta(minutes=1)
MAX_PRUNED_PER_CALL = 200
FLUSH_INTERVAL = timedelta(milliseconds=50)
RETRY_INTERVAL = timedelta(seconds=1)
# Equal to the size of the store client's thread pool.
MAX_CONCURRENT_WRITES = 8
NO_VERSION = Version(0)

logger = logging.getLogger("absl")


class LeadershipLostError(Exception):
    """Another leader has written a shard, so this one must not act any longer."""


class ShardDocument(Struct, frozen=True):
    """Shard in its stored form."""

    epoch: Epoch
    sequence: int
    records: list[JobRecord]


@dataclass(kw_only=True)
class Shard:
    """Shard in memory.

    :param version: last known version in the store; outdated after a write whose reply was lost
    :param size: encoded size in bytes at the last write, plus that of records added since
    :param change_count: number of changes so far
    :param written_count: number of changes that are in the store
    """

    version: Version = NO_VERSION
    sequence: int = 0
    size: int = 0
    change_count: int = 0
    written_count: int = 0
    records_by_id: dict[JobId, JobRecord] = field(default_factory=dict)


class JobRecords:
    """Job records in memory, written to the store in batches.

    :ivar is_available: false from a flush that the store did not answer until a flush or
        :meth:`load` succeeds
    """

    def __init__(self, store: Store, clock: Clock, cell: CellId) -> None:
        self._store = store
        self._clock = clock
        self._prefix = f"jobs/{cell}/"
        self._epoch = Epoch(0)
        self._shards = [Shard() for _ in range(SHARD_COUNT)]
        self._unsent_job_ids: set[JobId] = set()
        self._unconfirmed_job_ids: set[JobId] = set()
        self._write_condition = asyncio.Condition()
        self._change_event_by_job: dict[JobId, asyncio.Event] = {}
        self._wake_count = 0
        self.records_by_id: dict[JobId, JobRecord] = {}
        self.is_available = True

    async def load(self, epoch: Epoch) -> None:
        """Read all shards and rewrite each of them with the new epoch.

        Unused shards are written too. Otherwise an older leader that has not noticed its
        replacement could accept a job in one of them, and this leader would not see the job.

        :raises StoreError: the store did not answer
        :raises LeadershipLostError: a leader with a higher epoch writes at the same time
        """
        self._epoch = epoch
        self._shards = [Shard() for _ in range(SHARD_COUNT)]
        self._unsent_job_ids.clear()
        self._unconfirmed_job_ids.clear()
        self.records_by_id.clear()
        result = await self._store.list(self._prefix)
        for stored in result.entries:
            number = stored.key.removeprefix(self._prefix)
            # The keys of a cell named "<this cell>/..." have the same prefix.
            if number.isdecimal() and int(number) < SHARD_COUNT:
                self._merge_stored(self._shards[int(number)], stored)
        await self._write_all(range(SHARD_COUNT))
        self.is_available = True

    def add(self, record: JobRecord) -> bool:
        """Add a new record; return whether its shard had enough free space."""
        shard = self._shard_of(record.job_id)
        size = len(encode(record))
        if shard.size + size > MAX_SHARD_BYTES:
            return False
        shard.size += size
        shard.records_by_id[record.job_id] = record
        self.records_by_id[record.job_id] = record
        self._unsent_job_ids.add(record.job_id)
        self._unconfirmed_job_ids.add(record.job_id)
        self.mark_changed(record.job_id)
        return True

    def withdraw(self, job_id: JobId) -> bool:
        """Remove a new record unless a write of it has begun; return whether it was removed."""
        if job_id not in self._unsent_job_ids:
            return False
        self._remove(job_id)
        return True

    def is_accepted(self, job_id: JobId) -> bool:
        """Return whether the job's record is in the store."""
        return job_id in self.records_by_id and job_id not in self._unconfirmed_job_ids

    def mark_changed(self, job_id: JobId) -> None:
        """Record that a job record has changed and wake those who wait for the change."""
        self._shard_of(job_id).change_count += 1
        if event := self._change_event_by_job.pop(job_id, None):
            event.set()

    async def wait_for_generation(self, job_id: JobId, above: Generation, limit: timedelta) -> None:
        """Wait until a record's generation exceeds ``above`` or the role ends.

        :param limit: longest time to wait
        """
        wake_count = self._wake_count

        async def wait() -> None:
            while (record := self.records_by_id.get(job_id)) and record.generation <= above:
                event = self._change_event_by_job.setdefault(job_id, asyncio.Event())
                await event.wait()
                if self._wake_count != wake_count:
                    return

        if limit > timedelta(0):
            await wait_at_most(self._clock, wait(), limit)

    def end_waits(self) -> None:
        """End all waits for changes of records."""
        self._wake_count += 1
        for event in self._change_event_by_job.values():
            event.set()
        self._change_event_by_job.clear()

    async def flush(self) -> None:
        """Write all changed shards.

        :raises StoreError: the store did not answer; the next flush writes the shards again
        :raises LeadershipLostError: another leader wrote a shard
        """
        numbers = [
            n for n, shard in enumerate(self._shards) if shard.change_count > shard.written_count
        ]
        if not numbers:
            return
        try:
            await self._write_all(numbers)
            self.is_available = True
        except StoreError:
            self.is_available = False
            raise

    async def flush_forever(self, on_superseded: Callable[[str], None]) -> None:
        """Write changes in batches and prune old records until cancelled or superseded.

        :param on_superseded: called with a reason when another leader has written a shard
        """
        pruned_at = self._clock.monotonic()
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            if self._clock.monotonic() - pruned_at >= PRUNE_INTERVAL.total_seconds():
                pruned_at = self._clock.monotonic()
                self.prune()
            try:
                await self.flush()
            except StoreError as error:
                logger.warning("event=flush_failed prefix=%s error=%s", self._prefix, error)
                await self._clock.sleep(RETRY_INTERVAL)
            except LeadershipLostError as error:
                on_superseded(str(error))
                return

    async def wait_until_written(self, job_id: JobId, limit: timedelta) -> bool:
        """Wait until all changes made to the record so far are in the store.

        :returns: whether that happened within ``limit``
        """
        shard = self._shard_of(job_id)
        target_count = shard.change_count

        async def wait() -> None:
            async with self._write_condition:
                await self._write_condition.wait_for(lambda: shard.written_count >= target_count)

        return shard.written_count >= target_count or await wait_at_most(self._clock, wait(), limit)

    def prune(self) -> int:
        """Remove records of jobs that ended before the retention period, a bounded number per call.

        :returns: the number of removed records
        """
        cutoff = self._clock.now() - RETENTION
        ended = (
            record.job_id
            for record in self.records_by_id.values()
            if record.state in FINAL_STATES
            and record.ended_at is not None
            and record.ended_at < cutoff
        )
        job_ids = list(islice(ended, MAX_PRUNED_PER_CALL))
        for job_id in job_ids:
            self._remove(job_id)
        return len(job_ids)

    def _remove(self, job_id: JobId) -> None:
        del self.records_by_id[job_id]
        del self._shard_of(job_id).records_by_id[job_id]
        self._unsent_job_ids.discard(job_id)
        self._unconfirmed_job_ids.discard(job_id)
        self.mark_changed(job_id)

    def _shard_of(self, job_id: JobId) -> Shard:
        return self._shards[shard_number(job_id)]

    async def _write_all(self, numbers: "range | list[int]") -> None:
        """Write shards concurrently; the failure of one write does not cancel the others."""
        write_slots = asyncio.Semaphore(MAX_CONCURRENT_WRITES)

        async def write(number: int) -> None:
            async with write_slots:
                await self._write(number, self._shards[number])

        results = await asyncio.gather(*map(write, numbers), return_exceptions=True)
        errors = [result for result in results if isinstance(result, BaseException)]
        for error in sorted(errors, key=lambda error: not isinstance(error, LeadershipLostError)):
            raise error

    async def _write(self, number: int, shard: Shard) -> None:
        key = f"{self._prefix}{number}"
        while True:
            change_count, job_ids = shard.change_count, list(shard.records_by_id)
            document = ShardDocument(
                self._epoch, shard.sequence + 1, list(shard.records_by_id.values())
            )
            data = encode(document)
            self._unsent_job_ids.difference_update(job_ids)
            try:
                version = await self._store.put(key, data, if_version=shard.version)
            except VersionConflictError:
                # The conflict may be with an earlier write of this leader whose reply was lost.
                stored = await self._store.get(key)
                if stored.value != data:
                    self._merge_stored(shard, stored)
                    continue
                version = stored.version
            except StoreError:
                stored = await self._store.get(key)
                if stored.value != data:
                    raise
                version = stored.version
            break
        shard.version, shard.sequence = version, document.sequence
        shard.size, shard.written_count = len(data), change_count
        self._unconfirmed_job_ids.difference_update(job_ids)
        async with self._write_condition:
            self._write_condition.notify_all()

    def _merge_stored(self, shard: Shard, stored: Entry) -> None:
        """Apply the version, sequence and records of an older epoch from a stored shard.

        :raises LeadershipLostError: a leader with a higher epoch wrote the shard
        """
        shard.version = stored.version
        if not stored.value:
            return
        document = decode(stored.value, ShardDocument)
        if document.epoch > self._epoch:
            raise LeadershipLostError(
                f"{stored.key} was written at epoch {document.epoch}, "
                f"above this leader's epoch {self._epoch}"
            )
        shard.sequence = max(shard.sequence, document.sequence)
        if document.epoch < self._epoch:
            for record in document.records:
                shard.records_by_id[record.job_id] = record
                self.records_by_id[record.job_id] = record


def shard_number(job_id: JobId) -> int:
    """Return the number of the shard that holds a job's record."""
    return zlib.crc32(job_id.encode()) % SHARD_COUNT
