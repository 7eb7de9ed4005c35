"""Order in which the workers of different speed are tried for a job, and for which ones it waits.

Load that it answers: gangs with deadlines on a fleet of which a third is much slower. A gang runs
at the speed of its slowest member.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import accumulate

from chicorycrank.model.ids import TargetId

# Speeds that differ by less than this share are alike, so that small differences move nothing.
LIKE_SPEEDS_SHARE = 0.15
# Part of the slack on fast workers for which a gang waits for them. The rest covers declared run
# times that are too short.
WAIT_SLACK_SHARE = 0.5
# A job earns a smaller value up to this multiple of its objective, and nothing after that.
VALUE_END_FACTOR = 3.0


class JobKind(Enum):
    """Kind of a job, as far as it matters for the speed of its workers."""

    URGENT = "urgent"
    GANG = "gang"  # also a single task that is neither urgent nor of a batch queue
    BATCH = "batch"


@dataclass(frozen=True, kw_only=True)
class SpeedClass:
    """Workers of similar speed.

    :param speed: speed of the slowest of them; 1.0 is the median of the fleet
    """

    workers: frozenset[TargetId]
    speed: float


@dataclass(frozen=True, kw_only=True)
class Timing:
    """What is left of the time of a job; all times in seconds.

    :param remaining_s: declared run time of the longest chain of steps from this one to the end
    :param waited_s: time since the submission of the job
    :param objective_s: time from submission within which the job earns its full value
    """

    remaining_s: float
    waited_s: float
    objective_s: float

    def meets(self, speed: float, factor: float = 1.0) -> bool:
        """Return whether a start now on workers of a speed ends within a multiple of the objective.

        :param factor: multiple of the objective
        """
        return self.waited_s + self.remaining_s / speed <= factor * self.objective_s

    def may_wait(self, speed: float) -> bool:
        """Return whether a part of the slack on workers of a speed is left for waiting for them."""
        slack_s = self.objective_s - self.remaining_s / speed
        return self.waited_s < WAIT_SLACK_SHARE * slack_s


@dataclass(frozen=True, kw_only=True)
class Preference:
    """Workers to try first, and workers to leave out for now.

    :param preferred: sets of workers to try in order before all allowed workers; for an urgent job
        the last set contains the others, and work there is evicted before slower workers are used
    :param excluded: workers on which the job does not start now, in the order of the reasons: the
        first set is left out only if the other workers could hold the job, otherwise the next one
    """

    preferred: tuple[frozenset[TargetId], ...] = ()
    excluded: tuple[frozenset[TargetId], ...] = ()


NO_PREFERENCE = Preference()


def speed_classes(speed_by_worker: Mapping[TargetId, float]) -> tuple[SpeedClass, ...]:
    """Return classes of workers of similar speed, the fastest first.

    :param speed_by_worker: speed of each worker; 1.0 if it is not known
    """
    groups: list[list[TargetId]] = []
    fastest = 0.0
    for worker in sorted(speed_by_worker, key=lambda name: (-speed_by_worker[name], name)):
        if not groups or speed_by_worker[worker] < (1.0 - LIKE_SPEEDS_SHARE) * fastest:
            groups.append([])
            fastest = speed_by_worker[worker]
        groups[-1].append(worker)
    return tuple(
        SpeedClass(workers=frozenset(group), speed=speed_by_worker[group[-1]]) for group in groups
    )


def fast_classes(classes: Sequence[SpeedClass]) -> Sequence[SpeedClass]:
    """Return the fastest classes that together contain at least half of the workers."""
    total = sum(len(speed_class.workers) for speed_class in classes)
    counts = accumulate(len(speed_class.workers) for speed_class in classes)
    count = sum(2 * counted < total for counted in counts) + 1
    return classes[:count]


def prefer_workers(classes: Sequence[SpeedClass], kind: JobKind, timing: Timing) -> Preference:
    """Return the preference of a job; there is none if all workers are of one class.

    Urgent jobs try the fastest workers first; they evict work for their speed only if they would
    miss their objective on slower ones. Gangs try workers of one class, the fastest first,
    then several classes together. Tasks of batch jobs try the slowest workers first, which leaves
    the fast ones to gangs. Slow workers are left out if the job would earn nothing there but
    something on faster ones. A gang that is not urgent also leaves them out for a part of its
    slack if it would miss its objective there but not on faster ones.
    """
    if len(classes) < 2:
        return NO_PREFERENCE
    if kind is JobKind.BATCH:
        return Preference(preferred=tuple(item.workers for item in classes[:0:-1]))
    if kind is JobKind.URGENT:
        return Preference(
            preferred=_unions(_worth_evictions(classes, timing)),
            excluded=_excluded(classes, timing, VALUE_END_FACTOR),
        )
    waiting = _excluded(classes, timing, 1.0) if timing.may_wait(classes[0].speed) else ()
    return Preference(
        preferred=_similar_first(classes),
        excluded=(*waiting, *_excluded(classes, timing, VALUE_END_FACTOR)),
    )


def _worth_evictions(classes: Sequence[SpeedClass], timing: Timing) -> Sequence[SpeedClass]:
    """Return the classes that an urgent job tries, also by evictions, before the slower ones.

    Evictions discard work, so free workers on which the job meets its objective come first, and
    all free ones if it meets its objective nowhere.
    """
    count = sum(timing.meets(item.speed) for item in classes)
    return classes[: max(count, len(fast_classes(classes)))] if count else classes


def _unions(classes: Sequence[SpeedClass]) -> tuple[frozenset[TargetId], ...]:
    """Return the union of the first class, of the first two classes, and so on."""
    return tuple(accumulate((item.workers for item in classes), frozenset.union))


def _similar_first(classes: Sequence[SpeedClass]) -> tuple[frozenset[TargetId], ...]:
    """Return each class, followed by its union with the faster ones."""
    sets = [classes[0].workers]
    for item, union in zip(classes[1:], _unions(classes)[1:], strict=True):
        sets += [item.workers, union]
    return tuple(sets[:-1])  # the last union has all workers


def _excluded(
    classes: Sequence[SpeedClass], timing: Timing, factor: float
) -> tuple[frozenset[TargetId], ...]:
    """Return the workers that miss a multiple of the objective, if the fastest ones keep it."""
    if not timing.meets(classes[0].speed, factor):
        return ()
    missing = [item.workers for item in classes if not timing.meets(item.speed, factor)]
    return (frozenset().union(*missing),) if missing else ()
