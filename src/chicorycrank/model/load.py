"""Summary of the load of a fleet, from which entries decide on the admission of jobs."""

from bisect import bisect_left
from enum import IntEnum

from msgspec import Struct

from chicorycrank.model.batch import Step
from chicorycrank.model.ids import TeamId


class Resource(IntEnum):
    """Resource of the workers."""

    ACCELERATORS = 0
    CORES = 1
    MEMORY = 2  # in GB


def need_of(step: Step, resource: Resource) -> float:
    """Return how much of a resource each task of a step occupies."""
    match resource:
        case Resource.ACCELERATORS:
            return float(step.accelerators)
        case Resource.CORES:
            return 0.0 if step.fills else step.cores / 1000
        case Resource.MEMORY:
            return step.memory_mb / 1000


class TeamLoad(Struct, frozen=True, array_like=True):
    """Load of one team.

    :param quota_used: accelerators of its urgent jobs that are inside its quota
    :param rate: work of the jobs that it has submitted lately, per second
    :param work: remaining work by priority level, in units of the resource times seconds
    """

    quota_used: int
    rate: int
    work: tuple[int, ...]


class LoadSummary(Struct, frozen=True, array_like=True):
    """Load of the fleet on its scarcest resource.

    Work is the declared remaining work of all units that are due, in units of the resource times
    seconds: accelerator-seconds if the accelerators are scarcest. Rates are work per second, so a
    rate is an amount of the resource.

    :param resource: resource that needs the longest time for all work
    :param capacity: amount of the resource on the open workers, weighted by their speed
    :param priorities: priorities of the levels, in ascending order
    :param running: work of the units that are placed on workers, by level
    :param waiting: work of the units that wait, by level
    :param jobs: number of jobs that have work, by level
    :param arrivals: rate at which accepted jobs have arrived lately, by level
    :param fair_rates: rate of a team whose work waits, by level, beside higher priorities and
        the other teams
    :param team_count: number of teams that have work
    :param teams: load by team; the teams with the least work are missing if the summary would
        otherwise be too large
    """

    resource: Resource
    capacity: int
    priorities: tuple[int, ...]
    running: tuple[int, ...]
    waiting: tuple[int, ...]
    jobs: tuple[int, ...]
    arrivals: tuple[int, ...]
    fair_rates: tuple[int, ...]
    team_count: int
    teams: dict[TeamId, TeamLoad]

    def level_of(self, priority: int) -> int:
        """Return the number of levels that come before a priority.

        If several priorities share a level, it has the last one of them.
        """
        return bisect_left(self.priorities, priority)

    def levels_at(self, priority: int) -> slice:
        """Return the level of exactly this priority, or no level.

        The other priorities of a shared level have none: their jobs are taken to wait for less
        work than they do, and are not refused for work that comes after them.
        """
        level = self.level_of(priority)
        return slice(level, level + (priority in self.priorities))
