"""Calls to an executor are made in turns of the jobs."""

import threading
from contextlib import nullcontext

import pytest
from tests.batch.fakes import ManualClock, MemoryStore
from tests.incident.scenario import wait_until

from chicorycrank.batch.call_queue import CallQueue
from chicorycrank.batch.cancellation_checks import CancellationChecks
from chicorycrank.batch.evacuation_checks import EvacuationChecks
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
    """Executor that answers no start before it is released, and records their order.

    :ivar starts_before_stop: number of start calls before the first stop call
    """

    def __init__(self) -> None:
        self.is_released = threading.Event()
        self.tasks: list[str] = []
        self.starts_before_stop: int | None = None

    def stop(self, task: TaskId, run: int, fence: int, incarnation: Incarnation) -> bool:
        """Accept a stop."""
        if self.starts_before_stop is None:
            self.starts_before_stop = len(self.tasks)
        return True

    def start(self, order: StartOrder) -> StartAnswer:
        """Record a start and wait."""
        self.tasks.append(order.task)
        self.is_released.wait(CALLS_TIMEOUT_S)
        return StartAnswer.STARTED


def make_table(tasks: list[str]) -> RunTable:
    """Return a table of accepted runs that are to be started."""
    table = RunTable()
    table.apply_order(
        WorkOrder(
            incarnation=INCARNATION,
            assignments=tuple(Assignment(task=TaskId(task), run=1) for task in tasks),
        ),
        INCARNATION,
        may_be_present=False,
    )
    table.record_accepted({TaskId(task): 1 for task in tasks})
    return table


def make_driver(
    executor: BlockedExecutor, table: RunTable, lock: threading.Condition, stop: threading.Event
) -> RunDriver:
    """Return a driver whose calls are all permitted."""
    context = CallContext(
        incarnation=INCARNATION,
        is_registered=True,
        is_reachable=True,
        may_start=True,
        is_ready=True,
        fence=1,
        deadline_ms=1,
    )
    clock = ManualClock()
    checks = CancellationChecks(MemoryStore(), clock)
    return RunDriver(
        executor,  # type: ignore[arg-type]
        clock,
        table,
        checks,
        EvacuationChecks(MemoryStore(), clock, ""),
        lock,
        stop,
        get_context=lambda: context,
        granting=lambda _: nullcontext(),
        has_room=lambda _: True,
        on_fenced=lambda _: None,
    )


def test_a_start_does_not_wait_for_the_starts_of_another_job() -> None:
    """Guards against a small job that starts seconds late, behind the tasks of a large one."""
    table = make_table([*(f"large.0.0.{number}" for number in range(200)), "small.0.0.0"])
    executor, lock, stop = BlockedExecutor(), threading.Condition(), threading.Event()
    driver = make_driver(executor, table, lock, stop)
    with lock:
        driver.submit_calls()
    wait_until(lambda: len(executor.tasks) == MAX_CONCURRENT_CALLS, CALLS_TIMEOUT_S)
    assert "small.0.0.0" in executor.tasks
    stop.set()
    executor.is_released.set()


def test_a_stop_does_not_wait_for_the_starts_of_its_job() -> None:
    """Guards against an urgent job that waits for the room of a run whose job starts others."""
    table = make_table([f"large.0.0.{number}" for number in range(200)])
    running = table.runs_by_task[TaskId("large.0.0.199")]
    running.started_at = running.first_called_at = 1.0
    executor, lock, stop = BlockedExecutor(), threading.Condition(), threading.Event()
    driver = make_driver(executor, table, lock, stop)
    with lock:
        driver.submit_calls()
    wait_until(lambda: len(executor.tasks) == MAX_CONCURRENT_CALLS, CALLS_TIMEOUT_S)
    with lock:
        running.should_stop = True
        driver.submit_calls()
    executor.is_released.set()
    wait_until(lambda: executor.starts_before_stop is not None, CALLS_TIMEOUT_S)
    stop.set()
    assert executor.starts_before_stop is not None
    assert executor.starts_before_stop <= 4 * MAX_CONCURRENT_CALLS
