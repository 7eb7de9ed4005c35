"""Interfaces of the targets beside which an agent runs."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobSpec
from chicorycrank.model.messages import GangMember
from chicorycrank.model.requests import Answer, Request


class TargetError(Exception):
    """A call to the target did not succeed."""


class TargetUnreachableError(TargetError):
    """The target refused the connection; it has not seen the call."""


class TargetTimeoutError(TargetError):
    """The target gave no complete answer; it may have acted on the call."""


class TargetRefusedError(TargetError):
    """The target answered with an error status; it has not acted on the call."""


class Executor(Protocol):
    """An executor that runs short requests."""

    async def run(self, request: Request) -> Answer:
        """Run a request and return its complete answer.

        :raises TargetUnreachableError: the request did not reach the executor
        :raises TargetTimeoutError: the request may have run
        """

    async def probe(self) -> bool:
        """Return whether the executor is healthy."""


class WorkerTaskState(Enum):
    """State of a task at the worker."""

    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"


@dataclass(frozen=True, kw_only=True)
class TaskLaunch:
    """A task to launch; it starts throttled to zero.

    :param members: the whole gang, kept with the task so that a restarted agent can adopt it
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

    :param progress_s: work done in seconds, reported with a delay
    :param checkpoint_s: work saved by the last checkpoint
    """

    task_id: str
    launch: TaskLaunch
    state: WorkerTaskState
    throttle: float
    progress_s: float
    checkpoint_s: float
    detail: str = ""


def task_id_of(launch: TaskLaunch) -> str:
    """Return the id of a task, known before its launch so that a lost reply can be followed up."""
    return f"{launch.job_id}.{launch.attempt}.{launch.member}"


class Worker(Protocol):
    """A worker that runs tasks under leases.

    :raises TargetError: from every method
    """

    async def start(self, launch: TaskLaunch) -> str:
        """Start a task throttled to zero and return its id; a repeated start returns the same id.

        :returns: the id that :func:`task_id_of` gives
        :raises TargetUnreachableError: the call did not reach the worker
        :raises TargetTimeoutError: the task may have started
        :raises TargetRefusedError: the worker has no room or cannot run the task
        """

    async def throttle(self, task_id: str, share: float) -> None:
        """Set the share of full speed, 0 to 1."""

    async def renew(self, task_ids: tuple[str, ...], lease: timedelta) -> None:
        """Renew the leases of tasks; a task whose lease ends is stopped."""

    async def checkpoint(self, task_id: str) -> float:
        """Save the task's work and return it in seconds."""

    async def stop(self, task_id: str) -> None:
        """Stop a task; stopping a stopped task does nothing."""

    async def tasks(self) -> tuple[WorkerTask, ...]:
        """Return the tasks that the worker holds, ended ones until they are forgotten."""

    async def forget(self, task_id: str) -> None:
        """Drop an ended task from the worker's list."""
