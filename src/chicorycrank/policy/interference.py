"""Workloads that slow each other down on one worker, learned from the rates of their runs.

Load that it answers: tasks that share a worker's memory bandwidth, caches or links and take up to
twice as long beside each other, while other workers have room for one of them.
"""

import logging
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from chicorycrank.model.ids import TargetId, Workload
from chicorycrank.policy.observation_window import ObservationWindow
from chicorycrank.policy.slow_down_estimates import (
    PairEstimate,
    RunObservation,
    fit_workload,
    speed_errors_of,
)

# Pairs that are kept; those with the least evidence are dropped first.
MAX_PAIRS = 256
MAX_WORKLOADS = 16
# Of a run, only the neighbours with the largest amounts count.
MAX_NEIGHBOURS_OF_RUN = 4
# A neighbour that uses this share of its worker counts in full, a smaller one in proportion. It is
# one accelerator of eight.
FULL_SHARE = 0.125
DECAY_S = 180.0
MAX_AGE_S = 3 * DECAY_S
UPDATE_INTERVAL_S = 5.0
TAKEOVER_WEIGHT = 0.7
MAX_LOG_RATE = 3.0
# A pair is found if its slow-down is at least this factor, and more than this number of standard
# deviations above it. Many pairs are judged again and again, so a smaller number finds pairs in
# noise.
MIN_SLOW_DOWN = 1.1
FOUND_DEVIATIONS = 2.5
MIN_WORKERS = 3
# A found pair is given up when its slow-down is no longer above none by one standard deviation.
GONE_DEVIATIONS = 1.0
GONE_SLOW_DOWN = 1.05

Pair = tuple[Workload, Workload]  # a workload and the neighbour that slows it down

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True, kw_only=True)
class FoundPair:
    """Pair of workloads that are kept apart, for operators."""

    workload: Workload
    neighbour: Workload
    slow_down: float
    evidence: float
    workers: int


class Interference:
    """Slow-down of each workload by each neighbour workload; times are monotonic, in seconds.

    :ivar found: the confident pairs; replaced as a whole, so that other threads may read it
    :ivar disturbing: workloads that a workload slows down or is slowed down by
    """

    def __init__(self) -> None:
        self.found: tuple[FoundPair, ...] = ()
        self.disturbing: Mapping[Workload, frozenset[Workload]] = {}
        self._window_by_workload: dict[Workload, ObservationWindow] = {}
        self._estimates: dict[Pair, PairEstimate] = {}
        self._restored: dict[Pair, PairEstimate] = {}
        self._restored_at_s = float("-inf")
        self._speed_errors: dict[TargetId, float] = {}
        self._found_pairs: set[Pair] = set()
        self._updated_at_s = float("-inf")

    def observe(self, workload: Workload, observation: RunObservation) -> None:
        """Record the rate of a run; the estimates follow with the next :meth:`update`."""
        amounts = observation.amounts
        main = sorted(amounts, key=lambda name: (-amounts[name], name))[:MAX_NEIGHBOURS_OF_RUN]
        limited = replace(
            observation,
            log_rate=min(MAX_LOG_RATE, max(-MAX_LOG_RATE, observation.log_rate)),
            amounts={neighbour: amounts[neighbour] for neighbour in main},
        )
        self._window_by_workload.setdefault(workload, ObservationWindow()).add(limited)
        if len(self._window_by_workload) > MAX_WORKLOADS:
            windows = self._window_by_workload
            del windows[min(windows, key=lambda name: (windows[name].observed_at_s, name))]

    def log_slow_down(self, workload: Workload, amounts: Mapping[Workload, float]) -> float:
        """Return the logarithm of the slow-down that found pairs lead to expect for a run."""
        return sum(
            amount * self._estimates[workload, neighbour].log_slow_down
            for neighbour, amount in amounts.items()
            if (workload, neighbour) in self._found_pairs
        )

    def update(self, now_s: float) -> bool:
        """Update the estimates at most every five seconds; return whether they were updated."""
        if now_s - self._updated_at_s < UPDATE_INTERVAL_S:
            return False
        self._updated_at_s = now_s
        self._discard_old(now_s)
        estimates = self._sweep(now_s)
        kept = sorted(estimates, key=lambda pair: (-estimates[pair].evidence, pair))[:MAX_PAIRS]
        self._estimates = {pair: estimates[pair] for pair in kept}
        self._publish()
        return True

    def estimates(self) -> Mapping[Pair, PairEstimate]:
        """Return all pairs, those with the most evidence first."""
        return self._estimates

    def is_found(self, pair: Pair) -> bool:
        """Return whether a pair is kept apart."""
        return pair in self._found_pairs

    def restore(
        self, estimates: Mapping[Pair, PairEstimate], found: Iterable[Pair], now_s: float
    ) -> None:
        """Go on with the estimates of an earlier leader, with less trust in them.

        :param found: the pairs that the earlier leader kept apart
        """
        self._restored = dict(list(estimates.items())[:MAX_PAIRS])
        self._restored = {
            pair: _decayed(estimate, TAKEOVER_WEIGHT) for pair, estimate in self._restored.items()
        }
        self._restored_at_s = now_s
        self._found_pairs = set(found) & self._restored.keys()
        self._updated_at_s = float("-inf")
        self.update(now_s)

    def _sweep(self, now_s: float) -> dict[Pair, PairEstimate]:
        """Estimate the pairs from the errors of the speeds, then these errors from the pairs.

        They depend on each other; each update goes on from the result of the former one.
        """
        restored_weight = math.exp((self._restored_at_s - now_s) / DECAY_S)
        estimates: dict[Pair, PairEstimate] = {}
        all_weighted: list[tuple[RunObservation, float]] = []
        residuals: list[float] = []
        for workload in sorted(
            self._window_by_workload.keys() | {name for name, _ in self._restored}
        ):
            weighted = [
                (observation, math.exp((observation.at_s - now_s) / DECAY_S))
                for observation in self._window_by_workload.get(workload, ())
            ]
            priors = {
                neighbour: _decayed(estimate, restored_weight)
                for (name, neighbour), estimate in self._restored.items()
                if name == workload
            }
            fit = fit_workload(weighted, priors, self._speed_errors)
            estimates |= {(workload, name): estimate for name, estimate in fit.pairs.items()}
            all_weighted += weighted
            residuals += fit.residuals
        self._speed_errors = speed_errors_of(all_weighted, residuals)
        return estimates

    def _discard_old(self, now_s: float) -> None:
        for workload, window in list(self._window_by_workload.items()):
            if window.discard_before(now_s - MAX_AGE_S):
                del self._window_by_workload[workload]
        if now_s - self._restored_at_s > MAX_AGE_S:
            self._restored = {}

    def _publish(self) -> None:
        """Derive the found pairs from the estimates, and log what has changed."""
        former = self._found_pairs
        self._found_pairs = {
            pair
            for pair, estimate in self._estimates.items()
            if _is_confident(estimate, is_found=pair in former)
        }
        for pair in sorted(former ^ self._found_pairs):
            estimate = self._estimates.get(pair, PairEstimate())
            logger.info(
                "event=%s workload=%s neighbour=%s slow_down=%.2f evidence=%.0f workers=%d",
                "interference_found" if pair in self._found_pairs else "interference_gone",
                *pair,
                math.exp(estimate.log_slow_down),
                estimate.evidence,
                estimate.workers,
            )
        disturbing: dict[Workload, set[Workload]] = {}
        for workload, neighbour in self._found_pairs:
            disturbing.setdefault(workload, set()).add(neighbour)
            disturbing.setdefault(neighbour, set()).add(workload)
        self.disturbing = {name: frozenset(others) for name, others in disturbing.items()}
        self.found = tuple(
            FoundPair(
                workload=pair[0],
                neighbour=pair[1],
                slow_down=round(math.exp(estimate.log_slow_down), 2),
                evidence=round(estimate.evidence),
                workers=estimate.workers,
            )
            for pair, estimate in self._estimates.items()
            if pair in self._found_pairs
        )


def neighbour_amount(share: float) -> float:
    """Return how much a neighbour counts that uses a share of its worker, 0 to 1."""
    return min(1.0, share / FULL_SHARE)


def _decayed(estimate: PairEstimate, weight: float) -> PairEstimate:
    """Return an estimate with a part of its evidence; its mean moves towards the prior."""
    decayed = PairEstimate(evidence=weight * estimate.evidence, workers=estimate.workers)
    if not estimate.evidence:
        return decayed
    shrinkage = weight * (decayed.deviation / estimate.deviation) ** 2
    return PairEstimate(
        log_slow_down=estimate.log_slow_down * shrinkage,
        evidence=decayed.evidence,
        workers=estimate.workers,
    )


def _is_confident(estimate: PairEstimate, *, is_found: bool) -> bool:
    slow_down, deviation = estimate.log_slow_down, estimate.deviation
    if is_found:
        return slow_down - GONE_DEVIATIONS * deviation > math.log(GONE_SLOW_DOWN)
    return estimate.workers >= MIN_WORKERS and slow_down - FOUND_DEVIATIONS * deviation >= math.log(
        MIN_SLOW_DOWN
    )
