"""A load of twice the capacity over virtual time, with and without admission."""

import pytest
from tests.policy.admission_play import LARGE_TEAMS, SMALL_TEAMS, Play, PlayedJob

from chicorycrank.policy.load_rates import error_margin

TWICE = 2.0
# In the play, the true run times are 0.5 to 2 times the declared ones, evenly on a logarithmic
# scale, which is 1.08 times on average. The margin of the rule for about 100 jobs ahead is 1.1.
# Work that is admitted up to this margin can be done within the limit to this share.
MEAN_ERROR = 1.082
LEAST_SHARE_IN_TIME = 1.0 / (MEAN_ERROR * error_margin(100))
# Shares of urgent gangs, gangs and batch jobs. Small teams submit a fifth of the work, of all
# kinds. What is left beside higher priorities must be enough for their batch jobs.
SHARES = [(0.1, 0.2, 0.7), (0.1, 0.1, 0.8), (0.0, 0.0, 1.0)]


def share_in_time(jobs: list[PlayedJob]) -> float:
    return sum(job.is_in_time for job in jobs) / len(jobs)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("shares", SHARES, ids=["urgent", "fewer-gangs", "batch"])
def test_what_is_admitted_at_twice_the_capacity_can_end_in_time(
    shares: tuple[float, ...], seed: int
) -> None:
    """Guards against refusals of teams within their share, and against hopeless admissions.

    Without admission, most of the capacity goes to jobs that end too late or are late when they
    begin, so the same bound does not hold.
    """
    play = Play(TWICE, shares, seed)
    play.run()
    admitted = [job for job in play.jobs if job.accepted_at >= 0.0]
    assert [job for job in play.jobs if job.refusals and job.demand.team in SMALL_TEAMS] == []
    assert any(job.refusals for job in play.jobs if job.demand.team in LARGE_TEAMS)
    assert share_in_time(admitted) >= LEAST_SHARE_IN_TIME
    urgent = [job for job in play.jobs if job.demand.priority == 0]
    assert all(job.is_in_time for job in urgent)
    without = Play(TWICE, shares, seed, has_admission=False)
    without.run()
    assert share_in_time(without.jobs) < LEAST_SHARE_IN_TIME
    works_in_time = [
        sum(job.demand.work for job in jobs if job.is_in_time) for jobs in (admitted, without.jobs)
    ]
    assert works_in_time[0] > works_in_time[1]


@pytest.mark.parametrize("seed", [1, 2])
def test_a_load_below_the_capacity_is_admitted_whole(seed: int) -> None:
    """Guards against refusals while the fleet can complete all jobs in time."""
    play = Play(0.8, SHARES[0], seed)
    play.run()
    assert sum(job.refusals for job in play.jobs) == 0
    assert share_in_time(play.jobs) == 1.0
