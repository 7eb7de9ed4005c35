"""Runs of an executor as tracked by its agent."""

from collections.abc import Sequence

import pytest

from chicorycrank.batch.run_progress import STALL_TIMEOUT_S
from chicorycrank.batch.runs import MISSING_TIMEOUT_S, RunTable
from chicorycrank.model.batch import Assignment, EndKind, TaskEnd, WorkOrder
from chicorycrank.model.ids import Incarnation, TaskId
from chicorycrank.ports.executor import ExecutorStatus, NumberedEnd, RunningTask

INCARNATION = Incarnation("i-1:1")
TASK = TaskId("a.0.0.0")


def make_order(*rows: tuple[str, int, bool], incarnation: Incarnation = INCARNATION) -> WorkOrder:
    return WorkOrder(
        incarnation=incarnation,
        assignments=tuple(Assignment(task=TaskId(t), run=r, stop=s) for t, r, s in rows),
    )


def make_status(
    running: Sequence[tuple[str, int]] = (),
    ends: Sequence[tuple[int, str, int, EndKind]] = (),
    has_all_ends: bool = True,
) -> ExecutorStatus:
    return ExecutorStatus(
        incarnation=INCARNATION,
        clock_ms=0,
        running=[RunningTask(TaskId(t), r, "", 100, 0.0) for t, r in running],
        ends=[NumberedEnd(n, TaskEnd(TaskId(t), r, k)) for n, t, r, k in ends],
        has_all_ends=has_all_ends,
    )


def end_kinds(table: RunTable) -> list[EndKind]:
    return [end.kind for end in table.ends]


def test_an_end_is_reported_until_the_order_no_longer_names_its_run() -> None:
    """Guards against an end that is dropped before the leader has recorded it."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    table.apply_status(make_status(ends=[(1, TASK, 1, EndKind.DONE)]), 1.0)
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    assert (end_kinds(table), table.claim_runs_to_call()) == ([EndKind.DONE], [])
    table.apply_order(make_order(), INCARNATION)
    assert end_kinds(table) == []


def test_an_end_is_recorded_once() -> None:
    """Guards against duplicate ends if the executor lists an end repeatedly."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    for _ in range(2):
        table.apply_status(make_status(ends=[(1, TASK, 1, EndKind.DONE)]), 1.0)
    assert end_kinds(table) == [EndKind.DONE]


@pytest.mark.parametrize(
    ("starts_rejected_since", "rejection", "sent_at", "expected"),
    [
        (None, "", 50.0, []),
        (10.0, "", 9.0, []),
        (10.0, "", 11.0, [EndKind.STOPPED]),
        (10.0, "no-room", 11.0, [EndKind.REJECTED]),
    ],
)
def test_a_missing_run_ends_only_once_it_cannot_start_any_more(
    starts_rejected_since: float | None, rejection: str, sent_at: float, expected: list[EndKind]
) -> None:
    """Guards against the end of a run whose start call may still take effect."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    run = table.runs_by_task[TASK]
    run.starts_rejected_since, run.rejection_reason = starts_rejected_since, rejection
    table.apply_status(make_status(), sent_at)
    assert end_kinds(table) == expected


@pytest.mark.parametrize(
    ("rows", "stops"),
    [([], [True]), ([(TASK, 2, False)], [True]), ([(TASK, 1, False)], [False])],
)
def test_a_run_that_the_order_does_not_name_is_stopped(
    rows: list[tuple[str, int, bool]], stops: list[bool]
) -> None:
    """Guards against work that continues after the leader has assigned it to another worker."""
    table = RunTable()
    table.apply_order(make_order(*rows), INCARNATION)
    table.runs_by_task.clear()
    table.apply_status(make_status(running=[(TASK, 1)]), 1.0)
    assert [run.should_stop for run in table.runs_by_task.values()] == stops


@pytest.mark.parametrize(("late_s", "asks"), [(1.0, False), (MISSING_TIMEOUT_S + 1, True)])
def test_a_started_run_that_is_not_listed_is_stopped(late_s: float, asks: bool) -> None:
    """Guards against a started run that the executor never lists and that never ends."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    run = table.runs_by_task[TASK]
    run.started_at = 10.0
    table.apply_status(make_status(), 10.0 + late_s)
    assert run.should_stop is asks


@pytest.mark.parametrize(
    ("percents", "stalled"),
    [([10, 10], True), ([10, 11], False), ([0, 0], False), ([99, 99], True)],
)
def test_a_task_without_progress_is_a_suspect(percents: list[int], stalled: bool) -> None:
    """Guards against an undetected stall, and against a suspicion of a gang that still waits."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    for number, percent in enumerate(percents):
        row = RunningTask(TASK, 1, "", percent, 0.0)
        found = ExecutorStatus(incarnation=INCARNATION, clock_ms=0, running=[row], ends=[])
        table.apply_status(found, 10.0 + number * (STALL_TIMEOUT_S + 0.1))
    assert bool(table.suspects) is stalled


def test_an_order_for_another_incarnation_starts_nothing() -> None:
    """Guards against a start on another incarnation of the executor than the leader chose."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False), incarnation=Incarnation("i-1:2")), INCARNATION)
    assert table.claim_runs_to_call() == []


def started_table(run: int = 1) -> RunTable:
    """Return the table of an agent whose only run has been started."""
    table = RunTable()
    table.apply_order(make_order((TASK, run, False)), INCARNATION)
    table.record_accepted(table.runs_to_accept())
    (started,) = table.claim_runs_to_call()
    started.first_called_at = started.started_at = 1.0
    return table


def test_a_list_of_ends_that_is_cut_does_not_show_that_a_run_is_missing() -> None:
    """Guards against a run reported as stopped whose end comes with the next list."""
    table = started_table()
    table.runs_by_task[TASK].starts_rejected_since = 2.0
    ends = [(1, "b.0.0.0", 1, EndKind.DONE)]
    table.apply_status(make_status(ends=ends, has_all_ends=False), 3.0)
    assert TASK in table.runs_by_task
    table.apply_status(make_status(ends=[(2, TASK, 1, EndKind.DONE)]), 4.0)
    assert [(end.task, end.kind) for end in table.ends if end.task == TASK] == [
        (TASK, EndKind.DONE)
    ]


def test_a_status_that_was_requested_earlier_changes_nothing() -> None:
    """Guards against an ended run that an overtaken answer brings back."""
    table = started_table()
    table.apply_status(make_status(ends=[(1, TASK, 1, EndKind.DONE)]), 3.0)
    table.apply_status(make_status(running=[(TASK, 1)]), 2.0)
    assert (table.runs_by_task, end_kinds(table)) == ({}, [EndKind.DONE])


@pytest.mark.parametrize("is_listed_first", [False, True])
def test_a_run_of_the_order_waits_until_another_run_of_its_task_is_gone(
    is_listed_first: bool,
) -> None:
    """Guards against two runs of one task on one executor."""
    table = RunTable()
    if is_listed_first:
        table.apply_status(make_status(running=[(TASK, 1)]), 1.0)
    table.apply_order(make_order((TASK, 2, False)), INCARNATION)
    table.record_accepted(table.runs_to_accept())
    if not is_listed_first:
        table.apply_status(make_status(running=[(TASK, 1)]), 1.0)
    calls = table.claim_runs_to_call()
    assert [(run.assignment.run, run.should_stop) for run in calls] == [(1, True)]
    table.apply_status(make_status(ends=[(1, TASK, 1, EndKind.STOPPED)]), 2.0)
    calls = table.claim_runs_to_call()
    assert [(run.assignment.run, run.should_stop) for run in calls] == [(2, False)]


def test_a_task_that_is_done_under_an_earlier_run_is_not_started_again() -> None:
    """Guards against a start after the executor has listed the task as done."""
    table = RunTable()
    table.apply_order(make_order((TASK, 2, False)), INCARNATION)
    table.record_accepted(table.runs_to_accept())
    table.apply_status(make_status(ends=[(1, TASK, 1, EndKind.DONE)]), 1.0)
    assert table.claim_runs_to_call() == []
    assert [(end.run, end.kind) for end in table.ends] == [(1, EndKind.DONE), (2, EndKind.DONE)]


@pytest.mark.parametrize("kind", [EndKind.LOST, EndKind.CRASHED])
def test_an_end_that_the_executor_lists_replaces_one_that_was_concluded(kind: EndKind) -> None:
    """Guards against a task that runs again although its executor lists it as done."""
    table = started_table()
    table.end_run(table.runs_by_task[TASK], kind, "")
    table.apply_status(make_status(ends=[(1, TASK, 1, EndKind.DONE)]), 2.0)
    assert end_kinds(table) == [EndKind.DONE]


def test_a_run_that_was_given_up_and_is_listed_again_is_stopped() -> None:
    """Guards against a run that goes on after the leader was told that it is lost."""
    table = started_table()
    table.end_run(table.runs_by_task[TASK], EndKind.LOST, "")
    table.apply_status(make_status(running=[(TASK, 1)]), 2.0)
    assert [(run.assignment.run, run.should_stop) for run in table.claim_runs_to_call()] == [
        (1, True)
    ]


@pytest.mark.parametrize(
    ("answered_at", "listed_at", "expected"),
    [
        (10.0, [], (True, 0)),
        (10.0, [9.5], (True, 0)),
        (10.0, [10.1], (True, 100)),
        (10.0, [10.1, 11.1, 12.1], (True, 2100)),
        (None, [10.1, 11.1], (True, 1000)),
        (None, [], (False, 0)),
    ],
    ids=["answer", "earlier-status", "one-status", "statuses", "statuses-only", "no-answer"],
)
def test_a_crashed_run_has_lived_from_its_start_until_the_last_status_that_lists_it(
    answered_at: float | None, listed_at: Sequence[float], expected: tuple[bool, int]
) -> None:
    """Guards against a run that counts as alive although nothing shows that it was."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    (run,) = table.tracked_runs()
    run.first_called_at, run.started_at = 9.0, answered_at
    for sent_at in listed_at:
        table.apply_status(make_status([(TASK, 1)]), sent_at)
    end = run.crash_end(20.0)
    assert (end.has_started, end.survived_ms) == expected


@pytest.mark.parametrize("is_called_here", [True, False])
def test_the_start_of_a_run_of_an_earlier_agent_process_is_not_taken_for_recent(
    is_called_here: bool,
) -> None:
    """Guards against a long run that counts as just started, as its agent has restarted."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1, False)), INCARNATION)
    (run,) = table.tracked_runs()
    if is_called_here:
        run.first_called_at = run.started_at = 9.9
    table.apply_status(make_status([(TASK, 1)]), 10.0)
    assert run.crash_end(10.1).has_started is is_called_here
