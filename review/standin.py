"""Stand-ins for the platform of the review's scripts: store, machine list, executors, clients.

They use the standard library only and bind loopback addresses. A disruption is a method that the
script of a case calls; without it the stand-ins behave like a sound platform.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from base64 import b64decode, b64encode
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"
ROOT = Path(__file__).resolve().parent.parent
SERVICE = "desk"
API_KEY = "key-red"
CLIENT_HOST = "jobs.example"
# Bounds of the small deployments (`sites/`), in the spelling of the settings file.
BOUNDS = {
    "contactMs": 4000,
    "ackMs": 5000,
    "drainMs": 2500,
    "graceS": 6,
    "configApplyMs": 2500,
    "revokeStrict": True,
    "revokeMs": 5000,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpointIntervalS": 2,
    "reclaimMs": 2900,
    "leaseMs": 3000,
}
HEARTBEAT_MS = 1500
MAX_VALUE_BYTES = 1_048_576
STORE_DELAY_S = 0.004  # the store answers after 4 ms
_USED_PORTS = set()


def is_troubled():
    """Return whether the disruption of a case shall happen (`TROUBLE=0` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Log of what was sent, answered and run, written to `record.txt` of a case."""

    def __init__(self, path):
        self._lock = threading.Lock()
        self._start = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def now(self):
        """Return the time in seconds since the start."""
        return time.monotonic() - self._start

    def write(self, text):
        """Write a line with the time since the start."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def free_port():
    """Return a port that is free, and that the system gives to no outgoing connection."""
    while True:
        port = random.randrange(20_000, 32_000)
        if port in _USED_PORTS:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _USED_PORTS.add(port)
        return port


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, address, handler):
        super().__init__(address, handler)
        self.connections = set()

    def get_request(self):
        connection, address = super().get_request()
        self.connections.add(connection)
        return connection, address

    def handle_error(self, request, client_address):
        pass

    def reset_connections(self):
        """Close the port and all open connections, as a process that ends does."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def serve(port, handle):
    """Serve `handle(method, path, query, headers, body) -> (status, document)` in threads.

    A status of 0 closes the connection without an answer.
    """

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def _handle(self):
            body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
            url = urlsplit(self.path)
            headers = {name.lower(): value for name, value in self.headers.items()}
            status, document = handle(
                self.command, url.path, dict(parse_qsl(url.query)), headers, body
            )
            if not status:
                self.close_connection = True
                return
            data = json.dumps(document).encode()
            self.send_response_only(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)
            self.wfile.flush()

        do_GET = do_PUT = do_POST = do_DELETE = _handle

        def log_message(self, *_):
            pass

    server = _Server((HOST, port), Handler)
    threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
    return server


class Store:
    """The platform's key-value store, and its list of machines."""

    def __init__(self, record):
        self._record = record
        self._condition = threading.Condition()
        self._items = {}
        self._events = []
        self._revision = 1
        self._discarded = 0
        self._leases = {}
        self._last_lease = 0
        self._silent = False
        self._cuts = 0
        self._oversized = 0
        self.machines = dict
        self.address = f"{HOST}:{free_port()}"
        serve(int(self.address.rpartition(":")[2]), self._handle)
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def put_config(self, config):
        """Write the operator's configuration."""
        with self._condition:
            self._revision += 1
            self._set("op/config", b64encode(json.dumps(config).encode()).decode(), 0)
            self._condition.notify_all()

    def compact(self, silence_s=1.0):
        """Let watches hear nothing for a second; then drop the history and cut them."""
        self._record.write("store: watches hear nothing")
        with self._condition:
            self._silent = True
        time.sleep(silence_s)
        with self._condition:
            self._silent = False
            self._events.clear()
            self._discarded = self._revision
            self._cuts += 1
            self._condition.notify_all()
        self._record.write("store: history dropped, watches cut")

    def _handle(self, method, path, query, headers, body):
        time.sleep(STORE_DELAY_S)
        document = json.loads(body) if body else {}
        if path == "/-/machines":
            return 200, {"machines": self.machines(), "nextPageToken": None}
        if path == "/-/kv-watch":
            return self._watch(query)
        with self._condition:
            if path == "/-/kv-key":
                item = self._items.get(query["key"])
                return (200 if item else 404), {**(item or {}), "currentRev": self._revision}
            if path == "/-/kv-range":
                items = [
                    self._items[key]
                    for key in sorted(self._items)
                    if key.startswith(query["prefix"]) and key > query.get("after", "")
                ]
                return 200, {
                    "items": items[:500],
                    "hasMore": len(items) > 500,
                    "currentRev": self._revision,
                }
            if path == "/-/kv-txn":
                return self._commit(document)
            if path == "/-/kv-lease":
                self._last_lease += 1
                ttl_s = document["ttlMs"] / 1000
                self._leases[self._last_lease] = [ttl_s, time.monotonic() + ttl_s]
                return 200, {"lease": self._last_lease, "ttlMs": document["ttlMs"]}
            lease = int(path.rpartition("/")[2])
            if lease not in self._leases:
                return 404, {}
            if path.startswith("/-/kv-keep/"):
                self._leases[lease][1] = time.monotonic() + self._leases[lease][0]
                return 200, {"ttlMs": round(self._leases[lease][0] * 1000)}
            self._end_lease(lease)
            return 200, {}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + min(30.0, int(query.get("waitMs", 0)) / 1000)
        with self._condition:
            cuts = self._cuts
            while True:
                if self._cuts != cuts:
                    return 0, {}
                if after < self._discarded:
                    return 410, {}
                if not self._silent:
                    events = [
                        event
                        for event in self._events
                        if event["revision"] > after and event["key"].startswith(prefix)
                    ]
                    if events or time.monotonic() >= until:
                        return 200, {"events": events, "currentRev": self._revision}
                self._condition.wait(max(0.005, min(0.05, until - time.monotonic())))

    def _commit(self, document):
        expected = document.get("expected", [])
        found = [self._items[row["key"]] for row in expected if row["key"] in self._items]
        revisions = {item["key"]: item["revision"] for item in found}
        if any(revisions.get(row["key"], 0) != row["revision"] for row in expected):
            return 412, {"items": found, "currentRev": self._revision}
        rows = document.get("setKeys", [])
        if any(row.get("lease") and row["lease"] not in self._leases for row in rows):
            return 404, {}
        for row in rows:
            size = len(b64decode(row["value"]))
            if size > MAX_VALUE_BYTES:
                self._oversized += 1
                if self._oversized in (1, 10, 100):
                    self._record.write(
                        f"store: 400 (number {self._oversized}), {row['key']} has {size} bytes"
                    )
                return 400, {"error": f"{row['key']}: the value is too large"}
        self._revision += 1
        for row in rows:
            self._set(row["key"], row["value"], row.get("lease", 0))
        for key in document.get("remove", []):
            self._remove(key)
        self._condition.notify_all()
        return 200, {"revision": self._revision}

    def _set(self, key, value, lease):
        created = self._items.get(key, {}).get("created", self._revision)
        self._items[key] = {
            "key": key,
            "value": value,
            "revision": self._revision,
            "created": created,
            "lease": lease,
        }
        self._events.append(self._items[key])

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._events.append({"key": key, "revision": self._revision, "deleted": True})

    def _end_lease(self, lease):
        del self._leases[lease]
        self._revision += 1
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self._remove(key)
        self._condition.notify_all()

    def _expire_leases(self):
        while True:
            time.sleep(0.02)
            with self._condition:
                for lease, (_, expires_at) in list(self._leases.items()):
                    if expires_at <= time.monotonic():
                        self._end_lease(lease)


class Executor:
    """Executor of one agent. A task works for as many seconds as its `spec` says.

    A stop takes `stop_s`; the run is listed as running until its end is listed.
    """

    def __init__(
        self, record, name, control, *, gpus=4, cores=64, kind="a", rack="r1-1", stop_s=0.3
    ):
        self.name = name
        self.gpus = gpus
        self.cores = cores
        self.kind = kind
        self.rack = rack
        self.stop_s = stop_s
        self.address = f"{HOST}:{free_port()}"
        self.runs_log = []  # (task, run, executor, started at, ended at or None, how)
        self._record = record
        self._control = control
        self._condition = threading.Condition()
        self._lives = 0
        self.is_up = False
        self._beat_now = threading.Event()
        self.start()
        threading.Thread(target=self._work, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def id(self):
        """Id of the present life."""
        return f"{self.name}-{self._lives}"

    def start(self, kind=""):
        """Begin a new life, which knows nothing of the life before.

        :param kind: kind of the new life, if it is of a different one
        """
        with self._condition:
            self.kind = kind or self.kind
            self._lives += 1
            self._born_ms = round(time.time() * 1000)
            self._started = time.monotonic()
            self._fence = 0
            self._seq = 0
            self._lease_ms = 0
            self._runs = {}
            self._closed = {}
            self._ends = []
            self._last_end = 0
            self.state = "ready"
            self._leaves_at = None
            self.is_up = True
        self._server = serve(int(self.address.rpartition(":")[2]), self._handle)
        self._record.write(f"executor {self.id}: starts, of kind {self.kind}")
        self._beat_now.set()

    def crash(self):
        """End without notice: all runs end, the port is closed, connections break."""
        with self._condition:
            self.is_up = False
            for run in list(self._runs.values()):
                self._finish(run, "crashed")
            self._runs = {}
            self._condition.notify_all()
        self._server.reset_connections()
        self._record.write(f"executor {self.id}: has crashed")

    def drain(self, remaining_s):
        """Say that it drains; the executor serves on for `remaining_s` and then leaves."""
        with self._condition:
            self.state = "draining"
            self._leaves_at = time.monotonic() + remaining_s
        self._record.write(f"executor {self.id}: drains, {remaining_s} s are left")
        self._beat_now.set()

    def running(self):
        """Return the names of the tasks that run now."""
        with self._condition:
            return sorted(self._runs)

    def clock_ms(self):
        """Return the reading of the executor's own clock."""
        return round((time.monotonic() - self._started) * 1000)

    def _handle(self, method, path, query, headers, body):
        if path == "/health":
            return 200, {}
        document = json.loads(body) if body else {}
        with self._condition:
            if not self.is_up:
                return 0, {}
            if headers.get("expect-instance", self.id) != self.id:
                return 421, {"clockMs": self.clock_ms()}
            if document.get("fencingToken", 0) < self._fence:
                return 409, {"clockMs": self.clock_ms(), "reason": "fence"}
            self._fence = document.get("fencingToken", 0)
            if path == "/-/run-start":
                return self._start_run(document)
            if path == "/-/run-stop":
                return self._stop_run(document)
            if path == "/-/hold":
                return self._hold(document)
            return 200, {"clockMs": self.clock_ms()}

    def _start_run(self, document):
        task, run = document["task"], document["run"]
        known = self._runs.get(task)
        answer = {"clockMs": self.clock_ms()}
        if known is not None and known["run"] == run:
            return 200, answer
        if run <= self._closed.get(task, 0):
            return 409, {**answer, "reason": "old"}
        if document["deadlineMs"] <= self.clock_ms():
            return 409, {**answer, "reason": "late"}
        self._hold_until(document["deadlineMs"])
        entry = {
            "task": task,
            "run": run,
            "executor": self.id,
            "kind": self.kind,
            "seconds": float(document["spec"].split()[0]),
            "started": self._record.now(),
            "ended": None,
            "how": "",
            "stop_at": None,
        }
        self._runs[task] = entry
        self.runs_log.append(entry)
        self._record.write(f"executor {self.id}: {task} run {run} starts")
        return 200, answer

    def _stop_run(self, document):
        task, run = document["task"], document["run"]
        self._closed[task] = max(run, self._closed.get(task, 0))
        known = self._runs.get(task)
        if known is not None and known["run"] <= run and known["stop_at"] is None:
            known["stop_at"] = self._record.now() + self.stop_s
            self._record.write(f"executor {self.id}: {task} run {known['run']} is told to stop")
        return 200, {"clockMs": self.clock_ms()}

    def _hold(self, document):
        self._hold_until(document.get("deadlineMs", 0))
        self._ends = [end for end in self._ends if end[0] > document["lastSeen"]]
        until = time.monotonic() + min(2000, document.get("waitMs", 0)) / 1000
        life = self._lives
        while not self._ends and time.monotonic() < until:
            self._condition.wait(0.02)
            if not self.is_up or life != self._lives:
                return 0, {}
        rows = [
            [run["task"], run["run"], "", self._percent(run), 1000] for run in self._runs.values()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self._born_ms,
            "running": rows,
            "finished": self._ends[:500],
        }

    def _percent(self, run):
        return min(99, int(100 * (self._record.now() - run["started"]) / run["seconds"]))

    def _hold_until(self, deadline_ms):
        longest = self.clock_ms() + BOUNDS["maxHoldMs"]
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest))

    def _finish(self, run, how):
        run["ended"], run["how"] = self._record.now(), how
        self._record.write(f"executor {self.id}: {run['task']} run {run['run']} ends: {how}")

    def _end(self, run, how):
        del self._runs[run["task"]]
        self._finish(run, how)
        self._closed[run["task"]] = max(run["run"], self._closed.get(run["task"], 0))
        self._last_end += 1
        self._ends.append([self._last_end, run["task"], run["run"], how, ""])
        self._condition.notify_all()

    def _work(self):
        while True:
            time.sleep(0.01)
            with self._condition:
                if not self.is_up:
                    continue
                now = self._record.now()
                has_lapsed = bool(self._runs) and self.clock_ms() > self._lease_ms
                for run in list(self._runs.values()):
                    if has_lapsed:
                        self._end(run, "lapsed")
                    elif run["stop_at"] is not None and now >= run["stop_at"]:
                        self._end(run, "stopped")
                    elif run["stop_at"] is None and now >= run["started"] + run["seconds"]:
                        self._end(run, "done")
                is_leaving = self._leaves_at is not None and time.monotonic() >= self._leaves_at
                if is_leaving:
                    self.is_up = False
                    for run in list(self._runs.values()):
                        self._finish(run, "left")
                    self._runs = {}
            if is_leaving:
                self._call("DELETE", None)
                self._server.reset_connections()
                self._record.write(f"executor {self.id}: has left")

    def _beat(self):
        while True:
            self._beat_now.wait(HEARTBEAT_MS / 1000)
            self._beat_now.clear()
            with self._condition:
                if not self.is_up:
                    continue
                self._seq += 1
                document = {
                    "service": SERVICE,
                    "address": self.address,
                    "zone": "zone-a",
                    "version": "v1",
                    "slots": 8,
                    "state": self.state,
                    "coldRemainingMs": 0,
                    "capacity": {
                        "cpu": self.cores * 1000,
                        "memMb": self.cores * 4096,
                        "gpus": self.gpus,
                    },
                    "labels": [self.kind, self.rack],
                    "clockMs": self.clock_ms(),
                    "born": self._born_ms,
                    "seq": self._seq,
                }
                if self._leaves_at is not None:
                    left_s = self._leaves_at - time.monotonic()
                    document["remainingMs"] = max(0, round(left_s * 1000))
            self._call("PUT", document)

    def _call(self, method, document):
        connection = http.client.HTTPConnection(*self._control.split(":"), timeout=1.0)
        try:
            body = None if document is None else json.dumps(document)
            connection.request(method, f"/-/instances/{self.id}", body)
            status = connection.getresponse().status
            if method == "DELETE" or document["state"] != "ready":
                state = "leaves" if method == "DELETE" else document["state"]
                self._record.write(f"executor {self.id}: says {state}: {status}")
        except OSError:
            if method == "PUT" and self.is_up:
                timer = threading.Timer(0.2, self._beat_now.set)
                timer.daemon = True
                timer.start()
        finally:
            connection.close()


class Program:
    """Entry or agent as a process of its own."""

    def __init__(self, record, folder, name, module, settings):
        self.name = name
        self._record = record
        self._module = module
        self._path = folder / f"{name}.yaml"
        self._log = open(folder / f"{name}.log", "ab")
        self._process = None
        self._path.write_text(json.dumps(settings), encoding="utf-8")  # JSON is YAML, too

    def start(self):
        """Start the process with the command of the deploy file."""
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CHICORYCRANK_NODE_FILE"] = str(self._path)
        self._process = subprocess.Popen(
            ["python3", "-m", f"chicorycrank.programs.{self._module}"],
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self._record.write(f"process {self.name}: started")

    def signal(self, number):
        """Send a signal to the process."""
        if self._process.poll() is None:
            self._record.write(f"process {self.name}: {signal.Signals(number).name}")
            self._process.send_signal(number)

    def wait(self):
        """Wait for the end of the process."""
        self._process.wait(10)

    def close(self):
        """Kill the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        self._log.close()


class Deployment:
    """Small deployment: three entries, and executors with an agent each."""

    def __init__(self, case, *, entries=3, executors=3, gpus=4, cores=64, max_attempts=3, kinds=()):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(Path(case) / "record.txt")
        self.record.write(f"disruption: {'yes' if is_troubled() else 'no'}")
        self.store = Store(self.record)
        self.fronts, self.entries, self.agents, self.executors = [], [], [], []
        for number in range(entries):
            front = f"{HOST}:{free_port()}"
            addresses = {"front": front, "ready": f"{HOST}:{free_port()}"}
            self.fronts.append(front)
            self.entries.append(self._program(f"edge-{number}", "batch_entry", addresses))
        for number in range(executors):
            control = f"{HOST}:{free_port()}"
            executor = Executor(
                self.record,
                f"x{number}",
                control,
                gpus=gpus,
                cores=cores,
                kind=kinds[number] if kinds else "a",
                rack=f"r1-{number}",
            )
            self.executors.append(executor)
            self.agents.append(
                self._program(
                    f"side-{number}", "batch_agent", {"control": control}, app=executor.address
                )
            )
        self.store.machines = lambda: [
            {"machine": executor.name, "pool": SERVICE, "state": "up", "id": executor.id}
            for executor in self.executors
            if executor.is_up
        ]
        routes = [
            {
                "name": name,
                "host": CLIENT_HOST,
                "prefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeoutMs": 3000,
                "targetLatencyMs": 1200,
                "priority": priority,
                "service": SERVICE,
                "maxAttempts": max_attempts,
                "slackFactor": 3.0,
                "allowAnonymous": False,
            }
            for priority, name in enumerate(("urgent", "plain", "bulk"))
        ]
        tenants = [{"name": "red", "apiKeys": [API_KEY], "guaranteed": {"gpus": gpus}}]
        service = {"name": SERVICE, "healthPath": "/health", "enforceLimits": False}
        self.store.put_config(
            {"version": 7, "routes": routes, "services": [service], "tenants": tenants}
        )

    def _program(self, name, module, addresses, **fields):
        settings = {
            "node": name,
            "ip": HOST,
            "zone": "zone-a",
            "region": "region",
            "bindAddresses": addresses,
            "heartbeatMs": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "controlMode": "call",
            "platform": {
                "address": self.store.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "retentionS": 20,
                "maxValueBytes": MAX_VALUE_BYTES,
                "minTtlMs": 1000,
            },
            "cloud": {"address": self.store.address},
            "recommendation": self.store.address,
            **fields,
        }
        return Program(self.record, self.folder, name, module, settings)

    def start(self):
        """Start all processes and wait until jobs are accepted and start on each executor."""
        for program in (*self.entries, *self.agents):
            program.start()
        limit = time.monotonic() + 20
        for front in self.fronts:
            while self.call(front, "GET", "/plain/", quiet=True)[0] != 200:
                if time.monotonic() > limit:
                    raise RuntimeError("an entry does not serve")
                time.sleep(0.1)
        task_count = sum(executor.gpus for executor in self.executors)
        job_id = self.submit(self.fronts[0], "plain", 0.5, count=task_count, gpus=1)[1]
        while self.state(self.fronts[0], "plain", job_id) != "completed":
            if time.monotonic() > limit:
                raise RuntimeError("the first job does not end")
            time.sleep(0.2)
        self.record.write("all serve")

    def call(self, front, method, path, document=None, *, quiet=False):
        """Make a client's call; return the status (0 for no answer) and the document."""
        connection = http.client.HTTPConnection(*front.split(":"), timeout=5.0)
        headers = {"Host": CLIENT_HOST, "Credential": API_KEY, "Deadline-Ms": "3000"}
        body = None if document is None else json.dumps(document)
        if body is not None:
            headers["Content-Type"] = "application/json"
        status, answer = 0, {}
        try:
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            data = response.read()
            status = response.status
            answer = json.loads(data) if data else {}
        except (OSError, ValueError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        if not quiet:
            entry = self.fronts.index(front)
            self.record.write(f"client: {method} {path} at edge-{entry}: {status} {answer}")
        return status, answer

    def submit(
        self, front, queue, seconds, *, count=1, gpus=1, estimated_s=None, spec_bytes=0, **fields
    ):
        """Hand a job of one step in; return the status and the job's id.

        :param spec_bytes: length to which `spec` is filled up
        """
        job_id = os.urandom(8).hex()
        step = {
            "count": count,
            "cpu": 1000,
            "memMb": 1000,
            "gpus": gpus,
            "estimatedMs": round((estimated_s or seconds) * 1000),
            **fields,
        }
        spec = f"{seconds} seconds".ljust(spec_bytes, ".")
        document = {"spec": spec, "steps": [step]}
        status, _ = self.call(front, "POST", f"/{queue}/{job_id}", document)
        return status, job_id

    def cancel(self, front, queue, job_id):
        """Cancel a job; return the status."""
        return self.call(front, "DELETE", f"/{queue}/{job_id}")[0]

    def state(self, front, queue, job_id, *, quiet=True):
        """Return the state of a job, or an empty string."""
        status, answer = self.call(front, "GET", f"/{queue}/{job_id}", quiet=quiet)
        return answer.get("state", "") if status == 200 else ""

    def runs_of(self, job_id):
        """Return all runs of a job's tasks, in order of their start."""
        runs = [run for executor in self.executors for run in executor.runs_log]
        runs = [run for run in runs if run["task"].startswith(f"{job_id}.")]
        return sorted(runs, key=lambda run: run["started"])

    def close(self):
        """End all processes."""
        for program in (*self.entries, *self.agents):
            program.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, play, **settings):
    """Play a case and end the process: 1 if the rule was broken, 0 if it held, 2 on an error.

    :param play: called with the deployment; returns a list of violations
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    deployment = None
    code = 2
    try:
        deployment = Deployment(case, **settings)
        deployment.start()
        violations = play(deployment)
        for violation in violations:
            deployment.record.write(f"VIOLATION {violation}")
            print(violation)
        code = 1 if violations else 0
        deployment.record.write(f"result: {'broken' if violations else 'held'}")
    except Exception as error:  # the case could not run
        print(f"not run: {error!r}", file=sys.stderr)
        if deployment is not None:
            deployment.record.write(f"not run: {error!r}")
    finally:
        if deployment is not None:
            deployment.close()
    sys.exit(code)
