"""Agents that are stopped as planned, after which their machine may be removed."""

import time
from collections.abc import Iterator

import pytest
from tests.batch.fakes import make_report
from tests.batch.leader_harness import LOST_AFTER_S, LeaderHarness
from tests.batch.test_end_proofs import LEASE_S, TASK, World
from tests.batch.test_lost_workers import OTHER, FakeMachineList, hear_reports
from tests.batch.test_whole_path import wait_until

from chicorycrank.batch.keys import encode, presence_key, report_key, resumption_key
from chicorycrank.batch.leases import LOSS_MARGIN_S, MAX_CLOCK_DRIFT
from chicorycrank.batch.lost_workers import LostWorkerDetector
from chicorycrank.batch.workers import ClosedCause, WorkerRegistry
from chicorycrank.model.ids import TargetId, TaskId
from chicorycrank.policy.cell import Cell
from chicorycrank.ports.transactions import Write

WORKER = TargetId("w")
LEASE_LEFT_S = 5.5
GRACE_S = 2.0


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    # The longest lease, which is assumed after a registration, has expired.
    time.sleep(2.0)
    yield world
    world.agent.stop()


def test_an_agent_that_stops_reports_when_the_lease_expires(world: World) -> None:
    """Guards against work that waits for 20 s after its machine was removed as planned."""
    world.agent.stop(GRACE_S)
    lease_left_s = world.report().lease_left_s
    assert lease_left_s is not None
    assert lease_left_s >= LEASE_S * (1 + MAX_CLOCK_DRIFT)
    assert lease_left_s <= (LEASE_S + 1.2) * (1 + MAX_CLOCK_DRIFT) + LOSS_MARGIN_S
    assert world.report().accepted == {TASK: 1}


def test_a_stopped_agent_grants_no_lease(world: World) -> None:
    """Guards against a second run beside an executor whose lease was extended after the report."""
    granted = []
    extend = world.executor.extend_lease

    def record(**call: object) -> object:
        if call["deadline_ms"] is not None:
            granted.append(time.monotonic())
        return extend(**call)  # type: ignore[arg-type]

    world.executor.extend_lease = record  # type: ignore[assignment,method-assign]
    world.agent.stop(GRACE_S)
    stopped_at = time.monotonic()
    time.sleep(1.5)
    assert [sent_at for sent_at in granted if sent_at > stopped_at] == []


def test_an_agent_that_is_killed_reports_no_lease(world: World) -> None:
    """Guards against a leader that counts from a report of an agent that goes on."""
    world.agent.stop()
    assert world.report().lease_left_s is None


def test_the_next_agent_withdraws_the_report_of_the_stop(world: World) -> None:
    """Guards against a second run beside one whose lease the next agent extends."""
    world.agent.stop(GRACE_S)
    world.restart_agent()
    wait_until(lambda: world.report().lease_left_s is None)
    assert world.report().accepted == {TASK: 1}


@pytest.mark.parametrize(
    ("waited_s", "is_present", "running", "lease_left_s", "is_lost"),
    [
        (LEASE_LEFT_S - 0.1, False, frozenset(), LEASE_LEFT_S, False),
        (LEASE_LEFT_S + 0.1, False, frozenset(), LEASE_LEFT_S, True),
        (LEASE_LEFT_S + 0.1, False, frozenset(), None, False),
        (LEASE_LEFT_S + 0.1, False, frozenset({"i-1"}), LEASE_LEFT_S, False),
        (LEASE_LEFT_S + 0.1, False, None, LEASE_LEFT_S, False),
        (LEASE_LEFT_S + 0.1, True, frozenset(), LEASE_LEFT_S, False),
        (LOST_AFTER_S + 0.1, False, frozenset(), 2 * LOST_AFTER_S, True),
    ],
    ids=["early", "lost", "not-stopped", "listed", "unlisted", "present", "longest"],
)
def test_a_worker_is_lost_once_the_lease_that_its_agent_reported_has_expired(
    waited_s: float,
    is_present: bool,
    running: frozenset[str] | None,
    lease_left_s: float | None,
    is_lost: bool,
) -> None:
    """Guards against a second run under a lease, on a suspended machine, or beside a new agent."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    workers.apply_report(WORKER, make_report("i-1:1", lease_left_s=lease_left_s))
    workers.set_present(WORKER, is_present)
    detector = LostWorkerDetector(FakeMachineList(running), LOST_AFTER_S)
    workers.now_s += waited_s
    assert detector.find_lost(workers, {WORKER}) == ([WORKER] if is_lost else [])


def test_a_worker_whose_agent_has_stopped_gets_no_new_work() -> None:
    """Guards against orders that nobody receives until the presence has expired."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    workers.apply_report(WORKER, make_report("i-1:1", lease_left_s=LEASE_LEFT_S))
    workers.set_present(WORKER, True)
    assert workers.closed_cause(WORKER) is ClosedCause.STOPPED
    workers.apply_report(WORKER, make_report("i-1:1"))
    assert workers.closed_cause(WORKER) is None


@pytest.mark.parametrize("returns", [False, True], ids=["removed", "restarted"])
def test_work_of_a_removed_machine_starts_again_after_its_lease(returns: bool) -> None:
    """Guards against work that waits for an agent that cannot come back, and a second run."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.plan()
    task = TaskId(harness.started_tasks()[0])
    other = {report_key(OTHER): encode(make_report("i-2:1")), presence_key(OTHER): b"1"}
    accepted = make_report(accepted={task: 1})
    present = {presence_key(WORKER): b"1", resumption_key(WORKER): b"1"}
    harness.store.apply(Write(values={**present, **other, report_key(WORKER): encode(accepted)}))
    hear_reports(harness)
    accepted.lease_left_s = LEASE_LEFT_S
    harness.store.apply(Write(values={report_key(WORKER): encode(accepted)}))
    harness.store.apply(Write(deletes=[presence_key(WORKER)]))
    hear_reports(harness)
    harness.clock.seconds += LEASE_LEFT_S - 0.1
    harness.plan()
    assert task not in harness.started_tasks(OTHER)
    if returns:
        # The watch of the leader does not hear of it.
        accepted.lease_left_s = None
        harness.store.apply(Write(values={**present, report_key(WORKER): encode(accepted)}))
    harness.clock.seconds += 0.2
    for _ in range(2):
        harness.plan()
    assert (task in harness.started_tasks(OTHER)) is not returns
