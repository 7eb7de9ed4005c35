"""Starts by the agents of workers whose zone is evacuated."""

import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from tests.batch.fakes import ManualClock, MemoryStore, make_report
from tests.batch.leader_harness import EVACUATION_PREFIX
from tests.batch.test_cancelled_starts import (
    NEXT_RUN,
    CountingWorld,
    ends_of,
    hang,
    lose_presence,
    restart_agent,
)
from tests.batch.test_end_proofs import MAX_LEASE_S, TASK, WORKER
from tests.batch.test_whole_path import wait_until

from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.evacuation_checks import (
    MAX_CHECK_AGE_S,
    ZONE_EVACUATED,
    EvacuationChecks,
)
from chicorycrank.batch.keys import order_key
from chicorycrank.batch.report_store import MAX_JOBS_PER_REPORT, ReportStore, ZoneEvacuatedError
from chicorycrank.batch.run_driver import RETRY_DELAY_S
from chicorycrank.batch.units import job_of
from chicorycrank.model.batch import EndKind, WorkerReport
from chicorycrank.model.ids import JobId, ZoneId
from chicorycrank.ports.transactions import Item, StoreUnavailableError, Write

ZONE = ZoneId("a")
OTHER_ZONE = ZoneId("b")


class ZoneWorld(CountingWorld):
    """An agent whose settings name a zone, with a count of the reads of the zone's key."""

    def __init__(self) -> None:
        self.zone_checks = 0
        super().__init__()
        read = self.store.read

        def count(key: str, *, timeout_s: float = 1.0) -> Any:
            self.zone_checks += key.startswith(EVACUATION_PREFIX)
            return read(key, timeout_s=timeout_s)

        self.store.read = count  # type: ignore[method-assign]

    def start_agent(self) -> BatchAgent:
        """Start a process of the agent."""
        agent = BatchAgent(
            WORKER,
            self.store,
            self.executor,
            self.clock,
            max_lease_s=MAX_LEASE_S,
            zone=ZONE,
            evacuation_prefix=EVACUATION_PREFIX,
        )
        agent.start()
        return agent

    def evacuate(self, *zones: ZoneId) -> None:
        """Store the operator's keys of zones."""
        self.store.apply(Write(values={EVACUATION_PREFIX + zone: b"" for zone in zones}))

    def take_back(self, *zones: ZoneId) -> None:
        """Delete the operator's keys of zones."""
        self.store.apply(Write(values={}, deletes=[EVACUATION_PREFIX + zone for zone in zones]))

    def wait_rejected(self) -> None:
        """Wait until the next run is reported as rejected for the evacuation."""
        wait_until(lambda: (NEXT_RUN, EndKind.REJECTED) in ends_of(self))
        assert self.report().ends[-1].detail == ZONE_EVACUATED
        assert self.starts_of_next_run() == 0


@pytest.fixture
def world() -> Iterator[ZoneWorld]:
    world = ZoneWorld()
    yield world
    world.agent.stop()


def test_an_order_given_before_the_evacuation_starts_nothing(world: ZoneWorld) -> None:
    """Guards against a start by an order that was written, or heard, before the evacuation.

    The agent has no watch of the key, so a watch that hears nothing makes no difference.
    """
    world.evacuate(ZONE)
    world.order_next_run()
    world.wait_rejected()
    assert TASK not in world.report().accepted


@pytest.mark.parametrize("delay", [hang, restart_agent, lose_presence])
@pytest.mark.parametrize("is_evacuated", [True, False], ids=["evacuated", "open"])
def test_an_accepted_run_starts_only_if_its_zone_is_not_evacuated(
    world: ZoneWorld, delay: Callable[[CountingWorld], Callable[[], None]], is_evacuated: bool
) -> None:
    """Guards against a late start by an agent that hung, was restarted or was cut off."""
    end_delay = delay(world)
    if is_evacuated:
        world.evacuate(ZONE)
    time.sleep(MAX_CHECK_AGE_S)
    end_delay()
    if is_evacuated:
        world.wait_rejected()
    else:
        wait_until(lambda: world.starts_of_next_run() == 1)


def test_a_check_of_the_job_is_none_of_the_zone(world: ZoneWorld) -> None:
    """Guards against a start for which only the cancellation of the job was read again."""
    end_hang = hang(world)
    world.evacuate(ZONE)
    time.sleep(MAX_CHECK_AGE_S)
    world.agent._cancellation_checks.record_absent([job_of(TASK)], world.clock.monotonic())
    end_hang()
    world.wait_rejected()


def test_an_agent_that_restarts_during_the_evacuation_accepts_nothing(world: ZoneWorld) -> None:
    """Guards against a new process that starts what its order names before it reads anything."""
    world.executor.end(TASK, EndKind.FAILED)
    wait_until(lambda: ends_of(world) == [(1, EndKind.FAILED)])
    world.agent.stop()
    world.evacuate(ZONE)
    world.write_order(NEXT_RUN)
    world.restart_agent()
    world.beat()
    world.wait_rejected()


def test_a_run_that_works_goes_on(world: ZoneWorld) -> None:
    """Guards against an evacuation that stops what has begun before."""
    world.evacuate(ZONE)
    world.write_order(1)
    time.sleep(MAX_CHECK_AGE_S + 0.5)
    assert TASK in world.executor.runs
    assert ends_of(world) == []


@pytest.mark.parametrize("fault", ["refuse", "no_response"])
def test_no_run_starts_while_the_store_does_not_show_the_key(world: ZoneWorld, fault: str) -> None:
    """Guards against starts by an agent whose store is down."""
    end_hang = hang(world)
    time.sleep(MAX_CHECK_AGE_S)
    world.store.fault = lambda operation: fault if operation == "read" else ""
    world.evacuate(ZONE)
    end_hang()
    time.sleep(0.5)
    assert world.starts_of_next_run() == 0
    world.store.fault = lambda operation: ""
    world.wait_rejected()


def test_a_start_in_time_costs_no_call_of_the_store(world: ZoneWorld) -> None:
    """Guards against a read for each start of hundreds of agents."""
    world.order_next_run()
    wait_until(lambda: world.starts_of_next_run() == 1)
    assert (world.zone_checks, world.checks) == (0, 0)


def test_a_start_that_hangs_costs_one_read_a_second(world: ZoneWorld) -> None:
    """Guards against a read for each repetition of a call."""
    end_hang = hang(world)
    time.sleep(3.0)
    end_hang()
    wait_until(lambda: world.starts_of_next_run() == 1)
    assert 1 <= world.zone_checks <= 4


def test_a_store_slower_than_the_bound_is_not_asked_without_pause(world: ZoneWorld) -> None:
    """Guards against a busy loop of reads, each of which is too old once it is answered."""
    end_hang = hang(world)
    time.sleep(MAX_CHECK_AGE_S)
    world.agent._evacuation_checks._max_age_s = 0.0
    end_hang()
    time.sleep(1.0)
    assert world.starts_of_next_run() == 0
    assert 1 <= world.zone_checks <= 1.0 / RETRY_DELAY_S + 2
    world.agent._evacuation_checks._max_age_s = MAX_CHECK_AGE_S
    wait_until(lambda: world.starts_of_next_run() == 1)


@pytest.mark.parametrize(
    ("evacuated", "heartbeat_zone", "starts"),
    [
        ((ZONE,), "", False),
        ((OTHER_ZONE,), "", True),
        ((ZONE,), OTHER_ZONE, True),
        ((OTHER_ZONE,), OTHER_ZONE, False),
        ((ZONE, OTHER_ZONE), OTHER_ZONE, False),
    ],
)
def test_the_zone_is_that_of_the_heartbeat_or_else_of_the_settings(
    world: ZoneWorld, evacuated: tuple[ZoneId, ...], heartbeat_zone: str, starts: bool
) -> None:
    """Guards against a worker that follows another zone's evacuation, also of two at once."""
    world.agent.apply_heartbeat(
        make_report(zone=heartbeat_zone), number=9, started_at_ms=1, clock_ms=1000
    )
    wait_until(lambda: world.report().zone == (heartbeat_zone or ZONE))
    world.evacuate(*evacuated)
    world.order_next_run()
    if starts:
        wait_until(lambda: world.starts_of_next_run() == 1)
    else:
        world.wait_rejected()


def test_a_zone_taken_back_starts_again(world: ZoneWorld) -> None:
    """Guards against an agent that remembers an evacuation that is over."""
    world.evacuate(ZONE)
    world.order_next_run()
    world.wait_rejected()
    world.take_back(ZONE)
    world.write_order(NEXT_RUN + 1)
    wait_until(lambda: (TASK, NEXT_RUN + 1) in world.executor.started)


def test_the_store_accepts_a_report_that_depends_on_most_jobs_and_the_zone(
    world: ZoneWorld,
) -> None:
    """Guards against acceptances that the store refuses, as they have too many conditions."""
    jobs = [JobId(f"{number:016x}") for number in range(MAX_JOBS_PER_REPORT)]
    order = world.store.items[order_key(WORKER)]
    world.agent.stop()
    report_store = ReportStore(WORKER, world.store)
    key = EVACUATION_PREFIX + ZONE
    assert report_store.write(report_store.read(), order.revision, jobs, key)
    last_write = world.store.writes[-1]
    assert len(last_write.expected) + len(last_write.values) == 32
    world.evacuate(ZONE)
    with pytest.raises(ZoneEvacuatedError):
        report_store.write(WorkerReport(fence=1), order.revision, jobs, key)


class SlowStore(MemoryStore):
    """Store whose reads take a while on a manual clock, and may end without an answer."""

    def __init__(self, clock: ManualClock, seconds: float) -> None:
        super().__init__()
        self.clock, self.seconds = clock, seconds
        self.reads = 0

    def read(self, key: str, *, timeout_s: float = 1.0) -> Item | None:
        """Read a key and let time pass after that."""
        self.reads += 1
        item = super().read(key)
        self.clock.seconds += self.seconds
        if self.seconds > 2 * timeout_s:
            raise StoreUnavailableError("timeout", has_no_effect=True)
        return item


@pytest.mark.parametrize(("seconds", "is_due"), [(0.1, False), (0.9, False), (1.0, True)])
def test_the_age_of_a_check_counts_from_its_request(seconds: float, is_due: bool) -> None:
    """Guards against a slow store, whose answers are old when they come."""
    clock = ManualClock()
    checks = EvacuationChecks(SlowStore(clock, seconds), clock, EVACUATION_PREFIX)
    assert not checks.is_evacuated(ZONE)
    assert checks.is_due(ZONE) is is_due


@pytest.mark.parametrize("is_evacuated", [True, False])
def test_waiting_runs_share_a_read(is_evacuated: bool) -> None:
    """Guards against a read for each of the runs that wait for the same answer."""
    clock = ManualClock()
    store = SlowStore(clock, 0.0)
    if is_evacuated:
        store.apply(Write(values={EVACUATION_PREFIX + ZONE: b""}))
    checks = EvacuationChecks(store, clock, EVACUATION_PREFIX)
    for _ in range(50):
        assert checks.is_evacuated(ZONE) is is_evacuated
    assert store.reads == 1
    assert checks.is_due(OTHER_ZONE)


@pytest.mark.parametrize(("evacuate_s", "age_s"), [(5.0, 1.0), (2.5, 0.5), (60.0, 1.0)])
def test_a_shorter_bound_makes_checks_expire_sooner(evacuate_s: float, age_s: float) -> None:
    """Guards against a check that is older than the platform's bound allows."""
    clock = ManualClock()
    checks = EvacuationChecks(MemoryStore(), clock, EVACUATION_PREFIX, evacuate_s)
    checks.record_absent(ZONE, clock.monotonic())
    clock.seconds += 0.9 * age_s
    assert not checks.is_due(ZONE)
    clock.seconds += 0.2 * age_s
    assert checks.is_due(ZONE)


def test_without_a_known_zone_nothing_is_checked() -> None:
    """Guards against a platform without zones, whose agents would start nothing."""
    clock = ManualClock()
    assert not EvacuationChecks(MemoryStore(), clock, EVACUATION_PREFIX).is_due(ZoneId(""))
    assert not EvacuationChecks(MemoryStore(), clock, "").is_due(ZONE)
