"""Interface of the platform's list of machines."""

from typing import Protocol


class MachinesUnavailableError(Exception):
    """The list of machines cannot be read."""


class MachineList(Protocol):
    """List of the machines on which executors run."""

    def running_executors(self) -> frozenset[str]:
        """Return the ids of the executors whose machines are running.

        :raises MachinesUnavailableError: no usable answer arrived
        """
