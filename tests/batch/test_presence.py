"""An agent's presence under lost and late answers of the store."""

import threading

import pytest
from tests.batch.fakes import ManualClock, MemoryStore

from chicorycrank.batch.presence import Presence
from chicorycrank.ports.transactions import Conflict, Lease, StoreUnavailableError

KEY = "report/present/w"


def make_presence(store: MemoryStore) -> Presence:
    return Presence(store, KEY, ManualClock(), threading.Event())


def test_a_late_write_does_not_move_the_presence_to_a_lease_that_nobody_renews() -> None:
    """Guards against an agent that renews its lease while its presence lapses."""
    store = MemoryStore()
    presence = make_presence(store)
    presence.renew()
    first = store.writes[-1]
    store.expire_lease(Lease(1))
    presence.renew()
    assert store.items[KEY].value == b"1"
    assert isinstance(store.apply(first), Conflict)
    store.expire_lease(Lease(1))
    assert KEY in store.items


@pytest.mark.parametrize(("lapsed", "waits"), [(False, False), (True, True)])
def test_only_a_presence_that_had_lapsed_waits_for_the_leader(lapsed: bool, waits: bool) -> None:
    """Guards against a restarted agent that leaves its tasks without a lease."""
    store = MemoryStore()
    make_presence(store).renew()
    if lapsed:
        store.expire_lease(Lease(1))
    successor = make_presence(store)
    successor.renew()
    assert (successor.resumed_at > 0) is waits


def test_a_presence_without_an_answer_is_created_again() -> None:
    """Guards against a presence whose lease is not known to the agent."""
    store = MemoryStore()
    presence = make_presence(store)
    store.fault = lambda operation: "lose" if operation == "commit" else ""
    with pytest.raises(StoreUnavailableError):
        presence.renew()
    store.fault = lambda operation: ""
    presence.renew()
    store.expire_lease(Lease(1))
    assert KEY in store.items
