"""A planned stop of an agent beside an executor that has ended."""

import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec
import pytest
from tests.batch.test_end_proofs import LEASE_S, TASK, WORKER, World
from tests.batch.test_whole_path import wait_until

from chicorycrank.batch.keys import encode, report_key
from chicorycrank.model.batch import EndKind, WorkerState
from chicorycrank.ports.transactions import Write

GRACE_S = 5.0
# The lease, the margins and one write.
PROOF_S = LEASE_S + 2.0
AT_ONCE_S = 0.5


def refuse(world: World) -> None:
    world.executor.fault = "refused"
    wait_until(lambda: world.agent.executor_state.clock.is_refusing)


def drain_and_refuse(world: World) -> None:
    world.beat(state=WorkerState.DRAINING)
    refuse(world)


def announce_exit(world: World) -> None:
    world.beat(state=WorkerState.DRAINING)
    world.executor.fault = "no_response"
    wait_until(lambda: world.agent.executor_state.clock.failed_since is not None)
    world.agent.record_executor_exit(world.agent.report.executor)
    threading.Timer(LEASE_S / 4, lambda: setattr(world.executor, "fault", "refused")).start()


def refuse_while_the_store_is_down(world: World) -> None:
    refuse(world)
    world.store.fault = lambda operation: "refuse" if operation == "commit" else ""
    threading.Timer(PROOF_S, lambda: setattr(world.store, "fault", lambda operation: "")).start()


def refuse_for_a_moment(world: World) -> None:
    refuse(world)
    threading.Timer(LEASE_S / 2, lambda: setattr(world.executor, "fault", "")).start()


def freeze(world: World) -> None:
    world.executor.fault = "no_response"
    wait_until(lambda: world.agent.executor_state.clock.failed_since is not None)


def refuse_without_runs(world: World) -> None:
    world.write_order()
    wait_until(lambda: TASK not in world.agent.table.runs_by_task)
    refuse(world)


def lose_the_registration(world: World) -> None:
    refuse(world)
    late = msgspec.structs.replace(world.report(), checkpoints={TASK: (1, "late")})
    world.store.apply(Write(values={report_key(WORKER): encode(late)}))
    world.beat(state=WorkerState.DRAINING)
    wait_until(lambda: world.agent.dump()["registered"] is False)


def replace_while_the_store_is_down(world: World) -> None:
    refuse(world)
    world.store.fault = lambda operation: "refuse" if operation == "commit" else ""
    world.restart_executor("i-1:2")
    world.beat("i-1:2")
    wait_until(lambda: world.agent.report.incarnation == "i-1:2")
    threading.Timer(LEASE_S, lambda: setattr(world.store, "fault", lambda operation: "")).start()


@dataclass(frozen=True, kw_only=True)
class Case:
    """State of an executor when its agent is stopped.

    :param max_s: time within which the agent has stopped
    """

    prepare: Callable[[World], None]
    ends: tuple[EndKind, ...] = ()
    max_s: float = AT_ONCE_S


CASES = [
    Case(prepare=refuse, ends=(EndKind.CRASHED,), max_s=PROOF_S),
    Case(prepare=drain_and_refuse, ends=(EndKind.LOST,), max_s=PROOF_S),
    Case(prepare=announce_exit, ends=(EndKind.LOST,), max_s=LEASE_S),
    Case(
        prepare=refuse_while_the_store_is_down,
        ends=(EndKind.CRASHED,),
        max_s=GRACE_S,
    ),
    Case(prepare=lose_the_registration, ends=(EndKind.LOST,), max_s=PROOF_S),
    Case(prepare=replace_while_the_store_is_down, ends=(EndKind.CRASHED,), max_s=PROOF_S),
    Case(prepare=refuse_for_a_moment, max_s=LEASE_S),
    Case(prepare=freeze),
    Case(prepare=refuse_without_runs, ends=(EndKind.STOPPED,)),
    Case(prepare=lambda world: None),
]
IDS = [
    "crashed",
    "left",
    "announced",
    "store-down",
    "unregistered",
    "replaced",
    "back",
    "frozen",
    "idle",
    "healthy",
]


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.agent.stop()


@pytest.mark.parametrize("case", CASES, ids=IDS)
def test_a_planned_stop_waits_for_the_proof_that_an_executor_has_ended(
    world: World, case: Case
) -> None:
    """Guards against runs that wait for a lost VM, as their agent stopped before the proof."""
    case.prepare(world)
    started_at = time.monotonic()
    world.agent.stop(GRACE_S)
    assert time.monotonic() - started_at < case.max_s
    assert world.reported_ends() == list(case.ends)
