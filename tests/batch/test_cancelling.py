"""Cancelled jobs start nothing, whatever the leader knows of them and when it learns of it."""

import itertools
import time
from collections.abc import Sequence
from typing import Any

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.leader_harness import JOB, RETENTION_S, WORKER, LeaderHarness
from tests.batch.test_whole_path import STEP, Deployment, is_leading

from chicorycrank.batch.intake import Outcome
from chicorycrank.batch.keys import (
    LEADER_KEY,
    ORDERS_PREFIX,
    StateRecord,
    cancel_key,
    decode,
    encode,
    encode_progress,
    job_key,
    order_key,
    presence_key,
    progress_key,
    report_key,
    state_key,
)
from chicorycrank.batch.metrics import STARTS_PREVENTED
from chicorycrank.batch.orders import MAX_KEYS_PER_WRITE
from chicorycrank.batch.term import STATUS_RETENTION_MARGIN_S
from chicorycrank.model.batch import (
    BatchState,
    EndKind,
    Place,
    Progress,
    Step,
    Unit,
    UnitState,
    WorkOrder,
)
from chicorycrank.model.ids import JobId, TargetId, TaskId
from chicorycrank.ports.transactions import Item, Write

STORE_LIMIT = 32  # keys and conditions of one write
STEPS = ("watch", "history lost", "takeover", "submitted again", "plan")


@pytest.mark.parametrize("steps", list(itertools.permutations(STEPS)))
@pytest.mark.parametrize("is_submitted_at_leader", [True, False])
def test_a_job_that_is_cancelled_at_the_leader_never_starts(
    is_submitted_at_leader: bool, steps: Sequence[str]
) -> None:
    """Guards against a cancellation that is forgotten because it came before its job."""
    harness = LeaderHarness()
    (harness.leader if is_submitted_at_leader else harness.other).submit()
    harness.leader.cancel()
    for step in steps:
        harness.do(step)
        harness.plan()
    harness.leader.hear()
    harness.plan()
    assert harness.started_tasks() == []
    assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.CANCELLED


@pytest.mark.parametrize("plans_between", [0, 1, 2])
def test_a_cancelling_that_the_leader_knows_before_its_job_needs_no_refused_write(
    plans_between: int,
) -> None:
    """Guards against a cancellation that is noted before its job comes, and forgotten.

    The store would refuse the start, so only the attempt shows it.
    """
    harness = LeaderHarness()
    harness.other.submit()
    harness.other.cancel()
    prevented = STARTS_PREVENTED._value.get()
    harness.leader.replica.apply_own([harness.store.items[cancel_key(JOB.job_id)]])
    for _ in range(plans_between):
        harness.plan()
    harness.leader.hear()
    harness.plan()
    assert STARTS_PREVENTED._value.get() == prevented
    assert harness.started_tasks() == []
    assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.CANCELLED


@pytest.mark.parametrize("fault", ["", "refuse", "no_response", "lose"])
@pytest.mark.parametrize("steps", list(itertools.permutations(STEPS, 2)))
@pytest.mark.parametrize("is_submitted_at_leader", [True, False])
def test_a_job_that_is_cancelled_elsewhere_does_not_start_by_an_old_view(
    is_submitted_at_leader: bool, steps: Sequence[str], fault: str
) -> None:
    """Guards against a start after a cancelling that the silent watch of the leader lacks."""
    harness = LeaderHarness()
    (harness.leader if is_submitted_at_leader else harness.other).submit()
    harness.leader.hear()
    harness.other.cancel()
    faults = [fault]
    harness.store.fault = lambda operation: faults.pop() if operation == "commit" and faults else ""
    for step in ("plan", *steps):
        harness.do(step)
        harness.plan()
    assert harness.started_tasks() == []
    assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.CANCELLED


def test_a_cancelling_that_is_applied_late_is_known_to_the_next_start() -> None:
    """Guards against a start after a cancelling whose outcome its entry did not know."""
    harness = LeaderHarness()
    harness.leader.submit()

    def fault(operation: str) -> str:
        harness.clock.seconds += 0.3
        return "no_response" if operation == "commit" else ""

    harness.store.fault = fault
    deadline_at = harness.clock.monotonic() + 3.0
    assert harness.leader.intake.cancel(JOB.job_id, deadline_at) is Outcome.UNKNOWN
    harness.store.fault = lambda operation: ""
    harness.store.apply(Write(values={cancel_key(JOB.job_id): b"1"}))
    harness.plan()
    assert harness.started_tasks() == []


def test_one_cancelled_job_does_not_hold_up_the_start_of_the_others() -> None:
    """Guards against a plan that is never written, or written in part, as one job is cancelled."""
    harness = LeaderHarness()
    small = Step(count=1, accelerators=1, run_time_s=5.0)
    values = {}
    for number in range(2 * MAX_KEYS_PER_WRITE):
        worker = TargetId(f"w{number}")
        values[report_key(worker)] = encode(make_report(f"i-w{number}:1"))
        values[presence_key(worker)] = b"1"
    harness.store.apply(Write(values=values))
    harness.term._report_replica.sync()
    jobs = [make_job([small], name=f"{number:016x}") for number in range(MAX_KEYS_PER_WRITE + 5)]
    for job in jobs:
        harness.leader.submit(job)
    harness.other.hear()
    for job in jobs[::10]:
        harness.other.cancel(job)
    harness.plan()
    orders = [
        decode(item.value or b"", WorkOrder)
        for key, item in harness.store.items.items()
        if key.startswith(ORDERS_PREFIX)
    ]
    started = {a.task[:16] for order in orders for a in order.assignments if not a.stop}
    assert started == {job.job_id for job in jobs} - {job.job_id for job in jobs[::10]}
    assert all(
        len(write.expected) + len(write.values) + len(write.deletes) <= STORE_LIMIT
        for write in harness.store.writes
        if LEADER_KEY in write.values
    )


@pytest.mark.parametrize("fault", ["", "refuse", "no_response", "lose"])
@pytest.mark.parametrize("is_cancelled_before", [True, False])
def test_a_takeover_starts_no_cancelled_job_whose_order_was_never_written(
    is_cancelled_before: bool, fault: str
) -> None:
    """Guards against a start by a new leader, as the last one ended between two writes."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.other.hear()
    place = Place(WORKER, make_report().incarnation)
    unit = Unit(state=UnitState.ASSIGNED, run=1, places=[place])
    progress = Progress(state=BatchState.RUNNING, units={"0.0.0": unit})
    harness.store.apply(Write(values={progress_key(JOB.job_id): encode_progress(progress)}))
    if is_cancelled_before:
        harness.other.cancel()
    harness.take_over()
    if not is_cancelled_before:
        harness.other.cancel()
    faults = [fault]
    harness.store.fault = lambda operation: faults.pop() if operation == "commit" and faults else ""
    for _ in range(2):
        harness.plan()
    assert harness.started_tasks() == []
    assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.CANCELLED


@pytest.mark.parametrize("is_leader_silent", [False, True])
def test_a_takeover_stops_the_runs_of_a_job_that_was_cancelled_meanwhile(
    is_leader_silent: bool,
) -> None:
    """Guards against a task that runs on, as nobody led when its job was cancelled."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.other.hear()
    harness.plan()
    (task,) = harness.started_tasks()
    report = make_report(accepted={TaskId(task): 1})
    harness.store.apply(Write(values={report_key(WORKER): encode(report)}))
    harness.other.cancel()
    if not is_leader_silent:
        harness.leader.hear()
    harness.take_over()
    harness.plan()
    order = decode(harness.store.items[order_key(WORKER)].value or b"", WorkOrder)
    assert [(a.task, a.run, a.stop) for a in order.assignments] == [(task, 1, True)]


def record_starts(harness: LeaderHarness) -> list[tuple[Write, set[str]]]:
    """Return the writes of orders, each with the jobs that it starts and the one before did not."""
    writes = []
    known: set[str] = set()
    for write in harness.store.writes:
        if order_key(WORKER) in write.values:
            order = decode(write.values[order_key(WORKER)], WorkOrder)
            jobs = {a.task[:16] for a in order.assignments}
            writes.append((write, jobs - known))
            known = jobs
    return writes


@pytest.mark.parametrize("is_taken_over", [False, True])
def test_no_order_starts_more_jobs_than_its_write_depends_on(is_taken_over: bool) -> None:
    """Guards against a start that does not depend on its cancelling, as too many start at once."""
    harness = LeaderHarness()
    step = Step(count=1, cores=10, run_time_s=5.0)
    jobs = [make_job([step], name=f"{number:016x}") for number in range(2 * MAX_KEYS_PER_WRITE)]
    for job in jobs:
        harness.leader.submit(job)
    if is_taken_over:
        # A leader of an earlier version has stored the progress of the jobs, but not the order.
        place = Place(WORKER, make_report().incarnation)
        unit = Unit(state=UnitState.ASSIGNED, run=1, places=[place])
        progress = Progress(state=BatchState.RUNNING, units={"0.0.0": unit})
        values = {progress_key(job.job_id): encode(progress) for job in jobs}
        harness.store.apply(Write(values=values))
        harness.take_over()
    for _ in range(4):
        harness.plan()
        tasks = harness.started_tasks()
        report = make_report(accepted={TaskId(task): 1 for task in tasks})
        harness.store.apply(Write(values={report_key(WORKER): encode(report)}))
        harness.term._report_replica.sync()
    writes = record_starts(harness)
    assert {job for _, started in writes for job in started} == {job.job_id for job in jobs}
    for write, started in writes:
        assert {cancel_key(JobId(job)) for job in started} <= write.expected.keys()
        assert len(write.expected) + len(write.values) + len(write.deletes) <= STORE_LIMIT


def test_a_worker_is_free_again_after_a_prevented_start() -> None:
    """Guards against a worker that keeps room for a run that was never started."""
    deployment = Deployment()
    try:
        deployment.wait(lambda: any(is_leading(entry) for entry in deployment.entries))
        deployment.wait(lambda: deployment.agent.dump()["registered"] is True)
        leader = next(entry for entry in deployment.entries if is_leading(entry))
        other = next(entry for entry in deployment.entries if entry is not leader)
        leader.replica.stop()
        leader.view.lock.acquire()
        try:
            assert other.intake.submit(JOB, time.monotonic() + 3.0) is Outcome.DONE
            assert other.intake.cancel(JOB.job_id, time.monotonic() + 3.0) is Outcome.DONE
        finally:
            leader.view.lock.release()
        leader.replica.apply_own([deployment.store.items[job_key(JOB.job_id)]])
        later = make_job([STEP], name="b" * 16)
        assert leader.intake.submit(later, time.monotonic() + 3.0) is Outcome.DONE
        task = TaskId(f"{later.job_id}.0.0.0")
        deployment.wait(lambda: task in deployment.executor.runs)
        deployment.executor.end(task, EndKind.DONE)
        assert deployment.executor.started == [(task, 1)]
    finally:
        deployment.stop()


def test_a_removed_job_is_not_started_by_a_late_read() -> None:
    """Guards against a job that an entry has read before its removal and applies after it."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.leader.cancel()
    harness.leader.hear()
    harness.plan()
    read_before = harness.store.items[f"own/jobs/{JOB.job_id}"]
    harness.clock.seconds += RETENTION_S + STATUS_RETENTION_MARGIN_S + 1
    harness.plan()
    harness.leader.hear()
    assert harness.leader.view.jobs_by_id == {}

    def read(key: str, *, timeout_s: float = 1.0) -> Item:
        return read_before

    harness.store.read = read  # type: ignore[method-assign]
    harness.leader.intake.job_state(JOB.job_id)
    harness.plan()
    assert harness.started_tasks() == []


def test_a_removed_job_leaves_the_view_though_its_removal_was_not_heard() -> None:
    """Guards against a job that a later term starts, as only a call of this entry knew of it."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.leader.cancel()
    harness.plan()
    harness.clock.seconds += RETENTION_S + STATUS_RETENTION_MARGIN_S + 1
    harness.plan()
    harness.do("history lost")
    harness.take_over()
    harness.plan()
    assert harness.started_tasks() == []
    assert harness.leader.view.jobs_by_id == {}


def test_a_paused_leader_keeps_the_later_state_in_its_view() -> None:
    """Guards against a leader that shows a job as running for good after another completed it."""
    harness = LeaderHarness()
    harness.leader.submit()
    write = harness.term._role.write
    completed = StateRecord(BatchState.COMPLETED)

    def write_and_pause(*arguments: Any) -> bool:
        is_written = write(*arguments)
        harness.store.apply(Write(values={state_key(JOB.job_id): encode(completed)}))
        harness.leader.hear()
        return is_written

    harness.term._role.write = write_and_pause  # type: ignore[method-assign, assignment]
    harness.plan()
    harness.leader.hear()
    assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.COMPLETED
