"""Accelerators kept back from jobs that come later in a decision pass."""

from chicorycrank.model.ids import TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.pool import Pool, Spots


class Holds:
    """What is kept back in one pool, until it is lifted."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        # worker, mask, cores and memory kept back
        self._held: list[tuple[TargetId, int, int, int]] = []

    def __bool__(self) -> bool:
        return bool(self._held)

    def add(self, spots: Spots, shape: GangShape | None) -> None:
        """Keep spots back.

        :param shape: also keep the cores and memory of its members back, as far as they are there
        """
        pool = self._pool
        for worker, mask in spots:
            if worker in pool.masks:
                cores = min(shape.cores, max(0, pool.cores[worker])) if shape else 0
                memory_gb = min(shape.memory_gb, max(0, pool.memory_gb[worker])) if shape else 0
                part = pool.masks[worker] & mask
                pool.take(worker, part, cores, memory_gb)
                self._held.append((worker, part, cores, memory_gb))

    def lift(self) -> None:
        """Give back all that is kept."""
        for hold in self._held:
            self._pool.give(*hold)
        self._held.clear()
