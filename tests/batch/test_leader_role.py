"""Leader role under lost and late responses of the store."""

import pytest
from tests.batch.fakes import MemoryStore

from chicorycrank.batch.keys import LEADER_KEY
from chicorycrank.batch.role import LeaderRole, RoleLostError
from chicorycrank.model.ids import EntryId
from chicorycrank.ports.transactions import (
    MISSING,
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
    leader = acquire_role(store)
    known_revision = store.items[LEADER_KEY].revision
    leader.write({"key": b"1"}, ())
    assert not LeaderRole(store, EntryId("one")).acquire(known_revision)
    leader.write({"key": b"2"}, ())


def test_a_refused_write_that_is_applied_late_is_not_taken_for_the_next_one() -> None:
    """Guards against a lost write if the conditions of an unanswered one hold again."""
    store = MemoryStore()
    role = acquire_role(store)
    late_writes: list[Write] = []
    commit = store.commit

    def delay(write: Write, *, timeout_s: float) -> Committed | Conflict:
        late_writes.append(write)
        raise StoreUnavailableError("no response", has_no_effect=False)

    store.commit = delay  # type: ignore[method-assign]
    with pytest.raises(StoreUnavailableError):
        role.write({"key": b"1"}, (), {"other": MISSING})
    store.commit = commit  # type: ignore[method-assign]
    store.apply(Write(values={"other": b"1"}))
    assert not role.write({"key": b"1"}, (), {"other": MISSING})
    assert list(role.conflicting_items) == ["other"]
    store.apply(Write(deletes=["other"]))
    store.apply(late_writes[0])
    with pytest.raises(RoleLostError):
        role.write({"key": b"2"}, ())
