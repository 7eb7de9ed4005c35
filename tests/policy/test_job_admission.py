"""Admission of jobs by what the fleet can complete in time."""

from collections.abc import Sequence

import msgspec
import pytest
from tests.batch.fakes import make_job, make_queue

from chicorycrank.model.batch import Queue, Step, Submission
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.model.load import LoadSummary, Resource, TeamLoad
from chicorycrank.policy.job_admission import (
    JobDemand,
    Verdict,
    decide_admission,
    demand_of,
    is_exempt,
    retry_after_s,
)
from chicorycrank.policy.step_chains import longest_chain_s

BURST, QUIET = TeamId("burst"), TeamId("quiet")
CAPACITY = 100
RATES = {"burst": 90, "quiet": 10}
JOBS_AHEAD = 400  # the margin of the work ahead is 1.05
# Chain 10 s, slack 3, target latency 3 s: objective 33 s, limit 99 s.
BATCH_QUEUE: Queue = msgspec.structs.replace(
    make_queue(priority=2, name="batch"), slack=3.0, target_latency_s=3.0
)
URGENT_QUEUE: Queue = msgspec.structs.replace(
    make_queue(priority=0, name="urgent"), slack=1.5, target_latency_s=0.5
)
TASK = Step(count=10, accelerators=1, run_time_s=10.0)


def make_load(
    arrivals: tuple[int, ...] = (0, 0, 0),
    fair_rates: tuple[int, ...] = (CAPACITY, CAPACITY, CAPACITY),
    **work_s: Sequence[float],
) -> LoadSummary:
    """Return a summary from the work of teams by priority, in seconds of the whole fleet."""
    teams = {
        TeamId(name): TeamLoad(0, RATES[name], tuple(round(part * CAPACITY) for part in parts))
        for name, parts in work_s.items()
    }
    waiting = tuple(sum(load.work[level] for load in teams.values()) for level in range(3))
    return LoadSummary(
        resource=Resource.ACCELERATORS,
        capacity=CAPACITY,
        priorities=(0, 1, 2),
        running=(0, 0, 0),
        waiting=waiting,
        jobs=tuple(JOBS_AHEAD if work else 0 for work in waiting),
        arrivals=arrivals,
        fair_rates=fair_rates,
        team_count=len(teams),
        teams=teams,
    )


def make_demand(
    queue: Queue = BATCH_QUEUE, team: TeamId = BURST, steps: Sequence[Step] = (TASK,)
) -> JobDemand:
    return demand_of(make_job(steps, queue=queue, team=team), queue, Resource.ACCELERATORS)


@pytest.mark.parametrize(
    ("load", "queue", "team", "verdict"),
    [
        # The limit is 99 s, and half of the 10 s of the job itself counts.
        (make_load(burst=(0, 0, 98), quiet=(0, 0, 0.1)), BATCH_QUEUE, BURST, Verdict.IN_TIME),
        (make_load(burst=(0, 0, 101), quiet=(0, 0, 0.1)), BATCH_QUEUE, BURST, Verdict.TOO_LATE),
        (make_load(burst=(0, 0, 101), quiet=(0, 0, 0.1)), BATCH_QUEUE, QUIET, Verdict.WITHIN_SHARE),
        (make_load(burst=(0, 0, 900)), BATCH_QUEUE, QUIET, Verdict.WITHIN_SHARE),
        # Work of higher priority counts, and its team pays for it.
        (make_load(burst=(0, 60, 60), quiet=(0, 0, 1)), BATCH_QUEUE, BURST, Verdict.TOO_LATE),
        (make_load(burst=(0, 900, 0), quiet=(0, 0, 1)), BATCH_QUEUE, QUIET, Verdict.WITHIN_SHARE),
        # An urgent job, with a limit of 46.5 s, waits for urgent work only.
        (make_load(burst=(0, 900, 900), quiet=(0, 0, 1)), URGENT_QUEUE, BURST, Verdict.IN_TIME),
        (make_load(burst=(60, 0, 0), quiet=(1, 0, 0)), URGENT_QUEUE, BURST, Verdict.TOO_LATE),
        # The team's own work of this priority comes first, at its fair rate.
        (make_load(burst=(50, 0, 10), quiet=(0, 0, 900)), BATCH_QUEUE, BURST, Verdict.IN_TIME),
        (
            make_load(fair_rates=(100, 100, 50), burst=(0, 0, 51), quiet=(0, 0, 0.1)),
            BATCH_QUEUE,
            BURST,
            Verdict.TOO_LATE,
        ),
        # What arrives of higher priority meanwhile delays what waits for it.
        (
            make_load(arrivals=(50, 0, 0), burst=(25, 25, 2), quiet=(0, 0, 0.1)),
            BATCH_QUEUE,
            BURST,
            Verdict.TOO_LATE,
        ),
    ],
)
def test_a_job_is_refused_only_behind_work_that_comes_first(
    load: LoadSummary, queue: Queue, team: TeamId, verdict: Verdict
) -> None:
    """Guards against refusals for later work or another team's burst, and hopeless admissions."""
    assert decide_admission(make_demand(queue, team), load, quota=0).verdict is verdict


@pytest.mark.parametrize(("jobs", "wait_s", "is_admitted"), [(1, 180, True), (400, 180, False)])
def test_the_margin_covers_errors_of_declared_times(
    jobs: int, wait_s: float, is_admitted: bool
) -> None:
    """Guards against a refusal behind one job that may need half of its declared time."""
    load = make_load(burst=(0, 0, wait_s), quiet=(0, 0, 0.1))
    load = msgspec.structs.replace(load, jobs=(0, 0, jobs))
    assert decide_admission(make_demand(), load, quota=0).is_admitted is is_admitted


@pytest.mark.parametrize(
    ("quota_used", "quota", "is_admitted"), [(0, 10, True), (1, 10, False), (0, 0, False)]
)
def test_an_urgent_job_within_the_quota_is_admitted(
    quota_used: int, quota: int, is_admitted: bool
) -> None:
    """Guards against the refusal of guaranteed work, and against a quota that is used twice."""
    load = make_load(burst=(900, 0, 0), quiet=(1, 0, 0))
    teams = load.teams | {BURST: TeamLoad(quota_used, 90, load.teams[BURST].work)}
    load = msgspec.structs.replace(load, teams=teams)
    demand = make_demand(URGENT_QUEUE)
    assert decide_admission(demand, load, quota).is_admitted is is_admitted
    if is_admitted:
        second = decide_admission(demand, load, quota, {BURST: [demand]})
        assert second.verdict is Verdict.TOO_LATE


@pytest.mark.parametrize(("rate", "is_admitted"), [(50, True), (51, False)])
def test_a_team_that_takes_more_than_its_share_is_not_below_it(
    rate: int, is_admitted: bool
) -> None:
    """Guards against a team whose work of higher priority takes the capacity of all others."""
    load = make_load(fair_rates=(100, 100, 5), burst=(0, 0, 20), quiet=(0, 0, 1))
    teams = load.teams | {BURST: TeamLoad(0, rate, load.teams[BURST].work)}
    load = msgspec.structs.replace(load, teams=teams)
    assert decide_admission(make_demand(), load, 0).is_admitted is is_admitted


def test_jobs_admitted_since_the_summary_count() -> None:
    """Guards against a burst between two summaries that is admitted whole."""
    load = make_load(burst=(0, 0, 90), quiet=(0, 0, 0.1))
    demand = make_demand(steps=[Step(count=100, accelerators=1, run_time_s=10.0)])
    admitted = {BURST: [demand] * 2}
    assert decide_admission(demand, load, 0).is_admitted
    assert not decide_admission(demand, load, 0, admitted).is_admitted
    assert decide_admission(make_demand(team=QUIET), load, 0, admitted).is_admitted


def test_a_team_that_the_summary_lacks_is_below_its_share() -> None:
    """Guards against refusals of a team that the summary has no room for."""
    load = msgspec.structs.replace(make_load(burst=(0, 0, 900)), team_count=24)
    assert decide_admission(make_demand(team=QUIET), load, 0).verdict is Verdict.WITHIN_SHARE


def test_a_priority_without_work_waits_for_higher_priorities_only() -> None:
    """Guards against a job that waits for work of lower priority at the next level."""
    load = make_load(burst=(0, 0, 900), quiet=(0, 0, 1))
    load = msgspec.structs.replace(load, priorities=(0, 5, 9))
    queue = msgspec.structs.replace(BATCH_QUEUE, priority=7)
    assert decide_admission(make_demand(queue), load, 0).verdict is Verdict.IN_TIME


@pytest.mark.parametrize(
    "queue", [BATCH_QUEUE, msgspec.structs.replace(BATCH_QUEUE, slack=0.0, target_latency_s=0.0)]
)
@pytest.mark.parametrize("steps", [[], [Step(count=1, accelerators=1, run_time_s=0.0)]])
def test_a_job_without_work_or_objective_is_admitted(queue: Queue, steps: list[Step]) -> None:
    """Guards against a division by zero."""
    load = make_load(burst=(0, 0, 900), quiet=(0, 0, 1))
    assert decide_admission(make_demand(queue, steps=steps), load, 0).is_admitted
    if queue is not BATCH_QUEUE:
        assert decide_admission(make_demand(queue), load, 0).is_admitted


def test_a_fleet_without_capacity_refuses_nothing() -> None:
    """Guards against a division by zero and refusals for a capacity that is not known."""
    load = msgspec.structs.replace(make_load(burst=(0, 0, 900)), capacity=0)
    assert decide_admission(make_demand(), load, 0).is_admitted


@pytest.mark.parametrize(
    ("steps", "chain_s"),
    [
        ([TASK], 10.0),
        ([TASK, msgspec.structs.replace(TASK, after=(0,))], 20.0),
        ([TASK, TASK, Step(count=1, run_time_s=5.0, after=(0, 1))], 15.0),
    ],
)
def test_the_chain_follows_dependencies(steps: list[Step], chain_s: float) -> None:
    """Guards against an objective that ignores steps or counts parallel ones twice."""
    assert longest_chain_s(steps) == chain_s


@pytest.mark.parametrize(
    ("changes", "steps", "expected"),
    [
        ({}, [TASK], False),
        ({"repeat_count": 1, "first_at_ms": 5_000}, [TASK], True),
        ({"repeat_count": 1, "first_at_ms": 500}, [TASK], False),
        ({"repeat_count": 3, "first_at_ms": 500, "interval_ms": 1000}, [TASK], True),
        ({}, [TASK, Step(count=1, long_running=True)], True),
    ],
)
def test_jobs_that_run_later_or_without_end_are_exempt(
    changes: dict[str, int], steps: list[Step], expected: bool
) -> None:
    """Guards against a refusal of work that the present load says nothing about."""
    job: Submission = msgspec.structs.replace(make_job(steps), **changes)
    assert is_exempt(job, now_ms=1000) is expected


def test_all_retries_are_spread() -> None:
    """Guards against refused jobs that all return at the same moment.

    The retries cover at least a quarter of the objective, evenly, and a job keeps its delay.
    """
    demand = make_demand()
    ids = [JobId(f"{number:016x}") for number in range(400)]
    delays = [retry_after_s(job_id, demand, 20.0) for job_id in ids]
    assert delays == [retry_after_s(job_id, demand, 20.0) for job_id in ids]
    assert min(delays) >= 20
    assert max(delays) <= 40
    assert max(delays.count(second) for second in set(delays)) <= 40
    soon = [retry_after_s(job_id, demand, 0.01) for job_id in ids]
    assert min(soon) == 1
    assert len(set(soon)) >= 8
