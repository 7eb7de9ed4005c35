"""Binding of a job's idempotency key to one cell, for jobs that name no region."""

import hashlib
from datetime import timedelta

from chicorycrank.model.ids import CellId, TeamId, Version
from chicorycrank.ports.store import LeaseId, Store, StoreError, VersionConflictError

PREFIX = "job-cells/"
# Longer than a job may run plus the day for which its record is kept afterwards.
BINDING_TTL = timedelta(days=7)


class CellBinding:
    """Records of the cell to which each idempotency key was submitted.

    The cell of an earlier submission cannot be found in any other way: entries may see different
    loads and choose different cells, and a query to all cells may not reach the chosen one.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def bind(self, team: TeamId, key: str, preferred: CellId) -> CellId:
        """Return the cell of a key; a new key is bound to ``preferred``.

        :raises StoreError: the store did not answer
        """
        binding_key = PREFIX + hashlib.sha256(f"{team}\n{key}".encode()).hexdigest()[:32]
        stored = await self._store.get(binding_key)
        if not stored.value:
            lease = await self._store.grant_lease(BINDING_TTL)
            try:
                await self._store.put(
                    binding_key, preferred.encode(), if_version=Version(0), lease=lease
                )
                return preferred
            except VersionConflictError:
                await self._revoke(lease)
                stored = await self._store.get(binding_key)
            except StoreError:
                # This write or that of another entry may have taken effect.
                stored = await self._store.get(binding_key)
        if not stored.value:
            raise StoreError(f"the cell binding {binding_key} could not be written")
        return CellId(stored.value.decode())

    async def _revoke(self, lease: LeaseId) -> None:
        try:
            await self._store.revoke_lease(lease)
        except StoreError:
            return  # an unused lease expires by itself
