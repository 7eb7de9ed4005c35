"""Runs the stand-ins, entries and agents of one deployment on the loopback interface."""

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
POLL_INTERVAL_S = 0.05
SLOTS_PER_EXECUTOR = 8
CONNECTIONS_PER_EXECUTOR = 60
ACCELERATORS_PER_WORKER = 8
WORKERS_PER_RACK = 3


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Size of a deployment.

    :param executors: number of executors by region
    :param workers: number of workers by region
    :param cores: processor cores of each worker
    :param memory_gb: memory of each worker
    """

    name: str
    regions: tuple[str, ...]
    executors: dict[str, int]
    workers: dict[str, int]
    cores: int
    memory_gb: int
    entries_per_region: int = 1


# Two example deployments, which differ in regions, cores and memory of their workers.
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
class ChildProcess:
    """Process that a fleet started."""

    name: str
    command: list[str]
    process: "subprocess.Popen[bytes]"


@dataclass(kw_only=True)
class Fleet:
    """Processes of one deployment.

    :param folder: directory for settings files and logs
    :param service_time_s: run time of a request on an executor
    :param speed: seconds of work that a task at full speed does per second
    :param forwarded: links that pass through a forwarder: ``<entry>/peer`` for the agents and
        entries that dial this entry, ``<entry>/store`` for the requests of the entry to the store
    """

    deployment: Deployment
    folder: Path
    service_time_s: float = 0.05
    speed: float = 1.0
    forwarded: frozenset[str] = frozenset()
    forwarder_by_link: dict[str, Forwarder] = field(default_factory=dict)
    children_by_name: dict[str, ChildProcess] = field(default_factory=dict)
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
        """Start the stand-in for an executor or a worker."""
        common_arguments = ["--port", str(self.port_by_name[name]), "--id", name]
        if name.startswith("exec-"):
            extra_arguments = ["--service-time-s", str(self.service_time_s)]
            self.start_child(name, ["standin", "executor", *common_arguments, *extra_arguments])
        else:
            extra_arguments = [
                "--accelerators",
                str(ACCELERATORS_PER_WORKER),
                "--speed",
                str(self.speed),
            ]
            self.start_child(name, ["standin", "worker", *common_arguments, *extra_arguments])

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
            settings["executor"] = {
                "slots": SLOTS_PER_EXECUTOR,
                "connections": CONNECTIONS_PER_EXECUTOR,
            }
        else:
            index = int(name.rsplit("-", 1)[1])
            settings["worker"] = {
                "rack": f"{region}-rack-{index // WORKERS_PER_RACK}",
                "accelerators": ACCELERATORS_PER_WORKER,
                "cores": self.deployment.cores,
                "memory_gb": self.deployment.memory_gb,
            }
        self._start_program("agent", f"agent-{name}", settings)

    def _start_program(self, program: str, name: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(f"// Settings of {name}.\n{json.dumps(settings, indent=2)}\n")
        self.start_child(name, [program, "--settings", str(path)])

    def start_child(self, name: str, arguments: list[str]) -> None:
        """Start a program with its output in a log file of the folder.

        :param arguments: ``standin`` or the name of a program, then its command-line arguments
        """
        package = (
            "chicorycrank_standin" if arguments[0] == "standin" else f"chicorycrank.{arguments[0]}"
        )
        command = [sys.executable, "-m", f"{package}.main", *arguments[1:]]
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.children_by_name[name] = ChildProcess(name=name, command=command, process=process)

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a child by its process id."""
        os.kill(self.children_by_name[name].process.pid, signal_number)

    def kill(self, name: str) -> None:
        """Kill a child with SIGKILL and wait until it has ended."""
        self.signal(name, signal.SIGKILL)
        self.children_by_name[name].process.wait(STOP_TIMEOUT_S)

    def stop(self) -> None:
        """Terminate every child, or kill it after a timeout, and stop the forwarders."""
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
        """Return the base URL of an entry or a stand-in."""
        return f"http://{HOST}:{self.port_by_name[name]}"

    def call(
        self, name: str, method: str, path: str, body: Any = None, **headers: str
    ) -> tuple[int, Any]:
        """Send an HTTP request to an entry or a stand-in.

        :param headers: HTTP headers, with an underscore for each hyphen of the name
        :return: the status, and the decoded JSON or the text of the body
        """
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
        """Wait until a process responds with status 200."""
        self.wait(
            lambda: self._is_available(name, path), f"{name} does not respond with status 200"
        )

    def wait_connected(self) -> None:
        """Wait until the entries of each region list all its targets and one of them is leader."""

        def is_ready() -> bool:
            for region in self.deployment.regions:
                names = [n for n in self.entry_names() if self.region_by_name[n] == region]
                states = [self.call(name, "GET", "/v1/state")[1] for name in names]
                expected_targets = (
                    self.deployment.executors[region] + self.deployment.workers[region]
                )
                if not all(len(state["targets"]) == expected_targets for state in states):
                    return False
                if not any(state["is_leader"] for state in states):
                    return False
            return True

        self.wait(is_ready, "not every region has all targets connected and a leader")

    @staticmethod
    def wait(condition: Any, problem: str, timeout_s: float = START_TIMEOUT_S) -> None:
        """Poll a condition until it holds.

        :param problem: message of the error
        :raises TimeoutError: the condition did not hold within the timeout
        """
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise TimeoutError(problem)
            time.sleep(POLL_INTERVAL_S)

    def _is_available(self, name: str, path: str) -> bool:
        try:
            return self.call(name, "GET", path)[0] == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _start_forwarders(self) -> None:
        for link in sorted(self.forwarded):
            name, _, endpoint = link.partition("/")
            if name not in self.entry_names() or endpoint not in ("peer", "store"):
                raise ValueError(
                    f"unknown link {link}: expected <entry>/peer or <entry>/store of an entry"
                )
            forwarder = Forwarder(self._dialled_port(link), self._served_port(link))
            forwarder.start()
            self.forwarder_by_link[link] = forwarder

    def _served_port(self, link: str) -> int:
        """Return the port on which the entry or store at the end of a link listens."""
        return self.port_by_name["store" if link.endswith("/store") else link]

    def _dialled_port(self, link: str) -> int:
        """Return the port to dial for a link, which is its forwarder's port if it has one."""
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
