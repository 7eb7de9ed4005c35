"""One soak: a seed, its faults, its traffic, and the promises at its end."""

import time
from dataclasses import dataclass
from pathlib import Path

from chicorycrank_standin.soak import faults
from chicorycrank_standin.soak.callers import FINAL_STATES, Callers, JobRecord
from chicorycrank_standin.soak.deployment import Deployment

READY_LIMIT_S = 30.0
WARM_UP_S = 1.0
# After the last fault: the agents' authority and the leases behind it end after 19.5 s, then the
# work runs again; recovery has 12 s.
FINISH_LIMIT_S = 40.0
POLL_S = 0.3
# A job that was cancelled starts nothing later than this after its answer.
CANCEL_LIMIT_S = 3.0
# Orders without an answer are carried out up to this long after they were sent.
LATE_LIMIT_S = 6.0


@dataclass(frozen=True, kw_only=True)
class Result:
    """What a soak has shown."""

    seed: int
    jobs: int
    accepted: int
    starts: int
    faults: int
    violations: tuple[str, ...]


def run_soak(seed: int, length_s: float, folder: Path) -> Result:
    """Run one soak.

    :param folder: receives settings and logs of the programs
    """
    folder.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(folder, seed)
    callers = Callers(deployment, deployment.ledger)
    plan = faults.plan(seed, length_s)
    try:
        deployment.start()
        _wait_until_served(callers)
        threads = callers.start(seed)
        faults.run(plan, deployment)
        callers.is_over.set()
        for thread in threads:
            thread.join()
        faults.repair(deployment)
        _check_end(callers, deployment)
    finally:
        callers.is_over.set()
        deployment.close()
    ledger = deployment.ledger
    return Result(
        seed=seed,
        jobs=len(callers.jobs),
        accepted=sum(job.accepted_at is not None for job in callers.jobs),
        starts=len(ledger.starts),
        faults=len(plan),
        violations=tuple(ledger.violations),
    )


def _wait_until_served(callers: Callers) -> None:
    ends_at = time.monotonic() + READY_LIMIT_S
    while time.monotonic() < ends_at:
        if callers.answers("/plain/"):
            time.sleep(WARM_UP_S)
            return
        time.sleep(POLL_S)
    raise RuntimeError("the deployment does not answer")


def _check_end(callers: Callers, deployment: Deployment) -> None:
    ledger = deployment.ledger
    open_jobs = [job for job in callers.jobs if job.accepted_at is not None]
    ends_at = time.monotonic() + FINISH_LIMIT_S
    while open_jobs and time.monotonic() < ends_at:
        for job in open_jobs:
            job.state = callers.show(job)
        open_jobs = [job for job in open_jobs if job.state not in FINAL_STATES]
        time.sleep(POLL_S)
    for job in open_jobs:
        ledger.report(f"not finished: {job.path} is {job.state or 'without an answer'}")
    for job in callers.jobs:
        _check_job(job, deployment)


def _check_job(job: JobRecord, deployment: Deployment) -> None:
    ledger = deployment.ledger
    name = job.path.rpartition("/")[2]
    starts = [at for at, task, _ in ledger.starts if task.startswith(name)]
    if job.accepted_at is None and not job.is_unknown and starts:
        ledger.report(f"refused job has run: {job.path}")
    if job.state == "failed":
        ledger.report(f"failed without cause: {job.path}")
    if job.state == "cancelled" and job.cancelled_at is None and not job.is_cancel_unknown:
        ledger.report(f"cancelled without cause: {job.path}")
    if job.cancelled_at is not None:
        limit = job.cancelled_at + CANCEL_LIMIT_S + LATE_LIMIT_S + FINISH_LIMIT_S
        if any(at > limit for at in starts):
            ledger.report(f"cancelled job started: {job.path}")
    if job.state == "completed":
        # An end that was listed counts, also if its executor crashed before it was told so.
        done = sum(task.startswith(name) for task in ledger.done)
        if done < (1 if job.is_gang else job.tasks):
            ledger.report(f"completed with {done} of {job.tasks} ends: {job.path}")
