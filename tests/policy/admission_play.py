"""Play of a load over virtual time: a simple queue by priority, shared by teams, with admission."""

import heapq
import random
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

import msgspec
from tests.batch.fakes import make_job, make_queue

from chicorycrank.model.batch import Queue, Step, Submission
from chicorycrank.model.ids import JobId, TeamId
from chicorycrank.model.load import LoadSummary, Resource
from chicorycrank.policy.job_admission import (
    JobDemand,
    decide_admission,
    demand_of,
    retry_after_s,
)
from chicorycrank.policy.load_rates import Arrival, JobLoad, summarize_load

CAPACITY = 440  # 55 workers with 8 accelerators
TICK_S = 0.25
SUMMARY_INTERVAL_S = 1.0
MAX_RETRIES = 4
PLAY_S = 400.0
# Two teams submit four fifths of the work, and eight teams share the rest.
LARGE_TEAMS = [TeamId(f"large-{n}") for n in range(2)]
SMALL_TEAMS = [TeamId(f"small-{n}") for n in range(8)]
LARGE_SHARE = 0.8


def _queue(name: str, priority: int, slack: float, target_latency_s: float) -> Queue:
    queue = make_queue(priority=priority, name=name)
    return msgspec.structs.replace(queue, slack=slack, target_latency_s=target_latency_s)


# Queues of the customers, with the step of a job.
KINDS = [
    (_queue("urgent", 0, 1.5, 0.5), Step(count=5, accelerators=4, run_time_s=4.5, gang=True)),
    (_queue("gangs", 1, 3.0, 1.2), Step(count=6, accelerators=4, run_time_s=20.0, gang=True)),
    (_queue("batch", 2, 3.0, 3.0), Step(count=39, accelerators=1, run_time_s=12.5)),
]


@dataclass(kw_only=True)
class PlayedJob:
    """Job of the play.

    :param error: true run time divided by the declared one
    :param waiting: number of tasks that have not started
    :param ends_at: times at which its running tasks end as declared
    """

    submission: Submission
    demand: JobDemand
    error: float
    submitted_at: float
    waiting: int
    refusals: int = 0
    accepted_at: float = -1.0
    ended_at: float = -1.0
    running: int = 0
    declared_ends_at: list[float] = field(default_factory=list)

    @property
    def step(self) -> Step:
        """The only step of the job."""
        return self.submission.steps[0]

    @property
    def is_in_time(self) -> bool:
        """Whether it has ended within three times its objective after it was accepted."""
        return 0 <= self.ended_at <= self.accepted_at + self.demand.limit_s


class Play:
    """Fleet and its queue under a load.

    :param load: submitted work relative to the capacity
    :param shares: shares of the kinds of jobs in the submitted work
    """

    def __init__(
        self, load: float, shares: Sequence[float], seed: int, *, has_admission: bool = True
    ) -> None:
        self._random = random.Random(seed)
        self._has_admission = has_admission
        self._now = 0.0
        self._free = CAPACITY
        self._summary: LoadSummary | None = None
        self._summary_at = -SUMMARY_INTERVAL_S
        self._admitted: dict[TeamId, list[JobDemand]] = {}
        self._ends: list[tuple[float, int, PlayedJob, int]] = []
        self._used: Counter[TeamId] = Counter()
        self._active: list[PlayedJob] = []
        self._accepted: list[tuple[float, PlayedJob]] = []
        self._calls = [
            (job.submitted_at, n, job) for n, job in enumerate(self._submissions(load, shares))
        ]
        self.jobs = [job for _, _, job in self._calls]
        heapq.heapify(self._calls)
        self.returns: Counter[int] = Counter()  # calls of refused jobs by second

    def run(self) -> None:
        """Play until all accepted jobs have ended."""
        while self._calls or self._active:
            self._now += TICK_S
            self._end_tasks()
            self._summarize()
            while self._calls and self._calls[0][0] <= self._now:
                _, number, job = heapq.heappop(self._calls)
                self._call(job, number)
            self._start_tasks()

    def _submissions(self, load: float, shares: Sequence[float]) -> Iterator[PlayedJob]:
        for (queue, step), share in zip(KINDS, shares, strict=True):
            work = step.count * step.accelerators * step.run_time_s
            if not share:
                continue
            rate = load * CAPACITY * share / work
            at = self._random.expovariate(rate)
            while at < PLAY_S:
                is_large = self._random.random() < LARGE_SHARE
                team = self._random.choice(LARGE_TEAMS if is_large else SMALL_TEAMS)
                name = f"{self._random.getrandbits(64):016x}"
                submission = make_job([step], name=name, queue=queue, team=team)
                yield PlayedJob(
                    submission=submission,
                    demand=demand_of(submission, queue, Resource.ACCELERATORS),
                    error=2.0 ** self._random.uniform(-1.0, 1.0),
                    submitted_at=at,
                    waiting=step.count,
                )
                at += self._random.expovariate(rate)

    def _call(self, job: PlayedJob, number: int) -> None:
        if self._summary is not None and self._has_admission:
            decision = decide_admission(job.demand, self._summary, 0, self._admitted)
            if not decision.is_admitted:
                job.refusals += 1
                if job.refusals <= MAX_RETRIES:
                    job_id = JobId(job.submission.job_id)
                    at = self._now + retry_after_s(job_id, job.demand, decision.capacity_in_s)
                    self.returns[int(at)] += 1
                    heapq.heappush(self._calls, (at, number, job))
                return
        self._admitted.setdefault(job.demand.team, []).append(job.demand)
        job.accepted_at = self._now
        self._active.append(job)
        self._accepted.append((self._now, job))

    def _start_tasks(self) -> None:
        """Start tasks by priority, then of the team that uses least, then in order of arrival.

        Jobs that cannot end within their limit any more come last among those of their priority.
        """
        blocked = False
        while not blocked:
            waiting = [job for job in self._active if job.waiting]
            if not waiting:
                return
            job = min(
                waiting,
                key=lambda j: (
                    j.demand.priority,
                    self._now + j.step.run_time_s > j.accepted_at + j.demand.limit_s,
                    self._used[j.demand.team],
                    j.accepted_at,
                ),
            )
            step = job.step
            count = step.count if step.gang else min(job.waiting, self._free // step.accelerators)
            blocked = count == 0 or count * step.accelerators > self._free
            if not blocked:
                job.waiting -= count
                job.running += count
                job.declared_ends_at += [self._now + step.run_time_s] * count
                self._free -= count * step.accelerators
                self._used[job.demand.team] += count * step.accelerators
                end_at = self._now + step.run_time_s * job.error
                heapq.heappush(self._ends, (end_at, id(job), job, count))

    def _end_tasks(self) -> None:
        while self._ends and self._ends[0][0] <= self._now:
            end_at, _, job, count = heapq.heappop(self._ends)
            job.running -= count
            del job.declared_ends_at[:count]
            self._free += count * job.step.accelerators
            self._used[job.demand.team] -= count * job.step.accelerators
            if not job.running and not job.waiting:
                job.ended_at = end_at
                self._active.remove(job)

    def _summarize(self) -> None:
        if self._now - self._summary_at < SUMMARY_INTERVAL_S:
            return
        loads = [
            JobLoad(
                job.demand.team,
                job.demand.priority,
                sum(max(0.0, end_at - self._now) for end_at in job.declared_ends_at)
                * job.step.accelerators,
                job.waiting * job.step.run_time_s * job.step.accelerators,
            )
            for job in self._active
        ]
        arrivals = [
            Arrival(
                job.demand.team,
                job.demand.priority,
                (job.step.count - job.waiting) * job.step.run_time_s * job.step.accelerators,
                self._now - at,
            )
            for at, job in self._accepted
        ]
        self._summary = summarize_load(Resource.ACCELERATORS, CAPACITY, loads, arrivals, {})
        self._summary_at, self._admitted = self._now, {}
