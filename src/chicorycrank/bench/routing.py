"""Simulation of request routing: the real policy and queue against round robin.

Events run on a simulated clock in seconds. Executors are fakes with slots and a service time;
one is slow and one fails every request.
"""

import heapq
import itertools
import json
import random
from collections.abc import Callable
from dataclasses import asdict, dataclass, field, replace
from functools import partial
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank.model.ids import TeamId
from chicorycrank.model.requests import RequestClass
from chicorycrank.policy.fair_queue import FairQueue
from chicorycrank.policy.routing import (
    BreakerState,
    Health,
    TargetView,
    aged_latency,
    breaker_state,
    choose,
    note_result,
    should_forward,
)

SLOTS = 8
SERVICE_S = 0.05
SLOW_FACTOR = 10.0
FAIL_S = 0.005
LINK_DELAY_S = 0.02
DEADLINE_S = 5.0
URGENT_SHARE = 0.2
MEAN_BODY_BYTES = 50_000
COST_S_PER_MB = 0.5
QUEUE_LIMIT = 200
MAX_RUNS = 3
RETRY_SHARE = 0.1
RETRY_TOKENS = 10.0
TEAMS = tuple(TeamId(name) for name in ("team-a", "team-b", "team-c", "team-d"))
REGIONS = ("home", "away")


@dataclass(kw_only=True, eq=False)
class Executor:
    """A fake executor."""

    region: str
    factor: float = 1.0
    fails: bool = False
    used: int = 0
    health: Health = field(default_factory=Health)


@dataclass(kw_only=True, eq=False)
class Job:
    """A request of the simulation."""

    team: TeamId
    kind: RequestClass
    body_bytes: int
    arrived: float
    runs: int = 0
    tried: set[int] = field(default_factory=set)


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Results of one class under one router.

    :param p50_s: median time from arrival to the completed answer in seconds
    :param refused_share: share of requests refused without an attempt
    :param failed_share: share of requests that ended as failed
    """

    router: str
    request_class: str
    requests: int
    p50_s: float
    p99_s: float
    refused_share: float
    failed_share: float
    cross_region_mb: float


Router = Callable[["Simulation", Job], Executor | None]


class Simulation:
    """One home region with a slow and a failing executor, and one healthy region beside it."""

    def __init__(
        self, router: Router, *, seed: int, load: float, executors: int, has_away: bool
    ) -> None:
        self.now = 0.0
        self.turn = itertools.count()
        self.executors = [Executor(region=REGIONS[0]) for _ in range(executors)]
        self.executors[0].factor = SLOW_FACTOR
        self.executors[1].fails = True
        if has_away:
            self.executors += [Executor(region=REGIONS[1]) for _ in range(executors)]
        self.queue: FairQueue[Job] = FairQueue(lambda team: 1.0)
        self.latencies: dict[RequestClass, list[float]] = {kind: [] for kind in RequestClass}
        self.counts = {kind: {"all": 0, "refused": 0, "failed": 0} for kind in RequestClass}
        self.cross_bytes = 0
        self._router = router
        self._random = random.Random(seed)
        self._rate = load * (executors - 2) * SLOTS / SERVICE_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._tokens = dict.fromkeys(TEAMS, RETRY_TOKENS)

    def run(self, requests: int, progress: Callable[[int], None]) -> None:
        """Simulate until all requests have an outcome."""
        at = 0.0
        for index in range(requests):
            at += self._random.expovariate(self._rate)
            job = Job(
                team=self._random.choice(TEAMS),
                kind=RequestClass.URGENT
                if self._random.random() < URGENT_SHARE
                else RequestClass.PATIENT,
                body_bytes=int(self._random.expovariate(1 / MEAN_BODY_BYTES)),
                arrived=at,
            )
            self._at(at, partial(self._arrive, job, index, progress))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def views(self, region: str, now: float) -> tuple[list[Executor], list[TargetView]]:
        """Return the executors of a region as the policy sees them."""
        executors = [e for e in self.executors if e.region == region]
        known = [e.health.latency_s for e in executors if e.health.latency_s]
        baseline = min(known, default=SERVICE_S)
        views = [
            TargetView(
                capacity=SLOTS,
                in_flight=e.used,
                others=0,
                latency_s=aged_latency(e.health, baseline, now),
                failure_share=e.health.failure_share,
                state=breaker_state(e.health, now),
                probe=e.health.probe,
            )
            for e in executors
        ]
        return executors, views

    def _at(self, time: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), event))

    def _arrive(self, job: Job, index: int, progress: Callable[[int], None]) -> None:
        progress(index)
        self.counts[job.kind]["all"] += 1
        self._tokens[job.team] = min(RETRY_TOKENS, self._tokens[job.team] + RETRY_SHARE)
        self._submit(job)

    def _submit(self, job: Job) -> None:
        if not self.queue.push(job.team, job.kind, job, limit=QUEUE_LIMIT):
            self.counts[job.kind]["refused"] += 1
            return
        self._pump()

    def _pump(self) -> None:
        while True:
            chosen: list[Executor] = []

            def accepts(job: Job, chosen: list[Executor] = chosen) -> bool:
                executor = self._router(self, job)
                if executor is not None:
                    chosen.append(executor)
                return executor is not None

            job = self.queue.pop(accepts)
            if job is None:
                return
            if self.now - job.arrived > DEADLINE_S:
                self.counts[job.kind]["refused" if not job.runs else "failed"] += 1
                continue
            self._start(job, chosen[0])

    def _start(self, job: Job, executor: Executor) -> None:
        executor.used += 1
        job.runs += 1
        job.tried.add(id(executor))
        if breaker_state(executor.health, self.now) is BreakerState.HALF_OPEN:
            executor.health = replace(executor.health, probe=True)
        time = FAIL_S if executor.fails else self._random.gammavariate(4, SERVICE_S / 4)
        time *= executor.factor
        if executor.region != REGIONS[0]:
            self.cross_bytes += job.body_bytes
            time += 2 * LINK_DELAY_S
        self._at(self.now + time, lambda: self._end(job, executor, time))

    def _end(self, job: Job, executor: Executor, time: float) -> None:
        executor.used -= 1
        executor.health = note_result(
            executor.health, failed=executor.fails, latency_s=time, now=self.now
        )
        if not executor.fails:
            self.latencies[job.kind].append(self.now - job.arrived)
        elif job.runs < MAX_RUNS and self._tokens[job.team] >= 1.0:
            self._tokens[job.team] -= 1.0
            self._submit(job)
        else:
            self.counts[job.kind]["failed"] += 1
        self._pump()


def route_by_load(simulation: Simulation, job: Job) -> Executor | None:
    """Choose with the product's policy; the other region only when it pays."""
    urgent = job.kind is RequestClass.URGENT
    found: list[tuple[Executor, float]] = []
    for region in REGIONS:
        executors, views = simulation.views(region, simulation.now)
        fresh = [i for i, e in enumerate(executors) if id(e) not in job.tried]
        index = choose([views[i] for i in fresh], urgent=urgent, repeatable=True)
        if index is not None:
            view = views[fresh[index]]
            found.append((executors[fresh[index]], view.latency_s))
    home = next((e for e, _ in found if e.region == REGIONS[0]), None)
    away = next(((e, s) for e, s in found if e.region == REGIONS[1]), None)
    if away is None:
        return home
    local_s = next((s for e, s in found if e.region == REGIONS[0]), None)
    if local_s is None:
        _, views = simulation.views(REGIONS[0], simulation.now)
        closed = [v.latency_s for v in views if v.state is BreakerState.CLOSED]
        ahead = len(simulation.queue) * SERVICE_S / (SLOTS * max(1, len(closed)))
        local_s = ahead + 1.5 * min(closed) if closed else DEADLINE_S
    pays = should_forward(
        local_s=local_s,
        remote_s=away[1] - 2 * LINK_DELAY_S,
        link_delay_s=LINK_DELAY_S,
        body_bytes=job.body_bytes,
        cost_s_per_mb=COST_S_PER_MB,
    )
    return away[0] if pays else home


def route_round_robin(simulation: Simulation, job: Job) -> Executor | None:
    """Take the executors of the own region in turn; skip those without a free slot."""
    home = [e for e in simulation.executors if e.region == REGIONS[0]]
    for _ in home:
        executor = home[next(simulation.turn) % len(home)]
        if executor.used < SLOTS:
            return executor
    return None


ROUTERS: dict[str, Router] = {"round_robin": route_round_robin, "by_load": route_by_load}


def run(
    *,
    seed: int = 1,
    requests: int = 50_000,
    load: float = 0.7,
    executors: int = 5,
    has_away: bool = True,
    progress: Callable[[str, int], None] = lambda router, done: None,
) -> list[Figures]:
    """Measure both routers on the same arrivals.

    :param load: offered load as a share of the healthy executors of the home region
    :param executors: executors per region; two of the home region are faulty
    :param has_away: whether a second region without faults takes forwarded requests
    """
    results = []
    for name, router in ROUTERS.items():
        simulation = Simulation(
            router, seed=seed, load=load, executors=executors, has_away=has_away
        )
        simulation.run(requests, partial(progress, name))
        for kind in RequestClass:
            count = simulation.counts[kind]
            times = sorted(simulation.latencies[kind])
            results.append(
                Figures(
                    router=name,
                    request_class=kind.value,
                    requests=count["all"],
                    p50_s=round(quantile(times, 0.5), 4),
                    p99_s=round(quantile(times, 0.99), 4),
                    refused_share=round(count["refused"] / max(1, count["all"]), 4),
                    failed_share=round(count["failed"] / max(1, count["all"]), 4),
                    cross_region_mb=round(simulation.cross_bytes / 1e6, 1),
                )
            )
    return results


def quantile(ordered: list[float], share: float) -> float:
    """Return a quantile of sorted values; not a number without values."""
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def plot(results: list[Figures], path: Path) -> None:
    """Draw p50 and p99 by router and class."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    labels = [f"{r.router}\n{r.request_class}" for r in results]
    axes.bar(labels, [r.p99_s for r in results], label="p99")
    axes.bar(labels, [r.p50_s for r in results], label="p50")
    axes.set_yscale("log")
    axes.set_ylabel("seconds")
    axes.legend()
    figure.savefig(path)


class RoutingCommand(Command):
    """Compares routing by load with round robin."""

    name = "routing"
    description = "Compare routing by load with round robin on a simulated clock."
    options = [  # noqa: RUF012 (declared so by the base class)
        option("seed", None, "Seed of the arrivals.", flag=False, default="1"),
        option("requests", None, "Number of requests.", flag=False, default="50000"),
        option("load", None, "Offered load of the healthy executors.", flag=False, default="0.7"),
        option("home-only", None, "Simulate no second region."),
        option("json", None, "Print JSON."),
        option("plot", None, "Write a chart to this file.", flag=False),
    ]

    def handle(self) -> int:
        """Run the simulation and print its figures."""
        requests = int(self.option("requests"))
        bar = None if self.option("json") else self.progress_bar(requests * len(ROUTERS))
        results = run(
            seed=int(self.option("seed")),
            requests=requests,
            load=float(self.option("load")),
            has_away=not self.option("home-only"),
            progress=lambda router, done: bar.advance() if bar is not None else None,
        )
        if bar is not None:
            bar.finish()
            self.line("")
        if self.option("json"):
            self.line(json.dumps([asdict(result) for result in results], indent=2))
        else:
            table = self.table()
            table.set_headers(list(asdict(results[0])))
            table.set_rows([[str(v) for v in asdict(result).values()] for result in results])
            table.render()
        if self.option("plot"):
            plot(results, Path(self.option("plot")))
        return 0
