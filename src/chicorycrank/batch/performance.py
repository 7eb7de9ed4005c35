"""Speeds of workers, learned from the progress of the runs on them."""

from chicorycrank.model.ids import TargetId

DEFAULT_SPEED = 1.0


class PerformanceRecords:
    """Speed of each worker relative to the others."""

    def __init__(self) -> None:
        self._speed_by_worker: dict[TargetId, float] = {}

    def speed_of(self, worker: TargetId) -> float:
        """Return how fast a worker is relative to the others; 1.0 if that is not known."""
        return self._speed_by_worker.get(worker, DEFAULT_SPEED)

    def is_known(self, worker: TargetId) -> bool:
        """Return whether the speed of a worker was measured."""
        return worker in self._speed_by_worker
