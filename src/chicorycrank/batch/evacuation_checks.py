"""Checks of an agent that the zone of its worker is not evacuated, before it starts a run.

A zone is evacuated while the operator's key for it exists. The leader gives its workers no runs
then, but an order may have been written before, or by a leader that does not know of the key yet.
"""

import logging

from chicorycrank.batch.run import Run
from chicorycrank.batch.runs import RunTable
from chicorycrank.batch.threads import make_lock
from chicorycrank.model.batch import EndKind
from chicorycrank.model.ids import ZoneId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import TransactionalStore

NO_ZONE = ZoneId("")
# Detail of the ends of runs that are rejected as their zone is evacuated.
ZONE_EVACUATED = "zone evacuated"
# Time in seconds from the acknowledgement of an evacuation after which nothing may start.
DEFAULT_EVACUATE_S = 5.0
# A start call is sent at most this long after the store has shown that the zone is not evacuated.
MAX_CHECK_AGE_S = 1.0
# Share of the time until nothing may start that a check may be old. The rest is for the call.
MAX_CHECK_AGE_SHARE = 0.2
READ_TIMEOUT_S = 0.5

logger = logging.getLogger("absl")


class EvacuationChecks:
    """Last answer of the store on whether a zone is evacuated.

    A worker has one zone, so one check serves all its runs.

    :param prefix: prefix of the operator's keys, each of which ends with the name of a zone; empty
        if there are no evacuations
    :param evacuate_s: time in seconds from the acknowledgement of an evacuation after which nothing
        may start
    """

    def __init__(
        self,
        store: TransactionalStore,
        clock: Clock,
        prefix: str,
        evacuate_s: float = DEFAULT_EVACUATE_S,
    ) -> None:
        self._store = store
        self._clock = clock
        self._prefix = prefix
        self._max_age_s = min(MAX_CHECK_AGE_S, MAX_CHECK_AGE_SHARE * evacuate_s)
        self._lock = make_lock()
        self._reading = make_lock()
        self._zone = NO_ZONE
        self._absent_at = float("-inf")
        self._present_at = float("-inf")

    def key_of(self, zone: ZoneId) -> str:
        """Return the key that exists while a zone is evacuated; empty if there is none."""
        return self._prefix + zone if self._prefix and zone else ""

    def record_absent(self, zone: ZoneId, sent_at: float) -> None:
        """Record that a call has shown that a zone is not evacuated.

        :param sent_at: monotonic time at which the call was sent
        """
        with self._lock:
            self._select(zone)
            self._absent_at = max(self._absent_at, sent_at)

    def is_due(self, zone: ZoneId) -> bool:
        """Return whether a start in a zone needs a check first."""
        if not self.key_of(zone):
            return False
        with self._lock:
            self._select(zone)
            return not self._is_fresh(self._absent_at)

    def is_evacuated(self, zone: ZoneId) -> bool:
        """Return whether a zone is evacuated; read its key unless a recent answer is known.

        :raises StoreUnavailableError: the store did not respond
        """
        # The runs that wait for the same answer cost one read.
        with self._reading:
            with self._lock:
                self._select(zone)
                if self._is_fresh(max(self._absent_at, self._present_at)):
                    return self._present_at >= self._absent_at
            sent_at = self._clock.monotonic()
            if self._store.read(self.key_of(zone), timeout_s=READ_TIMEOUT_S) is None:
                self.record_absent(zone, sent_at)
                return False
            with self._lock:
                self._select(zone)
                self._present_at = sent_at
            return True

    def _select(self, zone: ZoneId) -> None:
        """Discard the answers on another zone; the caller holds the lock."""
        if zone != self._zone:
            self._zone = zone
            self._absent_at = self._present_at = float("-inf")

    def _is_fresh(self, answered_at: float) -> bool:
        return self._clock.monotonic() - answered_at < self._max_age_s


def reject_unaccepted(table: RunTable, zone: ZoneId) -> None:
    """End the runs that are not accepted, as their zone is evacuated."""
    for run in table.tracked_runs():
        if not run.is_accepted:
            log_rejection(run, zone)
            table.end_run(run, EndKind.REJECTED, "", ZONE_EVACUATED)


def log_rejection(run: Run, zone: ZoneId) -> None:
    """Log that a run is rejected as its zone is evacuated."""
    logger.info(
        "event=run_evacuated task=%s run=%d zone=%s how=rejected accepted=%s",
        run.assignment.task,
        run.assignment.run,
        zone,
        run.is_accepted,
    )
