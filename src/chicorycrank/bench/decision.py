"""``chicorycrank-bench decision``: time of a decision by number of workers."""

import json
import math
import random
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank.bench.placement import percentile, source_commit
from chicorycrank.bench.workloads import (
    DEPLOYMENTS,
    TASK_MIX,
    Deployment,
    make_guarantees,
    make_teams,
    make_workers,
    make_workload,
)
from chicorycrank.model.ids import JobId
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision, Start

SIZES = (10, 100, 300, 950)
FREE_PER_WORKER = 0.3  # accelerators; the cell is full to 96%
WAITING_PER_WORKER = 0.2
ROUNDS = 400
WARM_UP_ROUNDS = 50
STEP_S = 30.0  # 3,200 jobs a day arrive every 27 s


def sized(workers: int) -> Deployment:
    """Return a deployment with a number of workers and teams in proportion."""
    teams = max(4, round(62 * workers / 950))
    return replace(DEPLOYMENTS["fleet"], workers=workers, teams=teams, mix=TASK_MIX)


def fill(deployment: Deployment, seed: int) -> tuple[Cell, list[QueuedJob]]:
    """Return a full cell and jobs that still have to arrive."""
    cell = Cell()
    teams = make_teams(deployment)
    cell.set_config(teams, make_guarantees(deployment, teams))
    for worker in make_workers(deployment):
        cell.put_worker(worker)
    count = deployment.workers * 4 + 4 * ROUNDS
    work = make_workload(deployment, load=0.9, jobs=count, seed=seed)
    jobs = [replace(bench.job, submitted_s=0.0) for bench in work.jobs if bench.can_run]
    while cell.free.totals[0] > deployment.workers * FREE_PER_WORKER:
        batch = {job.job_id: job for job in (jobs.pop() for _ in range(deployment.workers))}
        while decisions := decide(cell, list(batch.values()), 0.0):
            apply(cell, batch, decisions, 0.0)
            for job_id in list(cell.stopping):
                cell.finish(job_id)
    return cell, jobs


def apply(
    cell: Cell, queue: dict[JobId, QueuedJob], decisions: list[Decision], now_s: float
) -> None:
    """Apply decisions to a cell and its queue."""
    for decision in decisions:
        if isinstance(decision, Start):
            cell.start(
                RunningJob(
                    job=queue.pop(decision.job_id),
                    placement=decision.placement,
                    kind=decision.kind,
                    started_s=now_s,
                    backfill=decision.backfill,
                )
            )
        else:
            cell.mark_stopping(decision.job_id)


def time_decisions(deployment: Deployment, seed: int) -> dict[str, Any]:
    """Time decisions while jobs end and arrive and workers come and go."""
    rng = random.Random(seed)
    cell, jobs = fill(deployment, seed)
    waiting_target = max(2, round(deployment.workers * WAITING_PER_WORKER))
    queue: dict[JobId, QueuedJob] = {}
    times: list[float] = []
    tasks: list[float] = []
    now_s = 0.0
    closed = None
    for step in range(ROUNDS):
        now_s += STEP_S
        for job_id in list(cell.stopping):
            queue[job_id] = cell.running_by_id[job_id].job
            cell.finish(job_id)
        if cell.free.totals[0] < deployment.workers * FREE_PER_WORKER:
            cell.finish(rng.choice(list(cell.running_by_id)), completed=True, now_s=now_s)
        if step % 20 == 0:
            if closed is not None:
                cell.set_available(closed, True)
            closed = rng.choice(list(cell.workers_by_id))
            cell.set_available(closed, False)
        while len(queue) < waiting_target and jobs:
            job = jobs.pop()
            queue[job.job_id] = replace(job, submitted_s=now_s)
        decisions: list[Decision] | None = None
        while decisions is None or decisions:
            waiting = list(queue.values())
            started = time.perf_counter()
            decisions = decide(cell, waiting, now_s)
            times.append(time.perf_counter() - started)
            apply(cell, queue, decisions, now_s)
        tasks.append(sum(len(running.placement) for running in cell.running_by_id.values()))
    measured = [seconds * 1e6 for seconds in times[WARM_UP_ROUNDS:]]
    return {
        "workers": deployment.workers,
        "teams": deployment.teams,
        "tasks": round(percentile(tasks, 50)),
        "waiting": waiting_target,
        "p50_us": round(percentile(measured, 50)),
        "p99_us": round(percentile(measured, 99)),
        "max_us": round(max(measured)),
    }


def growth_exponent(rows: list[dict[str, Any]], key: str) -> float:
    """Return the slope of log time over log workers by least squares."""
    points = [(math.log(row["workers"]), math.log(row[key])) for row in rows]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    below = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / below


class DecisionCommand(Command):
    """Times decisions at several numbers of workers."""

    name = "decision"
    description = "Time of a decision at 10 to 950 workers"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("seed", None, "Seed of the workload", flag=False, default="1"),
        option("json", None, "One JSON object per line", flag=True),
        option("plot", None, "Write a chart to this file", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Time the decisions and print one line per size."""
        rows: list[dict[str, Any]] = []
        for workers in SIZES:
            print(f"{workers} workers", file=sys.stderr)
            rows.append(time_decisions(sized(workers), int(self.option("seed"))))
            if self.option("json"):
                print(json.dumps(rows[-1]), flush=True)
        growth = {
            "growth_p50": round(growth_exponent(rows, "p50_us"), 2),
            "growth_p99": round(growth_exponent(rows, "p99_us"), 2),
            "commit": source_commit(),
        }
        if self.option("json"):
            print(json.dumps(growth))
        else:
            for row in [*rows, growth]:
                print("  ".join(f"{key} {value}" for key, value in row.items()))
        if self.option("plot"):
            plot_times(rows, Path(self.option("plot")))
        return 0


def plot_times(rows: list[dict[str, Any]], path: Path) -> None:
    """Draw decision times by number of workers."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axis = pyplot.subplots()
    for key in ("p50_us", "p99_us"):
        axis.loglog([r["workers"] for r in rows], [r[key] for r in rows], "o-", label=key)
    axis.set_xlabel("workers")
    axis.set_ylabel("microseconds")
    axis.legend()
    figure.savefig(path)
