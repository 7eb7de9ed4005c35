"""Runs the agents of many in-memory workers in one process to measure their cost at the entries."""

import argparse
import asyncio
import signal
import time
import uuid
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path

import msgspec
from msgspec import Struct

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.agent.process import Agent
from chicorycrank.agent.worker import WorkerManager
from chicorycrank.model.ids import Incarnation, RackId, RegionId, TargetId, ZoneId
from chicorycrank.model.targets import TargetKind, WorkerInfo
from chicorycrank.ports.targets import TaskLaunch, WorkerTask, WorkerTaskState
from chicorycrank.settings.agent import AgentSettings

WORKERS_PER_RACK = 3
ACCELERATORS_PER_WORKER = 8
CORES_PER_WORKER = 64
MEMORY_GB_PER_WORKER = 250


@dataclass(kw_only=True)
class TrackedTask:
    """Task and the monotonic time of its last start or resumption.

    :param unthrottled_at: None while the throttle is 0
    """

    task: WorkerTask
    unthrottled_at: float | None = None


class InMemoryWorker:
    """In-memory worker whose tasks complete after their declared run time."""

    def __init__(self) -> None:
        self._tracked_task_by_id: dict[str, TrackedTask] = {}

    async def start(self, launch: TaskLaunch) -> str:
        """Start a task with a throttle of 0 and return its id."""
        task_id = f"{launch.job_id}.{launch.attempt}.{launch.member}"
        task = WorkerTask(
            task_id=task_id,
            launch=launch,
            state=WorkerTaskState.RUNNING,
            throttle=0.0,
            progress_s=launch.progress_s,
            checkpoint_s=launch.progress_s,
        )
        self._tracked_task_by_id.setdefault(task_id, TrackedTask(task=task))
        return task_id

    async def throttle(self, task_id: str, share: float) -> None:
        """Set a task's share of full speed: 0 stops its work, any share above 0 is full speed."""
        tracked = self._tracked_task_by_id[task_id]
        tracked.unthrottled_at = time.monotonic() if share > 0 else None
        tracked.task = replace(tracked.task, throttle=share)

    async def renew(self, task_ids: tuple[str, ...], lease: timedelta) -> None:
        """Accept a renewal without effect, since leases of this worker do not expire."""

    async def checkpoint(self, task_id: str) -> float:
        """Return the current progress of a task as its checkpoint, in seconds."""
        return self._current_progress_s(self._tracked_task_by_id[task_id])

    async def stop(self, task_id: str) -> None:
        """Stop a task."""
        tracked = self._tracked_task_by_id.get(task_id)
        if tracked is not None and tracked.task.state is WorkerTaskState.RUNNING:
            tracked.task = replace(tracked.task, state=WorkerTaskState.STOPPED)

    async def tasks(self) -> tuple[WorkerTask, ...]:
        """Return the tasks with their current progress."""
        return tuple(self._update(tracked) for tracked in self._tracked_task_by_id.values())

    async def discard_task(self, task_id: str) -> None:
        """Remove the record of a task."""
        self._tracked_task_by_id.pop(task_id, None)

    async def probe(self) -> bool:
        """Return true, since the worker is always healthy."""
        return True

    def _update(self, tracked: TrackedTask) -> WorkerTask:
        progress_s = self._current_progress_s(tracked)
        state = tracked.task.state
        if state is WorkerTaskState.RUNNING and progress_s >= tracked.task.launch.spec.run_time_s:
            state = WorkerTaskState.COMPLETED
        tracked.task = replace(tracked.task, progress_s=progress_s, state=state)
        return tracked.task

    @staticmethod
    def _current_progress_s(tracked: TrackedTask) -> float:
        if tracked.unthrottled_at is None or tracked.task.state is not WorkerTaskState.RUNNING:
            return tracked.task.progress_s
        elapsed_s = time.monotonic() - tracked.unthrottled_at
        spec = tracked.task.launch.spec
        return min(spec.run_time_s, tracked.task.launch.progress_s + elapsed_s)


class SwarmSettings(Struct, frozen=True, kw_only=True):
    """Settings of a swarm.

    :param balancer: ``host:port`` of the entry that the agents dial
    :param ports: ports of the agents, one for each
    """

    balancer: str
    host: str
    ports: list[int]
    region: str
    heartbeat_s: float


async def run_swarm(settings: SwarmSettings) -> None:
    """Run one agent with an in-memory worker per port until SIGTERM or SIGINT."""
    agents = [_build_agent(index, settings) for index in range(len(settings.ports))]
    loop = asyncio.get_running_loop()

    def stop() -> None:
        for agent in agents:
            agent.stop()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop)
    await asyncio.gather(*(agent.run() for agent in agents))


def _build_agent(index: int, swarm: SwarmSettings) -> Agent:
    settings = AgentSettings(
        target=TargetId(f"work-{swarm.region}-{index}"),
        kind=TargetKind.WORKER,
        region=RegionId(swarm.region),
        zone=ZoneId(f"{swarm.region}-a"),
        balancer=swarm.balancer,
        listen_host=swarm.host,
        listen_port=swarm.ports[index],
        target_url="http://127.0.0.1:1",  # unused, as the worker is in memory
        worker=WorkerInfo(
            rack=RackId(f"{swarm.region}-rack-{index // WORKERS_PER_RACK}"),
            accelerators=ACCELERATORS_PER_WORKER,
            cores=CORES_PER_WORKER,
            memory_gb=MEMORY_GB_PER_WORKER,
        ),
        heartbeat_s=swarm.heartbeat_s,
        drain_limit_s=0.0,
    )
    clock = SystemClock()
    assert settings.worker is not None
    worker_manager = WorkerManager(settings.target, settings.worker, InMemoryWorker(), clock)
    incarnation = Incarnation(uuid.uuid4().hex)
    return Agent(settings, clock, incarnation, executor=None, worker=worker_manager)


def main() -> None:
    """Read the settings file and run the swarm."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    document = parser.parse_args().settings.read_bytes()
    asyncio.run(run_swarm(msgspec.json.decode(document, type=SwarmSettings)))


if __name__ == "__main__":
    main()
