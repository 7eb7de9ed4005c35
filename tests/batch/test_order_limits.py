"""Orders stay below the largest value of the store, whatever jobs come."""

import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import make_planner, submit

from chicorycrank.batch.keys import encode, encode_progress
from chicorycrank.batch.orders import MAX_RUNS_PER_ORDER
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.planner_state import MAX_OPEN_UNITS, MAX_STARTS_PER_PLAN
from chicorycrank.model.batch import BatchState, EndKind, Step, Submission, TaskEnd
from chicorycrank.model.ids import TargetId, TaskId
from chicorycrank.policy.decide import MAX_DECISIONS

MAX_VALUE_BYTES = 1_048_576
WORKERS = [TargetId(f"w{number}") for number in range(3)]
CORES = 128_000
LONG = "x" * 4000
ESCAPED = "\x01" * 4000  # six bytes each in an encoded order
SMALL = make_job([Step(count=1, cores=10)], name="b" * 16)


def make_fleet() -> Planner:
    planner = make_planner(WORKERS)
    for worker in WORKERS:
        planner.apply_report(worker, make_report(f"i-{worker}:1", cores=CORES))
    return planner


def end_all(planner: Planner) -> list[TaskId]:
    """Report all runs as done, plan, and return their tasks."""
    tasks = []
    for worker in WORKERS:
        runs = planner.order_for(worker).assignments
        ends = [TaskEnd(a.task, a.run, EndKind.DONE) for a in runs]
        tasks += [end.task for end in ends]
        planner.apply_report(worker, make_report(f"i-{worker}:1", cores=CORES, ends=ends))
    planner.plan()
    return tasks


def largest_order(planner: Planner) -> int:
    return max(len(encode(planner.order_for(worker))) for worker in WORKERS)


@pytest.mark.parametrize(
    ("job", "tasks"),
    [
        (make_job([Step(count=300, cores=500)], payload=LONG), 300),
        (make_job([Step(count=300, cores=500)], payload=ESCAPED), 300),
        (make_job([Step(count=300, cores=500, gang=True)], payload=LONG), 300),
        (make_job([Step(count=60, cores=500, gang=True)], payload=ESCAPED), 60),
        (make_job([Step(count=20, cores=500, gang=True)] * 20, payload=LONG), 400),
        (make_job([Step(count=2000, cores=10)]), 2000),
    ],
    ids=["long", "escaped", "long-gang", "escaped-gang", "gangs", "tiny"],
)
def test_a_job_of_many_tasks_ends_although_an_order_has_no_room_for_all(
    job: Submission, tasks: int
) -> None:
    """Guards against an order that the store refuses for good, so that the leader stands still."""
    planner = make_fleet()
    submit(planner, job)
    submit(planner, SMALL)
    while planner.progress_by_id[job.job_id].state is not BatchState.COMPLETED:
        assert largest_order(planner) < MAX_VALUE_BYTES
        assert len(encode_progress(planner.progress_by_id[job.job_id])) < MAX_VALUE_BYTES
        ended = end_all(planner)
        assert ended
        tasks -= sum(task.startswith(job.job_id) for task in ended)
    assert tasks == 0
    assert planner.progress_by_id[SMALL.job_id].state is not BatchState.QUEUED


def test_a_worker_gets_no_more_runs_than_an_order_may_name() -> None:
    """Guards against reports and orders that grow with the smallness of the tasks."""
    planner = make_fleet()
    submit(planner, make_job([Step(count=5000, cores=10)]))
    for _ in range(20):
        for worker in WORKERS:
            accepted = {a.task: a.run for a in planner.order_for(worker).assignments}
            report = make_report(f"i-{worker}:1", cores=CORES, accepted=accepted)
            planner.apply_report(worker, report)
        planner.plan()
    counts = [len(planner.order_for(worker).assignments) for worker in WORKERS]
    most = MAX_RUNS_PER_ORDER // 2
    assert all(most <= count < most + MAX_DECISIONS for count in counts)


@pytest.mark.parametrize("large_jobs", [1, 2, 5])
@pytest.mark.parametrize("ends_at_once", [1, 20])
def test_jobs_that_have_reached_the_limit_of_orders_leave_room_for_others(
    large_jobs: int, ends_at_once: int
) -> None:
    """Guards against old jobs of tiny tasks that take each place that becomes free."""
    planner = make_fleet()
    rounds = 25
    for number in range(rounds):
        if number < large_jobs:
            step = Step(count=1_000_000, cores=10)
            planner.add_job(make_job([step], name=f"{number:016x}"), None)
        if number == rounds - 5:
            planner.set_time(planner.now_s + 1.0, planner.now_ms + 1000)
            planner.add_job(SMALL, None)
        planner.plan()
        for worker in WORKERS:
            runs = planner.order_for(worker).assignments
            accepted = {a.task: a.run for a in runs}
            ends = [TaskEnd(a.task, a.run, EndKind.DONE) for a in runs[:ends_at_once]]
            report = make_report(f"i-{worker}:1", cores=CORES, accepted=accepted, ends=ends)
            planner.apply_report(worker, report)
    assert planner.progress_by_id[SMALL.job_id].state is not BatchState.QUEUED


@pytest.mark.parametrize("large_jobs", [1, 3, 12])
@pytest.mark.parametrize("large_priority", [0, 1, 2])
def test_jobs_whose_runs_end_between_plans_leave_starts_for_others(
    large_jobs: int, large_priority: int
) -> None:
    """Guards against jobs of short tasks that take all starts of each plan."""
    planner = make_fleet()
    large_queue, queue = make_queue(priority=large_priority), make_queue(priority=1)
    for number in range(large_jobs):
        step = Step(count=1_000_000, cores=10)
        job = make_job([step], name=f"{number:016x}", queue=large_queue)
        planner.add_job(job, None)
    planner.plan()
    for _ in range(20):
        assert end_all(planner)
    planner.set_time(planner.now_s + 1.0, planner.now_ms + 1000)
    small = make_job([Step(count=1, cores=10, accelerators=1)], name="b" * 16, queue=queue)
    planner.add_job(small, None)
    end_all(planner)
    assert planner.progress_by_id[small.job_id].state is not BatchState.QUEUED
    started = sum(len(planner.order_for(worker).assignments) for worker in WORKERS)
    assert started > MAX_STARTS_PER_PLAN - MAX_DECISIONS


def test_a_job_has_no_more_open_units_than_its_record_may_hold() -> None:
    """Guards against a record of progress that the store refuses for good."""
    workers = [TargetId(f"w{number}") for number in range(20)]
    planner = make_planner(workers)
    job = submit(planner, make_job([Step(count=10_000, cores=10)]))
    for _ in range(80):
        for worker in workers:
            accepted = {a.task: a.run for a in planner.order_for(worker).assignments}
            planner.apply_report(worker, make_report(f"i-{worker}:1", accepted=accepted))
        planner.plan()
    progress = planner.progress_by_id[job.job_id]
    assert len(progress.units) == MAX_OPEN_UNITS
    assert len(encode_progress(progress)) < MAX_VALUE_BYTES
