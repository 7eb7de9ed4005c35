"""Capacity withheld from jobs that are considered later in a decision pass."""

from chicorycrank.model.ids import TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.pool import Pool, WorkerMasks


class WithheldCapacity:
    """Capacity of one pool that is allocated to no job until ``release``."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        # worker, mask, cores, memory in GB
        self._withheld: list[tuple[TargetId, int, int, int]] = []

    def __bool__(self) -> bool:
        return bool(self._withheld)

    def add(self, worker_masks: WorkerMasks, shape: GangShape | None) -> None:
        """Withhold the free accelerators in worker masks.

        :param shape: also withhold the cores and memory of its members, as far as available; None
            withholds accelerators only
        """
        pool = self._pool
        for worker, mask in worker_masks:
            if worker in pool.masks:
                cores = min(shape.cores, max(0, pool.cores[worker])) if shape else 0
                memory_gb = min(shape.memory_gb, max(0, pool.memory_gb[worker])) if shape else 0
                free_mask = pool.masks[worker] & mask
                pool.allocate(worker, free_mask, cores, memory_gb)
                self._withheld.append((worker, free_mask, cores, memory_gb))

    def release(self) -> None:
        """Release all withheld capacity."""
        for withheld in self._withheld:
            self._pool.release(*withheld)
        self._withheld.clear()
