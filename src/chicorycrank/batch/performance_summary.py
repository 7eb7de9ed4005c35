"""Record of what the leader has learned of the workers, from which the next leader goes on.

The record is one value of bounded size, which the leader writes under its role. Another kind of
record is added as

- a field of :class:`PerformanceSummary` with a default, so that records of other versions stay
  readable, as unknown fields are ignored and missing ones are empty;
- a bound on its entries, as :data:`MAX_SPEEDS` is one, that keeps those with the most evidence;
- lines in :func:`make_summary` and :func:`restore`, which get and set the state, and in
  :func:`has_changed`, which decides whether a write is worth its cost.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec
from msgspec import Struct, field

from chicorycrank.batch.interference_summary import (
    StoredPairs,
    have_pairs_changed,
    make_pairs,
    restore_pairs,
)
from chicorycrank.batch.keys import PERFORMANCE_KEY, decode, encode
from chicorycrank.batch.performance import PerformanceRecords
from chicorycrank.batch.speed_estimates import SpeedEstimate
from chicorycrank.model.ids import TargetId
from chicorycrank.policy.interference import Interference

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

# Minimum time between writes of the record.
WRITE_INTERVAL_S = 5.0
# A speed that differs by less than this factor from the written one causes no write.
WRITE_CHANGE_FACTOR = 1.1
# An entry takes about 15 bytes and the id of the worker.
MAX_SPEEDS = 512
# Bounds of what is taken from a record. More evidence than this makes no difference.
MAX_EVIDENCE = 200
MAX_LOG_SPEED_PERCENT = 300

logger = logging.getLogger("absl")


class PerformanceSummary(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Stored form of the performance records.

    :param speeds: by worker, 100 times the logarithm of its speed relative to the median, and the
        evidence for it
    :param pairs: slow-down of pairs of workloads
    """

    speeds: dict[TargetId, tuple[int, int]] = field(default_factory=dict)
    pairs: StoredPairs = field(default_factory=dict)


def make_summary(
    performance: PerformanceRecords, interference: Interference | None = None
) -> PerformanceSummary:
    """Return the summary of the records.

    :param interference: pairs of workloads; None if they are not observed
    """
    estimates = performance.estimates()
    known = [worker for worker in estimates if performance.is_known(worker)]
    known.sort(key=lambda worker: (-estimates[worker].evidence, worker))
    return PerformanceSummary(
        speeds={
            worker: (
                round(100 * math.log(performance.speed_of(worker))),
                min(MAX_EVIDENCE, round(estimates[worker].evidence)),
            )
            for worker in known[:MAX_SPEEDS]
        },
        pairs=make_pairs(interference) if interference is not None else {},
    )


def restore(
    performance: PerformanceRecords,
    summary: PerformanceSummary,
    now_s: float,
    interference: Interference | None = None,
) -> None:
    """Go on with the records of an earlier leader.

    :param now_s: monotonic time in seconds
    :param interference: pairs of workloads; None if they are not observed
    """
    limit = MAX_LOG_SPEED_PERCENT
    estimates = {
        worker: SpeedEstimate(max(-limit, min(limit, percent)) / 100, min(MAX_EVIDENCE, evidence))
        for worker, (percent, evidence) in list(summary.speeds.items())[:MAX_SPEEDS]
    }
    performance.restore(estimates, now_s)
    if interference is not None and summary.pairs:
        restore_pairs(interference, summary.pairs, now_s)


def has_changed(summary: PerformanceSummary, written: PerformanceSummary) -> bool:
    """Return whether a summary differs by more than a tenth from the written one."""
    if summary.speeds.keys() != written.speeds.keys():
        return True
    if have_pairs_changed(summary.pairs, written.pairs, WRITE_CHANGE_FACTOR):
        return True
    limit = 100 * math.log(WRITE_CHANGE_FACTOR)
    return any(
        abs(percent - written.speeds[worker][0]) > limit
        for worker, (percent, _) in summary.speeds.items()
    )


class PerformanceSummaryStore:
    """The record as the leader of one term knows it; times are monotonic, in seconds."""

    def __init__(self) -> None:
        self._written = PerformanceSummary()
        self._pending = PerformanceSummary()
        self._written_at_s = float("-inf")

    def load(self, value: bytes | None, planner: PlannerState, now_s: float) -> None:
        """Restore the records; without a readable value, everything is learned again.

        :param value: value in the store; None if it is missing
        """
        if value is None:
            return
        try:
            self._written = decode(value, PerformanceSummary)
        except msgspec.DecodeError as error:
            logger.warning("event=record_unreadable key=%s error=%s", PERFORMANCE_KEY, error)
            return
        restore(planner.performance, self._written, now_s, _interference_of(planner))
        pairs = sum(map(len, self._written.pairs.values()))
        logger.info(
            "event=performance_restored workers=%d pairs=%d", len(self._written.speeds), pairs
        )

    def due_values(self, planner: PlannerState, now_s: float) -> Mapping[str, bytes]:
        """Return the value to write, if one is due."""
        if now_s - self._written_at_s < WRITE_INTERVAL_S:
            return {}
        summary = make_summary(planner.performance, _interference_of(planner))
        if not has_changed(summary, self._written):
            return {}
        self._pending, self._written_at_s = summary, now_s
        return {PERFORMANCE_KEY: encode(summary)}

    def record_written(self, values: Mapping[str, bytes]) -> None:
        """Record that the returned value is in the store."""
        if values:
            self._written = self._pending


def _interference_of(planner: PlannerState) -> Interference | None:
    return planner.interference if planner.avoids_interference else None
