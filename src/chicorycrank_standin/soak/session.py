"""Runs one soak test and checks the final state of its jobs."""

import time
from dataclasses import dataclass
from pathlib import Path

from chicorycrank_standin.platform.run_recorder import CANCEL_S, CONTACT_S, STOP_S
from chicorycrank_standin.soak import faults
from chicorycrank_standin.soak.callers import FINAL_STATES, Callers, JobRecord
from chicorycrank_standin.soak.deployment import AGENT_COUNT, Deployment

READY_TIMEOUT_S = 30.0
WARM_UP_S = 1.0
# After the last fault, the leases that agents granted to executors expire within 19.5 s
# (lost_after_s in batch/leases.py). The work then runs again, and recovery may take 12 s.
FINISH_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.3
# A task of a cancelled job has to be gone after the last fault and this time.
CANCELLED_TIMEOUT_S = CONTACT_S + CANCEL_S + STOP_S + 0.5


@dataclass(frozen=True, kw_only=True)
class SoakResult:
    """Counts and violations of a soak test.

    :param jobs: number of submitted jobs
    :param accepted: number of jobs whose acceptance was confirmed
    :param starts: number of started runs
    :param faults: number of injected faults
    :param crashes: number of executors that tasks have crashed
    """

    seed: int
    jobs: int
    accepted: int
    starts: int
    faults: int
    crashes: int
    violations: tuple[str, ...]


def run_soak(
    seed: int, duration_s: float, folder: Path, *, agents: int = AGENT_COUNT
) -> SoakResult:
    """Run one soak test.

    :param duration_s: time during which faults are injected
    :param folder: directory for the settings and logs of the programs
    :param agents: number of agents, each with an executor
    """
    folder.mkdir(parents=True, exist_ok=True)
    deployment = Deployment(folder, seed, agents)
    callers = Callers(deployment, deployment.run_recorder)
    planned_faults = faults.plan_faults(seed, duration_s)
    try:
        deployment.start()
        _wait_until_ready(callers)
        threads = callers.start(seed)
        faults.inject_faults(planned_faults, deployment)
        callers.stop_event.set()
        for thread in threads:
            thread.join()
        faults.end_faults(deployment)
        callers.cancel_long_jobs()
        _check_jobs(callers, deployment)
    finally:
        callers.stop_event.set()
        deployment.close()
        _write_runs(deployment, folder / "runs.log")
    run_recorder = deployment.run_recorder
    return SoakResult(
        seed=seed,
        jobs=len(callers.jobs),
        accepted=sum(job.accepted_at is not None for job in callers.jobs),
        starts=len(run_recorder.runs),
        faults=len(planned_faults),
        crashes=sum(run_recorder.crashes_by_task.values()),
        violations=tuple(run_recorder.violations),
    )


def _wait_until_ready(callers: Callers) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        if callers.all_entries_answer("/plain/"):
            time.sleep(WARM_UP_S)
            return
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError("the entries do not respond with status 200")


def _write_runs(deployment: Deployment, path: Path) -> None:
    """Write the runs and the disturbances that the judge knows, in monotonic seconds."""
    run_recorder = deployment.run_recorder
    lines = [f"{time.monotonic():.3f} is {time.strftime('%H:%M:%S')} local time"]
    lines += [
        f"{run} ordered={run.ordered_at:.3f} started={run.started_at:.3f} late={run.is_late}"
        f" ended={run.ended_at} how={run.end_kind} seen={run.is_end_seen}"
        for run in run_recorder.runs
    ]
    lines += [str(disturbance) for disturbance in run_recorder.disturbances.disturbances]
    path.write_text("\n".join([*lines, *run_recorder.violations, ""]))


def _check_jobs(callers: Callers, deployment: Deployment) -> None:
    run_recorder = deployment.run_recorder
    open_jobs = [job for job in callers.jobs if job.accepted_at is not None]
    faults_ended_at = time.monotonic()
    # A crash by a task is a fault too. Their number is limited, which the recorder checks.
    while open_jobs and (
        time.monotonic() < max(faults_ended_at, run_recorder.last_crash_at) + FINISH_TIMEOUT_S
    ):
        for job in open_jobs:
            callers.update_state(job)
        open_jobs = [job for job in open_jobs if job.state not in FINAL_STATES]
        time.sleep(POLL_INTERVAL_S)
    for job in open_jobs:
        run_recorder.report_violation(
            f"not finished: {job.path} is {job.state or 'without an answer'}"
        )
    checked_at = time.monotonic() + CANCELLED_TIMEOUT_S
    while run_recorder.is_running_cancelled() and time.monotonic() < checked_at:
        time.sleep(POLL_INTERVAL_S)
    run_recorder.check_runs_of_cancelled_jobs([entry.name for entry in deployment.entries])
    for job in callers.jobs:
        _check_job(job, deployment)


def _check_job(job: JobRecord, deployment: Deployment) -> None:
    run_recorder = deployment.run_recorder
    runs = [run for run in run_recorder.runs if run.job == job.job_id]
    if job.accepted_at is None and not job.is_acceptance_unknown and runs:
        run_recorder.report_violation(f"refused job has run: {job.path}")
    if job.state == "failed" and not run_recorder.may_be_given_up(job.job_id):
        run_recorder.report_violation(f"failed without cause: {job.path}: {job.reason}")
    if job.state == "failed" and not job.reason:
        run_recorder.report_violation(f"failed without a reason for the caller: {job.path}")
    if job.state == "cancelled" and not job.is_cancelled and not job.is_cancel_unknown:
        run_recorder.report_violation(f"cancelled without cause: {job.path}")
    if job.state == "completed":
        # A recorded end counts even if the executor crashed before the end was acknowledged.
        done_count = len({run.task for run in runs if run.end_kind == "done"})
        if done_count < (1 if job.is_gang else job.task_count):
            run_recorder.report_violation(
                f"completed with {done_count} of {job.task_count} ends: {job.path}"
            )
