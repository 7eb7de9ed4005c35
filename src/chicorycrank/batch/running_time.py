"""Time during which this process has run, without its own pauses and those of the machine."""

import logging

from chicorycrank.batch.threads import Event
from chicorycrank.ports.clock import Clock

TICK_INTERVAL_S = 0.1
# A tick that comes this much late is logged as a pause.
MIN_LOGGED_PAUSE_S = 1.0

logger = logging.getLogger("absl")


class RunningTime:
    """Counter of the time in which the process certainly ran.

    It counts at most one interval for each tick, so it is late after a pause and never early by
    more than one interval for each pause.

    :param clock: clock that also counts suspensions of the machine
    :ivar seconds: counted time in seconds
    """

    def __init__(self, clock: Clock, stop: Event) -> None:
        self._clock = clock
        self._stop = stop
        self._ticked_at = clock.monotonic()
        self.seconds = 0.0

    def keep(self) -> None:
        """Count until the process stops."""
        self._ticked_at = self._clock.monotonic()
        while not self._stop.wait(TICK_INTERVAL_S):
            self.tick()

    def tick(self) -> None:
        """Count the time since the last tick, at most one interval."""
        now_s = self._clock.monotonic()
        elapsed_s, self._ticked_at = now_s - self._ticked_at, now_s
        self.seconds += min(elapsed_s, TICK_INTERVAL_S)
        if elapsed_s - TICK_INTERVAL_S >= MIN_LOGGED_PAUSE_S:
            logger.warning(
                "event=process_paused paused_s=%.1f counted_s=%.1f", elapsed_s, self.seconds
            )
