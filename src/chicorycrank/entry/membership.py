"""Announcement of this entry in the store and watch of the shared keys."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from chicorycrank.adapters.codec import CodecError, encode
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import (
    Entry,
    LeaseId,
    Store,
    StoreError,
    VersionConflictError,
    WatchResult,
)

LEASE_TTL = timedelta(seconds=15)
RENEW_INTERVAL = timedelta(seconds=5)
WATCH_TIMEOUT = timedelta(seconds=30)
WATCH_MARGIN = timedelta(seconds=5)
RETRY_INTERVAL = timedelta(seconds=1)
PREFIX = "shared/"

logger = logging.getLogger("absl")


class Membership:
    """Maintains this entry's leased record and reports changes of the shared keys.

    :param on_entry: called with each changed key under ``shared/``
    :param on_list: called with all existing keys under ``shared/`` after each full list
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        info: EntryInfo,
        *,
        on_entry: Callable[[Entry], None],
        on_list: Callable[[frozenset[str]], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._info = info
        self._on_entry = on_entry
        self._on_list = on_list
        self._key = f"{PREFIX}entries/{info.entry_id}"
        self._wake = asyncio.Event()
        self._withdrawn = False
        self._lease: LeaseId | None = None

    async def announce_forever(self) -> None:
        """Write this entry's record under a lease and renew it until cancelled."""
        while not self._withdrawn:
            try:
                if self._lease is None or not await self._store.renew_lease(self._lease):
                    await self._announce()
                await self._sleep_or_wake(RENEW_INTERVAL)
            except (StoreError, VersionConflictError) as error:
                logger.warning("event=announce_delayed error=%s", error)
                await self._clock.sleep(RETRY_INTERVAL)

    async def watch_forever(self) -> None:
        """Watch the shared keys until cancelled."""
        revision = -1
        while True:
            try:
                revision = await self._report_changes(revision)
            except StoreError as error:
                logger.warning("event=watch_interrupted error=%s", error)
                await self._clock.sleep(RETRY_INTERVAL)
                revision = -1

    async def _report_changes(self, revision: int) -> int:
        """Report the next changes, or all keys if ``revision`` is negative.

        :returns: revision of the store from which to continue
        """
        if revision < 0:
            result = await self._store.list(PREFIX)
        else:
            result = await self._watch(revision)
        for stored in result.entries:
            try:
                self._on_entry(stored)
            except CodecError as error:
                # A malformed record must not stop the watch of all other records.
                logger.error("event=record_malformed key=%s error=%s", stored.key, error)
        existing = frozenset(stored.key for stored in result.entries if stored.version)
        changed = frozenset(stored.key for stored in result.entries)
        if revision < 0:
            self._on_list(existing)
        if self._key not in existing and (revision < 0 or self._key in changed):
            self._announce_again()
        return result.revision

    async def _watch(self, revision: int) -> WatchResult:
        """Wait for changes.

        :raises StoreError: the store failed, or did not answer within the timeout and a margin
        """
        timeout = WATCH_TIMEOUT + WATCH_MARGIN
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await self._store.watch(PREFIX, after=revision, timeout=WATCH_TIMEOUT)
        except TimeoutError as error:
            raise StoreError(
                f"the watch got no answer within {timeout.total_seconds():.0f} s"
            ) from error

    def _announce_again(self) -> None:
        """Announce at once, as the record is missing although its lease may still be renewed."""
        if self._lease is not None and not self._withdrawn:
            self._lease = None
            self._wake.set()

    async def _sleep_or_wake(self, interval: timedelta) -> None:
        sleep = asyncio.ensure_future(self._clock.sleep(interval))
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait({sleep, wake}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            wake.cancel()
        self._wake.clear()

    async def remove_record(self) -> None:
        """Remove this entry's record and stop announcing."""
        self._withdrawn = True
        if self._lease is not None:
            try:
                await self._store.revoke_lease(self._lease)
            except StoreError as error:
                logger.warning("event=withdraw_failed error=%s", error)

    async def _announce(self) -> None:
        """Write the record under a new lease; the lease is used only once the record is written."""
        current = await self._store.get(self._key)
        lease = await self._store.grant_lease(LEASE_TTL)
        await self._store.put(
            self._key, encode(self._info), if_version=current.version, lease=lease
        )
        self._lease = lease
