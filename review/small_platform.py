"""Small platform on loopback addresses for the scripts of review/11 to review/15.

The store is the project's own stand-in. The executors are small stand-ins of their own that follow
PROTOCOL.md, "Running tasks" and "Service discovery", as far as the scripts need it. The programs
are started as the deploy file says: ``python3 -m chicorycrank.programs.batch_entry`` (or
``batch_agent``) at the root of the repository, with ``target/deps`` on Python's path.
"""

import json
import os
import random
import signal
import subprocess
import tempfile
import threading
import time
from base64 import b64encode
from pathlib import Path

import urllib3
import yaml

from chicorycrank_standin.background import HOST, free_port, serve_in_background
from chicorycrank_standin.http import json_response
from chicorycrank_standin.platform.kv_store import KvStoreStandIn

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000  # maxHoldMs
STOP_S = 0.2  # time until a stopped run has ended, below stopTimeoutMs
KEY = "key-red"
CLIENT_DEADLINE_S = 3.0  # deadline_ms of the site's kinds of request
# Bounds of sites/clochan-jrp.toml, as SYSTEM.md gives them.
BOUNDS = {
    "contactMs": 4000, "ackMs": 5000, "drainMs": 2500, "graceS": 6, "lossSlackMs": 200,
    "configApplyMs": 2500, "rollbackSlackMs": 250, "revokeStrict": True, "revokeMs": 5000,
    "recoveryS": 12, "maxHoldMs": MAX_HOLD_MS, "stopTimeoutMs": 400, "gangTimeoutMs": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "spreadFactor": 3, "checkpointIntervalS": 0.5, "restoreMs": 100, "noticeMs": 5500,
    "requireFencing": True, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100,
    "interferenceMs": 4000, "reclaimMs": 2900,
}  # fmt: skip


MAX_RUN_S = 110.0
_given_ports = set()
_processes = []


def new_port():
    """Return a free port that was not given out before: programs bind theirs some time later."""
    while (port := free_port()) in _given_ports:
        pass
    _given_ports.add(port)
    return port


class Record:
    """Log of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self._file = open(path, "w")
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self._lock:
            self._file.write(f"{self.now():8.3f}  {text}\n")
            self._file.flush()


class Executor:
    """Executor that runs each task for the seconds in its spec.

    A spec with ``lasts`` is that of a task that runs until it is stopped. With ``stands_s``, the
    task takes that much longer, and makes no progress for this time after half of its work.
    """

    def __init__(self, name, record, labels, *, service="work", cpu=128_000, gpus=8):
        self.name = name
        self.id = f"i-{random.getrandbits(32):08x}"
        self.labels = labels
        self.service = service
        self.capacity = {"cpu": cpu, "memMb": 524_288, "gpus": gpus}
        self.fails_until = float("-inf")  # time.monotonic() until which all that it starts fails
        self.starts = []  # (time.monotonic(), task, run)
        self.ends = []  # (time.monotonic(), task, run, how)
        self.control = ""
        self._record = record
        self._born = time.time_ns() // 1_000_000
        self._started = time.monotonic()
        self._condition = threading.Condition()
        self._running = {}  # (task, run): [ends at, stops at or None]
        self._specs = {}  # (task, run): spec, time of the start
        self._failing = {}  # (task, run): time at which it fails
        self._finished = []
        self._last_number = 0
        self._closed_run = {}  # task: highest run that ended or was stopped
        self._fence = 0
        self._deadline_ms = 0
        self._seq = 0
        self._stop = threading.Event()
        self._server, self.address = serve_in_background(
            {
                "POST /-/run-start": self._checked(self._start),
                "POST /-/run-stop": self._checked(self._stop_run),
                "POST /-/hold": self._checked(self._hold),
                "POST /-/pace": self._checked(lambda body: self._answer()),
            }
        )

    def begin(self):
        """Send heartbeats and end runs from now on."""
        threading.Thread(target=self._beat_forever, daemon=True).start()
        threading.Thread(target=self._work_forever, daemon=True).start()

    def close(self):
        self._stop.set()
        self._server.stop()

    def _clock_ms(self):
        return int((time.monotonic() - self._started) * 1000)

    def _answer(self, status=200, **fields):
        return json_response({"clockMs": self._clock_ms(), "born": self._born, **fields},
                             status=status)  # fmt: skip

    def _checked(self, handler):
        def handle(request):
            if request.headers.get("expect-instance", self.id) != self.id:
                return self._answer(421)
            body = request.json()
            with self._condition:
                if body.get("fencingToken", 0) < self._fence:
                    return self._answer(409, reason="fence")
                self._fence = body.get("fencingToken", 0)
                return handler(body)

        return handle

    def _extend(self, deadline_ms):
        latest = self._clock_ms() + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def _start(self, body):
        task, run = body["task"], body["run"]
        if (task, run) in self._running:
            return self._answer()
        if run <= self._closed_run.get(task, 0):
            self._extend(body["deadlineMs"])
            return self._answer(409, reason="old")
        if body["deadlineMs"] <= self._clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadlineMs"])
        spec, now = json.loads(body["spec"]), time.monotonic()
        self._specs[task, run] = spec, now
        ends_at = now + spec["seconds"] + spec.get("stands_s", 0.0)
        self._running[task, run] = [float("inf") if spec.get("lasts") else ends_at, None]
        if time.monotonic() < self.fails_until:
            self._failing[task, run] = time.monotonic() + 0.2
        self.starts.append((time.monotonic(), task, run))
        self._record.write(f"{self.name}: starts {task} run {run}")
        return self._answer()

    def _stop_run(self, body):
        task, run = body["task"], body["run"]
        self._closed_run[task] = max(run, self._closed_run.get(task, 0))
        for key, times in self._running.items():
            if key[0] == task and key[1] <= run and times[1] is None:
                times[1] = time.monotonic() + STOP_S
        return self._answer()

    def _hold(self, body):
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        self._finished = [row for row in self._finished if row[0] > body.get("lastSeen", 0)]
        self._condition.wait_for(lambda: self._finished, body.get("waitMs", 0) / 1000)
        running = [[task, run, "", self._percent((task, run)), 0] for task, run in self._running]
        return self._answer(running=running, finished=self._finished[:500])

    def _percent(self, key):
        """Return the progress of a task; PROTOCOL.md: one that lasts is at work at 100."""
        spec, started_at = self._specs[key]
        if spec.get("lasts"):
            return 100
        elapsed_s = time.monotonic() - started_at
        stands_s = spec.get("stands_s", 0.0)  # in the middle of the work
        elapsed_s = min(elapsed_s, max(spec["seconds"] / 2, elapsed_s - stands_s))
        return min(99, int(100 * elapsed_s / spec["seconds"]))

    def _end(self, key, how):
        del self._running[key]
        self._closed_run[key[0]] = max(key[1], self._closed_run.get(key[0], 0))
        self._last_number += 1
        self._finished.append([self._last_number, *key, how, ""])
        self.ends.append((time.monotonic(), *key, how))
        self._record.write(f"{self.name}: {key[0]} run {key[1]} has ended: {how}")
        self._condition.notify_all()

    def _work_forever(self):
        while not self._stop.wait(0.02):
            with self._condition:
                now = time.monotonic()
                for key, (ends_at, stops_at) in list(self._running.items()):
                    if stops_at is not None and now >= stops_at:
                        self._end(key, "stopped")
                    elif key in self._failing and now >= self._failing[key]:
                        self._end(key, "failed")
                    elif now >= ends_at:
                        self._end(key, "done")
                    elif self._clock_ms() > self._deadline_ms:
                        self._end(key, "lapsed")

    def _beat_forever(self):
        pool = urllib3.PoolManager(retries=False)
        while not self._stop.is_set():
            self._seq += 1
            body = {
                "service": self.service, "address": self.address, "zone": "zone-a",
                "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                "capacity": self.capacity, "labels": self.labels, "clockMs": self._clock_ms(),
                "seq": self._seq, "born": self._born,
            }  # fmt: skip
            wait_s = HEARTBEAT_S
            try:
                url = f"http://{self.control}/-/instances/{self.id}"
                answer = pool.request("PUT", url, body=json.dumps(body).encode(), timeout=1.0)
                wait_s = HEARTBEAT_S if answer.status == 200 else 0.2
            except urllib3.exceptions.HTTPError:
                wait_s = 0.2
            self._stop.wait(wait_s)


class Program:
    """Process of the system with its settings file."""

    def __init__(self, name, module, folder, settings):
        self.name = name
        self._module = module
        self._folder = folder
        self._settings = settings
        self._path = folder / f"{name}.yaml"
        self.process = None
        self.write_settings()

    def write_settings(self, **fields):
        """Change fields of the settings file, as the platform does."""
        self._settings.update(fields)
        self._path.write_text(yaml.safe_dump(self._settings))

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}  # fmt: skip
        environment["PYTHONPATH"] = "target/deps"
        environment["CHICORYCRANK_NODE_FILE"] = str(self._path)
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "-m", f"chicorycrank.programs.{self._module}"],
            cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT,
        )  # fmt: skip
        _processes.append(self.process)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def log(self):
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Platform:
    """Store, executors, entries and agents of a small deployment."""

    def __init__(self, record, *, executors, entries=2, labels=lambda number: ["a", "r1"],
                 routes=(("plain", 1),), other_tenants=()):  # fmt: skip
        self.record = record
        self._folder_handle = tempfile.TemporaryDirectory(prefix="review-3-")
        folder = Path(self._folder_handle.name)
        self.folder = folder
        self.store = KvStoreStandIn(random.Random(1))
        self._store_server, self.store_address = serve_in_background(self.store.routes())
        self.store.list_machines = lambda: [
            {"machine": e.name, "pool": e.service, "state": "up", "id": e.id}
            for e in self.executors
        ]
        self.config = {
            "version": 1,
            "routes": [
                {"name": name, "host": "small.example", "prefix": f"/{name}/", "service": "work",
                 "priority": priority, "maxAttempts": 3, "targetLatencyMs": 1200,
                 "slackFactor": 2}
                for name, priority in routes
            ],
            "services": [{"name": "work"}],
            "tenants": [{"name": "red", "apiKeys": [KEY], "guaranteed": {"gpus": 8}},
                        *other_tenants],
        }  # fmt: skip
        self.write_config()
        self.executors = [Executor(f"executor-{n}", record, labels(n)) for n in range(executors)]
        common = {
            "ip": HOST, "zone": "zone-a", "region": "region", "zones": {"zone-a": "region"},
            "bounds": BOUNDS, "heartbeatMs": 1500, "controlMode": "call", "bootstrap": True,
            "platform": {"address": self.store_address, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "retentionS": 20, "maxValueBytes": 1_048_576,
                         "minTtlMs": 1000},
            "cloud": {"address": self.store_address},
        }  # fmt: skip
        self.agents = []
        for number, executor in enumerate(self.executors):
            executor.control = f"{HOST}:{new_port()}"
            settings = {**common, "node": f"side-{number}", "machineClass": "side",
                        "bindAddresses": {"control": executor.control},
                        "app": executor.address}  # fmt: skip
            self.agents.append(Program(f"side-{number}", "batch_agent", folder, settings))
        self.entries, self.fronts = [], []
        for number in range(entries):
            front, ready = f"{HOST}:{new_port()}", f"{HOST}:{new_port()}"
            settings = {**common, "node": f"edge-{number}", "machineClass": "edge",
                        "bindAddresses": {"front": front, "ready": ready}}  # fmt: skip
            self.entries.append(Program(f"edge-{number}", "batch_entry", folder, settings))
            self.fronts.append(front)
        self._pool = urllib3.PoolManager(retries=False, maxsize=20)

    def write_config(self):
        document = b64encode(json.dumps(self.config).encode()).decode()
        self.store.put("op/config", document)

    def start(self, timeout_s=30.0):
        """Start all; return whether every entry answers and every executor is registered."""
        for executor in self.executors:
            executor.begin()
        for program in [*self.entries, *self.agents]:
            program.start()
        deadline = time.monotonic() + timeout_s
        prefix = self.config["routes"][0]["prefix"]
        while time.monotonic() < deadline:
            time.sleep(0.3)
            answers = [self.call(n, "GET", prefix, is_quiet=True)[0]
                       for n in range(len(self.entries))]  # fmt: skip
            reports = sum("event=registered" in agent.log() for agent in self.agents)
            if all(status == 200 for status in answers) and reports == len(self.agents):
                time.sleep(1.0)
                return True
        return False

    def call(self, entry, method, path, body=None, *, key=KEY, is_quiet=False):
        """Call an entry as a client; return status and document, or (None, {}) without answer."""
        headers = {"Host": "small.example", "Credential": key,
                   "Deadline-Ms": str(int(CLIENT_DEADLINE_S * 1000))}  # fmt: skip
        data = None
        if body is not None:
            data = json.dumps(body).encode()
            headers["Content-Type"] = "application/json"
        try:
            answer = self._pool.request(
                method, f"http://{self.fronts[entry]}{path}", body=data, headers=headers,
                timeout=CLIENT_DEADLINE_S,
            )  # fmt: skip
            status = answer.status
            document = json.loads(answer.data or b"{}") if status == 200 else {}
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            status, document = None, {"error": type(error).__name__}
        if not is_quiet:
            self.record.write(f"client -> edge-{entry}: {method} {path}: {status} {document}")
        return status, document

    def close(self):
        for program in [*self.entries, *self.agents]:
            program.close()
        for executor in self.executors:
            executor.close()
        self._store_server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._folder_handle.cleanup()


def job_id():
    return f"{random.getrandbits(64):016x}"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Play a case; exit with its verdict: 1 broken, 0 held, 2 could not run."""
    record = Record(Path(folder) / "record.txt")
    record.write(f"trouble: {trouble()}")

    def give_up(why):
        record.write(f"could not run: {why}")
        for process in _processes:
            process.kill()
        os._exit(2)

    signal.signal(signal.SIGTERM, lambda *_: give_up("terminated"))
    timer = threading.Timer(MAX_RUN_S, give_up, ["it took too long"])
    timer.daemon = True
    timer.start()
    try:
        verdict = play(record)
    except Exception as error:
        give_up(repr(error))
    record.write({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[verdict])
    os._exit(verdict)
