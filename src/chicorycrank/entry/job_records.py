"""Job records of a cell, packed in shards of the store and written by the leader only."""

import asyncio
import logging
import zlib
from datetime import timedelta

from msgspec import Struct

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.model.ids import CellId, Epoch, JobId, Version
from chicorycrank.model.jobs import JobRecord
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import Store, StoreError, VersionConflictError

SHARDS = 64
FLUSH_INTERVAL = timedelta(milliseconds=50)
RETRY_INTERVAL = timedelta(seconds=1)

logger = logging.getLogger("absl")


class DeposedError(Exception):
    """Another leader wrote a shard; this one must not act any more."""


class ShardDocument(Struct, frozen=True):
    """A shard as stored."""

    epoch: Epoch
    sequence: int
    records: list[JobRecord]


class JobRecords:
    """Records in memory and their grouped writes."""

    def __init__(self, store: Store, clock: Clock, cell: CellId) -> None:
        self._store = store
        self._clock = clock
        self._cell = cell
        self._epoch = Epoch(0)
        self._version_by_shard: dict[int, Version] = {}
        self._sequence_by_shard: dict[int, int] = {}
        self._dirty: set[int] = set()
        self._written = asyncio.Condition()
        self.records_by_id: dict[JobId, JobRecord] = {}

    async def load(self, epoch: Epoch) -> None:
        """Read all shards and rewrite the used ones with the new epoch.

        :raises StoreError: the store did not answer
        :raises VersionConflictError: another leader writes at the same time
        """
        self._epoch = epoch
        self._dirty.clear()
        self.records_by_id.clear()
        prefix = f"jobs/{self._cell}/"
        result = await self._store.list(prefix)
        for number in range(SHARDS):
            self._version_by_shard[number] = Version(0)
            self._sequence_by_shard[number] = 0
        for entry in result.entries:
            number = int(entry.key.removeprefix(prefix))
            document = decode(entry.value, ShardDocument)
            self._version_by_shard[number] = entry.version
            self._sequence_by_shard[number] = document.sequence
            self.records_by_id.update({record.job_id: record for record in document.records})
            await self._write(number)

    def mark(self, job_id: JobId) -> None:
        """Note that a record changed."""
        self._dirty.add(_shard_of(job_id))

    async def flush(self) -> None:
        """Write all dirty shards.

        :raises StoreError: the store did not answer; the shards stay dirty
        :raises DeposedError: another leader wrote a shard
        """
        for number in sorted(self._dirty):
            self._dirty.discard(number)
            try:
                await self._write(number)
            except VersionConflictError as error:
                raise DeposedError(str(error)) from error
            except StoreError:
                self._dirty.add(number)
                raise
        async with self._written:
            self._written.notify_all()

    async def wait_written(self, job_id: JobId) -> None:
        """Wait until the record's shard is not dirty."""
        number = _shard_of(job_id)
        async with self._written:
            await self._written.wait_for(lambda: number not in self._dirty)

    async def _write(self, number: int) -> None:
        sequence = self._sequence_by_shard[number] + 1
        records = [r for r in self.records_by_id.values() if _shard_of(r.job_id) == number]
        data = encode(ShardDocument(self._epoch, sequence, records))
        key = f"jobs/{self._cell}/{number}"
        try:
            version = await self._store.put(key, data, if_version=self._version_by_shard[number])
        except StoreError:
            entry = await self._store.get(key)
            if entry.value != data:
                raise
            version = entry.version
        self._version_by_shard[number] = version
        self._sequence_by_shard[number] = sequence


def _shard_of(job_id: JobId) -> int:
    return zlib.crc32(job_id.encode()) % SHARDS
