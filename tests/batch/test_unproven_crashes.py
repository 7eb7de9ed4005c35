"""Crashes of executors that an expired lease suggests and no later incarnation has shown."""

import threading
import time
from dataclasses import dataclass, replace
from typing import Any

import pytest
from tests.batch.fakes import FakeExecutor, MemoryStore, make_job, make_report
from tests.batch.test_crash_attribution import (
    JUST_STARTED_MS,
    TASK,
    WHOLE_WORKER,
    SimulatedFleet,
)
from tests.batch.test_planner import make_planner
from tests.batch.test_whole_path import wait_until

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.crash_records import PROOF_TIMEOUT_MS
from chicorycrank.batch.crash_verdict import MAX_ATTRIBUTED_CRASHES
from chicorycrank.batch.executor_poller import LONG_POLL_S, PROBATION_POLL_S
from chicorycrank.batch.keys import encode, order_key
from chicorycrank.model.batch import (
    Assignment,
    BatchState,
    EndKind,
    Step,
    Submission,
    TaskEnd,
    WorkOrder,
)
from chicorycrank.model.ids import Incarnation, TargetId, TaskId
from chicorycrank.policy.crashes import OUTAGE_WINDOW_MS
from chicorycrank.ports.executor import (
    ExecutorStatus,
    ExecutorUnreachableError,
    OtherIncarnationError,
    StartAnswer,
    StartOrder,
)
from chicorycrank.ports.transactions import Write

WORKER = TargetId("w1")
TASK_ID = TaskId("a.0.0.0")
MAX_LEASE_S = 1.25

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
    for _ in range(MAX_ATTRIBUTED_CRASHES - 1):
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
    for _ in range(MAX_ATTRIBUTED_CRASHES - 1):
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
    for _ in range(MAX_ATTRIBUTED_CRASHES):
        fleet.advance(PROOF_TIMEOUT_MS)
        expire_lease(fleet, job)
    fleet.advance(OUTAGE_WINDOW_MS)
    assert not fleet.has_run(job)
    fleet.advance(PROOF_TIMEOUT_MS)
    assert fleet.has_run(job)


@pytest.mark.parametrize(("timed_out", "is_witnessed"), [(False, True), (True, False)])
def test_a_start_into_silence_is_no_crash_that_the_agent_has_seen(
    timed_out: bool, is_witnessed: bool
) -> None:
    """Guards against a job that is given up for executors that its starts never reached."""
    store, executor = MemoryStore(), FakeExecutor()
    agent = BatchAgent(WORKER, store, executor, SystemClock(), max_lease_s=MAX_LEASE_S)
    agent.start()
    agent.apply_heartbeat(make_report(), number=1, started_at_ms=1, clock_ms=1000)
    try:
        wait_until(lambda: executor.fence > 0)

        def break_off(order: StartOrder) -> StartAnswer:
            executor.fault = "refused"
            raise ExecutorUnreachableError("no answer", timed_out=timed_out)

        executor.start = break_off  # type: ignore[method-assign]
        order = WorkOrder(
            incarnation=executor.incarnation,
            assignments=(Assignment(task=TaskId("a.0.0.0"), run=1),),
        )
        store.apply(Write(values={order_key(WORKER): encode(order)}))
        wait_until(lambda: bool(agent.table.ends))
        (end,) = agent.table.ends
        assert (end.kind, end.is_witnessed) == (EndKind.CRASHED, is_witnessed)
    finally:
        agent.stop()


@dataclass(frozen=True, kw_only=True)
class LateStart:
    """Start of which the executor has restarted under the same id before its answer.

    :param earlier: what the calls before the answered one ended with
    :param is_listed_before: the earlier life has listed the run
    :param reaches_next_life: the next life has carried out the start
    :param expected: kind of the end, and whether the crash was seen and the start was confirmed;
        the last two mean nothing for an end that is no crash
    """

    name: str
    earlier: tuple[Exception, ...] = ()
    is_listed_before: bool = False
    reaches_next_life: bool = True
    expected: tuple[EndKind, bool, bool]


SILENCE = ExecutorUnreachableError("cut", timed_out=True)
BROKEN_OFF = ExecutorUnreachableError("reset")
OTHER = OtherIncarnationError("another one answered")
LATE_STARTS = [
    LateStart(name="first-call", expected=(EndKind.LOST, True, True)),
    LateStart(name="after-a-rejection", earlier=(OTHER,), expected=(EndKind.LOST, True, True)),
    LateStart(name="after-silence", earlier=(SILENCE,), expected=(EndKind.CRASHED, False, False)),
    LateStart(name="broken-off", earlier=(BROKEN_OFF,), expected=(EndKind.CRASHED, True, False)),
    LateStart(name="listed", is_listed_before=True, expected=(EndKind.CRASHED, True, True)),
    LateStart(name="earlier-life", reaches_next_life=False, expected=(EndKind.CRASHED, True, True)),
]


@pytest.mark.parametrize("late", LATE_STARTS, ids=lambda late: late.name)
def test_a_start_that_the_next_life_has_answered_is_none_on_the_life_before(
    late: LateStart,
) -> None:
    """Guards against a crash that counts under a run which began only on the next incarnation."""
    store, executor = MemoryStore(), FakeExecutor()
    agent = BatchAgent(WORKER, store, executor, SystemClock(), max_lease_s=MAX_LEASE_S)
    agent.start()
    agent.apply_heartbeat(make_report(), number=1, started_at_ms=1, clock_ms=1000)
    try:
        wait_until(lambda: executor.fence > 0)
        errors = list(late.earlier)
        extend_lease = executor.extend_lease
        # Polls wait until the start is answered, so that no status lists the run before.
        is_answered = threading.Event()

        def answer_status(**arguments: Any) -> ExecutorStatus:
            is_answered.wait()
            return extend_lease(**arguments)

        def start(order: StartOrder) -> StartAnswer:
            if errors:
                raise errors.pop(0)
            if not late.is_listed_before:
                executor.incarnation = Incarnation("i-1:2")
            if late.reaches_next_life:
                # The id is all that a call names.
                return executor.execute(replace(order, incarnation=executor.incarnation))
            return StartAnswer.STARTED

        if not late.is_listed_before:
            executor.extend_lease = answer_status  # type: ignore[method-assign]
        executor.start = start  # type: ignore[method-assign]
        order = WorkOrder(
            incarnation=executor.incarnation, assignments=(Assignment(task=TASK_ID, run=1),)
        )
        store.apply(Write(values={order_key(WORKER): encode(order)}))

        def is_confirmed() -> bool:
            run = agent.table.runs_by_task.get(TASK_ID)
            confirmed_at = run and (run.listed_at if late.is_listed_before else run.started_at)
            return confirmed_at is not None

        wait_until(is_confirmed)
        executor.incarnation = Incarnation("i-1:2")
        executor.fence = 0
        is_answered.set()
        agent.apply_heartbeat(make_report("i-1:2"), number=1, started_at_ms=2, clock_ms=1000)
        wait_until(lambda: bool(agent.table.ends))
        (end,) = agent.table.ends
        assert (end.kind, end.is_witnessed, end.has_started) == late.expected
        assert not executor.runs
    finally:
        agent.stop()


def test_starts_into_silence_give_no_job_up(fleet: SimulatedFleet) -> None:
    job = fleet.submit("a", WHOLE_WORKER)
    worker = fleet.worker_of(f"{job.job_id}.0.0.0")
    fleet.crash(worker, ages_ms={job.job_id: JUST_STARTED_MS})
    fleet.advance(OUTAGE_WINDOW_MS)
    worker = fleet.worker_of(f"{job.job_id}.0.0.0")
    fleet.crash(worker, ages_ms={job.job_id: JUST_STARTED_MS}, is_witnessed=False)
    fleet.advance(OUTAGE_WINDOW_MS)
    assert fleet.has_run(job)


def test_a_run_that_was_never_reached_does_not_excuse_the_one_that_ran(
    fleet: SimulatedFleet,
) -> None:
    job = fleet.submit("a", TASK)
    other = fleet.submit("b", TASK)
    for number in range(MAX_ATTRIBUTED_CRASHES):
        worker = fleet.worker_of(f"{job.job_id}.0.0.0")
        task = TaskId(f"{job.job_id}.0.0.0")
        run = fleet.planner.run_number(fleet.planner.members_by_worker[worker][task])
        ends = [TaskEnd(task, run, EndKind.CRASHED, age_ms=JUST_STARTED_MS)]
        assert number or fleet.worker_of(f"{other.job_id}.0.0.0") == worker
        unreached = TaskId(f"{other.job_id}.0.0.0")
        member = fleet.planner.members_by_worker[worker].get(unreached)
        if member is not None:
            run = fleet.planner.run_number(member)
            ends.append(TaskEnd(unreached, run, EndKind.CRASHED, is_witnessed=False))
        fleet.lives[worker] += 1
        report_life(fleet, worker, ends=ends, is_unreachable=False)
        fleet.advance(OUTAGE_WINDOW_MS)
    assert fleet.state(job) is BatchState.FAILED
    assert fleet.state(other) is not BatchState.FAILED


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


@pytest.mark.parametrize(
    ("probation_ms", "expected_s", "is_cleared"),
    [
        (0, {LONG_POLL_S}, False),
        (300, {LONG_POLL_S, PROBATION_POLL_S}, True),
        (62_000, {LONG_POLL_S, PROBATION_POLL_S}, False),
    ],
)
def test_a_run_on_probation_is_polled_often_until_it_is_cleared_or_has_outlived_its_start(
    probation_ms: int, expected_s: set[float], is_cleared: bool
) -> None:
    """Guards against a run that counts as crashed at its start, as no status lists it in time.

    Also guards against a minute of frequent polls of each executor after an outage.
    """
    store, executor = MemoryStore(), FakeExecutor()
    waits_s: list[float] = []
    extend_lease = executor.extend_lease

    def record_wait(**arguments: Any) -> ExecutorStatus:
        waits_s.append(arguments["wait_s"])
        return extend_lease(**arguments)

    executor.extend_lease = record_wait  # type: ignore[method-assign]
    agent = BatchAgent(WORKER, store, executor, SystemClock(), max_lease_s=MAX_LEASE_S)
    agent.start()
    agent.apply_heartbeat(make_report(), number=1, started_at_ms=1, clock_ms=1000)
    try:
        wait_until(lambda: executor.fence > 0)
        task = TaskId("a.0.0.0")
        assignments = (Assignment(task=task, run=1, probation_ms=probation_ms),)
        order = WorkOrder(incarnation=executor.incarnation, assignments=assignments)
        waits_s.clear()
        store.apply(Write(values={order_key(WORKER): encode(order)}))
        wait_until(lambda: task in executor.runs)
        if is_cleared:
            wait_until(lambda: agent.table.cleared == {task: 1})
        if probation_ms:
            wait_until(lambda: PROBATION_POLL_S in waits_s)
        wait_until(lambda: waits_s[-1] == LONG_POLL_S)
        assert set(waits_s) == expected_s
    finally:
        agent.stop()
