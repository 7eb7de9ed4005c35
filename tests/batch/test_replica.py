"""Replica of a prefix after lost history and failed calls."""

import pytest
from tests.batch.fakes import ManualClock, MemoryStore

from chicorycrank.batch.replica import REPEATED_WATCH_S, Replica
from chicorycrank.ports.transactions import (
    Changes,
    Item,
    Revision,
    StoreUnavailableError,
    Write,
)


class ReplicaHarness:
    """Replica of the keys that start with "k", and the values that it has passed on."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.values: dict[str, bytes] = {}
        self.replica = Replica(self.store, "k", self.apply, self.clock, wait_s=1.0)

    def apply(self, items: object) -> None:
        """Apply changes."""
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

    def stored_values(self) -> dict[str, bytes]:
        """Return the values in the store."""
        return {key: item.value or b"" for key, item in self.store.items.items() if key[0] == "k"}


@pytest.mark.parametrize("is_history_lost", [False, True])
def test_changes_and_deletions_arrive_also_after_history_is_lost(is_history_lost: bool) -> None:
    """Guards against a key that remains in the replica after a deletion that the watch missed."""
    harness = ReplicaHarness()
    harness.put(k1=b"1", k2=b"2", other=b"x")
    harness.replica.sync()
    assert harness.values == harness.stored_values()
    harness.put(k1=b"3", k4=b"4")
    harness.delete("k2")
    if is_history_lost:
        harness.store.discard_history()
    for _ in range(3):
        harness.replica.sync()
    assert harness.values == harness.stored_values() == {"k1": b"3", "k4": b"4"}


def test_an_older_revision_is_not_passed_on() -> None:
    """Guards against a value that is reverted when a list and a watch overlap."""
    harness = ReplicaHarness()
    harness.put(k1=b"1")
    harness.replica.sync()
    harness.put(k1=b"2")
    harness.replica.sync()
    harness.store.history.append(Item(key="k1", value=b"1", revision=Revision(2)))
    harness.replica.sync()
    assert harness.values == {"k1": b"2"}


def test_after_a_failure_the_watch_does_not_wait() -> None:
    """Guards against an unanswered long poll that outlasts an outage and delays later changes."""
    harness = ReplicaHarness()
    harness.replica.sync()
    waits: list[float] = []
    watch = harness.store.watch

    def record(prefix: str, after: Revision, wait_s: float) -> Changes:
        waits.append(wait_s)
        return watch(prefix, after, wait_s)

    harness.store.watch = record  # type: ignore[method-assign]
    harness.store.fault = lambda operation: "no_response"
    for _ in range(2):
        with pytest.raises(StoreUnavailableError):
            harness.replica.sync_recording_failure()
    harness.store.fault = lambda operation: ""
    for _ in range(2):
        harness.replica.sync_recording_failure()
    assert waits == [1.0, 0.0, 0.0, 1.0]


def test_the_replica_is_not_confirmed_during_an_outage() -> None:
    """Guards against a replica that counts as up to date without a response of the store."""
    harness = ReplicaHarness()
    harness.replica.sync()
    confirmed = harness.replica.confirmed_at
    harness.clock.seconds += 10
    harness.store.fault = lambda operation: "no_response"
    with pytest.raises(StoreUnavailableError):
        harness.replica.sync()
    assert harness.replica.confirmed_at == confirmed
    harness.store.fault = lambda operation: ""
    harness.replica.sync()
    assert harness.replica.confirmed_at >= confirmed + 10


@pytest.mark.parametrize("is_deleted", [False, True])
@pytest.mark.parametrize("is_heard", [False, True])
def test_an_own_call_does_not_replace_what_came_later(is_deleted: bool, is_heard: bool) -> None:
    """Guards against a value of a paused call that replaces a later value or a deletion."""
    harness = ReplicaHarness()
    harness.replica.sync()
    harness.put(k1=b"1")
    old = harness.store.items["k1"]
    if is_deleted:
        harness.delete("k1")
    else:
        harness.put(k1=b"2")
    if is_heard:
        harness.replica.sync()
    harness.replica.apply_own([old])
    assert harness.values == (harness.stored_values() if is_heard else {"k1": b"1"})
    harness.replica.sync()
    assert harness.values == harness.stored_values()


@pytest.mark.parametrize("is_history_lost", [False, True])
def test_what_an_own_call_has_brought_is_deleted_with_its_key(is_history_lost: bool) -> None:
    """Guards against a key that only a call of this process knew and that never leaves."""
    harness = ReplicaHarness()
    harness.replica.sync()
    harness.put(k1=b"1")
    harness.replica.apply_own([harness.store.items["k1"]])
    harness.delete("k1")
    if is_history_lost:
        harness.store.discard_history()
    for _ in range(2):
        harness.replica.sync()
    assert harness.values == {}


def test_an_own_deletion_is_not_undone_by_an_earlier_event() -> None:
    """Guards against a removed job that the watch brings back for a moment."""
    harness = ReplicaHarness()
    harness.replica.sync()
    harness.put(k1=b"1")
    deleted = Item(key="k1", value=None, revision=Revision(harness.store.revision + 1))
    harness.replica.apply_own([deleted])
    harness.replica.sync()
    assert harness.values == {}


def test_changes_that_an_answered_watch_has_left_out_arrive_later() -> None:
    """Guards against a change that is missed for good as a silent watch has named its revision."""
    harness = ReplicaHarness()
    harness.replica.sync()
    watch = harness.store.watch

    def hear_nothing(prefix: str, after: Revision, wait_s: float) -> Changes:
        return Changes(items=[], revision=Revision(harness.store.revision))

    harness.store.watch = hear_nothing  # type: ignore[method-assign]
    harness.put(k1=b"1")
    for _ in range(3):
        harness.clock.seconds += 1
        harness.replica.sync()
    harness.store.watch = watch  # type: ignore[method-assign]
    harness.replica.sync()
    assert harness.values == harness.stored_values()


def test_a_quiet_watch_moves_on() -> None:
    """Guards against a revision that the store no longer keeps, so that all keys are read again."""
    harness = ReplicaHarness()
    harness.replica.sync()
    for _ in range(30):
        harness.store.apply(Write(values={"other": b"1"}))
        harness.clock.seconds += 1
        harness.replica.sync()
    assert harness.replica._last_revision is not None
    assert harness.store.revision - harness.replica._last_revision <= REPEATED_WATCH_S + 1
