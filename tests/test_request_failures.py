"""Outcomes of requests under failure, tested with separate processes."""

import signal
import threading
import time
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.fleet_client import (
    CLOSED,
    ENTRIES,
    EXECUTORS,
    ONE_REGION,
    TWO_REGIONS,
    FleetClient,
    SentRequest,
)

from chicorycrank_standin.fleet import SLOTS_PER_EXECUTOR, Fleet
from chicorycrank_standin.forwarder import Mode

scenarios("features/request_failures.feature")

DRAIN_TIMEOUT_S = 3.0
CONFIG_TIMEOUT_S = 6.0
HEALTH_WATCH_TIMEOUT_S = 60.0
# Three missed heartbeats of 1.5 s each, a new connection and the wait for it.
UNRESPONSIVE_TIMEOUT_S = 10.0


# Failures: each function injects a failure, sends requests and ends the failure.


def kill_entry(client: FleetClient) -> None:
    with client.inject_faults(*EXECUTORS, delay_s=1.0):
        key = client.make_key()
        first = client.start(ENTRIES[0], key)
        client.wait_for_run(key)
        client.fleet.kill(ENTRIES[0])
        first.result()
        client.send(ENTRIES[1], key)
    client.fleet.start_entry(ENTRIES[0])


def kill_agent(client: FleetClient) -> None:
    with client.inject_faults(*EXECUTORS, delay_s=1.5):
        key = client.make_key()
        first = client.start(ENTRIES[0], key, deadline_s=3.0)
        executor = client.wait_for_run(key)
        others = [client.start(ENTRIES[0], repeatable=True) for _ in range(4)]
        client.fleet.wait(
            lambda: len(client.fetch_runs(executor)) > 1, "no repeatable request runs"
        )
        client.fleet.kill(f"agent-{executor}")
        retry = client.start(ENTRIES[1], key, deadline_s=3.0)
        for future in (first, retry, *others):
            future.result()
        client.fleet.start_agent(executor)
        client.fleet.wait_connected()
        # The agent's new incarnation shows that the outcome cannot be determined any more.
        client.send(ENTRIES[1], key)
    _, stored = client.fleet.call(ENTRIES[0], "GET", f"/v1/requests/{key}")
    assert stored["outcome"] == "unknown"
    assert any(len(executors) > 1 for executors in client.fetch_executors_by_key().values())


def suspend_agent(client: FleetClient) -> None:
    agents = [f"agent-{executor}" for executor in EXECUTORS]
    key = client.make_key()
    for agent in agents:
        client.fleet.signal(agent, signal.SIGSTOP)
    try:
        assert client.send(ENTRIES[0], key, deadline_s=1.0).outcome == "unknown"
        reads = client.fleet.call("store", "GET", "/record")[1]["get"]
        retry = client.start(ENTRIES[1], key, deadline_s=15.0)
        client.fleet.wait(
            lambda: client.fleet.call("store", "GET", "/record")[1]["get"] > reads,
            "the retry does not read the claim",
        )
    finally:
        for agent in agents:
            client.fleet.signal(agent, signal.SIGCONT)
    assert retry.result().outcome == "completed"


def send_twice(client: FleetClient) -> None:
    with client.inject_faults(*EXECUTORS, delay_s=0.3):
        for _ in range(4):
            key = client.make_key()
            barrier = threading.Barrier(2)

            def send(
                entry: str, key: str = key, barrier: threading.Barrier = barrier
            ) -> SentRequest:
                barrier.wait(5.0)
                return client.send(entry, key)

            first_call, second_call = (client.threads.submit(send, entry) for entry in ENTRIES)
            assert first_call.result().document["answer"] == second_call.result().document["answer"]


def send_burst(client: FleetClient) -> None:
    futures = [
        client.start(ENTRIES[number % 2], repeatable=number % 3 > 0, deadline_s=2.0)
        for number in range(300)
    ]
    outcomes = [future.result().outcome for future in futures]
    assert len({sent.key for sent in client.sent}) == 300
    assert outcomes.count("completed") >= 100


def stop_store(client: FleetClient) -> None:
    with client.inject_faults("store", down=True):
        keys = [client.send(entry).key for entry in ENTRIES for _ in range(2)]
        for entry in ENTRIES * 2:
            client.send(entry, repeatable=True)
        assert not set(keys) & set(client.fetch_executors_by_key())
        assert {sent.outcome for sent in client.sent if not sent.repeatable} == {"not_run"}
    for key in keys:
        assert client.send(ENTRIES[0], key).outcome == "completed"


def lose_store_replies(client: FleetClient) -> None:
    for entry in ENTRIES * 2:
        with client.inject_faults("store", lose_replies=1):
            client.send(entry)
            _, faults = client.fleet.call("store", "POST", "/control", {})
            assert faults["lose_replies"] == 0


def stop_replies_of_agents(client: FleetClient) -> None:
    with client.inject_faults(*EXECUTORS, delay_s=1.0):
        # The replies to these requests are lost, and the following requests do not arrive.
        futures = [client.start(ENTRIES[0], repeatable=number == 0) for number in range(3)]
        client.fleet.wait(
            lambda: len(client.fetch_executors_by_key()) == 3, "the requests do not run"
        )
        client.fleet.forwarder_by_link[f"{ENTRIES[0]}/peer"].set_mode(Mode.SILENT)
    futures += [client.start(ENTRIES[0], repeatable=number % 2 == 0) for number in range(6)]
    for future in futures:
        sent = future.result()
        assert sent.ended_at - sent.sent_at < UNRESPONSIVE_TIMEOUT_S
    client.fleet.forwarder_by_link[f"{ENTRIES[0]}/peer"].set_mode(Mode.PASS)


def drain_executor(client: FleetClient) -> None:
    draining_executor, other_executor = EXECUTORS
    path = f"/v1/targets/{draining_executor}/drain"
    with client.background_load(callers=8):
        client.fleet.wait(
            lambda: bool(client.fetch_runs(draining_executor)), "the executor gets no work"
        )
        status, _ = client.fleet.call(ENTRIES[0], "POST", path, {"draining": True})
        announced_at = time.time()
        assert status == 200
        # The checks below need requests that are sent after the drain time-out.
        client.fleet.wait(
            lambda: client.sent[-1].sent_at > announced_at + DRAIN_TIMEOUT_S + 0.5,
            "the load stopped",
        )
    late_runs = [
        run
        for run in client.fetch_runs(draining_executor)
        if run["at"] > announced_at + DRAIN_TIMEOUT_S
    ]
    assert not late_runs
    assert [
        run
        for run in client.fetch_runs(other_executor)
        if run["at"] > announced_at + DRAIN_TIMEOUT_S
    ]
    client.fleet.call(ENTRIES[0], "POST", path, {"draining": False})


def stop_entry(client: FleetClient) -> None:
    stopped = ENTRIES[0]
    unhealthy_at: list[float] = []

    def watch() -> None:
        # Without a deadline, a failure before the stop would leave this thread running forever.
        deadline_s = time.time() + HEALTH_WATCH_TIMEOUT_S
        while client.is_healthy(stopped) and time.time() < deadline_s:
            pass
        unhealthy_at.append(time.time())

    # The delay of the fast executor makes the requests overlap even on a busy machine.
    slow, fast = (
        client.inject_faults(EXECUTORS[1], delay_s=1.5),
        client.inject_faults(EXECUTORS[0], delay_s=0.3),
    )
    with slow, fast, client.background_load(callers=8):
        watcher = client.threads.submit(watch)
        # The requests exceed the slots of the fast executor, so that long ones run during the stop.
        run_count_before = len(client.fetch_runs(EXECUTORS[1]))
        long_requests = [
            client.start(stopped, repeatable=number % 2 == 0)
            for number in range(SLOTS_PER_EXECUTOR + 4)
        ]
        client.fleet.wait(
            lambda: len(client.fetch_runs(EXECUTORS[1])) > run_count_before, "no long request runs"
        )
        client.fleet.signal(stopped, signal.SIGTERM)
        watcher.result()
        # Calls in spite of the failed health check show when the entry begins to refuse requests.
        while (refused := client.call(stopped, repeatable=True)).outcome == "completed":
            pass
        assert refused.outcome in ("not_run", CLOSED)
        assert unhealthy_at[0] < refused.ended_at
        client.wait_for_clean_exit(stopped)
        assert any(future.result().ended_at > unhealthy_at[0] + 0.5 for future in long_requests)
    client.fleet.start_entry(stopped)


def stop_agent(client: FleetClient) -> None:
    agent = f"agent-{EXECUTORS[0]}"
    with client.inject_faults(*EXECUTORS, delay_s=0.5), client.background_load(callers=8):
        client.fleet.wait(
            lambda: bool(client.fetch_runs(EXECUTORS[0])), "the executor gets no work"
        )
        client.fleet.signal(agent, signal.SIGTERM)
        client.wait_for_clean_exit(agent)
        client.wait_for_answers(8)
    client.fleet.start_agent(EXECUTORS[0])


def truncate_answers(client: FleetClient) -> None:
    with client.inject_faults(EXECUTORS[0], cut=True):
        for repeatable in (False, True):
            run_count_before = len(client.fetch_runs(EXECUTORS[0]))
            client.fleet.wait(
                lambda repeatable=repeatable, run_count_before=run_count_before: bool(
                    fill_slots(client, repeatable=repeatable)
                    and len(client.fetch_runs(EXECUTORS[0])) > run_count_before
                ),
                "the executor gets no work",
            )


def fill_slots(client: FleetClient, *, repeatable: bool) -> bool:
    """Send more requests than an executor has slots; return whether the first executor ran any."""
    futures = [
        client.start(ENTRIES[0], repeatable=repeatable) for _ in range(SLOTS_PER_EXECUTOR + 2)
    ]
    for future in futures:
        future.result()
    return bool(client.fetch_runs(EXECUTORS[0]))


def fail_all_requests(client: FleetClient) -> None:
    with client.inject_faults(EXECUTORS[0], fail=True):
        # The executor's circuit breaker may still be open after an earlier example.
        client.fleet.wait(lambda: fill_slots(client, repeatable=True), "the executor gets no work")
        for _ in range(20):
            for future in [client.start(entry, repeatable=True) for entry in ENTRIES]:
                future.result()
    failing_run_count = len(client.fetch_runs(EXECUTORS[0]))
    assert 0 < failing_run_count < len(client.fetch_runs(EXECUTORS[1])) / 2


FAILURES: dict[str, Callable[[FleetClient], None]] = {
    "the entry is killed after the dispatch": kill_entry,
    "the agent is killed during a run": kill_agent,
    "the agent is suspended during a dispatch": suspend_agent,
    "two callers send the same key": send_twice,
    "a burst of 300 requests arrives": send_burst,
    "the store is down": stop_store,
    "store replies are lost after the write": lose_store_replies,
    "the connection to the agents is unresponsive": stop_replies_of_agents,
    "an executor is drained": drain_executor,
    "an entry is stopped": stop_entry,
    "an agent is stopped": stop_agent,
    "an executor truncates its answers": truncate_answers,
    "an executor fails all requests": fail_all_requests,
}


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    fleet = Fleet(
        deployment=ONE_REGION,
        folder=tmp_path_factory.mktemp("requests"),
        forwarded=frozenset({f"{ENTRIES[0]}/peer"}),
    )
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


@pytest.fixture(scope="module")
def example_numbers() -> Iterator[int]:
    return count()


@given("a running fleet of one region with two entries and two executors", target_fixture="client")
def running_fleet(shared_fleet: Fleet, example_numbers: Iterator[int]) -> Iterator[FleetClient]:
    for name in ENTRIES:
        shared_fleet.wait_http(name, "/healthz")
    shared_fleet.wait_connected()
    client = FleetClient(fleet=shared_fleet, example_number=next(example_numbers))
    yield client
    client.threads.shutdown()


@when(parsers.parse("requests are sent while {failure}"))
def send_requests(client: FleetClient, failure: str) -> None:
    FAILURES[failure](client)


@then(
    parsers.parse(
        "the outcomes of non-repeatable requests are {non_repeatable_outcomes} and of repeatable "
        "ones {repeatable_outcomes}"
    )
)
def check_outcomes(
    client: FleetClient, non_repeatable_outcomes: str, repeatable_outcomes: str
) -> None:
    for repeatable, expected in ((False, non_repeatable_outcomes), (True, repeatable_outcomes)):
        sent = [s for s in client.sent if s.repeatable is repeatable]
        allowed = set() if expected == "none" else set(expected.split(", "))
        others = [s for s in sent if s.outcome not in allowed]
        assert not others, others
        assert not allowed or sent


@then("each outcome agrees with the executors' lists of runs")
def check_outcomes_against_runs(client: FleetClient) -> None:
    executors_by_key = client.fetch_executors_by_key()
    completed = {sent.key for sent in client.sent if sent.outcome == "completed"}
    for sent in client.sent:
        run_count = len(executors_by_key.get(sent.key, ()))
        if sent.outcome == "completed":
            answer = sent.document["answer"]
            assert answer["key"] == answer["echo"]["photo"] == sent.document["key"] == sent.key
            assert answer["executor"] in executors_by_key[sent.key]
        if sent.outcome == "not_run" and sent.key not in completed:
            assert run_count == 0, sent
        if not sent.repeatable:
            assert run_count <= 1, sent


# A region without connections to the store and to the other region.


@given("a running fleet of two regions whose links can be disconnected", target_fixture="client")
def two_regions(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FleetClient]:
    # The entry with the smaller id opens the connection, so the forwarder in front of the southern
    # entry carries it.
    fleet = Fleet(
        deployment=TWO_REGIONS,
        folder=tmp_path_factory.mktemp("regions"),
        forwarded=frozenset({"entry-north-0/store", "entry-south-0/peer"}),
    )
    try:
        fleet.start()
        fleet.wait(lambda: "entry-south-0" in list_peers(fleet), "the regions are not connected")
        yield FleetClient(fleet=fleet, example_number=0)
    finally:
        fleet.stop()


FORWARDERS_BY_LINK_NAME = {
    "the link to the store": ("entry-north-0/store",),
    "the link to the other region": ("entry-south-0/peer",),
    "each link": ("entry-north-0/store", "entry-south-0/peer"),
}


def list_peers(fleet: Fleet) -> Any:
    return fleet.call("entry-north-0", "GET", "/v1/state")[1]["peers"]


def read_generations(fleet: Fleet) -> tuple[int, int]:
    """Return the generations in force at the entry and the agent of region north."""
    _, entry = fleet.call("entry-north-0", "GET", "/v1/state")
    _, agent = fleet.call("entry-north-0", "GET", "/v1/state/exec-north-0")
    return entry["config_generation"], agent["config_generation"]


@given(parsers.parse('region "north" is disconnected from the store and from the other region'))
def disconnect_region(client: FleetClient) -> None:
    for forwarder in client.fleet.forwarder_by_link.values():
        forwarder.set_mode(Mode.CUT)


@when(parsers.parse('a release is applied in region "south"'))
def apply_release(client: FleetClient) -> None:
    note = {
        "release": "first",
        "author": "ann",
        "written_against": 0,
        "added": {"teams": {"team-0": {"weight": 2.0}}},
    }
    status, reply = client.fleet.call("entry-south-0", "POST", "/v1/releases", note)
    assert status == 200, reply


@then('region "north" still has the earlier configuration and serves repeatable requests')
def check_disconnected_region(client: FleetClient) -> None:
    assert read_generations(client.fleet) == (0, 0)
    assert client.send("entry-north-0", repeatable=True).outcome == "completed"


@when(parsers.parse('{link} of region "north" is restored'), target_fixture="restored_at")
def restore_links(client: FleetClient, link: str) -> float:
    for name in FORWARDERS_BY_LINK_NAME[link]:
        client.fleet.forwarder_by_link[name].set_mode(Mode.PASS)
    return time.time()


@then('the release is in force at the entry and at the agent of region "north" within 6 s')
def check_in_force(client: FleetClient, restored_at: float) -> None:
    client.fleet.wait(
        lambda: read_generations(client.fleet) == (1, 1), "the release is not in force", 12.0
    )
    assert time.time() - restored_at < CONFIG_TIMEOUT_S
