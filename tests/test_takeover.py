"""Takeover by a new leader, gangs without a record, lost workers and cancellations."""

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.scheduler_fakes import make_spec
from tests.scheduler_world import FakeCell, wait_for_reply

from chicorycrank.entry import scheduler
from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobState
from chicorycrank.model.messages import CancelReservation, GangOutcome, Refused, Reserve, StartGang
from chicorycrank.policy.decide import decide

scenarios("features/takeover.feature")

JOB_ID = JobId("north-j")
GANG = (JOB_ID, 1)

RunInLoop = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.fixture
def run_in_loop() -> Iterator[RunInLoop]:
    loop = asyncio.new_event_loop()
    yield loop.run_until_complete
    for task in asyncio.all_tasks(loop):
        task.cancel()
    loop.run_until_complete(asyncio.sleep(0))
    loop.close()


@given("a cell of 5 workers with a leader", target_fixture="cell")
def cell_with_leader(run_in_loop: RunInLoop) -> FakeCell:
    async def make() -> FakeCell:
        cell = FakeCell(5)
        await cell.elect()
        return cell

    return run_in_loop(make())  # type: ignore[no-any-return]


async def submit(cell: FakeCell, *, stay_queued: bool = False) -> None:
    """Submit the job; with ``stay_queued`` no worker is connected until the job is accepted."""
    cell.unconnected = set(cell.agents) if stay_queued else set()
    for name in cell.unconnected:
        cell.lose_worker(name)
    await wait_for_reply(cell, cell.leader.scheduler.submit(JOB_ID, make_spec(members=2)))
    for name in cell.unconnected:
        cell.agents[name].is_alive = True
    cell.unconnected = set()


async def prepare_situation(cell: FakeCell, situation: str) -> None:
    """Put the job, its gang and its record into the state that the next leader finds.

    :param situation: text that contains some of these words

        - "as queued": the gang runs, but the start is not recorded in the store
        - "reserved": the members are reserved, but the head refused to start the gang
        - "as starting": the gang runs, but the leader does not learn that it has started
        - "missing": the job's record is removed from the store
        - "ended": the gang completes while the store is down, so its end is not stored; with
          "unreported" its head never reports the end
        - "cancellation": the cancellation is stored, but the leader cannot reach the agents
    """
    is_start_unrecorded = "as queued" in situation or "reserved" in situation
    await submit(cell, stay_queued=is_start_unrecorded)
    if "reserved" in situation:
        for agent in cell.agents.values():
            agent.refused_types = (StartGang, CancelReservation)
    if is_start_unrecorded:
        cell.store.is_down = True
        cell.events.clear()
        await cell.advance(3)
    elif "as starting" in situation:
        cell.events.clear()
    else:
        await cell.advance(3)
        assert cell.record(JOB_ID).state is JobState.RUNNING
    if "missing" in situation:
        cell.store.value_by_key = {
            key: value for key, value in cell.store.value_by_key.items() if "jobs/" not in key
        }
    if "ended" in situation:
        cell.store.is_down = True
        cell.end_gang(GANG, GangOutcome.COMPLETED, report="unreported" not in situation)
    if "cancellation" in situation:
        cell.leader.is_disconnected = True
        await wait_for_reply(cell, cell.leader.scheduler.cancel(JOB_ID))


async def elect_new_leader(cell: FakeCell, *, connected: bool = True) -> None:
    await cell.kill_leader()
    cell.store.is_down = False
    for agent in cell.agents.values():
        agent.loses_replies = False
        agent.refused_types = ()
    await cell.elect(connected=connected)


@when(parsers.re("(?P<situation>its .*) and the leader is replaced"))
def replace_leader(run_in_loop: RunInLoop, cell: FakeCell, situation: str) -> None:
    run_in_loop(prepare_situation(cell, situation))
    run_in_loop(elect_new_leader(cell))


@when(
    parsers.re(
        "(?P<situation>its .*) and a (?P<kind>newly started|connected) entry acquires the role"
    )
)
def replace_leader_by_kind_of_entry(
    run_in_loop: RunInLoop, cell: FakeCell, situation: str, kind: str
) -> None:
    run_in_loop(prepare_situation(cell, situation))
    run_in_loop(elect_new_leader(cell, connected=kind == "connected"))


@when(
    parsers.parse("the workers of its members report {seconds:d} seconds after the others"),
)
def report_late(run_in_loop: RunInLoop, cell: FakeCell, seconds: int) -> None:
    cell.agents_without_reports = {name for name, agent in cell.agents.items() if agent.tasks}
    assert len(cell.agents_without_reports) == 2
    run_in_loop(cell.advance(seconds))
    cell.agents_without_reports = set()


@when("the worker of its head never reports and the other member's worker is lost after 5 seconds")
def lose_both_workers(run_in_loop: RunInLoop, cell: FakeCell) -> None:
    head, second = (name for name, agent in cell.agents.items() if agent.tasks)
    assert cell.agents[head].gangs
    cell.agents_without_reports = {head}
    run_in_loop(cell.advance(5))
    cell.lose_worker(second)


@when(parsers.parse("the agents refuse reservations for {seconds:d} seconds"))
def refuse_reservations(run_in_loop: RunInLoop, cell: FakeCell, seconds: int) -> None:
    for agent in cell.agents.values():
        agent.refused_types = (Reserve,)
    run_in_loop(submit(cell))
    run_in_loop(cell.advance(seconds))


@then(parsers.parse("the job has had {low:d} to {high:d} attempts"))
def check_attempts(cell: FakeCell, low: int, high: int) -> None:
    assert low <= cell.record(JOB_ID).attempt <= high


@when("the first decision fails")
def fail_decision(run_in_loop: RunInLoop, cell: FakeCell, monkeypatch: pytest.MonkeyPatch) -> None:
    failures = [RuntimeError("decision failed")]

    def fail_once(*args: Any) -> Any:
        if failures:
            raise failures.pop()
        return decide(*args)

    monkeypatch.setattr(scheduler, "decide", fail_once)
    run_in_loop(submit(cell))
    assert not failures


@when("another job of 4 members is submitted")
def submit_other(run_in_loop: RunInLoop, cell: FakeCell) -> None:
    run_in_loop(
        wait_for_reply(cell, cell.leader.scheduler.submit(JobId("north-k"), make_spec(members=4)))
    )


@when(parsers.parse("its gang runs and {loss} lost"))
@when(parsers.parse("its gang runs and {loss} at once"))
def lose_member(run_in_loop: RunInLoop, cell: FakeCell, loss: str) -> None:
    run_in_loop(prepare_situation(cell, "running"))
    if "reports" in loss:
        cell.end_gang(GANG, GangOutcome.LOST)
        return
    place = cell.record(JOB_ID).placement[0 if "head" in loss else 1]
    cell.lose_worker(place.worker)


@when("the agents' replies to the start are lost")
def lose_start_replies(run_in_loop: RunInLoop, cell: FakeCell) -> None:
    original_start_gang = cell.start_gang

    def start(*args: Any) -> None:
        original_start_gang(*args)
        args[0].loses_replies = True

    cell.start_gang = start  # type: ignore[method-assign,assignment]
    run_in_loop(submit(cell))


@when(parsers.parse("the job is {state} and cancelled twice"))
def cancel(run_in_loop: RunInLoop, cell: FakeCell, state: str) -> None:
    run_in_loop(submit(cell, stay_queued=state == "queued"))
    if state == "running":
        run_in_loop(cell.advance(3))
    for _ in range(2):
        record = run_in_loop(wait_for_reply(cell, cell.leader.scheduler.cancel(JOB_ID)))
        assert not isinstance(record, Refused)


@then(
    parsers.parse(
        "after {seconds:d} seconds the job is {state} at attempt {attempt:d} of {starts:d} starts"
    )
)
def check_job(
    run_in_loop: RunInLoop, cell: FakeCell, seconds: int, state: str, attempt: int, starts: int
) -> None:
    run_in_loop(cell.advance(seconds))
    record = cell.record(JOB_ID)
    assert (record.state.value, record.attempt, len(cell.starts)) == (state, attempt, starts)
    assert cell.violations == []
    if state == "running":
        assert list(cell.leader.scheduler.cell.running_by_id) == [JOB_ID]


@then(parsers.parse("after {seconds:d} seconds no gang runs"))
def check_no_gang_later(run_in_loop: RunInLoop, cell: FakeCell, seconds: int) -> None:
    assert cell.running() == {GANG}
    run_in_loop(cell.advance(seconds))
    assert cell.running() == set()


@then("no gang runs")
def check_no_gang(cell: FakeCell) -> None:
    assert cell.running() == set()


@then(parsers.parse("for {seconds:d} seconds no second attempt starts"))
def check_no_second_attempt(run_in_loop: RunInLoop, cell: FakeCell, seconds: int) -> None:
    run_in_loop(cell.advance(seconds))
    assert cell.starts == [GANG]


@then(parsers.parse("for {seconds:d} seconds no reservation is refused"))
def check_no_refusal(run_in_loop: RunInLoop, cell: FakeCell, seconds: int) -> None:
    run_in_loop(cell.advance(seconds))
    assert any(agent.tasks for agent in cell.agents.values())
    # The other job was never placed on reserved accelerators: each start, also one that the agents
    # refuse, would increment the attempt.
    assert cell.record("north-k").attempt == 0
