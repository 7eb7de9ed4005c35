"""Simulation of request routing: the scheduler's policy compared with round robin.

Time is simulated, in seconds. Executors have slots and a service time; in the home region, one is
slow and one fails every request.
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
    choose_target,
    record_outcome,
    should_forward,
)

SLOTS = 8
SERVICE_TIME_S = 0.05
SLOW_FACTOR = 10.0  # service time of the slow executor relative to the others
FAILURE_TIME_S = 0.005  # service time of the failing executor
LINK_DELAY_S = 0.02  # one-way delay between the regions
DEADLINE_S = 5.0
URGENT_SHARE = 0.2
MEAN_BODY_BYTES = 50_000
COST_S_PER_MB = 0.5  # transfer cost, as in should_forward
QUEUE_LIMIT = 200  # queued requests per team and class
MAX_ATTEMPTS = 3
# A retry costs its team one token.
RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 10.0
TEAMS = tuple(TeamId(name) for name in ("team-a", "team-b", "team-c", "team-d"))
REGIONS = ("home", "away")


@dataclass(kw_only=True, eq=False)
class SimulatedExecutor:
    """Executor with slots, a service time and the health that the policy records."""

    region: str
    service_time_factor: float = 1.0
    is_failing: bool = False
    used_slots: int = 0
    health: Health = field(default_factory=Health)


@dataclass(kw_only=True, eq=False)
class SimulatedRequest:
    """Request with its attempts so far."""

    team: TeamId
    kind: RequestClass
    body_bytes: int
    arrived_s: float
    attempts: int = 0
    tried_executor_ids: set[int] = field(default_factory=set)


@dataclass(frozen=True, kw_only=True)
class RoutingMeasures:
    """Measures of one request class with one router.

    :param p50_s: median time from arrival to the completed answer in seconds
    :param refused_share: share of requests refused without an attempt
    :param failed_share: share of requests that ended as failed
    :param cross_region_mb: megabytes of bodies that the router sent to the remote region
    """

    router: str
    request_class: str
    requests: int
    p50_s: float
    p99_s: float
    refused_share: float
    failed_share: float
    cross_region_mb: float


Router = Callable[["Simulation", SimulatedRequest], SimulatedExecutor | None]


class Simulation:
    """A home region with a slow and a failing executor, and optionally a healthy remote region."""

    def __init__(
        self, router: Router, *, seed: int, load: float, executors: int, has_remote_region: bool
    ) -> None:
        self.now = 0.0
        self.round_robin_counter = itertools.count()
        self.executors = [SimulatedExecutor(region=REGIONS[0]) for _ in range(executors)]
        self.executors[0].service_time_factor = SLOW_FACTOR
        self.executors[1].is_failing = True
        if has_remote_region:
            self.executors += [SimulatedExecutor(region=REGIONS[1]) for _ in range(executors)]
        self.queue: FairQueue[SimulatedRequest] = FairQueue(lambda team: 1.0)
        self.latencies_s_by_class: dict[RequestClass, list[float]] = {
            kind: [] for kind in RequestClass
        }
        self.counts_by_class = {
            kind: {"all": 0, "refused": 0, "failed": 0} for kind in RequestClass
        }
        self.cross_region_bytes = 0
        self._router = router
        self._rng = random.Random(seed)
        self._arrivals_per_s = load * (executors - 2) * SLOTS / SERVICE_TIME_S
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._retry_tokens_by_team = dict.fromkeys(TEAMS, MAX_RETRY_TOKENS)

    def run(self, requests: int, progress: Callable[[int], None]) -> None:
        """Simulate until all requests have an outcome.

        :param progress: called with the index of each request on its arrival
        """
        arrival_s = 0.0
        for index in range(requests):
            arrival_s += self._rng.expovariate(self._arrivals_per_s)
            request = SimulatedRequest(
                team=self._rng.choice(TEAMS),
                kind=RequestClass.URGENT
                if self._rng.random() < URGENT_SHARE
                else RequestClass.PATIENT,
                body_bytes=int(self._rng.expovariate(1 / MEAN_BODY_BYTES)),
                arrived_s=arrival_s,
            )
            self._schedule(arrival_s, partial(self._arrive, request, index, progress))
        while self._events:
            self.now, _, event = heapq.heappop(self._events)
            event()

    def views(self, region: str, now: float) -> tuple[list[SimulatedExecutor], list[TargetView]]:
        """Return the executors of a region, and the view of each that the policy gets."""
        executors = [executor for executor in self.executors if executor.region == region]
        latencies_s = [
            executor.health.latency_s for executor in executors if executor.health.latency_s
        ]
        baseline = min(latencies_s, default=SERVICE_TIME_S)
        views = [
            TargetView(
                capacity=SLOTS,
                in_flight=executor.used_slots,
                other_entry_slots=0,
                latency_s=aged_latency(executor.health, baseline, now),
                failure_share=executor.health.failure_share,
                state=breaker_state(executor.health, now),
                is_probing=executor.health.is_probing,
            )
            for executor in executors
        ]
        return executors, views

    def _schedule(self, at_s: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_numbers), event))

    def _arrive(
        self, request: SimulatedRequest, index: int, progress: Callable[[int], None]
    ) -> None:
        progress(index)
        self.counts_by_class[request.kind]["all"] += 1
        self._retry_tokens_by_team[request.team] = min(
            MAX_RETRY_TOKENS, self._retry_tokens_by_team[request.team] + RETRY_TOKENS_PER_REQUEST
        )
        self._submit(request)

    def _submit(self, request: SimulatedRequest) -> None:
        if not self.queue.push(request.team, request.kind, request, limit=QUEUE_LIMIT):
            self.counts_by_class[request.kind]["refused"] += 1
            return
        self._dispatch_queue()

    def _dispatch_queue(self) -> None:
        while True:
            chosen: list[SimulatedExecutor] = []

            def accepts(
                request: SimulatedRequest, chosen: list[SimulatedExecutor] = chosen
            ) -> bool:
                executor = self._router(self, request)
                if executor is not None:
                    chosen.append(executor)
                return executor is not None

            request = self.queue.pop(accepts)
            if request is None:
                return
            if self.now - request.arrived_s > DEADLINE_S:
                self.counts_by_class[request.kind][
                    "refused" if not request.attempts else "failed"
                ] += 1
                continue
            self._start_attempt(request, chosen[0])

    def _start_attempt(self, request: SimulatedRequest, executor: SimulatedExecutor) -> None:
        executor.used_slots += 1
        request.attempts += 1
        request.tried_executor_ids.add(id(executor))
        if breaker_state(executor.health, self.now) is BreakerState.HALF_OPEN:
            executor.health = replace(executor.health, is_probing=True)
        duration_s = (
            FAILURE_TIME_S if executor.is_failing else self._rng.gammavariate(4, SERVICE_TIME_S / 4)
        )
        duration_s *= executor.service_time_factor
        if executor.region != REGIONS[0]:
            self.cross_region_bytes += request.body_bytes
            duration_s += 2 * LINK_DELAY_S
        self._schedule(
            self.now + duration_s, lambda: self._end_attempt(request, executor, duration_s)
        )

    def _end_attempt(
        self, request: SimulatedRequest, executor: SimulatedExecutor, duration_s: float
    ) -> None:
        executor.used_slots -= 1
        executor.health = record_outcome(
            executor.health, failed=executor.is_failing, latency_s=duration_s, now=self.now
        )
        if not executor.is_failing:
            self.latencies_s_by_class[request.kind].append(self.now - request.arrived_s)
        elif request.attempts < MAX_ATTEMPTS and self._retry_tokens_by_team[request.team] >= 1.0:
            self._retry_tokens_by_team[request.team] -= 1.0
            self._submit(request)
        else:
            self.counts_by_class[request.kind]["failed"] += 1
        self._dispatch_queue()


def route_by_load(simulation: Simulation, request: SimulatedRequest) -> SimulatedExecutor | None:
    """Choose with the scheduler's policy; the remote region only if forwarding is worthwhile."""
    urgent = request.kind is RequestClass.URGENT
    candidates: list[tuple[SimulatedExecutor, float]] = []
    for region in REGIONS:
        executors, views = simulation.views(region, simulation.now)
        untried = [
            i
            for i, executor in enumerate(executors)
            if id(executor) not in request.tried_executor_ids
        ]
        index = choose_target([views[i] for i in untried], urgent=urgent, repeatable=True)
        if index is not None:
            view = views[untried[index]]
            candidates.append((executors[untried[index]], view.latency_s))
    home = next((executor for executor, _ in candidates if executor.region == REGIONS[0]), None)
    remote = next(
        (
            (executor, latency_s)
            for executor, latency_s in candidates
            if executor.region == REGIONS[1]
        ),
        None,
    )
    if remote is None:
        return home
    local_s = next(
        (latency_s for executor, latency_s in candidates if executor.region == REGIONS[0]), None
    )
    if local_s is None:
        _, views = simulation.views(REGIONS[0], simulation.now)
        closed = [v.latency_s for v in views if v.state is BreakerState.CLOSED]
        queue_s = len(simulation.queue) * SERVICE_TIME_S / (SLOTS * max(1, len(closed)))
        # A slot becomes free after half a run on average.
        local_s = queue_s + 1.5 * min(closed) if closed else DEADLINE_S
    is_worthwhile = should_forward(
        local_s=local_s,
        remote_s=remote[1] - 2 * LINK_DELAY_S,
        link_delay_s=LINK_DELAY_S,
        body_bytes=request.body_bytes,
        cost_s_per_mb=COST_S_PER_MB,
    )
    return remote[0] if is_worthwhile else home


def route_round_robin(
    simulation: Simulation, request: SimulatedRequest
) -> SimulatedExecutor | None:
    """Return the next executor of the home region, in turn, that has a free slot."""
    home = [e for e in simulation.executors if e.region == REGIONS[0]]
    for _ in home:
        executor = home[next(simulation.round_robin_counter) % len(home)]
        if executor.used_slots < SLOTS:
            return executor
    return None


ROUTERS: dict[str, Router] = {"round_robin": route_round_robin, "by_load": route_by_load}


def run(
    *,
    seed: int = 1,
    requests: int = 50_000,
    load: float = 0.7,
    executors: int = 5,
    has_remote_region: bool = True,
    progress: Callable[[str, int], None] = lambda router, done: None,
) -> list[RoutingMeasures]:
    """Measure both routers with the same arrivals.

    :param load: offered load as a share of the healthy executors of the home region
    :param executors: executors per region; two of the home region are faulty
    :param has_remote_region: whether requests may be forwarded to a second region without faults
    """
    measures = []
    for name, router in ROUTERS.items():
        simulation = Simulation(
            router, seed=seed, load=load, executors=executors, has_remote_region=has_remote_region
        )
        simulation.run(requests, partial(progress, name))
        for kind in RequestClass:
            count = simulation.counts_by_class[kind]
            sorted_latencies_s = sorted(simulation.latencies_s_by_class[kind])
            measures.append(
                RoutingMeasures(
                    router=name,
                    request_class=kind.value,
                    requests=count["all"],
                    p50_s=round(quantile(sorted_latencies_s, 0.5), 4),
                    p99_s=round(quantile(sorted_latencies_s, 0.99), 4),
                    refused_share=round(count["refused"] / max(1, count["all"]), 4),
                    failed_share=round(count["failed"] / max(1, count["all"]), 4),
                    cross_region_mb=round(simulation.cross_region_bytes / 1e6, 1),
                )
            )
    return measures


def quantile(sorted_values: list[float], share: float) -> float:
    """Return a quantile of sorted values, or NaN if there are none."""
    if not sorted_values:
        return float("nan")
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


def plot(measures: list[RoutingMeasures], path: Path) -> None:
    """Write a chart of p50 and p99 by router and class."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots()
    labels = [f"{r.router}\n{r.request_class}" for r in measures]
    axes.bar(labels, [r.p99_s for r in measures], label="p99")
    axes.bar(labels, [r.p50_s for r in measures], label="p50")
    axes.set_yscale("log")
    axes.set_ylabel("seconds")
    axes.legend()
    figure.savefig(path)


class RoutingCommand(Command):
    """Command that compares routing by load with round robin."""

    name = "routing"
    description = "Compare routing by load with round robin on a simulated clock."
    options = [  # noqa: RUF012 (declared so by the base class)
        option("seed", None, "Seed of the arrivals.", flag=False, default="1"),
        option("requests", None, "Number of requests.", flag=False, default="50000"),
        option(
            "load",
            None,
            "Offered load as a share of the healthy executors.",
            flag=False,
            default="0.7",
        ),
        option("home-only", None, "Simulate the home region only."),
        option("json", None, "Print JSON."),
        option("plot", None, "Write a chart to this file.", flag=False),
    ]

    def handle(self) -> int:
        """Run the simulation and print its measures."""
        requests = int(self.option("requests"))
        bar = None if self.option("json") else self.progress_bar(requests * len(ROUTERS))
        measures = run(
            seed=int(self.option("seed")),
            requests=requests,
            load=float(self.option("load")),
            has_remote_region=not self.option("home-only"),
            progress=lambda router, done: bar.advance() if bar is not None else None,
        )
        if bar is not None:
            bar.finish()
            self.line("")
        if self.option("json"):
            self.line(json.dumps([asdict(result) for result in measures], indent=2))
        else:
            table = self.table()
            table.set_headers(list(asdict(measures[0])))
            table.set_rows([[str(v) for v in asdict(result).values()] for result in measures])
            table.render()
        if self.option("plot"):
            plot(measures, Path(self.option("plot")))
        return 0
