"""Small jobs end in time beside a job of any size, with entries and agents as processes."""

import json
from typing import Any

import pytest
from tests.incident.scenario import Job, call, submit, wait_until

from chicorycrank_standin.soak.deployment import Deployment

END_TIMEOUT_S = 10.0
LARGE_WORK_S = 2.0
SMALL_STEP = {"cpu": 10, "estimatedMs": 2000}
LARGE_JOBS: dict[str, dict[str, Any]] = {
    "5000-tasks": {"steps": [{**SMALL_STEP, "count": 5000}]},
    "million-tasks": {"steps": [{**SMALL_STEP, "count": 1_000_000}]},
    "million-occurrences": {
        "steps": [{**SMALL_STEP, "count": 1}],
        "repeatCount": 1_000_000,
        "startAtMs": 1,
        "intervalMs": 1,
    },
}


@pytest.mark.parametrize("large", LARGE_JOBS.values(), ids=LARGE_JOBS)
def test_a_small_job_ends_in_time_beside_a_large_one(
    deployment: Deployment, large: dict[str, Any]
) -> None:
    """Guards against a job that holds up the jobs of all others."""
    first, second = deployment.entries
    job = Job(job_id="f" * 16, entry=first, deployment=deployment)
    payload = json.dumps({"seconds": LARGE_WORK_S, "members": 1, "accelerators": 0})
    assert call(first, "POST", job.path, json.dumps({"spec": payload, **large})).status == 200
    wait_until(lambda: bool(job.runs()), END_TIMEOUT_S)
    for number in range(3):
        small = submit(deployment, second, number, tasks=1, work_s=0.3)
        wait_until(lambda small=small: small.state() == "completed", END_TIMEOUT_S)  # type: ignore[misc]
    job.cancel()
    assert deployment.run_recorder.violations == []
