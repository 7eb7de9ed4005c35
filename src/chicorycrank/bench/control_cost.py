"""``chicorycrank-bench control-cost``: what a leading entry spends per worker and job."""

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

from chicorycrank.bench.node_cost import HEADER_BYTES, wait_until
from chicorycrank.bench.placement import source_commit
from chicorycrank.bench.processes import HOST, Processes, call, choose_ports

REGION = "north"
SETTLE_S = 5.0
TASKS_PER_WORKER = 3.5  # 3,300 tasks on 950 workers
HELD_RUN_TIME_S = 3600.0
SHORT_RUN_TIME_S = 2.0
STEADY_JOBS_PER_WORKER = 2
WORKER_ACCELERATORS = 8


@dataclass(frozen=True, kw_only=True)
class Sample:
    """Figures of one entry over one interval.

    :param cpu_percent: share of one core
    :param bytes_per_s: control traffic with TCP/IP headers, both directions
    :param store_calls_per_s: calls of all entries to the store, a waiting watch counted once
    """

    workers: int
    load: str
    rss_kb: int
    cpu_percent: float
    bytes_per_s: float
    store_calls_per_s: float
    entries: int
    jobs_per_s: float = 0.0


class Bed:
    """A store, an entry that leads a cell, and a number of agents in one process.

    :param entries: all entries; those beside the measured one lead empty cells of other regions
    """

    def __init__(self, folder: Path, workers: int, heartbeat_s: float, *, entries: int = 1) -> None:
        self._processes = Processes(folder=folder)
        self._workers = workers
        self._heartbeat_s = heartbeat_s
        self._entries = entries
        others = [name for i in range(1, entries) for name in (f"http-{i}", f"peer-{i}")]
        self._ports = choose_ports(["store", "entry", "peer", *others])
        self._agent_ports = choose_ports([str(index) for index in range(workers)])

    def start(self) -> None:
        """Start all processes and wait until every agent is connected."""
        ports = self._ports
        self._processes.start(
            "store", "chicorycrank_standin.main", "store", "--port", str(ports["store"])
        )
        wait_until(lambda: call(ports["store"], "GET", "/record") is not None, "no store")
        self._start_entry("entry", REGION, http=ports["entry"], peer=ports["peer"])
        for i in range(1, self._entries):
            http, peer = ports[f"http-{i}"], ports[f"peer-{i}"]
            self._start_entry(f"entry-{i}", f"region-{i}", http=http, peer=peer)
        swarm = {
            "balancer": f"{HOST}:{ports['peer']}",
            "host": HOST,
            "ports": list(self._agent_ports.values()),
            "region": REGION,
            "heartbeat_s": self._heartbeat_s,
        }
        self._processes.start_with_settings("swarm", "chicorycrank_standin.swarm", swarm)
        wait_until(lambda: self._state()["targets_count"] == self._workers, "agents are missing")
        wait_until(lambda: bool(self._state()["is_leader"]), "the cell has no leader")
        others = self._entries - 1
        wait_until(lambda: self._state()["peers_count"] == others, "entries are missing")

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
        """End all processes."""
        self._processes.stop()

    def hold_tasks(self) -> None:
        """Fill the workers with tasks that outlast the measurement."""
        count = int(self._workers * TASKS_PER_WORKER / 4)
        for index in range(count):
            self.submit(f"held-{index}", members=4, run_time_s=HELD_RUN_TIME_S)
        wait_until(lambda: self._count("running") == count, "held jobs do not run")

    @property
    def entry_url(self) -> str:
        """Base address of the entry."""
        return f"http://{HOST}:{self._ports['entry']}"

    def submit(self, name: str, *, members: int, run_time_s: float) -> str:
        """Submit a job whose members take one accelerator each, and return its id."""
        shape = {"members": members, "accelerators": 1, "adjacency": "rack"}
        job = {"team": "bench", "name": name, "shape": shape, "run_time_s": run_time_s}
        return str(call(self._ports["entry"], "POST", "/v1/jobs", job, key=name)["job_id"])

    def observe(self, load: str, seconds: float, jobs_per_s: float = 0.0) -> Sample:
        """Measure the entry for a time while jobs are submitted at a rate."""
        before, began = self._figures(), time.monotonic()
        submitted = 0
        while (elapsed := time.monotonic() - began) < seconds:
            if submitted < elapsed * jobs_per_s:
                name = f"{load}-{jobs_per_s}-{submitted}"
                self.submit(name, members=1, run_time_s=SHORT_RUN_TIME_S)
                submitted += 1
            else:
                time.sleep(0.02)
        after, elapsed = self._figures(), time.monotonic() - began
        cpu, traffic, calls = ((b - a) / elapsed for a, b in zip(before, after, strict=True))
        return Sample(
            workers=self._workers,
            load=load,
            rss_kb=self._processes.memory_kb("entry")["VmRSS"],
            cpu_percent=round(cpu * 100, 2),
            bytes_per_s=round(traffic, 1),
            store_calls_per_s=round(calls, 3),
            entries=self._entries,
            jobs_per_s=round(submitted / elapsed, 3),
        )

    def _figures(self) -> tuple[float, float, float]:
        state = self._state()
        frames = state["frames_sent"] + state["frames_received"]
        traffic = state["bytes_sent"] + state["bytes_received"] + frames * HEADER_BYTES
        calls = sum(call(self._ports["store"], "GET", "/record").values())
        return self._processes.cpu_s("entry"), float(traffic), float(calls)

    def _state(self) -> Any:
        return call(self._ports["entry"], "GET", "/v1/state")

    def _count(self, state: str) -> int:
        text = call(self._ports["entry"], "GET", "/metrics").decode()
        prefix = f'chicorycrank_jobs{{state="{state}"}} '
        values = [
            line.removeprefix(prefix) for line in text.splitlines() if line.startswith(prefix)
        ]
        return int(float(values[0])) if values else 0


def measure(
    workers: int, *, seconds: float, jobs_per_s: float, heartbeat_s: float, entries: int
) -> list[Sample]:
    """Measure one size: idle, with held tasks, and with arriving jobs."""
    with tempfile.TemporaryDirectory() as folder:
        bed = Bed(Path(folder), workers, heartbeat_s, entries=entries)
        try:
            bed.start()
            time.sleep(SETTLE_S)
            idle = bed.observe("idle", seconds)
            bed.hold_tasks()
            time.sleep(SETTLE_S)
            held = bed.observe("held", seconds)
            busy = bed.observe("busy", seconds, jobs_per_s)
            return [idle, held, busy]
        finally:
            bed.stop()


def fit(samples: Sequence[Sample]) -> list[dict[str, Any]]:
    """Return slope per worker and intercept of each figure and load."""
    rows = []
    for load in ("idle", "held", "busy"):
        chosen = [sample for sample in samples if sample.load == load]
        sizes = [float(sample.workers) for sample in chosen]
        for figure in ("rss_kb", "cpu_percent", "bytes_per_s", "store_calls_per_s"):
            values = [float(getattr(sample, figure)) for sample in chosen]
            slope, intercept = linear_regression(sizes, values)
            rows.append(
                {
                    "load": load,
                    "figure": figure,
                    "per_worker": round(slope, 4),
                    "intercept": round(intercept, 2),
                }
            )
    return rows


class ControlCostCommand(Command):
    """Measures an entry that leads a cell, at several numbers of workers."""

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
        """Measure every size and print samples and slopes."""
        samples: list[Sample] = []
        for size in self.option("sizes").split(","):
            print(f"{size} workers", file=sys.stderr, flush=True)
            samples += measure(
                int(size),
                seconds=float(self.option("seconds")),
                jobs_per_s=float(self.option("jobs-per-s")),
                heartbeat_s=float(self.option("heartbeat-s")),
                entries=int(self.option("entries")),
            )
        rows = [asdict(sample) for sample in samples]
        if len({sample.workers for sample in samples}) > 1:
            rows += fit(samples)
        for row in rows:
            row["commit"] = source_commit()
            text = json.dumps(row)
            print(text if self.option("json") else "  ".join(f"{k} {v}" for k, v in row.items()))
        return 0
