"""The leader's record in the store, which decides who may write."""

import secrets
from collections.abc import Mapping, Sequence

import msgspec

from chicorycrank.batch.keys import LEADER_KEY, LeaderRecord, decode, encode
from chicorycrank.model.ids import EntryId
from chicorycrank.ports.transactions import (
    ABSENT,
    Committed,
    Conflict,
    Lease,
    LeaseEndedError,
    Revision,
    TransactionalStore,
    Write,
)

# A leader that stops is replaced after this time; below the store's answer time times ten under
# a slow store, the role would move without need.
ROLE_LEASE_S = 2.0
ROLE_RENEWAL_INTERVAL_S = 0.5
COMMIT_TIMEOUT_S = 0.8
NO_CONDITIONS: Mapping[str, Revision] = {}


class RoleLostError(Exception):
    """Another entry has the role, or it is free."""


class Role:
    """The leader's record in the store, which makes every write of the leader conditional.

    Each write replaces the record, so writes of a term take effect in their order and at most
    once, also those that the store carries out late.
    """

    def __init__(self, store: TransactionalStore, entry: EntryId) -> None:
        self._store = store
        self._lease = Lease(0)
        self._record = LeaderRecord(entry=entry, term="")
        self._revision = ABSENT

    @property
    def entry(self) -> EntryId:
        """The entry that competes for the role."""
        return self._record.entry

    def acquire(self, replaced_revision: Revision = ABSENT) -> bool:
        """Take the role if it is free, or if its record is still the one to replace.

        :param replaced: revision of the record that an earlier process of this entry has left
        :raises StoreUnavailableError: the store did not answer
        """
        self._lease = self._store.grant(ROLE_LEASE_S)
        entry = self._record.entry
        self._record = LeaderRecord(entry=entry, term=secrets.token_hex(4))
        self._revision = replaced_revision
        return self._commit({}, ()) is not None

    def renew(self) -> bool:
        """Renew the lease of the role; false if it has ended."""
        return self._store.renew(self._lease)

    def release(self) -> None:
        """Give the role up at once."""
        self._store.revoke(self._lease)

    def write(
        self,
        values: dict[str, bytes],
        deletes: Sequence[str],
        expected: Mapping[str, Revision] = NO_CONDITIONS,
    ) -> bool:
        """Apply a write of the leader; false if an expected revision has passed.

        :param expected: revisions of keys of other writers on which the write depends
        :raises DeposedError: another entry has the role, or it is free
        :raises StoreUnavailableError: the store did not answer; call again with the same values
        """
        before = self._revision
        revision = self._commit(values, deletes, expected)
        if revision is None:
            raise RoleLostError("the leader's record has changed")
        return revision != before

    def _commit(
        self,
        values: dict[str, bytes],
        deletes: Sequence[str],
        expected: Mapping[str, Revision] = NO_CONDITIONS,
    ) -> Revision | None:
        """Return the revision of the leader's record, or None if another one is in its place."""
        record = msgspec.structs.replace(self._record, writes=self._record.writes + 1)
        write = Write(
            expected={LEADER_KEY: self._revision, **expected},
            values={LEADER_KEY: encode(record), **values},
            leases={LEADER_KEY: self._lease},
            deletes=deletes,
        )
        try:
            answer = self._store.commit(write, timeout_s=COMMIT_TIMEOUT_S)
        except LeaseEndedError:
            return None
        if expected and self._failed_on_other_key(answer):
            return self._revision
        revision = _revision_of(answer, record)
        if revision is not None:
            self._record, self._revision = record, revision
        return revision

    def _failed_on_other_key(self, answer: Committed | Conflict) -> bool:
        """Whether a write failed by a condition other than the leader's record."""
        item = answer.items.get(LEADER_KEY) if isinstance(answer, Conflict) else None
        return item is not None and item.revision == self._revision


def _revision_of(answer: Committed | Conflict, record: LeaderRecord) -> Revision | None:
    """Return the revision of a write that was applied now or by an earlier attempt."""
    if isinstance(answer, Committed):
        return answer.revision
    item = answer.items.get(LEADER_KEY)
    if item is None or not item.value:
        return None
    try:
        found = decode(item.value, LeaderRecord)
    except msgspec.DecodeError:
        return None
    return item.revision if found == record else None
