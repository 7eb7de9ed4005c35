"""What an agent takes as proof that a run has ended, and what it takes as a hint only."""

import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import pytest
from tests.batch.fakes import FakeExecutor, MemoryStore, make_job, make_report
from tests.batch.test_planner import WORKERS, make_planner, submit
from tests.batch.test_whole_path import wait_until

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.crash_records import START_SURVIVAL_MS, START_WINDOW_MS
from chicorycrank.batch.executor_clock import MAX_READING_AGE_S
from chicorycrank.batch.keys import decode, encode, order_key, report_key
from chicorycrank.model.batch import (
    Assignment,
    EndKind,
    Step,
    TaskEnd,
    WorkerReport,
    WorkerState,
    WorkOrder,
)
from chicorycrank.model.ids import Incarnation, TargetId, TaskId
from chicorycrank.ports.executor import (
    ExecutorStatus,
    ExecutorUnreachableError,
    OtherIncarnationError,
    StartAnswer,
    StartOrder,
)
from chicorycrank.ports.transactions import Write

WORKER = TargetId("w")
TASK = TaskId("a.0.0.0")
LEASE_S = 1.0
MAX_LEASE_S = LEASE_S / 0.8
# The agent has had some polls, each of a second at most, and a lease would have expired.
SETTLED_S = 3.0
SUSPENSION_S = 21.0
REMAINING_MS = 6000


class JumpingClock(SystemClock):
    """Clock that a test moves as a suspension of the machine does."""

    offset_s = 0.0

    def monotonic(self) -> float:
        """Return the time since the start, with the suspensions."""
        return time.monotonic() + self.offset_s


class World:
    """An agent whose executor runs one task, without a leader."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.executor = FakeExecutor()
        self.clock = JumpingClock()
        self.number = 0
        self.write_order(1)
        self.agent = self.start_agent()
        self.beat()
        wait_until(lambda: TASK in self.executor.runs)
        wait_until(lambda: self.agent.table.runs_by_task[TASK].started_at is not None)
        wait_until(lambda: self.report().accepted == {TASK: 1})

    def start_agent(self) -> BatchAgent:
        """Start a process of the agent."""
        agent = BatchAgent(WORKER, self.store, self.executor, self.clock, max_lease_s=MAX_LEASE_S)
        agent.start()
        return agent

    def restart_agent(self) -> None:
        """Replace the process of the agent by another one."""
        self.agent.stop()
        for lease in list(self.store.keys_by_lease):
            self.store.expire_lease(lease)  # type: ignore[arg-type]
        self.agent = self.start_agent()

    def write_order(self, *runs: int, incarnation: str = "i-1:1", stop: bool = False) -> None:
        """Write the order of the leader."""
        order = WorkOrder(
            incarnation=Incarnation(incarnation),
            assignments=tuple(Assignment(task=TASK, run=run, stop=stop) for run in runs),
        )
        self.store.apply(Write(values={order_key(WORKER): encode(order)}))

    def beat(
        self,
        incarnation: str = "i-1:1",
        state: WorkerState = WorkerState.READY,
        number: int | None = None,
    ) -> None:
        """Send a heartbeat to the agent."""
        self.number += 1
        self.agent.apply_heartbeat(
            make_report(
                incarnation,
                state=state,
                remaining_ms=REMAINING_MS if state is WorkerState.DRAINING else 0,
            ),
            number=self.number if number is None else number,
            started_at_ms=int(incarnation.rpartition(":")[2]),
            clock_ms=1000,
        )

    def restart_executor(self, incarnation: str = "i-1:2") -> None:
        """Replace the executor by a new incarnation, which knows nothing."""
        self.executor.runs.clear()
        self.executor.closed_run_by_task.clear()
        self.executor.ends.clear()
        self.executor.end_count = self.executor.fence = 0
        self.executor.incarnation = Incarnation(incarnation)
        self.executor.fault = ""

    def start_late(self, run: int = 1) -> None:
        """Let the executor carry out an order that was sent to an earlier incarnation."""
        self.executor.execute(
            StartOrder(
                task=TASK,
                run=run,
                payload="",
                checkpoint="",
                ticket="",
                deadline_ms=0,
                fence=1,
                incarnation=self.executor.incarnation,
            )
        )

    def report(self) -> WorkerReport:
        """Return the stored report."""
        item = self.store.items.get(report_key(WORKER))
        return decode(item.value, WorkerReport) if item and item.value else WorkerReport()

    def reports(self) -> list[WorkerReport]:
        """Return all reports that were stored."""
        values = [write.values.get(report_key(WORKER)) for write in list(self.store.writes)]
        return [decode(value, WorkerReport) for value in values if value]

    def reported_ends(self) -> list[EndKind]:
        """Return the ends of the task's first run that were ever reported."""
        ends = [end for report in self.reports() for end in report.ends if end.run == 1]
        return list(dict.fromkeys(end.kind for end in ends))

    def wait_ended(self) -> TaskEnd:
        """Wait until an end of the task's first run is reported."""
        wait_until(lambda: bool(self.report().ends))
        (end,) = self.report().ends
        return end


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.agent.stop()


def beat_of_another_writer(world: World) -> None:
    world.beat("i-9:5")


def beat_with_a_later_start_time(world: World) -> None:
    world.beat("i-1:7")


def beat_of_an_earlier_life(world: World) -> None:
    world.beat("i-0:0")


def exit_notice(world: World) -> None:
    world.agent.record_executor_exit("i-1")


def refused_port(world: World) -> None:
    world.executor.fault = "refused"
    time.sleep(1.2)
    world.executor.fault = ""


def frozen_executor(world: World) -> None:
    world.executor.fault = "no_response"
    time.sleep(SETTLED_S)
    world.executor.fault = ""


def suspended_machine(world: World) -> None:
    world.executor.fault = "refused"
    time.sleep(0.2)
    world.clock.offset_s += SUSPENSION_S
    time.sleep(0.4)
    world.executor.fault = ""


def restart_beside_a_draining_executor(world: World) -> None:
    world.beat(state=WorkerState.DRAINING)
    world.restart_agent()
    world.beat(state=WorkerState.DRAINING)


def restart_with_a_heartbeat_of_an_earlier_life(world: World) -> None:
    world.restart_agent()
    world.beat("i-0:0")
    time.sleep(0.5)
    world.beat()


def restart_with_a_heartbeat_of_another_writer(world: World) -> None:
    world.restart_agent()
    world.beat("i-1:7")
    time.sleep(0.5)
    world.beat()


HINTS: list[Callable[[World], None]] = [
    beat_of_another_writer,
    beat_with_a_later_start_time,
    beat_of_an_earlier_life,
    exit_notice,
    refused_port,
    frozen_executor,
    suspended_machine,
    restart_beside_a_draining_executor,
    restart_with_a_heartbeat_of_an_earlier_life,
    restart_with_a_heartbeat_of_another_writer,
]


@pytest.mark.parametrize("hint", HINTS, ids=lambda hint: hint.__name__)
def test_a_hint_ends_no_run(world: World, hint: Callable[[World], None]) -> None:
    """Guards against a run that is reported as ended and starts elsewhere while it goes on."""
    hint(world)
    time.sleep(SETTLED_S)
    assert (world.reported_ends(), list(world.executor.runs)) == ([], [TASK])
    assert {report.incarnation for report in world.reports()} == {"i-1:1"}
    assert world.report().accepted == {TASK: 1}
    assert not world.report().is_unreachable
    world.executor.end(TASK, EndKind.DONE)
    wait_until(lambda: world.reported_ends() == [EndKind.DONE])
    assert world.executor.started == [(TASK, 1)]


@pytest.mark.parametrize("incarnation", ["", "i-1:1", "i-1:2"])
def test_a_run_that_the_order_names_no_more_is_stopped(world: World, incarnation: str) -> None:
    """Guards against a run that goes on after the leader has given its task to another worker."""
    world.write_order(incarnation=incarnation)
    assert world.wait_ended().kind is EndKind.STOPPED
    assert world.executor.runs == {}


@dataclass(frozen=True, kw_only=True)
class Proof:
    """Way in which an incarnation ends, and the end that is reported."""

    name: str
    observe: Callable[[World], None]
    expected: EndKind


def replaced(world: World) -> None:
    world.restart_executor()
    world.beat("i-1:2")


def replaced_under_another_id(world: World) -> None:
    world.restart_executor("i-2:2")
    world.beat("i-2:2")


def replaced_while_the_agent_was_down(world: World) -> None:
    world.agent.stop()
    world.restart_executor()
    world.agent = world.start_agent()
    world.beat("i-1:2")


def crashed_for_good(world: World) -> None:
    world.executor.fault = "refused"


def drained_and_exited(world: World) -> None:
    world.beat(state=WorkerState.DRAINING)
    world.agent.record_executor_exit("i-1")
    world.executor.fault = "refused"


def exited_without_draining(world: World) -> None:
    world.agent.record_executor_exit("i-1")
    world.executor.fault = "refused"


PROOFS = [
    Proof(name="replaced", observe=replaced, expected=EndKind.CRASHED),
    Proof(name="other-id", observe=replaced_under_another_id, expected=EndKind.CRASHED),
    Proof(name="agent-down", observe=replaced_while_the_agent_was_down, expected=EndKind.CRASHED),
    Proof(name="lease-expired", observe=crashed_for_good, expected=EndKind.CRASHED),
    Proof(name="drained", observe=drained_and_exited, expected=EndKind.LOST),
    Proof(name="exited", observe=exited_without_draining, expected=EndKind.LOST),
]


@pytest.mark.parametrize("proof", PROOFS, ids=lambda proof: proof.name)
def test_a_proof_ends_the_runs_explicitly(world: World, proof: Proof) -> None:
    """Guards against a run that never ends, or whose end the leader can miss."""
    proof.observe(world)
    assert world.wait_ended() == world.report().ends[0]
    report = world.report()
    assert [(end.task, end.run, end.kind) for end in report.ends] == [(TASK, 1, proof.expected)]
    assert report.accepted == {TASK: 1}
    world.write_order()
    wait_until(lambda: (world.report().ends, world.report().accepted) == ([], {}))


def test_a_crash_after_later_heartbeats_is_not_just_after_the_start(world: World) -> None:
    """Guards against a job given up for crashes seconds after its calls have begun to fail."""
    world.executor.fault = "no_response"
    failed_at = time.monotonic()
    while time.monotonic() - failed_at < SETTLED_S:
        world.beat()
        time.sleep(0.2)
    replaced(world)
    end = world.wait_ended()
    assert (end.kind, end.has_started) == (EndKind.CRASHED, True)
    assert end.age_ms >= START_WINDOW_MS or end.survived_ms >= START_SURVIVAL_MS


def test_an_executor_that_refuses_gets_no_new_run_and_keeps_those_it_has(world: World) -> None:
    """Guards against work that waits for a crashed executor while others are idle."""
    world.executor.fault = "refused"
    wait_until(lambda: world.report().is_unreachable)
    other = Assignment(task=TaskId("b.0.0.0"), run=1)
    order = WorkOrder(
        incarnation=Incarnation("i-1:1"), assignments=(Assignment(task=TASK, run=1), other)
    )
    world.store.apply(Write(values={order_key(WORKER): encode(order)}))
    time.sleep(0.3)
    assert (world.report().accepted, world.reported_ends()) == ({TASK: 1}, [])
    world.executor.fault = ""
    wait_until(lambda: other.task in world.executor.runs)
    assert not world.report().is_unreachable


@pytest.mark.parametrize(
    ("suspended_s", "is_witnessed"),
    [(0.0, True), (MAX_READING_AGE_S - 0.5, True), (SUSPENSION_S, False)],
)
@pytest.mark.parametrize("before", ["quiet", "crash-found", "answer-on-its-way"])
def test_a_crash_that_the_agent_has_slept_through_has_no_witness(
    world: World, suspended_s: float, is_witnessed: bool, before: str
) -> None:
    """Guards against a job that is given up for a crash after the end of its run.

    A run may end as done and its executor crash later, while the agent is frozen.
    """
    extend_lease = world.executor.extend_lease
    polls_may_go_on, polls_wait = threading.Event(), threading.Event()

    def hold(**arguments: Any) -> ExecutorStatus:
        if polls_may_go_on.is_set():
            return extend_lease(**arguments)
        status = extend_lease(**arguments) if before == "answer-on-its-way" else None
        polls_wait.set()
        polls_may_go_on.wait()
        return status or extend_lease(**arguments)

    if before == "crash-found":
        world.executor.fault = "refused"
        wait_until(lambda: world.report().is_unreachable)
    world.executor.extend_lease = hold  # type: ignore[method-assign]
    wait_until(polls_wait.is_set)
    world.clock.offset_s += suspended_s
    world.restart_executor()
    polls_may_go_on.set()
    world.beat("i-1:2")
    end = world.wait_ended()
    assert (end.kind, end.is_witnessed) == (
        EndKind.CRASHED,
        is_witnessed or before == "crash-found",
    )


@pytest.mark.parametrize(
    ("first_answer", "expected"),
    [
        (ExecutorUnreachableError("refused", refused=True), EndKind.LOST),
        (StartAnswer.UNHEALTHY, EndKind.LOST),
        (StartAnswer.FENCED, EndKind.LOST),
        (OtherIncarnationError("another one answered"), EndKind.LOST),
        (ExecutorUnreachableError("no answer"), EndKind.CRASHED),
    ],
    ids=["refused", "unhealthy", "fenced", "other-incarnation", "no-answer"],
)
def test_a_start_that_was_refused_is_no_crash_under_its_task(
    first_answer: StartAnswer | Exception, expected: EndKind
) -> None:
    """Guards against a job that is given up because executors were down before its starts.

    Only a call without an answer may have started the run.
    """
    store, executor = MemoryStore(), FakeExecutor()
    agent = BatchAgent(WORKER, store, executor, SystemClock(), max_lease_s=MAX_LEASE_S)
    agent.start()
    agent.apply_heartbeat(make_report(), number=1, started_at_ms=1, clock_ms=1000)
    try:
        wait_until(lambda: executor.fence > 0)
        calls: list[StartOrder] = []

        def refuse(order: StartOrder) -> StartAnswer:
            calls.append(order)
            executor.fault = "refused"
            if len(calls) > 1:
                raise ExecutorUnreachableError("refused", refused=True)
            if isinstance(first_answer, Exception):
                raise first_answer
            return first_answer

        executor.start = refuse  # type: ignore[method-assign]
        order = WorkOrder(
            incarnation=executor.incarnation, assignments=(Assignment(task=TASK, run=1),)
        )
        store.apply(Write(values={order_key(WORKER): encode(order)}))
        wait_until(lambda: bool(calls) and bool(agent.table.ends))
        assert [end.kind for end in agent.table.ends] == [expected]
    finally:
        agent.stop()


def test_a_worker_whose_executor_is_unreachable_gets_no_new_work() -> None:
    """Guards against new work that waits for a crashed executor while its runs stay."""
    planner = make_planner(WORKERS[:1])
    job = submit(planner, make_job([Step(count=1, accelerators=4, run_time_s=5.0)], name="a" * 16))
    report = make_report(f"i-{WORKERS[0]}:1", is_unreachable=True)
    planner.apply_report(WORKERS[0], report)
    submit(planner, make_job([Step(count=1, accelerators=4, run_time_s=5.0)], name="b" * 16))
    assert list(planner.members_by_worker[WORKERS[0]]) == [f"{job.job_id}.0.0.0"]
    planner.apply_report(WORKERS[0], make_report(f"i-{WORKERS[0]}:1"))
    planner.plan()
    assert len(planner.members_by_worker[WORKERS[0]]) == 2


def test_a_late_run_of_a_new_life_is_gone_before_the_report_names_that_life(world: World) -> None:
    """Guards against a task that an old order starts on a new life while it starts elsewhere."""
    wait_until(lambda: world.agent.table.runs_by_task[TASK].listed_at is not None)
    world.restart_executor()
    world.start_late()
    stopped_at: list[int] = []
    stop = world.executor.stop

    def record_stop(task: TaskId, run: int, fence: int, incarnation: Incarnation) -> bool:
        stopped_at.append(len(world.reports()))
        return stop(task, run, fence, incarnation)

    world.executor.stop = record_stop  # type: ignore[method-assign]
    world.beat("i-1:2")
    wait_until(lambda: world.report().incarnation == "i-1:2")
    named = [report.incarnation for report in world.reports()].index(Incarnation("i-1:2"))
    assert stopped_at and stopped_at[0] <= named
    assert (world.executor.runs, world.reported_ends()) == ({}, [EndKind.CRASHED])


def test_a_task_that_a_new_life_has_done_on_a_late_order_is_reported_as_done(world: World) -> None:
    """Guards against a second run of a task that is done."""
    world.restart_executor()
    world.start_late()
    world.executor.end(TASK, EndKind.DONE)
    world.beat("i-1:2")
    assert world.wait_ended().kind is EndKind.DONE


def test_a_life_that_answers_after_it_was_given_up_has_the_last_word(world: World) -> None:
    """Guards against an end that was concluded and hides the one that the executor lists."""
    world.executor.fault = "refused"
    assert world.wait_ended().kind is EndKind.CRASHED
    world.executor.end(TASK, EndKind.DONE)
    world.executor.fault = ""
    wait_until(lambda: [end.kind for end in world.report().ends] == [EndKind.DONE])
    wait_until(lambda: not world.executor.ends)
    assert not world.report().is_unreachable


def test_a_run_that_was_given_up_is_stopped_when_its_life_answers_again(world: World) -> None:
    """Guards against a run that goes on after the leader was told that it is lost."""
    world.executor.fault = "refused"
    world.wait_ended()
    world.executor.fault = ""
    wait_until(lambda: not world.executor.runs)
    assert world.executor.started == [(TASK, 1)]


@pytest.mark.parametrize(
    ("state", "expected"),
    [(WorkerState.READY, ([(TASK, 1)], [])), (WorkerState.DRAINING, ([], [EndKind.REJECTED]))],
    ids=["ready", "draining"],
)
def test_an_accepted_run_that_never_began_starts_or_is_rejected_after_a_restart(
    state: WorkerState, expected: tuple[list[tuple[TaskId, int]], list[EndKind]]
) -> None:
    """Guards against a run that an earlier process had accepted and that is never called."""
    store, executor = MemoryStore(), FakeExecutor()
    order = WorkOrder(incarnation=executor.incarnation, assignments=(Assignment(task=TASK, run=1),))
    stored = make_report(accepted={TASK: 1}, fence=1)
    store.apply(
        Write(values={order_key(WORKER): encode(order), report_key(WORKER): encode(stored)})
    )
    agent = BatchAgent(WORKER, store, executor, SystemClock(), max_lease_s=MAX_LEASE_S)
    agent.start()
    agent.apply_heartbeat(make_report(state=state), number=1, started_at_ms=1, clock_ms=1000)
    try:
        wait_until(lambda: (executor.started, [end.kind for end in agent.table.ends]) == expected)
    finally:
        agent.stop()


@pytest.mark.parametrize("is_draining", [False, True])
def test_a_late_heartbeat_at_a_restarted_agent_does_not_reopen_a_draining_executor(
    world: World, is_draining: bool
) -> None:
    """Guards against a start on an executor whose draining an earlier process has acknowledged."""
    if is_draining:
        world.beat(state=WorkerState.DRAINING)
        wait_until(lambda: world.report().state is WorkerState.DRAINING)
    world.restart_agent()
    world.beat(number=1)
    wait_until(lambda: world.report().fence == 2)
    assert (world.report().state is WorkerState.DRAINING) is is_draining
    assert world.report().remaining_ms == (REMAINING_MS if is_draining else 0)
