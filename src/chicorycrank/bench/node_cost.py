"""``chicorycrank-bench node-cost``: memory, processor share and traffic of agents and an entry."""

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
from chicorycrank.bench.processes import HOST, Processes, call_http, choose_ports
from chicorycrank.model.ids import Incarnation, RegionId, ZoneId
from chicorycrank.model.messages import PROTOCOL_VERSION, AnyMessage, Hello, Role
from chicorycrank.ports.links import Link

TASK_COUNT = 8
SLOTS = 8
CONNECTIONS = 60
# Per frame: TCP/IP headers with timestamps have 52 bytes, a websocket header up to 8.
FRAME_HEADER_BYTES = 60
# Heartbeat interval of connections between agents, as in agent/member_links.py.
PEER_HEARTBEAT = timedelta(seconds=3)
READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
LOAD_DURATION_S = 600.0  # exceeds the time of a measurement
DEADLINE_S = 300.0  # longest deadline that an entry accepts
SETTLE_S = 5.0  # time between a change of the load and the measurement
# Limits of one agent; the command fails if a measurement exceeds them.
AGENT_LIMITS = {"rss_kb": 32_000, "cpu_percent": 4.9, "bytes_per_s": 5_000}

LOCATION = {"region": "north", "zone": "north-a"}
AGENT_KINDS = ("executor", "worker")
PORT_NAMES = (
    "store",
    "entry",
    "entry-peer",
    "executor",
    "worker",
    "executor-agent",
    "worker-agent",
)


class Fleet:
    """One store, one entry, and one executor and one worker with their agents."""

    def __init__(self, folder: Path, *, has_bytecode_files: bool) -> None:
        self.processes = Processes(folder=folder, has_bytecode_files=has_bytecode_files)
        self.ports = choose_ports(list(PORT_NAMES))

    def start(self) -> None:
        """Start all processes and wait until both targets are connected."""
        ports = self.ports
        for program in ("entry", "agent"):
            self.processes.compile(f"chicorycrank.{program}.main")
        for kind in ("store", *AGENT_KINDS):
            arguments = [kind, "--port", str(ports[kind]), "--id", kind]
            executor_arguments = (
                ["--service-time-s", str(LOAD_DURATION_S)] if kind == "executor" else []
            )
            self.processes.start(kind, "chicorycrank_standin.main", *arguments, *executor_arguments)
        wait_until(
            lambda: call_http(ports["store"], "GET", "/record") is not None,
            "the store does not answer",
        )
        entry = {
            **LOCATION,
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
            "worker": {"rack": "rack-0", "accelerators": TASK_COUNT, "cores": 64, "memory_gb": 250},
        }
        for kind in AGENT_KINDS:
            agent = {
                **LOCATION,
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
        wait_until(
            lambda: len(self.fetch_state("entry")["targets"]) == len(AGENT_KINDS),
            "not all targets are connected",
        )
        wait_until(lambda: bool(self.fetch_state("entry")["is_leader"]), "the cell has no leader")

    def fetch_state(self, process: str) -> Any:
        """Return the state dump of the entry or of the agent of a target."""
        return call_http(self.ports["entry"], "GET", f"/v1/state/{process}")

    def submit_tasks(self) -> None:
        """Start a task on each accelerator of the worker and wait until all run."""
        for index in range(TASK_COUNT):
            shape = {"members": 1, "accelerators": 1, "adjacency": "worker"}
            job = {"team": "bench", "name": "task", "shape": shape, "run_time_s": LOAD_DURATION_S}
            call_http(self.ports["entry"], "POST", "/v1/jobs", job, key=f"job-{index}")
        wait_until(lambda: len(self._running_tasks()) == TASK_COUNT, "not all tasks are running")

    def _running_tasks(self) -> list[Any]:
        events = call_http(self.ports["worker"], "GET", "/record")
        return [event for event in events if event["event"] == "working"]

    def send_long_request(self, index: int) -> None:
        """Send a request that the executor answers only after the measurement."""
        body = {"team": "bench", "service": "scan", "deadline_s": DEADLINE_S, "body": {}}
        body |= {"repeatable": True}
        with suppress(OSError):  # The fleet stops before the executor answers.
            path = "/v1/requests"
            call_http(
                self.ports["entry"], "POST", path, body, key=f"r-{index}", timeout_s=LOAD_DURATION_S
            )

    async def open_connections(self) -> list[PeerLink]:
        """Connect to the executor's agent until it has CONNECTIONS connections."""
        address = f"{HOST}:{self.ports['executor-agent']}"
        links = []
        for index in range(CONNECTIONS - 1):  # The entry has one connection.
            link, _ = await dial(
                address,
                hello=_make_hello(f"peer-{index}"),
                handler=_ignore_message,
                clock=SystemClock(),
                heartbeat=PEER_HEARTBEAT,
            )
            links.append(link)
        return links


def _make_hello(peer_id: str) -> Hello:
    return Hello(
        version=PROTOCOL_VERSION,
        role=Role.AGENT,
        peer_id=peer_id,
        incarnation=Incarnation("bench"),
        region=RegionId("north"),
        zone=ZoneId("north-a"),
        address="",
    )


async def _ignore_message(link: Link, message: AnyMessage) -> None:
    return None


def wait_until(condition: Callable[[], bool], message: str) -> None:
    """Wait until a condition is true; an ``OSError`` counts as false.

    :param message: text of the error, followed by the time that was waited
    :raises TimeoutError: it was not true within READY_TIMEOUT_S
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with suppress(OSError):
            if condition():
                return
        time.sleep(POLL_INTERVAL_S)
    raise TimeoutError(f"{message} after {READY_TIMEOUT_S:g} s")


def _total_bytes(dump: Any) -> int:
    frames = dump["frames_sent"] + dump["frames_received"]
    return int(dump["bytes_sent"] + dump["bytes_received"] + frames * FRAME_HEADER_BYTES)


def measure_load(fleet: Fleet, load: str, seconds: float) -> list[dict[str, Any]]:
    """Measure the agents and the entry for some seconds.

    Memory is the maximum of one sample per second. The traffic includes the state dumps that are
    fetched at the start and the end.
    """
    state_name_by_process = {
        "executor-agent": "executor",
        "worker-agent": "worker",
        "entry": "entry",
    }
    traffic = {
        name: _total_bytes(fleet.fetch_state(process))
        for name, process in state_name_by_process.items()
    }
    cpu = {name: fleet.processes.cpu_s(name) for name in state_name_by_process}
    started_s = time.monotonic()
    memory: dict[str, dict[str, int]] = {name: {} for name in state_name_by_process}
    while time.monotonic() < started_s + seconds:
        time.sleep(min(1.0, seconds))
        for name, max_kb_by_field in memory.items():
            for key, value in fleet.processes.memory_kb(name).items():
                max_kb_by_field[key] = max(value, max_kb_by_field.get(key, 0))
    elapsed_s = time.monotonic() - started_s
    return [
        {
            "process": name,
            "load": load,
            "rss_kb": memory[name]["VmRSS"],
            "pss_kb": memory[name].get("Pss"),
            "cpu_percent": round((fleet.processes.cpu_s(name) - cpu[name]) / elapsed_s * 100, 2),
            "bytes_per_s": round(
                (_total_bytes(fleet.fetch_state(process)) - traffic[name]) / elapsed_s
            ),
        }
        for name, process in state_name_by_process.items()
    ]


async def measure(
    folder: Path, seconds: float, *, has_bytecode_files: bool
) -> list[dict[str, Any]]:
    """Measure a fleet while idle and under load.

    :raises RuntimeError: the load ended before the measurement
    """
    fleet = Fleet(folder, has_bytecode_files=has_bytecode_files)
    tasks: list[asyncio.Task[None]] = []
    try:
        _print_progress("starting processes")
        await asyncio.to_thread(fleet.start)
        await asyncio.sleep(SETTLE_S)
        _print_progress(f"idle for {seconds:g} s")
        rows = await asyncio.to_thread(measure_load, fleet, "idle", seconds)
        _print_progress(f"{TASK_COUNT} tasks, {SLOTS} requests and {CONNECTIONS} connections")
        await asyncio.to_thread(fleet.submit_tasks)
        tasks += [
            asyncio.create_task(asyncio.to_thread(fleet.send_long_request, n)) for n in range(SLOTS)
        ]
        await asyncio.to_thread(
            wait_until, lambda: _used_slots(fleet) == SLOTS, "not all requests are running"
        )
        tasks += [asyncio.create_task(link.run()) for link in await fleet.open_connections()]
        await asyncio.sleep(SETTLE_S)
        rows += await asyncio.to_thread(measure_load, fleet, "loaded", seconds)
        load = (await asyncio.to_thread(fleet.fetch_state, "executor"))["load"]
        if (load["used_slots"], load["connections"]) != (SLOTS, CONNECTIONS):
            raise RuntimeError(
                f"executor load is {load}; expected {SLOTS} used slots, {CONNECTIONS} connections"
            )
        return rows
    finally:
        await asyncio.to_thread(fleet.processes.stop)
        for task in tasks:
            task.cancel()


def _used_slots(fleet: Fleet) -> int:
    return int(fleet.fetch_state("executor")["load"]["used_slots"])


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def exceeded_limits(row: dict[str, Any]) -> list[str]:
    """Return the measures of a row that exceed their limit for agents."""
    return [key for key, limit in AGENT_LIMITS.items() if row[key] > limit]


class NodeCostCommand(Command):
    """Command that measures the resources that the control plane uses beside a target."""

    name = "node-cost"
    description = "Memory, processor share and control traffic of an agent and an entry"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("seconds", None, "Time of each measurement", flag=False, default="20"),
        option("no-bytecode", None, "Let each process compile its modules", flag=True),
        option("json", None, "One JSON object per line", flag=True),
    ]

    def handle(self) -> int:
        """Print the measurements and return 1 if an agent exceeds a limit."""
        with tempfile.TemporaryDirectory() as folder:
            measurement = measure(
                Path(folder),
                float(self.option("seconds")),
                has_bytecode_files=not self.option("no-bytecode"),
            )
            rows = asyncio.run(measurement)
        code = 0
        for row in rows:
            row["over_limit"] = exceeded_limits(row) if row["process"] != "entry" else []
            row["commit"] = source_commit()
            code = 1 if row["over_limit"] else code
            if self.option("json"):
                print(json.dumps(row), flush=True)
            else:
                print("  ".join(f"{key} {value}" for key, value in row.items()))
        return code
