"""Estimate of an executor's clock, and the lease that its agent grants."""

from chicorycrank.batch.leases import MAX_CLOCK_DRIFT
from chicorycrank.ports.clock import Clock

# The lease of an executor that has not responded for this long is not extended, so that a crash can
# be distinguished from a pause once the lease has expired.
MAX_READING_AGE_S = 2.5
# An executor has crashed if its address refuses connections for this long.
REFUSED_TIMEOUT_S = 1.0


class ExecutorClock:
    """Estimate of one executor's clock and of the expiry of its lease.

    :param lease_s: lease granted with each call, in seconds
    :ivar failed_since: monotonic time of the first failed call after the last response; None after
        a response
    """

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s
        self._clock_ms = 0
        self._read_at = float("-inf")
        self._lease_expires_at = float("inf")
        self._refused_since: float | None = None
        self.failed_since: float | None = None

    def reset(self) -> None:
        """Discard the lease, as a new incarnation of the executor has none."""
        self._lease_expires_at = float("inf")
        self._refused_since = None
        self.failed_since = None

    def record_reading(self, clock_ms: int) -> None:
        """Record the executor's clock from a response."""
        self._clock_ms, self._read_at = clock_ms, self._clock.monotonic()
        self._refused_since = None
        self.failed_since = None

    def deadline_ms(self) -> int | None:
        """Return the end of a new lease on the executor's clock; None if it is unresponsive."""
        age_s = self._clock.monotonic() - self._read_at
        if age_s > MAX_READING_AGE_S:
            return None
        longest_s = self._lease_s * (1 + MAX_CLOCK_DRIFT) + 2 * MAX_CLOCK_DRIFT * age_s
        self._lease_expires_at = self._clock.monotonic() + longest_s
        return round(self._clock_ms + (age_s + self._lease_s) * 1000)

    def record_failed_call(self, *, is_refused: bool) -> bool:
        """Record a call without a response; return true if nothing can be running there.

        :param is_refused: the executor's address refused the connection
        """
        now_s = self._clock.monotonic()
        if self.failed_since is None:
            self.failed_since = now_s
        if not is_refused:
            self._refused_since = None
        elif self._refused_since is None:
            self._refused_since = now_s
        is_down = (
            self._refused_since is not None and now_s - self._refused_since >= REFUSED_TIMEOUT_S
        )
        return is_down or now_s > self._lease_expires_at
