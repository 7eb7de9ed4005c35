"""Queue, slots, checks of bodies and forwarding, tested with in-memory fakes."""

import asyncio
import json

import pytest
from tests.manual_clock import ManualClock
from tests.request_fakes import FakeCluster, FakeLink, make_request, run_async

from chicorycrank.entry.request_check import check_request
from chicorycrank.model.config import Config, Service, Team
from chicorycrank.model.ids import Generation, ServiceId, TargetId, TeamId
from chicorycrank.model.messages import ForwardRequest
from chicorycrank.model.requests import Answer, Outcome, RequestClass
from chicorycrank.model.targets import ExecutorLoad

CONFIG = Config(
    generation=Generation(1),
    teams={TeamId("claims"): Team()},
    services={ServiceId("order"): Service(request_class=RequestClass.URGENT, repeatable=False)},
)


def test_unreachable_executor_gets_no_request() -> None:
    """Guards against requests sent to an executor that its agent reports as unreachable."""
    cluster = FakeCluster(ManualClock())
    cluster.add_entry("entry-0")
    cluster.add_agent("exec-0")
    cluster.add_agent("exec-1")
    target = cluster.directory_by_id["entry-0"].targets_by_id[TargetId("exec-0")]
    target.executor_load = ExecutorLoad(reachable=False)

    async def work() -> list[Answer]:
        requests = [make_request(f"k{i}", repeatable=i % 2 == 0) for i in range(10)]
        return list(await asyncio.gather(*(cluster.send("entry-0", r) for r in requests)))

    answers = run_async(cluster.clock.run(work()))
    assert {answer.outcome for answer in answers} == {Outcome.COMPLETED}
    assert not cluster.link("entry-0", "exec-0").sent


def test_non_repeatable_requests_wait_for_slots_that_other_entries_use() -> None:
    """Guards against not_run for a request whose deadline leaves time to wait for a slot."""
    cluster = FakeCluster(ManualClock())
    cluster.add_entry("entry-0")
    cluster.add_entry("entry-1")
    agent = cluster.add_agent("exec-0")
    agent.service_time_s = 0.2

    async def work() -> list[Answer]:
        requests = [(f"entry-{i % 2}", make_request(f"k{i}", deadline_s=10.0)) for i in range(32)]
        return list(await asyncio.gather(*(cluster.send(entry, r) for entry, r in requests)))

    answers = run_async(cluster.clock.run(work()))
    assert {answer.outcome for answer in answers} == {Outcome.COMPLETED}
    assert sorted(agent.ran_keys) == sorted(f"k{i}" for i in range(32))
    assert agent.max_used_slots == 8


def test_slots_and_deadlines_hold_in_a_burst() -> None:
    """Guards against an executor over its slots and against waits beyond the deadline."""
    cluster = FakeCluster(ManualClock())
    cluster.add_entry("entry-0")
    agent = cluster.add_agent("exec-0")
    agent.service_time_s = 1.0

    async def work() -> list[Answer]:
        requests = [make_request(f"k{i}", repeatable=True, deadline_s=2.5) for i in range(40)]
        return list(await asyncio.gather(*(cluster.send("entry-0", r) for r in requests)))

    answers = run_async(cluster.clock.run(work(), limit_s=4.0))
    assert agent.max_used_slots == 8
    # The entry does not send a ninth request, which the agent would refuse.
    assert len(cluster.link("entry-0", "exec-0").sent) == len(agent.ran_keys)
    ran = [a for a in answers if a.outcome is not Outcome.NOT_RUN]
    assert len(ran) == len(agent.ran_keys)
    assert all(a.retry_after_s for a in answers if a.outcome is Outcome.NOT_RUN)


def test_all_findings_are_reported_at_once() -> None:
    """Guards against a caller that has to send a body again for each of its errors."""
    body = {"team": "x", "service": "order", "repeatable": True, "deadline_s": 0, "extra": 1}
    checked = check_request(json.dumps(body).encode(), "a/b", CONFIG)
    pointers = {finding.pointer for finding in checked.error.findings}
    assert pointers == {"/team", "/repeatable", "/deadline_s", "/extra", "Idempotency-Key"}


@pytest.mark.parametrize("fault", ["", "reply lost", "request lost", "request delayed"])
@pytest.mark.parametrize("repeatable", [True, False])
def test_forwarded_request_runs_once(fault: str, repeatable: bool) -> None:
    """Guards against a second run of a forwarded request whose reply was lost."""
    cluster = FakeCluster(ManualClock())
    cluster.add_entry("entry-0")
    cluster.add_entry("entry-1", "south")
    cluster.add_agent("exec-1", "south")
    cluster.connect_entries("entry-0", "entry-1")
    cluster.exchange_digests()
    peer = next(iter(cluster.directory_by_id["entry-0"].peers_by_id.values()))
    assert isinstance(peer.link, FakeLink)
    peer.link.faults = [fault] if fault else []

    async def work() -> Answer:
        return await cluster.send("entry-0", make_request("k", repeatable=repeatable))

    answer = run_async(cluster.clock.run(work(), limit_s=60.0))
    assert any(isinstance(m, ForwardRequest) for m in peer.link.sent)
    is_lost = fault.startswith("request")
    assert answer.outcome is (Outcome.NOT_RUN if is_lost else Outcome.COMPLETED)
    assert cluster.count_runs("k") == (0 if is_lost else 1)
