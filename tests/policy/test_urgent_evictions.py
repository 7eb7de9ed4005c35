"""Evictions for urgent jobs: several at once, within quotas and with a limit of lost work."""

from dataclasses import replace

import pytest
from tests.policy.conftest import NOW_S, TEAMS, make_job, make_workers, run_job

from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision, Evict, Start
from chicorycrank.policy.placement import PlacementRule

ALL_ACCELERATORS = tuple(range(8))


@pytest.fixture
def cell() -> Cell:
    cell = Cell()
    cell.set_config(TEAMS, {})
    for worker in make_workers("a a a", 8):
        cell.set_worker(worker)
    return cell


def fill_workers(cell: Cell, *, urgent: bool, age_s: float = 100.0) -> None:
    for number in range(3):
        job = make_job(f"{number}", "blue", 1, 8, urgent=urgent, run_time_s=1000.0)
        run_job(cell, job, number, ALL_ACCELERATORS, age_s=age_s)


def make_urgent_jobs(count: int, **changes: object) -> list[QueuedJob]:
    jobs = [make_job(f"urgent-{n}", "red", 1, 8, urgent=True) for n in range(count)]
    return [replace(job, **changes) for job in jobs]  # type: ignore[arg-type]


def evicted_ids(decisions: list[Decision]) -> set[JobId]:
    return {decision.job_id for decision in decisions if isinstance(decision, Evict)}


@pytest.mark.parametrize("count", [1, 2, 3])
def test_each_urgent_job_evicts_in_the_same_pass(cell: Cell, count: int) -> None:
    """Guard against one eviction per pass, which delays a job of several gangs past its limit."""
    fill_workers(cell, urgent=False)
    decisions = decide(cell, make_urgent_jobs(count), NOW_S)
    assert len(evicted_ids(decisions)) == count


@pytest.mark.parametrize(
    ("is_within_quota", "is_victim_within_quota", "count"),
    [(False, False, 0), (True, False, 1), (True, True, 0)],
)
def test_job_within_quota_evicts_urgent_work_outside_of_a_quota(
    cell: Cell, is_within_quota: bool, is_victim_within_quota: bool, count: int
) -> None:
    """Guard against urgent work of other teams that blocks a quota for its whole run time."""
    fill_workers(cell, urgent=True)
    jobs_within_quota = {"urgent-0"} if is_within_quota else set()
    jobs_within_quota |= {"0", "1", "2"} if is_victim_within_quota else set()
    cell.jobs_within_quota = frozenset(map(JobId, jobs_within_quota))
    decisions = decide(cell, make_urgent_jobs(1), NOW_S)
    assert len(evicted_ids(decisions)) == count


@pytest.mark.parametrize(
    ("age_s", "max_lost_s", "count"), [(100.0, 1000.0, 1), (100.0, 500.0, 0), (10.0, 500.0, 1)]
)
def test_eviction_above_the_lost_work_limit_is_not_requested(
    cell: Cell, age_s: float, max_lost_s: float, count: int
) -> None:
    """Guard against long-running work that is evicted for a short urgent job."""
    fill_workers(cell, urgent=False, age_s=age_s)
    decisions = decide(cell, make_urgent_jobs(1, max_lost_s=max_lost_s), NOW_S)
    assert len(evicted_ids(decisions)) == count


@pytest.mark.parametrize(("allowed", "expected"), [({"w1"}, "1"), ({"w2"}, "2")])
def test_evictions_are_limited_to_allowed_workers(
    cell: Cell, allowed: set[str], expected: str
) -> None:
    """Guard against evictions on workers that the placement rule of the job excludes."""
    fill_workers(cell, urgent=False)
    rule = PlacementRule(workers=frozenset(map(TargetId, allowed)))
    assert evicted_ids(decide(cell, make_urgent_jobs(1, rule=rule), NOW_S)) == {expected}


def test_pinned_job_is_not_evicted(cell: Cell) -> None:
    """Guard against evictions of jobs that must not be interrupted."""
    job = replace(make_job("pinned", "blue", 1, 8), pinned=True)
    run_job(cell, job, 0, ALL_ACCELERATORS)
    run_job(cell, replace(job, job_id=JobId("other")), 1, ALL_ACCELERATORS)
    run_job(cell, make_job("evictable", "blue", 1, 8), 2, ALL_ACCELERATORS, age_s=9000.0)
    assert evicted_ids(decide(cell, make_urgent_jobs(2), NOW_S)) == {"evictable"}


def test_renumbering_accelerators_frees_a_whole_block(cell: Cell) -> None:
    """Guard against a job that waits for aligned numbers on workers that allocate by count."""
    for worker in ("w1", "w2"):
        cell.set_available(TargetId(worker), False)
    for number in (0, 2, 4, 6):
        run_job(cell, make_job(f"{number}", "blue", 1, 1), 0, (number,))
    job = make_job("four", "red", 1, 4)
    assert not decide(cell, [job], NOW_S)
    cell.renumber_accelerators(TargetId("w0"))
    decisions = decide(cell, [job], NOW_S)
    assert [type(decision) for decision in decisions] == [Start]


@pytest.mark.parametrize(("cheap_workers", "max_lost_s"), [({"w3", "w4", "w5"}, 200.0)])
def test_gang_across_racks_evicts_the_cheapest_work_of_all_racks(
    cheap_workers: set[str], max_lost_s: float
) -> None:
    """Guard against a gang larger than a rack that waits although cheap victims exist."""
    cell = Cell()
    cell.set_config(TEAMS, {})
    for worker in make_workers("a a a b b c c c", 8):
        cell.set_worker(worker)
    for number in range(8):
        job = make_job(f"{number}", "blue", 1, 8)
        run_job(
            cell,
            job,
            number,
            ALL_ACCELERATORS,
            age_s=5.0 if f"w{number}" in cheap_workers else 900.0,
        )
    gang = replace(make_job("gang", "red", 3, 8, urgent=True), max_lost_s=max_lost_s)
    expected = {JobId(name.removeprefix("w")) for name in cheap_workers}
    assert evicted_ids(decide(cell, [gang], NOW_S)) == expected
