"""``chicorycrank-bench control-cost``: resource use of a leading entry per worker and job."""

import json
import sys
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import linear_regression
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank.bench.node_cost import FRAME_HEADER_BYTES, wait_until
from chicorycrank.bench.placement import source_commit
from chicorycrank.bench.processes import HOST, Processes, call_http, choose_ports

REGION = "north"
SETTLE_S = 5.0  # time between a change of the load and the measurement
# As with ``TASK_MIX`` of bench/workloads.py, of which 950 full workers run about 3,300 tasks.
TASKS_PER_WORKER = 3.5
LONG_RUN_TIME_S = 3600.0
SHORT_RUN_TIME_S = 2.0
STEADY_JOBS_PER_WORKER = 2
WORKER_ACCELERATORS = 8


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Measurements of one entry over one interval.

    :param load: ``idle``, ``held`` or ``busy``, as :func:`measure` explains
    :param cpu_percent: share of one core
    :param bytes_per_s: control traffic in both directions, with TCP/IP headers
    :param store_calls_per_s: calls of all entries to the store; a waiting watch counts once
    """

    workers: int
    load: str
    rss_kb: int
    cpu_percent: float
    bytes_per_s: float
    store_calls_per_s: float
    entries: int
    jobs_per_s: float = 0.0


class LeaderFleet:
    """A store, an entry that leads a cell, and a number of agents that share one process.

    :param entries: number of entries; all but the measured one lead empty cells of other regions
    """

    def __init__(self, folder: Path, workers: int, heartbeat_s: float, *, entries: int = 1) -> None:
        self._processes = Processes(folder=folder)
        self._workers = workers
        self._heartbeat_s = heartbeat_s
        self._entries = entries
        other_port_names = [name for i in range(1, entries) for name in (f"http-{i}", f"peer-{i}")]
        self._ports = choose_ports(["store", "entry", "peer", *other_port_names])
        self._agent_ports = choose_ports([str(index) for index in range(workers)])

    def start(self) -> None:
        """Start all processes and wait until every agent is connected."""
        ports = self._ports
        self._processes.start(
            "store", "chicorycrank_standin.main", "store", "--port", str(ports["store"])
        )
        wait_until(
            lambda: call_http(ports["store"], "GET", "/record") is not None,
            "the store does not answer",
        )
        self._start_entry("entry", REGION, http=ports["entry"], peer=ports["peer"])
        for i in range(1, self._entries):
            http, peer = ports[f"http-{i}"], ports[f"peer-{i}"]
            self._start_entry(f"entry-{i}", f"region-{i}", http=http, peer=peer)
        swarm_settings = {
            "balancer": f"{HOST}:{ports['peer']}",
            "host": HOST,
            "ports": list(self._agent_ports.values()),
            "region": REGION,
            "heartbeat_s": self._heartbeat_s,
        }
        self._processes.start_with_settings("swarm", "chicorycrank_standin.swarm", swarm_settings)
        wait_until(
            lambda: self._fetch_state()["targets_count"] == self._workers,
            "not all agents are connected",
        )
        wait_until(lambda: bool(self._fetch_state()["is_leader"]), "the cell has no leader")
        other_entries = self._entries - 1
        wait_until(
            lambda: self._fetch_state()["peers_count"] == other_entries,
            "not all entries are connected",
        )

    def _start_entry(self, name: str, region: str, *, http: int, peer: int) -> None:
        settings = {
            "entry": name,
            "region": region,
            "zone": f"{region}-a",
            "cell": region,
            "listen_host": HOST,
            "peer_port": peer,
            "http_port": http,
            "store_url": f"http://{HOST}:{self._ports['store']}",
            "agent_heartbeat_s": self._heartbeat_s,
            "drain_s": 0.0,
        }
        self._processes.start_with_settings(name, "chicorycrank.entry.main", settings)

    def stop(self) -> None:
        """Stop all processes."""
        self._processes.stop()

    def start_long_tasks(self) -> None:
        """Start tasks that run longer than the measurement and wait until all run."""
        count = int(self._workers * TASKS_PER_WORKER / 4)  # jobs with 4 tasks each
        for index in range(count):
            self.submit(f"held-{index}", members=4, run_time_s=LONG_RUN_TIME_S)
        wait_until(lambda: self._count_jobs("running") == count, "not all long tasks are running")

    @property
    def entry_url(self) -> str:
        """Base URL of the measured entry."""
        return f"http://{HOST}:{self._ports['entry']}"

    def submit(self, name: str, *, members: int, run_time_s: float) -> str:
        """Submit a job whose members use one accelerator each, and return its id."""
        shape = {"members": members, "accelerators": 1, "adjacency": "rack"}
        job = {"team": "bench", "name": name, "shape": shape, "run_time_s": run_time_s}
        return str(call_http(self._ports["entry"], "POST", "/v1/jobs", job, key=name)["job_id"])

    def measure_load(self, load: str, seconds: float, jobs_per_s: float = 0.0) -> Sample:
        """Measure the entry for some seconds while jobs are submitted at a constant rate."""
        before, started_s = self._read_counters(), time.monotonic()
        submitted = 0
        while (elapsed_s := time.monotonic() - started_s) < seconds:
            if submitted < elapsed_s * jobs_per_s:
                name = f"{load}-{jobs_per_s}-{submitted}"
                self.submit(name, members=1, run_time_s=SHORT_RUN_TIME_S)
                submitted += 1
            else:
                time.sleep(0.02)
        after, elapsed_s = self._read_counters(), time.monotonic() - started_s
        cpu, traffic, calls = ((b - a) / elapsed_s for a, b in zip(before, after, strict=True))
        return Sample(
            workers=self._workers,
            load=load,
            rss_kb=self._processes.memory_kb("entry")["VmRSS"],
            cpu_percent=round(cpu * 100, 2),
            bytes_per_s=round(traffic, 1),
            store_calls_per_s=round(calls, 3),
            entries=self._entries,
            jobs_per_s=round(submitted / elapsed_s, 3),
        )

    def _read_counters(self) -> tuple[float, float, float]:
        state = self._fetch_state()
        frames = state["frames_sent"] + state["frames_received"]
        traffic = state["bytes_sent"] + state["bytes_received"] + frames * FRAME_HEADER_BYTES
        calls = sum(call_http(self._ports["store"], "GET", "/record").values())
        return self._processes.cpu_s("entry"), float(traffic), float(calls)

    def _fetch_state(self) -> Any:
        return call_http(self._ports["entry"], "GET", "/v1/state")

    def _count_jobs(self, state: str) -> int:
        text = call_http(self._ports["entry"], "GET", "/metrics").decode()
        prefix = f'chicorycrank_jobs{{state="{state}"}} '
        values = [
            line.removeprefix(prefix) for line in text.splitlines() if line.startswith(prefix)
        ]
        return int(float(values[0])) if values else 0


def measure(
    workers: int, *, seconds: float, jobs_per_s: float, heartbeat_s: float, entries: int
) -> list[Sample]:
    """Measure an entry at one number of workers.

    The loads are ``idle``, then ``held`` with long tasks that run all the time, then ``busy`` with
    short jobs that arrive in addition.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = LeaderFleet(Path(folder), workers, heartbeat_s, entries=entries)
        try:
            fleet.start()
            time.sleep(SETTLE_S)
            idle = fleet.measure_load("idle", seconds)
            fleet.start_long_tasks()
            time.sleep(SETTLE_S)
            held = fleet.measure_load("held", seconds)
            busy = fleet.measure_load("busy", seconds, jobs_per_s)
            return [idle, held, busy]
        finally:
            fleet.stop()


def fit_by_workers(samples: Sequence[Sample]) -> list[dict[str, Any]]:
    """Return the slope per worker and the intercept of each measure and load."""
    rows = []
    for load in ("idle", "held", "busy"):
        samples_of_load = [sample for sample in samples if sample.load == load]
        worker_counts = [float(sample.workers) for sample in samples_of_load]
        for measure_name in ("rss_kb", "cpu_percent", "bytes_per_s", "store_calls_per_s"):
            values = [float(getattr(sample, measure_name)) for sample in samples_of_load]
            slope, intercept = linear_regression(worker_counts, values)
            rows.append(
                {
                    "load": load,
                    "figure": measure_name,
                    "per_worker": round(slope, 4),
                    "intercept": round(intercept, 2),
                }
            )
    return rows


class ControlCostCommand(Command):
    """Command that measures an entry that leads a cell, at several numbers of workers."""

    name = "control-cost"
    description = "Memory, processor share, traffic and store calls of a leader by workers"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("sizes", None, "Numbers of workers", flag=False, default="30,60,120,240"),
        option("seconds", None, "Time of each measurement", flag=False, default="15"),
        option("jobs-per-s", None, "Rate of arriving jobs", flag=False, default="2"),
        option("heartbeat-s", None, "Heartbeat of agents", flag=False, default="1.5"),
        option("entries", None, "Number of entries", flag=False, default="1"),
        option("json", None, "One JSON object per line", flag=True),
    ]

    def handle(self) -> int:
        """Measure each number of workers and print samples and slopes."""
        samples: list[Sample] = []
        for workers in self.option("sizes").split(","):
            print(f"{workers} workers", file=sys.stderr, flush=True)
            samples += measure(
                int(workers),
                seconds=float(self.option("seconds")),
                jobs_per_s=float(self.option("jobs-per-s")),
                heartbeat_s=float(self.option("heartbeat-s")),
                entries=int(self.option("entries")),
            )
        rows = [asdict(sample) for sample in samples]
        if len({sample.workers for sample in samples}) > 1:
            rows += fit_by_workers(samples)
        for row in rows:
            row["commit"] = source_commit()
            text = json.dumps(row)
            print(text if self.option("json") else "  ".join(f"{k} {v}" for k, v in row.items()))
        return 0
