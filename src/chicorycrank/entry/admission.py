"""Admission of requests to executors: queue, slots and health of targets."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from chicorycrank.entry.directory import Directory, Target
from chicorycrank.model.config import Config, Team
from chicorycrank.model.ids import ServiceId, TargetId, TeamId
from chicorycrank.model.messages import ServiceLoad
from chicorycrank.model.requests import Answer, Outcome, Request, RequestClass
from chicorycrank.policy.fair_queue import FairQueue
from chicorycrank.policy.routing import (
    BreakerState,
    Health,
    TargetView,
    aged_latency,
    breaker_state,
    choose,
    note_result,
)
from chicorycrank.ports.clock import Clock

TICK = timedelta(milliseconds=20)
RATE_SMOOTHING = 0.1
DEFAULT_LATENCY_S = 0.05
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# After a refusal for lack of a slot the target's last report is out of date; the next report
# follows within this time.
FULL_PAUSE_S = 0.05
ANY_SERVICE = ServiceId("")


@dataclass(kw_only=True, eq=False)
class Waiter:
    """A request that waits for a target."""

    request: Request
    deadline: float
    avoid: frozenset[TargetId]
    granted: "asyncio.Future[Target | None]"


class Gate:
    """Grants slots of executors; at most ``slots`` requests per executor are in flight."""

    def __init__(self, directory: Directory, clock: Clock, config: Callable[[], Config]) -> None:
        self._directory = directory
        self._clock = clock
        self._config = config
        self._queue: FairQueue[Waiter] = FairQueue(self._weight)
        self._health_by_target: dict[TargetId, Health] = {}
        self._full_until_by_target: dict[TargetId, float] = {}
        self._interval_s = 0.0
        self._last_grant = clock.monotonic()
        self._ticker: asyncio.Task[None] | None = None

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def queued_by_class(self) -> dict[RequestClass, int]:
        """Number of queued requests by class."""
        return {kind: self._queue.ahead_of(kind) for kind in RequestClass}

    async def acquire(
        self, request: Request, deadline: float, avoid: frozenset[TargetId] = frozenset()
    ) -> Target | Answer:
        """Return a target with a slot taken, or the ``not_run`` answer.

        :param deadline: time of the clock after which the request leaves the queue
        :param avoid: targets to use only if there is no other
        """
        limit = self._config().limits.max_queue_per_team
        kind = request.request_class
        if self._clock.monotonic() >= deadline:
            return self.not_run("the deadline passed before an executor was free", kind)
        if not self._has_queued(kind):
            target = self._take(request, avoid)
            if target is not None:
                return target
        if self.expected_wait_s(kind) > deadline - self._clock.monotonic():
            return self.not_run("the queue is longer than the deadline allows", kind)
        future: asyncio.Future[Target | None] = asyncio.get_running_loop().create_future()
        waiter = Waiter(request=request, deadline=deadline, avoid=avoid, granted=future)
        if not self._queue.push(request.team, kind, waiter, limit=limit):
            return self.not_run(f"the queue of team {request.team} is full", kind)
        self._start_ticker()
        try:
            granted = await future
        except asyncio.CancelledError:
            self._queue.remove(request.team, kind, waiter)
            if future.done() and not future.cancelled() and future.result() is not None:
                self.release(future.result())
            raise
        return granted or self.not_run("no executor was free before the deadline", kind)

    def release(
        self, target: Target | None, *, failed: bool | None = None, latency_s: float = 0.0
    ) -> None:
        """Give a slot back.

        :param failed: result for the target's health; absent if the request was not run
        """
        if target is None:
            return
        target.in_flight -= 1
        health = self._health_by_target.get(target.target_id, Health())
        if failed is None:
            health = replace(health, probe=False)
        else:
            now = self._clock.monotonic()
            health = note_result(health, failed=failed, latency_s=latency_s, now=now)
        self._health_by_target[target.target_id] = health
        self._pump()

    def note_full(self, target: Target) -> None:
        """Pause a target that refused for lack of a slot."""
        until = self._clock.monotonic() + FULL_PAUSE_S
        self._full_until_by_target[target.target_id] = until

    def not_run(self, detail: str, kind: RequestClass = RequestClass.PATIENT) -> Answer:
        """Return a ``not_run`` answer with a retry hint from the queue's drain rate."""
        hint = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, math.ceil(self.expected_wait_s(kind))))
        return Answer(outcome=Outcome.NOT_RUN, detail=detail, retry_after_s=float(hint))

    def expected_wait_s(self, kind: RequestClass) -> float:
        """Return the expected time in the queue of a request that arrives now."""
        ahead = self._queue.ahead_of(RequestClass.URGENT)
        if kind is RequestClass.PATIENT:
            ahead += self._queue.ahead_of(RequestClass.PATIENT)
        return ahead * self._interval_s

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of the connected executors by service, for digests."""
        services = {s for t in self._directory.executors() for s in _services(t)}
        loads = []
        for service in sorted(services):
            targets = [t for t in self._candidates(service) if service in _services(t)]
            views = [v for v in self._views(targets) if v.state is BreakerState.CLOSED]
            if views:
                free = sum(max(0, v.capacity - v.in_flight - v.others) for v in views)
                slots = sum(v.capacity for v in views)
                latency = sum(v.latency_s for v in views) / len(views)
                loads.append(ServiceLoad(service, free, slots, round(latency, 4), self.queued))
        return tuple(loads)

    def local_time_s(self, request: Request) -> float | None:
        """Return the expected wait and run time here; absent without a usable target."""
        views = self._views(self._candidates(request.service))
        usable = [view for view in views if view.state is not BreakerState.OPEN]
        if not usable:
            return None
        wait = self.expected_wait_s(request.request_class)
        run = min(view.latency_s for view in usable)
        if not any(view.is_free for view in usable):
            wait += run / 2
        return wait + run

    def _weight(self, team: TeamId) -> float:
        return self._config().teams.get(team, Team()).weight

    def _has_queued(self, kind: RequestClass) -> bool:
        if self._queue.ahead_of(RequestClass.URGENT):
            return True
        return kind is RequestClass.PATIENT and self._queue.ahead_of(kind) > 0

    def _candidates(self, service: ServiceId) -> list[Target]:
        now = self._clock.monotonic()
        return [
            target
            for target in self._directory.executors()
            if target.link.is_open
            and not target.executor_load.draining
            and target.executor_load.reachable
            and (ANY_SERVICE in _services(target) or service in _services(target))
            and self._full_until_by_target.get(target.target_id, 0.0) <= now
        ]

    def _views(self, targets: list[Target]) -> list[TargetView]:
        now = self._clock.monotonic()
        known = [self._health_by_target.get(t.target_id, Health()) for t in targets]
        baseline = min((h.latency_s for h in known if h.latency_s), default=DEFAULT_LATENCY_S)
        limit = self._config().limits.max_connections_per_executor
        views = []
        for target, health in zip(targets, known, strict=True):
            info = target.hello.executor
            views.append(
                TargetView(
                    capacity=min(info.slots, info.connections, limit) if info else 0,
                    in_flight=target.in_flight,
                    others=max(0, target.executor_load.used_slots - target.in_flight),
                    latency_s=aged_latency(health, baseline, now),
                    failure_share=health.failure_share,
                    state=breaker_state(health, now),
                    probe=health.probe,
                )
            )
        return views

    def _take(self, request: Request, avoid: frozenset[TargetId]) -> Target | None:
        """Choose a target and take one of its slots."""
        targets = self._candidates(request.service)
        targets = [t for t in targets if t.target_id not in avoid] or targets
        index = choose(
            self._views(targets),
            urgent=request.request_class is RequestClass.URGENT,
            repeatable=request.repeatable,
        )
        if index is None:
            return None
        target = targets[index]
        target.in_flight += 1
        health = self._health_by_target.get(target.target_id, Health())
        if breaker_state(health, self._clock.monotonic()) is BreakerState.HALF_OPEN:
            self._health_by_target[target.target_id] = replace(health, probe=True)
        return target

    def _pump(self) -> None:
        """Grant free slots to queued requests."""
        while True:
            granted: list[Target] = []

            def accepts(waiter: Waiter, granted: list[Target] = granted) -> bool:
                target = self._take(waiter.request, waiter.avoid)
                if target is not None:
                    granted.append(target)
                return target is not None

            waiter = self._queue.pop(accepts)
            if waiter is None:
                return
            if waiter.granted.done():  # its caller was cancelled
                granted[0].in_flight -= 1
                continue
            waiter.granted.set_result(granted[0])
            now = self._clock.monotonic()
            gap = now - self._last_grant
            self._interval_s += RATE_SMOOTHING * (gap - self._interval_s)
            self._last_grant = now

    def _start_ticker(self) -> None:
        if self._ticker is None or self._ticker.done():
            self._last_grant = self._clock.monotonic()
            self._ticker = asyncio.create_task(self._tick())

    async def _tick(self) -> None:
        """Serve the queue while it is not empty: expired requests, new and recovered targets."""
        while self._queue:
            self._pump()
            now = self._clock.monotonic()
            for waiter in self._queue.remove_if(partial(_is_expired, now)):
                if not waiter.granted.done():
                    waiter.granted.set_result(None)
            await self._clock.sleep(TICK)


def _services(target: Target) -> tuple[ServiceId, ...]:
    info = target.hello.executor
    return (info.services if info else ()) or (ANY_SERVICE,)


def _is_expired(now: float, waiter: Waiter) -> bool:
    return waiter.deadline <= now
