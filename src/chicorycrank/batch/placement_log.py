"""Log lines and metrics on the speed classes of the workers and on standing reservations."""

import logging

from chicorycrank.batch.metrics import SLOW_WORKERS, STANDING_RESERVATIONS
from chicorycrank.batch.planner_state import PlannerState
from chicorycrank.model.ids import JobId
from chicorycrank.policy.cell import Reservation
from chicorycrank.policy.standing_reservations import MAX_STANDING_RESERVATIONS

logger = logging.getLogger("absl")


class PlacementLog:
    """Writer of the log lines, which writes a line for each change."""

    def __init__(self) -> None:
        self._classes: tuple[tuple[float, int], ...] = ()
        self._reservation_by_id: dict[JobId, Reservation] = {}

    def update(self, planner: PlannerState) -> None:
        """Log what has changed since the last call."""
        self._log_classes(planner)
        self._log_reservations(planner)

    def _log_classes(self, planner: PlannerState) -> None:
        cell = planner.cell
        SLOW_WORKERS.set(len(cell.slow_workers))
        classes = tuple((item.speed, len(item.workers)) for item in cell.speed_classes)
        # The speeds vary all the time, so only changes of the numbers of workers are logged.
        if [count for _, count in classes] != [count for _, count in self._classes]:
            self._classes = classes
            logger.info(
                "event=speed_classes classes=%s slow=%d",
                ",".join(f"{speed:.2f}:{count}" for speed, count in classes),
                len(cell.slow_workers),
            )

    def _log_reservations(self, planner: PlannerState) -> None:
        standing = planner.cell.standing_by_id
        STANDING_RESERVATIONS.set(len(standing))
        for job_id in [*self._reservation_by_id]:
            if job_id not in standing:
                created_s = self._reservation_by_id.pop(job_id).created_s
                logger.info(
                    "event=urgent_reservation_ended unit=%s is_running=%s held_s=%.1f",
                    job_id,
                    job_id in planner.cell.running_by_id,
                    planner.now_s - created_s,
                )
        for job_id, reservation in standing.items():
            earlier = self._reservation_by_id.get(job_id)
            if earlier is None or earlier.created_s != reservation.created_s:
                self._reservation_by_id[job_id] = reservation
                logger.info(
                    "event=urgent_reservation unit=%s workers=%s expected_in_s=%.1f limit=%d",
                    job_id,
                    ",".join(worker for worker, _ in reservation.worker_masks),
                    reservation.expected_start_s - planner.now_s,
                    MAX_STANDING_RESERVATIONS,
                )
