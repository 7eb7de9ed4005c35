"""An urgent gang that can never be done holds all executors for good, and other jobs starve."""

import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standin import BOUNDS, is_troubled, run_case  # noqa: E402

SMALL_WORK_S = 1.0
CALM_S = 3.0
FINAL = ("completed", "failed", "cancelled")


def play(deployment):
    """Hand an urgent gang in that no executor has the cores for, then small jobs."""
    if is_troubled():
        deployment.submit(deployment.fronts[0], "urgent", 3.0, count=3, gpus=4, cpu=200_000, gang=True)
        time.sleep(1.0)
    return play_small_jobs(deployment, "urgent gang of 200 cores a task")


def play_small_jobs(deployment, name):
    """Hand a small job in at each entry; return those that don't run on idle executors."""
    record = deployment.record
    jobs = []
    for front in deployment.fronts:
        status, job_id = deployment.submit(front, "plain", SMALL_WORK_S)
        if status == 200:
            jobs.append((front, job_id))
    end_of_traffic = record.now()
    time.sleep(BOUNDS["finish_s"])
    waits_since = dict.fromkeys(jobs, record.now())
    while record.now() < end_of_traffic + BOUNDS["finish_s"] + CALM_S + 1.0:
        running = {task.partition(".")[0] for x in deployment.executors for task in x.running()}
        for job in jobs:
            if job[1] in running or deployment.state(job[0], "plain", job[1]) in FINAL:
                waits_since[job] = record.now()
        time.sleep(0.2)
    violations = []
    for front, job_id in jobs:
        state = deployment.state(front, "plain", job_id, quiet=False)
        waited_s = record.now() - waits_since[front, job_id]
        if waited_s >= CALM_S:
            violations.append(
                f"LOST: job {job_id} is {state} and has had nothing running for {waited_s:.1f} s on"
                f" idle executors, {BOUNDS['finish_s']} s after the traffic; beside the job: {name}"
            )
    return violations


run_case(CASE, play)
