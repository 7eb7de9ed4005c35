"""Claims on the keys of non-repeatable requests, grouped in shards of the store."""

import asyncio
import zlib
from dataclasses import dataclass, field
from datetime import timedelta

from chicorycrank.adapters.codec import CodecError, decode, encode
from chicorycrank.model.ids import Nonce, RequestKey, Version
from chicorycrank.model.requests import Claim, ClaimState, Outcome
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import Store, StoreError, VersionConflictError

SHARDS = 256
# New claims are refused above this size; the rest up to the store's limit is for outcomes.
MAX_SHARD_BYTES = 900_000
MAX_VALUE_BYTES = 1_000_000
MAX_LOST_REPLIES = 2
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
    done: "asyncio.Future[Claim | None]"


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

    async def put(self, claim: Claim, *, expected: Nonce | None) -> Claim | None:
        """Write a claim if the key's current claim has nonce ``expected``.

        :returns: the claim that is in the store afterwards; ours if the nonce and state match;
            absent if the claim that was to be replaced is gone
        :raises StoreError: the store did not answer; the claim may have been written
        :raises ClaimShardFullError: there is no room; nothing was written
        """
        number = zlib.crc32(claim.key.encode()) % SHARDS
        shard = self._shard_by_number[number]
        done: asyncio.Future[Claim | None] = asyncio.get_running_loop().create_future()
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
        """Write a batch in one compare-and-swap.

        A lost reply is resolved by reading again and merging again: a change that took effect
        merges to no change, and claims that other entries wrote meanwhile are kept.
        """
        lost_replies = 0
        is_fresh = False
        while batch:
            if shard.version is None:
                await self._read(number, shard)
                is_fresh = True
            claims = self._merge(shard, batch)
            if claims == shard.claims_by_key:
                if is_fresh:
                    _resolve(batch, claims)
                    return
                shard.version = None
                continue
            data = encode(list(claims.values()))
            if len(data) > MAX_SHARD_BYTES:
                error = ClaimShardFullError(f"claim shard {number} is full")
                remaining = _refuse_new(shard, batch, error)
                if len(remaining) < len(batch):
                    batch = remaining
                    continue
                if len(data) > MAX_VALUE_BYTES:
                    raise error
            assert shard.version is not None
            try:
                shard.version = await self._store.put(_name(number), data, if_version=shard.version)
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
            _resolve(batch, claims)
            return

    def _merge(self, shard: Shard, batch: list[Pending]) -> dict[RequestKey, Claim]:
        oldest = self._clock.now().timestamp() - RETENTION.total_seconds()
        claims = {k: c for k, c in shard.claims_by_key.items() if c.claimed_at > oldest}
        for pending in batch:
            current = claims.get(pending.claim.key)
            if _may_replace(current, pending):
                claims[pending.claim.key] = pending.claim
        return claims

    async def _read(self, number: int, shard: Shard) -> None:
        entry = await self._store.get(_name(number))
        try:
            claims = decode(entry.value, list[Claim]) if entry.value else []
        except CodecError as error:
            raise StoreError(f"claim shard {number} is malformed: {error}") from error
        shard.version = entry.version
        shard.claims_by_key = {claim.key: claim for claim in claims}


def _name(number: int) -> str:
    return f"claims/{number}"


def _may_replace(current: Claim | None, pending: Pending) -> bool:
    """Whether a change applies; a final outcome gives way only from unknown to known."""
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


def _resolve(batch: list[Pending], claims: dict[RequestKey, Claim]) -> None:
    for pending in batch:
        if not pending.done.done():  # its caller may have been cancelled
            pending.done.set_result(claims.get(pending.claim.key))


def _refuse_new(shard: Shard, batch: list[Pending], error: ClaimShardFullError) -> list[Pending]:
    """Refuse claims on new keys and return the remaining changes."""
    remaining = []
    for pending in batch:
        if pending.claim.key in shard.claims_by_key:
            remaining.append(pending)
        elif not pending.done.done():
            pending.done.set_exception(error)
    return remaining
