"""Interface of the list of machines."""

from typing import Protocol


class MachinesUnavailableError(Exception):
    """The list gave no usable answer."""


class MachineList(Protocol):
    """Says which executors' machines are switched on."""

    def running_executors(self) -> frozenset[str]:
        """Return the ids of the executors whose machines are up.

        :raises MachinesUnavailableError: there is no answer
        """
