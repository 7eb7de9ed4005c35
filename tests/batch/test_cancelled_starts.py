"""Starts of accepted runs whose job is cancelled while no leader withdraws them."""

import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from tests.batch.test_end_proofs import TASK, WORKER, World
from tests.batch.test_whole_path import wait_until

from chicorycrank.batch.cancellation_checks import MAX_CHECK_AGE_S
from chicorycrank.batch.keys import cancel_key, decode, order_key
from chicorycrank.batch.report_store import MAX_JOBS_PER_REPORT, JobsCancelledError, ReportStore
from chicorycrank.batch.units import job_of
from chicorycrank.model.batch import EndKind, WorkerReport, WorkOrder
from chicorycrank.model.ids import JobId
from chicorycrank.ports.executor import ExecutorUnreachableError, StartAnswer, StartOrder
from chicorycrank.ports.transactions import Write

JOB = job_of(TASK)
NEXT_RUN = 2


class CountingWorld(World):
    """World that counts the reads of the key that shows whether the job is cancelled."""

    def __init__(self) -> None:
        super().__init__()
        self.checks = 0
        read = self.store.read

        def count(key: str, *, timeout_s: float = 1.0) -> Any:
            self.checks += key == cancel_key(JOB)
            return read(key, timeout_s=timeout_s)

        self.store.read = count  # type: ignore[method-assign]
        # The agent waits a while before it starts anything after its presence was created.
        time.sleep(1.2)

    def cancel(self) -> None:
        """Store the cancellation of the job; no leader hears of it."""
        self.store.apply(Write(values={cancel_key(JOB): b"1"}))

    def order_next_run(self) -> None:
        """End the first run, and order the next one."""
        self.executor.end(TASK, EndKind.FAILED)
        wait_until(lambda: ends_of(self) == [(1, EndKind.FAILED)])
        self.write_order(NEXT_RUN)

    def starts_of_next_run(self) -> int:
        """Return how often the next run has begun."""
        return self.executor.started.count((TASK, NEXT_RUN))


def leave_starts_unanswered(order: StartOrder) -> StartAnswer:
    """Do nothing for a start call."""
    raise ExecutorUnreachableError("no answer", timed_out=True)


@pytest.fixture
def world() -> Iterator[CountingWorld]:
    world = CountingWorld()
    yield world
    world.agent.stop()


def hang(world: CountingWorld) -> Callable[[], None]:
    """Leave the start of a run that is accepted unanswered; return what ends this."""
    start = world.executor.start
    world.executor.start = leave_starts_unanswered  # type: ignore[method-assign]
    world.order_next_run()
    wait_until(lambda: world.report().accepted.get(TASK) == NEXT_RUN)

    def end() -> None:
        world.executor.start = start  # type: ignore[method-assign]

    return end


def restart_agent(world: CountingWorld) -> Callable[[], None]:
    """Restart the agent that has accepted a run; no heartbeat comes until the delay ends."""
    end_hang = hang(world)
    world.restart_agent()
    end_hang()
    return world.beat


def lose_presence(world: CountingWorld) -> Callable[[], None]:
    """Let an agent that has accepted a run lose its presence, so it grants no lease."""
    end_hang = hang(world)
    world.store.fault = lambda operation: "refuse" if operation in ("renew", "grant") else ""
    wait_until(lambda: world.agent._deadline_ms() is None)
    end_hang()

    def restore() -> None:
        world.store.fault = lambda operation: ""

    return restore


@pytest.mark.parametrize("delay", [hang, restart_agent, lose_presence])
@pytest.mark.parametrize("is_cancelled", [True, False], ids=["cancelled", "wanted"])
def test_a_delayed_run_starts_only_if_its_job_is_not_cancelled(
    world: CountingWorld, delay: Callable[[CountingWorld], Callable[[], None]], is_cancelled: bool
) -> None:
    """Guards against the start of a cancelled job while there is no leader to withdraw it."""
    end_delay = delay(world)
    if is_cancelled:
        world.cancel()
    time.sleep(MAX_CHECK_AGE_S)
    end_delay()
    if is_cancelled:
        wait_until(lambda: (NEXT_RUN, EndKind.STOPPED) in ends_of(world))
    else:
        wait_until(lambda: world.starts_of_next_run() == 1)
    assert world.starts_of_next_run() == (not is_cancelled)


def ends_of(world: World) -> list[tuple[int, EndKind]]:
    """Return run number and kind of the reported ends."""
    return [(end.run, end.kind) for end in world.report().ends]


def test_a_run_of_a_cancelled_job_is_not_accepted(world: CountingWorld) -> None:
    """Guards against a start by an order that a silent watch has brought seconds late."""
    world.cancel()
    world.order_next_run()
    wait_until(lambda: ends_of(world) == [(NEXT_RUN, EndKind.STOPPED)])
    assert world.starts_of_next_run() == 0
    assert TASK not in world.report().accepted


def test_a_start_in_time_costs_no_call_of_the_store(world: CountingWorld) -> None:
    """Guards against a read for each start of hundreds of agents."""
    world.order_next_run()
    wait_until(lambda: world.starts_of_next_run() == 1)
    assert world.checks == 0


def test_a_start_that_hangs_costs_one_read_a_second(world: CountingWorld) -> None:
    """Guards against a read for each repetition of a call."""
    end_hang = hang(world)
    time.sleep(3.0)
    end_hang()
    wait_until(lambda: world.starts_of_next_run() == 1)
    assert 1 <= world.checks <= 3


def test_no_run_starts_before_the_store_shows_that_its_job_is_wanted(world: CountingWorld) -> None:
    """Guards against the start of a cancelled job by an agent that the store turns away."""
    end_hang = hang(world)
    time.sleep(MAX_CHECK_AGE_S)
    world.store.fault = lambda operation: "refuse" if operation == "read" else ""
    end_hang()
    time.sleep(0.5)
    assert world.starts_of_next_run() == 0
    world.store.fault = lambda operation: ""
    wait_until(lambda: world.starts_of_next_run() == 1)


def test_the_store_accepts_a_report_that_depends_on_most_jobs(world: World) -> None:
    """Guards against acceptances that the store refuses, as they have too many conditions."""
    jobs = [JobId(f"{number:016x}") for number in range(MAX_JOBS_PER_REPORT)]
    order = world.store.items[order_key(WORKER)]
    assert decode(order.value or b"", WorkOrder).assignments
    world.agent.stop()
    report_store = ReportStore(WORKER, world.store)
    report = report_store.read()
    assert report_store.write(report, order.revision, jobs)
    last_write = world.store.writes[-1]
    assert len(last_write.expected) + len(last_write.values) <= 32
    world.store.apply(Write(values={cancel_key(jobs[3]): b"1"}))
    with pytest.raises(JobsCancelledError) as raised:
        report_store.write(WorkerReport(fence=1), order.revision, jobs)
    assert raised.value.job_ids == {jobs[3]}
