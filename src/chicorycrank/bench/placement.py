"""``chicorycrank-bench placement``: quality of placement decisions on replayed workloads."""

import json
import subprocess
import sys
import time
from pathlib import Path
from statistics import fmean
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank.bench.baselines import Policy, decide_in_arrival_order, make_partitioned_policy
from chicorycrank.bench.replay import Replay, ReplayTotals
from chicorycrank.bench.workloads import DEPLOYMENTS, Workload, make_workload
from chicorycrank.policy.decide import decide

LOADS = (0.7, 0.9, 1.1)
JOBS_BY_DEPLOYMENT = {"bureau": 1500, "clochan": 1500, "fleet": 6400}
POLICIES = ("ours", "arrival_order", "partitioned")


def measure(workload: Workload, name: str, seed: int) -> dict[str, Any]:
    """Replay a workload with a policy and return its measures."""
    policies: dict[str, Policy] = {
        "ours": decide,
        "arrival_order": decide_in_arrival_order,
        "partitioned": make_partitioned_policy(workload),
    }
    started_s = time.perf_counter()
    totals = Replay(workload, policies[name], seed).run()
    return {**summarise(totals), "bench_s": round(time.perf_counter() - started_s, 1)}


def summarise(totals: ReplayTotals) -> dict[str, Any]:
    """Return the measures that ``docs/measures.md`` defines."""
    speed_by_team = [1 / fmean(values) for values in totals.slowdown_by_team.values()]
    value_by_measure: dict[str, float] = {
        "mean_completion_h": fmean(totals.completion_s) / 3600,
        "p95_completion_h": percentile(totals.completion_s, 95) / 3600,
        "mean_slowdown": fmean(totals.slowdown),
        "fragmentation": totals.unusable_s / max(totals.free_s, 1.0),
        "fragmentation_fleet": totals.unusable_s / max(totals.total_s, 1.0),
        "gang_wait_serial_max": max(totals.gang_ratio_serial, default=0.0),
        "gang_wait_work_max": max(totals.gang_ratio_work, default=0.0),
        "gang_wait_work_p95": percentile(totals.gang_ratio_work, 95),
        "reclaim_p50_s": percentile(totals.reclaim_s, 50),
        "reclaim_max_s": max(totals.reclaim_s, default=0.0),
        "utilisation": totals.busy_s / max(totals.total_s, 1.0),
        # Jain's fairness index of the speeds at which the teams' jobs complete; 1 is equal speed.
        "jain": sum(speed_by_team) ** 2 / (len(speed_by_team) * sum(x * x for x in speed_by_team)),
        "lost_work_h": totals.lost_work_s / 3600,
    }
    rounded: dict[str, Any] = {key: round(value, 3) for key, value in value_by_measure.items()}
    rounded["evictions"] = totals.evictions
    rounded["completed"] = len(totals.completion_s)
    rounded["refused"] = totals.refused
    rounded["cancelled"] = totals.cancelled
    rounded["unfinished"] = totals.unfinished
    return rounded


def percentile(values: list[float], percent: int) -> float:
    """Return the sorted value at index ``len(values) * percent // 100``, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)] if ordered else 0.0


def source_commit() -> str:
    """Return the commit of the source, or ``unknown`` outside a repository."""
    command = ["git", "-C", str(Path(__file__).parent), "describe", "--always", "--dirty"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


class PlacementCommand(Command):
    """Command that replays workloads with the scheduler's policy and with two baselines."""

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
            policy_rows = [row for row in rows if row["policy"] == name]
            axis.plot(
                [row["load"] for row in policy_rows],
                [row[key] for row in policy_rows],
                "o-",
                label=name,
            )
        axis.set_xlabel("load")
        axis.set_ylabel(key)
        axis.legend()
    figure.savefig(path)
