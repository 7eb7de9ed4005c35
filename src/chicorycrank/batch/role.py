"""Leader role, whose record in the store decides which entry may write."""

from collections.abc import Mapping, Sequence

import msgspec

from chicorycrank.batch.keys import LEADER_KEY, LeaderRecord, decode, encode
from chicorycrank.batch.threads import make_token
from chicorycrank.model.ids import EntryId
from chicorycrank.ports.transactions import (
    MISSING,
    Committed,
    Conflict,
    Item,
    Lease,
    LeaseEndedError,
    Revision,
    TransactionalStore,
    Write,
)

# A leader that stops is replaced after this time. With less than ten times the response time of a
# slow store, the role would move without need.
ROLE_LEASE_S = 2.0
ROLE_RENEWAL_INTERVAL_S = 0.5
COMMIT_TIMEOUT_S = 0.8
NO_CONDITIONS: Mapping[str, Revision] = {}


class RoleLostError(Exception):
    """The entry does not hold the leader role any more."""


class LeaderRole:
    """Leader role of an entry, which makes each write conditional on the leader record.

    Each write replaces the record, so the writes of a term take effect in order and at most once,
    including those that the store applies late.

    :ivar conflicting_items: other writers' items that the last write depended on and that were
        there when a condition did not hold
    """

    def __init__(self, store: TransactionalStore, entry: EntryId) -> None:
        self._store = store
        self._lease = Lease(0)
        self._record = LeaderRecord(entry=entry, term="")
        self._revision = MISSING
        self.conflicting_items: Mapping[str, Item] = {}

    @property
    def entry(self) -> EntryId:
        """Entry that competes for the role."""
        return self._record.entry

    @property
    def revision(self) -> Revision:
        """Revision of the last write of this role."""
        return self._revision

    def acquire(self, replaced_revision: Revision = MISSING) -> bool:
        """Acquire the role if it is free or if its record is still at the given revision.

        :param replaced_revision: revision of the record that an earlier process of this entry left
        :raises StoreUnavailableError: the store did not respond
        """
        self._lease = self._store.grant(ROLE_LEASE_S)
        entry = self._record.entry
        self._record = LeaderRecord(entry=entry, term=make_token(4))
        self._revision = replaced_revision
        return self._commit({}, ()) is not None

    def renew(self) -> bool:
        """Renew the lease of the role; return false if it has expired."""
        return self._store.renew(self._lease)

    def release(self) -> None:
        """Release the role by revoking its lease."""
        self._store.revoke(self._lease)

    def write(
        self,
        values: Mapping[str, bytes],
        deletes: Sequence[str],
        expected: Mapping[str, Revision] = NO_CONDITIONS,
    ) -> bool:
        """Apply a write of the leader; return false if a key is not at its expected revision.

        :param expected: revisions of other writers' keys on which the write depends
        :raises RoleLostError: the entry does not hold the role any more
        :raises StoreUnavailableError: the store did not respond; call again with the same values
        """
        before = self._revision
        revision = self._commit(values, deletes, expected)
        if revision is None:
            raise RoleLostError("another writer replaced the leader record")
        return revision != before

    def _commit(
        self,
        values: Mapping[str, bytes],
        deletes: Sequence[str],
        expected: Mapping[str, Revision] = NO_CONDITIONS,
    ) -> Revision | None:
        """Return the revision of the leader record, or None if it is not the one of this role."""
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
        if expected and isinstance(answer, Conflict) and self._holds_role(answer):
            self.conflicting_items = {
                key: item for key, item in answer.items.items() if key != LEADER_KEY
            }
            # An attempt without an answer may still be applied if its conditions hold again, so
            # the number of the write is not used for another one.
            self._record = record
            return self._revision
        revision = _revision_of(answer, record)
        if revision is not None:
            self._record, self._revision = record, revision
        return revision

    def _holds_role(self, conflict: Conflict) -> bool:
        """Return whether the leader record was as expected, so that another condition failed."""
        item = conflict.items.get(LEADER_KEY)
        return item is not None and item.revision == self._revision


def _revision_of(answer: Committed | Conflict, record: LeaderRecord) -> Revision | None:
    """Return the revision of a write applied now or by an earlier attempt, otherwise None."""
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
