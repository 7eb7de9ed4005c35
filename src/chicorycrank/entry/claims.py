"""Claims on the keys of non-repeatable requests, grouped in shards of the store."""

import asyncio
import zlib
from dataclasses import dataclass, field
from datetime import timedelta

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.model.ids import Nonce, RequestKey, Version
from chicorycrank.model.requests import Claim, ClaimState
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import Store, StoreError, VersionConflictError

SHARDS = 256
MAX_SHARD_BYTES = 900_000
RETENTION = timedelta(days=7)


class ClaimShardFullError(Exception):
    """The shard of a key holds no further claims."""


@dataclass(kw_only=True)
class Pending:
    """A change that waits for the next write of its shard.

    :param expected: nonce of the claim that is replaced; absent for a new key
    """

    claim: Claim
    expected: Nonce | None
    done: "asyncio.Future[Claim]"


@dataclass(kw_only=True)
class Shard:
    """What this entry last read or wrote of a shard."""

    version: Version | None = None
    claims_by_key: dict[RequestKey, Claim] = field(default_factory=dict)
    pending: list[Pending] = field(default_factory=list)
    writer: "asyncio.Task[None] | None" = None


class ClaimLog:
    """Reads and writes claims with compare-and-swap."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._shard_by_number = {number: Shard() for number in range(SHARDS)}

    async def put(self, claim: Claim, *, expected: Nonce | None) -> Claim:
        """Write a claim if the key's current claim has nonce ``expected``.

        :returns: the claim that is in the store afterwards; ours if the nonce and state match
        :raises StoreError: the store did not answer; the claim may have been written
        :raises ClaimShardFullError: there is no room; nothing was written
        """
        number = zlib.crc32(claim.key.encode()) % SHARDS
        shard = self._shard_by_number[number]
        done: asyncio.Future[Claim] = asyncio.get_running_loop().create_future()
        shard.pending.append(Pending(claim=claim, expected=expected, done=done))
        if shard.writer is None or shard.writer.done():
            shard.writer = asyncio.create_task(self._write(number, shard))
        return await done

    async def get(self, key: RequestKey) -> Claim | None:
        """Return the current claim of a key.

        :raises StoreError: the store did not answer
        """
        number = zlib.crc32(key.encode()) % SHARDS
        shard = self._shard_by_number[number]
        await self._read(number, shard)
        return shard.claims_by_key.get(key)

    async def _write(self, number: int, shard: Shard) -> None:
        while shard.pending:
            batch, shard.pending = shard.pending, []
            try:
                await self._write_batch(number, shard, batch)
            except (StoreError, ClaimShardFullError) as error:
                shard.version = None
                for pending in batch:
                    if not pending.done.done():
                        pending.done.set_exception(error)

    async def _write_batch(self, number: int, shard: Shard, batch: list[Pending]) -> None:
        """Write a batch in one compare-and-swap; a lost reply is resolved by reading again."""
        while True:
            if shard.version is None:
                await self._read(number, shard)
            claims = self._merge(shard, batch)
            data = encode(list(claims.values()))
            if len(data) > MAX_SHARD_BYTES:
                raise ClaimShardFullError(f"claim shard {number} is full")
            assert shard.version is not None
            try:
                version = await self._store.put(_name(number), data, if_version=shard.version)
            except VersionConflictError:
                shard.version = None
                continue
            except StoreError:
                await self._read(number, shard)
                if not all(_is_written(shard, pending) for pending in batch):
                    raise
                version = shard.version
            shard.version = version
            shard.claims_by_key = claims
            for pending in batch:
                pending.done.set_result(claims[pending.claim.key])
            return

    def _merge(self, shard: Shard, batch: list[Pending]) -> dict[RequestKey, Claim]:
        oldest = self._clock.now().timestamp() - RETENTION.total_seconds()
        claims = {k: c for k, c in shard.claims_by_key.items() if c.claimed_at > oldest}
        for pending in batch:
            current = claims.get(pending.claim.key)
            nonce = current.nonce if current is not None else None
            is_done = current is not None and current.state is ClaimState.DONE
            if nonce == pending.expected and not is_done:
                claims[pending.claim.key] = pending.claim
        return claims

    async def _read(self, number: int, shard: Shard) -> None:
        entry = await self._store.get(_name(number))
        claims = decode(entry.value, list[Claim]) if entry.value else []
        shard.version = entry.version
        shard.claims_by_key = {claim.key: claim for claim in claims}


def _name(number: int) -> str:
    return f"claims/{number}"


def _is_written(shard: Shard, pending: Pending) -> bool:
    return shard.claims_by_key.get(pending.claim.key) == pending.claim
