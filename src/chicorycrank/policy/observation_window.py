"""Observations of the runs of one workload that are kept, in bounded number.

Runs of a group are compared with each other, so the observations are kept and dropped by groups.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from chicorycrank.model.ids import Workload
from chicorycrank.policy.slow_down_estimates import RunObservation

# Groups are dropped from the most frequent kind of neighbourhoods, so that many groups without a
# neighbour do not push out the few that have runs beside it.
MAX_GROUPS = 16
# Runs of a group beside the same neighbours, and all runs of a group.
MAX_RUNS_PER_NEIGHBOURHOOD = 12
MAX_RUNS_PER_GROUP = 24

Neighbourhood = frozenset[Workload]


@dataclass(slots=True)
class _Group:
    """Latest observation of each run of a group in each neighbourhood, the oldest first."""

    by_run: dict[tuple[Neighbourhood, str], RunObservation] = field(default_factory=dict)

    @property
    def kind(self) -> frozenset[Neighbourhood]:
        """Neighbourhoods of the runs."""
        return frozenset(neighbourhood for neighbourhood, _ in self.by_run)

    @property
    def observed_at_s(self) -> float:
        """Monotonic time of the latest observation in seconds."""
        return max(observation.at_s for observation in self.by_run.values())


class ObservationWindow:
    """Latest observations of the runs of a workload."""

    def __init__(self) -> None:
        self._by_group: dict[str, _Group] = {}
        self.observed_at_s = float("-inf")

    def __iter__(self) -> Iterator[RunObservation]:
        """Yield the observations."""
        for group in self._by_group.values():
            yield from group.by_run.values()

    def add(self, observation: RunObservation) -> None:
        """Add an observation; it replaces the one of the same run beside the same neighbours."""
        self.observed_at_s = observation.at_s
        group = self._by_group.setdefault(observation.group, _Group())
        neighbourhood = frozenset(observation.amounts)
        group.by_run.pop((neighbourhood, observation.run), None)
        group.by_run[neighbourhood, observation.run] = observation
        same = [key for key in group.by_run if key[0] == neighbourhood]
        if len(same) > MAX_RUNS_PER_NEIGHBOURHOOD:
            del group.by_run[same[0]]
        if len(group.by_run) > MAX_RUNS_PER_GROUP:
            del group.by_run[next(iter(group.by_run))]
        if len(self._by_group) > MAX_GROUPS:
            self._drop_group()

    def discard_before(self, at_s: float) -> bool:
        """Discard the observations before a time; return whether none is left."""
        for name, group in list(self._by_group.items()):
            group.by_run = {
                key: observation
                for key, observation in group.by_run.items()
                if observation.at_s >= at_s
            }
            if not group.by_run:
                del self._by_group[name]
        return not self._by_group

    def _drop_group(self) -> None:
        kinds = {name: group.kind for name, group in self._by_group.items()}
        counts = Counter(kinds.values())
        most = max(counts.values())
        frequent = [name for name, kind in kinds.items() if counts[kind] == most]
        del self._by_group[min(frequent, key=lambda name: self._by_group[name].observed_at_s)]
