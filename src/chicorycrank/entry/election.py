"""Election of a cell's leader by a leased lock in the store."""

import asyncio
import logging
import random
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

from msgspec import Struct

from chicorycrank.adapters.codec import CodecError, decode, encode
from chicorycrank.entry.waiting import wait_at_most
from chicorycrank.model.ids import CellId, EntryId, Epoch, Nonce, Version
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import LeaseId, Store, StoreError, VersionConflictError

LEASE_TTL = timedelta(seconds=5)
RENEW_INTERVAL = timedelta(seconds=1.5)
# All entries see a vacancy at the same time; a random delay keeps them from campaigning at once.
MAX_VACANCY_DELAY = timedelta(milliseconds=200)
VACANT = EntryId("")

logger = logging.getLogger("absl")


class Leader(Struct, frozen=True, kw_only=True):
    """Leader record of a cell; after a resignation its holder is :data:`VACANT`.

    :param nonce: makes each written value unique, so that a writer recognises its own write after
        an error
    """

    epoch: Epoch
    holder: EntryId
    nonce: Nonce


@dataclass(kw_only=True)
class Term:
    """Period in which this entry is the leader.

    :param renewal_sent_at: monotonic time at which the lease was granted or its last renewal was
        sent, whether or not the store answered
    """

    lease: LeaseId
    epoch: Epoch
    renewal_sent_at: float
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Election:
    """Campaigns for the leader role of a cell and serves the terms for which it is elected.

    The lease selects the leader. It does not exclude a leader that was suspended past its expiry;
    the messages and writes of such a leader are rejected by their lower epoch.

    :param on_elected: called with the epoch of each term; the role is released if it raises
    :param on_lost: called when a term has ended, also after an ``on_elected`` that raised
    :param jitter: returns a random factor from 0 to 1 for the delays before a campaign
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        *,
        cell: CellId,
        entry: EntryId,
        on_elected: Callable[[Epoch], Awaitable[None]],
        on_lost: Callable[[], Awaitable[None]],
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._store = store
        self._clock = clock
        self._entry = entry
        self._cell = cell
        self._lock_key = f"locks/{cell}"
        self._leader_key = f"shared/leaders/{cell}"
        self._on_elected = on_elected
        self._on_lost = on_lost
        self._jitter = jitter
        self._term: Term | None = None
        self._vacancy = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()
        self._resigned = False

    @property
    def epoch(self) -> Epoch:
        """Epoch of the current term, or 0 if this entry is not the leader."""
        return self._term.epoch if self._term is not None else Epoch(0)

    async def run(self) -> None:
        """Campaign for the role and serve terms until cancelled or resigned."""
        while not self._resigned:
            self._idle.clear()
            try:
                term = await self._campaign()
                if term is not None:
                    await self._serve_term(term)
            except (StoreError, VersionConflictError, CodecError) as error:
                logger.info("event=election_failed cell=%s error=%s", self._cell, error)
            finally:
                self._idle.set()
            await self._wait_for_vacancy()

    async def resign(self) -> None:
        """Release the role for good, so that another entry can acquire it at once."""
        self._resigned = True
        self._vacancy.set()
        if self._term is not None:
            self._term.ended.set()
        await self._idle.wait()

    def step_down(self, reason: str) -> None:
        """End the current term, if any, and campaign again later."""
        if self._term is not None:
            logger.warning("event=step_down cell=%s reason=%s", self._cell, reason)
            self._term.ended.set()

    def handle_leader_record(self, leader: Leader) -> None:
        """Handle a change of the cell's leader record."""
        if self._term is not None and leader.epoch > self._term.epoch:
            self.step_down(f"epoch {leader.epoch} is held by {leader.holder}")
        if leader.holder == VACANT:
            self._vacancy.set()

    async def confirm_leadership(self) -> bool:
        """Return whether this entry may answer as the leader.

        If the last renewal is older than the lease, as after a suspension of the process, the lease
        is renewed first. While the store is unavailable, the holder keeps the role.
        """
        term = self._term
        if term is None or term.ended.is_set():
            return False
        if self._clock.monotonic() - term.renewal_sent_at >= LEASE_TTL.total_seconds():
            await self._renew(term)
        return not term.ended.is_set()

    async def _wait_for_vacancy(self) -> None:
        delay = RENEW_INTERVAL * (0.5 + self._jitter() / 2)
        if await wait_at_most(self._clock, self._vacancy.wait(), delay) and not self._resigned:
            self._vacancy.clear()
            await self._clock.sleep(MAX_VACANCY_DELAY * self._jitter())

    async def _campaign(self) -> Term | None:
        """Acquire the lock and increment the epoch; release the lock if that fails."""
        lock = await self._store.get(self._lock_key)
        if lock.version or self._resigned:
            return None
        renewal_sent_at = self._clock.monotonic()
        lease = await self._store.grant_lease(LEASE_TTL)
        lock_value = f"{self._entry} {uuid.uuid4().hex}".encode()
        try:
            await self._write_key(self._lock_key, lock_value, Version(0), lease)
            epoch = await self._increment_epoch()
        except (StoreError, VersionConflictError, CodecError):
            await self._revoke(lease)
            raise
        logger.info("event=elected cell=%s epoch=%d", self._cell, epoch)
        return Term(lease=lease, epoch=epoch, renewal_sent_at=renewal_sent_at)

    async def _increment_epoch(self) -> Epoch:
        stored = await self._store.get(self._leader_key)
        last = decode(stored.value, Leader).epoch if stored.value else Epoch(0)
        leader = Leader(epoch=Epoch(last + 1), holder=self._entry, nonce=Nonce(uuid.uuid4().hex))
        await self._write_key(self._leader_key, encode(leader), stored.version)
        return leader.epoch

    async def _write_key(
        self, key: str, value: bytes, version: Version, lease: LeaseId | None = None
    ) -> None:
        """Write a value that no other writer uses; after an error, read whether it was written."""
        try:
            await self._store.put(key, value, if_version=version, lease=lease)
        except StoreError:
            written = await self._store.get(key)
            if written.value != value:
                raise

    async def _serve_term(self, term: Term) -> None:
        """Serve a term until it ends; the lease is renewed while ``on_elected`` runs, too."""
        self._term = term
        if self._resigned:
            term.ended.set()
        start_task = asyncio.ensure_future(self._start_term(term))
        try:
            while not term.ended.is_set():
                if not await wait_at_most(self._clock, term.ended.wait(), RENEW_INTERVAL):
                    await self._renew(term)
        finally:
            self._term = None
            start_task.cancel()
            await asyncio.gather(start_task, return_exceptions=True)
            await self._on_lost()
        await self._revoke(term.lease)
        if self._resigned:
            await self._write_vacancy(term)

    async def _start_term(self, term: Term) -> None:
        try:
            await self._on_elected(term.epoch)
        except Exception as error:  # any failure releases the role; the entry campaigns again
            logger.warning("event=term_start_failed cell=%s error=%r", self._cell, error)
            term.ended.set()

    async def _renew(self, term: Term) -> None:
        renewal_sent_at = self._clock.monotonic()
        try:
            if not await self._store.renew_lease(term.lease):
                logger.warning("event=lease_expired cell=%s epoch=%d", self._cell, term.epoch)
                term.ended.set()
        except StoreError as error:
            logger.info("event=renewal_failed cell=%s error=%s", self._cell, error)
        term.renewal_sent_at = renewal_sent_at

    async def _revoke(self, lease: LeaseId) -> None:
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            logger.info("event=revoke_failed cell=%s error=%s", self._cell, error)

    async def _write_vacancy(self, term: Term) -> None:
        """Mark the leader record as vacant, so that other entries campaign without a delay."""
        try:
            stored = await self._store.get(self._leader_key)
            if stored.value and decode(stored.value, Leader).epoch == term.epoch:
                vacant = Leader(epoch=term.epoch, holder=VACANT, nonce=Nonce(uuid.uuid4().hex))
                await self._store.put(self._leader_key, encode(vacant), if_version=stored.version)
        except (StoreError, VersionConflictError, CodecError) as error:
            logger.info("event=vacancy_write_failed cell=%s error=%s", self._cell, error)
