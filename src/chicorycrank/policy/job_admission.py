"""Admission of batch jobs: a job that cannot end in time behind the present load is refused.

Answers the load of more jobs than the fleet can complete in time. Jobs that nobody can use any more
when they end would otherwise take the capacity of jobs that could still end in time.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from math import ceil, inf

from chicorycrank.model.batch import Queue, Submission
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.model.load import LoadSummary, Resource, TeamLoad, need_of
from chicorycrank.policy.load_rates import DECLARED_ERROR_FACTOR, capacity_left, error_margin
from chicorycrank.policy.step_chains import longest_chain_s

URGENT_PRIORITY = 0
# A job that ends later than this multiple of its objective is worth nothing to its caller.
LIMIT_FACTOR = 3.0
# Retries of refused jobs are spread over at least this share of the job's objective, so that a job
# that is refused once and then admitted can still end within the objective.
SPREAD_OBJECTIVE_SHARE = 0.25
NO_LOAD = TeamLoad(0, 0, ())


class Verdict(Enum):
    """Why a job is admitted or refused."""

    EXEMPT = "exempt"  # it runs later, or until it is cancelled
    WITHIN_QUOTA = "within-quota"
    WITHIN_SHARE = "within-share"
    IN_TIME = "in-time"
    TOO_LATE = "too-late"


@dataclass(frozen=True, kw_only=True)
class JobDemand:
    """What the admission of a job depends on.

    :param work: declared work in units of the summary's resource times seconds
    :param accelerators: width in accelerators: those of its widest step, which count towards the
        quota
    :param chain_s: declared run time of its longest chain of steps in seconds
    :param objective_s: time after submission within which the caller wants it to end, in seconds
    """

    priority: int
    team: TeamId
    work: float
    accelerators: int
    chain_s: float
    objective_s: float

    @property
    def limit_s(self) -> float:
        """Time after submission after which the job is worth nothing, in seconds."""
        return LIMIT_FACTOR * self.objective_s


@dataclass(frozen=True, kw_only=True)
class Decision:
    """Decision on one job.

    :param end_s: time until its end in seconds, at best
    :param capacity_in_s: time in seconds after which it is expected to be admitted; 0 if it is
        admitted now
    """

    verdict: Verdict
    end_s: float = 0.0
    capacity_in_s: float = 0.0

    @property
    def is_admitted(self) -> bool:
        """Whether the job is admitted."""
        return self.verdict is not Verdict.TOO_LATE


NO_JOBS: Mapping[TeamId, Sequence[JobDemand]] = {}


def objective_of(job: Submission, queue: Queue) -> float:
    """Return the time in seconds after submission within which a job should end."""
    return queue.slack * longest_chain_s(job.steps) + queue.target_latency_s


def is_exempt(job: Submission, now_ms: int) -> bool:
    """Return whether a job is not subject to admission: it runs later, or until it is cancelled.

    :param now_ms: Unix time in milliseconds
    """
    last_at_ms = job.first_at_ms + (job.repeat_count - 1) * job.interval_ms
    is_due_later = job.repeat_count > 0 and max(job.first_at_ms, last_at_ms) > now_ms
    return is_due_later or any(step.long_running for step in job.steps)


def demand_of(job: Submission, queue: Queue, resource: Resource) -> JobDemand:
    """Return the demand of a job that runs once, now.

    :param queue: present configuration of the queue of the job
    """
    needs = [step.count * need_of(step, resource) for step in job.steps]
    return JobDemand(
        priority=queue.priority,
        team=job.team,
        work=sum(need * step.run_time_s for need, step in zip(needs, job.steps, strict=True)),
        accelerators=max((step.count * step.accelerators for step in job.steps), default=0),
        chain_s=longest_chain_s(job.steps),
        objective_s=objective_of(job, queue),
    )


def decide_admission(
    job: JobDemand,
    load: LoadSummary,
    quota: int,
    admitted: Mapping[TeamId, Sequence[JobDemand]] = NO_JOBS,
) -> Decision:
    """Decide whether a job is admitted.

    :param quota: accelerators guaranteed to the urgent jobs of the job's team
    :param admitted: jobs that were admitted since the summary was made, by team
    """
    own_admitted = admitted.get(job.team, ())
    if job.priority == URGENT_PRIORITY:
        used = load.teams.get(job.team, NO_LOAD).quota_used
        used += sum(o.accelerators for o in own_admitted if o.priority == URGENT_PRIORITY)
        if job.accelerators and used + job.accelerators <= quota:
            return Decision(verdict=Verdict.WITHIN_QUOTA)
    if load.capacity <= 0 or not job.work or job.limit_s <= 0:
        return Decision(verdict=Verdict.IN_TIME)
    own_load = load.teams.get(job.team, NO_LOAD)
    own_work = sum(own_load.work) + sum(other.work for other in own_admitted)
    share = load.capacity / _team_count(load, {*admitted, job.team})
    if max(own_load.rate, own_work / job.limit_s) <= share:
        return Decision(verdict=Verdict.WITHIN_SHARE)
    end_s, margin = _earliest_end(job, load, admitted)
    if end_s <= job.limit_s:
        return Decision(verdict=Verdict.IN_TIME, end_s=end_s)
    until_in_time_s = (end_s - job.limit_s) * margin
    until_in_share_s = own_work / share - job.limit_s if own_load.rate <= share else inf
    return Decision(
        verdict=Verdict.TOO_LATE,
        end_s=end_s,
        capacity_in_s=min(until_in_time_s, until_in_share_s, job.limit_s),
    )


def retry_after_s(job_id: JobId, job: JobDemand, capacity_in_s: float) -> int:
    """Return the whole seconds after which the caller of a refused job may retry.

    Retries are spread over a time as long as the wait for capacity, and at least a share of the
    objective: jobs that were refused together do not come back together.
    """
    digest = blake2b(job_id.encode(), digest_size=8).digest()
    fraction = int.from_bytes(digest) / 2**64
    spread_s = max(capacity_in_s, SPREAD_OBJECTIVE_SHARE * job.objective_s)
    return max(1, ceil(capacity_in_s + fraction * spread_s))


def _team_count(load: LoadSummary, teams: set[TeamId]) -> int:
    """Return the number of teams with work, including these.

    A team that the summary lacks is one of those left out for its size, or has no work.
    """
    unknown = sum(1 for team in teams if team not in load.teams)
    return max(load.team_count, len(load.teams) + unknown)


def _earliest_end(
    job: JobDemand, load: LoadSummary, admitted: Mapping[TeamId, Sequence[JobDemand]]
) -> tuple[float, float]:
    """Return the time in seconds until a job ends at best, and the margin of the work ahead.

    Work of higher priority comes first, also what keeps arriving. Of its own priority, the job
    waits for the work of its team, which gets its fair rate. Errors of declared times average out
    over the jobs ahead: the margin is 2 for one job and approaches 1 for many.
    """
    level, levels = load.level_of(job.priority), load.levels_at(job.priority)
    left = capacity_left(load.capacity, sum(load.arrivals[:level]))
    rate = sum(load.fair_rates[levels]) or left
    later = [other for others in admitted.values() for other in others]
    higher: float = sum(load.running[:level]) + sum(load.waiting[:level])
    higher += sum(other.work for other in later if other.priority < job.priority)
    own: float = sum(load.teams.get(job.team, NO_LOAD).work[levels])
    own += sum(o.work for o in admitted.get(job.team, ()) if o.priority == job.priority)
    margin = error_margin(sum(load.jobs[:level]) + sum(load.jobs[levels]))
    ahead_s = (higher / left + own / rate) / margin
    run_s = max(job.chain_s, job.work / load.capacity) / DECLARED_ERROR_FACTOR
    return ahead_s + run_s, margin
