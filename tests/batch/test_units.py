"""Order of steps, occurrences, and effects of the end of a member."""

import pytest
from tests.batch.fakes import make_job

from chicorycrank.batch.job_units import JobUnits
from chicorycrank.batch.units import (
    begin_run,
    due_occurrences,
    next_due_ms,
    parse_unit_key,
    record_end,
    state_of,
    visible_state,
)
from chicorycrank.model.batch import (
    BatchState,
    EndKind,
    Place,
    Progress,
    Step,
    TaskEnd,
    Unit,
    UnitState,
)
from chicorycrank.model.ids import Incarnation, JobId, TargetId, TaskId

JOB = JobId("aaaaaaaaaaaaaaaa")
CHAIN = [Step(count=2), Step(count=1, after=(0,)), Step(count=3, gang=True)]


def done_units(*keys: str) -> Progress:
    return Progress(units={key: Unit(state=UnitState.DONE, run=1) for key in keys})


@pytest.mark.parametrize(
    ("finished", "expected"),
    [
        ((), {"0.0.0", "0.0.1", "0.2"}),
        (("0.0.0",), {"0.0.1", "0.2"}),
        (("0.0.0", "0.0.1"), {"0.1.0", "0.2"}),
        (("0.0.0", "0.0.1", "0.1.0", "0.2"), set()),
    ],
)
def test_a_step_waits_for_the_steps_before_it(
    finished: tuple[str, ...], expected: set[str]
) -> None:
    """Guards against the start of a step before all tasks of an earlier step are done."""
    progress = done_units(*finished)
    units = JobUnits(make_job(CHAIN), progress)
    assert {ref.key for ref in units.waiting(0, 10)} == expected
    assert units.is_complete is not bool(expected)


@pytest.mark.parametrize(
    ("now_ms", "due", "next_ms"),
    [(999, 0, 1000), (1000, 1, 1500), (1499, 1, 1500), (2100, 3, None), (9000, 3, None)],
)
def test_occurrences_are_due_at_their_time(now_ms: int, due: int, next_ms: int | None) -> None:
    """Guards against occurrences that start early or are skipped."""
    job = make_job([Step(count=1)], repeat_count=3, first_at_ms=1000, interval_ms=500)
    assert len(due_occurrences(job, now_ms)) == due
    assert next_due_ms(job, now_ms) == next_ms


@pytest.mark.parametrize(
    ("kinds", "state", "failures"),
    [
        ([EndKind.DONE, EndKind.BROKEN], UnitState.DONE, 0),
        ([EndKind.BROKEN, EndKind.DONE], UnitState.DONE, 0),
        ([EndKind.FAILED, EndKind.BROKEN], UnitState.WAITING, 1),
        ([EndKind.BROKEN, EndKind.FAILED], UnitState.WAITING, 1),
        ([EndKind.FAILED, EndKind.FAILED], UnitState.WAITING, 1),
        ([EndKind.STOPPED, EndKind.STOPPED], UnitState.WAITING, 0),
        ([EndKind.LOST, EndKind.LAPSED], UnitState.WAITING, 0),
        ([EndKind.LOST, EndKind.DONE], UnitState.DONE, 0),
    ],
)
def test_a_gang_has_one_outcome(kinds: list[EndKind], state: UnitState, failures: int) -> None:
    """Guards against a failure that is counted per member, and a done gang that runs again."""
    unit = Unit()
    place = Place(TargetId("w"), Incarnation("i"))
    begin_run(unit, [place, place], 0)
    step = Step(count=2, gang=True)
    have_ended = [
        record_end(unit, member, TaskEnd(TaskId("t"), 1, kind), step, 2)
        for member, kind in enumerate(kinds)
    ]
    assert (have_ended, unit.state, unit.failures) == ([False, True], state, failures)


@pytest.mark.parametrize(
    ("long_running", "attempts", "state"),
    [(False, 2, UnitState.FAILED), (False, 3, UnitState.WAITING), (True, 1, UnitState.WAITING)],
)
def test_failures_use_up_the_attempts(long_running: bool, attempts: int, state: UnitState) -> None:
    """Guards against a start after the last attempt, and a limit for long-running tasks."""
    unit = Unit()
    step = Step(count=1, long_running=long_running)
    for run in (1, 2):
        begin_run(unit, [Place(TargetId("w"), Incarnation("i"))], 0)
        record_end(unit, 0, TaskEnd(TaskId("t"), run, EndKind.FAILED), step, attempts)
        if unit.state is UnitState.FAILED:
            break
    assert unit.state is state


@pytest.mark.parametrize(
    ("progress", "cancelled", "expected"),
    [
        (Progress(), False, BatchState.QUEUED),
        (Progress(units={"0.0.0": Unit(run=1)}), False, BatchState.RUNNING),
        (Progress(), True, BatchState.CANCELLED),
        (Progress(state=BatchState.COMPLETED), True, BatchState.COMPLETED),
    ],
)
def test_visible_state(progress: Progress, cancelled: bool, expected: BatchState) -> None:
    """Guards against a completed job that is shown as cancelled after a late cancellation."""
    assert visible_state(state_of(progress), is_cancelled=cancelled) is expected


@pytest.mark.parametrize("key", ["0.0", "3.1", "0.0.0", "2.1.17"])
def test_unit_keys_round_trip(key: str) -> None:
    """Guards against a record whose units a new leader cannot read."""
    assert parse_unit_key(JOB, key).key == key
