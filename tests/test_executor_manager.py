"""One executor's agent with an in-memory executor in virtual time."""

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

scenarios("features/executor_manager.feature")

CURRENT_INCARNATION = Incarnation("incarnation-1")
EARLIER_INCARNATION = Incarnation("incarnation-0")


class FakeExecutor:
    """Executor that answers after a fixed time and records the keys of the requests that ran."""

    def __init__(self) -> None:
        self.service_time_s = 0.0
        self.body = b"answer"
        self.error: Exception | None = None
        self.run_keys: list[str] = []

    async def run(self, request: Request) -> Answer:
        """Run a request."""
        if isinstance(self.error, TargetUnreachableError):
            raise self.error
        self.run_keys.append(request.key)
        await asyncio.sleep(self.service_time_s)
        if self.error is not None:
            raise self.error
        return Answer(outcome=Outcome.COMPLETED, body=self.body)

    async def probe(self) -> bool:
        """Return whether the executor is healthy."""
        return True


@dataclass
class AgentHarness:
    """One executor's agent on a virtual event loop."""

    loop: VirtualLoop
    executor: FakeExecutor = field(default_factory=FakeExecutor)
    tasks: list["asyncio.Task[AnyMessage]"] = field(default_factory=list)

    def __post_init__(self) -> None:
        info = ExecutorInfo(slots=2, connections=60)
        self.manager = ExecutorManager(
            info, self.executor, VirtualClock(self.loop), CURRENT_INCARNATION
        )

    def send(self, message: RunRequest) -> "asyncio.Task[AnyMessage]":
        """Send a request and run the loop until the agent handles it."""
        task = self.loop.create_task(self.manager.run(message))
        self.tasks.append(task)
        self.wait(0.0)
        return task

    def wait(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def harness() -> Iterator[AgentHarness]:
    harness = AgentHarness(VirtualLoop())
    yield harness
    for task in harness.tasks:
        task.cancel()
    harness.wait(0.0)
    harness.loop.close()


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
    return RunRequest(AttemptId(attempt), Nonce(nonce), CURRENT_INCARNATION, body)


def reply_name(reply: AnyMessage | None) -> str:
    if isinstance(reply, Refused):
        return reply.code
    if isinstance(reply, RunResult):
        return reply.answer.outcome.value
    assert isinstance(reply, KeyState)
    return reply.status.value


def send_described(harness: AgentHarness, text: str) -> AnyMessage:
    """Send the message that ``text`` describes and return its reply."""
    ids = re.findall(r'"([^"]+)"', text)
    incarnation = EARLIER_INCARNATION if "another incarnation" in text else CURRENT_INCARNATION
    if "attempt" in text and "queried" in text:
        return harness.manager.query_attempt(QueryAttempt(AttemptId(ids[0]), incarnation))
    if "queried" in text:
        return harness.manager.query_key(QueryKey(RequestKey(ids[0]), Nonce(ids[1]), incarnation))
    if incarnation == EARLIER_INCARNATION:
        message = RunRequest(
            AttemptId("a9"), Nonce("n9"), EARLIER_INCARNATION, request("k2", "", "").request
        )
        return harness.loop.run_until_complete(harness.manager.run(message))
    return harness.loop.run_until_complete(harness.manager.run(request(*ids)))


@given(parsers.parse("an executor with 2 slots whose answer takes {seconds:d} s"))
def set_service_time(harness: AgentHarness, seconds: int) -> None:
    harness.executor.service_time_s = seconds


@when(
    parsers.parse(
        'a non-repeatable request "{key}" with nonce "{nonce}" is sent as attempt "{attempt}"'
    ),
    target_fixture="first",
)
def send_first(
    harness: AgentHarness, key: str, nonce: str, attempt: str
) -> "asyncio.Task[AnyMessage]":
    return harness.send(request(key, nonce, attempt))


@when(parsers.parse("{seconds:d} s later {second}"), target_fixture="second")
def send_second(harness: AgentHarness, seconds: int, second: str) -> AnyMessage:
    harness.wait(seconds)
    if seconds > 600:
        # Old attempts are discarded when another attempt ends.
        harness.loop.run_until_complete(
            harness.manager.run(request("k0", "n0", "a0", repeatable=True))
        )
    return send_described(harness, second)


@when(parsers.re(r'(?P<text>(attempt|key) ".*" is queried)'))
def query(harness: AgentHarness, text: str) -> None:
    send_described(harness, text)


@when(parsers.re(r"(?P<count>\d) other requests run"))
def fill_slots(harness: AgentHarness, count: str) -> None:
    for index in range(int(count)):
        harness.send(request(f"other-{index}", f"m{index}", f"b{index}"))


@when("59 connections and 1 other request run")
def fill_connections(harness: AgentHarness) -> None:
    harness.manager.connections = 59
    harness.send(request("other", "m", "b"))


@when("the executor drains")
def drain(harness: AgentHarness) -> None:
    harness.manager.is_draining = True


@when("the executor is unreachable")
def make_unreachable(harness: AgentHarness) -> None:
    harness.manager.is_reachable = False


@when("the executor refuses connections")
def refuse_connections(harness: AgentHarness) -> None:
    harness.executor.error = TargetUnreachableError("refused")


@when("the executor closes the connection during its answer")
def break_off_answer(harness: AgentHarness) -> None:
    harness.executor.error = TargetTimeoutError("cut")


@when("the executor makes the client raise an unexpected error")
def make_client_raise(harness: AgentHarness) -> None:
    harness.executor.error = ValueError("unexpected")


@when("5000 repeatable requests with answers of 1000 bytes are run")
def run_many(harness: AgentHarness) -> None:
    harness.executor.body = bytes(1000)
    for index in range(5000):
        message = request(f"k{index}", f"n{index}", f"a{index}", repeatable=True)
        harness.loop.run_until_complete(harness.manager.run(message))


@then(parsers.parse('the second reply is "{reply}"'))
def check_second_reply(second: AnyMessage, reply: str) -> None:
    assert reply_name(second) == reply


@then(parsers.parse('the first reply is "{reply}" immediately'))
def check_immediate_reply(first: "asyncio.Task[AnyMessage]", reply: str) -> None:
    assert first.done() and reply_name(first.result()) == reply


@then(parsers.parse('the first reply is "{reply}" after the run'))
def check_final_reply(harness: AgentHarness, first: "asyncio.Task[AnyMessage]", reply: str) -> None:
    assert reply_name(harness.loop.run_until_complete(first)) == reply


@then(parsers.parse('a retry of "{key}" with nonce "{nonce}" is answered "{reply}"'))
def check_retry(harness: AgentHarness, key: str, nonce: str, reply: str) -> None:
    answer = harness.loop.run_until_complete(harness.manager.run(request(key, nonce, "a2")))
    assert reply_name(answer) == reply


@then(parsers.parse('"{key}" has run {runs:d} time(s)'))
def check_runs(harness: AgentHarness, key: str, runs: int) -> None:
    harness.wait(20.0)
    assert harness.executor.run_keys.count(key) == runs


@then(parsers.parse("at most {limit:d} bytes of answers are stored"))
def check_stored_bytes(harness: AgentHarness, limit: int) -> None:
    states = (
        harness.manager.query_attempt(QueryAttempt(AttemptId(f"a{index}"), CURRENT_INCARNATION))
        for index in range(5000)
    )
    assert sum(len(state.answer.body) for state in states if state.answer is not None) <= limit


@then(parsers.parse('a query for the first attempt is not answered "{reply}"'))
def check_first_query(harness: AgentHarness, reply: str) -> None:
    assert reply_name(send_described(harness, 'attempt "a0" is queried')) != reply


@then(parsers.parse('a query for the last attempt is answered "{reply}"'))
def check_last_query(harness: AgentHarness, reply: str) -> None:
    assert reply_name(send_described(harness, 'attempt "a4999" is queried')) == reply
