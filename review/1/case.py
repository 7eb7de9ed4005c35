"""A job without accelerators stops the leader, which fails or spins in each plan."""

import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standin import BOUNDS, is_troubled, run_case  # noqa: E402

SMALL_WORK_S = 1.0
CALM_S = 3.0
FINAL = ("completed", "failed", "cancelled")
GPU_WORK_S = 15.0
# The steps of the example of a job in PROTOCOL.md, with the data in the first rack.
EXAMPLE_STEPS = [
    {"count": 4, "cpu": 500, "memMb": 256, "estimatedMs": 900, "affinity": "r1-0"},
    {
        "count": 20,
        "cpu": 2000,
        "memMb": 1024,
        "estimatedMs": 7000,
        "after": [0],
        "checkpointing": True,
    },
]


def play(deployment):
    """Play three jobs without accelerators, one after the other."""
    violations = play_example(deployment)
    front = deployment.fronts[0]
    hopeless = {"count": 1, "gpus": 0, "cpu": 200_000, "memMb": 1000}
    gang = {"count": 2, "gpus": 0, "cpu": 60_000, "memMb": 1000, "gang": True}
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


def play_example(deployment):
    """Use all GPUs, hand the page's example of a job in, and cancel the job on the GPUs."""
    record = deployment.record
    front = deployment.fronts[0]
    gpus = sum(executor.gpus for executor in deployment.executors)
    _, gpu_job = deployment.submit(front, "plain", GPU_WORK_S, count=gpus, gpus=1)
    time.sleep(2.0)
    example = ""
    if is_troubled():
        record.write("a job comes: the example")
        example = os.urandom(8).hex()
        document = {"spec": "1.0 seconds", "steps": EXAMPLE_STEPS}
        deployment.call(front, "POST", f"/plain/{example}", document)
        time.sleep(1.0)
    status = deployment.cancel(front, "plain", gpu_job)
    cancelled_at = record.now()
    limit_s = (BOUNDS["cancel_ms"] + BOUNDS["stopTimeoutMs"]) / 1000
    time.sleep(limit_s + 0.5)
    late = [run for run in deployment.runs_of(gpu_job) if run["ended"] is None]
    violations = []
    if status in (200, 410) and late:
        violations.append(
            f"UNASKED: {len(late)} tasks of job {gpu_job} still run"
            f" {record.now() - cancelled_at:.1f} s after its cancelling was acknowledged;"
            " beside the job: the example"
        )
    # The leader plans again once the executors have listed the ends of these tasks.
    limit = record.now() + GPU_WORK_S + 10
    while example and record.now() < limit:
        if deployment.state(front, "plain", example) == "completed":
            break
        time.sleep(0.2)
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
