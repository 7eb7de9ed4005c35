"""Reservations of late urgent jobs, from which no other job takes capacity until they start.

Load that it answers: single-accelerator tasks that end and start all the time, so that no whole
worker or rack becomes free for an urgent gang for which nothing may be evicted any more.
"""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from chicorycrank.model.ids import JobId, TargetId
from chicorycrank.model.jobs import GangShape
from chicorycrank.policy.cell import Cell, QueuedJob, Reservation
from chicorycrank.policy.withheld_capacity import WithheldCapacity

# Each of them keeps accelerators idle until the last one is free, so there are few at a time.
MAX_STANDING_RESERVATIONS = 2


class StandingReservations:
    """Standing reservations of a cell during one decision pass."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._reservation_by_id: dict[JobId, Reservation] = {}
        self._shape_by_id: dict[JobId, GangShape] = {}
        self._withheld_by_id: dict[JobId, tuple[WithheldCapacity, WithheldCapacity]] = {}

    def withhold_earlier(self, queue: Sequence[QueuedJob]) -> None:
        """Withhold the reservations that late urgent jobs of a queue got in earlier passes."""
        for job in queue:
            reservation = self._cell.reservations_by_id.get(job.job_id)
            if job.is_late_urgent and reservation is not None and self.has_room:
                self.withhold(reservation, job.shape)

    @property
    def has_room(self) -> bool:
        """Whether another job may get a standing reservation."""
        return len(self._reservation_by_id) < MAX_STANDING_RESERVATIONS

    def holds(self, job_id: JobId) -> bool:
        """Return whether a job has a standing reservation."""
        return job_id in self._reservation_by_id

    def reservations(self) -> list[Reservation]:
        """Return the standing reservations."""
        return list(self._reservation_by_id.values())

    def withhold(self, reservation: Reservation, shape: GangShape) -> None:
        """Keep other jobs from starting on reserved accelerators and from evicting work there."""
        withheld = WithheldCapacity(self._cell.free), WithheldCapacity(self._cell.reclaimable)
        for capacity in withheld:
            capacity.add(reservation.worker_masks, shape)
        self._reservation_by_id[reservation.job_id] = reservation
        self._shape_by_id[reservation.job_id] = shape
        self._withheld_by_id[reservation.job_id] = withheld

    def release(self, job_id: JobId) -> None:
        """End the reservation of a job, so that it may use the accelerators itself."""
        if self._reservation_by_id.pop(job_id, None) is not None:
            for capacity in self._withheld_by_id.pop(job_id):
                capacity.release()

    def release_all(self) -> None:
        """End all reservations."""
        for job_id in list(self._reservation_by_id):
            self.release(job_id)

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Release all reserved capacity for a while; what is then still free is reserved again."""
        reservations = self.reservations()
        self.release_all()
        try:
            yield
        finally:
            for reservation in reservations:
                self.withhold(reservation, self._shape_by_id[reservation.job_id])

    def mask(self, worker: TargetId) -> int:
        """Return the reserved accelerators of a worker."""
        return self.masks().get(worker, 0)

    def masks(self) -> dict[TargetId, int]:
        """Return the reserved accelerators by worker."""
        masks: dict[TargetId, int] = {}
        for reservation in self._reservation_by_id.values():
            for worker, mask in reservation.worker_masks:
                masks[worker] = masks.get(worker, 0) | mask
        return masks
