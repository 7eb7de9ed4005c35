"""Admission of requests to executors: request queue, slots and health of the executors."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from functools import partial

from chicorycrank.entry.directory import Directory, Target
from chicorycrank.entry.request_where import explain_request
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
    choose_target,
    record_outcome,
)
from chicorycrank.policy.where import PlacementAnswer
from chicorycrank.ports.clock import Clock

QUEUE_POLL_INTERVAL = timedelta(milliseconds=20)
# Weight of the newest value in the moving average of the time between two grants.
GRANT_INTERVAL_SMOOTHING = 0.1
# Assumed as long as no executor has a measured latency.
DEFAULT_LATENCY_S = 0.05
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
# After a refusal for lack of a slot, the target's last report is outdated; its next report follows
# within this time.
FULL_TARGET_BACKOFF_S = 0.05
# Service of an executor that lists none: it runs the requests of all services.
ANY_SERVICE = ServiceId("")


@dataclass(kw_only=True, eq=False)
class QueuedRequest:
    """Queued request and the future of its target.

    :param granted: set to a target with an allocated slot, or to ``None`` at the deadline
    """

    request: Request
    deadline: float
    avoided: frozenset[TargetId]
    granted: "asyncio.Future[Target | None]"


class AdmissionQueue:
    """Queue of requests for slots of executors.

    At most ``slots`` requests per executor are in flight.
    """

    def __init__(self, directory: Directory, clock: Clock, config: Callable[[], Config]) -> None:
        self._directory = directory
        self._clock = clock
        self._config = config
        self._queue: FairQueue[QueuedRequest] = FairQueue(self._weight)
        self._health_by_target: dict[TargetId, Health] = {}
        self._full_until_by_target: dict[TargetId, float] = {}
        self._grant_interval_s = 0.0
        self._last_grant_at = clock.monotonic()
        self._queue_task: asyncio.Task[None] | None = None

    @property
    def queued(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def queued_by_class(self) -> dict[RequestClass, int]:
        """Number of queued requests by class."""
        return {
            request_class: self._queue.class_length(request_class) for request_class in RequestClass
        }

    async def acquire(
        self, request: Request, deadline: float, avoided: frozenset[TargetId] = frozenset()
    ) -> Target | Answer:
        """Return a target with an allocated slot, or the ``not_run`` answer.

        :param deadline: monotonic time in seconds at which the request is removed from the queue
        :param avoided: targets to use only if there is no other
        """
        limit = self._config().limits.max_queue_per_team
        request_class = request.request_class
        if self._clock.monotonic() >= deadline:
            return self.make_not_run_answer(
                "the deadline passed before an executor was free", request_class
            )
        if not self._has_queued_ahead(request_class):
            target = self._allocate_slot(request, avoided)
            if target is not None:
                return target
        if self.expected_wait_s(request_class) > deadline - self._clock.monotonic():
            return self.make_not_run_answer(
                "the queue is longer than the deadline allows", request_class
            )
        future: asyncio.Future[Target | None] = asyncio.get_running_loop().create_future()
        queued_request = QueuedRequest(
            request=request, deadline=deadline, avoided=avoided, granted=future
        )
        if not self._queue.push(request.team, request_class, queued_request, limit=limit):
            return self.make_not_run_answer(
                f"the queue of team {request.team} is full", request_class
            )
        self._start_queue_task()
        try:
            granted = await future
        except asyncio.CancelledError:
            self._queue.remove(request.team, request_class, queued_request)
            if future.done() and not future.cancelled() and future.result() is not None:
                self.release(future.result())
            raise
        return granted or self.make_not_run_answer(
            "no executor was free before the deadline", request_class
        )

    def release(
        self, target: Target | None, *, failed: bool | None = None, latency_s: float = 0.0
    ) -> None:
        """Release a slot.

        :param failed: outcome for the target's health; ``None`` if the request was not run
        :param latency_s: run time of the request in seconds
        """
        if target is None:
            return
        target.in_flight -= 1
        health = self._health_by_target.get(target.target_id, Health())
        if failed is None:
            health = replace(health, is_probing=False)
        else:
            now = self._clock.monotonic()
            health = record_outcome(health, failed=failed, latency_s=latency_s, now=now)
        self._health_by_target[target.target_id] = health
        self._grant_slots()

    def mark_full(self, target: Target) -> None:
        """Exclude a target that refused a request for lack of a slot for a short time."""
        until = self._clock.monotonic() + FULL_TARGET_BACKOFF_S
        self._full_until_by_target[target.target_id] = until

    def make_not_run_answer(
        self, detail: str, request_class: RequestClass = RequestClass.PATIENT
    ) -> Answer:
        """Return a ``not_run`` answer with a retry delay from the queue's drain rate."""
        retry_after_s = min(
            MAX_RETRY_AFTER_S,
            max(MIN_RETRY_AFTER_S, math.ceil(self.expected_wait_s(request_class))),
        )
        return Answer(outcome=Outcome.NOT_RUN, detail=detail, retry_after_s=float(retry_after_s))

    def expected_wait_s(self, request_class: RequestClass) -> float:
        """Return the expected queue time in seconds of a request that arrives now."""
        ahead = self._queue.class_length(RequestClass.URGENT)
        if request_class is RequestClass.PATIENT:
            ahead += self._queue.class_length(RequestClass.PATIENT)
        return ahead * self._grant_interval_s

    def service_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of the connected executors by service, for ``Digest`` messages."""
        services = {s for t in self._directory.executors() for s in _services(t)}
        loads = []
        for service in sorted(services):
            targets = [t for t in self._candidates(service) if service in _services(t)]
            views = [v for v in self._views(targets) if v.state is BreakerState.CLOSED]
            if views:
                free = sum(max(0, v.capacity - v.in_flight - v.other_entry_slots) for v in views)
                slots = sum(v.capacity for v in views)
                latency = sum(v.latency_s for v in views) / len(views)
                loads.append(ServiceLoad(service, free, slots, round(latency, 4), self.queued))
        return tuple(loads)

    def expected_local_time_s(self, request: Request) -> float | None:
        """Return the expected wait and run time in seconds at this entry's executors.

        :returns: ``None`` if no executor is usable
        """
        views = self._views(self._candidates(request.service))
        usable = [view for view in views if view.state is not BreakerState.OPEN]
        if not usable:
            return None
        wait = self.expected_wait_s(request.request_class)
        run = min(view.latency_s for view in usable)
        if not any(view.is_free for view in usable):
            wait += run / 2
        return wait + run

    def where(self, request: Request) -> PlacementAnswer:
        """Return which executor a request would get now; no slot is allocated."""
        candidates = self._candidates(request.service)
        index = choose_target(
            self._views(candidates),
            urgent=request.request_class is RequestClass.URGENT,
            repeatable=request.repeatable,
        )
        known, now = [*self._directory.executors()], self._clock.monotonic()
        reasons = [self._closed_reason(target, request.service, now) for target in known]
        return explain_request(
            request.service,
            [*zip(known, self._views(known), reasons, strict=True)],
            None if index is None else candidates[index],
            is_queued=self._has_queued_ahead(request.request_class),
        )

    def _closed_reason(self, target: Target, service: ServiceId, now: float) -> str:
        """Return why a connected executor is no candidate for a service; empty if it is one."""
        if not target.link.is_open:
            return "absent"
        if target.executor_load.draining:
            return "draining"
        if not target.executor_load.reachable:
            return "unreachable"
        if ANY_SERVICE not in _services(target) and service not in _services(target):
            return "service"
        full_until = self._full_until_by_target.get(target.target_id, 0.0)
        return "full" if full_until > now else ""

    def _weight(self, team: TeamId) -> float:
        return self._config().teams.get(team, Team()).weight

    def _has_queued_ahead(self, request_class: RequestClass) -> bool:
        if self._queue.class_length(RequestClass.URGENT):
            return True
        return request_class is RequestClass.PATIENT and self._queue.class_length(request_class) > 0

    def _candidates(self, service: ServiceId) -> list[Target]:
        now = self._clock.monotonic()
        return [
            target
            for target in self._directory.executors()
            if not self._closed_reason(target, service, now)
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
                    other_entry_slots=max(0, target.executor_load.used_slots - target.in_flight),
                    latency_s=aged_latency(health, baseline, now),
                    failure_share=health.failure_share,
                    state=breaker_state(health, now),
                    is_probing=health.is_probing,
                )
            )
        return views

    def _allocate_slot(self, request: Request, avoided: frozenset[TargetId]) -> Target | None:
        """Choose a target and allocate one of its slots."""
        targets = self._candidates(request.service)
        targets = [t for t in targets if t.target_id not in avoided] or targets
        index = choose_target(
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
            self._health_by_target[target.target_id] = replace(health, is_probing=True)
        return target

    def _grant_slots(self) -> None:
        """Grant free slots to queued requests."""
        while True:
            granted: list[Target] = []

            def accepts(queued_request: QueuedRequest, granted: list[Target] = granted) -> bool:
                target = self._allocate_slot(queued_request.request, queued_request.avoided)
                if target is not None:
                    granted.append(target)
                return target is not None

            queued_request = self._queue.pop(accepts)
            if queued_request is None:
                return
            if queued_request.granted.done():  # the caller of this request was cancelled
                granted[0].in_flight -= 1
                continue
            queued_request.granted.set_result(granted[0])
            now = self._clock.monotonic()
            gap = now - self._last_grant_at
            self._grant_interval_s += GRANT_INTERVAL_SMOOTHING * (gap - self._grant_interval_s)
            self._last_grant_at = now

    def _start_queue_task(self) -> None:
        if self._queue_task is None or self._queue_task.done():
            self._last_grant_at = self._clock.monotonic()
            self._queue_task = asyncio.create_task(self._serve_queue())

    async def _serve_queue(self) -> None:
        """Grant slots of new and recovered targets and expire requests until the queue is empty."""
        while self._queue:
            self._grant_slots()
            now = self._clock.monotonic()
            for queued_request in self._queue.remove_if(partial(_is_expired, now)):
                if not queued_request.granted.done():
                    queued_request.granted.set_result(None)
            await self._clock.sleep(QUEUE_POLL_INTERVAL)


def _services(target: Target) -> tuple[ServiceId, ...]:
    info = target.hello.executor
    return (info.services if info else ()) or (ANY_SERVICE,)


def _is_expired(now: float, queued_request: QueuedRequest) -> bool:
    return queued_request.deadline <= now
