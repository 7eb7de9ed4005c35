"""Decision passes over steps with hundreds of waiting tasks."""

from collections.abc import Sequence

import pytest
from tests.batch.fakes import make_job, make_queue
from tests.batch.test_planner import end_task, make_planner, submit, tasks_by_worker

from chicorycrank.batch import failing_jobs
from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step
from chicorycrank.model.ids import TargetId
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decide import MAX_DECISIONS, decide
from chicorycrank.policy.decisions import Decision

WORKERS = [TargetId(f"w{n}") for n in range(4)]
ACCELERATORS = 8 * len(WORKERS)
WIDE = Step(count=230, accelerators=1, run_time_s=10.0)
WHOLE_GANG = Step(count=4, accelerators=8, run_time_s=5.0, gang=True)


@pytest.fixture
def queue_lengths(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return the number of jobs of each decision pass."""
    lengths: list[int] = []

    def record(cell: Cell, queue: Sequence[QueuedJob], now_s: float) -> list[Decision]:
        lengths.append(len(queue))
        return decide(cell, queue, now_s)

    monkeypatch.setattr(failing_jobs, "decide", record)
    return lengths


@pytest.mark.parametrize("jobs", [1, 4])
def test_a_decision_pass_does_not_grow_with_the_width_of_steps(
    queue_lengths: list[int], jobs: int
) -> None:
    """Guards against a plan of 0.1 s, which delays urgent jobs while wide jobs wait.

    Each pass built and sorted a queued job for each of thousands of equal waiting tasks.
    """
    planner = make_planner(WORKERS)
    for number in range(jobs):
        submit(planner, make_job([WIDE], name=f"{number:016x}"))
    assert max(queue_lengths) <= jobs * MAX_DECISIONS


def test_a_wide_step_starts_on_all_free_accelerators_in_one_plan() -> None:
    """Guards against equal tasks that are left out of a pass although workers are idle."""
    planner = make_planner(WORKERS)
    submit(planner, make_job([WIDE]))
    assert sum(len(rows) for rows in tasks_by_worker(planner).values()) == ACCELERATORS


def queued_names(planner: Planner) -> set[str]:
    waiting = dict.fromkeys(planner.waiting_units())
    return {job.job_id for job in planner.job_builder.make_queue(planner, waiting).values()}


def test_a_task_that_failed_is_not_left_out() -> None:
    """Guards against a task that a pass leaves out in favour of tasks that may use its worker."""
    planner = make_planner(WORKERS)
    submit(planner, make_job([WIDE]))
    failed = f"{'a' * 16}.0.0.{ACCELERATORS - 1}"
    end_task(planner, failed, EndKind.FAILED)
    assert failed in queued_names(planner)


def test_the_task_with_the_reservation_stays_in_the_queue() -> None:
    """Guards against a reservation that moves to another task whenever an earlier one waits."""
    planner = make_planner(WORKERS)
    submit(planner, make_job([WIDE]))
    reserved = set(planner.cell.reservations_by_id)
    assert reserved
    for number in range(MAX_DECISIONS):
        end_task(planner, f"{'a' * 16}.0.0.{number}", EndKind.STOPPED, run=1)
    assert set(planner.cell.reservations_by_id) <= queued_names(planner)


def test_an_urgent_gang_displaces_a_wide_step_in_one_plan() -> None:
    """Guards against an urgent gang that waits behind the tasks of a wide step."""
    planner = make_planner(WORKERS)
    submit(planner, make_job([WIDE]))
    submit(planner, make_job([WHOLE_GANG], name="b" * 16, queue=make_queue(priority=0)))
    stops = [row for rows in tasks_by_worker(planner).values() for row in rows if row[2]]
    assert len(stops) == ACCELERATORS
