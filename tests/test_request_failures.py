"""Promises about requests under failure, with real processes."""

import signal
import threading
import time
from collections.abc import Callable, Iterator
from itertools import count
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from tests.request_bench import (
    CLOSED,
    ENTRIES,
    EXECUTORS,
    ONE_REGION,
    TWO_REGIONS,
    Bench,
    Sent,
)

from chicorycrank_standin.fleet import SLOTS, Fleet
from chicorycrank_standin.forwarder import Mode

scenarios("features/request_failures.feature")

LEAVE_LIMIT_S = 3.0
CONFIG_LIMIT_S = 6.0
# Three missed heartbeats of 1.5 s, a new connection and the wait for it.
WATCH_LIMIT_S = 60.0
SILENCE_LIMIT_S = 10.0


# Failures. Each sends requests and undoes its failure.


def kill_entry(bench: Bench) -> None:
    with bench.faults(*EXECUTORS, delay_s=1.0):
        key = bench.make_key()
        first = bench.start(ENTRIES[0], key)
        bench.wait_run(key)
        bench.fleet.kill(ENTRIES[0])
        first.result()
        bench.send(ENTRIES[1], key)
    bench.fleet.start_entry(ENTRIES[0])


def kill_agent(bench: Bench) -> None:
    with bench.faults(*EXECUTORS, delay_s=1.5):
        key = bench.make_key()
        first = bench.start(ENTRIES[0], key, deadline_s=3.0)
        executor = bench.wait_run(key)
        others = [bench.start(ENTRIES[0], repeatable=True) for _ in range(4)]
        bench.fleet.wait(lambda: len(bench.record(executor)) > 1, "no repeatable request runs")
        bench.fleet.kill(f"agent-{executor}")
        retry = bench.start(ENTRIES[1], key, deadline_s=3.0)
        for future in (first, retry, *others):
            future.result()
        bench.fleet.start_agent(executor)
        bench.fleet.wait_connected()
        # The agent's new incarnation proves that the outcome will never be known.
        bench.send(ENTRIES[1], key)
    _, stored = bench.fleet.call(ENTRIES[0], "GET", f"/v1/requests/{key}")
    assert stored["outcome"] == "unknown"
    assert any(len(executors) > 1 for executors in bench.runs().values())


def freeze_agent(bench: Bench) -> None:
    agents = [f"agent-{executor}" for executor in EXECUTORS]
    key = bench.make_key()
    for agent in agents:
        bench.fleet.signal(agent, signal.SIGSTOP)
    try:
        assert bench.send(ENTRIES[0], key, deadline_s=1.0).outcome == "unknown"
        reads = bench.fleet.call("store", "GET", "/record")[1]["get"]
        retry = bench.start(ENTRIES[1], key, deadline_s=15.0)
        bench.fleet.wait(
            lambda: bench.fleet.call("store", "GET", "/record")[1]["get"] > reads,
            "the retry does not read the claim",
        )
    finally:
        for agent in agents:
            bench.fleet.signal(agent, signal.SIGCONT)
    assert retry.result().outcome == "completed"


def send_twice(bench: Bench) -> None:
    with bench.faults(*EXECUTORS, delay_s=0.3):
        for _ in range(4):
            key = bench.make_key()
            barrier = threading.Barrier(2)

            def send(entry: str, key: str = key, barrier: threading.Barrier = barrier) -> Sent:
                barrier.wait(5.0)
                return bench.send(entry, key)

            one, other = (bench.threads.submit(send, entry) for entry in ENTRIES)
            assert one.result().document["answer"] == other.result().document["answer"]


def send_burst(bench: Bench) -> None:
    futures = [
        bench.start(ENTRIES[number % 2], repeatable=number % 3 > 0, deadline_s=2.0)
        for number in range(300)
    ]
    outcomes = [future.result().outcome for future in futures]
    assert len({sent.key for sent in bench.sent}) == 300
    assert outcomes.count("completed") >= 100


def stop_store(bench: Bench) -> None:
    with bench.faults("store", down=True):
        keys = [bench.send(entry).key for entry in ENTRIES for _ in range(2)]
        for entry in ENTRIES * 2:
            bench.send(entry, repeatable=True)
        assert not set(keys) & set(bench.runs())
        assert {sent.outcome for sent in bench.sent if not sent.repeatable} == {"not_run"}
    for key in keys:
        assert bench.send(ENTRIES[0], key).outcome == "completed"


def lose_store_replies(bench: Bench) -> None:
    for entry in ENTRIES * 2:
        with bench.faults("store", lose_replies=1):
            bench.send(entry)
            _, faults = bench.fleet.call("store", "POST", "/control", {})
            assert faults["lose_replies"] == 0


def silence_agents(bench: Bench) -> None:
    with bench.faults(*EXECUTORS, delay_s=1.0):
        # The replies to these are lost, the requests that follow do not arrive.
        futures = [bench.start(ENTRIES[0], repeatable=number == 0) for number in range(3)]
        bench.fleet.wait(lambda: len(bench.runs()) == 3, "the requests do not run")
        bench.fleet.forwarder_by_link[f"{ENTRIES[0]}/peer"].set_mode(Mode.SILENT)
    futures += [bench.start(ENTRIES[0], repeatable=number % 2 == 0) for number in range(6)]
    for future in futures:
        sent = future.result()
        assert sent.ended_at - sent.sent_at < SILENCE_LIMIT_S
    bench.fleet.forwarder_by_link[f"{ENTRIES[0]}/peer"].set_mode(Mode.PASS)


def drain_executor(bench: Bench) -> None:
    leaving, staying = EXECUTORS
    path = f"/v1/targets/{leaving}/drain"
    with bench.load(callers=8):
        bench.fleet.wait(lambda: bool(bench.record(leaving)), "the executor gets no work")
        status, _ = bench.fleet.call(ENTRIES[0], "POST", path, {"draining": True})
        announced_at = time.time()
        assert status == 200
        # The load has to go on for a while after the limit, or there is nothing to check.
        bench.fleet.wait(
            lambda: bench.sent[-1].sent_at > announced_at + LEAVE_LIMIT_S + 0.5, "the load stopped"
        )
    late = [run for run in bench.record(leaving) if run["at"] > announced_at + LEAVE_LIMIT_S]
    assert not late
    assert [run for run in bench.record(staying) if run["at"] > announced_at + LEAVE_LIMIT_S]
    bench.fleet.call(ENTRIES[0], "POST", path, {"draining": False})


def stop_entry(bench: Bench) -> None:
    stopped = ENTRIES[0]
    turned_at: list[float] = []

    def watch() -> None:
        # Bounded, or a failure before the stop would leave this thread running for ever.
        limit = time.time() + WATCH_LIMIT_S
        while bench.is_healthy(stopped) and time.time() < limit:
            pass
        turned_at.append(time.time())

    # The delay of the fast executor makes the requests overlap on a busy machine as well.
    slow, fast = (
        bench.faults(EXECUTORS[1], delay_s=1.5),
        bench.faults(EXECUTORS[0], delay_s=0.3),
    )
    with slow, fast, bench.load(callers=8):
        watcher = bench.threads.submit(watch)
        # More requests than the fast executor has slots, so that long ones run at the stop.
        before = len(bench.record(EXECUTORS[1]))
        long = [bench.start(stopped, repeatable=number % 2 == 0) for number in range(SLOTS + 4)]
        bench.fleet.wait(lambda: len(bench.record(EXECUTORS[1])) > before, "no long request runs")
        bench.fleet.signal(stopped, signal.SIGTERM)
        watcher.result()
        # A caller that ignores the health check learns when the entry begins to refuse.
        while (refused := bench.call(stopped, repeatable=True)).outcome == "completed":
            pass
        assert refused.outcome in ("not_run", CLOSED)
        assert turned_at[0] < refused.ended_at
        bench.wait_exit(stopped)
        assert any(future.result().ended_at > turned_at[0] + 0.5 for future in long)
    bench.fleet.start_entry(stopped)


def stop_agent(bench: Bench) -> None:
    agent = f"agent-{EXECUTORS[0]}"
    with bench.faults(*EXECUTORS, delay_s=0.5), bench.load(callers=8):
        bench.fleet.wait(lambda: bool(bench.record(EXECUTORS[0])), "the executor gets no work")
        bench.fleet.signal(agent, signal.SIGTERM)
        bench.wait_exit(agent)
        bench.wait_sent(8)
    bench.fleet.start_agent(EXECUTORS[0])


def cut_answers(bench: Bench) -> None:
    with bench.faults(EXECUTORS[0], cut=True):
        for repeatable in (False, True):
            seen = len(bench.record(EXECUTORS[0]))
            bench.fleet.wait(
                lambda repeatable=repeatable, seen=seen: bool(
                    fill_slots(bench, repeatable=repeatable)
                    and len(bench.record(EXECUTORS[0])) > seen
                ),
                "the executor gets no work",
            )


def fill_slots(bench: Bench, *, repeatable: bool) -> bool:
    """Send more requests than one executor has slots; return whether the first has run any."""
    futures = [bench.start(ENTRIES[0], repeatable=repeatable) for _ in range(SLOTS + 2)]
    for future in futures:
        future.result()
    return bool(bench.record(EXECUTORS[0]))


def fail_everything(bench: Bench) -> None:
    with bench.faults(EXECUTORS[0], fail=True):
        # The executor's circuit breaker may still be open from an earlier row.
        bench.fleet.wait(lambda: fill_slots(bench, repeatable=True), "the executor gets no work")
        for _ in range(20):
            for future in [bench.start(entry, repeatable=True) for entry in ENTRIES]:
                future.result()
    given_less = len(bench.record(EXECUTORS[0]))
    assert 0 < given_less < len(bench.record(EXECUTORS[1])) / 2


FAILURES: dict[str, Callable[[Bench], None]] = {
    "the entry is killed after the dispatch": kill_entry,
    "the agent is killed during a run": kill_agent,
    "the agent is frozen during a dispatch": freeze_agent,
    "two callers send the same key": send_twice,
    "a burst of 300 requests arrives": send_burst,
    "the store is down": stop_store,
    "store replies are lost after the write": lose_store_replies,
    "the connection to the agents goes silent": silence_agents,
    "an executor is drained": drain_executor,
    "an entry is stopped": stop_entry,
    "an agent is stopped": stop_agent,
    "an executor cuts its answers": cut_answers,
    "an executor fails everything": fail_everything,
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
def rows() -> Iterator[int]:
    return count()


@given("a running fleet of one region with two entries and two executors", target_fixture="bench")
def running_fleet(shared_fleet: Fleet, rows: Iterator[int]) -> Iterator[Bench]:
    for name in ENTRIES:
        shared_fleet.wait_http(name, "/healthz")
    shared_fleet.wait_connected()
    bench = Bench(fleet=shared_fleet, row=next(rows))
    yield bench
    bench.threads.shutdown()


@when(parsers.parse("requests are sent while {failure}"))
def send_requests(bench: Bench, failure: str) -> None:
    FAILURES[failure](bench)


@then(
    parsers.parse(
        "the outcomes of non-repeatable requests are {once} and of repeatable ones {repeated}"
    )
)
def check_outcomes(bench: Bench, once: str, repeated: str) -> None:
    for repeatable, expected in ((False, once), (True, repeated)):
        sent = [s for s in bench.sent if s.repeatable is repeatable]
        allowed = set() if expected == "none" else set(expected.split(", "))
        others = [s for s in sent if s.outcome not in allowed]
        assert not others, others
        assert not allowed or sent


@then("each outcome is true by the executors' records")
def check_truth(bench: Bench) -> None:
    executors_by_key = bench.runs()
    completed = {sent.key for sent in bench.sent if sent.outcome == "completed"}
    for sent in bench.sent:
        runs = len(executors_by_key.get(sent.key, ()))
        if sent.outcome == "completed":
            answer = sent.document["answer"]
            assert answer["key"] == answer["echo"]["photo"] == sent.document["key"] == sent.key
            assert answer["executor"] in executors_by_key[sent.key]
        if sent.outcome == "not_run" and sent.key not in completed:
            assert runs == 0, sent
        if not sent.repeatable:
            assert runs <= 1, sent


# A region that is cut off.


@given("a running fleet of two regions whose links can be cut", target_fixture="bench")
def two_regions(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Bench]:
    # The entry with the smaller id dials, so a forwarder before the south's entry holds the link.
    fleet = Fleet(
        deployment=TWO_REGIONS,
        folder=tmp_path_factory.mktemp("regions"),
        forwarded=frozenset({"entry-north-0/store", "entry-south-0/peer"}),
    )
    try:
        fleet.start()
        fleet.wait(lambda: "entry-south-0" in peers_of(fleet), "the regions are not connected")
        yield Bench(fleet=fleet, row=0)
    finally:
        fleet.stop()


LINKS_BY_NAME = {
    "the link to the store": ("entry-north-0/store",),
    "the link to the other region": ("entry-south-0/peer",),
    "each link": ("entry-north-0/store", "entry-south-0/peer"),
}


def peers_of(fleet: Fleet) -> Any:
    return fleet.call("entry-north-0", "GET", "/v1/state")[1]["peers"]


def generations(fleet: Fleet) -> tuple[int, int]:
    """Return the generations in force at the entry and the agent of region north."""
    _, entry = fleet.call("entry-north-0", "GET", "/v1/state")
    _, agent = fleet.call("entry-north-0", "GET", "/v1/state/exec-north-0")
    return entry["config_generation"], agent["config_generation"]


@given(parsers.parse('region "north" is cut off from the store and from the other region'))
def cut_off(bench: Bench) -> None:
    for forwarder in bench.fleet.forwarder_by_link.values():
        forwarder.set_mode(Mode.CUT)


@when(parsers.parse('a release is applied in region "south"'))
def apply_release(bench: Bench) -> None:
    note = {
        "release": "first",
        "author": "ann",
        "written_against": 0,
        "added": {"teams": {"team-0": {"weight": 2.0}}},
    }
    status, reply = bench.fleet.call("entry-south-0", "POST", "/v1/releases", note)
    assert status == 200, reply


@then('region "north" still has the earlier configuration and serves repeatable requests')
def check_cut_off(bench: Bench) -> None:
    assert generations(bench.fleet) == (0, 0)
    assert bench.send("entry-north-0", repeatable=True).outcome == "completed"


@when(parsers.parse('{link} of region "north" returns'), target_fixture="returned_at")
def return_links(bench: Bench, link: str) -> float:
    for name in LINKS_BY_NAME[link]:
        bench.fleet.forwarder_by_link[name].set_mode(Mode.PASS)
    return time.time()


@then('the release is in force at the entry and at the agent of region "north" within 6 s')
def check_in_force(bench: Bench, returned_at: float) -> None:
    bench.fleet.wait(lambda: generations(bench.fleet) == (1, 1), "not in force", 12.0)
    assert time.time() - returned_at < CONFIG_LIMIT_S
