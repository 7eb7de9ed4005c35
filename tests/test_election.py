"""Election with failures of the store, pauses and planned stops."""

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
    """An entry that takes part in the election."""

    def __init__(self, name: str, store: FakeStore, clock: ManualClock) -> None:
        self.epoch: Epoch | None = None
        self.losses = 0
        self.load_s = 0.0
        self.fail_loads = 0
        self._clock = clock
        self.election = Election(
            store,
            clock,
            cell=CellId("north"),
            entry=EntryId(name),
            on_elected=self._begin,
            on_lost=self._end,
            jitter=lambda: 0.5,
        )

    async def _begin(self, epoch: Epoch) -> None:
        if self.fail_loads:
            self.fail_loads -= 1
            raise RuntimeError("load failed")
        if self.load_s:
            await self._clock.sleep(timedelta(seconds=self.load_s))
        self.epoch = epoch

    async def _end(self) -> None:
        self.epoch = None
        self.losses += 1


class Race:
    """Two candidates on one store, driven by the steps of a scenario."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.store.on_write = self._watch
        self.by_name = {name: Candidate(name, self.store, self.clock) for name in "ab"}
        self._tasks: list[asyncio.Task[None]] = []

    def _watch(self, key: str, value: bytes) -> None:
        for candidate in self.by_name.values() if key == LEADER else ():
            candidate.election.note_leader(decode(value, Leader))

    def start(self, name: str) -> None:
        """Let a candidate run."""
        self._tasks.append(self.loop.create_task(self.by_name[name].election.run()))
        self.advance(0)

    def advance(self, seconds: float) -> None:
        """Move time on."""
        self.loop.run_until_complete(self.clock.advance(seconds))

    def leaders(self) -> dict[str, Epoch]:
        """Return the epochs of those that believe to lead."""
        return {n: c.epoch for n, c in self.by_name.items() if c.epoch is not None}

    def close(self) -> None:
        """Cancel what runs."""
        for task in self._tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*self._tasks, return_exceptions=True))
        self.loop.close()


@pytest.fixture
def race() -> Iterator[Race]:
    race = Race()
    yield race
    race.close()


@given("entries a and b of one cell")
def entries(race: Race) -> None:
    assert race.leaders() == {}


@when(parsers.parse("a campaigns and {failure}"))
def campaign(race: Race, failure: str) -> None:
    store = race.store
    key = LOCK if "lock" in failure else LEADER
    if "lost" in failure or "check" in failure:
        store.lose = lambda written: written == key
    if "check" in failure:
        store.fail = lambda operation, read: (
            operation == "get" and read == key and key in store.writes
        )
    if "loaded" in failure:
        race.by_name["a"].fail_loads = 1
    race.start("a")
    store.lose, store.fail = (lambda _: False), (lambda *_: False)
    race.start("b")


@when(parsers.parse("a needs {seconds:d} seconds to load its records"))
def slow_load(race: Race, seconds: int) -> None:
    race.by_name["a"].load_s = seconds
    race.start("a")
    race.start("b")
    race.advance(seconds + 1)


@when(parsers.parse("the store is down for {seconds:d} seconds"))
def outage(race: Race, seconds: int) -> None:
    race.store.down = True
    race.advance(seconds)


@when(parsers.parse("the store is back for {seconds:d} seconds"))
def end_outage(race: Race, seconds: int) -> None:
    race.store.down = False
    race.advance(seconds)


@when(parsers.parse("a is paused for {seconds:d} seconds"))
def pause(race: Race, seconds: int) -> None:
    race.clock.jump(seconds)


@when("a resigns")
def resign(race: Race) -> None:
    race.loop.run_until_complete(race.by_name["a"].election.resign())


@when(parsers.parse("a learns of epoch {epoch:d}"))
def learn(race: Race, epoch: int) -> None:
    leader = Leader(epoch=Epoch(epoch), holder=EntryId("c"), nonce=Nonce("n"))
    race.by_name["a"].election.note_leader(leader)
    race.advance(0)


@then(parsers.parse("{name:w} leads at epoch {epoch:d} within {seconds:d} seconds"))
def check_leader(race: Race, name: str, epoch: int, seconds: int) -> None:
    race.advance(seconds)
    expected = [name] if name in race.by_name else list(race.by_name)
    assert list(race.leaders().values()) == [epoch]
    assert set(race.leaders()) <= set(expected)


@then(parsers.parse("one entry leads at epoch {epoch:d}"))
def check_one(race: Race, epoch: int) -> None:
    assert list(race.leaders().values()) == [epoch]


@then(parsers.parse("one entry leads at epoch {epoch:d} within {seconds:d} seconds"))
def check_one_within(race: Race, epoch: int, seconds: int) -> None:
    race.advance(seconds)
    check_one(race, epoch)


@then("no other entry leads")
def check_alone(race: Race) -> None:
    assert len(race.leaders()) == 1


@then("a has led through the outage")
def check_held(race: Race) -> None:
    assert race.leaders() == {"a": 1}
    assert race.by_name["a"].losses == 0


@then("a leads at epoch 1 and b has not campaigned")
def check_slow_load(race: Race) -> None:
    assert race.leaders() == {"a": 1}
    assert race.store.writes == [LOCK, LEADER]


@then("a refuses to answer before any of its timers ran")
def check_unconfirmed(race: Race) -> None:
    assert race.leaders() == {"a": 1}
    assert race.loop.run_until_complete(race.by_name["a"].election.confirm()) is False


@then("a leads no more")
def check_deposed(race: Race) -> None:
    assert race.by_name["a"].losses == 1
    assert race.leaders() == {}
