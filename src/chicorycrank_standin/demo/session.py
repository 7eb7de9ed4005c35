"""Runs the steps of the demonstration."""

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

from chicorycrank_standin.demo.outcome_recorder import (
    FINAL_JOB_STATES,
    OutcomeRecorder,
    SubmittedJob,
    count_runs,
)
from chicorycrank_standin.demo.plans import DemoPlan, JobPlan, RequestPlan
from chicorycrank_standin.fleet import Fleet

CALLER_THREADS = 16
WORKER_SPEED = 10.0
SERVICE_TIME_S = 0.1
JOB_TIMEOUT_S = 40.0
RELEASE_TIMEOUT_S = 6.0
URGENT_START_TIMEOUT_S = 9.5
RETRY_BACKOFF_S = 0.5
MAX_ATTEMPTS = 20

Table = tuple[str, list[str], list[list[str]]]


class Session:
    """Demonstration of one deployment: load, injected failures and a check of all outcomes.

    :param print_line: prints a line of progress
    """

    def __init__(self, plan: DemoPlan, folder: Path, print_line: Callable[[str], None]) -> None:
        self.fleet = Fleet(
            deployment=plan.deployment,
            folder=folder,
            service_time_s=SERVICE_TIME_S,
            speed=WORKER_SPEED,
        )
        self._plan = plan
        self._print_line = print_line
        self._recorder = OutcomeRecorder()
        self._run_count_by_key: Counter[str] = Counter()
        self._problems: list[str] = []
        self._started_at = time.monotonic()
        self._killed_entries: set[str] = set()
        self._lock = threading.Lock()

    def run(self) -> list[str]:
        """Run all steps and return a message for each problem."""
        region = self._plan.deployment.regions[0]
        self._print_progress("starting the processes")
        self.fleet.start()
        self._print_progress(f"{len(self.fleet.children_by_name)} processes are running")
        self._apply_release(self._plan.first_release)
        jobs = [self._submit_job(job) for job in self._plan.jobs]
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            self._send_all(callers, self._plan.requests)
            self._apply_release(self._plan.second_release)
            self._check_drain(f"exec-{region}-0")
            self._kill_processes(region, callers)
        self._wait_for_jobs(jobs)
        self._reclaim_guarantee()
        self._run_count_by_key = count_runs(self.fleet)
        self._print_progress("comparing the outcomes with the records of the executors")
        return self._problems + self._recorder.find_violations(self._run_count_by_key)

    def tables(self) -> list[Table]:
        """Return the tables of requests and jobs."""
        requests = [
            [
                request.key,
                request.service,
                " ".join(request.outcomes),
                str(self._run_count_by_key[request.key]),
            ]
            for request in sorted(
                self._recorder.requests_by_key.values(), key=lambda request: request.key
            )
        ]
        jobs = [
            [
                job.name,
                job.team,
                str(job.record.get("state")),
                str(job.record.get("attempt")),
                str(job.record.get("evictions")),
                " ".join(sorted({member["worker"] for member in job.record.get("placement", [])})),
            ]
            for job in self._recorder.jobs_by_id.values()
        ]
        return [
            ("Requests", ["key", "service", "outcomes of all copies", "runs"], requests),
            ("Jobs", ["job", "team", "state", "attempts", "evictions", "workers"], jobs),
        ]

    def _print_progress(self, text: str) -> None:
        self._print_line(f"[{time.monotonic() - self._started_at:5.1f} s] {text}")

    def _report_problem(self, text: str) -> None:
        self._print_progress(f"PROBLEM: {text}")
        self._problems.append(text)

    def _running_entries(self) -> list[str]:
        return [name for name in self.fleet.entry_names() if name not in self._killed_entries]

    def _apply_release(self, release_note: dict[str, Any]) -> None:
        entry = self._running_entries()[0]
        status, reply = self.fleet.call(entry, "POST", "/v1/releases", release_note)
        if status != 200:
            self._report_problem(f"release {release_note['release']} was refused: {reply}")
            return
        generation = release_note["written_against"] + 1
        started_at = time.monotonic()
        self.fleet.wait(
            lambda: all(
                self._query_generation(name) >= generation for name in self._running_entries()
            ),
            f"generation {generation} is not in effect at every entry",
            RELEASE_TIMEOUT_S,
        )
        elapsed_s = time.monotonic() - started_at
        self._print_progress(
            f"release {release_note['release']} is in effect at every entry after {elapsed_s:.2f} s"
        )

    def _query_generation(self, entry: str) -> int:
        return int(self.fleet.call(entry, "GET", "/v1/state")[1]["config_generation"])

    def _send_all(self, callers: ThreadPoolExecutor, plans: Sequence[RequestPlan]) -> None:
        entries = cycle(self._running_entries())
        futures = [
            callers.submit(self._send, plan, f"{plan.prefix}-{index}", next(entries))
            for plan in plans
            for index in range(plan.count)
            for _ in range(plan.copies)
        ]
        for future in futures:
            future.result()
        self._print_progress(f"{len(futures)} requests answered")

    def _send(self, plan: RequestPlan, key: str, entry: str) -> None:
        """Send a request and retry it under the same key while it has not run."""
        reply: Any = None
        for _ in range(MAX_ATTEMPTS):
            reply = self._send_once(plan, key, entry)
            if isinstance(reply, dict) and reply.get("outcome") != "not_run":
                break
            if reply is None:
                entry = next(name for name in self._running_entries() if name != entry)
            time.sleep(RETRY_BACKOFF_S)
        self._recorder.record_request(
            key=key, service=plan.service, repeatable=plan.repeatable, reply=reply
        )

    def _send_once(self, plan: RequestPlan, key: str, entry: str) -> Any:
        body = {"team": plan.team, "service": plan.service, "body": {"item": key}}
        try:
            return self.fleet.call(entry, "POST", "/v1/requests", body, Idempotency_Key=key)[1]
        except urllib3.exceptions.HTTPError:
            return None

    def _check_drain(self, target: str) -> None:
        entry = self._running_entries()[0]
        body = {"draining": True}
        status, reply = self.fleet.call(entry, "POST", f"/v1/targets/{target}/drain", body)
        if status != 200:
            self._report_problem(f"{target} could not be drained: {reply}")
            return
        runs_before = len(self.fleet.call(target, "GET", "/record")[1])
        with ThreadPoolExecutor(CALLER_THREADS) as callers:
            plan = self._plan.requests[0]
            for index in range(12):
                callers.submit(self._send, plan, f"drain-{index}", entry)
        runs_after = len(self.fleet.call(target, "GET", "/record")[1])
        if runs_after != runs_before:
            self._report_problem(
                f"{target} ran {runs_after - runs_before} requests after it was drained"
            )
        self._print_progress(f"{target} drained: no new work")

    def _kill_processes(self, region: str, callers: ThreadPoolExecutor) -> None:
        """Kill a worker with its agent, and an entry while it serves requests."""
        worker = f"work-{region}-0"
        self.fleet.kill(f"agent-{worker}")
        self.fleet.kill(worker)
        self._print_progress(f"{worker} and its agent killed")
        entry = self.fleet.entry_names()[-1]
        plan = self._plan.requests[-1]
        futures = [
            callers.submit(self._send, plan, f"{plan.prefix}-late-{index}", entry)
            for index in range(8)
        ]
        time.sleep(SERVICE_TIME_S / 2)
        self._killed_entries.add(entry)
        self.fleet.kill(entry)
        self._print_progress(f"{entry} killed while it served requests")
        for future in futures:
            future.result()
        self._print_progress("its callers received replies through other entries")

    def _submit_job(self, plan: JobPlan) -> str:
        body = asdict(plan)
        shape = {key: body.pop(key) for key in ("members", "accelerators", "adjacency")}
        entry = self._running_entries()[0]
        status, reply = self.fleet.call(
            entry, "POST", "/v1/jobs", body | {"shape": shape}, Idempotency_Key=plan.name
        )
        if status != 200:
            self._report_problem(f"job {plan.name} was refused: {reply}")
            return ""
        job_id = str(reply["job_id"])
        self._recorder.jobs_by_id[job_id] = SubmittedJob(
            job_id=job_id, name=plan.name, team=plan.team, record=reply
        )
        return job_id

    def _fetch_job_record(self, job_id: str) -> dict[str, Any]:
        status, reply = self.fleet.call(self._running_entries()[0], "GET", f"/v1/jobs/{job_id}")
        if status == 200:
            self._recorder.jobs_by_id[job_id].record = reply
        return self._recorder.jobs_by_id[job_id].record

    def _wait_for_jobs(self, job_ids: Sequence[str]) -> None:
        submitted_ids = [job_id for job_id in job_ids if job_id]
        try:
            self.fleet.wait(
                lambda: all(
                    self._fetch_job_record(j)["state"] in FINAL_JOB_STATES for j in submitted_ids
                ),
                "jobs have not ended",
                JOB_TIMEOUT_S,
            )
        except TimeoutError as error:
            self._report_problem(str(error))
        self._print_progress(f"{len(submitted_ids)} jobs ended")

    def _reclaim_guarantee(self) -> None:
        """Fill a region with borrowed work and reclaim a guaranteed shape for another job."""
        borrowing_job_ids = [self._submit_job(job) for job in self._plan.borrowing_jobs]
        self.fleet.wait(
            lambda: (
                sum(self._fetch_job_record(j)["state"] == "running" for j in borrowing_job_ids) >= 3
            ),
            "fewer than 3 borrowing jobs are running",
        )
        started_at = time.monotonic()
        reclaiming_job_id = self._submit_job(self._plan.reclaiming_job)
        self.fleet.wait(
            lambda: (
                self._fetch_job_record(reclaiming_job_id)["state"] in ("running", *FINAL_JOB_STATES)
            ),
            "the guaranteed job did not start",
            URGENT_START_TIMEOUT_S,
        )
        elapsed_s = time.monotonic() - started_at
        self._print_progress(
            f"guarantee of {self._plan.reclaiming_job.team} reclaimed in {elapsed_s:.2f} s"
        )
        self._wait_for_jobs([reclaiming_job_id, *borrowing_job_ids])
