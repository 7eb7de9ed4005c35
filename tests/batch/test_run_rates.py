"""Rates of runs, as an agent measures and reports them."""

from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any

import msgspec
import pytest
from tests.batch.fakes import FakeExecutor, MemoryStore, make_report
from tests.batch.test_whole_path import wait_until

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.keys import decode, encode, order_key, report_key
from chicorycrank.batch.reported_runs import RATE_REPORT_INTERVAL_S
from chicorycrank.batch.runs import RunTable
from chicorycrank.model.batch import Assignment, EndKind, TaskEnd, WorkerReport, WorkOrder
from chicorycrank.model.ids import Incarnation, TargetId, TaskId
from chicorycrank.ports.executor import ExecutorStatus, NumberedEnd, RunningTask
from chicorycrank.ports.transactions import Write

INCARNATION = Incarnation("i-1:1")
TASK = TaskId("a.0.0.0")
RUN_TIME_S = 13.0

Percent = Callable[[float], float]


def make_run(run_time_s: float = RUN_TIME_S, **changes: object) -> Assignment:
    assignment = Assignment(task=TASK, run=1, run_time_s=run_time_s)
    return msgspec.structs.replace(assignment, **changes)


def make_table(*assignments: Assignment) -> RunTable:
    table = RunTable()
    table.apply_order(WorkOrder(incarnation=INCARNATION, assignments=assignments), INCARNATION)
    return table


def poll(
    table: RunTable,
    at: float,
    percents: Sequence[tuple[TaskId, float]],
    *,
    wait_s: float = 0.0,
    ends: Sequence[TaskEnd] = (),
) -> None:
    """Apply a status that was requested ``wait_s`` before the executor made it."""
    status = ExecutorStatus(
        incarnation=INCARNATION,
        clock_ms=5_000 + round(at * 1000),
        running=[RunningTask(t, 1, "", int(min(100.0, percent)), 0.0) for t, percent in percents],
        ends=[NumberedEnd(number, end) for number, end in enumerate(ends, start=1)],
    )
    table.apply_status(status, 100.0 + at - wait_s)


def rates_of(
    assignment: Assignment, percent_at: Percent, *, end_s: float = 12.0, poll_s: float = 1.0
) -> list[tuple[float, int]]:
    """Return the reported rates of a run, with the times at which they were first reported.

    Every other status waits in the executor for as long as a long poll does.
    """
    table = make_table(assignment)
    rates: list[tuple[float, int]] = []
    for number in range(int(end_s / poll_s) + 1):
        at = number * poll_s
        poll(table, at, [(TASK, percent_at(at))], wait_s=poll_s * (number % 2))
        _, rate = table.work_rates.get(TASK, (0, 0))
        if rate and (not rates or rates[-1][1] != rate):
            rates.append((at, rate))
    return rates


def steady(rate: float, *, wait_s: float = 0.0, run_time_s: float = RUN_TIME_S) -> Percent:
    return lambda at: 100 * rate * max(0.0, at - wait_s) / run_time_s


@pytest.mark.parametrize("poll_s", [0.25, 1.0])
@pytest.mark.parametrize("rate", [0.3, 0.7, 1.0, 1.7, 2.5])
@pytest.mark.parametrize("wait_s", [0.0, 3.3])
def test_a_rate_is_measured_without_the_time_before_the_work(
    rate: float, wait_s: float, poll_s: float
) -> None:
    """Guards against a worker that looks slow, as its runs have waited for a gang."""
    percent_at = steady(rate, wait_s=wait_s)
    at, percent = rates_of(make_run(), percent_at, poll_s=poll_s)[0]
    assert at >= wait_s + 1.5
    assert percent_at(at) >= 5
    assert percent == pytest.approx(100 * rate, rel=0.2)


@pytest.mark.parametrize("rate", [0.7, 1.0, 1.7])
def test_a_steady_rate_is_reported_once(rate: float) -> None:
    """Guards against a write to the store for each status."""
    assert len(rates_of(make_run(60.0), steady(rate, run_time_s=60.0), end_s=30.0)) == 1


@pytest.mark.parametrize("slow_rate", [0.0, 0.1, 0.5])
def test_a_run_that_turns_slow_and_recovers_is_reported_as_such(slow_rate: float) -> None:
    """Guards against a slow worker that keeps the speed which it had before."""

    def percent_at(at: float) -> float:
        slow_s = min(max(0.0, at - 8.0), 8.0)
        return 100 * (at - slow_s + slow_rate * slow_s) / 60.0

    rates = rates_of(make_run(60.0), percent_at, end_s=30.0)
    lowest = min(rate for _, rate in rates)
    assert lowest <= 100 * slow_rate + 20
    assert any(rate == lowest and at <= 16.0 for at, rate in rates)
    assert rates[-1][1] == pytest.approx(100, rel=0.2)
    times = [at for at, _ in rates]
    assert all(b - a >= RATE_REPORT_INTERVAL_S for a, b in pairwise(times))


@pytest.mark.parametrize(
    "assignment",
    [
        make_run(long_running=True),
        make_run(fills=True),
        make_run(target_latency_s=0.1),
        make_run(0.0),
    ],
    ids=["long-running", "filling", "serving", "not-declared"],
)
def test_other_tasks_have_no_rate(assignment: Assignment) -> None:
    """Guards against speeds that are learned from the pace of a task or from no run time."""
    assert rates_of(assignment, steady(1.0)) == []


def test_a_task_that_waits_at_100_percent_keeps_its_rate() -> None:
    """Guards against a fast worker that looks slow while its member waits for others."""
    rates = rates_of(make_run(), steady(2.0), end_s=30.0)
    assert [rate for _, rate in rates] == [pytest.approx(200, rel=0.2)]


def test_a_resumed_task_has_not_done_its_saved_work_at_once() -> None:
    """Guards against a worker that looks fast, as it has restored a checkpoint."""
    rates = rates_of(
        make_run(checkpoint="c"), lambda at: 0 if at < 0.6 else 40 + steady(1.0)(at - 0.6)
    )
    assert [rate for _, rate in rates] == [pytest.approx(100, rel=0.2)]


@pytest.mark.parametrize("count", [1, 8])
def test_rates_alone_cause_few_reports(count: int) -> None:
    """Guards against a worker whose report is written for each of its runs."""
    tasks = [TaskId(f"a.0.0.{index}") for index in range(count)]
    table = make_table(*[make_run(task=task) for task in tasks])
    changed_at = []
    for number in range(25):
        at, before = number * 0.5, table.work_rates
        # The runs begin at different times and have different speeds.
        percents = [
            (task, steady(0.7 + 0.1 * index, wait_s=0.3 * index)(at))
            for index, task in enumerate(tasks)
        ]
        poll(table, at, percents)
        if table.work_rates != before:
            changed_at.append(at)
    assert len(table.work_rates) == count
    assert all(b - a >= 2.0 for a, b in pairwise(changed_at))


def test_the_rate_of_an_ended_run_goes_with_its_end_and_leaves_with_it() -> None:
    """Guards against rates of short runs that are never reported, and against an extra report."""
    table = make_table(make_run(), make_run(task=TaskId("b.0.0.0")))
    for at in (0.0, 1.0, 2.0):
        poll(table, at, [(TASK, steady(3.0)(at)), (TaskId("b.0.0.0"), 0.0)])
    assert table.work_rates == {}
    poll(table, 3.0, [(TASK, steady(3.0)(3.0)), (TaskId("b.0.0.0"), 0.0)])
    assert list(table.work_rates) == [TASK]
    table.work_rates = {}
    poll(table, 3.5, [(TaskId("b.0.0.0"), 0.0)], ends=[TaskEnd(TASK, 1, EndKind.DONE)])
    assert list(table.work_rates) == [TASK]
    left = make_run(task=TaskId("b.0.0.0"))
    table.apply_order(WorkOrder(incarnation=INCARNATION, assignments=(left,)), INCARNATION)
    assert (table.ends, table.work_rates) == ([], {})


def test_an_earlier_version_reads_a_report_with_rates() -> None:
    """Guards against a leader that cannot read the reports of upgraded agents."""

    class EarlierReport(msgspec.Struct):
        fence: int = 0

    encoded = msgspec.json.encode(WorkerReport(fence=3, work_rates={TASK: (1, 90)}))
    assert msgspec.json.decode(encoded, type=EarlierReport).fence == 3


class WorkingExecutor(FakeExecutor):
    """Executor whose clock advances by 1 s with each status, and whose runs work as declared."""

    worked_s = 0.0

    def extend_lease(self, **call: Any) -> ExecutorStatus:
        """Return the runs with their progress."""
        status = super().extend_lease(**call)
        self.clock_ms += 1000
        self.worked_s += 1.0 if status.running else 0.0
        percent = min(99, int(steady(1.0)(self.worked_s)))
        running = [RunningTask(task.task, task.run, "", percent, 0.0) for task in status.running]
        return ExecutorStatus(
            incarnation=status.incarnation,
            clock_ms=self.clock_ms,
            running=running,
            ends=status.ends,
        )


def test_the_report_in_the_store_names_the_rates() -> None:
    """Guards against rates that are measured and never reach the leader."""
    worker, store = TargetId("w"), MemoryStore()
    order = WorkOrder(incarnation=INCARNATION, assignments=(make_run(),))
    store.apply(Write(values={order_key(worker): encode(order)}))
    agent = BatchAgent(worker, store, WorkingExecutor(), SystemClock(), max_lease_s=10.0)
    agent.start()
    agent.apply_heartbeat(make_report(), number=1, started_at_ms=1, clock_ms=1000)

    def reported_rates() -> dict[TaskId, tuple[int, int]]:
        item = store.read(report_key(worker))
        return decode(item.value, WorkerReport).work_rates if item and item.value else {}

    try:
        wait_until(lambda: TASK in reported_rates())
        number, percent = reported_rates()[TASK]
        assert (number, 80 <= percent <= 120) == (1, True)
    finally:
        agent.stop()
