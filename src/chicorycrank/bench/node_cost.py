"""``chicorycrank-bench node-cost``: memory, processor and traffic of an agent and an entry."""

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.bench.placement import source_commit
from chicorycrank.bench.processes import HOST, Processes, call, choose_ports
from chicorycrank.model.ids import Incarnation, RegionId, ZoneId
from chicorycrank.model.messages import PROTOCOL_VERSION, AnyMessage, Hello, Role
from chicorycrank.ports.links import Link

TASKS = 8
SLOTS = 8
CONNECTIONS = 60
# TCP/IP headers with timestamps take 52 bytes, a websocket header up to 8.
HEADER_BYTES = 60
# The interval between agents (agent/member_links.py).
PEER_HEARTBEAT = timedelta(seconds=3)
READY_TIMEOUT_S = 60.0
POLL_S = 0.1
HOLD_S = 600.0
DEADLINE_S = 300.0  # The longest that an entry accepts.
SETTLE_S = 5.0
LIMITS = {"rss_kb": 32_000, "cpu_percent": 4.9, "bytes_per_s": 5_000}

PLACE = {"region": "north", "zone": "north-a"}
AGENTS = ("executor", "worker")
PORTS = ("store", "entry", "entry-peer", "executor", "worker", "executor-agent", "worker-agent")


class Fleet:
    """One store, one entry, one executor and one worker with their agents."""

    def __init__(self, folder: Path, *, is_compiled: bool) -> None:
        self.processes = Processes(folder=folder, is_compiled=is_compiled)
        self.ports = choose_ports(list(PORTS))

    def start(self) -> None:
        """Start all processes and wait until both targets are connected."""
        ports = self.ports
        for program in ("entry", "agent"):
            self.processes.compile(f"chicorycrank.{program}.main")
        for kind in ("store", *AGENTS):
            words = [kind, "--port", str(ports[kind]), "--id", kind]
            extra = ["--service-time-s", str(HOLD_S)] if kind == "executor" else []
            self.processes.start(kind, "chicorycrank_standin.main", *words, *extra)
        wait_until(lambda: call(ports["store"], "GET", "/record") is not None, "no store")
        entry = {
            **PLACE,
            "entry": "entry",
            "cell": "north",
            "listen_host": HOST,
            "peer_port": ports["entry-peer"],
            "http_port": ports["entry"],
            "store_url": f"http://{HOST}:{ports['store']}",
            "drain_s": 0.0,
        }
        self.processes.start_with_settings("entry", "chicorycrank.entry.main", entry)
        capacity: dict[str, dict[str, Any]] = {
            "executor": {"slots": SLOTS, "connections": CONNECTIONS},
            "worker": {"rack": "rack-0", "accelerators": TASKS, "cores": 64, "memory_gb": 250},
        }
        for kind in AGENTS:
            agent = {
                **PLACE,
                "target": kind,
                "kind": kind,
                "balancer": f"{HOST}:{ports['entry-peer']}",
                "listen_host": HOST,
                "listen_port": ports[f"{kind}-agent"],
                "target_url": f"http://{HOST}:{ports[kind]}",
                "drain_limit_s": 0.0,
                kind: capacity[kind],
            }
            self.processes.start_with_settings(f"{kind}-agent", "chicorycrank.agent.main", agent)
        wait_until(lambda: len(self.state("entry")["targets"]) == len(AGENTS), "no targets")
        wait_until(lambda: bool(self.state("entry")["is_leader"]), "no leader")

    def state(self, process: str) -> Any:
        """Return the state dump of the entry or of the agent of a target."""
        return call(self.ports["entry"], "GET", f"/v1/state/{process}")

    def submit_tasks(self) -> None:
        """Run 8 tasks on the worker."""
        for index in range(TASKS):
            shape = {"members": 1, "accelerators": 1, "adjacency": "worker"}
            job = {"team": "bench", "name": "task", "shape": shape, "run_time_s": HOLD_S}
            call(self.ports["entry"], "POST", "/v1/jobs", job, key=f"job-{index}")
        wait_until(lambda: len(self._working()) == TASKS, "the tasks do not run")

    def _working(self) -> list[Any]:
        events = call(self.ports["worker"], "GET", "/record")
        return [event for event in events if event["event"] == "working"]

    def hold_request(self, index: int) -> None:
        """Send a request that the executor does not answer while the measurement runs."""
        body = {"team": "bench", "service": "scan", "deadline_s": DEADLINE_S, "body": {}}
        body |= {"repeatable": True}
        with suppress(OSError):  # The fleet stops before the answer.
            path = "/v1/requests"
            call(self.ports["entry"], "POST", path, body, key=f"r-{index}", timeout_s=HOLD_S)

    async def open_links(self) -> list[PeerLink]:
        """Connect to the executor's agent until it holds 60 connections."""
        address = f"{HOST}:{self.ports['executor-agent']}"
        links = []
        for index in range(CONNECTIONS - 1):  # The entry holds one.
            link, _ = await dial(
                address,
                hello=_hello(f"peer-{index}"),
                handler=_ignore,
                clock=SystemClock(),
                heartbeat=PEER_HEARTBEAT,
            )
            links.append(link)
        return links


def _hello(peer_id: str) -> Hello:
    return Hello(
        version=PROTOCOL_VERSION,
        role=Role.AGENT,
        peer_id=peer_id,
        incarnation=Incarnation("bench"),
        region=RegionId("north"),
        zone=ZoneId("north-a"),
        address="",
    )


async def _ignore(link: Link, message: AnyMessage) -> None:
    return None


def wait_until(condition: Callable[[], bool], problem: str) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: it did not hold in time
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with suppress(OSError):
            if condition():
                return
        time.sleep(POLL_S)
    raise TimeoutError(problem)


def _traffic(state: Any) -> int:
    frames = state["frames_sent"] + state["frames_received"]
    return int(state["bytes_sent"] + state["bytes_received"] + frames * HEADER_BYTES)


def observe(fleet: Fleet, load: str, seconds: float) -> list[dict[str, Any]]:
    """Measure the agents and the entry over a time; memory is the largest of one sample a second.

    The traffic of the two state dumps at the ends is part of the figures.
    """
    states = {"executor-agent": "executor", "worker-agent": "worker", "entry": "entry"}
    traffic = {name: _traffic(fleet.state(process)) for name, process in states.items()}
    cpu = {name: fleet.processes.cpu_s(name) for name in states}
    started = time.monotonic()
    memory: dict[str, dict[str, int]] = {name: {} for name in states}
    while time.monotonic() < started + seconds:
        time.sleep(min(1.0, seconds))
        for name, largest in memory.items():
            for key, value in fleet.processes.memory_kb(name).items():
                largest[key] = max(value, largest.get(key, 0))
    elapsed = time.monotonic() - started
    return [
        {
            "process": name,
            "load": load,
            "rss_kb": memory[name]["VmRSS"],
            "pss_kb": memory[name].get("Pss"),
            "cpu_percent": round((fleet.processes.cpu_s(name) - cpu[name]) / elapsed * 100, 2),
            "bytes_per_s": round((_traffic(fleet.state(process)) - traffic[name]) / elapsed),
        }
        for name, process in states.items()
    ]


async def measure(folder: Path, seconds: float, *, is_compiled: bool) -> list[dict[str, Any]]:
    """Measure a fleet idle and under load."""
    fleet = Fleet(folder, is_compiled=is_compiled)
    tasks: list[asyncio.Task[None]] = []
    try:
        _say("starting processes")
        await asyncio.to_thread(fleet.start)
        await asyncio.sleep(SETTLE_S)
        _say(f"idle for {seconds:g} s")
        rows = await asyncio.to_thread(observe, fleet, "idle", seconds)
        _say(f"{TASKS} tasks, {SLOTS} requests and {CONNECTIONS} connections")
        await asyncio.to_thread(fleet.submit_tasks)
        tasks += [
            asyncio.create_task(asyncio.to_thread(fleet.hold_request, n)) for n in range(SLOTS)
        ]
        await asyncio.to_thread(wait_until, lambda: _used_slots(fleet) == SLOTS, "no requests run")
        tasks += [asyncio.create_task(link.run()) for link in await fleet.open_links()]
        await asyncio.sleep(SETTLE_S)
        rows += await asyncio.to_thread(observe, fleet, "loaded", seconds)
        load = (await asyncio.to_thread(fleet.state, "executor"))["load"]
        if (load["used_slots"], load["connections"]) != (SLOTS, CONNECTIONS):
            raise RuntimeError(f"the load did not last: {load}")
        return rows
    finally:
        await asyncio.to_thread(fleet.processes.stop)
        for task in tasks:
            task.cancel()


def _used_slots(fleet: Fleet) -> int:
    return int(fleet.state("executor")["load"]["used_slots"])


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def over_limit(row: dict[str, Any]) -> list[str]:
    """Return which limits of an agent a row exceeds."""
    return [key for key, limit in LIMITS.items() if row[key] > limit]


class NodeCostCommand(Command):
    """Measures what the control plane costs beside a target."""

    name = "node-cost"
    description = "Memory, processor share and control traffic of an agent and an entry"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("seconds", None, "Time of each measurement", flag=False, default="20"),
        option("no-bytecode", None, "Let each process compile its modules", flag=True),
        option("json", None, "One JSON object per line", flag=True),
    ]

    def handle(self) -> int:
        """Measure; fail if an agent is over a limit."""
        with tempfile.TemporaryDirectory() as folder:
            work = measure(
                Path(folder),
                float(self.option("seconds")),
                is_compiled=not self.option("no-bytecode"),
            )
            rows = asyncio.run(work)
        code = 0
        for row in rows:
            row["over_limit"] = over_limit(row) if row["process"] != "entry" else []
            row["commit"] = source_commit()
            code = 1 if row["over_limit"] else code
            if self.option("json"):
                print(json.dumps(row), flush=True)
            else:
                print("  ".join(f"{key} {value}" for key, value in row.items()))
        return code
