"""Interface of the executor that runs batch tasks beside an agent."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from chicorycrank.model.batch import TaskEnd
from chicorycrank.model.ids import Incarnation, TaskId


class ExecutorUnreachableError(Exception):
    """The executor gave no usable answer; an order may still be carried out later.

    :param refused: nothing listens at its address, so the executor does not run
    """

    def __init__(self, text: str, *, refused: bool = False) -> None:
        super().__init__(text)
        self.refused = refused


class OtherIncarnationError(Exception):
    """Another life of the executor answered; it has done nothing."""


class StartAnswer(Enum):
    """Answer of an executor to a start."""

    STARTED = "started"
    FENCED = "fenced"
    OUTDATED = "outdated"  # this or a later run has ended or was stopped there
    LATE = "late"
    NO_ROOM = "no-room"
    NO_TICKET = "no-ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


@dataclass(frozen=True, kw_only=True)
class StartOrder:
    """A run to start.

    :param deadline_ms: end of the lease on the executor's clock
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
    """A run that an executor holds.

    :param percent: work that is done, 0 to 100; of a long-running task the speed at which it works
    :param load: tail latency in milliseconds if it serves users, otherwise cores in use
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    load: float


@dataclass(frozen=True, slots=True)
class NumberedEnd:
    """An end in the order in which the executor listed it."""

    number: int
    end: TaskEnd


@dataclass(frozen=True, kw_only=True)
class ExecutorStatus:
    """What runs on an executor and what has ended since.

    :param clock_ms: the executor's own clock
    """

    incarnation: Incarnation
    clock_ms: int
    running: Sequence[RunningTask]
    ends: Sequence[NumberedEnd]


class BatchExecutor(Protocol):
    """Calls to the executor.

    All raise :class:`ExecutorUnreachableError` and :class:`OtherIncarnationError`.
    """

    def start(self, order: StartOrder) -> StartAnswer:
        """Start a run; starting a run that is there is a success."""

    def stop(self, task: TaskId, run: int, fence: int, incarnation: Incarnation) -> bool:
        """Stop a run, and reject it if it arrives later; false if the token is outdated."""

    def pace(
        self, task: TaskId, run: int, percent: int, fence: int, incarnation: Incarnation
    ) -> bool:
        """Let a task work at a share of its speed; false if that was refused."""

    def hold(
        self,
        *,
        fence: int,
        seen: int,
        deadline_ms: int | None,
        wait_s: float,
        incarnation: Incarnation,
    ) -> ExecutorStatus:
        """Extend the lease of all that runs, forget ends up to ``seen`` and list the rest.

        :param deadline_ms: end of the lease on the executor's clock; None leaves it as it is
        :param wait_s: how long to wait for an end that is not known yet
        :raises PermissionError: the fencing token is outdated
        """
