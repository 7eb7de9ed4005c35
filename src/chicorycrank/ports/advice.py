"""Interface of the service that says which workers may run a step."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


class AdviceUnavailableError(Exception):
    """The service gave no usable answer."""


@dataclass(frozen=True, slots=True)
class Allowed:
    """Tickets by executor, and how long they hold in seconds."""

    ticket_by_executor: Mapping[str, str]
    validity_s: float


class AdviceService(Protocol):
    """Asks which of some executors may run a step."""

    def ask(self, step: str, executors: Sequence[str], *, timeout_s: float) -> Allowed:
        """Return the executors that may run a step.

        :raises AdviceUnavailableError: there is no answer
        """
