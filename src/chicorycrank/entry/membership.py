"""Announces this entry in the store and follows the shared keys."""

import logging
from collections.abc import Callable
from datetime import timedelta

from chicorycrank.adapters.codec import encode
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import (
    Entry,
    LeaseId,
    Store,
    StoreError,
    VersionConflictError,
)

LEASE_TTL = timedelta(seconds=15)
RENEW_INTERVAL = timedelta(seconds=5)
WATCH_TIMEOUT = timedelta(seconds=30)
RETRY_INTERVAL = timedelta(seconds=1)
PREFIX = "shared/"

logger = logging.getLogger("absl")


class Membership:
    """Keeps this entry's record alive and hands changed shared keys on.

    :param on_entry: called with each changed key under ``shared/``
    """

    def __init__(
        self, store: Store, clock: Clock, info: EntryInfo, on_entry: Callable[[Entry], None]
    ) -> None:
        self._store = store
        self._clock = clock
        self._info = info
        self._on_entry = on_entry
        self._lease: LeaseId | None = None

    async def announce_forever(self) -> None:
        """Write this entry's record under a lease and renew it until cancelled."""
        while True:
            try:
                if self._lease is None or not await self._store.renew_lease(self._lease):
                    await self._announce()
                await self._clock.sleep(RENEW_INTERVAL)
            except (StoreError, VersionConflictError) as error:
                logger.warning("event=announce_delayed error=%s", error)
                await self._clock.sleep(RETRY_INTERVAL)

    async def watch_forever(self) -> None:
        """Follow the shared keys until cancelled."""
        revision = -1
        while True:
            try:
                if revision < 0:
                    result = await self._store.list(PREFIX)
                else:
                    result = await self._store.watch(PREFIX, after=revision, timeout=WATCH_TIMEOUT)
            except StoreError as error:
                logger.warning("event=watch_interrupted error=%s", error)
                await self._clock.sleep(RETRY_INTERVAL)
                revision = -1
                continue
            revision = result.revision
            for entry in result.entries:
                self._on_entry(entry)

    async def withdraw(self) -> None:
        """Remove this entry's record."""
        if self._lease is not None:
            try:
                await self._store.revoke_lease(self._lease)
            except StoreError as error:
                logger.warning("event=withdraw_failed error=%s", error)

    async def _announce(self) -> None:
        key = f"{PREFIX}entries/{self._info.entry_id}"
        current = await self._store.get(key)
        self._lease = await self._store.grant_lease(LEASE_TTL)
        await self._store.put(
            key, encode(self._info), if_version=current.version, lease=self._lease
        )
