"""Choice of the work that is evicted for an urgent gang."""

from collections.abc import Callable, Collection, Mapping
from dataclasses import replace

import msgspec
import pytest
from tests.policy.conftest import NOW_S, TEAMS, make_job, make_workers

from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import MemberPlacement, WorkKind
from chicorycrank.policy import urgent_decisions
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Evict, Start
from chicorycrank.policy.eviction import eviction_cost

ALL = tuple(range(8))
URGENT = replace(make_job("urgent", "red", 1, 8, urgent=True), max_lost_s=1e6)


@pytest.fixture
def cell() -> Cell:
    cell = Cell()
    cell.set_config(TEAMS, {})
    for worker in make_workers("a a a a", 8):
        cell.set_worker(worker)
    return cell


def run_on(cell: Cell, job: QueuedJob, workers: str, *, age_s: float) -> None:
    """Run a job with one member of 8 accelerators on each of some workers."""
    placement = tuple(MemberPlacement(TargetId(name), ALL) for name in workers.split())
    cell.start(
        RunningJob(job=job, placement=placement, kind=WorkKind.BORROWED, started_s=NOW_S - age_s)
    )


def run_four(cell: Cell, ages_s: tuple[float, float, float, float], **changes: object) -> None:
    for number, age_s in enumerate(ages_s):
        job = replace(make_job(f"{number}", "blue", 1, 8, run_time_s=100.0), **changes)  # type: ignore[arg-type]
        run_on(cell, job, f"w{number}", age_s=age_s)


def evicted(cell: Cell, job: QueuedJob = URGENT) -> list[str]:
    return [d.job_id for d in decide(cell, [job], NOW_S) if isinstance(d, Evict)]


@pytest.mark.parametrize(
    ("ages_s", "expected"),
    [((40.0, 30.0, 50.0, 60.0), "1"), ((40.0, 60.0, 50.0, 30.0), "3")],
)
def test_the_least_unsaved_work_is_evicted(
    cell: Cell, ages_s: tuple[float, float, float, float], expected: str
) -> None:
    """Guards against evictions that discard more work than needed."""
    run_four(cell, ages_s)
    assert evicted(cell) == [expected]


def test_work_that_saves_checkpoints_loses_only_what_is_not_saved(cell: Cell) -> None:
    """Guards against evictions of young work instead of saved work."""
    run_four(cell, (40.0, 30.0, 50.0, 60.0))
    saved = replace(cell.running_by_id[JobId("3")].job, checkpointable=True, eviction_loss_s=2.0)
    run_on(cell, saved, "w3", age_s=60.0)
    assert evicted(cell) == ["3"]


def test_a_victim_near_its_end_costs_more(cell: Cell) -> None:
    """Guards against evictions that free what becomes free by itself."""
    run_four(cell, (98.0, 95.0, 50.0, 95.0), checkpointable=True, eviction_loss_s=5.0)
    assert evicted(cell) == ["2"]


def test_the_speed_of_the_worker_tells_how_near_the_end_is(cell: Cell) -> None:
    """Guards against evictions of nearly done work on fast workers."""
    run_four(cell, (50.0, 50.0, 50.0, 50.0), checkpointable=True, eviction_loss_s=5.0)
    cell.speed_by_worker = {TargetId(f"w{n}"): 0.5 if n == 2 else 1.0 for n in range(4)}
    assert evicted(cell) == ["2"]


def test_all_members_of_a_gang_break_with_one(cell: Cell) -> None:
    """Guards against the eviction of one member that discards the work of a whole gang."""
    gang = make_job("gang", "blue", 3, 8, run_time_s=100.0)
    run_on(cell, gang, "w0 w1 w2", age_s=20.0)
    run_on(cell, make_job("task", "blue", 1, 8, run_time_s=100.0), "w3", age_s=40.0)
    assert evicted(cell) == ["task"]


@pytest.mark.parametrize(
    ("has_other", "age_s", "expected"),
    [(True, 1.0, ["other"]), (False, 1.0, ["gang"]), (True, 1001.0, ["other"])],
    ids=["spared", "no-other", "overrun"],
)
def test_a_gang_is_not_stopped_twice_while_another_victim_exists(
    cell: Cell, has_other: bool, age_s: float, expected: list[str]
) -> None:
    """Guards against a gang that is stopped again and again and never ends."""
    gang = make_job("gang", "blue", 2, 8, run_time_s=1000.0)
    run_on(cell, gang, "w0 w1", age_s=age_s)
    if has_other:
        run_on(cell, make_job("other", "blue", 2, 8, run_time_s=1000.0), "w2 w3", age_s=500.0)
    else:
        for worker in ("w2", "w3"):
            cell.set_available(TargetId(worker), False)
    before = eviction_cost(cell, JobId("gang"), NOW_S)
    cell.record_eviction(JobId("gang"), NOW_S - 5.0)
    is_spared = eviction_cost(cell, JobId("gang"), NOW_S) > before
    assert is_spared is (age_s < gang.run_time_s)
    assert evicted(cell) == expected


def test_the_record_of_evictions_is_bounded_and_ends_with_the_job(cell: Cell) -> None:
    """Guards against a record that grows with each evicted job of a term."""
    run_four(cell, (1.0, 1.0, 1.0, 1.0))
    cell.record_eviction(JobId("0"), NOW_S - 5000.0)
    cell.record_eviction(JobId("1"), NOW_S)
    assert set(cell.evicted_s_by_id) == {"1"}
    cell.finish(JobId("1"), completed=True, now_s=NOW_S)
    assert cell.evicted_s_by_id == {}


@pytest.mark.parametrize(
    ("can_begin", "expected"),
    [(lambda *_: True, ["1"]), (lambda *_: False, [])],
    ids=["all", "none"],
)
def test_nothing_is_evicted_if_the_urgent_job_could_not_begin(
    cell: Cell,
    can_begin: Callable[[JobId, Mapping[TargetId, int], Collection[JobId]], bool],
    expected: list[str],
) -> None:
    """Guards against work that is discarded for a gang which then cannot use the capacity."""
    run_four(cell, (40.0, 30.0, 50.0, 60.0))
    cell.can_begin = can_begin
    assert evicted(cell) == expected


@pytest.mark.parametrize("changes", [{"cores": 65}, {"memory_gb": 251}], ids=["cores", "memory"])
def test_nothing_is_evicted_if_cores_or_memory_would_not_suffice(
    cell: Cell, changes: dict[str, int]
) -> None:
    """Guards against evictions that free accelerators only."""
    run_four(cell, (40.0, 30.0, 50.0, 60.0))
    job = replace(URGENT, shape=msgspec.structs.replace(URGENT.shape, **changes))
    assert evicted(cell, job) == []


def test_a_cheap_plan_above_the_limit_does_not_hide_one_below_it(cell: Cell) -> None:
    """Guards against a gang that waits as the plan of least cost discards too much work."""
    run_on(cell, make_job("young", "blue", 1, 8, run_time_s=1000.0), "w0", age_s=99.0)
    run_on(cell, make_job("overrun", "blue", 1, 8, run_time_s=50.0), "w1", age_s=79.0)
    for worker in ("w2", "w3"):
        cell.set_available(TargetId(worker), False)
    # The lost work is 800 and 640, the cost is 879 and 1280.
    assert evicted(cell, replace(URGENT, max_lost_s=1000.0)) == ["young"]
    assert evicted(cell, replace(URGENT, max_lost_s=700.0)) == ["overrun"]


def test_the_reservation_of_a_late_urgent_gang_stands(cell: Cell) -> None:
    """Guards against a late gang that other urgent, queued or short work outruns each time."""
    run_on(cell, make_job("long", "blue", 1, 8, run_time_s=300.0), "w0", age_s=10.0)
    run_on(cell, make_job("short", "blue", 2, 8, run_time_s=60.0, urgent=True), "w1 w2", age_s=10.0)
    run_on(cell, make_job("last", "blue", 1, 8, run_time_s=200.0), "w3", age_s=10.0)
    late = replace(make_job("late", "red", 3, 8, urgent=True, run_time_s=5.0), max_lost_s=0.0)
    decide(cell, [late], NOW_S)
    reserved = cell.reservations_by_id[JobId("late")].worker_masks
    assert {worker for worker, _ in reserved} == {"w1", "w2", "w3"}
    cell.finish(JobId("short"))
    others = [
        replace(make_job("in-time", "blue", 2, 8, urgent=True, run_time_s=1.0), max_lost_s=10.0),
        make_job("batch", "blue", 1, 1, run_time_s=1.0),
        make_job("gang", "blue", 2, 8, run_time_s=1.0, submitted_s=NOW_S - 100.0),
    ]
    cell.headroom = 2
    for closed in ("w1", ""):
        if closed:
            cell.set_available(TargetId(closed), False)
        decisions = decide(cell, [*others, late], NOW_S + 1.0)
        assert [d for d in decisions if isinstance(d, Start)] == []
        assert cell.reservations_by_id[JobId("late")].worker_masks == reserved
        if closed:
            cell.set_available(TargetId(closed), True)
    cell.finish(JobId("last"))
    started = [d for d in decide(cell, [*others, late], NOW_S + 2.0) if isinstance(d, Start)]
    assert started[0].job_id == "late"


def test_a_standing_reservation_ends_when_its_worker_stays_closed(cell: Cell) -> None:
    """Guards against a gang that waits for a worker which does not come back."""
    run_on(cell, make_job("long", "blue", 3, 8, run_time_s=300.0), "w0 w1 w2", age_s=10.0)
    late = replace(make_job("late", "red", 1, 8, urgent=True, run_time_s=5.0), max_lost_s=0.0)
    run_on(cell, make_job("short", "blue", 1, 8, run_time_s=60.0), "w3", age_s=10.0)
    decide(cell, [late], NOW_S)
    cell.set_available(TargetId("w3"), False)
    workers = []
    for seconds in (0.0, 2.9, 3.1):
        decide(cell, [late], NOW_S + seconds)
        workers.append(cell.reservations_by_id[JobId("late")].worker_masks[0][0] == "w3")
    assert workers == [True, True, False]


def test_no_reservation_stands_on_the_accelerators_of_long_running_tasks(cell: Cell) -> None:
    """Guards against free accelerators that stay idle for a gang which may never start."""
    for number in range(4):
        service = replace(make_job(f"s{number}", "blue", 1, 1, run_time_s=3600.0), pinned=True)
        placement = (MemberPlacement(TargetId(f"w{number}"), (0,)),)
        cell.start(
            RunningJob(job=service, placement=placement, kind=WorkKind.BORROWED, started_s=NOW_S)
        )
    late = [
        replace(make_job(name, "red", 2, 8, urgent=True, run_time_s=5.0), max_lost_s=0.0)
        for name in ("late-1", "late-2")
    ]
    batch = make_job("batch", "blue", 1, 1, run_time_s=5.0)
    for age_s in (0.0, 100.0, 10_000.0):
        started = [d for d in decide(cell, [*late, batch], NOW_S + age_s) if isinstance(d, Start)]
        assert [decision.job_id for decision in started] == ["batch"]


def test_the_searches_for_standing_reservations_are_bounded(
    cell: Cell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a plan whose time grows with the number of late gangs that fit nowhere."""
    tried: list[JobId] = []

    def reserve_nothing(_: Cell, job: QueuedJob, *args: object) -> None:
        tried.append(job.job_id)

    monkeypatch.setattr(urgent_decisions, "reserve", reserve_nothing)
    for worker in ("w0", "w1", "w2", "w3"):
        run_on(cell, make_job(f"on-{worker}", "blue", 1, 8), worker, age_s=10.0)
    late = replace(make_job("", "red", 1, 8, urgent=True), max_lost_s=0.0)
    decide(cell, [replace(late, job_id=JobId(f"late-{number}")) for number in range(50)], NOW_S)
    assert len(tried) == len(set(tried)) == urgent_decisions.MAX_STANDING_TRIED


def test_a_job_within_its_quota_may_use_what_a_late_job_has_reserved(cell: Cell) -> None:
    """Guards against a guarantee that waits behind a reservation of another team."""
    for worker in ("w1", "w2", "w3"):
        cell.set_available(TargetId(worker), False)
    pinned = replace(make_job("pinned", "blue", 1, 8, run_time_s=200.0), pinned=True)
    run_on(cell, pinned, "w0", age_s=10.0)
    late = replace(make_job("late", "red", 1, 8, urgent=True), max_lost_s=0.0)
    decide(cell, [late], NOW_S)
    assert set(cell.reservations_by_id) == {"late"}
    cell.finish(JobId("pinned"))
    cell.jobs_within_quota = frozenset({JobId("quota")})
    quota = make_job("quota", "green", 1, 8, urgent=True)
    decisions = decide(cell, [late, quota], NOW_S)
    assert [d.job_id for d in decisions if isinstance(d, Start)] == ["quota"]
