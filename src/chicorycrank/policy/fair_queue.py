"""Bounded request queue: urgent before patient requests, weighted fairness between teams."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from chicorycrank.model.ids import TeamId
from chicorycrank.model.requests import RequestClass

T = TypeVar("T")

MIN_WEIGHT = 0.01
CLASSES_BY_PRIORITY = (RequestClass.URGENT, RequestClass.PATIENT)


@dataclass(kw_only=True)
class TeamQueues(Generic[T]):
    """Queues of the teams for one request class, with their deficit counters."""

    queue_by_team: dict[TeamId, deque[T]] = field(default_factory=dict)
    deficit_by_team: dict[TeamId, float] = field(default_factory=dict)
    rotation: deque[TeamId] = field(default_factory=deque)

    def push(self, team: TeamId, item: T) -> None:
        """Append an item; a team without queued items joins the end of the rotation."""
        queue = self.queue_by_team.get(team)
        if queue is None:
            queue = self.queue_by_team[team] = deque()
            self.deficit_by_team[team] = 0.0
            self.rotation.append(team)
        queue.append(item)

    def remove(self, team: TeamId, item: T) -> None:
        """Remove an item; a team without further items leaves the rotation.

        Its deficit is discarded.
        """
        queue = self.queue_by_team[team]
        queue.remove(item)
        if not queue:
            del self.queue_by_team[team]
            del self.deficit_by_team[team]
            self.rotation.remove(team)


class FairQueue(Generic[T]):
    """Queue that serves teams by deficit round robin within each request class.

    :param weight: returns the weight of a team
    """

    def __init__(self, weight: Callable[[TeamId], float]) -> None:
        self._weight = weight
        self._queues_by_class: dict[RequestClass, TeamQueues[T]] = {
            kind: TeamQueues() for kind in CLASSES_BY_PRIORITY
        }

    def __len__(self) -> int:
        return sum(self.class_length(kind) for kind in RequestClass)

    def class_length(self, kind: RequestClass) -> int:
        """Return the number of queued items of a class."""
        return sum(len(queue) for queue in self._queues_by_class[kind].queue_by_team.values())

    def length(self, team: TeamId, kind: RequestClass) -> int:
        """Return the number of queued items of a team and class."""
        return len(self._queues_by_class[kind].queue_by_team.get(team, ()))

    def push(self, team: TeamId, kind: RequestClass, item: T, *, limit: int) -> bool:
        """Append an item; return false if the team's queue of this class is full."""
        if self.length(team, kind) >= limit:
            return False
        self._queues_by_class[kind].push(team, item)
        return True

    def remove(self, team: TeamId, kind: RequestClass, item: T) -> None:
        """Remove a queued item; an item that is not queued is ignored."""
        queues = self._queues_by_class[kind]
        if item in queues.queue_by_team.get(team, ()):
            queues.remove(team, item)

    def pop(self, accepts: Callable[[T], bool]) -> T | None:
        """Remove and return the next item that ``accepts`` allows.

        A team whose first item is refused is skipped in this call.
        """
        for kind in CLASSES_BY_PRIORITY:
            item = self._pop_class(self._queues_by_class[kind], accepts)
            if item is not None:
                return item
        return None

    def remove_if(self, condition: Callable[[T], bool]) -> list[T]:
        """Remove and return all items for which a condition holds."""
        removed = []
        for queues in self._queues_by_class.values():
            for team, queue in list(queues.queue_by_team.items()):
                for item in [item for item in queue if condition(item)]:
                    queues.remove(team, item)
                    removed.append(item)
        return removed

    def _pop_class(self, queues: TeamQueues[T], accepts: Callable[[T], bool]) -> T | None:
        refused: set[TeamId] = set()
        while len(refused) < len(queues.rotation):
            team = queues.rotation[0]
            if team in refused:
                queues.rotation.rotate(-1)
                continue
            if queues.deficit_by_team[team] < 1.0:
                max_weight = max(max(MIN_WEIGHT, self._weight(t)) for t in queues.rotation)
                queues.deficit_by_team[team] += max(MIN_WEIGHT, self._weight(team)) / max_weight
                if queues.deficit_by_team[team] < 1.0:
                    queues.rotation.rotate(-1)
                    continue
            item = queues.queue_by_team[team][0]
            if not accepts(item):
                refused.add(team)
                queues.rotation.rotate(-1)
                continue
            queues.deficit_by_team[team] -= 1.0
            if queues.deficit_by_team[team] < 1.0:
                queues.rotation.rotate(-1)
            queues.remove(team, item)
            return item
        return None
