"""Checks of an agent that a job is not cancelled, before it starts a run of the job.

A leader withdraws the runs of a cancelled job by an order. While there is no leader, or the order
does not arrive, only the store shows the cancellation.
"""

from collections.abc import Iterable

from chicorycrank.batch.keys import cancel_key
from chicorycrank.batch.threads import make_lock
from chicorycrank.model.ids import JobId
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import TransactionalStore

# A start call is sent at most this long after the store has shown that the job is not cancelled.
# With the time of the call, it stays below the shortest limit for starts of cancelled jobs, 3 s.
MAX_CHECK_AGE_S = 1.0
READ_TIMEOUT_S = 0.5


class CancellationChecks:
    """Times at which the store has shown that jobs are not cancelled."""

    def __init__(self, store: TransactionalStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lock = make_lock()
        self._checked_at_by_job: dict[JobId, float] = {}

    def record_absent(self, jobs: Iterable[JobId], sent_at: float) -> None:
        """Record that a call has shown that these jobs are not cancelled.

        :param sent_at: monotonic time at which the call was sent
        """
        oldest = self._clock.monotonic() - MAX_CHECK_AGE_S
        with self._lock:
            self._checked_at_by_job = {
                job_id: checked_at
                for job_id, checked_at in self._checked_at_by_job.items()
                if checked_at > oldest
            }
            self._checked_at_by_job.update(dict.fromkeys(jobs, sent_at))

    def is_due(self, job_id: JobId) -> bool:
        """Return whether a start of the job needs a check first."""
        with self._lock:
            checked_at = self._checked_at_by_job.get(job_id, float("-inf"))
        return self._clock.monotonic() - checked_at >= MAX_CHECK_AGE_S

    def is_cancelled(self, job_id: JobId) -> bool:
        """Read whether a job is cancelled.

        :raises StoreUnavailableError: the store did not respond
        """
        sent_at = self._clock.monotonic()
        if self._store.read(cancel_key(job_id), timeout_s=READ_TIMEOUT_S) is not None:
            return True
        self.record_absent([job_id], sent_at)
        return False
