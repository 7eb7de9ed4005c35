"""Crashes of executors that an expired lease suggests and no later incarnation has shown."""

import time

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.test_crash_attribution import JUST_STARTED_MS, WHOLE_WORKER, SimulatedFleet
from tests.batch.test_planner import make_planner

from chicorycrank.batch.crash_records import PROOF_TIMEOUT_MS
from chicorycrank.model.batch import BatchState, EndKind, Step, Submission, TaskEnd
from chicorycrank.model.ids import TargetId, TaskId
from chicorycrank.policy.crashes import OUTAGE_WINDOW_MS

CORES = 128_000
MAX_PLAN_S = 2.0  # urgent jobs have slack of seconds


@pytest.fixture
def fleet() -> SimulatedFleet:
    return SimulatedFleet()


def expire_lease(fleet: SimulatedFleet, job: Submission) -> TargetId:
    """Let the lease expire under the only task of a job; its executor refuses connections."""
    task = TaskId(f"{job.job_id}.0.0.0")
    worker = fleet.worker_of(task)
    run = fleet.planner.run_number(fleet.planner.members_by_worker[worker][task])
    end = TaskEnd(task, run, EndKind.CRASHED, age_ms=JUST_STARTED_MS)
    report_life(fleet, worker, ends=[end], is_unreachable=True)
    return worker


def report_life(
    fleet: SimulatedFleet, worker: TargetId, *, ends: list[TaskEnd], is_unreachable: bool
) -> None:
    """Apply a report on the present incarnation of a worker and plan."""
    life = fleet.lives[worker]
    incarnation = f"i-{worker}:{life}" if life > 1 else initial_incarnation(fleet, worker)
    report = make_report(incarnation, ends=ends, labels=("a", "r1"))
    report.is_unreachable = is_unreachable
    fleet.planner.apply_report(worker, report)
    fleet.planner.plan()


def initial_incarnation(fleet: SimulatedFleet, worker: TargetId) -> str:
    """Return the incarnation with which a worker of the fleet begins."""
    return fleet.planner.workers.by_id[worker].report.incarnation


@pytest.mark.parametrize("takes_over", [False, True])
def test_a_job_is_not_given_up_for_an_executor_that_answers_again(
    fleet: SimulatedFleet, takes_over: bool
) -> None:
    job = fleet.submit("a", WHOLE_WORKER)
    fleet.crash(fleet.worker_of(job.job_id + ".0.0.0"), ages_ms={job.job_id: JUST_STARTED_MS})
    fleet.advance(OUTAGE_WINDOW_MS)
    worker = expire_lease(fleet, job)
    fleet.advance(OUTAGE_WINDOW_MS)
    if takes_over:
        fleet.take_over(job)
    report_life(fleet, worker, ends=[], is_unreachable=False)
    for _ in range(3):
        fleet.advance(PROOF_TIMEOUT_MS)
    assert fleet.state(job) is not BatchState.FAILED
    assert fleet.has_run(job)


@pytest.mark.parametrize("takes_over", [False, True])
def test_a_harmful_job_is_given_up_once_the_next_incarnation_answers(
    fleet: SimulatedFleet, takes_over: bool
) -> None:
    job = fleet.submit("a", WHOLE_WORKER)
    fleet.crash(fleet.worker_of(job.job_id + ".0.0.0"), ages_ms={job.job_id: JUST_STARTED_MS})
    fleet.advance(OUTAGE_WINDOW_MS)
    worker = expire_lease(fleet, job)
    if takes_over:
        fleet.take_over(job)
    assert not fleet.has_run(job)
    fleet.lives[worker] += 1
    report_life(fleet, worker, ends=[], is_unreachable=False)
    fleet.advance(OUTAGE_WINDOW_MS)
    assert fleet.state(job) is BatchState.FAILED


def test_a_job_does_not_wait_without_end_for_an_executor_that_does_not_return(
    fleet: SimulatedFleet,
) -> None:
    job = fleet.submit("a", WHOLE_WORKER)
    for _ in range(2):
        fleet.advance(PROOF_TIMEOUT_MS)
        expire_lease(fleet, job)
    fleet.advance(OUTAGE_WINDOW_MS)
    assert not fleet.has_run(job)
    fleet.advance(PROOF_TIMEOUT_MS)
    assert fleet.has_run(job)


def test_a_plan_after_a_crash_of_all_workers_takes_little_time() -> None:
    """Guards against a leader that plans for half a minute, as it judges a job for each unit."""
    workers = [TargetId(f"w{number}") for number in range(6)]
    planner = make_planner(workers)
    for worker in workers:
        planner.apply_report(worker, make_report(f"i-{worker}:1", cores=CORES))
    planner.add_job(make_job([Step(count=100_000, cores=10)]), None)
    for _ in range(12):
        planner.plan()
    for worker in workers:
        ends = [
            TaskEnd(assignment.task, assignment.run, EndKind.CRASHED, age_ms=200, has_started=True)
            for assignment in planner.order_for(worker).assignments
        ]
        report = make_report(f"i-{worker}:1", cores=CORES, ends=ends, is_unreachable=True)
        planner.apply_report(worker, report)
        planner.apply_report(worker, make_report(f"i-{worker}:2", cores=CORES))
    planner.set_time(planner.now_s + 20.0, planner.now_ms + 20_000)
    started_s = time.process_time()
    planner.plan()
    assert time.process_time() - started_s < MAX_PLAN_S
