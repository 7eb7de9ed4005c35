"""Capacity of a worker that shrinks and grows while tasks run."""

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.test_planner import WORKERS, end_task, make_planner, submit

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step, Submission
from chicorycrank.model.ids import TargetId

WORKER = WORKERS[0]
CAPACITY = {"accelerators": 8, "cores": 64000, "memory_mb": 256000}


def set_capacity(planner: Planner, **changes: int) -> None:
    """Report another capacity of the worker and plan."""
    report = make_report(f"i-{WORKER}:1", **{**CAPACITY, **changes})
    planner.apply_report(TargetId(WORKER), report)
    planner.plan()


def submit_tasks(planner: Planner, name: str, step: Step) -> Submission:
    return submit(planner, make_job([step], name=name * 16))


def used(planner: Planner) -> tuple[int, int, int]:
    """Return the accelerators, cores and memory of all runs that the worker may have."""
    members = planner.members_by_worker.get(WORKER, {}).values()
    steps = [planner.step_of(member.ref) for member in members]
    return (
        sum(step.accelerators for step in steps),
        sum(step.cores for step in steps),
        sum(step.memory_mb for step in steps),
    )


@pytest.mark.parametrize("ended_first", [0, 1])
def test_a_worker_that_has_shrunk_starts_nothing_until_its_runs_fit(ended_first: int) -> None:
    """Guards against free accelerators that exist only above the reduced capacity."""
    planner = make_planner([WORKER])
    job = submit_tasks(planner, "a", Step(count=2, accelerators=4, run_time_s=5.0))
    set_capacity(planner, accelerators=4)
    submit_tasks(planner, "b", Step(count=3, accelerators=2, run_time_s=5.0))
    end_task(planner, f"{job.job_id}.0.0.{ended_first}", EndKind.DONE)
    assert used(planner)[0] == 4
    end_task(planner, f"{job.job_id}.0.0.{1 - ended_first}", EndKind.DONE)
    assert used(planner)[0] == 4


@pytest.mark.parametrize(
    ("smaller", "step"),
    [
        ({"accelerators": 5}, Step(count=9, accelerators=1, run_time_s=5.0)),
        ({"cores": 20000}, Step(count=9, accelerators=1, cores=8000, run_time_s=5.0)),
        ({"memory_mb": 90000}, Step(count=9, accelerators=1, memory_mb=32000, run_time_s=5.0)),
    ],
    ids=["accelerators", "cores", "memory"],
)
def test_no_start_exceeds_a_capacity_that_shrinks_and_grows_back(
    smaller: dict[str, int], step: Step
) -> None:
    """Guards against a start beyond the capacity that the executor last reported."""
    planner = make_planner([WORKER])
    first = submit_tasks(planner, "a", step)
    second = submit_tasks(planner, "b", step)
    names = [f"{job.job_id}.0.0.{index}" for job in (first, second) for index in range(9)]
    limits = {**CAPACITY, **smaller}
    set_capacity(planner, **smaller)
    before = used(planner)
    for name in names[:8]:
        end_task(planner, name, EndKind.DONE)
        after = used(planner)
        within = all(a <= limit for a, limit in zip(after, limits.values(), strict=True))
        assert within or after < before
        before = after
    assert all(a <= limit for a, limit in zip(used(planner), limits.values(), strict=True))
    set_capacity(planner)
    assert used(planner)[0] == 8


def test_runs_of_odd_sizes_leave_nothing_free_on_a_smaller_worker() -> None:
    """Guards against an accelerator that counts as free because no aligned block fits."""
    planner = make_planner([WORKER])
    submit_tasks(planner, "a", Step(count=2, accelerators=3, run_time_s=5.0))
    set_capacity(planner, accelerators=6)
    submit_tasks(planner, "b", Step(count=1, accelerators=1, run_time_s=5.0))
    assert used(planner)[0] == 6


def test_a_takeover_of_a_worker_with_more_runs_than_capacity_starts_nothing() -> None:
    """Guards against a new leader that finds room on a worker that shrank under its runs."""
    planner = make_planner([WORKER])
    steps = [Step(count=1, accelerators=n, run_time_s=5.0) for n in (3, 2, 2)]
    jobs = [submit_tasks(planner, name, step) for name, step in zip("abc", steps, strict=True)]
    successor = make_planner([])
    for job in jobs:
        successor.add_job(job, planner.progress_by_id[job.job_id])
    report = make_report(f"i-{WORKER}:1", accelerators=4)
    successor.apply_report(TargetId(WORKER), report)
    successor.workers.set_present(TargetId(WORKER), True)
    submit_tasks(successor, "d", Step(count=1, accelerators=1, run_time_s=5.0))
    assert used(successor)[0] == 7
