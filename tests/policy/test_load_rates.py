"""Rates at which a loaded fleet is served, by priority and team."""

import pytest

from chicorycrank.model.ids import TeamId
from chicorycrank.model.load import Resource
from chicorycrank.policy.load_rates import (
    MIN_RATE_WINDOW_S,
    RATE_WINDOW_S,
    Arrival,
    JobLoad,
    capacity_left,
    error_margin,
    fair_rate,
    summarize_load,
)

RED, BLUE = TeamId("red"), TeamId("blue")


@pytest.mark.parametrize(
    ("demands", "rate"),
    [
        ([], 100.0),
        ([1000.0], 100.0),
        ([1000.0, 1000.0], 50.0),
        ([10.0, 20.0, 1000.0], 70.0),
        ([10.0, 1000.0, 1000.0], 45.0),
        # All are satisfied: a team can have what is left beside its own demand.
        ([10.0, 30.0], 90.0),
    ],
)
def test_a_team_gets_what_smaller_ones_leave(demands: list[float], rate: float) -> None:
    """Guards against a rate that small teams cannot take, or that ignores them."""
    assert fair_rate(100.0, demands) == rate


def test_some_capacity_is_left_beside_higher_priorities() -> None:
    """Guards against a division by zero while urgent jobs fill the fleet."""
    assert [capacity_left(100.0, rate) for rate in (0.0, 40.0, 200.0)] == [100.0, 60.0, 5.0]


def test_errors_average_out() -> None:
    """Guards against a margin that lets in twice the work behind many jobs."""
    assert [error_margin(count) for count in (0, 1, 4, 100)] == [2.0, 2.0, 1.5, 1.1]


@pytest.mark.parametrize(
    ("ages_s", "rate"),
    [
        ([1.0], 100 / MIN_RATE_WINDOW_S),
        ([1.0, 20.0], 200 / 20.0),
        ([1.0, RATE_WINDOW_S + 1.0], 100 / MIN_RATE_WINDOW_S),
    ],
)
def test_rates_are_those_of_the_window(ages_s: list[float], rate: float) -> None:
    """Guards against a single job that counts as a rate, and against rates of the past."""
    arrivals = [Arrival(RED, 0, 100.0, age_s) for age_s in ages_s]
    jobs = [JobLoad(RED, 0, 10.0, 10.0), JobLoad(BLUE, 1, 0.0, 1000.0)]
    summary = summarize_load(Resource.ACCELERATORS, 100, jobs, arrivals, {RED: 3})
    assert summary.arrivals == (round(rate), 0)
    assert (summary.teams[RED].rate, summary.teams[RED].quota_used) == (round(rate), 3)
    assert summary.fair_rates[1] == round(100 - rate)


def test_work_that_waits_is_no_rate() -> None:
    """Guards against one burst that counts as work ahead and as work that keeps arriving."""
    jobs = [JobLoad(RED, 0, 0.0, 5000.0), JobLoad(BLUE, 1, 10.0, 0.0)]
    arrivals = [Arrival(RED, 0, 0.0, 1.0), Arrival(BLUE, 1, 10.0, 1.0)]
    summary = summarize_load(Resource.ACCELERATORS, 100, jobs, arrivals, {})
    assert (summary.waiting, summary.arrivals) == ((5000, 0), (0, 1))
