"""Crashes of executors that an expired lease suggests and no later incarnation has shown."""

import pytest
from tests.batch.fakes import make_report
from tests.batch.test_crash_attribution import JUST_STARTED_MS, WHOLE_WORKER, SimulatedFleet

from chicorycrank.batch.crash_records import PROOF_TIMEOUT_MS
from chicorycrank.model.batch import BatchState, EndKind, Submission, TaskEnd
from chicorycrank.model.ids import TargetId, TaskId
from chicorycrank.policy.crashes import OUTAGE_WINDOW_MS


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
