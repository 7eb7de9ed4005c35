"""Calls to an executor are made in turns of the jobs."""

import threading
from contextlib import nullcontext

import pytest
from tests.batch.fakes import ManualClock
from tests.incident.scenario import wait_until

from chicorycrank.batch.call_queue import CallQueue
from chicorycrank.batch.run import Run
from chicorycrank.batch.run_driver import MAX_CONCURRENT_CALLS, CallContext, RunDriver
from chicorycrank.batch.runs import RunTable
from chicorycrank.model.batch import Assignment, WorkOrder
from chicorycrank.model.ids import Incarnation, TaskId
from chicorycrank.ports.executor import StartAnswer, StartOrder

INCARNATION = Incarnation("i-1:1")
CALLS_TIMEOUT_S = 5.0


def make_run(task: str) -> Run:
    assignment = Assignment(task=TaskId(task), run=1)
    return Run(assignment=assignment, incarnation=INCARNATION, is_accepted=True)


@pytest.mark.parametrize(
    ("added", "taken"),
    [
        (["a.0.0.0", "a.0.0.1", "a.0.0.2"], ["a.0.0.0", "a.0.0.1", "a.0.0.2"]),
        (["a.0.0.0", "a.0.0.1", "b.0.0.0"], ["a.0.0.0", "b.0.0.0", "a.0.0.1"]),
        (
            ["a.0.0.0", "a.0.0.1", "a.0.0.2", "b.0.0.0", "b.0.0.1", "c.0.0.0"],
            ["a.0.0.0", "b.0.0.0", "c.0.0.0", "a.0.0.1", "b.0.0.1", "a.0.0.2"],
        ),
    ],
    ids=["one-job", "small-job", "three-jobs"],
)
def test_jobs_take_turns(added: list[str], taken: list[str]) -> None:
    """Guards against a run that waits for the calls of all runs of another job."""
    queue = CallQueue()
    for task in added:
        queue.add(make_run(task))
    assert [queue.take().assignment.task for _ in added] == taken


class BlockedExecutor:
    """Executor that answers no start before it is released, and records their order."""

    def __init__(self) -> None:
        self.is_released = threading.Event()
        self.tasks: list[str] = []

    def start(self, order: StartOrder) -> StartAnswer:
        """Record a start and wait."""
        self.tasks.append(order.task)
        self.is_released.wait(CALLS_TIMEOUT_S)
        return StartAnswer.STARTED


def test_a_start_does_not_wait_for_the_starts_of_another_job() -> None:
    """Guards against a small job that starts seconds late, behind the tasks of a large one."""
    tasks = [*(f"large.0.0.{number}" for number in range(200)), "small.0.0.0"]
    assignments = tuple(Assignment(task=TaskId(task), run=1) for task in tasks)
    table = RunTable()
    table.apply_order(
        WorkOrder(incarnation=INCARNATION, assignments=assignments),
        INCARNATION,
        may_be_present=False,
    )
    table.record_accepted({TaskId(task): 1 for task in tasks})
    executor, lock, stop = BlockedExecutor(), threading.Condition(), threading.Event()
    context = CallContext(
        incarnation=INCARNATION,
        is_registered=True,
        may_start=True,
        is_ready=True,
        fence=1,
        deadline_ms=1,
    )
    driver = RunDriver(
        executor,  # type: ignore[arg-type]
        ManualClock(),
        table,
        lock,
        stop,
        get_context=lambda: context,
        granting=lambda _: nullcontext(),
        has_room=lambda _: True,
        on_fenced=lambda _: None,
    )
    with lock:
        driver.submit_calls()
    wait_until(lambda: len(executor.tasks) == MAX_CONCURRENT_CALLS, CALLS_TIMEOUT_S)
    assert "small.0.0.0" in executor.tasks
    stop.set()
    executor.is_released.set()
