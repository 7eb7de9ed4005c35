"""Estimate of an executor's clock, and of the expiry of the leases that its agent granted."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

from chicorycrank.batch.leases import LOSS_MARGIN_S, MAX_CLOCK_DRIFT
from chicorycrank.batch.threads import make_lock
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.executor import ExecutorUnreachableError

# The lease of an executor that has not responded for this long is not extended, so that a crash can
# be distinguished from a pause once the lease has expired.
MAX_READING_AGE_S = 2.5
# An executor whose address refused connections for this long has crashed, unless it said that it
# would end.
REFUSED_TIMEOUT_S = 1.0
# The clock of an executor that is frozen may stand still while its agent runs. A frozen executor
# accepts connections and does not answer, so silence counts as its end only after this time.
FROZEN_EXECUTOR_LIMIT_S = 45.0


class ExecutorClock:
    """Estimate of one executor's clock and of the expiry of its lease.

    A lease ends at a time on the executor's clock. How long that takes is measured in time in which
    the agent itself ran, as a pause of the machine also stops the executor's clock.

    :param running_s: returns the time in seconds in which this process has run
    :param lease_s: lease granted with each call, in seconds
    :param max_lease_s: longest lease that the executor grants, in seconds
    :ivar down_since: monotonic time of the first call after the last response that was refused, or
        that another incarnation answered; None after a response
    :ivar failed_since: monotonic time of the first failed call after the last response; None after
        a response
    """

    def __init__(
        self, clock: Clock, running_s: Callable[[], float], lease_s: float, max_lease_s: float
    ) -> None:
        self._clock = clock
        self._running_s = running_s
        self._lease_s = lease_s
        self._max_lease_s = max_lease_s
        self._grants_lock = make_lock()
        self.reset()

    def reset(self) -> None:
        """Forget everything, as another incarnation of the executor answers."""
        self._clock_ms = 0
        self._read_at = float("-inf")
        self._read_at_running_s = 0.0
        self._asked_at = float("-inf")
        self._asked_at_running_s = 0.0
        self._last_deadline_ms: int | None = None
        self._lease_assumed_at_running_s: float | None = None
        self._deadlines_in_flight: list[int] = []
        self._has_unanswered_calls = False
        self._refused_since_running_s: float | None = None
        self._failed_since_running_s: float | None = None
        self.failed_since: float | None = None
        self.down_since: float | None = None

    def assume_longest_lease(self) -> None:
        """Assume that an earlier process of the agent has granted the longest lease just now."""
        self.reset()
        self._lease_assumed_at_running_s = self._running_s()

    def record_reading(self, clock_ms: int) -> None:
        """Record the executor's clock from a heartbeat."""
        self._clock_ms = clock_ms
        self._read_at = self._clock.monotonic()
        self._read_at_running_s = self._running_s()
        self._has_unanswered_calls = False
        if self._last_deadline_ms is None:
            # A call of an earlier process of the agent, or one that was meant for an earlier
            # incarnation with another clock, may have granted any lease.
            self._last_deadline_ms = clock_ms + round(self._max_lease_s * 1000)

    def record_response(self, clock_ms: int, asked_at: float, asked_at_running_s: float) -> None:
        """Record the executor's clock from a response, which ends a series of failed calls.

        :param asked_at: monotonic time at which the call was sent
        :param asked_at_running_s: running time at which the call was sent
        """
        self.record_reading(clock_ms)
        self._asked_at, self._asked_at_running_s = asked_at, asked_at_running_s
        self._refused_since_running_s = self._failed_since_running_s = None
        self.failed_since = self.down_since = None

    def deadline_ms(self) -> int | None:
        """Return the end of a new lease on the executor's clock; None if it is unresponsive."""
        if not self.is_responsive:
            return None
        age_s = self._running_s() - self._read_at_running_s
        return round(self._clock_ms + (age_s + self._lease_s) * 1000)

    @property
    def is_responsive(self) -> bool:
        """Whether the executor has responded a short time ago."""
        return self._clock.monotonic() - self._read_at <= MAX_READING_AGE_S

    @contextmanager
    def granting(self, deadline_ms: int | None) -> Iterator[None]:
        """Record a call that grants a lease; a call that was refused grants none.

        :param deadline_ms: end of the lease on the executor's clock; None for a call without one
        """
        if deadline_ms is None:
            yield
            return
        with self._grants_lock:
            self._deadlines_in_flight.append(deadline_ms)
        was_sent = True
        try:
            yield
        except ExecutorUnreachableError as error:
            was_sent = not error.refused
            raise
        finally:
            with self._grants_lock:
                # A reset may have removed it.
                if deadline_ms in self._deadlines_in_flight:
                    self._deadlines_in_flight.remove(deadline_ms)
                    if was_sent:
                        self._last_deadline_ms = max(self._last_deadline_ms or 0, deadline_ms)

    def record_failed_call(self, sent_at_running_s: float, *, may_be_frozen: bool) -> bool:
        """Record a call without a response; return true if it proves that nothing runs there.

        :param sent_at_running_s: running time at which the call was sent
        :param may_be_frozen: the executor may have received the call; false if its address refused
            the connection or another incarnation answered
        """
        now_s = self._running_s()
        if self.failed_since is None:
            self.failed_since = self._clock.monotonic()
        if self._failed_since_running_s is None:
            self._failed_since_running_s = now_s
        if may_be_frozen:
            self._has_unanswered_calls = True
            self._refused_since_running_s = None
        elif self._refused_since_running_s is None:
            self._refused_since_running_s = now_s
        if not may_be_frozen and self.down_since is None:
            self.down_since = self._clock.monotonic()
        silent_s = now_s - self._failed_since_running_s
        is_excluded = not may_be_frozen or silent_s >= FROZEN_EXECUTOR_LIMIT_S
        return is_excluded and sent_at_running_s > self._lease_expires_at_running_s()

    @property
    def is_refusing(self) -> bool:
        """Whether the executor's address has refused the last call."""
        return self._refused_since_running_s is not None

    @property
    def has_refused(self) -> bool:
        """Whether the executor's address has refused connections for a while until now."""
        since_s = self._refused_since_running_s
        return since_s is not None and self._running_s() - since_s >= REFUSED_TIMEOUT_S

    @property
    def has_slept(self) -> bool:
        """Whether this process paused for long between the last answered call and the first failed.

        It can't tell then whether the executor ended before the runs that it had. The answer may
        have come before the pause, so the time counts from the call.
        """
        failed_at, failed_at_running_s = self.failed_since, self._failed_since_running_s
        if failed_at is None or failed_at_running_s is None:
            failed_at, failed_at_running_s = self._clock.monotonic(), self._running_s()
        elapsed_s = failed_at - self._asked_at
        return elapsed_s - (failed_at_running_s - self._asked_at_running_s) > MAX_READING_AGE_S

    def longest_lease_left_s(self) -> float | None:
        """Return a time in seconds after which every lease has expired; None if none is known.

        It holds if no lease is granted any more and the executor's clock does not stand still.
        """
        deadline_ms = self._latest_deadline_ms()
        if deadline_ms is None:
            return None
        # A call whose lease was computed a moment ago may not be among the known ones yet.
        return _expiry_s(0.0, max(self._lease_s, (deadline_ms - self._clock_ms) / 1000))

    def _latest_deadline_ms(self) -> int | None:
        if self._last_deadline_ms is None:
            return None
        with self._grants_lock:
            return max([self._last_deadline_ms, *self._deadlines_in_flight])

    def _lease_expires_at_running_s(self) -> float:
        """Return the running time after which every lease has expired."""
        deadline_ms = self._latest_deadline_ms()
        if deadline_ms is None:
            return self._assumed_lease_expires_at_running_s()
        remaining_s = max(0, deadline_ms - self._clock_ms) / 1000
        counted_from = self._read_at_running_s
        if self._has_unanswered_calls and self._refused_since_running_s is not None:
            # The executor's clock may have stood still until its address refused a call.
            counted_from = self._refused_since_running_s
        return _expiry_s(counted_from, remaining_s)

    def _assumed_lease_expires_at_running_s(self) -> float:
        counted_from = self._lease_assumed_at_running_s
        if counted_from is None:
            return float("inf")
        if self._refused_since_running_s is not None:
            # The executor's clock may have stood still until its address refused a call.
            counted_from = self._refused_since_running_s
        return _expiry_s(counted_from, self._max_lease_s)


def _expiry_s(counted_from_s: float, lease_s: float) -> float:
    """Return the running time after which a lease has expired on the slowest clock."""
    return counted_from_s + lease_s * (1 + MAX_CLOCK_DRIFT) + LOSS_MARGIN_S
