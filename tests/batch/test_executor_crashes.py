"""Tasks that crash the executors that start them, from submission to the state of their job."""

import threading
import time
from collections.abc import Iterator

import pytest
from tests.batch.fakes import FakeExecutor, MemoryStore, make_job, make_report
from tests.batch.test_whole_path import CONFIG_KEY, MAX_LEASE_S, Entry, wait_until

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.crash_verdict import MAX_CRASHES
from chicorycrank.batch.keys import StateRecord, decode, decode_progress, progress_key, state_key
from chicorycrank.model.batch import BatchState, Crash, EndKind, Progress, Step
from chicorycrank.model.ids import Incarnation, JobId, TargetId, TaskId
from chicorycrank.ports.executor import ExecutorUnreachableError, StartAnswer, StartOrder
from chicorycrank.ports.transactions import Lease, Write

WHOLE_WORKER = Step(count=1, accelerators=8, run_time_s=1.0)
HARMFUL = "harmful"  # in the payload of a job whose tasks crash their executor
MAX_STARTS = 5  # the third start after three crashes is one too many
RESTART_DELAY_S = 0.3


class CrashingExecutor(FakeExecutor):
    """Executor that crashes when it starts a task of a harmful job, and is back a moment later."""

    def __init__(self, worker: str) -> None:
        super().__init__(incarnation=Incarnation(f"i-{worker}:1"))
        self.worker = worker
        self.number = 1
        self.agent: BatchAgent | None = None

    def execute(self, order: StartOrder) -> StartAnswer:
        """Start a run, or crash."""
        if order.payload != HARMFUL or order.incarnation != self.incarnation:
            return super().execute(order)
        self.started.append((order.task, order.run))
        self.fault = "refused"
        self.runs.clear()
        threading.Timer(RESTART_DELAY_S, self.restart).start()
        raise ExecutorUnreachableError("reset")

    def restart(self) -> None:
        """Come back as a new incarnation."""
        self.number += 1
        self.incarnation = Incarnation(f"i-{self.worker}:{self.number}")
        self.fence = 0
        self.closed_run_by_task.clear()
        self.ends.clear()
        self.fault = ""
        self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the agent."""
        assert self.agent is not None
        self.agent.apply_heartbeat(
            make_report(self.incarnation), number=1, started_at_ms=self.number, clock_ms=1000
        )


class Fleet:
    """An entry and three workers over one store."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.store.apply(Write(values={CONFIG_KEY: b"1"}))
        self.executors = [CrashingExecutor(f"w{number}") for number in range(3)]
        self.agents = [self.start_agent(executor) for executor in self.executors]
        self.entries = [Entry(self.store, "one")]

    def start_agent(self, executor: CrashingExecutor) -> BatchAgent:
        """Start the agent of an executor."""
        agent = BatchAgent(
            TargetId(executor.worker), self.store, executor, SystemClock(), max_lease_s=MAX_LEASE_S
        )
        executor.agent = agent
        agent.start()
        executor.send_heartbeat()
        return agent

    def submit(self, name: str, payload: str = "text", step: Step = WHOLE_WORKER) -> str:
        """Store a job and return its id."""
        job = make_job([step], name=name * 16, payload=payload)
        self.entries[0].intake.submit(job, SystemClock().monotonic() + 3.0)
        return job.job_id

    def state(self, job_id: str) -> BatchState | None:
        """Return the stored state of a job."""
        item = self.store.items.get(state_key(JobId(job_id)))
        return None if item is None else decode(item.value or b"", StateRecord).state

    def starts(self, job_id: str) -> int:
        """Return the number of starts of a job's tasks."""
        return sum(
            task.startswith(job_id) for executor in self.executors for task, _ in executor.started
        )

    def crashes(self, job_id: str) -> list[Crash]:
        """Return the crashes in the stored record of a job's first task."""
        item = self.store.items.get(progress_key(JobId(job_id)))
        progress = Progress() if item is None else decode_progress(item.value or b"")
        unit = progress.units.get("0.0.0")
        return unit.crashes if unit is not None else []

    def restart(self) -> None:
        """Replace all processes of ours by new ones."""
        self.stop()
        for lease in list(self.store.keys_by_lease):
            self.store.expire_lease(Lease(lease))
        self.agents = [self.start_agent(executor) for executor in self.executors]
        self.entries = [Entry(self.store, "two")]

    def stop(self) -> None:
        """Stop all threads."""
        for entry in self.entries:
            entry.stop()
        for agent in self.agents:
            agent.stop()


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    fleet = Fleet()
    yield fleet
    fleet.stop()


def test_a_task_that_crashes_its_executors_is_not_started_without_end(fleet: Fleet) -> None:
    """Guards against a task that crashes one executor after the other."""
    job_id = fleet.submit("a", HARMFUL)
    wait_until(
        lambda: fleet.state(job_id) is BatchState.FAILED or fleet.starts(job_id) > MAX_STARTS
    )
    assert fleet.starts(job_id) <= MAX_STARTS
    other = fleet.submit("b")
    task = TaskId(f"{other}.0.0.0")
    wait_until(lambda: any(task in executor.runs for executor in fleet.executors))
    executor = next(executor for executor in fleet.executors if task in executor.runs)
    executor.end(task, EndKind.DONE)
    wait_until(lambda: fleet.state(other) is BatchState.COMPLETED)


@pytest.mark.parametrize("has_outage", [False, True])
def test_known_crashes_outlive_a_restart_of_all_processes_and_an_outage_of_the_store(
    fleet: Fleet, has_outage: bool
) -> None:
    """Guards against a harmful task that starts anew after each restart."""
    job_id = fleet.submit("a", HARMFUL)
    wait_until(lambda: fleet.starts(job_id) >= 1)
    if has_outage:
        fleet.store.fault = lambda operation: "refuse"
        time.sleep(2 * RESTART_DELAY_S)
        fleet.store.fault = lambda operation: ""
    wait_until(lambda: len(fleet.crashes(job_id)) >= 1)
    fleet.restart()
    wait_until(
        lambda: fleet.state(job_id) is BatchState.FAILED or fleet.starts(job_id) > MAX_STARTS
    )
    assert fleet.starts(job_id) <= MAX_STARTS


def test_a_crash_that_no_process_saw_is_known_afterwards(fleet: Fleet) -> None:
    """Guards against a crash that is forgotten because agents and leader were down."""
    job_id = fleet.submit("a")
    task = TaskId(f"{job_id}.0.0.0")
    wait_until(lambda: any(task in executor.runs for executor in fleet.executors))
    executor = next(executor for executor in fleet.executors if task in executor.runs)
    fleet.stop()
    executor.runs.clear()
    executor.number += 1
    executor.incarnation = Incarnation(f"i-{executor.worker}:{executor.number}")
    executor.fence = 0
    fleet.restart()
    wait_until(lambda: len(fleet.crashes(job_id)) == 1)
    (crash,) = fleet.crashes(job_id)
    assert (crash.worker, crash.is_outage) == (executor.worker, True)


def test_a_caller_is_told_why_a_job_failed(fleet: Fleet) -> None:
    """Guards against a failed job without a task and executors to look at."""
    job_id = fleet.submit("a", HARMFUL)
    wait_until(lambda: fleet.state(job_id) is BatchState.FAILED)
    wait_until(lambda: fleet.entries[0].intake.job_state(JobId(job_id)).reason != "")
    reason = fleet.entries[0].intake.job_state(JobId(job_id)).reason
    assert reason.startswith(f"task {job_id}.0.0.0 crashed {MAX_CRASHES} executors: w")
