"""Load of a fleet by priority and team, and the rates at which it is served.

Answers the load of more jobs than the fleet can complete. A job then waits for the work ahead of
it, and for what keeps arriving: jobs of higher priority, and those of teams that use little.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import sqrt

from msgspec import structs

from chicorycrank.model.ids import TeamId
from chicorycrank.model.load import LoadSummary, Resource, TeamLoad

MAX_LEVELS = 4
# Rates are means over this window. It covers two of the waves of 17 s in which the demand of the
# users varies.
RATE_WINDOW_S = 34.0
# A window that begins with the first job is at least this long, so that a single
# job does not count as a high rate.
MIN_RATE_WINDOW_S = 10.0
# Work that waits is taken to want service within this time.
WAITING_DEMAND_S = 10.0
# Least share of the fleet that is assumed to be left beside higher priorities, as arrivals vary.
MIN_CAPACITY_LEFT_SHARE = 0.05
# Declared run times are wrong by up to this factor, independently from job to job.
DECLARED_ERROR_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class JobLoad:
    """Remaining work of an accepted job, in units of the resource times seconds."""

    team: TeamId
    priority: int
    running: float
    waiting: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """Accepted job, which may have ended.

    :param begun: declared work of its units that have started, in units of the resource times
        seconds. What waits is part of the remaining work and would count twice.
    :param age_s: time since its submission in seconds
    """

    team: TeamId
    priority: int
    begun: float
    age_s: float


def error_margin(job_count: int) -> float:
    """Return by which factor the declared work of so many jobs may be too high.

    Errors of single jobs are independent, so they average out over many.
    """
    return 1.0 + (DECLARED_ERROR_FACTOR - 1.0) / sqrt(max(1, job_count))


def capacity_left(capacity: float, higher_arrivals: float) -> float:
    """Return the capacity that higher priorities leave, if they arrive at this rate."""
    return max(capacity - higher_arrivals, MIN_CAPACITY_LEFT_SHARE * capacity)


def fair_rate(capacity: float, demands: Iterable[float]) -> float:
    """Return the rate of a team that wants more than its share, beside teams with these demands.

    A team that demands less than an equal share gets its demand, and the others share the rest.
    """
    remaining = capacity
    ordered = sorted(demands)
    for number, demand in enumerate(ordered):
        share = remaining / (len(ordered) - number)
        if demand > share:
            return share
        remaining -= demand
    return remaining + (ordered[-1] if ordered else 0.0)


def summarize_load(
    resource: Resource,
    capacity: float,
    jobs: Iterable[JobLoad],
    arrivals: Iterable[Arrival],
    quota_used: Mapping[TeamId, int],
) -> LoadSummary:
    """Return the load of a fleet with this capacity of its scarcest resource.

    :param arrivals: accepted jobs; those older than the window of the rates do not count
    :param quota_used: accelerators of urgent jobs inside the quota, by team
    """
    jobs = [job for job in jobs if job.running + job.waiting > 0]
    priorities = sorted({job.priority for job in jobs})
    if len(priorities) > MAX_LEVELS:
        priorities = [*priorities[: MAX_LEVELS - 1], priorities[-1]]
    summary = LoadSummary(
        resource=resource,
        capacity=round(max(0.0, capacity)),
        priorities=tuple(priorities),
        running=(),
        waiting=(),
        jobs=(),
        arrivals=(),
        fair_rates=(),
        team_count=0,
        teams={},
    )
    level_by_priority = {job.priority: summary.level_of(job.priority) for job in jobs}
    running, waiting, counts = ([0.0] * len(priorities) for _ in range(3))
    work_by_team: dict[TeamId, list[float]] = {}
    waiting_by_team: dict[tuple[TeamId, int], float] = {}
    for job in jobs:
        level = level_by_priority[job.priority]
        running[level] += job.running
        waiting[level] += job.waiting
        counts[level] += 1
        team_work = work_by_team.setdefault(job.team, [0.0] * len(priorities))
        team_work[level] += job.running + job.waiting
        key = job.team, level
        waiting_by_team[key] = waiting_by_team.get(key, 0.0) + job.waiting
    rates = _rates(summary, arrivals)
    rate_by_team: dict[TeamId, float] = {}
    level_rates = [0.0] * (len(priorities) + 1)
    for (team, level), rate in rates.items():
        rate_by_team[team] = rate_by_team.get(team, 0.0) + rate
        level_rates[level] += rate
    return structs.replace(
        summary,
        running=tuple(map(round, running)),
        waiting=tuple(map(round, waiting)),
        jobs=tuple(map(round, counts)),
        arrivals=tuple(map(round, level_rates[:-1])),
        fair_rates=_fair_rates(summary, waiting_by_team, level_rates, rates),
        team_count=len(work_by_team),
        teams={
            team: TeamLoad(
                quota_used.get(team, 0), round(rate_by_team.get(team, 0.0)), tuple(map(round, work))
            )
            for team, work in work_by_team.items()
        },
    )


def _rates(summary: LoadSummary, arrivals: Iterable[Arrival]) -> dict[tuple[TeamId, int], float]:
    """Return the rate of begun work by team and level; the level after the last has the rest."""
    recent = [job for job in arrivals if 0.0 <= job.age_s < RATE_WINDOW_S]
    window_s = max([MIN_RATE_WINDOW_S, *(job.age_s for job in recent)])
    rates: dict[tuple[TeamId, int], float] = {}
    for job in recent:
        key = job.team, summary.level_of(job.priority)
        rates[key] = rates.get(key, 0.0) + job.begun / window_s
    return rates


def _fair_rates(
    summary: LoadSummary,
    waiting_by_team: Mapping[tuple[TeamId, int], float],
    level_rates: Sequence[float],
    rates: Mapping[tuple[TeamId, int], float],
) -> tuple[int, ...]:
    fair_rates = []
    for level in range(len(summary.priorities)):
        teams = {team for team, number in rates.keys() | waiting_by_team.keys() if number == level}
        demands = (
            rates.get((team, level), 0.0)
            + waiting_by_team.get((team, level), 0.0) / WAITING_DEMAND_S
            for team in teams
        )
        left = capacity_left(summary.capacity, sum(level_rates[:level]))
        fair_rates.append(max(1, round(fair_rate(left, demands))))
    return tuple(fair_rates)
