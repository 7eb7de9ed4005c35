"""Orders of events that a review of issue 28 found; each test fails on the reviewed code."""

import json
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from tests.batch.fakes import (
    FakeExecutor,
    MemoryStore,
    make_job,
    make_report,
)
from tests.batch.leader_harness import LeaderHarness
from tests.batch.test_end_proofs import TASK, WORKER, JumpingClock, World
from tests.batch.test_whole_path import wait_until
from tests.incident.scenario import submit
from tests.incident.scenario import wait_until as wait_longer

from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.keys import (
    LEADER_KEY,
    ORDERS_PREFIX,
    cancel_key,
    decode,
    encode,
    order_key,
    presence_key,
    report_key,
    resumption_key,
)
from chicorycrank.batch.leases import MAX_CONFIRMATION_AGE_S, PRESENCE_RESUME_DELAY_S
from chicorycrank.batch.lost_workers import SUSPENSION_LIMIT_S, LostWorkerDetector
from chicorycrank.batch.orders import MAX_KEYS_PER_WRITE
from chicorycrank.batch.workers import WorkerRegistry
from chicorycrank.model.batch import (
    Assignment,
    EndKind,
    Step,
    WorkerReport,
    WorkOrder,
)
from chicorycrank.model.ids import Incarnation, TargetId
from chicorycrank.platform.client import Answer, PlatformClient
from chicorycrank.platform.machines import PlatformMachines
from chicorycrank.platform.report_handler import ExecutorReportHandler
from chicorycrank.platform.server import Request
from chicorycrank.policy.cell import Cell
from chicorycrank.ports.executor import (
    ExecutorStatus,
    ExecutorUnreachableError,
    OtherIncarnationError,
    StartAnswer,
    StartOrder,
)
from chicorycrank.ports.machines import MachinesUnavailableError
from chicorycrank.ports.transactions import (
    MISSING,
    Changes,
    Committed,
    Conflict,
    Revision,
    StoreUnavailableError,
    Write,
)
from chicorycrank_standin.forwarder import Mode
from chicorycrank_standin.soak.callers import Callers
from chicorycrank_standin.soak.deployment import Deployment

MAX_HOLD_S = 10.0
# An executor that has been up for long before it restarts.
OLD_CLOCK_MS = 500_000
CANCEL_BOUND_S = 3.0


class LeasedExecutor(FakeExecutor):
    """Executor with a clock of its own, a lease for all runs, and calls that name its id only."""

    def __init__(self, clock_ms: int) -> None:
        super().__init__()
        self.begin_life("i-1:1", clock_ms)

    def begin_life(self, incarnation: str, clock_ms: int = 0) -> None:
        """Begin a life that holds and knows nothing."""
        self.clock_base = time.monotonic() - clock_ms / 1000
        self.frozen_at: float | None = None
        self.lease_until_ms = 0
        self.lapsed_at: float | None = None
        self.runs.clear()
        self.ends.clear()
        self.closed_run_by_task.clear()
        self.end_count = self.fence = 0
        self.incarnation = Incarnation(incarnation)

    def freeze(self) -> None:
        """Let the executor and its clock stand still; calls have no answer."""
        self.fault, self.frozen_at = "no_response", time.monotonic()

    def thaw(self) -> None:
        """Let the executor go on."""
        assert self.frozen_at is not None
        self.clock_base += time.monotonic() - self.frozen_at
        self.fault, self.frozen_at = "", None

    def read_clock_ms(self) -> int:
        """Return the executor's clock, and kill all runs once the lease has expired."""
        now = time.monotonic() if self.frozen_at is None else self.frozen_at
        clock_ms = round((now - self.clock_base) * 1000)
        if self.runs and clock_ms > self.lease_until_ms:
            for task in list(self.runs):
                self.end(task, EndKind.LAPSED)
        self.clock_ms = clock_ms
        return clock_ms

    def _extend(self, deadline_ms: int | None) -> None:
        latest_ms = self.read_clock_ms() + round(MAX_HOLD_S * 1000)
        self.lease_until_ms = max(self.lease_until_ms, min(deadline_ms or 0, latest_ms))

    def start(self, order: StartOrder) -> StartAnswer:
        """Start a run; the call names the id, not the life."""
        if self.fault:
            raise ExecutorUnreachableError(self.fault, refused=self.fault == "refused")
        self._check_id(order.incarnation)
        if order.fence >= self.fence:
            self._extend(order.deadline_ms)
        order = StartOrder(
            **{
                **{name: getattr(order, name) for name in order.__dataclass_fields__},
                "incarnation": self.incarnation,
            }
        )
        return self.execute(order)

    def extend_lease(
        self,
        *,
        fence: int,
        last_acknowledged_end: int,
        deadline_ms: int | None,
        wait_s: float,
        incarnation: Incarnation,
    ) -> ExecutorStatus:
        """Extend the lease, as far as the executor allows."""
        if not self.fault and fence >= self.fence:
            try:
                self._check_id(incarnation)
                self._extend(deadline_ms)
            except OtherIncarnationError:
                pass
        return super().extend_lease(
            fence=fence,
            last_acknowledged_end=last_acknowledged_end,
            deadline_ms=deadline_ms,
            wait_s=wait_s,
            incarnation=incarnation,
        )


class LeasedWorld(World):
    """Agent with the usual lease beside an executor that has a lease."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.executor: LeasedExecutor = LeasedExecutor(OLD_CLOCK_MS)
        self.clock = JumpingClock()
        self.number = 0
        self.write_order(1)
        self.agent = self.start_agent()
        self.beat()
        wait_until(lambda: TASK in self.executor.runs)
        wait_until(lambda: self.report().accepted == {TASK: 1})

    def start_agent(self) -> BatchAgent:
        """Start a process of the agent."""
        agent = BatchAgent(WORKER, self.store, self.executor, self.clock, max_lease_s=MAX_HOLD_S)
        agent.start()
        return agent

    def wait_reported_end(self, run: int, timeout_s: float) -> bool:
        """Wait for an end of a run; return whether it was reported."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if any(end.run == run for end in self.report().ends):
                return True
            time.sleep(0.01)
        return False


@pytest.fixture
def leased_world() -> Iterator[LeasedWorld]:
    world = LeasedWorld()
    yield world
    world.agent.stop()


def test_no_run_is_given_up_under_a_lease_that_was_meant_for_an_earlier_life(
    leased_world: LeasedWorld,
) -> None:
    """Guards against a second run as a new life under the same id got a longer lease."""
    world = leased_world
    world.executor.begin_life("i-1:2")
    wait_until(lambda: world.executor.lease_until_ms > 0)  # a poll meant for the earlier life
    world.number = 0
    world.beat("i-1:2")
    wait_until(lambda: world.report().incarnation == "i-1:2")
    world.write_order(2, incarnation="i-1:2")
    wait_until(lambda: TASK in world.executor.runs)
    wait_until(lambda: world.agent.table.runs_by_task[TASK].started_at is not None)
    world.executor.fault = "refused"
    was_given_up = world.wait_reported_end(2, 8.0)
    world.executor.read_clock_ms()
    assert not (was_given_up and TASK in world.executor.runs)


def test_no_run_is_given_up_by_a_refused_port_after_a_freeze(leased_world: LeasedWorld) -> None:
    """Guards against a second run as the lease of a frozen executor is counted on while it is."""
    world = leased_world
    time.sleep(0.3)
    world.executor.freeze()
    time.sleep(4.0)
    world.executor.thaw()
    world.executor.fault = "refused"
    was_given_up = world.wait_reported_end(1, 4.7)
    world.executor.read_clock_ms()
    assert not (was_given_up and TASK in world.executor.runs)


def test_no_end_of_a_new_life_is_acknowledged_without_being_reported() -> None:
    """Guards against failed attempts that are taken note of and not counted."""
    world = World()
    try:
        world.restart_executor()
        world.start_late()
        world.executor.end(TASK, EndKind.FAILED)
        world.number = 0
        world.beat("i-1:2")
        wait_until(lambda: world.report().incarnation == "i-1:2")
        wait_until(lambda: not world.executor.ends)
        assert [end.kind for end in world.report().ends] == [EndKind.FAILED]
    finally:
        world.agent.stop()


class CutStore(MemoryStore):
    """Store that an agent reaches or not, and whose watches may hear nothing."""

    is_cut = False
    is_silent = False
    loses_acceptance = False
    loses_presence = False

    def _raise_fault(self, operation: str) -> str:
        if self.is_cut:
            raise StoreUnavailableError("cut", has_no_effect=False)
        return super()._raise_fault(operation)

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Changes:
        """Hear nothing while the watches are silent."""
        if self.is_silent:
            self._raise_fault("watch")
            time.sleep(min(wait_s, 0.05))
            return Changes(items=[], revision=Revision(self.revision))
        changes = super().watch(prefix, after, wait_s)
        self._raise_fault("watch")
        return changes

    def commit(self, write: Write, *, timeout_s: float) -> Committed | Conflict:
        """Lose the answer to the first acceptance, and be cut off from then on.

        With ``loses_presence``, also lose the answer to the first presence after the cut.
        """
        answer = super().commit(write, timeout_s=timeout_s)
        if self.loses_presence and self.is_silent and presence_key(WORKER) in write.values:
            self.loses_presence = False
            raise StoreUnavailableError("lost", has_no_effect=False)
        value = write.values.get(report_key(WORKER))
        if self.loses_acceptance and value and decode(value, WorkerReport).accepted:
            self.loses_acceptance, self.is_cut = False, True
            raise StoreUnavailableError("lost", has_no_effect=False)
        return answer


@pytest.mark.parametrize(
    ("loses_presence", "order_read_s"),
    [(False, 0.0), (False, 2 * PRESENCE_RESUME_DELAY_S), (True, 2 * PRESENCE_RESUME_DELAY_S)],
    ids=["just-started", "answered", "presence-unanswered"],
)
def test_an_agent_that_was_cut_off_starts_nothing_that_a_silent_watch_has_not_withdrawn(
    loses_presence: bool, order_read_s: float
) -> None:
    """Guards against a second run of a task that was reassigned while its agent was cut off."""
    store, executor, clock = CutStore(), FakeExecutor(), JumpingClock()
    store.loses_presence = loses_presence
    agent = BatchAgent(WORKER, store, executor, clock, max_lease_s=MAX_HOLD_S)
    agent.start()
    try:
        agent.apply_heartbeat(make_report(), number=1, started_at_ms=1, clock_ms=1000)
        wait_until(lambda: agent.dump()["registered"] is True)
        wait_until(lambda: presence_key(WORKER) in store.items)
        time.sleep(order_read_s)  # the order is read again a second after the start
        store.loses_acceptance = True
        order = WorkOrder(
            incarnation=Incarnation("i-1:1"), assignments=(Assignment(task=TASK, run=1),)
        )
        store.apply(Write(values={order_key(WORKER): encode(order)}))
        wait_until(lambda: store.is_cut)
        time.sleep(0.5)
        clock.offset_s += SUSPENSION_LIMIT_S + MAX_CONFIRMATION_AGE_S  # the cut lasts this long
        for lease in list(store.keys_by_lease):
            store.expire_lease(lease)  # type: ignore[arg-type]
        assert executor.started == []
        # What the leader writes as it gives the work to another worker (reassign_work).
        reassigned = store.apply(
            Write(
                expected={
                    presence_key(WORKER): MISSING,
                    resumption_key(WORKER): store.items[resumption_key(WORKER)].revision,
                    report_key(WORKER): store.items[report_key(WORKER)].revision,
                },
                values={order_key(WORKER): encode(WorkOrder(incarnation=Incarnation("")))},
            )
        )
        assert isinstance(reassigned, Committed)
        store.is_silent = True
        store.is_cut = False
        time.sleep(4.0)
        assert executor.started == []
    finally:
        agent.stop()


def test_a_write_in_parts_starts_no_job_that_is_cancelled_between_its_parts() -> None:
    """Guards against a start long after a cancelling, as only the first part depends on it."""
    harness = LeaderHarness()
    values = {}
    for number in range(MAX_KEYS_PER_WRITE):
        worker = TargetId(f"w{number}")
        values[report_key(worker)] = encode(make_report(f"i-w{number}:1"))
        values[presence_key(worker)] = b"1"
    harness.store.apply(Write(values=values))
    harness.term._report_replica.sync()
    step = Step(count=1, accelerators=1, run_time_s=5.0)
    jobs = [make_job([step], name=f"{number:016x}") for number in range(15)]
    for job in jobs:
        harness.leader.submit(job)
    first = jobs[0].job_id
    calls: list[float] = []
    cancelled_at: list[float] = []
    ordered_at: list[float] = []

    def refuse_between_the_parts(operation: str) -> str:
        """Refuse writes, but not renewals, for the time after the first part."""
        if operation != "commit":
            return ""
        calls.append(harness.clock.seconds)
        if len(calls) == 1:
            return ""
        if not cancelled_at:
            harness.store.apply(
                Write(expected={cancel_key(first): MISSING}, values={cancel_key(first): b"1"})
            )
            cancelled_at.append(harness.clock.seconds)
        if harness.clock.seconds - cancelled_at[0] < CANCEL_BOUND_S + 1:
            harness.clock.seconds += 0.5
            return "refuse"
        return ""

    apply = harness.store.apply

    def record(write: Write) -> Committed | Conflict:
        answer = apply(write)
        if isinstance(answer, Committed) and LEADER_KEY in write.values:
            for key, value in write.values.items():
                if key.startswith(ORDERS_PREFIX):
                    assignments = decode(value, WorkOrder).assignments
                    if any(a.task.startswith(first) and not a.stop for a in assignments):
                        ordered_at.append(harness.clock.seconds)
        return answer

    harness.store.apply = record  # type: ignore[method-assign]
    harness.store.fault = refuse_between_the_parts
    harness.plan()
    assert cancelled_at
    assert all(at - cancelled_at[0] <= CANCEL_BOUND_S for at in ordered_at)


@pytest.mark.parametrize("changes", [{"service": "unnamed"}, {"clockMs": None}])
def test_a_heartbeat_of_another_writer_in_the_name_of_the_executor_hides_no_drain(
    changes: dict[str, object],
) -> None:
    """Guards against a start on a draining executor, as its heartbeats are taken for late ones."""
    world = World()
    try:
        handler = ExecutorReportHandler(world.agent)

        def beat(number: int, **other: object) -> int:
            fields = {
                "service": "service",
                "address": "10.0.0.1:1",
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": 64000, "memMb": 256000, "gpus": 8},
                "labels": ["a", "r1"],
                "clockMs": 1000,
                "born": 1,
                "seq": number,
                **other,
            }
            sent = {name: value for name, value in fields.items() if value is not None}
            body = json.dumps(sent).encode()
            return int(handler.handle(Request("PUT", "/-/instances/i-1", "", {}, body)).status)

        beat(world.number + 1)
        beat(world.number + 1000, **changes)
        status = beat(world.number + 2, state="draining", remainingMs=6000)
        assert status == 200  # the draining is acknowledged
        world.executor.end(TASK, EndKind.DONE)
        wait_until(lambda: bool(world.report().ends))
        world.write_order(2)
        time.sleep(1.0)
        assert world.executor.started == [(TASK, 1)]
    finally:
        world.agent.stop()


class FixedClient(PlatformClient):
    """Client that gets the same answer to each call."""

    def __init__(self, answer: Answer) -> None:
        super().__init__("localhost:1")
        self._answer = answer

    def call(self, *args: object, **kwargs: object) -> Answer:
        """Return the answer."""
        return self._answer


@pytest.mark.parametrize(
    "body",
    [
        {},  # what the client makes of bytes that can't be read
        {"machines": [{"machine": 7, "pool": "p", "state": "up", "id": "i-1"}]},
        {"machines": [{"machine": "m", "pool": "p", "state": "strange", "id": "i-1"}]},
    ],
)
def test_an_unreadable_list_of_machines_does_not_show_that_an_executor_is_gone(
    body: dict[str, object],
) -> None:
    """Guards against a second run beside a suspended machine, as a list can't be read."""
    workers = WorkerRegistry(Cell(), 1000.0, lambda: None)
    workers.apply_report(WORKER, make_report("i-1:1"))
    workers.set_present(WORKER, True)
    workers.set_present(WORKER, False)
    workers.now_s += 21.0
    machines = PlatformMachines(FixedClient(Answer(200, body)))
    try:
        found = LostWorkerDetector(machines, 20.0).find_lost(workers, {WORKER})
    except MachinesUnavailableError:
        found = []
    assert found == []


def test_a_restarted_executor_whose_port_refuses_runs_nothing_twice(tmp_path: Path) -> None:
    """Guards against a second run beside a new life that got the lease of the earlier one."""
    deployment = Deployment(tmp_path, seed=1)
    try:
        deployment.start()
        callers = Callers(deployment, deployment.run_recorder)
        wait_longer(lambda: callers.all_entries_answer("/plain/"), 30.0)
        first = submit(deployment, deployment.entries[0], 1, tasks=1, work_s=60.0)
        wait_longer(lambda: bool(first.runs()), 10.0)
        executor = first.executor()
        wait_longer(lambda: executor._life.clock_ms() > MAX_HOLD_S * 1000, 15.0)
        executor._restart_rng.random = lambda: 0.0  # type: ignore[method-assign]
        executor.crash(0.2)
        others = [first]
        while not executor.is_running(others[-1].job_id):
            number = len(others) + 1
            others.append(submit(deployment, deployment.entries[0], number, tasks=1, work_s=20.0))
            time.sleep(0.3)
        assert executor.link is not None
        executor.link.set_mode(Mode.CUT)
        for other in others[:-1]:
            other.cancel()
        time.sleep(MAX_HOLD_S)
        assert deployment.run_recorder.violations == []
    finally:
        deployment.close()


def test_a_frozen_executor_whose_port_refuses_afterwards_runs_nothing_twice(
    tmp_path: Path,
) -> None:
    """Guards against a second run beside an executor whose clock stood still for a while."""
    deployment = Deployment(tmp_path, seed=1)
    try:
        deployment.start()
        callers = Callers(deployment, deployment.run_recorder)
        wait_longer(lambda: callers.all_entries_answer("/plain/"), 30.0)
        job = submit(deployment, deployment.entries[0], 1, tasks=1, work_s=60.0)
        wait_longer(lambda: bool(job.runs()), 10.0)
        executor = job.executor()
        time.sleep(1.0)
        deployment.control_links[job.executor_index()].set_mode(Mode.CUT)
        executor.freeze(4.0, stops_clock=True)
        assert executor.link is not None
        executor.link.set_mode(Mode.CUT)
        time.sleep(MAX_HOLD_S)
        assert deployment.run_recorder.violations == []
    finally:
        deployment.close()


def test_a_heartbeat_of_another_writer_does_not_let_a_lease_expire(
    leased_world: LeasedWorld,
) -> None:
    """Guards against a second run as a clock that is not the executor's is taken for its own."""
    world = leased_world
    fields = {
        "service": "unnamed",
        "state": "ready",
        "seq": world.number + 1,
        "capacity": {"cpu": 64000, "memMb": 256000, "gpus": 8},
        "labels": ["a", "r1"],
        "born": 1,
        "clockMs": OLD_CLOCK_MS + 60_000,
    }
    world.executor.fault = "refused"
    time.sleep(0.5)
    body = json.dumps(fields).encode()
    ExecutorReportHandler(world.agent).handle(Request("PUT", "/-/instances/i-1", "", {}, body))
    was_given_up = world.wait_reported_end(1, 3.0)
    world.executor.read_clock_ms()
    assert not (was_given_up and TASK in world.executor.runs)
