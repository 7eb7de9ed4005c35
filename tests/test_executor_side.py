"""One executor's agent against an in-memory executor, in virtual time."""

import asyncio
import re
from collections.abc import Iterator
from dataclasses import dataclass, field

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.virtual_time import VirtualClock, VirtualLoop

from chicorycrank.agent.executor import ExecutorManager
from chicorycrank.model.ids import AttemptId, Incarnation, Nonce, RequestKey, ServiceId, TeamId
from chicorycrank.model.messages import (
    AnyMessage,
    KeyState,
    QueryAttempt,
    QueryKey,
    Refused,
    RunRequest,
    RunResult,
)
from chicorycrank.model.requests import Answer, Outcome, Request, RequestClass
from chicorycrank.model.targets import ExecutorInfo
from chicorycrank.ports.targets import TargetTimeoutError, TargetUnreachableError

scenarios("features/executor_side.feature")

HERE = Incarnation("incarnation-1")
ELSEWHERE = Incarnation("incarnation-0")


class FakeExecutor:
    """Answers after a fixed time and keeps a record of what ran."""

    def __init__(self) -> None:
        self.service_time_s = 0.0
        self.body = b"answer"
        self.fault: Exception | None = None
        self.runs: list[str] = []

    async def run(self, request: Request) -> Answer:
        """Run a request."""
        if isinstance(self.fault, TargetUnreachableError):
            raise self.fault
        self.runs.append(request.key)
        await asyncio.sleep(self.service_time_s)
        if self.fault is not None:
            raise self.fault
        return Answer(outcome=Outcome.COMPLETED, body=self.body)

    async def probe(self) -> bool:
        """Return whether the executor is healthy."""
        return True


@dataclass
class World:
    """One executor's agent."""

    loop: VirtualLoop
    executor: FakeExecutor = field(default_factory=FakeExecutor)
    tasks: list["asyncio.Task[AnyMessage]"] = field(default_factory=list)

    def __post_init__(self) -> None:
        info = ExecutorInfo(slots=2, connections=60)
        self.manager = ExecutorManager(info, self.executor, VirtualClock(self.loop), HERE)

    def send(self, message: RunRequest) -> "asyncio.Task[AnyMessage]":
        """Send a request and let it begin."""
        task = self.loop.create_task(self.manager.run(message))
        self.tasks.append(task)
        self.wait(0.0)
        return task

    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def world() -> Iterator[World]:
    world = World(VirtualLoop())
    yield world
    for task in world.tasks:
        task.cancel()
    world.wait(0.0)
    world.loop.close()


def request(key: str, nonce: str, attempt: str, *, repeatable: bool = False) -> RunRequest:
    body = Request(
        key=RequestKey(key),
        team=TeamId("claims"),
        service=ServiceId("order"),
        request_class=RequestClass.URGENT,
        repeatable=repeatable,
        deadline_s=30.0,
        body=b"{}",
    )
    return RunRequest(AttemptId(attempt), Nonce(nonce), HERE, body)


def name_of(reply: AnyMessage | None) -> str:
    if isinstance(reply, Refused):
        return reply.code
    if isinstance(reply, RunResult):
        return reply.answer.outcome.value
    assert isinstance(reply, KeyState)
    return reply.status.value


def say(world: World, text: str) -> AnyMessage:
    """Send the message that ``text`` describes and return its reply."""
    words = re.findall(r'"([^"]+)"', text)
    incarnation = ELSEWHERE if "another incarnation" in text else HERE
    if "attempt" in text and "queried" in text:
        return world.manager.query_attempt(QueryAttempt(AttemptId(words[0]), incarnation))
    if "queried" in text:
        return world.manager.query_key(QueryKey(RequestKey(words[0]), Nonce(words[1]), incarnation))
    if incarnation == ELSEWHERE:
        message = RunRequest(AttemptId("a9"), Nonce("n9"), ELSEWHERE, request("k2", "", "").request)
        return world.loop.run_until_complete(world.manager.run(message))
    return world.loop.run_until_complete(world.manager.run(request(*words)))


@given(parsers.parse("an executor with 2 slots whose answer takes {seconds:d} s"))
def set_time(world: World, seconds: int) -> None:
    world.executor.service_time_s = seconds


@when(
    parsers.parse(
        'a non-repeatable request "{key}" with nonce "{nonce}" is sent as attempt "{attempt}"'
    ),
    target_fixture="first",
)
def send_first(world: World, key: str, nonce: str, attempt: str) -> "asyncio.Task[AnyMessage]":
    return world.send(request(key, nonce, attempt))


@when(parsers.parse("{seconds:d} s later {second}"), target_fixture="second")
def send_second(world: World, seconds: int, second: str) -> AnyMessage:
    world.wait(seconds)
    if seconds > 600:
        # Old results are dropped when the next attempt ends.
        world.loop.run_until_complete(world.manager.run(request("k0", "n0", "a0", repeatable=True)))
    return say(world, second)


@when(parsers.re(r'(?P<text>(attempt|key) ".*" is queried)'))
def query(world: World, text: str) -> None:
    say(world, text)


@when(parsers.re(r"(?P<count>\d) other requests run"))
def fill_slots(world: World, count: str) -> None:
    for index in range(int(count)):
        world.send(request(f"other-{index}", f"m{index}", f"b{index}"))


@when("59 connections and 1 other request run")
def fill_connections(world: World) -> None:
    world.manager.connections = 59
    world.send(request("other", "m", "b"))


@when("the executor drains")
def drain(world: World) -> None:
    world.manager.is_draining = True


@when("the executor is unreachable")
def lose(world: World) -> None:
    world.manager.is_reachable = False


@when("the executor refuses connections")
def refuse(world: World) -> None:
    world.executor.fault = TargetUnreachableError("refused")


@when("the executor breaks its answer off")
def break_off(world: World) -> None:
    world.executor.fault = TargetTimeoutError("cut")


@when("the executor makes the client raise")
def break_client(world: World) -> None:
    world.executor.fault = ValueError("unexpected")


@when("5000 repeatable requests with answers of 1000 bytes are run")
def run_many(world: World) -> None:
    world.executor.body = bytes(1000)
    for index in range(5000):
        message = request(f"k{index}", f"n{index}", f"a{index}", repeatable=True)
        world.loop.run_until_complete(world.manager.run(message))


@then(parsers.parse('the second reply is "{reply}"'))
def check_second(second: AnyMessage, reply: str) -> None:
    assert name_of(second) == reply


@then(parsers.parse('the first reply is "{reply}" at once'))
def check_at_once(first: "asyncio.Task[AnyMessage]", reply: str) -> None:
    assert first.done() and name_of(first.result()) == reply


@then(parsers.parse('the first reply is "{reply}" in the end'))
def check_in_the_end(world: World, first: "asyncio.Task[AnyMessage]", reply: str) -> None:
    assert name_of(world.loop.run_until_complete(first)) == reply


@then(parsers.parse('a retry of "{key}" with nonce "{nonce}" is answered "{reply}"'))
def check_retry(world: World, key: str, nonce: str, reply: str) -> None:
    answer = world.loop.run_until_complete(world.manager.run(request(key, nonce, "a2")))
    assert name_of(answer) == reply


@then(parsers.parse('"{key}" has run {runs:d} time(s)'))
def check_runs(world: World, key: str, runs: int) -> None:
    world.wait(20.0)
    assert world.executor.runs.count(key) == runs


@then(parsers.parse("at most {limit:d} bytes of answers are kept"))
def check_memory(world: World, limit: int) -> None:
    kept = (
        world.manager.query_attempt(QueryAttempt(AttemptId(f"a{index}"), HERE))
        for index in range(5000)
    )
    assert sum(len(state.answer.body) for state in kept if state.answer is not None) <= limit


@then(parsers.parse('a query for the first attempt is not answered "{reply}"'))
def check_first_query(world: World, reply: str) -> None:
    assert name_of(say(world, 'attempt "a0" is queried')) != reply


@then(parsers.parse('a query for the last attempt is answered "{reply}"'))
def check_last_query(world: World, reply: str) -> None:
    assert name_of(say(world, 'attempt "a4999" is queried')) == reply
