"""Interface of the advice service, which selects the executors that may run a step."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


class AdviceUnavailableError(Exception):
    """The advice service gave no usable answer."""


@dataclass(frozen=True, slots=True)
class AllowedExecutors:
    """Executors that may run a step.

    :param ticket_by_executor: permission to start the step on an executor, sent with the start
    :param validity_s: time in seconds for which the tickets are valid
    """

    ticket_by_executor: Mapping[str, str]
    validity_s: float


class AdviceService(Protocol):
    """Client of the advice service."""

    def query_executors(
        self, step: str, executors: Sequence[str], *, timeout_s: float
    ) -> AllowedExecutors:
        """Return those of ``executors`` that may run a step.

        :raises AdviceUnavailableError: no usable answer arrived in time
        """
