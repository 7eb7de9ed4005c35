"""Election of a cell's leader through the store."""

import logging
import uuid
from collections.abc import Awaitable, Callable
from datetime import timedelta

from msgspec import Struct

from chicorycrank.adapters.codec import decode, encode
from chicorycrank.model.ids import CellId, EntryId, Epoch, Nonce, Version
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import LeaseId, Store, StoreError, VersionConflictError

LEASE_TTL = timedelta(seconds=5)
RENEW_INTERVAL = timedelta(seconds=1.5)

logger = logging.getLogger("absl")


class Leader(Struct, frozen=True, kw_only=True):
    """The leader record of a cell."""

    epoch: Epoch
    holder: EntryId
    nonce: Nonce


class Election:
    """Holds the scheduler role of a cell whenever this entry can get it.

    The lease only chooses who should act; the epoch makes a holder that was paused harmless.

    :param on_elected: called with the epoch of each term
    :param on_lost: called when the term has ended
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
    ) -> None:
        self._store = store
        self._clock = clock
        self._cell = cell
        self._entry = entry
        self._on_elected = on_elected
        self._on_lost = on_lost
        self._lease: LeaseId | None = None

    async def run(self) -> None:
        """Try to be elected and renew the term until cancelled."""
        while True:
            try:
                if self._lease is None:
                    await self._campaign()
                elif not await self._store.renew_lease(self._lease):
                    self._lease = None
                    await self._on_lost()
                    continue
            except (StoreError, VersionConflictError) as error:
                logger.info("event=election_delayed cell=%s error=%s", self._cell, error)
            await self._clock.sleep(RENEW_INTERVAL)

    async def resign(self) -> None:
        """Give the role up so that another entry can take it at once."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        await self._on_lost()
        try:
            await self._store.revoke_lease(lease)
        except StoreError as error:
            logger.warning("event=resign_failed cell=%s error=%s", self._cell, error)

    async def _campaign(self) -> None:
        lock = await self._store.get(f"locks/{self._cell}")
        if lock.version:
            return
        lease = await self._store.grant_lease(LEASE_TTL)
        holder = self._entry.encode()
        await self._store.put(f"locks/{self._cell}", holder, if_version=Version(0), lease=lease)
        epoch = await self._raise_epoch()
        self._lease = lease
        logger.info("event=elected cell=%s epoch=%d", self._cell, epoch)
        await self._on_elected(epoch)

    async def _raise_epoch(self) -> Epoch:
        key = f"shared/leaders/{self._cell}"
        entry = await self._store.get(key)
        last = decode(entry.value, Leader).epoch if entry.value else Epoch(0)
        leader = Leader(epoch=Epoch(last + 1), holder=self._entry, nonce=Nonce(uuid.uuid4().hex))
        try:
            await self._store.put(key, encode(leader), if_version=entry.version)
        except StoreError:
            written = await self._store.get(key)
            if written.value != encode(leader):
                raise
        return leader.epoch
