"""Deployment on the loopback interface whose processes reach the store through proxies."""

import json
import os
import random
import signal
import subprocess
import sys
import time
from base64 import b64encode
from pathlib import Path
from typing import Any

import yaml
from cheroot.wsgi import Server

from chicorycrank_standin.background import HOST, free_port, serve_in_background
from chicorycrank_standin.forwarder import Forwarder
from chicorycrank_standin.http import Handler
from chicorycrank_standin.platform.executor import BatchExecutorStandIn
from chicorycrank_standin.platform.kv_store import KvStoreStandIn
from chicorycrank_standin.platform.run_recorder import EVACUATE_S, RunRecorder

ENTRY_COUNT = 2
AGENT_COUNT = 3
ACCELERATORS_PER_EXECUTOR = 4
STOP_GRACE_S = 6.0  # time in which a program has to stop after SIGTERM
RESTART_DELAY_S = 0.3
API_KEY = "key-red"
QUEUE_NAMES = ("urgent", "plain")
PROXY_DELAY_S = 0.15  # delay of each chunk during the fault LINK_DELAY


class Program:
    """Entry or agent as a process that can be signalled and restarted, with its store proxy.

    :ivar sigterm_at: monotonic time of the last SIGTERM
    """

    def __init__(self, name: str, module: str, store_port: int, folder: Path) -> None:
        self.name = name
        self.port, self.ready_port, proxy_port = free_port(), free_port(), free_port()
        self.store_proxy = Forwarder(proxy_port, store_port, delay_s=PROXY_DELAY_S)
        self.store_proxy.start()
        self.sigterm_at = float("-inf")
        self._module = module
        self._log_file = (folder / f"{name}.log").open("ab")
        self._settings_path = folder / f"{name}.yaml"
        self._settings: dict[str, Any] = {
            "node": name,
            "ip": HOST,
            "zone": "zone-a",
            "region": "region",
            "platform": {"address": f"{HOST}:{proxy_port}"},
            "bounds": {"graceS": STOP_GRACE_S, "evacuateMs": round(EVACUATE_S * 1000)},
        }
        self._process: subprocess.Popen[bytes] | None = None

    def configure(self, **fields: Any) -> None:
        """Update fields of the settings and write the settings file."""
        self._settings.update(fields)
        self._settings_path.write_text(yaml.safe_dump(self._settings))

    def start(self) -> None:
        """Start the process if it is not running."""
        if self._process is not None and self._process.poll() is None:
            return
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "CHICORYCRANK_NODE_FILE": str(self._settings_path),
        }
        self._process = subprocess.Popen(
            [sys.executable, "-m", f"chicorycrank.programs.{self._module}"],
            env=environment,
            stdout=self._log_file,
            stderr=subprocess.STDOUT,
        )

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal_number)

    def pause(self) -> None:
        """Suspend the process."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process."""
        self.signal(signal.SIGCONT)

    def wait(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return false if it still runs after the timeout."""
        if self._process is None:
            return True
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def close(self) -> None:
        """Kill the process and stop its proxy."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self.store_proxy.stop()
        self._log_file.close()


def restart_killed(program: Program) -> None:
    """Kill a program and start it again."""
    program.signal(signal.SIGKILL)
    program.wait(STOP_GRACE_S)
    time.sleep(RESTART_DELAY_S)
    program.start()


class Deployment:
    """Entries, agents, executors and the store of a soak test.

    :param seed: seed of the random faults of the store and the executors
    :param agents: number of agents, each with an executor
    :ivar links: links between agents and executors, in both directions
    :ivar control_links: links from each executor to its agent
    """

    def __init__(self, folder: Path, seed: int, agents: int = AGENT_COUNT) -> None:
        self.run_recorder = RunRecorder()
        self.store = KvStoreStandIn(random.Random(seed))
        self._servers: list[Server] = []
        self.links: list[Forwarder] = []
        store_port = int(self._start_server(self.store.routes()).rpartition(":")[2])
        self.store.put("op/config", b64encode(json.dumps(_operator_config()).encode()).decode())
        self.entries = [
            Program(f"entry-{index}", "batch_entry", store_port, folder)
            for index in range(ENTRY_COUNT)
        ]
        self.agents = [
            Program(f"agent-{index}", "batch_agent", store_port, folder) for index in range(agents)
        ]
        for entry in self.entries:
            addresses = {"front": f"{HOST}:{entry.port}", "ready": f"{HOST}:{entry.ready_port}"}
            entry.configure(bindAddresses=addresses)
        self.control_links: list[Forwarder] = []
        self.executors: list[BatchExecutorStandIn] = []
        for agent_index, agent in enumerate(self.agents):
            control_link = self._start_link(agent.port)
            executor = BatchExecutorStandIn(
                f"executor-{agent_index}",
                control_link.address,
                self.run_recorder,
                random.Random(seed + agent_index),
                accelerators=ACCELERATORS_PER_EXECUTOR,
                agent=agent.name,
            )
            executor_address = self._start_server(executor.routes())
            executor.link = self._start_link(int(executor_address.rpartition(":")[2]))
            agent.configure(
                bindAddresses={"control": f"{HOST}:{agent.port}"}, app=executor.link.address
            )
            self.executors.append(executor)
            self.control_links.append(control_link)
        self.store.list_machines = self._list_machines

    @property
    def programs(self) -> list[Program]:
        """Entries and agents."""
        return [*self.entries, *self.agents]

    def start(self) -> None:
        """Start all entries and agents."""
        for program in self.programs:
            program.start()

    def close(self) -> None:
        """Stop all processes, proxies and servers."""
        for program in self.programs:
            program.close()
        for executor in self.executors:
            executor.close()
        for link in self.links:
            link.stop()
        for server in self._servers:
            server.stop()

    def _list_machines(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": executor.name,
                "pool": "service",
                "state": "up" if executor.is_up else "down",
                "id": executor.instance if executor.is_up else "",
            }
            for executor in self.executors
        ]

    def _start_link(self, target_port: int) -> Forwarder:
        link = Forwarder(free_port(), target_port, delay_s=PROXY_DELAY_S)
        link.start()
        self.links.append(link)
        return link

    def _start_server(self, routes: dict[str, Handler]) -> str:
        server, address = serve_in_background(routes)
        self._servers.append(server)
        return address


def _operator_config() -> dict[str, Any]:
    routes = [
        {
            "name": name,
            "host": "soak.example",
            "prefix": f"/{name}/",
            "service": "service",
            "priority": priority,
            "maxAttempts": 3,
            "targetLatencyMs": 500,
            "slackFactor": 2,
        }
        for priority, name in enumerate(QUEUE_NAMES)
    ]
    tenants = [
        {"name": "red", "apiKeys": [API_KEY], "guaranteed": {"gpus": ACCELERATORS_PER_EXECUTOR}}
    ]
    return {"version": 1, "routes": routes, "tenants": tenants}
