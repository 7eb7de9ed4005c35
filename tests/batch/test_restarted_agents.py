"""Agents that are restarted beside an executor that does not answer them, or not yet."""

import time
from collections.abc import Iterator
from typing import Any

import pytest
from tests.batch.test_end_proofs import MAX_LEASE_S, TASK, World
from tests.batch.test_whole_path import wait_until

from chicorycrank.batch.keys import decode, report_key
from chicorycrank.batch.leases import LOSS_MARGIN_S, MAX_CLOCK_DRIFT
from chicorycrank.model.batch import EndKind, WorkerReport, WorkerState

WORKER_CLOSE_LIMIT_S = 1.0
# The longest lease that an earlier process may have granted has expired, and a call has failed.
PROOF_LIMIT_S = MAX_LEASE_S * (1 + MAX_CLOCK_DRIFT) + LOSS_MARGIN_S + 2.0


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.agent.stop()


def ends_of(world: World) -> list[tuple[int, EndKind]]:
    """Return run number and kind of the reported ends."""
    return [(end.run, end.kind) for end in world.report().ends]


@pytest.mark.parametrize(
    "restart_delays_s",
    [(0.0,), (0.4,), (0.0, 0.3, 0.3)],
    ids=["at-once", "before-the-proof", "three-times"],
)
@pytest.mark.parametrize(
    ("state", "kind"),
    [(WorkerState.READY, EndKind.CRASHED), (WorkerState.DRAINING, EndKind.LOST)],
    ids=["ready", "draining"],
)
def test_work_of_a_lost_executor_ends_although_its_agent_was_restarted(
    world: World, restart_delays_s: tuple[float, ...], state: WorkerState, kind: EndKind
) -> None:
    """Guards against work that waits for ever for an executor that sends no heartbeat any more."""
    world.beat(state=state)
    wait_until(lambda: world.report().state is state)
    world.executor.fault = "refused"
    for delay_s in restart_delays_s:
        time.sleep(delay_s)
        world.restart_agent()
    wait_until(lambda: world.report().is_unreachable, WORKER_CLOSE_LIMIT_S)
    wait_until(lambda: ends_of(world) == [(1, kind)], PROOF_LIMIT_S)
    assert world.report().is_unreachable


def test_no_run_ends_while_its_executor_may_live_under_a_lease(world: World) -> None:
    """Guards against a second run beside an executor that refuses a restarted agent for a while."""
    world.executor.fault = "refused"
    world.restart_agent()
    time.sleep(MAX_LEASE_S)
    assert ends_of(world) == []
    world.executor.fault = ""
    wait_until(lambda: not world.report().is_unreachable, PROOF_LIMIT_S)
    assert (ends_of(world), world.report().accepted) == ([], {TASK: 1})


def test_silence_is_no_proof_for_a_restarted_agent(world: World) -> None:
    """Guards against a second run beside a suspended executor, whose lease does not expire."""
    world.executor.fault = "no_response"
    world.restart_agent()
    time.sleep(PROOF_LIMIT_S)
    assert ends_of(world) == []


def test_a_restarted_agent_knows_the_runs_of_its_executor_before_a_heartbeat_comes(
    world: World,
) -> None:
    """Guards against leases that expire, and starts on a worker whose capacity has shrunk."""
    world.restart_agent()
    wait_until(lambda: TASK in world.agent.table.runs_by_task)
    world.write_order(1, 2)
    time.sleep(0.5)
    assert world.executor.started == [(TASK, 1)]
    assert world.report().accepted == {TASK: 1}


def test_attempts_to_register_a_lost_executor_are_rare(world: World) -> None:
    """Guards against hundreds of agents that read their reports several times a second."""
    world.executor.fault = "refused"
    world.restart_agent()
    wait_until(lambda: world.report().is_unreachable)
    key = report_key(world.agent._worker)
    reads: list[Any] = []
    read = world.store.read

    def count(key_read: str, *, timeout_s: float = 1.0) -> Any:
        if key_read == key:
            reads.append(key_read)
        return read(key_read, timeout_s=timeout_s)

    world.store.read = count  # type: ignore[assignment,method-assign]
    time.sleep(2.5)
    assert len(reads) <= 4


def test_a_restarted_agent_registers_the_next_incarnation(world: World) -> None:
    """Guards against an agent that waits for the incarnation of its stored report."""
    world.executor.fault = "refused"
    world.restart_agent()
    wait_until(lambda: world.report().is_unreachable)
    world.restart_executor()
    world.beat("i-1:2")
    wait_until(lambda: world.report().incarnation == "i-1:2", 1.0)
    assert ends_of(world) == [(1, EndKind.CRASHED)]
    item = world.store.items[report_key(world.agent._worker)]
    assert decode(item.value or b"", WorkerReport).is_unreachable is False


def test_a_restarted_agent_that_is_stopped_reports_the_ends_first(world: World) -> None:
    """Guards against work that waits for the whole machine to be lost after a planned stop."""
    world.executor.fault = "refused"
    world.restart_agent()
    wait_until(lambda: world.report().is_unreachable)
    world.agent.stop(PROOF_LIMIT_S)
    assert ends_of(world) == [(1, EndKind.CRASHED)]
