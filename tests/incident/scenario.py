"""Jobs of a deployment of processes, as callers submit and cancel them."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass

import urllib3

from chicorycrank_standin.background import HOST
from chicorycrank_standin.platform.executor import BatchExecutorStandIn
from chicorycrank_standin.platform.run_recorder import RunRecord
from chicorycrank_standin.soak.deployment import API_KEY, Deployment, Program

CALL_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.02
ID_BY_NUMBER = "{:016x}"


@dataclass(frozen=True, kw_only=True)
class Job:
    """Submitted job.

    :param entry: entry that has accepted the job
    """

    job_id: str
    entry: Program
    deployment: Deployment

    @property
    def path(self) -> str:
        """Path of the job at every entry."""
        return f"/plain/{self.job_id}"

    def runs(self) -> list[RunRecord]:
        """Return the runs of the job's tasks that executors have started."""
        recorder = self.deployment.run_recorder
        with recorder.lock:
            return [run for run in recorder.runs if run.task.startswith(self.job_id)]

    def executor_index(self) -> int:
        """Return the index of an executor that runs a task of the job."""
        executors = self.deployment.executors
        return next(i for i, each in enumerate(executors) if each.is_running(self.job_id))

    def executor(self) -> BatchExecutorStandIn:
        """Return an executor that runs a task of the job."""
        return self.deployment.executors[self.executor_index()]

    def state(self) -> str:
        """Return the state that the entry shows."""
        response = call(self.entry, "GET", self.path)
        return str(response.json().get("state", ""))

    def cancel(self) -> float:
        """Cancel the job and return the monotonic time of the acknowledgement."""
        assert call(self.entry, "DELETE", self.path).status == 200
        return time.monotonic()


def submit(
    deployment: Deployment, entry: Program, number: int, *, tasks: int, work_s: float
) -> Job:
    """Submit a job of independent tasks with an accelerator each."""
    job = Job(job_id=ID_BY_NUMBER.format(number), entry=entry, deployment=deployment)
    payload = json.dumps({"seconds": work_s, "members": 1, "accelerators": 1})
    step = {"count": tasks, "gpus": 1, "estimatedMs": round(work_s * 1000)}
    body = json.dumps({"spec": payload, "steps": [step]})
    assert call(entry, "POST", job.path, body).status == 200
    return job


def call(
    entry: Program, method: str, path: str, body: str | None = None
) -> urllib3.BaseHTTPResponse:
    """Call an entry as a client."""
    headers = {"Host": "soak.example", "Credential": API_KEY}
    url = f"http://{HOST}:{entry.port}{path}"
    return urllib3.request(
        method, url, body=body, headers=headers, timeout=CALL_TIMEOUT_S, retries=False
    )


def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition does not hold in time"
        time.sleep(POLL_INTERVAL_S)
