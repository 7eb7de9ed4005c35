"""The local copy of a prefix under losses of history and of calls."""

import pytest
from tests.batch.fakes import ManualClock, MemoryStore

from chicorycrank.batch.replica import Replica
from chicorycrank.ports.transactions import (
    Changes,
    Item,
    Revision,
    StoreUnavailableError,
    Write,
)


class Copy:
    """A replica and what it has passed on."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.values: dict[str, bytes] = {}
        self.replica = Replica(self.store, "k", self.apply, self.clock, wait_s=1.0)

    def apply(self, items: object) -> None:
        """Take over changes."""
        assert isinstance(items, list)
        for item in items:
            if item.value is None:
                self.values.pop(item.key, None)
            else:
                self.values[item.key] = item.value

    def put(self, **values: bytes) -> None:
        """Write keys."""
        self.store.apply(Write(values=values))

    def delete(self, *keys: str) -> None:
        """Delete keys."""
        self.store.apply(Write(deletes=keys))

    def truth(self) -> dict[str, bytes]:
        """Return what the store has."""
        return {key: item.value or b"" for key, item in self.store.items.items() if key[0] == "k"}


@pytest.mark.parametrize("forget", [False, True])
def test_changes_and_deletions_arrive_also_after_history_is_lost(forget: bool) -> None:
    """Guards against a key that stays known after it was deleted in a gap."""
    copy = Copy()
    copy.put(k1=b"1", k2=b"2", other=b"x")
    copy.replica.step()
    assert copy.values == copy.truth()
    copy.put(k1=b"3", k4=b"4")
    copy.delete("k2")
    if forget:
        copy.store.forget_history()
    for _ in range(3):
        copy.replica.step()
    assert copy.values == copy.truth() == {"k1": b"3", "k4": b"4"}


def test_an_older_revision_is_not_passed_on() -> None:
    """Guards against a value that goes back when a list and a watch overlap."""
    copy = Copy()
    copy.put(k1=b"1")
    copy.replica.step()
    copy.put(k1=b"2")
    copy.replica.step()
    copy.store.history.append(Item(key="k1", value=b"1", revision=Revision(2)))
    copy.replica.step()
    assert copy.values == {"k1": b"2"}


def test_after_a_failure_the_store_is_asked_without_waiting() -> None:
    """Guards against a silent call that outlasts the outage and delays all that follows it."""
    copy = Copy()
    copy.replica.step()
    waits: list[float] = []
    watch = copy.store.watch

    def record(prefix: str, after: Revision, wait_s: float) -> Changes:
        waits.append(wait_s)
        return watch(prefix, after, wait_s)

    copy.store.watch = record  # type: ignore[method-assign]
    copy.store.fault = lambda operation: "silence"
    for _ in range(2):
        with pytest.raises(StoreUnavailableError):
            copy.replica.attempt()
    copy.store.fault = lambda operation: ""
    for _ in range(2):
        copy.replica.attempt()
    assert waits == [1.0, 0.0, 0.0, 1.0]


def test_an_outage_confirms_nothing() -> None:
    """Guards against a key that holds although nobody knows whether it still does."""
    copy = Copy()
    copy.replica.step()
    confirmed = copy.replica.confirmed_at
    copy.clock.seconds += 10
    copy.store.fault = lambda operation: "silence"
    with pytest.raises(StoreUnavailableError):
        copy.replica.step()
    assert copy.replica.confirmed_at == confirmed
    copy.store.fault = lambda operation: ""
    copy.replica.step()
    assert copy.replica.confirmed_at >= confirmed + 10
