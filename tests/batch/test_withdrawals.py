"""Withdrawal of work that an agent has not accepted, and of no other work."""

import time
from collections.abc import Mapping

import pytest
from tests.batch.fakes import FakeExecutor, ManualClock, MemoryStore, make_job, make_report
from tests.batch.leader_harness import WORKER, LeaderHarness
from tests.batch.test_planner import WHOLE_WORKER, make_planner, submit, tasks_by_worker
from tests.batch.test_whole_path import wait_until

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.executor_poller import LONG_POLL_S
from chicorycrank.batch.keys import decode, encode, order_key, report_key
from chicorycrank.batch.leases import PRESENCE_RESUME_DELAY_S
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.role import LeaderRole
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.withdrawals import (
    ACCEPTANCE_TIMEOUT_S,
    EXPIRED_PRESENCE_TIMEOUT_S,
    withdraw,
)
from chicorycrank.model.batch import (
    Assignment,
    EndKind,
    Step,
    UnitState,
    WorkerReport,
    WorkOrder,
)
from chicorycrank.model.ids import EntryId, Incarnation, TargetId, TaskId
from chicorycrank.ports.transactions import MISSING, Committed, Conflict, Revision, Write

INCARNATION = Incarnation("i-1:1")
TASK = TaskId("a.0.0.0")
# Time from the start of an agent until it starts tasks: it waits until the leader knows of its
# presence.
SETTLED_S = PRESENCE_RESUME_DELAY_S + 0.3
GANG = Step(count=2, accelerators=8, cores=1000, run_time_s=5.0, gang=True)


def make_order(*rows: tuple[str, int], incarnation: Incarnation = INCARNATION) -> WorkOrder:
    return WorkOrder(
        incarnation=incarnation,
        assignments=tuple(Assignment(task=TaskId(t), run=r) for t, r in rows),
    )


class RecordingWrite:
    """Conditional write that records its conditions and returns a fixed result."""

    def __init__(self, *, is_done: bool = True) -> None:
        self.is_done = is_done
        self.conditions: list[Mapping[str, Revision]] = []

    def __call__(self, values: dict[str, bytes], expected: Mapping[str, Revision]) -> bool:
        """Record the conditions of a write."""
        self.conditions.append(expected)
        return self.is_done


def planner_with_written_order(step: Step = WHOLE_WORKER) -> tuple[Planner, str, list[str]]:
    """Return a planner with a job whose order was just written, the job id and its workers."""
    planner = make_planner()
    job = submit(planner, make_job([step]))
    workers = list(tasks_by_worker(planner))
    for worker in workers:
        planner.workers.by_id[TargetId(worker)].order_written_at = planner.now_s
        planner.workers.by_id[TargetId(worker)].revision = Revision(7)
    return planner, job.job_id, workers


def accept(planner: Planner, worker: str) -> None:
    members = planner.members_by_worker[TargetId(worker)]
    report = planner.workers.by_id[TargetId(worker)].report
    report.accepted = {task: planner.run_number(member) for task, member in members.items()}


@pytest.mark.parametrize(
    ("is_present", "waited_s", "is_withdrawn"),
    [
        (True, ACCEPTANCE_TIMEOUT_S - 0.1, False),
        (True, ACCEPTANCE_TIMEOUT_S, True),
        (False, EXPIRED_PRESENCE_TIMEOUT_S - 0.1, False),
        (False, EXPIRED_PRESENCE_TIMEOUT_S, True),
    ],
)
def test_work_that_is_not_accepted_starts_on_another_worker(
    is_present: bool, waited_s: float, is_withdrawn: bool
) -> None:
    """Guards against a job that waits for a suspended machine that never received its order."""
    planner, _, (worker,) = planner_with_written_order()
    planner.workers.set_present(TargetId(worker), is_present)
    planner.set_time(planner.now_s + waited_s, 0)
    recording_write = RecordingWrite()
    withdraw(planner, recording_write)
    planner.plan()
    others = [other for other in tasks_by_worker(planner) if other != worker]
    assert bool(others) is is_withdrawn
    assert recording_write.conditions == (
        [{report_key(TargetId(worker)): 7}] if is_withdrawn else []
    )


def test_accepted_work_is_not_withdrawn() -> None:
    """Guards against a second run beside one that an agent without presence has started."""
    planner, _, (worker,) = planner_with_written_order()
    accept(planner, worker)
    planner.workers.set_present(TargetId(worker), False)
    planner.set_time(planner.now_s + 10.0, 0)
    recording_write = RecordingWrite()
    withdraw(planner, recording_write)
    assert recording_write.conditions == []


def test_work_that_is_accepted_during_a_withdrawal_is_kept() -> None:
    """Guards against the loss of an acceptance that is stored before the leader reads it."""
    planner, _, (worker,) = planner_with_written_order()
    planner.set_time(planner.now_s + ACCEPTANCE_TIMEOUT_S, 0)
    withdraw(planner, RecordingWrite(is_done=False))
    planner.plan()
    assert list(tasks_by_worker(planner)) == [worker]


def test_a_withdrawal_that_fails_is_not_repeated() -> None:
    """Guards against a leader that writes in vain in each plan while its watch hears nothing."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.plan()
    (task,) = harness.started_tasks()
    report = make_report(accepted={TaskId(task): 1})
    harness.store.apply(Write(values={report_key(WORKER): encode(report)}))
    attempts = []
    apply = harness.store.apply

    def record(write: Write) -> Committed | Conflict:
        answer = apply(write)
        attempts.append(isinstance(answer, Conflict))
        return answer

    harness.store.apply = record  # type: ignore[method-assign]
    for _ in range(3):
        harness.clock.seconds += ACCEPTANCE_TIMEOUT_S
        harness.plan()
    assert attempts == [True]


def test_the_other_members_of_a_gang_are_stopped() -> None:
    """Guards against members that occupy their workers while they wait for the withdrawn one."""
    planner, job_id, workers = planner_with_written_order(GANG)
    accept(planner, workers[1])
    planner.set_time(planner.now_s + ACCEPTANCE_TIMEOUT_S, 0)
    withdraw(planner, RecordingWrite())
    (unit,) = next(iter(planner.progress_by_id.values())).units.values()
    assert unit.state is UnitState.STOPPING
    assert tasks_by_worker(planner) == {workers[1]: [(f"{job_id}.0.0.1", 1, True)]}


@pytest.mark.parametrize("is_first", [True, False], ids=["accepted-first", "withdrawn-first"])
def test_only_one_of_acceptance_and_withdrawal_succeeds(is_first: bool) -> None:
    """Guards against a start after the leader has assigned the work to another worker."""
    store = MemoryStore()
    worker = TargetId("w")
    role = LeaderRole(store, EntryId("one"))
    assert role.acquire()
    store.apply(Write(values={report_key(worker): encode(WorkerReport())}))
    role.write({order_key(worker): encode(make_order((TASK, 1)))}, ())
    report, named = store.items[report_key(worker)], store.items[order_key(worker)]
    acceptance = Write(
        expected={report.key: report.revision, named.key: named.revision},
        values={report.key: encode(WorkerReport(accepted={TASK: 1}))},
    )
    if is_first:
        store.apply(acceptance)
    is_withdrawn = role.write(
        {order_key(worker): encode(make_order())}, (), {report.key: report.revision}
    )
    assert is_withdrawn is not is_first
    if not is_first:
        assert isinstance(store.apply(acceptance), Conflict)
    # The leader can write after a condition that did not hold.
    assert role.write({"key": b"1"}, ())


def test_a_run_is_started_only_once_it_is_accepted() -> None:
    """Guards against a start call before the acceptance of the run is stored."""
    table = RunTable()
    table.apply_order(make_order((TASK, 1)), INCARNATION)
    assert table.claim_runs_to_call() == []
    table.record_accepted(table.runs_to_accept())
    assert [run.assignment.task for run in table.claim_runs_to_call()] == [TASK]


@pytest.mark.parametrize(
    "later",
    [
        make_order(),
        make_order(incarnation=Incarnation("")),
        make_order(("b.0.0.0", 1), incarnation=Incarnation("i-2:2")),
    ],
    ids=["no-work", "no-incarnation", "other-incarnation"],
)
def test_a_run_that_is_withdrawn_before_its_acceptance_ends_without_a_call(
    later: WorkOrder,
) -> None:
    """Guards against an acceptance and a start of a run that the order no longer names.

    An order without work has no incarnation. An agent that kept the run after such an order could
    start it while the leader assigns the task to another worker, so that it runs twice.
    Soak seed 5 showed this.
    """
    table = RunTable()
    table.apply_order(make_order((TASK, 1)), INCARNATION)
    table.apply_order(later, INCARNATION)
    assert table.runs_to_accept() == {}
    table.record_accepted({TASK: 1})
    assert (table.claim_runs_to_call(), [end.kind for end in table.ends]) == ([], [EndKind.STOPPED])


def test_an_agent_that_restarts_restores_the_accepted_runs() -> None:
    """Guards against accepted runs that appear not to have started after a restart."""
    store, clock, worker = MemoryStore(), ManualClock(), TargetId("w")
    old = WorkerReport(incarnation=INCARNATION, fence=1, accepted={TASK: 1})
    store.apply(Write(values={report_key(worker): encode(old)}))
    store.apply(Write(values={order_key(worker): encode(make_order((TASK, 1)))}))
    agent = BatchAgent(worker, store, FakeExecutor(), clock, max_lease_s=10.0)
    agent.apply_heartbeat(
        WorkerReport(incarnation=INCARNATION), number=1, started_at_ms=1, clock_ms=1
    )
    candidate = agent.executor_state.next_candidate()
    assert candidate is not None
    assert agent._register(candidate)
    item = store.items[report_key(worker)]
    assert item.value is not None
    assert decode(item.value, WorkerReport).accepted == {TASK: 1}
    assert store.items[report_key(worker)].revision != MISSING


def test_a_new_order_is_accepted_at_once() -> None:
    """Guards against an order that waits for the next periodic check of the report."""
    store, worker = MemoryStore(), TargetId("w")
    executor = FakeExecutor()
    agent = BatchAgent(worker, store, executor, SystemClock(), max_lease_s=10.0)
    agent.apply_heartbeat(make_report(), number=1, started_at_ms=1, clock_ms=1)
    agent.start()
    try:
        wait_until(lambda: agent.table.order.incarnation == "" and agent._is_registered)
        time.sleep(SETTLED_S)
        written_at = time.monotonic()
        store.apply(Write(values={order_key(worker): encode(make_order((TASK, 1)))}))
        wait_until(lambda: bool(executor.started))
        assert time.monotonic() - written_at < LONG_POLL_S / 2
    finally:
        agent.stop()
