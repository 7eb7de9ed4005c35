"""A small deployment on loopback: programs as processes, each behind its own proxy to the store."""

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
from chicorycrank_standin.http import Route
from chicorycrank_standin.platform.executor import BatchExecutorStandIn
from chicorycrank_standin.platform.kv_store import KvStoreStandIn
from chicorycrank_standin.platform.ledger import Ledger

ENTRIES = 2
AGENTS = 3
ACCELERATORS = 4
GRACE_S = 6.0
KEY = "key-red"
QUEUES = ("urgent", "plain")
PROXY_DELAY_S = 0.15


class Program:
    """A program of the product as a process that is started, signalled and restarted.

    :ivar stopped_at: monotonic time of the last SIGTERM
    :ivar harmed_at: monotonic time at which the last fault of this process ended
    """

    def __init__(self, name: str, module: str, store_port: int, folder: Path) -> None:
        self.name = name
        self.port, self.ready_port, proxy_port = free_port(), free_port(), free_port()
        self.proxy = Forwarder(proxy_port, store_port, delay_s=PROXY_DELAY_S)
        self.proxy.start()
        self.stopped_at = float("-inf")
        self.harmed_at = float("-inf")
        self._module = module
        self._log = (folder / f"{name}.log").open("ab")
        self._settings = folder / f"{name}.yaml"
        self._document: dict[str, Any] = {
            "node": name,
            "ip": HOST,
            "zone": "zone-a",
            "region": "region",
            "platform": {"address": f"{HOST}:{proxy_port}"},
            "bounds": {"graceS": GRACE_S},
        }
        self._process: subprocess.Popen[bytes] | None = None

    def configure(self, **fields: Any) -> None:
        """Write the settings file."""
        self._document.update(fields)
        self._settings.write_text(yaml.safe_dump(self._document))

    def start(self) -> None:
        """Start the process if it does not run."""
        if self._process is not None and self._process.poll() is None:
            return
        environment = {
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "CHICORYCRANK_NODE_FILE": str(self._settings),
        }
        self._process = subprocess.Popen(
            [sys.executable, "-m", f"chicorycrank.programs.{self._module}"],
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        """Signal the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def wait(self, timeout_s: float) -> bool:
        """Wait for the end of the process; false if it still runs."""
        if self._process is None:
            return True
        try:
            self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def close(self) -> None:
        """End the process and its proxy."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self.proxy.stop()
        self._log.close()


class Deployment:
    """Entries, agents, executors and the store."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.ledger = Ledger()
        self.store = KvStoreStandIn(random.Random(seed))
        self._servers: list[Server] = []
        store_port = int(self._serve(self.store.routes()).rpartition(":")[2])
        self.store.put("op/config", b64encode(json.dumps(_config()).encode()).decode())
        self.entries = [
            Program(f"entry-{n}", "batch_entry", store_port, folder) for n in range(ENTRIES)
        ]
        self.agents = [
            Program(f"agent-{n}", "batch_agent", store_port, folder) for n in range(AGENTS)
        ]
        for entry in self.entries:
            addresses = {"front": f"{HOST}:{entry.port}", "ready": f"{HOST}:{entry.ready_port}"}
            entry.configure(bindAddresses=addresses)
        self.executors = []
        for number, agent in enumerate(self.agents):
            control = f"{HOST}:{agent.port}"
            executor = BatchExecutorStandIn(
                f"executor-{number}",
                control,
                self.ledger,
                random.Random(seed + number),
                accelerators=ACCELERATORS,
            )
            app = self._serve(executor.routes())
            agent.configure(bindAddresses={"control": control}, app=app)
            self.executors.append(executor)

    @property
    def programs(self) -> list[Program]:
        """All programs."""
        return [*self.entries, *self.agents]

    def start(self) -> None:
        """Start all programs."""
        for program in self.programs:
            program.start()

    def close(self) -> None:
        """End all that was started."""
        for program in self.programs:
            program.close()
        for server in self._servers:
            server.stop()

    def note_harm(self) -> None:
        """Note a fault that concerns every program."""
        for program in self.programs:
            program.harmed_at = time.monotonic()

    def _serve(self, routes: dict[str, Route]) -> str:
        server, address = serve_in_background(routes)
        self._servers.append(server)
        return address


def _config() -> dict[str, Any]:
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
        for priority, name in enumerate(QUEUES)
    ]
    tenants = [{"name": "red", "apiKeys": [KEY], "guaranteed": {"gpus": ACCELERATORS}}]
    return {"version": 1, "routes": routes, "tenants": tenants}
