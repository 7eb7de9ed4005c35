"""A job without accelerators stops the leader: it fails or spins in each plan, and so do others."""

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
    """Hand in a job that can never be done, cancel it, and then a gang that two executors fit."""
    front = deployment.fronts[0]
    hopeless = {"count": 1, "gpus": 0, "cpu": 200_000, "memMb": 1000}
    gang = {"count": 2, "gpus": 0, "cpu": 60_000, "memMb": 1000, "gang": True}
    violations = []
    for name, step in (("hopeless", hopeless), ("gang", gang)):
        job_id = ""
        if is_troubled():
            deployment.record.write(f"a job comes: {name}")
            _, job_id = deployment.submit(front, "plain", 3.0, **step)
            time.sleep(1.0)
        violations += play_small_jobs(deployment, name)
        if job_id:
            runs = deployment.runs_of(job_id)
            deployment.state(front, "plain", job_id, quiet=False)
            deployment.record.write(f"the job ({name}) has begun {len(runs)} tasks")
            deployment.cancel(front, "plain", job_id)
            time.sleep(3.0)
    return violations


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
