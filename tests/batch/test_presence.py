"""Presence of an agent under lost and late responses of the store."""

import threading

import pytest
from tests.batch.fakes import ManualClock, MemoryStore

from chicorycrank.batch.keys import presence_key, resumption_key
from chicorycrank.batch.leases import PRESENCE_RESUME_DELAY_S
from chicorycrank.batch.presence import Presence
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.transactions import Conflict, Lease, StoreUnavailableError

WORKER = TargetId("w")
KEY = presence_key(WORKER)


def make_presence(store: MemoryStore) -> Presence:
    return Presence(store, WORKER, ManualClock(), threading.Event(), lambda: None)


def test_a_late_write_does_not_move_the_presence_to_an_old_lease() -> None:
    """Guards against a presence that expires with an old lease although a new one is renewed."""
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


@pytest.mark.parametrize(("has_expired", "waits"), [(False, False), (True, True)])
def test_only_a_presence_that_had_expired_waits_for_the_leader(
    has_expired: bool, waits: bool
) -> None:
    """Guards against a restarted agent that lets the lease of its running tasks expire."""
    store = MemoryStore()
    make_presence(store).renew()
    if has_expired:
        store.expire_lease(Lease(1))
    successor = make_presence(store)
    successor.renew()
    assert (successor.resumed_at > 0) is waits


def test_a_presence_is_created_again_after_a_lost_response() -> None:
    """Guards against a presence under a lease that the agent does not renew."""
    store = MemoryStore()
    presence = make_presence(store)
    store.fault = lambda operation: "lose" if operation == "commit" else ""
    with pytest.raises(StoreUnavailableError):
        presence.renew()
    store.fault = lambda operation: ""
    presence.renew()
    store.expire_lease(Lease(1))
    assert KEY in store.items


def test_the_store_shows_that_a_presence_was_there_in_between() -> None:
    """Guards against work that is reassigned as its agent was back without being noticed."""
    store = MemoryStore()
    presence = make_presence(store)
    presence.renew()
    first = store.items[resumption_key(WORKER)].revision
    presence.renew()
    assert store.items[resumption_key(WORKER)].revision == first
    store.expire_lease(Lease(1))
    presence.renew()
    store.expire_lease(Lease(2))
    assert KEY not in store.items
    assert store.items[resumption_key(WORKER)].revision > first


@pytest.mark.parametrize("fault", ["lose", "no_response"])
def test_a_presence_that_was_created_without_an_answer_waits_for_the_leader(fault: str) -> None:
    """Guards against an agent that starts runs of an order that the leader has replaced."""
    store, clock = MemoryStore(), ManualClock()
    presence = Presence(store, WORKER, clock, threading.Event(), lambda: None)
    presence.renew()
    store.expire_lease(Lease(1))
    clock.seconds += 30.0
    store.fault = lambda operation: fault if operation == "commit" else ""
    with pytest.raises(StoreUnavailableError):
        presence.renew()
    store.fault = lambda operation: ""
    presence.renew()
    assert presence.resumed_at == clock.seconds + PRESENCE_RESUME_DELAY_S
