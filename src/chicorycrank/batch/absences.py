"""Which absent workers can run nothing any more."""

import logging

from chicorycrank.batch.workers import Workers
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.machines import MachineList, MachinesUnavailableError

# The clock of an executor on a suspended machine stands still, so its lease does not end. A machine
# that is up and has been absent for so long is taken for one that lost its agent.
SUSPENSION_LIMIT_S = 45.0
LOOK_INTERVAL_S = 2.0  # readings of the list are counted and paid for

logger = logging.getLogger("absl")


class Absences:
    """Looks for absent workers in the list of machines before their work is given away.

    :param lost_after_s: time after which the leases of an absent worker have ended, unless its
        machine is suspended
    """

    def __init__(self, machines: MachineList, lost_after_s: float) -> None:
        self._machines = machines
        self._lost_after_s = lost_after_s
        self._looked_at = float("-inf")
        self._running: frozenset[str] = frozenset()

    def find_lost(self, workers: Workers, busy: set[TargetId]) -> list[TargetId]:
        """Return the absent workers whose work may be given to others.

        :param busy: workers that hold work
        """
        now = workers.now_s
        absent = {
            name: now - known.absent_since
            for name, known in workers.by_id.items()
            if name in busy and known.absent_since is not None
        }
        late = [name for name, absent_s in absent.items() if absent_s >= self._lost_after_s]
        if late and now - self._looked_at >= LOOK_INTERVAL_S:
            self._looked_at = now
            self._look()
        lost = []
        for name in late:
            is_up = workers.by_id[name].report.executor in self._running
            if not is_up or absent[name] >= SUSPENSION_LIMIT_S:
                logger.warning(
                    "event=worker_lost target=%s absent_s=%.1f listed=%s", name, absent[name], is_up
                )
                lost.append(name)
        return lost

    def _look(self) -> None:
        try:
            self._running = self._machines.running_executors()
        except MachinesUnavailableError as error:
            logger.warning("event=machines_unavailable error=%s", error)
