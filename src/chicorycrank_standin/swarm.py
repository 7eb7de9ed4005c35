"""Many workers with their agents in one process, for measuring what entries spend on them."""

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
from chicorycrank.agent.worker import WorkerSide
from chicorycrank.model.ids import Incarnation, RackId, RegionId, TargetId, ZoneId
from chicorycrank.model.targets import TargetKind, WorkerInfo
from chicorycrank.ports.targets import TaskLaunch, WorkerTask, WorkerTaskState
from chicorycrank.settings.agent import AgentSettings

WORKERS_PER_RACK = 3
ACCELERATORS = 8
CORES = 64
MEMORY_GB = 250


@dataclass(kw_only=True)
class HeldTask:
    """A task and the time at which its throttle was lifted."""

    task: WorkerTask
    released_at: float | None = None


class MemoryWorker:
    """A worker in memory whose tasks complete after their declared run time."""

    def __init__(self) -> None:
        self._held_by_id: dict[str, HeldTask] = {}

    async def start(self, launch: TaskLaunch) -> str:
        """Start a task throttled to zero and return its id."""
        task_id = f"{launch.job_id}.{launch.attempt}.{launch.member}"
        task = WorkerTask(
            task_id=task_id,
            launch=launch,
            state=WorkerTaskState.RUNNING,
            throttle=0.0,
            progress_s=launch.progress_s,
            checkpoint_s=launch.progress_s,
        )
        self._held_by_id.setdefault(task_id, HeldTask(task=task))
        return task_id

    async def throttle(self, task_id: str, share: float) -> None:
        """Set the share of full speed; any share above zero is full speed here."""
        held = self._held_by_id[task_id]
        held.released_at = time.monotonic() if share > 0 else None
        held.task = replace(held.task, throttle=share)

    async def renew(self, task_ids: tuple[str, ...], lease: timedelta) -> None:
        """Accept a renewal; leases do not end here."""

    async def checkpoint(self, task_id: str) -> float:
        """Return the task's work as saved."""
        return self._progress(self._held_by_id[task_id])

    async def stop(self, task_id: str) -> None:
        """Stop a task."""
        held = self._held_by_id.get(task_id)
        if held is not None and held.task.state is WorkerTaskState.RUNNING:
            held.task = replace(held.task, state=WorkerTaskState.STOPPED)

    async def tasks(self) -> tuple[WorkerTask, ...]:
        """Return the tasks with their current progress."""
        return tuple(self._refresh(held) for held in self._held_by_id.values())

    async def forget(self, task_id: str) -> None:
        """Drop a task."""
        self._held_by_id.pop(task_id, None)

    async def probe(self) -> bool:
        """Return that the worker is healthy."""
        return True

    def _refresh(self, held: HeldTask) -> WorkerTask:
        progress_s = self._progress(held)
        state = held.task.state
        if state is WorkerTaskState.RUNNING and progress_s >= held.task.launch.spec.run_time_s:
            state = WorkerTaskState.COMPLETED
        held.task = replace(held.task, progress_s=progress_s, state=state)
        return held.task

    @staticmethod
    def _progress(held: HeldTask) -> float:
        if held.released_at is None or held.task.state is not WorkerTaskState.RUNNING:
            return held.task.progress_s
        elapsed = time.monotonic() - held.released_at
        spec = held.task.launch.spec
        return min(spec.run_time_s, held.task.launch.progress_s + elapsed)


class SwarmSettings(Struct, frozen=True, kw_only=True):
    """Settings of a swarm.

    :param ports: one agent listens on each
    """

    balancer: str
    host: str
    ports: list[int]
    region: str
    heartbeat_s: float


async def run_swarm(settings: SwarmSettings) -> None:
    """Run one agent per port, each with a worker in memory, until a signal arrives."""
    agents = [_build_agent(index, settings) for index in range(len(settings.ports))]
    loop = asyncio.get_running_loop()

    def stop() -> None:
        for agent in agents:
            agent.stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
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
        target_url="http://127.0.0.1:1",
        worker=WorkerInfo(
            rack=RackId(f"{swarm.region}-rack-{index // WORKERS_PER_RACK}"),
            accelerators=ACCELERATORS,
            cores=CORES,
            memory_gb=MEMORY_GB,
        ),
        heartbeat_s=swarm.heartbeat_s,
        drain_limit_s=0.0,
    )
    clock = SystemClock()
    assert settings.worker is not None
    side = WorkerSide(settings.target, settings.worker, MemoryWorker(), clock)
    incarnation = Incarnation(uuid.uuid4().hex)
    return Agent(settings, clock, incarnation, executor=None, worker=side)


def main() -> None:
    """Read the settings file and run the swarm."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    text = parser.parse_args().settings.read_bytes()
    asyncio.run(run_swarm(msgspec.json.decode(text, type=SwarmSettings)))


if __name__ == "__main__":
    main()
