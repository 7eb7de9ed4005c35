"""Interface of the executor that runs batch tasks on the same machine as its agent."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from chicorycrank.model.batch import TaskEnd
from chicorycrank.model.ids import Incarnation, TaskId


class ExecutorUnreachableError(Exception):
    """The executor gave no usable answer; the call may still take effect later.

    :param refused: the connection was refused, so the executor is not running
    :param timed_out: nothing came back, so the call may not have reached the executor
    """

    def __init__(self, text: str, *, refused: bool = False, timed_out: bool = False) -> None:
        super().__init__(text)
        self.refused = refused
        self.timed_out = timed_out


class OtherIncarnationError(Exception):
    """Another incarnation of the executor answered; the call had no effect."""


class StartAnswer(Enum):
    """Answer of an executor to a :class:`StartOrder`."""

    STARTED = "started"
    FENCED = "fenced"  # The executor has received a higher fencing token.
    OUTDATED = "outdated"  # This run or a later one has already ended or been stopped.
    LATE = "late"  # The lease in the order had expired when the order arrived.
    NO_ROOM = "no-room"  # The executor lacks free capacity for the task.
    NO_TICKET = "no-ticket"  # The order lacks a valid ticket of the advice service.
    INVALID = "invalid"  # The order is malformed or was refused for an unknown reason.
    UNHEALTHY = "unhealthy"  # The executor is unhealthy and has done nothing.
    ERROR = "error"  # The executor failed; it is not known whether it has started the run.


@dataclass(frozen=True, kw_only=True)
class StartOrder:
    """Order to start a run, which is one attempt of a task.

    :param run: number of the attempt, from 1
    :param payload: opaque text that is passed to the task
    :param checkpoint: checkpoint to resume from; empty to start from the beginning
    :param ticket: permission issued by the advice service; empty if none is needed
    :param deadline_ms: expiry of the lease as a time in milliseconds on the executor's clock
    :param fence: fencing token of the agent
    """

    task: TaskId
    run: int
    payload: str
    checkpoint: str
    ticket: str
    deadline_ms: int
    fence: int
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run in progress on an executor.

    :param percent: progress from 0 to 100; for a long-running task, its speed in percent
    :param load: tail latency in milliseconds if the task serves users, otherwise cores in use
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: float


@dataclass(frozen=True, slots=True)
class NumberedEnd:
    """Record of an ended run, with its sequence number in the executor's list."""

    number: int
    end: TaskEnd


@dataclass(frozen=True, kw_only=True)
class ExecutorStatus:
    """Running tasks of an executor, and the ends that its agent has not acknowledged.

    :param clock_ms: reading of the executor's clock in milliseconds
    :param has_all_ends: no end is missing because the list has a limit
    """

    incarnation: Incarnation
    clock_ms: int
    running: Sequence[RunningTask]
    ends: Sequence[NumberedEnd]
    has_all_ends: bool = True


class BatchExecutor(Protocol):
    """Client of an executor.

    :raises ExecutorUnreachableError: from every method
    :raises OtherIncarnationError: from every method
    """

    def start(self, order: StartOrder) -> StartAnswer:
        """Start a run; starting a run that is already running succeeds."""

    def stop(self, task: TaskId, run: int, fence: int, incarnation: Incarnation) -> bool:
        """Stop a run and reject its start if that arrives later.

        :returns: false if the executor has received a higher fencing token
        """

    def set_pace(
        self, task: TaskId, run: int, percent: int, fence: int, incarnation: Incarnation
    ) -> bool:
        """Set the speed of a task in percent of its full speed.

        :returns: false if the executor refused the call, for example because it has received a
            higher fencing token
        """

    def extend_lease(
        self,
        *,
        fence: int,
        last_acknowledged_end: int,
        deadline_ms: int | None,
        wait_s: float,
        incarnation: Incarnation,
    ) -> ExecutorStatus:
        """Extend the lease of all running tasks and return the status of the executor.

        :param fence: fencing token of the agent
        :param last_acknowledged_end: number of an end; the executor discards the ends up to it
        :param deadline_ms: expiry of the lease as a time in milliseconds on the executor's clock;
            None leaves it unchanged
        :param wait_s: time limit in seconds of the wait for an end after ``last_acknowledged_end``
        :raises PermissionError: the executor has received a higher fencing token
        """
