"""Sizes of the orders of the workers, and the room that is left in them."""

from collections import Counter
from collections.abc import Callable, Collection

from chicorycrank.batch.orders import (
    FULL_ORDER_BYTES,
    MAX_JOBS_STARTED_PER_ORDER,
    MAX_ORDER_BYTES,
    MAX_RUNS_PER_ORDER,
    MIN_BYTES_OF_JOB,
    MIN_RUNS_OF_JOB,
)
from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.policy.decide import MAX_DECISIONS


class OrderSizes:
    """Sizes of orders as sums, so that their cost does not grow with the runs of a worker.

    :param find_starting_jobs: returns the jobs that the next order of a worker may start
    """

    def __init__(self, find_starting_jobs: Callable[[TargetId], Collection[JobId]]) -> None:
        self._find_starting_jobs = find_starting_jobs
        self._runs_by_worker: Counter[TargetId] = Counter()
        self._bytes_by_worker: Counter[TargetId] = Counter()
        # As far as this plan has asked for them.
        self._starting_jobs_by_worker: dict[TargetId, set[JobId]] = {}

    def begin_plan(self) -> None:
        """Forget which jobs the next orders start, as agents may have accepted runs since."""
        self._starting_jobs_by_worker.clear()

    def add_run(self, worker: TargetId, job_id: JobId, size: int) -> None:
        """Add a run to the order of a worker.

        :param size: largest size of its assignment in bytes
        """
        self._runs_by_worker[worker] += 1
        self._bytes_by_worker[worker] += size
        if worker in self._starting_jobs_by_worker:
            self._starting_jobs_by_worker[worker].add(job_id)

    def remove_run(self, worker: TargetId, size: int) -> None:
        """Remove a run from the order of a worker.

        :param size: largest size of its assignment in bytes
        """
        self._runs_by_worker[worker] -= 1
        self._bytes_by_worker[worker] -= size

    def record_stop(self, worker: TargetId) -> None:
        """Record that a run in the order of a worker is stopped."""
        self._starting_jobs_by_worker.pop(worker, None)

    def full_workers(self) -> set[TargetId]:
        """Return the workers whose orders have no room for all that a pass may start."""
        return {worker for worker in self._runs_by_worker if self.is_full(worker)}

    def is_full(self, worker: TargetId) -> bool:
        """Return whether the order of a worker has no room for all that a pass may start."""
        return (
            self._runs_by_worker[worker] >= MAX_RUNS_PER_ORDER
            or self._bytes_by_worker[worker] >= FULL_ORDER_BYTES
            or len(self._starting_jobs(worker)) > MAX_JOBS_STARTED_PER_ORDER - MAX_DECISIONS
        )

    def has_room(self, worker: TargetId, job_id: JobId, size: int) -> bool:
        """Return whether an order may start runs of a job.

        :param size: size of their assignments in bytes
        """
        started_jobs = {*self._starting_jobs(worker), job_id}
        return (
            len(started_jobs) <= MAX_JOBS_STARTED_PER_ORDER
            and self._bytes_by_worker[worker] + size <= MAX_ORDER_BYTES
        )

    def fits(self, worker: TargetId, added: int) -> bool:
        """Return whether an order may change its size by an amount in bytes."""
        return self._bytes_by_worker[worker] + added <= MAX_ORDER_BYTES

    def has_its_part(self, worker: TargetId, runs: int, size: int) -> bool:
        """Return whether a job has as much of an order as is left free.

        The oldest job takes each place that becomes free, so the others find room only in what it
        may not use. Of n such jobs each gets one part in n + 1, and one part stays free.

        :param runs: runs of the job on the worker
        :param size: size of their assignments in bytes
        """
        if runs <= MIN_RUNS_OF_JOB and size <= MIN_BYTES_OF_JOB:
            return False
        return (
            runs >= MAX_RUNS_PER_ORDER - self._runs_by_worker[worker]
            or size >= FULL_ORDER_BYTES - self._bytes_by_worker[worker]
        )

    def _starting_jobs(self, worker: TargetId) -> set[JobId]:
        if worker not in self._starting_jobs_by_worker:
            self._starting_jobs_by_worker[worker] = set(self._find_starting_jobs(worker))
        return self._starting_jobs_by_worker[worker]
