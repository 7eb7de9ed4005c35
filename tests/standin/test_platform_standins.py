"""The stand-ins of the platform play what the pages of the platform allow."""

import json
import random
import threading
import time
from base64 import b64encode
from collections.abc import Iterator
from typing import Any

import pytest
import urllib3
from cheroot.wsgi import Server

from chicorycrank_standin.background import serve_in_background
from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response
from chicorycrank_standin.platform.executor import BatchExecutorStandIn, ExecutorMode
from chicorycrank_standin.platform.incarnation import MAX_LISTED_ENDS
from chicorycrank_standin.platform.kv_store import MAX_ENTRIES, MAX_VALUE_BYTES, KvStoreStandIn
from chicorycrank_standin.platform.run_recorder import RunRecorder

TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
FAR_MS = 1_000_000


def call(
    address: str, method: str, path: str, body: Any = None, *, timeout_s: float = TIMEOUT_S
) -> urllib3.BaseHTTPResponse:
    data = None if body is None else json.dumps(body)
    url = f"http://{address}{path}"
    return urllib3.request(method, url, body=data, timeout=timeout_s, retries=False)


def wait_until(condition: Any) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_INTERVAL_S)


class ExecutorUnderTest:
    """Executor with a server in place of its agent, which records the calls."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, str, Any]] = []
        routes: dict[str, Handler] = {"(PUT|DELETE) /-/instances/(.+)": self._record}
        agent_server, agent_address = serve_in_background(routes)
        self.executor = BatchExecutorStandIn(
            "executor", agent_address, RunRecorder(), random.Random(1), accelerators=8
        )
        server, self.address = serve_in_background(self.executor.routes())
        self.servers: list[Server] = [agent_server, server]

    def _record(self, request: HttpRequest) -> HttpResponse:
        self.messages.append((request.method, request.path_parameters[1], request.json()))
        return json_response({})

    def start(
        self, task: str, *, seconds: float = 60.0, deadline_ms: int = FAR_MS
    ) -> urllib3.BaseHTTPResponse:
        """Order the first run of a task."""
        spec = json.dumps({"seconds": seconds, "members": 1, "accelerators": 0})
        body = {"task": task, "run": 1, "spec": spec, "deadlineMs": deadline_ms}
        return call(self.address, "POST", "/-/run-start", body)

    def hold(self, **fields: Any) -> dict[str, Any]:
        """Extend the lease and return what the executor lists."""
        body = {"lastSeen": 0, "deadlineMs": FAR_MS, **fields}
        return dict(call(self.address, "POST", "/-/hold", body).json())

    def close(self) -> None:
        """Stop the executor and the servers."""
        self.executor.close()
        for server in self.servers:
            server.stop()


@pytest.fixture
def executor() -> Iterator[ExecutorUnderTest]:
    executor = ExecutorUnderTest()
    yield executor
    executor.close()


def test_a_draining_executor_says_so_and_leaves_with_a_notice(executor: ExecutorUnderTest) -> None:
    """Guards against a drain that ends without the exit notice or keeps its runs."""
    assert executor.start("job.0.0.0").status == 200
    executor.executor.drain(0.5, down_s=0.2)
    wait_until(lambda: any(method == "DELETE" for method, _, _ in executor.messages))
    draining = [body for _, _, body in executor.messages if body.get("state") == "draining"]
    assert draining and 0 <= draining[0]["remainingMs"] <= 500
    (run,) = executor.executor.run_recorder.runs
    assert run.end_kind == "left"
    wait_until(lambda: executor.executor.is_up)
    assert executor.hold()["running"] == []


@pytest.mark.parametrize(
    ("stops_clock", "end_kind"), [(True, ""), (False, "lapsed")], ids=["machine", "executor"]
)
def test_the_clock_of_a_frozen_executor_stands_still_with_its_machine(
    executor: ExecutorUnderTest, stops_clock: bool, end_kind: str
) -> None:
    """Guards against a lease that expires on a suspended machine, or not beside a running one."""
    freeze_s = 1.5
    clock_ms = executor.hold(deadlineMs=0)["clockMs"]
    executor.start("job.0.0.0", deadline_ms=clock_ms + 1000)
    freeze = threading.Thread(
        target=executor.executor.freeze, args=(freeze_s,), kwargs={"stops_clock": stops_clock}
    )
    freeze.start()
    time.sleep(0.1)
    answer = executor.hold(deadlineMs=clock_ms + 4000)
    assert not freeze.is_alive()
    assert (answer["clockMs"] - clock_ms < freeze_s * 1000 * 0.9) == stops_clock
    (run,) = executor.executor.run_recorder.runs
    assert run.end_kind == end_kind


@pytest.mark.parametrize("stops_clock", [True, False])
def test_a_poll_that_waits_as_an_executor_freezes_is_answered_after_the_thaw(
    executor: ExecutorUnderTest, stops_clock: bool
) -> None:
    """Guards against a clock that goes back, as it is told by a machine that is suspended."""
    freeze_s, wait_s = 1.5, 0.6
    answers: list[tuple[float, int]] = []

    def poll() -> None:
        answer = executor.hold(deadlineMs=0, waitMs=round(wait_s * 1000))
        answers.append((time.monotonic(), answer["clockMs"]))

    waiting = threading.Thread(target=poll)
    waiting.start()
    time.sleep(wait_s / 2)
    frozen_at = time.monotonic()
    executor.executor.freeze(freeze_s, stops_clock=stops_clock)
    waiting.join()
    clock_ms = executor.hold(deadlineMs=0)["clockMs"]
    ((answered_at, answered_clock_ms),) = answers
    assert answered_at - frozen_at >= freeze_s
    assert answered_clock_ms <= clock_ms


def test_an_executor_lists_at_most_500_ends(executor: ExecutorUnderTest) -> None:
    """Guards against an agent that relies on one answer with all ends."""
    for number in range(MAX_LISTED_ENDS + 1):
        assert executor.start(f"job.0.0.{number}", seconds=0.0).status == 200
    wait_until(lambda: not executor.hold()["running"])
    first = executor.hold()["finished"]
    assert len(first) == MAX_LISTED_ENDS
    assert len(executor.hold(lastSeen=first[-1][0])["finished"]) == 1


def test_refused_starts_name_their_reason(executor: ExecutorUnderTest) -> None:
    """Guards against a stand-in that carries out outdated orders."""
    assert executor.start("job.0.0.0", deadline_ms=0).json()["reason"] == "late"
    call(executor.address, "POST", "/-/run-stop", {"task": "job.0.0.1", "run": 1})
    assert executor.start("job.0.0.1").json()["reason"] == "old"
    executor.hold(fencingToken=2)
    assert executor.start("job.0.0.2").json()["reason"] == "fence"
    executor.executor.mode = ExecutorMode.UNHEALTHY
    statuses = {executor.start("job.0.0.3").status for _ in range(20)}
    assert statuses & {429, 503}
    assert executor.executor.run_recorder.runs == []


def test_both_runs_of_a_task_on_one_executor_are_listed_and_reported(
    executor: ExecutorUnderTest,
) -> None:
    """Guards against a second run that hides the first one."""
    spec = json.dumps({"seconds": 60, "members": 1, "accelerators": 0})
    for run in (1, 2):
        body = {"task": "job.0.0.0", "run": run, "spec": spec, "deadlineMs": FAR_MS}
        call(executor.address, "POST", "/-/run-start", body)
    assert [row[1] for row in executor.hold()["running"]] == [1, 2]
    assert len(executor.executor.run_recorder.violations) == 1


@pytest.fixture
def store() -> Iterator[tuple[KvStoreStandIn, str]]:
    store = KvStoreStandIn(random.Random(1))
    server, address = serve_in_background(store.routes())
    yield store, address
    server.stop()


def test_watches_hear_nothing_before_the_history_is_discarded(
    store: tuple[KvStoreStandIn, str],
) -> None:
    """Guards against a compaction that answers a watch between a change and its loss."""
    stand_in, address = store
    answers: list[object] = []

    def watch() -> None:
        try:
            answers.append(call(address, "GET", "/-/kv-watch?prefix=a&after=1&waitMs=100").status)
        except urllib3.exceptions.HTTPError:
            answers.append("cut")

    body = {"setKeys": [{"key": "a", "value": ""}]}
    watcher = threading.Thread(target=watch)
    with stand_in.compacting():
        assert call(address, "POST", "/-/kv-txn", body).status == 200
        watcher.start()
        time.sleep(0.5)
        assert call(address, "GET", "/-/kv-key?key=a").status == 200
        assert answers == []
    watcher.join()
    assert answers == ["cut"]
    assert call(address, "GET", "/-/kv-watch?prefix=a&after=1&waitMs=100").status == 410


@pytest.mark.parametrize(
    ("values", "status"),
    [
        ([MAX_VALUE_BYTES], 200),
        ([MAX_VALUE_BYTES + 1], 400),
        ([1] * MAX_ENTRIES, 200),
        ([1] * (MAX_ENTRIES + 1), 400),
    ],
)
def test_the_store_refuses_long_values_and_many_entries(
    store: tuple[KvStoreStandIn, str], values: list[int], status: int
) -> None:
    """Guards against writes that only the users' store refuses."""
    _, address = store
    rows = [
        {"key": f"k{number}", "value": b64encode(bytes(size)).decode()}
        for number, size in enumerate(values)
    ]
    assert call(address, "POST", "/-/kv-txn", {"setKeys": rows}).status == status
