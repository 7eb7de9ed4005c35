"""``chicorycrank-bench decision``: time of a decision pass by number of workers."""

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

WORKER_COUNTS = (10, 100, 300, 950)
FREE_ACCELERATORS_PER_WORKER = 0.3  # 96% of the accelerators are in use
QUEUED_JOBS_PER_WORKER = 0.2
ROUNDS = 400
WARM_UP_ROUNDS = 50
STEP_S = 30.0  # simulated time of a round; at 3,200 jobs a day, one job arrives every 27 s


def scaled_fleet(workers: int) -> Deployment:
    """Return the ``fleet`` deployment with another number of workers, and teams in proportion."""
    teams = max(4, round(62 * workers / 950))
    return replace(DEPLOYMENTS["fleet"], workers=workers, teams=teams, mix=TASK_MIX)


def make_full_cell(deployment: Deployment, seed: int) -> tuple[Cell, list[QueuedJob]]:
    """Return a cell whose accelerators are nearly all in use, and the jobs that arrive later."""
    cell = Cell()
    teams = make_teams(deployment)
    cell.set_config(teams, make_guarantees(deployment, teams))
    for worker in make_workers(deployment):
        cell.set_worker(worker)
    count = deployment.workers * 4 + 4 * ROUNDS
    workload = make_workload(deployment, load=0.9, jobs=count, seed=seed)
    jobs = [
        replace(bench_job.job, submitted_s=0.0) for bench_job in workload.jobs if bench_job.can_run
    ]
    while cell.free.piece_totals[0] > deployment.workers * FREE_ACCELERATORS_PER_WORKER:
        batch = {job.job_id: job for job in (jobs.pop() for _ in range(deployment.workers))}
        while decisions := decide(cell, list(batch.values()), 0.0):
            apply_decisions(cell, batch, decisions, 0.0)
            for job_id in list(cell.stopping):  # evicted jobs are not queued again here
                cell.finish(job_id)
    return cell, jobs


def apply_decisions(
    cell: Cell, queue: dict[JobId, QueuedJob], decisions: list[Decision], now_s: float
) -> None:
    """Start or stop jobs in a cell as decided, and remove started jobs from the queue."""
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
    """Time decision passes while jobs end and arrive and workers become unavailable."""
    rng = random.Random(seed)
    cell, jobs = make_full_cell(deployment, seed)
    queue_length = max(2, round(deployment.workers * QUEUED_JOBS_PER_WORKER))
    queue: dict[JobId, QueuedJob] = {}
    times_s: list[float] = []
    task_counts: list[float] = []
    now_s = 0.0
    unavailable_worker = None
    for step in range(ROUNDS):
        now_s += STEP_S
        for job_id in list(cell.stopping):
            queue[job_id] = cell.running_by_id[job_id].job
            cell.finish(job_id)
        if cell.free.piece_totals[0] < deployment.workers * FREE_ACCELERATORS_PER_WORKER:
            cell.finish(rng.choice(list(cell.running_by_id)), completed=True, now_s=now_s)
        if step % 20 == 0:  # one worker at a time is unavailable, each for 20 rounds
            if unavailable_worker is not None:
                cell.set_available(unavailable_worker, True)
            unavailable_worker = rng.choice(list(cell.workers_by_id))
            cell.set_available(unavailable_worker, False)
        while len(queue) < queue_length and jobs:
            job = jobs.pop()
            queue[job.job_id] = replace(job, submitted_s=now_s)
        decisions: list[Decision] | None = None
        while decisions is None or decisions:
            queued_jobs = list(queue.values())
            started_s = time.perf_counter()
            decisions = decide(cell, queued_jobs, now_s)
            times_s.append(time.perf_counter() - started_s)
            apply_decisions(cell, queue, decisions, now_s)
        task_counts.append(sum(len(running.placement) for running in cell.running_by_id.values()))
    measured_us = [seconds * 1e6 for seconds in times_s[WARM_UP_ROUNDS:]]
    return {
        "workers": deployment.workers,
        "teams": deployment.teams,
        "tasks": round(percentile(task_counts, 50)),
        "waiting": queue_length,
        "p50_us": round(percentile(measured_us, 50)),
        "p99_us": round(percentile(measured_us, 99)),
        "max_us": round(max(measured_us)),
    }


def growth_exponent(rows: list[dict[str, Any]], key: str) -> float:
    """Return the slope of log time over log workers, by least squares."""
    points = [(math.log(row["workers"]), math.log(row[key])) for row in rows]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    sum_of_squares = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares


class DecisionCommand(Command):
    """Command that times decision passes at several numbers of workers."""

    name = "decision"
    description = "Time of a decision at 10 to 950 workers"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("seed", None, "Seed of the workload", flag=False, default="1"),
        option("json", None, "One JSON object per line", flag=True),
        option("plot", None, "Write a chart to this file", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Time the decision passes and print one line per number of workers."""
        rows: list[dict[str, Any]] = []
        for workers in WORKER_COUNTS:
            print(f"{workers} workers", file=sys.stderr)
            rows.append(time_decisions(scaled_fleet(workers), int(self.option("seed"))))
            if self.option("json"):
                print(json.dumps(rows[-1]), flush=True)
        exponents = {
            "growth_p50": round(growth_exponent(rows, "p50_us"), 2),
            "growth_p99": round(growth_exponent(rows, "p99_us"), 2),
            "commit": source_commit(),
        }
        if self.option("json"):
            print(json.dumps(exponents))
        else:
            for row in [*rows, exponents]:
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
