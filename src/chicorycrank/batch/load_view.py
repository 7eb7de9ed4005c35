"""An entry's view of the load summary, with the time at which it was received."""

import logging
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from chicorycrank.batch.keys import LOAD_KEY, decode
from chicorycrank.model.load import LoadSummary
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.transactions import Item

# A leader under load refreshes the summary every 3 s. After this time the leader has stopped, is
# being replaced or does not reach the store, and the load may have changed by anything.
MAX_AGE_S = 5.0

logger = logging.getLogger("absl")


@dataclass(frozen=True, slots=True)
class ReceivedSummary:
    """Load summary with the monotonic time in seconds of its receipt."""

    summary: LoadSummary
    received_at: float


class LoadView:
    """View of the load summary; one thread at a time applies changes, any thread reads it.

    :ivar has_record: whether the store has a summary, even if it is old or unreadable
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._received: ReceivedSummary | None = None
        self.has_record = False

    def apply(self, items: Sequence[Item]) -> None:
        """Apply changes of the store, in the order of their revisions."""
        for item in items:
            if item.key == LOAD_KEY:
                self.has_record = item.value is not None
                self._received = None if item.value is None else self._read(item.value)

    def current(self) -> ReceivedSummary | None:
        """Return the summary if there is a readable one that is recent enough."""
        received = self._received
        if received is None:
            return None
        age_s = self._clock.monotonic() - received.received_at
        return received if age_s <= MAX_AGE_S else None

    def _read(self, value: bytes) -> ReceivedSummary | None:
        try:
            summary = decode(value, LoadSummary)
        except msgspec.DecodeError as error:
            logger.warning("event=load_summary_unreadable error=%s", error)
            return None
        return ReceivedSummary(summary, self._clock.monotonic())
