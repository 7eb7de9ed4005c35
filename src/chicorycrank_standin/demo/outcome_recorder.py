"""Records the outcomes that callers saw and compares them with the records of the executors."""

import threading
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from chicorycrank_standin.fleet import Fleet

FINAL_JOB_STATES = ("completed", "failed", "cancelled")


@dataclass(kw_only=True)
class RequestOutcomes:
    """Outcomes of all copies of the request with one key.

    :param matching_answers: number of answers that belong to this request
    :param mismatched_answers: number of answers that belong to another request
    """

    key: str
    service: str
    repeatable: bool
    outcomes: list[str] = field(default_factory=list)
    matching_answers: int = 0
    mismatched_answers: int = 0


@dataclass(kw_only=True)
class SubmittedJob:
    """Submitted job and the last record that was fetched."""

    job_id: str
    name: str
    team: str
    record: dict[str, Any] = field(default_factory=dict)


class OutcomeRecorder:
    """Recorder of the replies to callers; requests may be recorded from several threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.requests_by_key: dict[str, RequestOutcomes] = {}
        self.jobs_by_id: dict[str, SubmittedJob] = {}

    def record_request(self, *, key: str, service: str, repeatable: bool, reply: Any) -> None:
        """Record the reply to one copy of a request."""
        with self._lock:
            request = self.requests_by_key.setdefault(
                key, RequestOutcomes(key=key, service=service, repeatable=repeatable)
            )
            document = reply if isinstance(reply, dict) else {}
            request.outcomes.append(str(document.get("outcome", "no answer")))
            answer = document.get("answer")
            if isinstance(answer, dict):
                is_matching = answer.get("key") == key and answer.get("echo") == {"item": key}
                request.matching_answers += is_matching
                request.mismatched_answers += not is_matching

    def find_violations(self, run_count_by_key: Counter[str]) -> list[str]:
        """Return a message for each wrong outcome of a request and each job that has not ended."""
        violations = [
            violation
            for request in self.requests_by_key.values()
            for violation in _find_request_violations(request, run_count_by_key[request.key])
        ]
        for job in self.jobs_by_id.values():
            state = job.record.get("state")
            if state not in FINAL_JOB_STATES:
                violations.append(f"job {job.name} ({job.job_id}) is {state}")
        return violations


def count_runs(fleet: Fleet) -> Counter[str]:
    """Return the number of runs by key from the records of the running executors."""
    run_count_by_key: Counter[str] = Counter()
    for name in fleet.executor_names():
        if fleet.children_by_name[name].process.poll() is None:
            _, runs = fleet.call(name, "GET", "/record")
            run_count_by_key.update(run["key"] for run in runs)
    return run_count_by_key


def _find_request_violations(request: RequestOutcomes, run_count: int) -> list[str]:
    violations = []
    completed_count = request.outcomes.count("completed")
    if request.mismatched_answers or request.matching_answers != completed_count:
        violations.append(f"{request.key}: an answer does not match the request")
    if not request.repeatable and run_count > 1:
        violations.append(f"{request.key}: ran {run_count} times")
    if completed_count and not run_count:
        violations.append(f"{request.key}: completed but never ran")
    if run_count and set(request.outcomes) == {"not_run"}:
        violations.append(f"{request.key}: not_run but ran {run_count} times")
    if "no answer" in request.outcomes:
        violations.append(f"{request.key}: a copy got no answer")
    return violations
