"""Starts the stand-ins and the system's processes of one deployment on loopback."""

import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from chicorycrank.bench.processes import choose_ports
from chicorycrank_standin.forwarder import Forwarder

HOST = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
SLOTS = 8
CONNECTIONS = 60
ACCELERATORS = 8
WORKERS_PER_RACK = 3


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Sizes of a deployment.

    :param executors: number of executors by region
    :param workers: number of workers by region
    """

    name: str
    regions: tuple[str, ...]
    executors: dict[str, int]
    workers: dict[str, int]
    cores: int
    memory_gb: int
    entries_per_region: int = 1


BUREAU = Deployment(
    name="bureau",
    regions=("north", "central", "south"),
    executors={"north": 4, "central": 3, "south": 3},
    workers={"north": 4, "central": 3, "south": 3},
    cores=64,
    memory_gb=250,
    entries_per_region=2,
)
CLOCHAN = Deployment(
    name="clochan",
    regions=("shannon", "barrow", "corrib"),
    executors={"shannon": 4, "barrow": 3, "corrib": 3},
    workers={"shannon": 4, "barrow": 3, "corrib": 3},
    cores=130,
    memory_gb=500,
    entries_per_region=2,
)
DEPLOYMENTS_BY_NAME = {d.name: d for d in (BUREAU, CLOCHAN)}


@dataclass(kw_only=True)
class Child:
    """A process that the fleet started."""

    name: str
    command: list[str]
    process: "subprocess.Popen[bytes]"


@dataclass(kw_only=True)
class Fleet:
    """Processes of one deployment.

    :param folder: settings files and logs
    :param service_time_s: time an executor takes for a request in seconds
    :param speed: work that a worker does per second
    :param forwarded: links with a forwarder in between: ``<entry>/peer`` for agents and entries
        that dial this entry, ``<entry>/store`` for the entry's calls to the store
    """

    deployment: Deployment
    folder: Path
    service_time_s: float = 0.05
    speed: float = 1.0
    forwarded: frozenset[str] = frozenset()
    forwarder_by_link: dict[str, Forwarder] = field(default_factory=dict)
    children_by_name: dict[str, Child] = field(default_factory=dict)
    port_by_name: dict[str, int] = field(default_factory=dict)
    region_by_name: dict[str, str] = field(default_factory=dict)

    def start(self) -> None:
        """Start every process and wait until all targets are connected."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._choose_ports()
        self._start_forwarders()
        self.start_child("store", ["standin", "store", "--port", str(self.port_by_name["store"])])
        self.wait_http("store", "/record")
        for name in self.entry_names():
            self.start_entry(name)
        for name in [*self.executor_names(), *self.worker_names()]:
            self.start_target(name)
            self.start_agent(name)
        for name in self.entry_names():
            self.wait_http(name, "/healthz")
        self.wait_connected()

    def entry_names(self) -> list[str]:
        """Return the names of the entries."""
        count = self.deployment.entries_per_region
        return [f"entry-{r}-{i}" for r in self.deployment.regions for i in range(count)]

    def executor_names(self) -> list[str]:
        """Return the names of the executors."""
        return [f"exec-{r}-{i}" for r, n in self.deployment.executors.items() for i in range(n)]

    def worker_names(self) -> list[str]:
        """Return the names of the workers."""
        return [f"work-{r}-{i}" for r, n in self.deployment.workers.items() for i in range(n)]

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        region = self.region_by_name[name]
        settings = {
            "entry": name,
            "region": region,
            "zone": f"{region}-a",
            "cell": region,
            "listen_host": HOST,
            "peer_port": self.port_by_name[f"{name}/peer"],
            "http_port": self.port_by_name[name],
            "store_url": f"http://{HOST}:{self._dialled_port(f'{name}/store')}",
            "drain_s": 0.5,
        }
        if f"{name}/peer" in self.forwarded:
            settings["peer_address"] = f"{HOST}:{self._dialled_port(f'{name}/peer')}"
        self._start_program("entry", name, settings)

    def start_target(self, name: str) -> None:
        """Start the stand-in of an executor or a worker."""
        common = ["--port", str(self.port_by_name[name]), "--id", name]
        if name.startswith("exec-"):
            extra = ["--service-time-s", str(self.service_time_s)]
            self.start_child(name, ["standin", "executor", *common, *extra])
        else:
            extra = ["--accelerators", str(ACCELERATORS), "--speed", str(self.speed)]
            self.start_child(name, ["standin", "worker", *common, *extra])

    def start_agent(self, name: str) -> None:
        """Start the agent of a target."""
        region = self.region_by_name[name]
        settings: dict[str, Any] = {
            "target": name,
            "kind": "executor" if name.startswith("exec-") else "worker",
            "region": region,
            "zone": f"{region}-a",
            "balancer": f"{HOST}:{self._dialled_port(f'entry-{region}-0/peer')}",
            "listen_host": HOST,
            "listen_port": self.port_by_name[f"agent-{name}"],
            "target_url": f"http://{HOST}:{self.port_by_name[name]}",
        }
        if settings["kind"] == "executor":
            settings["executor"] = {"slots": SLOTS, "connections": CONNECTIONS}
        else:
            index = int(name.rsplit("-", 1)[1])
            settings["worker"] = {
                "rack": f"{region}-rack-{index // WORKERS_PER_RACK}",
                "accelerators": ACCELERATORS,
                "cores": self.deployment.cores,
                "memory_gb": self.deployment.memory_gb,
            }
        self._start_program("agent", f"agent-{name}", settings)

    def _start_program(self, program: str, name: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(f"// Settings of {name}.\n{json.dumps(settings, indent=2)}\n")
        self.start_child(name, [program, "--settings", str(path)])

    def start_child(self, name: str, words: list[str]) -> None:
        """Start a program; its output goes to a log file in the folder."""
        package = "chicorycrank_standin" if words[0] == "standin" else f"chicorycrank.{words[0]}"
        command = [sys.executable, "-m", f"{package}.main", *words[1:]]
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.children_by_name[name] = Child(name=name, command=command, process=process)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a child by its process id."""
        os.kill(self.children_by_name[name].process.pid, number)

    def kill(self, name: str) -> None:
        """Kill a child and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.children_by_name[name].process.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """End every child."""
        for child in self.children_by_name.values():
            if child.process.poll() is None:
                child.process.send_signal(signal.SIGCONT)
                child.process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for child in self.children_by_name.values():
            try:
                child.process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.process.kill()
                child.process.wait()
        for forwarder in self.forwarder_by_link.values():
            forwarder.stop()

    def url(self, name: str) -> str:
        """Return the base HTTP address of an entry or a stand-in."""
        return f"http://{HOST}:{self.port_by_name[name]}"

    def call(
        self, name: str, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Call an entry or a stand-in and return status and JSON body."""
        data = None if body is None else json.dumps(body).encode()
        response = urllib3.request(
            method,
            self.url(name) + path,
            body=data,
            headers={key.replace("_", "-"): value for key, value in headers.items()},
            timeout=60.0,
            retries=False,
        )
        text = response.data.decode()
        return response.status, json.loads(text) if text[:1] in "{[" and text else text

    def wait_http(self, name: str, path: str) -> None:
        """Wait until a process answers with status 200."""
        self.wait(lambda: self._answers(name, path), f"{name} does not answer")

    def wait_connected(self) -> None:
        """Wait until each region's entries see all targets and each cell has a leader."""

        def is_ready() -> bool:
            for region in self.deployment.regions:
                names = [n for n in self.entry_names() if self.region_by_name[n] == region]
                states = [self.call(name, "GET", "/v1/state")[1] for name in names]
                wanted = self.deployment.executors[region] + self.deployment.workers[region]
                if not all(len(state["targets"]) == wanted for state in states):
                    return False
                if not any(state["is_leader"] for state in states):
                    return False
            return True

        self.wait(is_ready, "targets are not connected")

    @staticmethod
    def wait(condition: Any, problem: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: it did not hold in time
        """
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(problem)
            time.sleep(POLL_S)

    def _answers(self, name: str, path: str) -> bool:
        try:
            return self.call(name, "GET", path)[0] == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _start_forwarders(self) -> None:
        for link in sorted(self.forwarded):
            name, _, side = link.partition("/")
            if name not in self.entry_names() or side not in ("peer", "store"):
                raise ValueError(f"no such link: {link}")
            forwarder = Forwarder(self._dialled_port(link), self._served_port(link))
            forwarder.start()
            self.forwarder_by_link[link] = forwarder

    def _served_port(self, link: str) -> int:
        """Return the port of the process at the far side of a link."""
        return self.port_by_name["store" if link.endswith("/store") else link]

    def _dialled_port(self, link: str) -> int:
        """Return the port to dial for a link: that of its forwarder, if it has one."""
        if link in self.forwarded:
            return self.port_by_name[f"forwarder-{link}"]
        return self._served_port(link)

    def _choose_ports(self) -> None:
        names = ["store"]
        for name in self.entry_names():
            names += [name, f"{name}/peer"]
            self.region_by_name[name] = name.split("-")[1]
        for name in [*self.executor_names(), *self.worker_names()]:
            names += [name, f"agent-{name}"]
            self.region_by_name[name] = name.split("-")[1]
        names += [f"forwarder-{link}" for link in self.forwarded]
        self.port_by_name = choose_ports(names)
