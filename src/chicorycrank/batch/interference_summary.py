"""Stored form of the slow-down of pairs of workloads, a part of the performance record."""

import math
from collections.abc import Mapping

from chicorycrank.model.ids import Workload
from chicorycrank.policy.interference import MAX_PAIRS, Interference, Pair
from chicorycrank.policy.slow_down_estimates import PairEstimate

# Bounds of what is taken from a record. More evidence than this makes no difference.
MAX_EVIDENCE = 200
MAX_LOG_SLOW_DOWN_PERCENT = 150
MAX_WORKERS = 99
# Pairs with less evidence say nothing yet.
MIN_EVIDENCE = 5

# By workload and neighbour: 100 times the logarithm of the slow-down, the evidence, the number of
# workers, and whether they are kept apart.
StoredPairs = dict[Workload, dict[Workload, tuple[int, int, int, bool]]]


def make_pairs(interference: Interference) -> StoredPairs:
    """Return the stored form of the pairs, of which there are at most 256."""
    stored: StoredPairs = {}
    for pair, estimate in interference.estimates().items():
        is_found = interference.is_found(pair)
        if is_found or estimate.evidence >= MIN_EVIDENCE:
            stored.setdefault(pair[0], {})[pair[1]] = (
                round(100 * estimate.log_slow_down),
                min(MAX_EVIDENCE, round(estimate.evidence)),
                min(MAX_WORKERS, estimate.workers),
                is_found,
            )
    return stored


def restore_pairs(interference: Interference, stored: StoredPairs, now_s: float) -> None:
    """Go on with the pairs of an earlier leader.

    :param now_s: monotonic time in seconds
    """
    limit = MAX_LOG_SLOW_DOWN_PERCENT
    estimates: dict[Pair, PairEstimate] = {}
    found: list[Pair] = []
    for workload, by_neighbour in stored.items():
        for neighbour, (percent, evidence, workers, is_found) in by_neighbour.items():
            if evidence <= 0 or len(estimates) >= MAX_PAIRS:
                continue
            estimates[workload, neighbour] = PairEstimate(
                log_slow_down=max(-limit, min(limit, percent)) / 100,
                evidence=min(MAX_EVIDENCE, evidence),
                workers=max(0, min(MAX_WORKERS, workers)),
            )
            if is_found:
                found.append((workload, neighbour))
    interference.restore(estimates, found, now_s)


def have_pairs_changed(pairs: StoredPairs, written: StoredPairs, factor: float) -> bool:
    """Return whether other pairs are kept apart, or the slow-down of one differs by a factor.

    The other pairs change with each rate; they are written along with a change that matters.
    """
    found, former = _found_percents(pairs), _found_percents(written)
    limit = 100 * math.log(factor)
    return found.keys() != former.keys() or any(
        abs(percent - former[pair]) > limit for pair, percent in found.items()
    )


def _found_percents(pairs: StoredPairs) -> Mapping[Pair, int]:
    return {
        (workload, neighbour): percent
        for workload, by_neighbour in pairs.items()
        for neighbour, (percent, _, _, is_found) in by_neighbour.items()
        if is_found
    }
