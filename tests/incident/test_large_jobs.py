"""Small jobs end in time beside a job of any size, with entries and agents as processes."""

import json
from typing import Any

import pytest
from tests.incident.scenario import Job, call, submit, wait_until

from chicorycrank_standin.soak.deployment import Deployment

END_TIMEOUT_S = 10.0
TASK_CPU_MILLICORES = 10
LARGE_JOBS: dict[str, dict[str, int]] = {
    "5000-tasks": {"count": 5000},
    "million-tasks": {"count": 1_000_000},
    "million-occurrences": {
        "count": 1,
        "repeatCount": 1_000_000,
        "startAtMs": 1,
        "intervalMs": 1,
    },
}

# Seconds that each task of the large job takes, by its estimate in milliseconds.
WORK_S_BY_ESTIMATE_MS = {2000: 2.0, 50: 0.2}


def make_large_job(shape: dict[str, int], estimated_ms: int) -> dict[str, Any]:
    """Return the body of a submission of tasks without accelerators."""
    repetition = {key: value for key, value in shape.items() if key != "count"}
    step = {"cpu": TASK_CPU_MILLICORES, "estimatedMs": estimated_ms, "count": shape["count"]}
    work_s = WORK_S_BY_ESTIMATE_MS[estimated_ms]
    payload = json.dumps({"seconds": work_s, "members": 1, "accelerators": 0})
    return {"spec": payload, "steps": [step], **repetition}


@pytest.mark.parametrize("estimated_ms", WORK_S_BY_ESTIMATE_MS)
@pytest.mark.parametrize("shape", LARGE_JOBS.values(), ids=LARGE_JOBS)
def test_a_small_job_ends_in_time_beside_a_large_one(
    deployment: Deployment, shape: dict[str, int], estimated_ms: int
) -> None:
    """Guards against a job that holds up the jobs of all others."""
    first, second = deployment.entries
    job = Job(job_id="f" * 16, entry=first, deployment=deployment)
    body = json.dumps(make_large_job(shape, estimated_ms))
    assert call(first, "POST", job.path, body).status == 200
    wait_until(lambda: bool(job.runs()), END_TIMEOUT_S)
    for number in range(3):
        small = submit(deployment, second, number, tasks=1, work_s=0.3)
        wait_until(lambda small=small: small.state() == "completed", END_TIMEOUT_S)  # type: ignore[misc]
    job.cancel()
    assert deployment.run_recorder.violations == []
