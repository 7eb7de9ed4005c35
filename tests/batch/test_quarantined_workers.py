"""Quarantine of workers on which tasks fail or make no progress."""

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.test_planner import (
    WHOLE_WORKER,
    WORKERS,
    end_task,
    make_planner,
    submit,
    tasks_by_worker,
)

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step, Submission
from chicorycrank.model.ids import JobId, TargetId, TaskId

OTHER_JOBS = [f"{number:016x}" for number in range(8)]
GANG = Step(count=2, accelerators=8, cores=1000, run_time_s=5.0, gang=True)


def stall(planner: Planner, job: Submission, index: int = 0, run: int = 1) -> TargetId:
    """Report that a task makes no progress, and end the run that is stopped for it."""
    task = TaskId(f"{job.job_id}.0.0.{index}")
    worker = next(w for w, members in planner.members_by_worker.items() if task in members)
    incarnation = planner.workers.by_id[worker].report.incarnation
    planner.apply_report(worker, make_report(incarnation, suspects={task: 0}))
    planner.plan()
    planner.apply_report(worker, make_report(incarnation))
    for member in list(tasks_by_worker(planner).get(worker, [])):
        end_task(planner, member[0], EndKind.STOPPED, run)
    return worker


def pass_time(planner: Planner, seconds: float) -> None:
    planner.set_time(planner.now_s + seconds, planner.now_ms + round(seconds * 1000))
    planner.plan()


def jobs_on(planner: Planner, worker: TargetId) -> set[str]:
    return {task.partition(".")[0] for task, _, _ in tasks_by_worker(planner).get(worker, [])}


@pytest.mark.parametrize(
    ("waited_s", "expected"), [(0.0, 0), (2.9, 0), (3.1, 1)], ids=["at once", "before", "probe"]
)
def test_a_worker_on_which_a_task_stalled_is_probed_by_one_job(
    waited_s: float, expected: int
) -> None:
    """Guards against jobs that stall one after the other on an executor that hangs."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    worker = stall(planner, job)
    for name in OTHER_JOBS:
        submit(planner, make_job([Step(count=1, accelerators=4, run_time_s=5.0)], name=name))
    pass_time(planner, waited_s)
    assert len(jobs_on(planner, worker)) == expected


@pytest.mark.parametrize(
    ("ran_s", "expected"), [(5.4, 1), (5.6, 8)], ids=["in probation", "after it"]
)
def test_a_long_probe_that_makes_progress_opens_its_worker(ran_s: float, expected: int) -> None:
    """Guards against a worker that is closed to others for as long as its probe runs."""
    planner = make_planner()
    worker = stall(planner, submit(planner, make_job([WHOLE_WORKER])))
    for number in range(32):
        name = f"{number + 100:016x}"
        submit(planner, make_job([Step(count=1, accelerators=1, run_time_s=600.0)], name=name))
    pass_time(planner, 3.1)
    assert len(jobs_on(planner, worker)) == 1
    pass_time(planner, ran_s)
    assert len(jobs_on(planner, worker)) == expected


def test_the_delay_grows_while_probes_stall() -> None:
    """Guards against a probe each few seconds on an executor that hangs for long."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    worker = stall(planner, job)
    for name in OTHER_JOBS:
        submit(planner, make_job([WHOLE_WORKER], name=name))
    pass_time(planner, 3.1)
    (probe,) = jobs_on(planner, worker)
    assert stall(planner, make_job([WHOLE_WORKER], name=probe)) == worker
    pass_time(planner, 5.9)
    assert jobs_on(planner, worker) == set()
    pass_time(planner, 0.2)
    assert len(jobs_on(planner, worker)) == 1


def test_a_job_that_stalls_on_each_worker_closes_only_the_first() -> None:
    """Guards against a job that makes no progress anywhere and closes worker after worker."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    first = stall(planner, job)
    second = stall(planner, job, run=2)
    assert first != second
    assert list(planner.workers.quarantine.quarantined_by_worker) == [first]


def test_a_gang_that_stalls_closes_no_worker() -> None:
    """Guards against workers that are closed although another member's worker stalls."""
    planner = make_planner()
    job = submit(planner, make_job([GANG]))
    stall(planner, job)
    assert not planner.workers.quarantine.quarantined_by_worker


def test_a_run_that_is_stopped_for_another_reason_quarantines_no_worker() -> None:
    """Guards against a worker that is closed as a cancelled run stops slowly."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    planner.cancel(job.job_id)
    stall(planner, job)
    assert not planner.workers.quarantine.quarantined_by_worker


def test_one_job_probes_a_quarantined_worker() -> None:
    """Guards against a plan that starts many jobs on a worker that fails all of them."""
    planner = make_planner()
    for number in range(2):
        planner.workers.quarantine.record_failure(WORKERS[0], JobId(f"failed-{number}"), "failed")
    assert list(planner.workers.quarantine.quarantined_by_worker) == [WORKERS[0]]
    for name in OTHER_JOBS:
        planner.add_job(make_job([Step(count=1, accelerators=4, run_time_s=5.0)], name=name), None)
    pass_time(planner, 3.1)
    assert len(jobs_on(planner, WORKERS[0])) == 1
    assert {len(jobs_on(planner, worker)) for worker in WORKERS[1:]} == {2}
