"""An executor's clock as its agent estimates it, and the lease that the agent gives."""

from chicorycrank.batch.leases import MAX_CLOCK_DRIFT
from chicorycrank.ports.clock import Clock

# A silent executor is given no longer lease, so that its end can be told from a pause.
MAX_READING_AGE_S = 2.5
# An executor at whose address nothing listens for so long has crashed.
REFUSED_TIMEOUT_S = 1.0


class ExecutorClock:
    """Reads of one executor's clock, and what follows for its lease.

    :param lease_s: lease given with each call, in seconds
    """

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._clock_ms = 0
        self._read_at = float("-inf")
        self._lease_expires_at = float("inf")
        self._refused_since: float | None = None

    def reset(self) -> None:
        """Forget the lease, as a new life of the executor has none."""
        self._lease_expires_at = float("inf")
        self._refused_since = None

    def record_reading(self, clock_ms: int) -> None:
        """Note an answer of the executor with its clock."""
        self._clock_ms, self._read_at = clock_ms, self._clock.monotonic()
        self._refused_since = None

    def deadline_ms(self) -> int | None:
        """Return the end of a new lease on the executor's clock; None while it is silent."""
        age_s = self._clock.monotonic() - self._read_at
        if age_s > MAX_READING_AGE_S:
            return None
        longest_s = self._lease_s * (1 + MAX_CLOCK_DRIFT) + 2 * MAX_CLOCK_DRIFT * age_s
        self._lease_expires_at = self._clock.monotonic() + longest_s
        return round(self._clock_ms + (age_s + self._lease_s) * 1000)

    def record_failed_call(self, *, refused: bool) -> bool:
        """Note a call without an answer; true if nothing can be running there any more.

        :param refused: nothing listens at the executor's address
        """
        now = self._clock.monotonic()
        if not refused:
            self._refused_since = None
        elif self._refused_since is None:
            self._refused_since = now
        is_down = self._refused_since is not None and now - self._refused_since >= REFUSED_TIMEOUT_S
        return is_down or now > self._lease_expires_at
