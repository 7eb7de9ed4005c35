"""``chicorycrank-bench placement``: quality of the decisions on replayed workloads."""

import json
import subprocess
import sys
import time
from pathlib import Path
from statistics import fmean
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank.bench.baselines import Policy, arrival_order, make_partitioned
from chicorycrank.bench.replay import Replay, Tally
from chicorycrank.bench.workloads import DEPLOYMENTS, Workload, make_workload
from chicorycrank.policy.decide import decide

LOADS = (0.7, 0.9, 1.1)
JOBS_BY_DEPLOYMENT = {"bureau": 1500, "clochan": 1500, "fleet": 6400}
POLICIES = ("ours", "arrival_order", "partitioned")


def measure(workload: Workload, name: str, seed: int) -> dict[str, Any]:
    """Replay a workload with a policy and return its measures."""
    policies: dict[str, Policy] = {
        "ours": decide,
        "arrival_order": arrival_order,
        "partitioned": make_partitioned(workload),
    }
    started = time.perf_counter()
    tally = Replay(workload, policies[name], seed).run()
    return {**summarise(tally), "bench_s": round(time.perf_counter() - started, 1)}


def summarise(tally: Tally) -> dict[str, Any]:
    """Return the measures of ``docs/measures.md``."""
    by_team = [1 / fmean(values) for values in tally.slowdown_by_team.values()]
    figures: dict[str, float] = {
        "mean_completion_h": fmean(tally.completion_s) / 3600,
        "p95_completion_h": percentile(tally.completion_s, 95) / 3600,
        "mean_slowdown": fmean(tally.slowdown),
        "fragmentation": tally.unusable_s / max(tally.free_s, 1.0),
        "fragmentation_fleet": tally.unusable_s / max(tally.total_s, 1.0),
        "gang_wait_serial_max": max(tally.gang_ratio_serial, default=0.0),
        "gang_wait_work_max": max(tally.gang_ratio_work, default=0.0),
        "gang_wait_work_p95": percentile(tally.gang_ratio_work, 95),
        "reclaim_p50_s": percentile(tally.reclaim_s, 50),
        "reclaim_max_s": max(tally.reclaim_s, default=0.0),
        "utilisation": tally.busy_s / max(tally.total_s, 1.0),
        "jain": sum(by_team) ** 2 / (len(by_team) * sum(x * x for x in by_team)),
        "lost_work_h": tally.lost_work_s / 3600,
    }
    rounded: dict[str, Any] = {key: round(value, 3) for key, value in figures.items()}
    rounded["evictions"] = tally.evictions
    rounded["completed"] = len(tally.completion_s)
    rounded["refused"] = tally.refused
    rounded["cancelled"] = tally.cancelled
    rounded["unfinished"] = tally.unfinished
    return rounded


def percentile(values: list[float], percent: int) -> float:
    """Return a percentile by nearest rank; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)] if ordered else 0.0


def source_commit() -> str:
    """Return the commit of the source, or ``unknown`` outside a repository."""
    command = ["git", "-C", str(Path(__file__).parent), "describe", "--always", "--dirty"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.stdout.strip() or "unknown"


class PlacementCommand(Command):
    """Replays workloads with the product's policy and with two baselines."""

    name = "placement"
    description = "Quality of placement decisions against two baselines"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("seed", None, "Seed of the workload", flag=False, default="1"),
        option("deployment", None, "bureau, clochan or fleet", flag=False, default="bureau"),
        option("jobs", None, "Number of jobs", flag=False, default="0"),
        option("loads", None, "Loads, with commas", flag=False, default="0.7,0.9,1.1"),
        option("policies", None, "Policies, with commas", flag=False, default=",".join(POLICIES)),
        option("json", None, "One JSON object per line", flag=True),
        option("plot", None, "Write a chart to this file", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Run the replays and print their measures."""
        deployment = DEPLOYMENTS[self.option("deployment")]
        seed = int(self.option("seed"))
        jobs = int(self.option("jobs")) or JOBS_BY_DEPLOYMENT[deployment.name]
        rows: list[dict[str, Any]] = []
        for load in map(float, self.option("loads").split(",")):
            workload = make_workload(deployment, load=load, jobs=jobs, seed=seed)
            for name in self.option("policies").split(","):
                print(f"load {load:g} policy {name}", file=sys.stderr)
                row = {"deployment": deployment.name, "seed": seed, "load": load, "policy": name}
                row |= measure(workload, name, seed) | {"commit": source_commit()}
                rows.append(row)
                if self.option("json"):
                    print(json.dumps(row), flush=True)
        if not self.option("json"):
            print_table(rows)
        if self.option("plot"):
            plot_rows(rows, Path(self.option("plot")))
        return 0


def print_table(rows: list[dict[str, Any]]) -> None:
    """Print one line per measure and one column per row."""
    for key in rows[0]:
        print(f"{key:22}", *(f"{row[key]!s:>14}" for row in rows))


def plot_rows(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw completion time and fragmentation by load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(10, 4))
    for axis, key in zip(axes, ("mean_completion_h", "fragmentation"), strict=True):
        for name in dict.fromkeys(row["policy"] for row in rows):
            mine = [row for row in rows if row["policy"] == name]
            axis.plot([row["load"] for row in mine], [row[key] for row in mine], "o-", label=name)
        axis.set_xlabel("load")
        axis.set_ylabel(key)
        axis.legend()
    figure.savefig(path)
