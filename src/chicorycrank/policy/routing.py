"""Choice of an executor by live load, and the health of executors.

Times are seconds of a clock that never goes back; the caller passes them in.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import Enum

SMOOTHING = 0.2
OPEN_FAILURE_SHARE = 0.5
OPEN_MIN_S = 1.0
OPEN_MAX_S = 30.0
# A latency sample loses half of its weight in this time, so that a target that was slow is
# tried again without a separate probe.
LATENCY_HALF_LIFE_S = 10.0
MIN_LATENCY_S = 0.001
# Urgent requests wait for a fast target rather than take one that is slower than this factor.
URGENT_SLOWDOWN = 4.0
BYTES_PER_MB = 1_000_000


class BreakerState(Enum):
    """Whether a target is given requests."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, kw_only=True)
class Health:
    """Recent results of a target as seen by one entry.

    :param latency_s: smoothed time of completed requests
    :param failure_share: smoothed share of failed requests, 0 to 1
    :param open_until: end of the time without requests; 0 while the breaker is closed
    :param backoff_s: length of the next time without requests
    :param probe: a probe is on its way
    """

    latency_s: float = 0.0
    failure_share: float = 0.0
    sampled_at: float = 0.0
    open_until: float = 0.0
    backoff_s: float = OPEN_MIN_S
    probe: bool = False


@dataclass(frozen=True, kw_only=True)
class TargetView:
    """What a choice needs to know of a target.

    :param capacity: requests that the target runs at the same time
    :param in_flight: requests of this entry at the target
    :param others: slots used by requests of other entries, as reported
    """

    capacity: int
    in_flight: int
    others: int
    latency_s: float
    failure_share: float
    state: BreakerState = BreakerState.CLOSED
    probe: bool = False

    @property
    def is_free(self) -> bool:
        """Whether this entry may send a further request."""
        return self.in_flight < self.capacity


def breaker_state(health: Health, now: float) -> BreakerState:
    """Return the state of a target's circuit breaker."""
    if not health.open_until:
        return BreakerState.CLOSED
    return BreakerState.OPEN if now < health.open_until else BreakerState.HALF_OPEN


def note_result(health: Health, *, failed: bool, latency_s: float, now: float) -> Health:
    """Return the health after a result.

    Only completed requests count for the latency, because a target that fails at once would
    look fast.
    """
    state = breaker_state(health, now)
    share = health.failure_share + SMOOTHING * (float(failed) - health.failure_share)
    health = replace(health, failure_share=share, probe=False)
    if not failed:
        old = health.latency_s or latency_s
        health = replace(health, latency_s=old + SMOOTHING * (latency_s - old), sampled_at=now)
        if state is BreakerState.HALF_OPEN:
            health = replace(health, open_until=0.0, backoff_s=OPEN_MIN_S, failure_share=0.0)
        return health
    if state is BreakerState.HALF_OPEN or (
        state is BreakerState.CLOSED and share > OPEN_FAILURE_SHARE
    ):
        return replace(
            health,
            open_until=now + health.backoff_s,
            backoff_s=min(OPEN_MAX_S, health.backoff_s * 2),
        )
    return health


def aged_latency(health: Health, baseline_s: float, now: float) -> float:
    """Return the latency, drawn towards ``baseline_s`` as the last sample ages."""
    if not health.latency_s:
        return baseline_s
    weight: float = 0.5 ** (max(0.0, now - health.sampled_at) / LATENCY_HALF_LIFE_S)
    return baseline_s + weight * (health.latency_s - baseline_s)


def expected_time(view: TargetView) -> float:
    """Return a target's cost for one more request, in seconds; smaller is better."""
    busy = (view.in_flight + view.others) / max(1, view.capacity)
    reliability = max(0.05, 1.0 - view.failure_share)
    return max(MIN_LATENCY_S, view.latency_s) * (1.0 + busy) / reliability


def choose(views: Sequence[TargetView], *, urgent: bool, repeatable: bool) -> int | None:
    """Return the index of the best target, or nothing if the request should wait.

    Probes of targets whose breaker is half open go first, but only with requests that are
    neither urgent nor non-repeatable; those probe only when no target is closed.
    """
    closed = [i for i, view in enumerate(views) if view.state is BreakerState.CLOSED]
    probes = [
        i
        for i, view in enumerate(views)
        if view.state is BreakerState.HALF_OPEN and not view.probe and view.is_free
    ]
    if probes and (not closed or (repeatable and not urgent)):
        return probes[0]
    free = [i for i in closed if views[i].is_free]
    if urgent and closed:
        limit = URGENT_SLOWDOWN * min(max(MIN_LATENCY_S, views[i].latency_s) for i in closed)
        free = [i for i in free if views[i].latency_s <= limit]
    return min(free, key=lambda i: expected_time(views[i]), default=None)


def should_forward(
    *,
    local_s: float,
    remote_s: float,
    link_delay_s: float,
    body_bytes: int,
    cost_s_per_mb: float,
) -> bool:
    """Whether another region saves more time than the link delay and the volume cost.

    :param local_s: expected wait and run time in the own region
    :param remote_s: the same in the other region
    :param link_delay_s: one-way delay between the regions
    """
    cost_s = 2 * link_delay_s + cost_s_per_mb * body_bytes / BYTES_PER_MB
    return local_s - remote_s > cost_s
