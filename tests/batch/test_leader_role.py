"""Leader role under lost and late responses of the store."""

import pytest
from tests.batch.fakes import MemoryStore

from chicorycrank.batch.keys import LAST_WRITE_KEY, LEADER_KEY, WATCHED_PREFIX
from chicorycrank.batch.role import LeaderRole, RoleLostError
from chicorycrank.model.ids import EntryId
from chicorycrank.ports.transactions import (
    Committed,
    Conflict,
    Lease,
    StoreUnavailableError,
    Write,
)


def set_faults(store: MemoryStore, *names: str) -> None:
    remaining_faults = list(names)
    store.fault = lambda operation: (
        remaining_faults.pop(0) if operation == "commit" and remaining_faults else ""
    )


def acquire_role(store: MemoryStore, name: str = "one") -> LeaderRole:
    role = LeaderRole(store, EntryId(name))
    assert role.acquire()
    return role


def test_only_one_entry_acquires_the_role() -> None:
    """Guards against two leaders at the same time."""
    store = MemoryStore()
    acquire_role(store)
    assert not LeaderRole(store, EntryId("two")).acquire()


@pytest.mark.parametrize("names", [("lose",), ("no_response",), ("lose", "no_response", "lose")])
def test_a_write_without_an_answer_is_applied_once(names: tuple[str, ...]) -> None:
    """Guards against a leader that gives up, or writes twice, after a lost response."""
    store = MemoryStore()
    role = acquire_role(store)
    set_faults(store, *names)
    for _ in names:
        with pytest.raises(StoreUnavailableError):
            role.write({"key": b"1"}, ())
    role.write({"key": b"1"}, ())
    assert len([write for write in store.writes if "key" in write.values]) == 1
    role.write({"key": b"2"}, ())
    assert store.items["key"].value == b"2"


def test_a_late_write_changes_nothing() -> None:
    """Guards against an old value that the store applies after a newer one."""
    store = MemoryStore()
    role = acquire_role(store)
    role.write({"key": b"old"}, ())
    late_write = store.writes[-1]
    role.write({"key": b"new"}, ())
    assert isinstance(store.apply(late_write), Conflict)
    assert store.items["key"].value == b"new"


def test_a_leader_whose_lease_has_expired_writes_nothing() -> None:
    """Guards against a suspended leader that continues to write beside its successor."""
    store = MemoryStore()
    role = acquire_role(store)
    for lease in list(store.keys_by_lease):
        store.expire_lease(lease)  # type: ignore[arg-type]
    successor = acquire_role(store, "two")
    with pytest.raises(RoleLostError):
        role.write({"key": b"1"}, ())
    successor.write({"key": b"2"}, ())
    assert store.items["key"].value == b"2"
    assert isinstance(store.apply(store.writes[-1]), Conflict | Committed)
    assert LEADER_KEY in store.items


def test_an_entry_that_was_killed_reacquires_its_role() -> None:
    """Guards against a fleet without a leader until the lease of a killed process expires."""
    store = MemoryStore()
    killed = acquire_role(store)
    killed.write({"key": b"1"}, ())
    restarted = LeaderRole(store, EntryId("one"))
    assert restarted.acquire(store.items[LEADER_KEY].revision)
    restarted.write({"key": b"2"}, ())
    with pytest.raises(RoleLostError):
        killed.write({"key": b"3"}, ())
    store.expire_lease(Lease(1))  # lease of the killed process
    restarted.write({"key": b"4"}, ())
    assert store.items["key"].value == b"4"


def test_a_record_that_has_changed_is_not_replaced() -> None:
    """Guards against two leaders if the record changed after the entry last read it."""
    store = MemoryStore()
    acquire_role(store)
    known_revision = store.items[LEADER_KEY].revision
    leader = LeaderRole(store, EntryId("one"))
    assert leader.acquire(known_revision)
    leader.write({"key": b"1"}, ())
    assert not LeaderRole(store, EntryId("one")).acquire(known_revision)
    leader.write({"key": b"2"}, ())


def test_a_write_does_not_change_the_record_that_all_entries_watch() -> None:
    """Guards against a watch answer at each entry for each write of the leader."""
    store = MemoryStore()
    role = acquire_role(store)
    revision = store.items[LEADER_KEY].revision
    role.write({"key": b"1"}, ())
    assert store.items[LEADER_KEY].revision == revision
    changed = [item.key for item in store.history if item.revision > revision]
    assert [key for key in changed if key.startswith(WATCHED_PREFIX)] == []


@pytest.mark.parametrize("replaces", [True, False], ids=["restarted", "other"])
def test_a_late_write_of_an_earlier_term_changes_nothing(replaces: bool) -> None:
    """Guards against a write of a killed leader that the store applies after a takeover."""
    store = MemoryStore()
    killed = acquire_role(store)
    killed.write({"key": b"1"}, ())
    set_faults(store, "no_response")
    with pytest.raises(StoreUnavailableError):
        killed.write({"key": b"late"}, ())
    late_write = Write(
        expected={
            LEADER_KEY: store.items[LEADER_KEY].revision,
            LAST_WRITE_KEY: store.items[LAST_WRITE_KEY].revision,
        },
        values={"key": b"late"},
    )
    if replaces:
        successor = LeaderRole(store, EntryId("one"))
        assert successor.acquire(store.items[LEADER_KEY].revision)
    else:
        store.expire_lease(Lease(1))
        successor = acquire_role(store, "two")
    successor.write({"key": b"2"}, ())
    assert isinstance(store.apply(late_write), Conflict)
    assert store.items["key"].value == b"2"
