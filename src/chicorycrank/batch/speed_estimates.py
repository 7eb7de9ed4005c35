"""Estimation of the speeds of workers from the rates of runs.

The logarithm of a run's rate is the sum of a value of its group (how far off the declared run time
is), of the worker's log speed, and of noise. Runs of a group have the same declared time and are
slowed alike, so only they are compared with each other.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from chicorycrank.model.ids import TargetId

# Tasks of a step differ by up to 0.3, and the measurement adds some error.
NOISE_VARIANCE = 0.3**2
# A worker of unknown speed is within a factor of 2.7 of the others with 95 percent probability.
SPEED_VARIANCE = 0.5**2
# Declared run times are off by a factor of up to two.
STEP_VARIANCE = 0.4**2
# A gang that should be in one rack and is not takes three times as long as a whole.
SPREAD_GANG_VARIANCE = 1.5**2
# Value of a group whose rates are speeds already.
NO_GROUP = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """Rate of a run on a worker.

    :param group: runs that are compared with each other; :data:`NO_GROUP` for a known speed
    :param group_variance: variance of the value of the group, while nothing else is known of it
    :param log_rate: logarithm of the rate
    :param weight: share of a current observation, 0 to 1; more for a known speed
    """

    group: str
    group_variance: float
    log_rate: float
    weight: float


@dataclass(frozen=True, slots=True)
class SpeedEstimate:
    """Estimate of the logarithm of a worker's speed.

    :param evidence: information of its observations, the reciprocal of a variance
    """

    log_speed: float = 0.0
    evidence: float = 0.0

    @property
    def variance(self) -> float:
        """Variance of the estimate."""
        return 1 / (self.evidence + 1 / SPEED_VARIANCE)


UNKNOWN = SpeedEstimate()


@dataclass(slots=True)
class _Sums:
    """Sums over the observations of a group.

    :param evidence: sum of the information on the value of the group
    :param weighted: sum of the values weighted by it
    """

    evidence: float = 0.0
    weighted: float = 0.0


def improve(
    observations_by_worker: Mapping[TargetId, Sequence[Observation]],
    estimates_by_worker: Mapping[TargetId, SpeedEstimate],
) -> dict[TargetId, SpeedEstimate]:
    """Return better estimates than the given ones.

    The value of a group is estimated for each worker from the runs on the other workers, so that a
    worker is not compared with itself. Repeated calls converge.
    """
    sums_by_group: dict[str, _Sums] = {}
    own_sums: dict[TargetId, dict[str, _Sums]] = {}
    for worker, observations in observations_by_worker.items():
        estimate = estimates_by_worker.get(worker, UNKNOWN)
        own_sums[worker] = _sums_of(observations, estimate)
        for group, own in own_sums[worker].items():
            sums = sums_by_group.setdefault(group, _Sums())
            sums.evidence += own.evidence
            sums.weighted += own.weighted
    return {
        worker: _estimate(observations, sums_by_group, own_sums[worker])
        for worker, observations in observations_by_worker.items()
    }


def _sums_of(observations: Iterable[Observation], estimate: SpeedEstimate) -> dict[str, _Sums]:
    """Return what the observations of one worker say about the values of their groups."""
    variance = NOISE_VARIANCE + estimate.variance
    sums_by_group: dict[str, _Sums] = {}
    for observation in observations:
        sums = sums_by_group.setdefault(observation.group, _Sums())
        evidence = observation.weight / variance
        sums.evidence += evidence
        sums.weighted += evidence * (observation.log_rate - estimate.log_speed)
    return sums_by_group


def _estimate(
    observations: Sequence[Observation],
    sums_by_group: Mapping[str, _Sums],
    own_by_group: Mapping[str, _Sums],
) -> SpeedEstimate:
    evidence = weighted = 0.0
    for observation in observations:
        value = variance = 0.0
        if observation.group != NO_GROUP:
            sums, own = sums_by_group[observation.group], own_by_group[observation.group]
            variance = 1 / (1 / observation.group_variance + max(0.0, sums.evidence - own.evidence))
            value = variance * (sums.weighted - own.weighted)
        information = observation.weight / (NOISE_VARIANCE + variance)
        evidence += information
        weighted += information * (observation.log_rate - value)
    return SpeedEstimate(weighted / (evidence + 1 / SPEED_VARIANCE), evidence)
