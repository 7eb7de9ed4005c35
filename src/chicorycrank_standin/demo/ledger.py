"""Outcomes that callers saw, and their check against the targets' own records."""

import threading
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from chicorycrank_standin.fleet import Fleet

FINAL_JOB_STATES = ("completed", "failed", "cancelled")


@dataclass(kw_only=True)
class RequestRow:
    """One key and the outcomes of all its copies."""

    key: str
    service: str
    repeatable: bool
    outcomes: list[str] = field(default_factory=list)
    own_answers: int = 0
    foreign_answers: int = 0


@dataclass(kw_only=True)
class JobRow:
    """One job and its last known record."""

    job_id: str
    name: str
    team: str
    record: dict[str, Any] = field(default_factory=dict)


class Ledger:
    """Collects what callers were told."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.requests_by_key: dict[str, RequestRow] = {}
        self.jobs_by_id: dict[str, JobRow] = {}

    def note_request(self, *, key: str, service: str, repeatable: bool, reply: Any) -> None:
        """Note the reply to one copy of a request."""
        with self._lock:
            row = self.requests_by_key.setdefault(
                key, RequestRow(key=key, service=service, repeatable=repeatable)
            )
            document = reply if isinstance(reply, dict) else {}
            row.outcomes.append(str(document.get("outcome", "no answer")))
            answer = document.get("answer")
            if isinstance(answer, dict):
                own = answer.get("key") == key and answer.get("echo") == {"item": key}
                row.own_answers += own
                row.foreign_answers += not own

    def check(self, runs_by_key: Counter[str]) -> list[str]:
        """Return every untruth about requests and jobs."""
        problems = [
            problem
            for row in self.requests_by_key.values()
            for problem in _check_request(row, runs_by_key[row.key])
        ]
        for job in self.jobs_by_id.values():
            state = job.record.get("state")
            if state not in FINAL_JOB_STATES:
                problems.append(f"job {job.name} ({job.job_id}) is {state}")
        return problems


def count_runs(fleet: Fleet) -> Counter[str]:
    """Return how often each key ran, from the executors' own records."""
    counter: Counter[str] = Counter()
    for name in fleet.executor_names():
        if fleet.children_by_name[name].process.poll() is None:
            _, runs = fleet.call(name, "GET", "/record")
            counter.update(run["key"] for run in runs)
    return counter


def _check_request(row: RequestRow, runs: int) -> list[str]:
    problems = []
    completed = row.outcomes.count("completed")
    if row.foreign_answers or row.own_answers != completed:
        problems.append(f"{row.key}: an answer is not its own")
    if not row.repeatable and runs > 1:
        problems.append(f"{row.key}: ran {runs} times")
    if completed and not runs:
        problems.append(f"{row.key}: completed but never ran")
    if runs and set(row.outcomes) == {"not_run"}:
        problems.append(f"{row.key}: not_run but ran {runs} times")
    if "no answer" in row.outcomes:
        problems.append(f"{row.key}: a copy got no answer")
    return problems
