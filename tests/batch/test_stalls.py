"""Runs that look stalled and are not, and the time until a stalled one is found."""

import logging
from collections.abc import Callable, Sequence

import msgspec
import pytest
from tests.batch.fakes import make_job

from chicorycrank.batch.orders import ASSIGNMENT_BYTES, make_assignment
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.units import UnitRef
from chicorycrank.model.batch import Assignment, Step, Unit, UnitState, WorkOrder
from chicorycrank.model.ids import Incarnation, TaskId
from chicorycrank.ports.executor import ExecutorStatus, RunningTask

INCARNATION = Incarnation("i-1:1")
TASK = TaskId("a.0.0.0")
GANG_RUN_TIME_S = 22.0
LONG_RUN_TIME_S = 300.0

Percent = Callable[[float], float]


def suspects_at(
    assignment: Assignment, percent_at: Percent, *, end_s: float, poll_s: float = 1.0
) -> list[float]:
    """Return the times in seconds from the start at which a run counts as stalled.

    :param percent_at: progress by the time from the start
    """
    table = RunTable()
    order = WorkOrder(incarnation=INCARNATION, assignments=(assignment,))
    table.apply_order(order, INCARNATION)
    return [
        at for at in poll_times(end_s, poll_s) if has_suspects(table, assignment, at, percent_at)
    ]


def poll_times(end_s: float, poll_s: float) -> list[float]:
    return [number * poll_s for number in range(int(end_s / poll_s) + 1)]


def has_suspects(table: RunTable, assignment: Assignment, at: float, percent_at: Percent) -> bool:
    row = RunningTask(TASK, assignment.run, "", int(min(100.0, percent_at(at))), 0.0)
    table.apply_status(
        ExecutorStatus(incarnation=INCARNATION, clock_ms=0, running=[row], ends=[]), 100.0 + at
    )
    return bool(table.suspects)


def make_run(run_time_s: float = GANG_RUN_TIME_S, **changes: object) -> Assignment:
    assignment = Assignment(task=TASK, run=1, run_time_s=run_time_s)
    return msgspec.structs.replace(assignment, **changes)


def steady(run_time_s: float, *, slow_down: float = 1.0, wait_s: float = 0.0) -> Percent:
    """Return the progress of a run that is slower than declared and begins after a wait."""
    return lambda at: 100 * max(0.0, at - wait_s) / (run_time_s * slow_down)


def resumed(saved: int, *, wait_s: float, shows_saved: bool) -> Percent:
    """Return the progress of a run that resumes after a wait."""

    def percent_at(at: float) -> float:
        if at < wait_s:
            return saved if shows_saved else 0
        return saved + 100 * (at - wait_s) / GANG_RUN_TIME_S

    return percent_at


NOT_STALLED = [
    # A member that waits for slower members.
    (make_run(), lambda at: 100.0, 30.0),
    (make_run(), steady(GANG_RUN_TIME_S), 60.0),
    # A run time that is declared half as long as it is, on a slow worker, in a gang across racks.
    (make_run(), steady(GANG_RUN_TIME_S, slow_down=11.0), 250.0),
    # The first percent takes longer than 4.5 s, and so does each further one.
    (make_run(LONG_RUN_TIME_S), steady(LONG_RUN_TIME_S, slow_down=2.0), 300.0),
    (make_run(LONG_RUN_TIME_S), steady(LONG_RUN_TIME_S, slow_down=10.0), 300.0),
    # The declared time is far too short, which shows only from the progress.
    (make_run(10.0), steady(420.0), 420.0),
    # The order of an earlier version declares no run time.
    (make_run(0.0), steady(420.0), 420.0),
    # The members of a gang that resumes wait for each other, and restore their checkpoints.
    (make_run(checkpoint="c"), resumed(40, wait_s=4.5, shows_saved=True), 10.0),
    (make_run(checkpoint="c"), resumed(40, wait_s=5.0, shows_saved=False), 10.0),
    (make_run(checkpoint="c"), resumed(0, wait_s=5.0, shows_saved=True), 10.0),
    # Filling tasks that are paced down, and tasks whose percentage is their speed.
    (make_run(fills=True), lambda at: 0.0, 60.0),
    (make_run(long_running=True), lambda at: 0.0, 60.0),
]


@pytest.mark.parametrize("poll_s", [0.25, 1.0])
@pytest.mark.parametrize(
    ("assignment", "percent_at", "end_s"),
    NOT_STALLED,
    ids=[
        "complete-member",
        "as-declared",
        "slow-worker-and-racks",
        "first-percent",
        "long-run-slow",
        "declared-too-short",
        "not-declared",
        "resumed-member-waits",
        "resumed-member-waits-at-0",
        "restored-at-0",
        "paced-down",
        "long-running",
    ],
)
def test_a_run_that_moves_or_has_to_wait_is_not_stalled(
    assignment: Assignment, percent_at: Percent, end_s: float, poll_s: float
) -> None:
    """Guards against a gang that is stopped while it works, waits or restores its checkpoints."""
    assert suspects_at(assignment, percent_at, end_s=end_s, poll_s=poll_s) == []


def test_a_paced_run_that_the_order_does_not_name_is_not_stalled() -> None:
    """Guards against a worker that is closed for a filling task of an earlier order."""
    table = RunTable()
    found = [has_suspects(table, make_run(), at, lambda at: 0.0) for at in poll_times(10.0, 1.0)]
    assert found == [False] * len(found)


def stops_at(percent: float, progress: Percent) -> Percent:
    return lambda at: min(percent, progress(at))


@pytest.mark.parametrize(
    ("assignment", "percent_at", "found_at"),
    [
        (make_run(5.0), lambda at: 0.0, [4.5, 5.5]),
        (make_run(), lambda at: 0.0, [4.5, 5.5]),
        (make_run(), stops_at(30, steady(GANG_RUN_TIME_S)), [9.1, 10.2]),
        (make_run(), stops_at(99, steady(GANG_RUN_TIME_S)), [24.2, 25.4]),
        # Six times the 0.66 s that a percent takes.
        (make_run(), stops_at(30, steady(GANG_RUN_TIME_S, slow_down=3.0)), [23.5, 25.5]),
        (make_run(checkpoint="c"), lambda at: 40.0, [5.1, 6.2]),
        (make_run(LONG_RUN_TIME_S), lambda at: 0.0, [36.0, 37.0]),
        (make_run(LONG_RUN_TIME_S), stops_at(10, steady(LONG_RUN_TIME_S)), [48.0, 50.0]),
        (make_run(0.0), lambda at: 0.0, [4.5, 5.5]),
    ],
    ids=[
        "urgent-never-begins",
        "never-begins",
        "stops",
        "stops-at-99",
        "slow-and-stops",
        "resumed-never-moves",
        "long-never-begins",
        "long-stops",
        "not-declared",
    ],
)
def test_a_run_that_stands_still_is_found_in_a_bounded_time(
    assignment: Assignment, percent_at: Percent, found_at: Sequence[float]
) -> None:
    """Guards against a task that stays on an executor that hangs."""
    first = suspects_at(assignment, percent_at, end_s=60.0, poll_s=0.25)[0]
    assert found_at[0] <= first <= found_at[1]


def test_a_stall_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log line for each status of a run that stands still."""
    with caplog.at_level(logging.INFO, logger="absl"):
        suspects_at(make_run(), stops_at(30, steady(GANG_RUN_TIME_S)), end_s=20.0)
    (line,) = [line for line in caplog.messages if line.startswith("event=run_stalled")]
    assert f"task={TASK} run=1 percent=30" in line


def test_an_assignment_is_no_longer_than_an_order_allows_for() -> None:
    """Guards against an order that the store refuses, as its size is underrated."""
    step = Step(
        count=10_000,
        accelerators=8,
        cores=128_000,
        memory_mb=512_000,
        run_time_s=12345.678901234567,
        target_latency_s=0.12345678901234567,
        long_running=True,
    )
    job = make_job([step], payload="")
    unit = Unit(state=UnitState.ASSIGNED, run=10_000, checkpoint="c" * 40)
    ref = UnitRef(job.job_id, 10_000, 0, 9_999)
    assignment = make_assignment(job, ref, unit, ref.tasks(step)[0], "t" * 40, 60_000)
    assert len(msgspec.json.encode(assignment)) <= ASSIGNMENT_BYTES
