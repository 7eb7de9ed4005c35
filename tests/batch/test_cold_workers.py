"""Limits of the runs on cold workers and on those of zones that were taken back."""

from collections.abc import Sequence
from typing import Any

import msgspec
import pytest
from tests.batch.fakes import RED, make_job, make_queue, make_report

from chicorycrank.batch.cold_workers import REOPENING_S, REOPENING_STEP_S, ColdBounds
from chicorycrank.batch.evacuations import Evacuations
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.queued_jobs import QueuedJobBuilder
from chicorycrank.model.batch import BatchTeam, Step
from chicorycrank.model.ids import TargetId, ZoneId
from chicorycrank.platform.evacuation import cold_bounds
from chicorycrank.platform.executor_reports import decode_report
from chicorycrank.platform.settings import Bounds, decode_settings
from chicorycrank.policy.run_limits import count_runs

BOUNDS = ColdBounds(overage=1.5, slack=5)
ZONE = ZoneId("a")
COLD, WARM = TargetId("cold"), TargetId("warm")
SMALL = 100  # tasks of one accelerator, more than the fleet has


class Fleet:
    """A planner with the evacuations of its term."""

    def __init__(self, bounds: ColdBounds | None, quota: int = 0) -> None:
        self.planner = Planner(QueuedJobBuilder(1.0, 0.0), 1000.0)
        self.planner.set_config({}, [BatchTeam(team=RED, quota=quota)])
        self.evacuations = Evacuations(bounds, lambda: None)

    def add(self, worker: TargetId, **changes: object) -> None:
        """Add a worker, or change its report."""
        self.planner.apply_report(worker, make_report(f"i-{worker}:1", **changes))
        self.planner.workers.set_present(worker, True)

    def submit(self, step: Step, name: str = "a", priority: int = 1) -> None:
        """Submit a job."""
        queue = make_queue(priority=priority)
        self.planner.add_job(make_job([step], name=name * 16, queue=queue), None)

    def plan(self, seconds: float = 0.0) -> None:
        """Plan some time later."""
        self.planner.set_time(self.planner.now_s + seconds, self.planner.now_ms)
        self.evacuations.limit_runs(self.planner)
        self.planner.plan()

    def runs(self, worker: TargetId) -> int:
        """Return the number of runs on a worker."""
        return count_runs(self.planner.cell, worker)


def task(count: int, accelerators: int = 1) -> Step:
    return Step(count=count, accelerators=accelerators, cores=100, run_time_s=60.0)


@pytest.mark.parametrize(
    ("bounds", "runs"),
    [
        (None, 8),
        (BOUNDS, 8),  # up to twelve
        (ColdBounds(overage=0.25, slack=5), 5),
        (ColdBounds(overage=0.5, slack=2), 4),  # half of the eight runs of the warm worker
        (ColdBounds(overage=0.0, slack=3), 3),
        (ColdBounds(overage=0.0, slack=0), 0),
    ],
)
def test_a_cold_worker_gets_a_limited_number_of_runs(bounds: ColdBounds | None, runs: int) -> None:
    """Guards against a cold executor that gets as much work as a warm one."""
    fleet = Fleet(bounds)
    fleet.add(WARM)
    fleet.submit(task(8), "b")
    fleet.plan()
    fleet.add(COLD, is_cold=True)
    fleet.submit(task(SMALL))
    fleet.plan()
    assert (fleet.runs(WARM), fleet.runs(COLD)) == (8, runs)


def test_a_worker_that_gets_warm_is_filled() -> None:
    """Guards against a limit that stays after the executor has become fast."""
    fleet = Fleet(BOUNDS)
    fleet.add(COLD, is_cold=True)
    fleet.submit(task(SMALL))
    fleet.plan()
    assert fleet.runs(COLD) == 5
    fleet.add(COLD)
    fleet.plan()
    assert fleet.runs(COLD) == 8


def test_members_of_gangs_count_one_by_one() -> None:
    """Guards against a gang that brings a cold worker over its limit."""
    fleet = Fleet(BOUNDS)
    fleet.add(COLD, is_cold=True)
    for name, members in (("a", 3), ("b", 3), ("c", 2)):
        step = Step(count=members, accelerators=1, cores=100, run_time_s=60.0, gang=True)
        fleet.submit(step, name)
    fleet.plan()
    assert fleet.runs(COLD) == 5


def test_a_job_without_accelerators_is_limited_as_well() -> None:
    """Guards against a cold worker that is filled with tasks that need cores only."""
    fleet = Fleet(BOUNDS)
    fleet.add(COLD, is_cold=True)
    fleet.submit(Step(count=20, cores=100, run_time_s=60.0))
    fleet.plan()
    assert fleet.runs(COLD) == 5


@pytest.mark.parametrize("quota", [0, 64], ids=["outside of the quota", "within the quota"])
def test_an_urgent_job_evicts_nothing_on_a_cold_worker_that_may_get_no_run(quota: int) -> None:
    """Guards against work that is stopped for a job that the limit then keeps out."""
    fleet = Fleet(BOUNDS, quota)
    fleet.add(COLD, is_cold=True)
    fleet.submit(task(5), "b")
    fleet.plan()
    assert fleet.runs(COLD) == 5
    fleet.submit(task(1, accelerators=8), "c", priority=0)
    fleet.plan()
    assert not any(a.stop for a in fleet.planner.order_for(COLD).assignments)


def test_a_zone_taken_back_opens_without_a_rush_of_starts() -> None:
    """Guards against all that waits starting at once on the workers of a zone."""
    workers = [TargetId(f"w{number}") for number in range(3)]
    fleet = Fleet(BOUNDS)
    for worker in workers:
        fleet.add(worker, zone=ZONE)
    fleet.evacuations.apply(fleet.planner, {ZONE})
    fleet.submit(task(SMALL))
    fleet.plan()
    assert [fleet.runs(worker) for worker in workers] == [0, 0, 0]
    fleet.evacuations.apply(fleet.planner, set())
    fleet.plan()
    assert [fleet.runs(worker) for worker in workers] == [1, 1, 1]
    fleet.plan(REOPENING_STEP_S)
    assert [fleet.runs(worker) for worker in workers] == [2, 2, 2]
    fleet.plan(5 * REOPENING_STEP_S)
    assert [fleet.runs(worker) for worker in workers] == [5, 5, 5]
    fleet.plan(REOPENING_S)
    assert [fleet.runs(worker) for worker in workers] == [8, 8, 8]


@pytest.mark.parametrize("bounds", [None, BOUNDS])
def test_a_zone_evacuated_again_is_closed(bounds: ColdBounds | None) -> None:
    """Guards against a zone that stays open as it was taken back before."""
    fleet = Fleet(bounds)
    fleet.add(COLD, zone=ZONE)
    for zones in ({ZONE}, set(), {ZONE}):
        fleet.evacuations.apply(fleet.planner, zones)
    fleet.submit(task(SMALL))
    fleet.plan()
    assert fleet.runs(COLD) == 0


def heartbeat(**changes: Any) -> bytes:
    fields = {
        "service": "s",
        "state": "ready",
        "seq": 1,
        "capacity": {"cpu": 1000, "memMb": 1000, "gpus": 1},
        "labels": ["a", "r1"],
        "clockMs": 1,
        **changes,
    }
    return msgspec.json.encode(fields)


@pytest.mark.parametrize(
    ("remaining_ms", "is_cold"), [([], False), ([0], False), ([0.5], True), ([900, 400], True)]
)
def test_a_countdown_is_decoded_as_a_state(remaining_ms: Sequence[float], is_cold: bool) -> None:
    """Guards against a write to the store for each heartbeat of a cold executor."""
    bodies = [heartbeat(coldRemainingMs=ms) for ms in remaining_ms] or [heartbeat()]
    reports = [decode_report("i-1", body).report for body in bodies]
    assert all(report == reports[0] for report in reports)
    assert reports[0].is_cold is is_cold


@pytest.mark.parametrize(
    ("bounds", "evacuate_s", "cold"),
    [
        ({}, 5.0, None),
        ({"evacuateMs": 2500}, 2.5, None),
        ({"coldOverage": 1.5, "coldSlack": 5}, 5.0, BOUNDS),
        ({"coldSlack": 5}, 5.0, ColdBounds(overage=0.0, slack=5)),
    ],
)
def test_the_bounds_are_read_from_the_settings(
    bounds: dict[str, Any], evacuate_s: float, cold: ColdBounds | None
) -> None:
    """Guards against settings without these bounds that are refused, or limit something."""
    document = {"node": "n", "ip": "127.0.0.1", "platform": {"address": "x:1"}, "bounds": bounds}
    settings = decode_settings(document)
    assert settings.bounds.evacuate_s == evacuate_s
    assert cold_bounds(settings.bounds) == cold
    assert cold_bounds(Bounds()) is None
