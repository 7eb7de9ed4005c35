"""Estimation of how much the neighbours on a worker slow a workload down.

The logarithm of a run's rate, relative to the speed of its worker, is the sum of a value of the
workload, of a value of its group (how far off the declared run time is), of the effects of its
neighbours, each by its amount, of the error of the speed, and of noise. The effects are found by
least squares in which each has a prior around zero, so that several neighbours share the blame.
The value of the workload makes each effect a comparison with runs without that neighbour.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from chicorycrank.model.ids import TargetId, Workload

# Tasks of a step differ by up to 0.3, and the measurement adds some error.
NOISE_VARIANCE = 0.3**2
# Part of the error of a worker's speed that remains when its mean error is taken out. The
# observations on one worker share it, so that together they weigh no more than one observation with
# this variance.
SPEED_ERROR_VARIANCE = 0.1**2
# Error of a worker's speed, part of which is due to neighbours that slowed the runs it was learned
# from.
SPEED_VARIANCE = 0.2**2
WORKLOAD_VARIANCE = 0.5**2
# A neighbour of unknown effect slows others by a factor of less than 1.8 with 95 percent
# probability.
EFFECT_VARIANCE = 0.3**2
# Bounds the time of an estimate, which grows with the cube of this number.
MAX_NEIGHBOURS = 12
# With a smaller amount of a neighbour, an observation does not count as made beside it.
MIN_AMOUNT = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class RunObservation:
    """Rate of a run, and what ran beside it.

    :param run: name of the run
    :param group: runs of one step, which have the same declared run time
    :param group_variance: variance of the logarithm of the rates that this group may have
    :param log_rate: logarithm of the rate, relative to the speed of the worker
    :param amounts: amount of each neighbour workload, 0 to 1 (see ``neighbour_amount``)
    :param at_s: monotonic time in seconds
    """

    worker: TargetId
    run: str
    group: str
    group_variance: float
    log_rate: float
    amounts: Mapping[Workload, float]
    at_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PairEstimate:
    """Slow-down of a workload by a neighbour workload.

    :param log_slow_down: logarithm of the factor by which its run time grows
    :param evidence: information of the observations, the reciprocal of a variance
    :param workers: number of workers on which both were observed together
    """

    log_slow_down: float = 0.0
    evidence: float = 0.0
    workers: int = 0

    @property
    def deviation(self) -> float:
        """Standard deviation of the logarithm."""
        return 1 / math.sqrt(self.evidence + 1 / EFFECT_VARIANCE)


@dataclass(frozen=True, slots=True, kw_only=True)
class Fit:
    """Slow-down of one workload by each neighbour, and what it leaves unexplained.

    :param residuals: of each observation, its rate without all effects but the error of the speed
    """

    pairs: Mapping[Workload, PairEstimate]
    residuals: Sequence[float]


@dataclass(slots=True)
class _GroupSums:
    """Sums over the observations of a group, by which its value is eliminated."""

    weight: float = 0.0
    rate: float = 0.0
    amounts: dict[int, float] = field(default_factory=dict)

    def share(self, variance: float) -> float:
        """Return the factor by which sums of a group with a prior variance give its value."""
        return variance / (1 + variance * self.weight)


class _Row:
    """Row of the equations, which states the rate of a run.

    :ivar log_rate: rate without the error of the speed of the worker
    :ivar amounts: factors of the unknown values by their index; that of the workload has 0
    """

    def __init__(
        self,
        observation: RunObservation,
        weight: float,
        speed_errors: Mapping[TargetId, float],
        index_by_neighbour: Mapping[Workload, int],
    ) -> None:
        self.observation = observation
        self.weight = weight
        self.group = (observation.group, observation.group_variance)
        self.log_rate = observation.log_rate - speed_errors.get(observation.worker, 0.0)
        self.amounts = {0: 1.0} | {
            index_by_neighbour[neighbour]: amount
            for neighbour, amount in observation.amounts.items()
            if neighbour in index_by_neighbour
        }


def fit_workload(
    observations: Sequence[tuple[RunObservation, float]],
    priors: Mapping[Workload, PairEstimate],
    speed_errors: Mapping[TargetId, float],
) -> Fit:
    """Return the slow-down of one workload by each neighbour.

    :param observations: observations of the runs of the workload, with weights from 0 to 1
    :param priors: earlier knowledge, which counts as further observations
    :param speed_errors: logarithm of the factor by which the speed of a worker is too low
    """
    neighbours = _main_neighbours(observations, priors)
    index_by_neighbour = {neighbour: index for index, neighbour in enumerate(neighbours, 1)}
    size = len(neighbours) + 1
    matrix = [[0.0] * size for _ in range(size)]
    right = [0.0] * size
    matrix[0][0] = 1 / WORKLOAD_VARIANCE
    for neighbour, index in index_by_neighbour.items():
        prior = priors.get(neighbour, PairEstimate())
        matrix[index][index] = 1 / EFFECT_VARIANCE + prior.evidence
        # The mean of an estimate contains its prior, whose part is taken out here.
        right[index] = -prior.log_slow_down * (prior.evidence + 1 / EFFECT_VARIANCE)
        if not prior.evidence:
            right[index] = 0.0
    rows = [
        _Row(observation, weight, speed_errors, index_by_neighbour)
        for observation, weight in observations
    ]
    sums_by_group = _add_rows(matrix, right, rows)
    inverse = _invert(matrix)
    values = [sum(a * b for a, b in zip(row, right, strict=True)) for row in inverse]
    workers = _workers_by_neighbour(observations)
    pairs = {
        neighbour: PairEstimate(
            log_slow_down=-values[index],
            evidence=max(0.0, 1 / inverse[index][index] - 1 / EFFECT_VARIANCE),
            workers=max(
                len(workers.get(neighbour, ())), priors.get(neighbour, PairEstimate()).workers
            ),
        )
        for neighbour, index in index_by_neighbour.items()
    }
    group_values = {
        key: sums.share(key[1])
        * (sums.rate - sum(amount * values[index] for index, amount in sums.amounts.items()))
        for key, sums in sums_by_group.items()
    }
    residuals = [
        row.observation.log_rate
        - group_values[row.group]
        - sum(amount * values[index] for index, amount in row.amounts.items())
        for row in rows
    ]
    return Fit(pairs=pairs, residuals=residuals)


def speed_errors_of(
    observations: Sequence[tuple[RunObservation, float]], residuals: Sequence[float]
) -> dict[TargetId, float]:
    """Return the errors of the speeds of workers, from all that ran on them.

    :param residuals: rate of each observation without all effects but the error of the speed
    """
    weights: dict[TargetId, float] = {}
    sums: dict[TargetId, float] = {}
    for (observation, weight), residual in zip(observations, residuals, strict=True):
        information = weight / NOISE_VARIANCE
        worker = observation.worker
        weights[worker] = weights.get(worker, 0.0) + information
        sums[worker] = sums.get(worker, 0.0) + information * residual
    return {worker: sums[worker] / (weights[worker] + 1 / SPEED_VARIANCE) for worker in sums}


def _main_neighbours(
    observations: Sequence[tuple[RunObservation, float]],
    priors: Mapping[Workload, PairEstimate],
) -> list[Workload]:
    """Return the neighbours with the most evidence, in a fixed order."""
    evidence = {neighbour: prior.evidence for neighbour, prior in priors.items()}
    for observation, weight in observations:
        for neighbour, amount in observation.amounts.items():
            gained = weight * amount / NOISE_VARIANCE
            evidence[neighbour] = evidence.get(neighbour, 0.0) + gained
    return sorted(evidence, key=lambda name: (-evidence[name], name))[:MAX_NEIGHBOURS]


def _add_rows(
    matrix: list[list[float]], right: list[float], rows: Sequence[_Row]
) -> Mapping[tuple[str, float], _GroupSums]:
    """Add observations to the normal equations, with the values of the groups eliminated.

    :returns: the sums of each group
    """
    counts = Counter(row.observation.worker for row in rows)
    sums_by_group: dict[tuple[str, float], _GroupSums] = {}
    for row in rows:
        shared_variance = counts[row.observation.worker] * SPEED_ERROR_VARIANCE
        information = row.weight / (NOISE_VARIANCE + shared_variance)
        sums = sums_by_group.setdefault(row.group, _GroupSums())
        sums.weight += information
        sums.rate += information * row.log_rate
        for index, amount in row.amounts.items():
            sums.amounts[index] = sums.amounts.get(index, 0.0) + information * amount
            right[index] += information * amount * row.log_rate
            for other, other_amount in row.amounts.items():
                matrix[index][other] += information * amount * other_amount
    for (_, variance), sums in sums_by_group.items():
        share = sums.share(variance)
        for index, amount in sums.amounts.items():
            right[index] -= share * amount * sums.rate
            for other, other_amount in sums.amounts.items():
                matrix[index][other] -= share * amount * other_amount
    return sums_by_group


def _workers_by_neighbour(
    observations: Sequence[tuple[RunObservation, float]],
) -> dict[Workload, set[TargetId]]:
    workers: dict[Workload, set[TargetId]] = {}
    for observation, _ in observations:
        for neighbour, amount in observation.amounts.items():
            if amount >= MIN_AMOUNT:
                workers.setdefault(neighbour, set()).add(observation.worker)
    return workers


def _invert(matrix: Sequence[Sequence[float]]) -> list[list[float]]:
    """Return the inverse of a positive definite matrix, by Gauss-Jordan elimination."""
    size = len(matrix)
    rows = [
        [*row, *(float(index == column) for column in range(size))]
        for index, row in enumerate(matrix)
    ]
    for pivot in range(size):
        scale = 1 / rows[pivot][pivot]
        rows[pivot] = [value * scale for value in rows[pivot]]
        for index in range(size):
            factor = rows[index][pivot]
            if index != pivot and factor:
                rows[index] = [
                    value - factor * pivot_value
                    for value, pivot_value in zip(rows[index], rows[pivot], strict=True)
                ]
    return [row[size:] for row in rows]
