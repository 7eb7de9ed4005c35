"""Bounded queue of requests: urgent before patient, fair between teams by weight."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from chicorycrank.model.ids import TeamId
from chicorycrank.model.requests import RequestClass

T = TypeVar("T")

MIN_WEIGHT = 0.01
ORDER = (RequestClass.URGENT, RequestClass.PATIENT)


@dataclass(kw_only=True)
class Ring(Generic[T]):
    """Queues of one class by team, and their deficits."""

    queue_by_team: dict[TeamId, deque[T]] = field(default_factory=dict)
    deficit_by_team: dict[TeamId, float] = field(default_factory=dict)
    turn: deque[TeamId] = field(default_factory=deque)

    def push(self, team: TeamId, item: T) -> None:
        """Append an item; a team that was empty joins the end of the turn."""
        queue = self.queue_by_team.get(team)
        if queue is None:
            queue = self.queue_by_team[team] = deque()
            self.deficit_by_team[team] = 0.0
            self.turn.append(team)
        queue.append(item)

    def drop(self, team: TeamId, item: T) -> None:
        """Remove an item; an empty team loses its deficit."""
        queue = self.queue_by_team[team]
        queue.remove(item)
        if not queue:
            del self.queue_by_team[team]
            del self.deficit_by_team[team]
            self.turn.remove(team)


class FairQueue(Generic[T]):
    """Deficit round robin between teams within each class.

    :param weight: weight of a team
    """

    def __init__(self, weight: Callable[[TeamId], float]) -> None:
        self._weight = weight
        self._ring_by_class: dict[RequestClass, Ring[T]] = {kind: Ring() for kind in ORDER}

    def __len__(self) -> int:
        return sum(self.ahead_of(kind) for kind in RequestClass)

    def ahead_of(self, kind: RequestClass) -> int:
        """Return the number of queued items of a class."""
        return sum(len(queue) for queue in self._ring_by_class[kind].queue_by_team.values())

    def length(self, team: TeamId, kind: RequestClass) -> int:
        """Return the number of queued items of a team and class."""
        return len(self._ring_by_class[kind].queue_by_team.get(team, ()))

    def push(self, team: TeamId, kind: RequestClass, item: T, *, limit: int) -> bool:
        """Append an item; false if the team's queue of this class is full."""
        if self.length(team, kind) >= limit:
            return False
        self._ring_by_class[kind].push(team, item)
        return True

    def remove(self, team: TeamId, kind: RequestClass, item: T) -> None:
        """Remove a queued item; an item that is not queued is ignored."""
        ring = self._ring_by_class[kind]
        if item in ring.queue_by_team.get(team, ()):
            ring.drop(team, item)

    def pop(self, accepts: Callable[[T], bool]) -> T | None:
        """Remove and return the next item that ``accepts`` takes; a refused head is skipped."""
        for kind in ORDER:
            item = self._pop_class(self._ring_by_class[kind], accepts)
            if item is not None:
                return item
        return None

    def remove_if(self, condition: Callable[[T], bool]) -> list[T]:
        """Remove and return all items for which a condition holds."""
        removed = []
        for ring in self._ring_by_class.values():
            for team, queue in list(ring.queue_by_team.items()):
                for item in [item for item in queue if condition(item)]:
                    ring.drop(team, item)
                    removed.append(item)
        return removed

    def _pop_class(self, ring: Ring[T], accepts: Callable[[T], bool]) -> T | None:
        refused: set[TeamId] = set()
        while len(refused) < len(ring.turn):
            team = ring.turn[0]
            if team in refused:
                ring.turn.rotate(-1)
                continue
            if ring.deficit_by_team[team] < 1.0:
                heaviest = max(max(MIN_WEIGHT, self._weight(t)) for t in ring.turn)
                ring.deficit_by_team[team] += max(MIN_WEIGHT, self._weight(team)) / heaviest
                if ring.deficit_by_team[team] < 1.0:
                    ring.turn.rotate(-1)
                    continue
            item = ring.queue_by_team[team][0]
            if not accepts(item):
                refused.add(team)
                ring.turn.rotate(-1)
                continue
            ring.deficit_by_team[team] -= 1.0
            if ring.deficit_by_team[team] < 1.0:
                ring.turn.rotate(-1)
            ring.drop(team, item)
            return item
        return None
