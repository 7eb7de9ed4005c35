"""The leader's record, and what a lost or late answer of the store does to it."""

import pytest
from tests.batch.fakes import MemoryStore

from chicorycrank.batch.keys import LEADER_KEY
from chicorycrank.batch.role import Role, RoleLostError
from chicorycrank.model.ids import EntryId
from chicorycrank.ports.transactions import Committed, Conflict, Lease, StoreUnavailableError


def set_faults(store: MemoryStore, *names: str) -> None:
    left = list(names)
    store.fault = lambda operation: left.pop(0) if operation == "commit" and left else ""


def acquire_role(store: MemoryStore, name: str = "one") -> Role:
    role = Role(store, EntryId(name))
    assert role.acquire()
    return role


def test_only_one_entry_takes_the_role() -> None:
    """Guards against two leaders."""
    store = MemoryStore()
    acquire_role(store)
    assert not Role(store, EntryId("two")).acquire()


@pytest.mark.parametrize("names", [("lose",), ("silence",), ("lose", "silence", "lose")])
def test_a_write_without_an_answer_is_applied_once(names: tuple[str, ...]) -> None:
    """Guards against a leader that gives up, or writes twice, after an answer is lost."""
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
    """Guards against an old value that the store writes after a newer one."""
    store = MemoryStore()
    role = acquire_role(store)
    role.write({"key": b"old"}, ())
    late_write = store.writes[-1]
    role.write({"key": b"new"}, ())
    assert isinstance(store.apply(late_write), Conflict)
    assert store.items["key"].value == b"new"


def test_a_leader_whose_lease_has_ended_writes_nothing() -> None:
    """Guards against a leader that was frozen and goes on beside its successor."""
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


def test_an_entry_that_was_killed_takes_its_role_back() -> None:
    """Guards against a fleet without a leader until the lease of a dead process has ended."""
    store = MemoryStore()
    killed = acquire_role(store)
    killed.write({"key": b"1"}, ())
    restarted = Role(store, EntryId("one"))
    assert restarted.acquire(store.items[LEADER_KEY].revision)
    restarted.write({"key": b"2"}, ())
    with pytest.raises(RoleLostError):
        killed.write({"key": b"3"}, ())
    store.expire_lease(Lease(1))  # of the killed process
    restarted.write({"key": b"4"}, ())
    assert store.items["key"].value == b"4"


def test_a_record_that_has_changed_is_not_replaced() -> None:
    """Guards against two leaders after a write that the entry had not heard of."""
    store = MemoryStore()
    leader = acquire_role(store)
    known_revision = store.items[LEADER_KEY].revision
    leader.write({"key": b"1"}, ())
    assert not Role(store, EntryId("one")).acquire(known_revision)
    leader.write({"key": b"2"}, ())
