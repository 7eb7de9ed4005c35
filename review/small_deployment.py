"""Small deployment for the scripts of the second review, on loopback addresses and the real clock.

The programs are started with the commands of ``deploy/system.toml``. The store and the executors
are the project's stand-ins; each program reaches the store through a relay of its own.
"""

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request
from base64 import b64encode
from collections.abc import Callable
from pathlib import Path
from typing import Any

import yaml
from chicorycrank_standin.background import HOST, serve_in_background
from chicorycrank_standin.forwarder import Forwarder
from chicorycrank_standin.http import Handler, HttpRequest, HttpResponse, json_response
from chicorycrank_standin.platform.executor import BatchExecutorStandIn
from chicorycrank_standin.platform.kv_store import KvStoreStandIn
from chicorycrank_standin.platform.run_recorder import RunRecorder

ROOT = Path(__file__).resolve().parents[2]
QUEUE_HOST = "review.example"
KEY = "key-red"
SERVICE = "service"
HELD, BROKEN, NOT_RUN = 0, 1, 2


# The stand-ins choose their ports above this range, and outgoing connections above theirs.
PORT_RANGE = (2_000, 10_000)
_used_ports: set[int] = set()


def free_port() -> int:
    """Return a free port that this function has not returned before."""
    while True:
        port = random.randrange(*PORT_RANGE)
        if port in _used_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _used_ports.add(port)
        return port


class Record:
    """File ``record.txt`` of a case, with the time in seconds since the start on each line."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._started_at:7.2f} s  {text}\n")
            self._file.flush()


class Relay:
    """TCP relay of one program to the store, which can silence open connections.

    A silent connection stays open and passes nothing on; new connections work.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.port = free_port()
        self._listener = socket.create_server((HOST, self.port), backlog=64)
        self._lock = threading.Lock()
        self._links: list[dict[str, Any]] = []
        self._is_cut = False
        threading.Thread(target=self._accept, daemon=True).start()

    def silence_next(self, request_part: bytes, timeout_s: float) -> bool:
        """Silence the connection of the next request that contains these bytes.

        The request itself still reaches the store. Returns false if none comes in time.
        """
        silenced = threading.Event()
        with self._lock:
            self._wanted = (request_part, silenced)
        return silenced.wait(timeout_s)

    def set_cut(self, is_cut: bool) -> None:
        """Let nothing pass on any connection, open or new, while the relay is cut."""
        self._is_cut = is_cut

    def set_refusing(self, is_refusing: bool) -> None:
        """Close all connections, and close new ones at once, while the relay refuses."""
        self._is_refusing = is_refusing
        for link in self._links:
            for end in link["ends"]:
                _close(end)
        self._links.clear()

    _is_refusing = False
    _wanted: tuple[bytes, threading.Event] | None = None

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                if self._is_refusing:
                    _close(client)
                    continue
                server = socket.create_connection((HOST, self._target_port))
            except OSError:
                return
            link: dict[str, Any] = {"silent": False, "ends": (client, server)}
            self._links.append(link)
            for source, target, is_request in ((client, server, True), (server, client, False)):
                threading.Thread(
                    target=self._copy, args=(link, source, target, is_request), daemon=True
                ).start()

    def _copy(
        self, link: dict[str, Any], source: socket.socket, target: socket.socket, is_request: bool
    ) -> None:
        try:
            while chunk := source.recv(65536):
                if self._is_cut:
                    link["silent"] = True  # what was lost makes the connection useless
                if link["silent"]:
                    continue
                target.sendall(chunk)
                if is_request:
                    with self._lock:
                        wanted = self._wanted
                        if wanted is not None and wanted[0] in chunk:
                            link["silent"], self._wanted = True, None
                            wanted[1].set()
        except OSError:
            pass
        if link["silent"] and not is_request:
            return
        for end in (source, target):
            _close(end)


def _close(end: socket.socket) -> None:
    try:
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    end.close()


class ObservedStore(KvStoreStandIn):
    """Store that tells the script of each transaction that it has carried out.

    :ivar on_commit: called with the body, before the response is sent
    """

    on_commit: Callable[[dict[str, Any]], None] = staticmethod(lambda body: None)
    _blind_since: int | None = None

    def set_blind(self, is_blind: bool) -> None:
        """Let watches hear nothing of changes; then drop the history and cut the watches."""
        with self._condition:
            self._blind_since = self._revision if is_blind else None
            if not is_blind:
                self._watch_cuts += 1
                self.discard_history()
            self._condition.notify_all()

    def _events_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        events = super()._events_after(prefix, after)
        if self._blind_since is not None:
            return [event for event in events if event["revision"] <= self._blind_since]
        return events

    def _watch_range(self, request: HttpRequest) -> HttpResponse:
        """Answer a watch; one that waits when the watches are cut ends without an answer."""
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query.get("waitMs", 0)) / 1000
        with self._condition:
            if after < self._discarded_revision:
                return json_response({}, status=410)
            cuts = self._watch_cuts
            self._condition.wait_for(
                lambda: bool(self._watch_cuts != cuts or self._events_after(prefix, after)), wait_s
            )
            if self._watch_cuts != cuts:
                return HttpResponse(status=503, body=b"{}", is_truncated=True)
            events = self._events_after(prefix, after)
            return json_response({"events": events, "currentRev": self._revision})

    def watch_range(self, request: HttpRequest) -> HttpResponse:
        return self._watch_range(request)

    def routes(self) -> dict[str, Handler]:
        routes = super().routes()
        routes["GET /-/kv-watch"] = lambda request: self.watch_range(request)
        return routes

    def _commit_transaction(self, request: HttpRequest) -> HttpResponse:
        response = super()._commit_transaction(request)
        if response.status == 200:
            self.on_commit(request.json())
        return response


class Program:
    """Process of the project with its settings file and its relay to the store."""

    def __init__(self, name: str, module: str, store_port: int, folder: Path) -> None:
        self.name = name
        self.port, self.ready_port = free_port(), free_port()
        self.relay = Relay(store_port)
        self.settings_path = folder / f"{name}.yaml"
        self.settings: dict[str, Any] = {}
        self._module = module
        self._log = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, **fields: Any) -> None:
        self.settings.update(fields)
        new = self.settings_path.with_suffix(".new")
        new.write_text(yaml.safe_dump(self.settings))
        new.replace(self.settings_path)

    def start(self) -> None:
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHICORYCRANK_NODE_FILE": str(self.settings_path),
        }
        self.process = subprocess.Popen(
            ["python3", "-m", f"chicorycrank.programs.{self._module}"],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self._log.close()


class SmallDeployment:
    """Entries, agents with executors, store and list of machines."""

    def __init__(
        self, record: Record, *, entries: int = 2, agents: int = 2, accelerators: int = 4
    ) -> None:
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-2-")
        folder = Path(self._folder.name)
        self.runs = RunRecorder()
        self.store = ObservedStore(random.Random(1))
        self._servers = []
        server, address = serve_in_background(self.store.routes())
        self._servers.append(server)
        self.store_port = int(address.rpartition(":")[2])
        self.store.list_machines = self._list_machines
        self.config = self._first_config()
        self.put_config()
        self.entries = [
            Program(f"edge-{n}", "batch_entry", self.store_port, folder) for n in range(entries)
        ]
        self.agents = [
            Program(f"side-{n}", "batch_agent", self.store_port, folder) for n in range(agents)
        ]
        self.executors: list[BatchExecutorStandIn] = []
        for program in self.programs:
            program.configure(**_settings(program))
        for number, agent in enumerate(self.agents):
            executor = BatchExecutorStandIn(
                f"executor-{number}",
                f"{HOST}:{agent.port}",
                self.runs,
                random.Random(number),
                accelerators=accelerators,
                agent=agent.name,
            )
            server, address = serve_in_background(executor.routes())
            self._servers.append(server)
            executor.link = Forwarder(free_port(), int(address.rpartition(":")[2]))
            executor.link.start()
            agent.configure(app=executor.link.address)
            self.executors.append(executor)

    @property
    def programs(self) -> list[Program]:
        return [*self.entries, *self.agents]

    def start(self) -> None:
        for program in self.programs:
            program.start()

    def close(self) -> None:
        for program in self.programs:
            program.close()
        for executor in self.executors:
            executor.close()
            if executor.link is not None:
                executor.link.stop()
        logs = os.environ.get("REVIEW_LOGS")
        if logs:
            subprocess.run(["cp", "-r", self._folder.name, logs], check=False)
        self._folder.cleanup()

    def put_config(self) -> None:
        self.store.put("op/config", b64encode(json.dumps(self.config).encode()).decode())

    def leader(self) -> Program | None:
        """Return the entry that holds the leader role according to its own state page."""
        for entry in self.entries:
            try:
                url = f"http://{HOST}:{entry.settings['internalPorts'][0]}/state"
                with urllib.request.urlopen(url, timeout=1) as answer:
                    if json.load(answer)["is_leader"]:
                        return entry
            except (OSError, ValueError, http.client.HTTPException):
                continue
        return None

    def call(
        self,
        entry: Program,
        method: str,
        path: str,
        body: Any = None,
        key: str = KEY,
        timeout_s: float = 3.0,
    ) -> tuple[int, dict[str, Any]]:
        """Send a client's call; the status is 0 if no answer came."""
        request = urllib.request.Request(
            f"http://{HOST}:{entry.port}{path}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={
                "Host": QUEUE_HOST,
                "Credential": key,
                "Deadline-Ms": str(round(timeout_s * 1000)),
                "Content-Type": "application/json",
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=timeout_s) as answer:
                status, data = answer.status, answer.read()
        except urllib.error.HTTPError as error:
            status, data = error.code, error.read()
        except (OSError, http.client.HTTPException) as error:
            self.record.write(f"{entry.name} {method} {path}: no answer ({error})")
            return 0, {}
        self.record.write(f"{entry.name} {method} {path} key={key}: {status} {data.decode()}")
        return status, json.loads(data or b"{}")

    def submit(self, job_id: str, *, seconds: float, gpus: int, count: int = 1, **step: Any) -> int:
        """Submit a job of one step at any entry until it is accepted; return the last status."""
        spec = json.dumps({"seconds": seconds, "members": 1, "accelerators": gpus})
        body = {
            "spec": spec,
            "steps": [
                {"count": count, "cpu": 1000, "memMb": 100, "gpus": gpus}
                | {"estimatedMs": round(seconds * 1000)}
                | step
            ],
        }
        status = 0
        for attempt in range(8):
            entry = self.entries[attempt % len(self.entries)]
            status, _ = self.call(entry, "POST", f"/jobs/{job_id}", body)
            if status == 200:
                return status
            time.sleep(0.5)
        return status

    def wait_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.01)
        return False

    def wait_until_ready(self, timeout_s: float = 25.0) -> bool:
        """Wait until all entries are ready and all agents have registered their executors."""

        def is_ready() -> bool:
            for entry in self.entries:
                try:
                    with urllib.request.urlopen(
                        f"http://{HOST}:{entry.ready_port}/-/ready", timeout=1
                    ):
                        pass
                except (OSError, http.client.HTTPException):
                    return False
            if self.leader() is None:
                return False
            for agent in self.agents:
                try:
                    url = f"http://{HOST}:{agent.settings['internalPorts'][0]}/state"
                    with urllib.request.urlopen(url, timeout=1) as answer:
                        if not json.load(answer)["registered"]:
                            return False
                except (OSError, ValueError, http.client.HTTPException):
                    return False
            return True

        is_up = self.wait_until(is_ready, timeout_s)
        time.sleep(1.0)
        return is_up

    def running(self, job_id: str) -> list[Any]:
        """Return the runs of a job that have not ended."""
        with self.runs.lock:
            return [r for r in self.runs.runs if r.job == job_id and r.ended_at is None]

    def write_runs(self) -> None:
        """Write all runs to the record."""
        with self.runs.lock:
            for run in self.runs.runs:
                ended = "runs on" if run.ended_at is None else f"{run.end_kind}"
                self.record.write(
                    f"run {run}, started at {run.started_at - self.record._started_at:.2f} s,"
                    f" {ended}"
                    + (
                        ""
                        if run.ended_at is None
                        else f" at {run.ended_at - self.record._started_at:.2f} s,"
                        f" end taken note of: {run.is_end_seen}"
                    )
                )

    def _list_machines(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": executor.name,
                "pool": SERVICE,
                "state": "up" if executor.is_up else "down",
                "zone": "zone-a",
                "labels": ["a", "r1"],
                "id": executor.instance if executor.is_up else "",
            }
            for executor in self.executors
        ]

    @staticmethod
    def _first_config() -> dict[str, Any]:
        return {
            "version": 1,
            "routes": [
                {
                    "name": "jobs",
                    "host": QUEUE_HOST,
                    "prefix": "/jobs/",
                    "service": SERVICE,
                    "priority": 1,
                    "maxAttempts": 3,
                    "targetLatencyMs": 500,
                    "slackFactor": 2,
                }
            ],
            "services": [{"name": SERVICE}],
            "tenants": [{"name": "red", "apiKeys": [KEY], "guaranteed": {"gpus": 4}}],
            "limits": {"maxBodyBytes": 262144},
        }


def _settings(program: Program) -> dict[str, Any]:
    is_entry = program.name.startswith("edge")
    return {
        "node": program.name,
        "role": "entry" if is_entry else "agent",
        "machineClass": "edge" if is_entry else "side",
        "serves": ["edge"] if is_entry else ["side"],
        "ip": HOST,
        "zone": "zone-a",
        "region": "region",
        "zones": {"zone-a": "region"},
        "bindAddresses": {
            "front": f"{HOST}:{program.port}",
            "ready": f"{HOST}:{program.ready_port}",
        }
        if is_entry
        else {"control": f"{HOST}:{program.port}"},
        "internalPorts": [free_port(), free_port()],
        "seeds": [],
        "bootstrap": True,
        "dataDir": None,
        "heartbeatMs": 1500,
        "bounds": {
            "contactMs": 4000,
            "revokeMs": 5000,
            "revokeStrict": True,
            "configApplyMs": 2500,
            "drainMs": 2500,
            "graceS": 6,
            "maxHoldMs": 10000,
            "stopTimeoutMs": 400,
            "gangTimeoutMs": 3000,
            "visible_ms": 3000,
            "finish_s": 14,
            "checkpointIntervalS": 2,
            "status_s": 120,
        },
        "controlMode": "call",
        "platform": {"address": f"{HOST}:{program.relay.port}", "form": "kv"},
        "cloud": {"address": f"{HOST}:{program.relay.port}", "ratePerS": 60.0, "duties": []},
    }


def run_case(
    folder: Path,
    play: Callable[[SmallDeployment, Record], int],
    *,
    has_trouble: bool,
    **sizes: int,
) -> None:
    """Play a case, end all processes and exit with its result.

    :param has_trouble: the script plays its disruption; for the record
    """
    # The time limit of run.sh must not leave processes behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    record.write("with the disruption" if has_trouble else "without the disruption")
    deployment = SmallDeployment(record, **sizes)
    result = NOT_RUN
    try:
        deployment.start()
        if deployment.wait_until_ready():
            result = play(deployment, record)
        else:
            record.write("the deployment did not get ready")
        deployment.write_runs()
    except (Exception, SystemExit) as error:
        record.write(f"the case could not run: {error!r}")
        result = NOT_RUN
    finally:
        deployment.close()
        record.write(f"result {result}")
    sys.stdout.flush()
    os._exit(result)
