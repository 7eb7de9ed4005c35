"""HTTP calls of the platform adapter to stand-ins of the store and an executor."""

import json
import random
import time
from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from chicorycrank.model.batch import EndKind
from chicorycrank.model.ids import Incarnation, TaskId
from chicorycrank.platform.client import PlatformClient
from chicorycrank.platform.executor import PlatformExecutor
from chicorycrank.platform.store import PlatformStore
from chicorycrank.ports.executor import (
    ExecutorUnreachableError,
    OtherIncarnationError,
    StartAnswer,
    StartOrder,
)
from chicorycrank.ports.transactions import (
    MISSING,
    Committed,
    Conflict,
    HistoryLostError,
    Lease,
    LeaseEndedError,
    Revision,
    StoreUnavailableError,
    Write,
)
from chicorycrank_standin.background import HOST, free_port, serve_in_background
from chicorycrank_standin.http import Handler, json_response
from chicorycrank_standin.platform.executor import BatchExecutorStandIn
from chicorycrank_standin.platform.kv_store import KvStoreStandIn, StoreMode
from chicorycrank_standin.platform.run_recorder import RunRecorder

TIMEOUT_S = 2.0
# Ids have the form ``<job id>.<occurrence>.<step>.<index of the task>``.
TASK = TaskId("00000000000000aa.0.0.0")
LEASE_END_MS = 9_000

Serve = Callable[[dict[str, Handler]], str]


@pytest.fixture
def serve() -> Iterator[Serve]:
    servers = []

    def start(routes: dict[str, Handler]) -> str:
        server, address = serve_in_background(routes)
        servers.append(server)
        return address

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def store_standin() -> KvStoreStandIn:
    return KvStoreStandIn(random.Random(1))


@pytest.fixture
def store(store_standin: KvStoreStandIn, serve: Serve) -> PlatformStore:
    return PlatformStore(PlatformClient(serve(store_standin.routes())))


def write_key(
    store: PlatformStore, key: str, value: bytes, revision: Revision = MISSING
) -> Revision:
    answer = store.commit(Write(expected={key: revision}, values={key: value}))
    assert isinstance(answer, Committed)
    return answer.revision


def test_conflicting_write_returns_the_current_items(store: PlatformStore) -> None:
    """Guards against a conflict whose current items are not decoded."""
    revision = write_key(store, "own/a", b"\x00one")
    answer = store.commit(Write(expected={"own/a": MISSING}, values={"own/a": b"two"}))
    assert isinstance(answer, Conflict)
    assert (answer.items["own/a"].value, answer.items["own/a"].revision) == (b"\x00one", revision)
    write_key(store, "own/a", b"two", revision)
    item = store.read("own/a")
    assert item is not None
    assert item.value == b"two"
    assert store.read("own/b") is None


def test_watch_continues_from_the_revision_of_read_all(store: PlatformStore) -> None:
    """Guards against missing changes that are made between ``read_all`` and the watch."""
    write_key(store, "own/a", b"1")
    listed = store.read_all("own/")
    assert [item.key for item in listed.items] == ["own/a"]
    write_key(store, "own/b", b"2")
    store.commit(Write(deletes=["own/a"]))
    write_key(store, "other", b"3")
    changes = store.watch("own/", listed.revision, TIMEOUT_S)
    assert [(item.key, item.value) for item in changes.items] == [("own/b", b"2"), ("own/a", None)]
    assert store.watch("own/", changes.revision, 0.0).items == []


def test_watch_of_discarded_history_raises_history_lost(
    store: PlatformStore, store_standin: KvStoreStandIn
) -> None:
    """Guards against retrying a watch for ever after the store has discarded its revision."""
    write_key(store, "own/a", b"1")
    store_standin.discard_history()
    with pytest.raises(HistoryLostError):
        store.watch("own/", Revision(1), 0.0)


def test_keys_are_deleted_with_their_lease(store: PlatformStore) -> None:
    """Guards against a key that outlives its lease."""
    lease = store.grant(TIMEOUT_S)
    store.commit(Write(values={"own/a": b"1"}, leases={"own/a": lease}))
    assert store.renew(lease)
    store.revoke(lease)
    assert store.read("own/a") is None
    assert not store.renew(lease)
    with pytest.raises(LeaseEndedError):
        store.commit(Write(values={"own/a": b"1"}, leases={"own/a": Lease(lease)}))


@pytest.mark.parametrize(
    ("mode", "has_no_effect", "is_written"),
    [(StoreMode.BUSY, True, False), (StoreMode.LOSSY, False, True)],
)
def test_refused_write_is_distinguished_from_a_lost_response(
    store: PlatformStore,
    store_standin: KvStoreStandIn,
    mode: StoreMode,
    has_no_effect: bool,
    is_written: bool,
) -> None:
    """Guards against reporting no effect for a write that the store has applied."""
    store_standin.lost_response_share = 1.0
    store_standin.mode = mode
    with pytest.raises(StoreUnavailableError) as error:
        write_key(store, "own/a", b"1")
    store_standin.mode = StoreMode.NORMAL
    assert error.value.has_no_effect is has_no_effect
    assert (store.read("own/a") is not None) is is_written


def start_order(run: int, fence: int, incarnation: Incarnation) -> StartOrder:
    return StartOrder(
        task=TASK,
        run=run,
        payload=json.dumps({"seconds": 0.05, "members": 1, "accelerators": 1}),
        checkpoint="",
        ticket="",
        deadline_ms=LEASE_END_MS,
        fence=fence,
        incarnation=incarnation,
    )


@pytest.fixture
def executor(serve: Serve) -> tuple[PlatformExecutor, BatchExecutorStandIn]:
    executor_standin = BatchExecutorStandIn(
        "executor", f"{HOST}:{free_port()}", RunRecorder(), random.Random(1), accelerators=8
    )
    return PlatformExecutor(PlatformClient(serve(executor_standin.routes()))), executor_standin


def test_answers_of_the_executor_are_decoded(
    executor: tuple[PlatformExecutor, BatchExecutorStandIn],
) -> None:
    """Guards against decoding a response to the wrong ``StartAnswer``, end or exception."""
    client, executor_standin = executor
    # An incarnation is ``<executor id>:<start time in milliseconds>``; calls send the id only.
    incarnation = Incarnation("executor-1:0")
    assert client.start(start_order(1, 2, incarnation)) is StartAnswer.STARTED
    assert client.start(start_order(2, 1, incarnation)) is StartAnswer.FENCED
    status = client.extend_lease(
        fence=2,
        last_acknowledged_end=0,
        deadline_ms=LEASE_END_MS,
        wait_s=1.0,
        incarnation=incarnation,
    )
    (end,) = status.ends
    assert (end.number, end.end.task, end.end.kind) == (1, TASK, EndKind.DONE)
    assert client.start(start_order(1, 2, incarnation)) is StartAnswer.OUTDATED
    with pytest.raises(PermissionError):
        client.extend_lease(
            fence=1, last_acknowledged_end=0, deadline_ms=None, wait_s=0.0, incarnation=incarnation
        )
    assert not client.stop(TASK, 1, 1, incarnation)
    executor_standin.crash()
    with pytest.raises(OtherIncarnationError):
        client.extend_lease(
            fence=2, last_acknowledged_end=1, deadline_ms=None, wait_s=0.0, incarnation=incarnation
        )


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (400, StartAnswer.INVALID),
        (429, StartAnswer.UNHEALTHY),
        (503, StartAnswer.UNHEALTHY),
        (500, StartAnswer.ERROR),
        (502, StartAnswer.ERROR),
    ],
)
def test_only_the_answers_that_the_pages_name_say_that_nothing_was_done(
    serve: Serve, status: int, expected: StartAnswer
) -> None:
    """Guards against a start that is taken for one without effect, as its answer is an error."""
    routes: dict[str, Handler] = {
        "POST /-/run-start": lambda request: json_response({}, status=status)
    }
    client = PlatformExecutor(PlatformClient(serve(routes)))
    assert client.start(start_order(1, 1, Incarnation("executor-1:0"))) is expected


@pytest.mark.parametrize("is_answered", [False, True])
def test_an_executor_crashes_under_a_harmful_task_and_is_back_later(
    executor: tuple[PlatformExecutor, BatchExecutorStandIn],
    monkeypatch: pytest.MonkeyPatch,
    is_answered: bool,
) -> None:
    """Guards against a stand-in that survives a harmful task or answers while it is down."""
    client, executor_standin = executor
    module = "chicorycrank_standin.platform.executor"
    monkeypatch.setattr(f"{module}.DOWN_RANGE_S", (0.3, 0.3))
    monkeypatch.setattr(f"{module}.ANSWERED_CRASH_SHARE", float(is_answered))
    payload = json.dumps({"seconds": 1, "members": 1, "accelerators": 1, "crashes": True})
    order = replace(start_order(1, 2, Incarnation("executor-1:0")), payload=payload)
    if is_answered:
        assert client.start(order) is StartAnswer.STARTED
        time.sleep(0.1)
    for _ in range(1 if is_answered else 2):
        with pytest.raises(ExecutorUnreachableError):
            client.start(order)
    time.sleep(0.4)
    with pytest.raises(OtherIncarnationError):
        client.start(order)
    assert executor_standin.run_recorder.crashes_by_task == {TASK: 1}


@pytest.mark.parametrize("is_noticed", [False, True])
def test_a_start_beyond_a_smaller_capacity_is_a_violation_once_it_must_be_known(
    executor: tuple[PlatformExecutor, BatchExecutorStandIn],
    monkeypatch: pytest.MonkeyPatch,
    is_noticed: bool,
) -> None:
    """Guards against a soak that misses starts beyond a capacity that has shrunk."""
    client, executor_standin = executor
    notice_s = 0.0 if is_noticed else 60.0
    monkeypatch.setattr("chicorycrank_standin.platform.executor.CAPACITY_NOTICE_S", notice_s)
    executor_standin.set_capacity(0)
    order = start_order(1, 2, Incarnation("executor-1:0"))
    assert client.start(order) is StartAnswer.STARTED
    assert len(executor_standin.run_recorder.violations) == is_noticed
    executor_standin.set_capacity(None)
    assert client.start(replace(order, task=TaskId("other"))) is StartAnswer.STARTED
    assert len(executor_standin.run_recorder.violations) == is_noticed
