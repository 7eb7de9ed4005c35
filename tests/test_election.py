"""Election of a leader with failures of the store, suspended entries and planned stops."""

import asyncio
from collections.abc import Iterator
from datetime import timedelta

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.scheduler_fakes import FakeStore, ManualClock

from chicorycrank.adapters.codec import decode
from chicorycrank.entry.election import Election, Leader
from chicorycrank.model.ids import CellId, EntryId, Epoch, Nonce

scenarios("features/election.feature")

LOCK, LEADER = "locks/north", "shared/leaders/north"


class Candidate:
    """Entry that takes part in the election.

    :ivar epoch: epoch of the current term, if the entry is the leader
    :ivar ended_terms: number of calls of ``on_lost``
    :ivar load_s: time that the entry needs to load its records after its election
    :ivar failing_loads: number of further loads that fail
    """

    def __init__(self, name: str, store: FakeStore, clock: ManualClock) -> None:
        self.epoch: Epoch | None = None
        self.ended_terms = 0
        self.load_s = 0.0
        self.failing_loads = 0
        self._clock = clock
        self.election = Election(
            store,
            clock,
            cell=CellId("north"),
            entry=EntryId(name),
            on_elected=self._acquire,
            on_lost=self._release,
            jitter=lambda: 0.5,
        )

    async def _acquire(self, epoch: Epoch) -> None:
        if self.failing_loads:
            self.failing_loads -= 1
            raise RuntimeError("load failed")
        if self.load_s:
            await self._clock.sleep(timedelta(seconds=self.load_s))
        self.epoch = epoch

    async def _release(self) -> None:
        self.epoch = None
        self.ended_terms += 1


class ElectionHarness:
    """Two candidates with one store, driven by the steps of a scenario."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.store.on_write = self._watch
        self.candidate_by_name = {name: Candidate(name, self.store, self.clock) for name in "ab"}
        self._tasks: list[asyncio.Task[None]] = []

    def _watch(self, key: str, value: bytes) -> None:
        for candidate in self.candidate_by_name.values() if key == LEADER else ():
            candidate.election.handle_leader_record(decode(value, Leader))

    def start(self, name: str) -> None:
        """Start the election of a candidate."""
        self._tasks.append(self.loop.create_task(self.candidate_by_name[name].election.run()))
        self.advance(0)

    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.loop.run_until_complete(self.clock.advance(seconds))

    def leaders(self) -> dict[str, Epoch]:
        """Return the epochs of the candidates that act as the leader."""
        return {n: c.epoch for n, c in self.candidate_by_name.items() if c.epoch is not None}

    def close(self) -> None:
        """Cancel all tasks and close the event loop."""
        for task in self._tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*self._tasks, return_exceptions=True))
        self.loop.close()


@pytest.fixture
def harness() -> Iterator[ElectionHarness]:
    harness = ElectionHarness()
    yield harness
    harness.close()


@given("entries a and b of one cell")
def entries(harness: ElectionHarness) -> None:
    assert harness.leaders() == {}


@when(parsers.parse("a campaigns and {failure}"))
def campaign(harness: ElectionHarness, failure: str) -> None:
    store = harness.store
    key = LOCK if "lock" in failure else LEADER
    if "lost" in failure or "check" in failure:
        store.loses_reply = lambda written: written == key
    if "check" in failure:
        store.fails_call = lambda operation, read: (
            operation == "get" and read == key and key in store.writes
        )
    if "loaded" in failure:
        harness.candidate_by_name["a"].failing_loads = 1
    harness.start("a")
    store.loses_reply, store.fails_call = (lambda _: False), (lambda *_: False)
    harness.start("b")


@when(parsers.parse("a needs {seconds:d} seconds to load its records"))
def load_slowly(harness: ElectionHarness, seconds: int) -> None:
    harness.candidate_by_name["a"].load_s = seconds
    harness.start("a")
    harness.start("b")
    harness.advance(seconds + 1)


@when(parsers.parse("the store is down for {seconds:d} seconds"))
def stop_store(harness: ElectionHarness, seconds: int) -> None:
    harness.store.is_down = True
    harness.advance(seconds)


@when(parsers.parse("the store is back for {seconds:d} seconds"))
def restart_store(harness: ElectionHarness, seconds: int) -> None:
    harness.store.is_down = False
    harness.advance(seconds)


@when(parsers.parse("a is suspended for {seconds:d} seconds"))
def suspend(harness: ElectionHarness, seconds: int) -> None:
    harness.clock.jump(seconds)


@when("a resigns")
def resign(harness: ElectionHarness) -> None:
    harness.loop.run_until_complete(harness.candidate_by_name["a"].election.resign())


@when(parsers.parse("a receives a leader record with epoch {epoch:d}"))
def receive_leader_record(harness: ElectionHarness, epoch: int) -> None:
    leader = Leader(epoch=Epoch(epoch), holder=EntryId("c"), nonce=Nonce("n"))
    harness.candidate_by_name["a"].election.handle_leader_record(leader)
    harness.advance(0)


@then(parsers.parse("{name:w} leads at epoch {epoch:d} within {seconds:d} seconds"))
def check_leader(harness: ElectionHarness, name: str, epoch: int, seconds: int) -> None:
    harness.advance(seconds)
    expected = [name] if name in harness.candidate_by_name else list(harness.candidate_by_name)
    assert list(harness.leaders().values()) == [epoch]
    assert set(harness.leaders()) <= set(expected)


@then(parsers.parse("one entry leads at epoch {epoch:d}"))
def check_any_leader(harness: ElectionHarness, epoch: int) -> None:
    assert list(harness.leaders().values()) == [epoch]


@then(parsers.parse("one entry leads at epoch {epoch:d} within {seconds:d} seconds"))
def check_any_leader_within(harness: ElectionHarness, epoch: int, seconds: int) -> None:
    harness.advance(seconds)
    check_any_leader(harness, epoch)


@then("no other entry leads")
def check_single_leader(harness: ElectionHarness) -> None:
    assert len(harness.leaders()) == 1


@then("a has led through the outage")
def check_kept_role(harness: ElectionHarness) -> None:
    assert harness.leaders() == {"a": 1}
    assert harness.candidate_by_name["a"].ended_terms == 0


@then("a leads at epoch 1 and b has not campaigned")
def check_slow_load(harness: ElectionHarness) -> None:
    assert harness.leaders() == {"a": 1}
    assert harness.store.writes == [LOCK, LEADER]


@then("a refuses to answer before any of its timers has run")
def check_unconfirmed(harness: ElectionHarness) -> None:
    assert harness.leaders() == {"a": 1}
    assert (
        harness.loop.run_until_complete(
            harness.candidate_by_name["a"].election.confirm_leadership()
        )
        is False
    )


@then("a is no longer the leader")
def check_role_released(harness: ElectionHarness) -> None:
    assert harness.candidate_by_name["a"].ended_terms == 1
    assert harness.leaders() == {}
