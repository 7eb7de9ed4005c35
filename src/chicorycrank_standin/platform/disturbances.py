"""Times at which programs, executors and the store of a soak are disturbed."""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

STORE = "store"


@dataclass(kw_only=True)
class Disturbance:
    """Disturbance of one program, one executor or the store.

    :param is_planned: the program was asked to stop
    :param ended_at: monotonic time; infinity while the disturbance lasts
    """

    name: str
    is_planned: bool
    started_at: float
    ended_at: float = float("inf")


@dataclass
class DisturbanceLog:
    """Disturbances, in the order of their starts.

    :param clock: returns the monotonic time in seconds
    """

    clock: Callable[[], float] = time.monotonic
    disturbances: list[Disturbance] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @contextmanager
    def lasting(self, *names: str, is_planned: bool = False) -> Iterator[None]:
        """Record a disturbance that lasts for the body of the ``with`` statement."""
        now = self.clock()
        entries = [Disturbance(name=n, is_planned=is_planned, started_at=now) for n in names]
        with self._lock:
            self.disturbances += entries
        try:
            yield
        finally:
            for entry in entries:
                entry.ended_at = self.clock()

    def is_calm(
        self, *names: str, since: float, until: float, ignores_planned: bool = False
    ) -> bool:
        """Return whether none of the names was disturbed within a time."""
        return not any(
            entry.started_at <= until and entry.ended_at >= since
            for entry in self._of(*names)
            if not (ignores_planned and entry.is_planned)
        )

    def calm_stretches(
        self, *names: str, since: float, until: float, contact_s: float
    ) -> list[tuple[float, float]]:
        """Return the times within a time in which none of the names counts as disturbed.

        :param contact_s: time in seconds after a disturbance that counts as disturbed as well
        """
        stretches = []
        calm_from = since
        for entry in sorted(self._of(*names), key=lambda entry: entry.started_at):
            if calm_from < min(entry.started_at, until):
                stretches.append((calm_from, min(entry.started_at, until)))
            calm_from = max(calm_from, entry.ended_at + contact_s)
        return [*stretches, (calm_from, until)] if calm_from < until else stretches

    def _of(self, *names: str) -> list[Disturbance]:
        with self._lock:
            return [entry for entry in self.disturbances if entry.name in names]
