"""Store claims on the keys of non-repeatable requests, grouped in shards."""

import asyncio
import zlib
from dataclasses import dataclass, field
from datetime import timedelta

from chicorycrank.adapters.codec import CodecError, decode, encode
from chicorycrank.model.ids import Nonce, RequestKey, Version
from chicorycrank.model.requests import Claim, ClaimState, Outcome
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import Store, StoreError, VersionConflictError

SHARD_COUNT = 256
# Claims on new keys are refused above this size. The remaining space up to the store's limit is
# left for outcomes of keys that are already claimed.
MAX_SHARD_BYTES = 900_000
MAX_VALUE_BYTES = 1_000_000
MAX_LOST_REPLIES = 2
RETENTION = timedelta(days=7)


class ClaimShardFullError(Exception):
    """The shard of a key has no space for another claim."""


@dataclass(kw_only=True)
class PendingWrite:
    """Claim that waits for the next write of its shard.

    :param expected: nonce of the claim to replace; ``None`` for a new key
    :param future: result of :meth:`ClaimStore.put`
    """

    claim: Claim
    expected: Nonce | None
    future: "asyncio.Future[Claim | None]"


@dataclass(kw_only=True)
class CachedShard:
    """State of a shard after this entry's last read or write."""

    version: Version | None = None
    claims_by_key: dict[RequestKey, Claim] = field(default_factory=dict)
    pending_writes: list[PendingWrite] = field(default_factory=list)
    writer: "asyncio.Task[None] | None" = None


class ClaimStore:
    """Claims in the store, written with compare-and-swap."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._shard_by_number = {number: CachedShard() for number in range(SHARD_COUNT)}

    async def put(self, claim: Claim, *, expected: Nonce | None) -> Claim | None:
        """Write a claim if the key's current claim has nonce ``expected``.

        :returns: the stored claim of the key, which is the given one if nonce and state match;
            ``None`` if the claim to replace no longer exists
        :raises StoreError: the store did not answer; the claim may have been written
        :raises ClaimShardFullError: the shard is full; nothing was written
        """
        number = zlib.crc32(claim.key.encode()) % SHARD_COUNT
        shard = self._shard_by_number[number]
        future: asyncio.Future[Claim | None] = asyncio.get_running_loop().create_future()
        shard.pending_writes.append(PendingWrite(claim=claim, expected=expected, future=future))
        if shard.writer is None or shard.writer.done():
            shard.writer = asyncio.create_task(self._write(number, shard))
        return await future

    async def get(self, key: RequestKey) -> Claim | None:
        """Return the current claim of a key.

        :raises StoreError: the store did not answer
        """
        number = zlib.crc32(key.encode()) % SHARD_COUNT
        shard = self._shard_by_number[number]
        await self._read(number, shard)
        return shard.claims_by_key.get(key)

    async def _write(self, number: int, shard: CachedShard) -> None:
        while shard.pending_writes:
            batch, shard.pending_writes = shard.pending_writes, []
            try:
                await self._write_batch(number, shard, batch)
            except (StoreError, ClaimShardFullError) as error:
                shard.version = None
                for pending in batch:
                    if not pending.future.done():
                        pending.future.set_exception(error)

    async def _write_batch(
        self, number: int, shard: CachedShard, batch: list[PendingWrite]
    ) -> None:
        """Write a batch in one compare-and-swap.

        After a lost reply the shard is read and merged again: a claim that was already written
        changes nothing, and claims that other entries wrote in the meantime are kept.
        """
        lost_replies = 0
        is_freshly_read = False
        while batch:
            if shard.version is None:
                await self._read(number, shard)
                is_freshly_read = True
            claims = self._merge(shard, batch)
            if claims == shard.claims_by_key:
                if is_freshly_read:
                    _resolve_futures(batch, claims)
                    return
                shard.version = None
                continue
            data = encode(list(claims.values()))
            if len(data) > MAX_SHARD_BYTES:
                error = ClaimShardFullError(f"claim shard {number} is full")
                remaining = _refuse_new_keys(shard, batch, error)
                if len(remaining) < len(batch):
                    batch = remaining
                    continue
                if len(data) > MAX_VALUE_BYTES:
                    raise error
            assert shard.version is not None
            try:
                shard.version = await self._store.put(
                    _shard_key(number), data, if_version=shard.version
                )
            except VersionConflictError:
                shard.version = None
                continue
            except StoreError:
                lost_replies += 1
                if lost_replies > MAX_LOST_REPLIES:
                    raise
                shard.version = None
                continue
            shard.claims_by_key = claims
            _resolve_futures(batch, claims)
            return

    def _merge(self, shard: CachedShard, batch: list[PendingWrite]) -> dict[RequestKey, Claim]:
        cutoff_s = self._clock.now().timestamp() - RETENTION.total_seconds()
        claims = {k: c for k, c in shard.claims_by_key.items() if c.claimed_at > cutoff_s}
        for pending in batch:
            current = claims.get(pending.claim.key)
            if _may_replace(current, pending):
                claims[pending.claim.key] = pending.claim
        return claims

    async def _read(self, number: int, shard: CachedShard) -> None:
        stored = await self._store.get(_shard_key(number))
        try:
            claims = decode(stored.value, list[Claim]) if stored.value else []
        except CodecError as error:
            raise StoreError(f"claim shard {number} is malformed: {error}") from error
        shard.version = stored.version
        shard.claims_by_key = {claim.key: claim for claim in claims}


def _shard_key(number: int) -> str:
    return f"claims/{number}"


def _may_replace(current: Claim | None, pending: PendingWrite) -> bool:
    """Return whether a pending claim may replace the current one.

    A stored outcome is replaced only if it is unknown and the new one is completed or failed.
    """
    if (current.nonce if current is not None else None) != pending.expected:
        return False
    new = pending.claim
    if current is None or current.state is ClaimState.CLAIMED:
        return True
    if current.state is ClaimState.RELEASED:
        return new.nonce != current.nonce
    return (
        _outcome(current) is Outcome.UNKNOWN
        and new.nonce == current.nonce
        and _outcome(new) in (Outcome.COMPLETED, Outcome.FAILED)
    )


def _outcome(claim: Claim) -> Outcome | None:
    return claim.answer.outcome if claim.answer is not None else None


def _resolve_futures(batch: list[PendingWrite], claims: dict[RequestKey, Claim]) -> None:
    for pending in batch:
        if not pending.future.done():  # the future is done if the caller was cancelled
            pending.future.set_result(claims.get(pending.claim.key))


def _refuse_new_keys(
    shard: CachedShard, batch: list[PendingWrite], error: ClaimShardFullError
) -> list[PendingWrite]:
    """Refuse claims on new keys and return the remaining writes."""
    remaining = []
    for pending in batch:
        if pending.claim.key in shard.claims_by_key:
            remaining.append(pending)
        elif not pending.future.done():
            pending.future.set_exception(error)
    return remaining
