"""Takeover, orphans, lost workers and cancellations."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.scheduler_fakes import make_spec
from tests.scheduler_world import World, ask

from chicorycrank.entry import scheduler
from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobState
from chicorycrank.model.messages import CancelReservation, GangOutcome, Refused, Reserve, StartGang
from chicorycrank.policy.decide import decide

scenarios("features/takeover.feature")

J = JobId("north-j")
GANG = (J, 1)

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def do() -> Iterator[Run]:
    loop = asyncio.new_event_loop()
    yield loop.run_until_complete
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@given("a cell of 5 workers and a job of 2 members", target_fixture="world")
def world_with_job(do: Run) -> World:
    async def make() -> World:
        world = World(5)
        await world.elect()
        return world

    return do(make())  # type: ignore[no-any-return]


async def submit(world: World, *, hold: bool = False) -> None:
    """Submit the job; with ``hold`` nothing is written after its acceptance."""
    world.hidden = set(world.agents) if hold else set()
    for name in world.hidden:
        world.lose_worker(name)
    await ask(world, world.leader.scheduler.submit(J, make_spec(members=2)))
    for name in world.hidden:
        world.agents[name].alive = True
    world.hidden = set()


async def prepare(world: World, situation: str) -> None:
    """Bring the job and its record into the situation that the next leader finds."""
    is_unwritten = "as queued" in situation or "reserved" in situation
    await submit(world, hold=is_unwritten)
    if "reserved" in situation:
        for agent in world.agents.values():
            agent.ignored = (StartGang, CancelReservation)
    if is_unwritten:
        world.store.down = True
        world.events.clear()
        await world.advance(3)
    elif "as starting" in situation:
        world.events.clear()
    else:
        await world.advance(3)
        assert world.record(J).state is JobState.RUNNING
    if "gone" in situation:
        world.store.value_by_key = {
            key: value for key, value in world.store.value_by_key.items() if "jobs/" not in key
        }
    if "ended" in situation:
        world.store.down = True
        world.end_gang(GANG, GangOutcome.COMPLETED, report="unreported" not in situation)
    if "cancellation" in situation:
        world.leader.cut = True
        await ask(world, world.leader.scheduler.cancel(J))


async def replace(world: World, *, connected: bool = True) -> None:
    await world.kill_leader()
    world.store.down = False
    for agent in world.agents.values():
        agent.lose_replies = False
        agent.ignored = ()
    await world.elect(connected=connected)


@when(parsers.re("(?P<situation>its .*) and the leader is replaced"))
def replace_leader(do: Run, world: World, situation: str) -> None:
    do(prepare(world, situation))
    do(replace(world))


@when(parsers.re("(?P<situation>its .*) and a (?P<kind>fresh|connected) entry takes the role"))
def replace_by_kind(do: Run, world: World, situation: str, kind: str) -> None:
    do(prepare(world, situation))
    do(replace(world, connected=kind == "connected"))


@when(
    parsers.parse("the workers of its members report {seconds:d} seconds after the others"),
)
def report_late(do: Run, world: World, seconds: int) -> None:
    world.silent = {name for name, agent in world.agents.items() if agent.tasks}
    assert len(world.silent) == 2
    do(world.advance(seconds))
    world.silent = set()


@when("the worker of its head never returns and the other member's is lost after 5 seconds")
def lose_both(do: Run, world: World) -> None:
    head, second = (name for name, agent in world.agents.items() if agent.tasks)
    assert world.agents[head].gangs
    world.silent = {head}
    do(world.advance(5))
    world.lose_worker(second)


@when(parsers.parse("the agents refuse reservations for {seconds:d} seconds"))
def refuse(do: Run, world: World, seconds: int) -> None:
    for agent in world.agents.values():
        agent.ignored = (Reserve,)
    do(submit(world))
    do(world.advance(seconds))


@then(parsers.parse("the job has had {low:d} to {high:d} attempts"))
def check_attempts(world: World, low: int, high: int) -> None:
    assert low <= world.record(J).attempt <= high


@when("the first decision fails")
def fail_decision(do: Run, world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    failures = [RuntimeError("decision failed")]

    def fail_once(*args: Any) -> Any:
        if failures:
            raise failures.pop()
        return decide(*args)

    monkeypatch.setattr(scheduler, "decide", fail_once)
    do(submit(world))
    assert not failures


@when("another job of 4 members is submitted")
def submit_other(do: Run, world: World) -> None:
    do(ask(world, world.leader.scheduler.submit(JobId("north-k"), make_spec(members=4))))


@when(parsers.parse("its gang runs and {loss} lost"))
@when(parsers.parse("its gang runs and {loss} at once"))
def lose(do: Run, world: World, loss: str) -> None:
    do(prepare(world, "running"))
    if "reports" in loss:
        world.end_gang(GANG, GangOutcome.LOST)
        return
    place = world.record(J).placement[0 if "head" in loss else 1]
    world.lose_worker(place.worker)


@when("the agents' replies to the start are lost")
def lose_start_replies(do: Run, world: World) -> None:
    keep = world.start_gang

    def start(*args: Any) -> None:
        keep(*args)
        args[0].lose_replies = True

    world.start_gang = start  # type: ignore[method-assign,assignment]
    do(submit(world))


@when(parsers.parse("the job is {state} and cancelled twice"))
def cancel(do: Run, world: World, state: str) -> None:
    do(submit(world, hold=state == "queued"))
    if state == "running":
        do(world.advance(3))
    for _ in range(2):
        record = do(ask(world, world.leader.scheduler.cancel(J)))
        assert not isinstance(record, Refused)


@then(
    parsers.parse(
        "after {seconds:d} seconds the job is {state} at attempt {attempt:d} of {starts:d} starts"
    )
)
def check_job(do: Run, world: World, seconds: int, state: str, attempt: int, starts: int) -> None:
    do(world.advance(seconds))
    record = world.record(J)
    assert (record.state.value, record.attempt, len(world.starts)) == (state, attempt, starts)
    assert world.faults == []
    if state == "running":
        assert list(world.leader.scheduler.cell.running_by_id) == [J]


@then(parsers.parse("after {seconds:d} seconds no gang runs"))
def check_no_gang_later(do: Run, world: World, seconds: int) -> None:
    assert world.running() == {GANG}
    do(world.advance(seconds))
    assert world.running() == set()


@then("no gang runs")
def check_no_gang(world: World) -> None:
    assert world.running() == set()


@then(parsers.parse("for {seconds:d} seconds no second attempt starts"))
def check_fence(do: Run, world: World, seconds: int) -> None:
    do(world.advance(seconds))
    assert world.starts == [GANG]


@then(parsers.parse("for {seconds:d} seconds no reservation is refused"))
def check_no_refusal(do: Run, world: World, seconds: int) -> None:
    do(world.advance(seconds))
    assert any(agent.tasks for agent in world.agents.values())
    assert world.record("north-k").attempt == 0
