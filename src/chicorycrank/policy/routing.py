"""Selection of an executor by current load and health, with circuit breakers.

Times are seconds of a monotonic clock and are passed in by the caller.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

SMOOTHING_FACTOR = 0.2  # weight of a new sample in the moving averages
BREAKER_FAILURE_SHARE = 0.5  # the circuit breaker opens above this share of failures
BREAKER_OPEN_MIN_S = 1.0
BREAKER_OPEN_MAX_S = 30.0
# The weight of the last latency halves in this time, so that a target that was slow gets requests
# again without a separate probe.
LATENCY_HALF_LIFE_S = 10.0
MIN_LATENCY_S = 0.001
# Urgent requests wait instead of using a target whose latency exceeds that of the fastest one by
# more than this factor.
MAX_URGENT_SLOWDOWN = 4.0
BYTES_PER_MB = 1_000_000


class BreakerState(Enum):
    """State of a target's circuit breaker; only a closed one gets requests without a probe."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, kw_only=True)
class Health:
    """Recent outcomes of requests to a target, as seen by one entry.

    :param latency_s: moving average of the latency of completed requests
    :param failure_share: moving average of the share of failed requests, 0 to 1
    :param sampled_at_s: time of the last latency sample
    :param open_until_s: time until which the breaker is open; 0 while it is closed
    :param backoff_s: duration for which the breaker opens the next time
    :param is_probing: a probe request is in flight
    """

    latency_s: float = 0.0
    failure_share: float = 0.0
    sampled_at_s: float = 0.0
    open_until_s: float = 0.0
    backoff_s: float = BREAKER_OPEN_MIN_S
    is_probing: bool = False


@dataclass(frozen=True, kw_only=True)
class TargetView:
    """Load and health of a target, as input of ``choose_target``.

    :param capacity: number of requests that the target runs concurrently
    :param in_flight: number of requests of this entry at the target
    :param other_entry_slots: slots used by requests of other entries, as reported by the target
    :param is_probing: a probe request is in flight
    """

    capacity: int
    in_flight: int
    other_entry_slots: int
    latency_s: float
    failure_share: float
    state: BreakerState = BreakerState.CLOSED
    is_probing: bool = False

    @property
    def is_free(self) -> bool:
        """Whether this entry may send another request to the target."""
        return self.in_flight < self.capacity


def breaker_state(health: Health, now: float) -> BreakerState:
    """Return the state of a target's circuit breaker."""
    if not health.open_until_s:
        return BreakerState.CLOSED
    return BreakerState.OPEN if now < health.open_until_s else BreakerState.HALF_OPEN


def record_outcome(health: Health, *, failed: bool, latency_s: float, now: float) -> Health:
    """Return the health after the outcome of a request.

    Only completed requests count for the latency. Otherwise a target that fails immediately would
    seem fast.
    """
    state = breaker_state(health, now)
    share = health.failure_share + SMOOTHING_FACTOR * (float(failed) - health.failure_share)
    health = replace(health, failure_share=share, is_probing=False)
    if not failed:
        old = health.latency_s or latency_s
        health = replace(
            health, latency_s=old + SMOOTHING_FACTOR * (latency_s - old), sampled_at_s=now
        )
        if state is BreakerState.HALF_OPEN:
            health = replace(
                health, open_until_s=0.0, backoff_s=BREAKER_OPEN_MIN_S, failure_share=0.0
            )
        return health
    if state is BreakerState.HALF_OPEN or (
        state is BreakerState.CLOSED and share > BREAKER_FAILURE_SHARE
    ):
        return replace(
            health,
            open_until_s=now + health.backoff_s,
            backoff_s=min(BREAKER_OPEN_MAX_S, health.backoff_s * 2),
        )
    return health


def aged_latency(health: Health, baseline_s: float, now: float) -> float:
    """Return the latency, which decays towards ``baseline_s`` with the age of the last sample."""
    if not health.latency_s:
        return baseline_s
    weight: float = 0.5 ** (max(0.0, now - health.sampled_at_s) / LATENCY_HALF_LIFE_S)
    return baseline_s + weight * (health.latency_s - baseline_s)


def expected_cost_s(view: TargetView) -> float:
    """Return the expected cost in seconds of one more request to a target."""
    busy = (view.in_flight + view.other_entry_slots) / max(1, view.capacity)
    reliability = max(0.05, 1.0 - view.failure_share)
    return max(MIN_LATENCY_S, view.latency_s) * (1.0 + busy) / reliability


def choose_target(views: Sequence[TargetView], *, urgent: bool, repeatable: bool) -> int | None:
    """Return the index of the best target, or None if the request should wait.

    Targets whose breaker is half open come first, so that they are probed. Requests that are
    urgent or not repeatable are used as probes only if no target has a closed breaker.
    """
    closed = [i for i, view in enumerate(views) if view.state is BreakerState.CLOSED]
    probes = [
        i
        for i, view in enumerate(views)
        if view.state is BreakerState.HALF_OPEN and not view.is_probing and view.is_free
    ]
    if probes and (not closed or (repeatable and not urgent)):
        return probes[0]
    free = [i for i in closed if views[i].is_free]
    if urgent and closed:
        limit = MAX_URGENT_SLOWDOWN * min(max(MIN_LATENCY_S, views[i].latency_s) for i in closed)
        free = [i for i in free if views[i].latency_s <= limit]
    return min(free, key=lambda i: expected_cost_s(views[i]), default=None)


def should_forward(
    *,
    local_s: float,
    remote_s: float,
    link_delay_s: float,
    body_bytes: int,
    cost_s_per_mb: float,
) -> bool:
    """Return whether forwarding saves more time than the link delay and the transfer cost.

    :param local_s: expected wait and run time in this region
    :param remote_s: expected wait and run time in the other region
    :param link_delay_s: one-way delay between the regions
    :param cost_s_per_mb: cost of the transfer in seconds per megabyte
    """
    cost_s = 2 * link_delay_s + cost_s_per_mb * body_bytes / BYTES_PER_MB
    return local_s - remote_s > cost_s
