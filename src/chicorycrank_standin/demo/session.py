"""The steps of the demonstration."""

import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from itertools import cycle
from pathlib import Path
from typing import Any

import urllib3

from chicorycrank_standin.demo.ledger import FINAL_JOB_STATES, JobRow, Ledger, count_runs
from chicorycrank_standin.demo.plans import JobPlan, Plan, RequestPlan
from chicorycrank_standin.fleet import Fleet

CALLERS = 16
SPEED = 10.0
SERVICE_TIME_S = 0.1
JOB_TIMEOUT_S = 40.0
RELEASE_TIMEOUT_S = 6.0
URGENT_START_S = 9.5
RETRY_PAUSE_S = 0.5
MAX_SENDS = 20

Table = tuple[str, list[str], list[list[str]]]


class Session:
    """Starts a fleet, loads it, breaks parts of it and checks what callers were told.

    :param say: prints a line of progress
    """

    def __init__(self, plan: Plan, folder: Path, say: Callable[[str], None]) -> None:
        self.fleet = Fleet(
            deployment=plan.deployment, folder=folder, service_time_s=SERVICE_TIME_S, speed=SPEED
        )
        self._plan = plan
        self._say = say
        self._ledger = Ledger()
        self._runs: Counter[str] = Counter()
        self._problems: list[str] = []
        self._started = time.monotonic()
        self._dead_entries: set[str] = set()
        self._lock = threading.Lock()

    def run(self) -> list[str]:
        """Run all steps and return what went wrong."""
        region = self._plan.deployment.regions[0]
        self._step("starting the processes")
        self.fleet.start()
        self._step(f"{len(self.fleet.children_by_name)} processes run")
        self._apply(self._plan.first_release)
        jobs = [self._submit(job) for job in self._plan.jobs]
        with ThreadPoolExecutor(CALLERS) as callers:
            self._send_all(callers, self._plan.requests)
            self._apply(self._plan.second_release)
            self._drain(f"exec-{region}-0")
            self._break(region, callers)
        self._await_jobs(jobs)
        self._reclaim()
        self._runs = count_runs(self.fleet)
        self._step("checking answers against the executors' own records")
        return self._problems + self._ledger.check(self._runs)

    def tables(self) -> list[Table]:
        """Return the tables of requests and jobs."""
        requests = [
            [row.key, row.service, " ".join(row.outcomes), str(self._runs[row.key])]
            for row in sorted(self._ledger.requests_by_key.values(), key=lambda row: row.key)
        ]
        jobs = [
            [
                row.name,
                row.team,
                str(row.record.get("state")),
                str(row.record.get("attempt")),
                str(row.record.get("evictions")),
                " ".join(sorted({m["worker"] for m in row.record.get("placement", [])})),
            ]
            for row in self._ledger.jobs_by_id.values()
        ]
        return [
            ("Requests", ["key", "service", "outcomes of all copies", "runs"], requests),
            ("Jobs", ["job", "team", "state", "attempts", "evictions", "workers"], jobs),
        ]

    def _step(self, text: str) -> None:
        self._say(f"[{time.monotonic() - self._started:5.1f} s] {text}")

    def _problem(self, text: str) -> None:
        self._step(f"PROBLEM: {text}")
        self._problems.append(text)

    def _entries(self) -> list[str]:
        return [name for name in self.fleet.entry_names() if name not in self._dead_entries]

    # Releases.

    def _apply(self, note: dict[str, Any]) -> None:
        entry = self._entries()[0]
        status, reply = self.fleet.call(entry, "POST", "/v1/releases", note)
        if status != 200:
            self._problem(f"release {note['release']} was refused: {reply}")
            return
        generation = note["written_against"] + 1
        began = time.monotonic()
        self.fleet.wait(
            lambda: all(self._generation(name) >= generation for name in self._entries()),
            f"generation {generation} is not in force everywhere",
            RELEASE_TIMEOUT_S,
        )
        elapsed = time.monotonic() - began
        self._step(f"release {note['release']} is in force in every region after {elapsed:.2f} s")

    def _generation(self, entry: str) -> int:
        return int(self.fleet.call(entry, "GET", "/v1/state")[1]["config_generation"])

    # Requests.

    def _send_all(self, callers: ThreadPoolExecutor, plans: Sequence[RequestPlan]) -> None:
        entries = cycle(self._entries())
        calls = [
            callers.submit(self._send, plan, f"{plan.prefix}-{index}", next(entries))
            for plan in plans
            for index in range(plan.count)
            for _ in range(plan.copies)
        ]
        for call in calls:
            call.result()
        self._step(f"{len(calls)} requests answered")

    def _send(self, plan: RequestPlan, key: str, entry: str) -> None:
        """Send a request; repeat it under its key while that is safe."""
        reply: Any = None
        for _ in range(MAX_SENDS):
            reply = self._send_once(plan, key, entry)
            if isinstance(reply, dict) and reply.get("outcome") != "not_run":
                break
            if reply is None:
                entry = next(name for name in self._entries() if name != entry)
            time.sleep(RETRY_PAUSE_S)
        self._ledger.note_request(
            key=key, service=plan.service, repeatable=plan.repeatable, reply=reply
        )

    def _send_once(self, plan: RequestPlan, key: str, entry: str) -> Any:
        body = {"team": plan.team, "service": plan.service, "body": {"item": key}}
        try:
            return self.fleet.call(entry, "POST", "/v1/requests", body, Idempotency_Key=key)[1]
        except urllib3.exceptions.HTTPError:
            return None

    # Failures.

    def _drain(self, target: str) -> None:
        entry = self._entries()[0]
        body = {"draining": True}
        status, reply = self.fleet.call(entry, "POST", f"/v1/targets/{target}/drain", body)
        if status != 200:
            self._problem(f"{target} could not be drained: {reply}")
            return
        before = len(self.fleet.call(target, "GET", "/record")[1])
        with ThreadPoolExecutor(CALLERS) as callers:
            plan = self._plan.requests[0]
            for index in range(12):
                callers.submit(self._send, plan, f"drain-{index}", entry)
        after = len(self.fleet.call(target, "GET", "/record")[1])
        if after != before:
            self._problem(f"{target} ran {after - before} requests after it was drained")
        self._step(f"{target} drained: no new work")

    def _break(self, region: str, callers: ThreadPoolExecutor) -> None:
        """Kill a worker with its agent, and an entry while it serves requests."""
        worker = f"work-{region}-0"
        self.fleet.kill(f"agent-{worker}")
        self.fleet.kill(worker)
        self._step(f"{worker} and its agent killed")
        victim = self.fleet.entry_names()[-1]
        plan = self._plan.requests[-1]
        calls = [
            callers.submit(self._send, plan, f"{plan.prefix}-late-{index}", victim)
            for index in range(8)
        ]
        time.sleep(SERVICE_TIME_S / 2)
        self._dead_entries.add(victim)
        self.fleet.kill(victim)
        self._step(f"{victim} killed with requests under way")
        for call in calls:
            call.result()
        self._step("its callers were answered through other entries")

    # Jobs.

    def _submit(self, plan: JobPlan) -> str:
        body = asdict(plan)
        shape = {key: body.pop(key) for key in ("members", "accelerators", "adjacency")}
        entry = self._entries()[0]
        status, reply = self.fleet.call(
            entry, "POST", "/v1/jobs", body | {"shape": shape}, Idempotency_Key=plan.name
        )
        if status != 200:
            self._problem(f"job {plan.name} was refused: {reply}")
            return ""
        job_id = str(reply["job_id"])
        self._ledger.jobs_by_id[job_id] = JobRow(
            job_id=job_id, name=plan.name, team=plan.team, record=reply
        )
        return job_id

    def _record(self, job_id: str) -> dict[str, Any]:
        status, reply = self.fleet.call(self._entries()[0], "GET", f"/v1/jobs/{job_id}")
        if status == 200:
            self._ledger.jobs_by_id[job_id].record = reply
        return self._ledger.jobs_by_id[job_id].record

    def _await_jobs(self, job_ids: Sequence[str]) -> None:
        known = [job_id for job_id in job_ids if job_id]
        try:
            self.fleet.wait(
                lambda: all(self._record(j)["state"] in FINAL_JOB_STATES for j in known),
                "jobs have not ended",
                JOB_TIMEOUT_S,
            )
        except TimeoutError as error:
            self._problem(str(error))
        self._step(f"{len(known)} jobs ended")

    def _reclaim(self) -> None:
        """Fill a region with borrowed work, then ask for a guaranteed shape."""
        borrowers = [self._submit(job) for job in self._plan.borrowers]
        self.fleet.wait(
            lambda: sum(self._record(j)["state"] == "running" for j in borrowers) >= 3,
            "borrowers do not run",
        )
        began = time.monotonic()
        owner = self._submit(self._plan.reclaimer)
        self.fleet.wait(
            lambda: self._record(owner)["state"] in ("running", *FINAL_JOB_STATES),
            "the guaranteed job did not start",
            URGENT_START_S,
        )
        elapsed = time.monotonic() - began
        self._step(f"guarantee of {self._plan.reclaimer.team} reclaimed in {elapsed:.2f} s")
        self._await_jobs([owner, *borrowers])
