"""Speeds of workers, learned from the progress of the runs on them.

Load that it answers: gangs on a fleet of which a third is much slower. A gang is as fast as its
slowest member.
"""

import logging
import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import median

from chicorycrank.batch.metrics import RATES_RECORDED, WORKERS_BY_SPEED
from chicorycrank.batch.speed_estimates import (
    NO_GROUP,
    NOISE_VARIANCE,
    SPEED_VARIANCE,
    STEP_VARIANCE,
    UNKNOWN,
    Observation,
    SpeedEstimate,
    improve,
)
from chicorycrank.model.ids import TargetId

DEFAULT_SPEED = 1.0
# Observations lose their weight at this rate, as a slow worker may recover.
DECAY_S = 60.0
# Weight of an observation relative to the next one on its worker. Three observations outweigh all
# earlier ones, however many there are.
RANK_WEIGHT = 0.75
# Older ones would have less than a twentieth of the weight.
MAX_OBSERVATIONS_PER_WORKER = 10
MAX_OBSERVATION_AGE_S = 3 * DECAY_S
# Weight that remains after a restart of the executor, as the worker may be another machine.
RESTART_WEIGHT = 0.3
# Weight that remains after a change of the leader.
TAKEOVER_WEIGHT = 0.7
# Information of two observations whose step runs on several other workers.
KNOWN_EVIDENCE = 10.0
FORGOTTEN_EVIDENCE = 3.0
UPDATE_INTERVAL_S = 1.0
MAX_SWEEPS = 4
CONVERGED_CHANGE = 0.01
MAX_LOG_RATE = 3.0
# Speeds are logged in classes, which differ by this factor. A worker changes its class when it is
# clearly beyond the middle between two.
CLASS_FACTOR = 1.25
CLASS_MARGIN = 0.7

logger = logging.getLogger("absl")


@dataclass(slots=True, kw_only=True)
class _Rate:
    """Rate of a run, as recorded.

    :param weight: share of a current observation; decays with the time since ``at_s``
    """

    group: str
    group_variance: float
    log_rate: float
    at_s: float
    weight: float = 1.0


@dataclass(slots=True, kw_only=True)
class _WorkerRecord:
    """Rates of the runs on a worker, the latest first."""

    rates: deque[_Rate] = field(default_factory=lambda: deque(maxlen=MAX_OBSERVATIONS_PER_WORKER))
    estimate: SpeedEstimate = UNKNOWN
    speed_class: int = 0


class PerformanceRecords:
    """Speed of each worker relative to the others; times are monotonic, in seconds.

    The median of the known speeds is 1.0.
    """

    def __init__(self) -> None:
        self._speed_by_worker: dict[TargetId, float] = {}
        self._record_by_worker: dict[TargetId, _WorkerRecord] = {}
        self._updated_at_s = float("-inf")

    def speed_of(self, worker: TargetId) -> float:
        """Return how fast a worker is relative to the others; 1.0 if that is not known."""
        return self._speed_by_worker.get(worker, DEFAULT_SPEED)

    def is_known(self, worker: TargetId) -> bool:
        """Return whether the speed of a worker was measured."""
        return worker in self._speed_by_worker

    def record(
        self,
        group: str,
        worker: TargetId,
        rate: float,
        now_s: float,
        *,
        group_variance: float = STEP_VARIANCE,
    ) -> None:
        """Record the rate of a run; the speeds follow with the next :meth:`update`.

        :param group: job step; of a gang, the gang and its run, which may be slowed as a whole
        :param rate: progress per second, relative to the declared run time
        :param group_variance: variance of the logarithm of the rates that this group may have
        """
        if rate <= 0:
            return
        log_rate = min(MAX_LOG_RATE, max(-MAX_LOG_RATE, math.log(rate)))
        self._add(
            worker,
            _Rate(group=group, group_variance=group_variance, log_rate=log_rate, at_s=now_s),
        )
        RATES_RECORDED.inc()

    def observed_at_s(self, worker: TargetId) -> float:
        """Return when the last rate on a worker was recorded."""
        record = self._record_by_worker.get(worker)
        return record.rates[0].at_s if record is not None and record.rates else float("-inf")

    def discount(self, worker: TargetId) -> None:
        """Trust what is known of a worker less, as its executor has restarted."""
        record = self._record_by_worker.get(worker)
        for rate in record.rates if record is not None else ():
            rate.weight *= RESTART_WEIGHT

    def is_update_due(self, now_s: float) -> bool:
        """Return whether the speeds were not updated in the last second."""
        return now_s - self._updated_at_s >= UPDATE_INTERVAL_S

    def update(self, now_s: float) -> None:
        """Update the speeds from the records, at most once a second."""
        if not self.is_update_due(now_s):
            return
        self._updated_at_s = now_s
        self._discard_old(now_s)
        observations_by_worker = {
            worker: _observations(record, now_s)
            for worker, record in self._record_by_worker.items()
        }
        for _ in range(MAX_SWEEPS):
            before = self.estimates()
            estimates = improve(observations_by_worker, before)
            for worker, estimate in estimates.items():
                self._record_by_worker[worker].estimate = estimate
            changes = [
                abs(estimate.log_speed - before[worker].log_speed)
                for worker, estimate in estimates.items()
            ]
            if max(changes, default=0.0) < CONVERGED_CHANGE:
                break
        self._publish()

    def estimates(self) -> dict[TargetId, SpeedEstimate]:
        """Return the estimates of all workers on which rates were observed."""
        return {worker: record.estimate for worker, record in self._record_by_worker.items()}

    def restore(self, estimates: Mapping[TargetId, SpeedEstimate], now_s: float) -> None:
        """Go on with the estimates of an earlier leader, whatever their age; they decay again.

        A rate of the weight that the evidence had gives the same estimate, apart from the lower
        trust in it.
        """
        for worker, estimate in estimates.items():
            if estimate.evidence <= 0:
                continue
            shrinkage = estimate.evidence / (estimate.evidence + 1 / SPEED_VARIANCE)
            weight = TAKEOVER_WEIGHT * estimate.evidence * NOISE_VARIANCE
            log_rate = min(MAX_LOG_RATE, max(-MAX_LOG_RATE, estimate.log_speed / shrinkage))
            restored = _Rate(
                group=NO_GROUP,
                group_variance=STEP_VARIANCE,
                log_rate=log_rate,
                at_s=now_s,
                weight=weight,
            )
            self._add(worker, restored)
        self._updated_at_s = float("-inf")
        self.update(now_s)

    def _add(self, worker: TargetId, rate: _Rate) -> None:
        self._record_by_worker.setdefault(worker, _WorkerRecord()).rates.appendleft(rate)

    def _discard_old(self, now_s: float) -> None:
        for worker, record in list(self._record_by_worker.items()):
            while record.rates and now_s - record.rates[-1].at_s > MAX_OBSERVATION_AGE_S:
                record.rates.pop()
            if not record.rates:
                self._log_class(worker, record, 0.0)
                del self._record_by_worker[worker]

    def _publish(self) -> None:
        """Derive the relative speeds of the workers with enough evidence."""
        known = {
            worker: record.estimate.log_speed
            for worker, record in self._record_by_worker.items()
            if record.estimate.evidence
            >= (FORGOTTEN_EVIDENCE if worker in self._speed_by_worker else KNOWN_EVIDENCE)
        }
        middle = median(known.values()) if known else 0.0
        self._speed_by_worker = {
            worker: math.exp(log_speed - middle) for worker, log_speed in known.items()
        }
        for worker, record in self._record_by_worker.items():
            self._log_class(worker, record, math.log(self.speed_of(worker)))
        classes = [self._record_by_worker[worker].speed_class for worker in known]
        for name, count in (
            ("slow", sum(number < 0 for number in classes)),
            ("usual", sum(number == 0 for number in classes)),
            ("fast", sum(number > 0 for number in classes)),
        ):
            WORKERS_BY_SPEED.labels(name).set(count)

    def _log_class(self, worker: TargetId, record: _WorkerRecord, log_speed: float) -> None:
        steps = log_speed / math.log(CLASS_FACTOR)
        if abs(steps - record.speed_class) <= CLASS_MARGIN:
            return
        former, record.speed_class = record.speed_class, round(steps)
        logger.info(
            "event=worker_speed target=%s speed=%.2f class=%d former=%d evidence=%.0f",
            worker,
            math.exp(log_speed),
            record.speed_class,
            former,
            record.estimate.evidence,
        )


def _observations(record: _WorkerRecord, now_s: float) -> list[Observation]:
    """Return the rates on a worker with their current weights."""
    return [
        Observation(
            group=rate.group,
            group_variance=rate.group_variance,
            log_rate=rate.log_rate,
            weight=rate.weight * RANK_WEIGHT**rank * math.exp((rate.at_s - now_s) / DECAY_S),
        )
        for rank, rate in enumerate(record.rates)
    ]
