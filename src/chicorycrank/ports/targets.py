"""Interfaces of the targets that agents manage: executors and workers."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobSpec
from chicorycrank.model.messages import GangMember
from chicorycrank.model.requests import Answer, Request


class TargetError(Exception):
    """A call to the target failed."""


class TargetUnreachableError(TargetError):
    """The target refused the connection; it did not receive the call."""


class TargetTimeoutError(TargetError):
    """The target gave no complete answer; the call may have taken effect."""


class TargetRefusedError(TargetError):
    """The target answered with an error status; the call had no effect."""


class Executor(Protocol):
    """Executor that runs short requests."""

    async def run(self, request: Request) -> Answer:
        """Run a request and return its complete answer.

        :raises TargetUnreachableError: the request did not reach the executor
        :raises TargetTimeoutError: the request may have run
        """

    async def probe(self) -> bool:
        """Return whether the executor is healthy."""


class WorkerTaskState(Enum):
    """State of a task on its worker."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, kw_only=True)
class TaskLaunch:
    """Description of a task to launch.

    :param members: all members of the gang; stored with the task so that a restarted agent can
        adopt it
    :param progress_s: saved work in seconds from which the task continues
    """

    job_id: JobId
    attempt: int
    member: int
    accelerators: tuple[int, ...]
    spec: JobSpec
    members: tuple[GangMember, ...]
    progress_s: float
    lease: timedelta


@dataclass(frozen=True, kw_only=True)
class WorkerTask:
    """A task as the worker reports it.

    :param throttle: share of full speed: 0 while the task does no work, 1.0 at full speed
    :param progress_s: completed work in seconds; the worker reports it with a delay
    :param checkpoint_s: work in seconds that the last checkpoint has saved
    """

    task_id: str
    launch: TaskLaunch
    state: WorkerTaskState
    throttle: float
    progress_s: float
    checkpoint_s: float
    detail: str = ""


def task_id_of(launch: TaskLaunch) -> str:
    """Return the id of a task.

    The id is derived from the launch, so a caller whose reply was lost can query the task.
    """
    return f"{launch.job_id}.{launch.attempt}.{launch.member}"


class Worker(Protocol):
    """Worker that runs tasks under leases.

    :raises TargetError: from every method
    """

    async def start(self, launch: TaskLaunch) -> str:
        """Start a task with a throttle of 0; a repeated start returns the same id.

        :returns: the id that :func:`task_id_of` returns
        :raises TargetUnreachableError: the call did not reach the worker
        :raises TargetTimeoutError: the task may have started
        :raises TargetRefusedError: the worker lacks free capacity or cannot run the task
        """

    async def throttle(self, task_id: str, share: float) -> None:
        """Set a task's share of full speed: 0 stops its work, 1.0 is full speed."""

    async def renew(self, task_ids: tuple[str, ...], lease: timedelta) -> None:
        """Renew the leases of tasks; the worker stops a task whose lease expires."""

    async def checkpoint(self, task_id: str) -> float:
        """Save a checkpoint and return the saved work in seconds."""

    async def stop(self, task_id: str) -> None:
        """Stop a task; a task that has already stopped stays as it is."""

    async def tasks(self) -> tuple[WorkerTask, ...]:
        """Return the tasks of the worker; ended tasks are included until :meth:`discard_task`."""

    async def discard_task(self, task_id: str) -> None:
        """Remove an ended task from the worker's list."""
