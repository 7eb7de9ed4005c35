"""Binds the idempotency key of a job without a region to one cell."""

import hashlib
from datetime import timedelta

from chicorycrank.model.ids import CellId, TeamId, Version
from chicorycrank.ports.store import LeaseId, Store, StoreError, VersionConflictError

PREFIX = "job-cells/"
# Longer than a job and the day for which its record is kept afterwards.
BINDING_TTL = timedelta(days=7)


class CellBinding:
    """Records in the store which cell a key belongs to.

    Two entries may see different loads, and a cell that was chosen earlier may be out of reach, so
    neither the loads nor a question to all cells tells where an earlier submission went.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def bind(self, team: TeamId, key: str, wanted: CellId) -> CellId:
        """Return the cell of a key, which is ``wanted`` if the key is new.

        :raises StoreError: the store did not answer
        """
        name = PREFIX + hashlib.sha256(f"{team}\n{key}".encode()).hexdigest()[:32]
        entry = await self._store.get(name)
        if not entry.value:
            lease = await self._store.grant_lease(BINDING_TTL)
            try:
                await self._store.put(name, wanted.encode(), if_version=Version(0), lease=lease)
                return wanted
            except VersionConflictError:
                await self._revoke(lease)
                entry = await self._store.get(name)
            except StoreError:
                # The write may have taken effect, or another entry's.
                entry = await self._store.get(name)
        if not entry.value:
            raise StoreError(f"{name} could not be written")
        return CellId(entry.value.decode())

    async def _revoke(self, lease: LeaseId) -> None:
        try:
            await self._store.revoke_lease(lease)
        except StoreError:
            return  # an unused lease ends by itself
