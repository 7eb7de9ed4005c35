"""Clients of a soak test, which submit, query and cancel jobs and check the replies."""

import json
import random
import threading
import time
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any

import urllib3

from chicorycrank_standin.background import HOST, start_daemon_thread
from chicorycrank_standin.platform.disturbances import STORE
from chicorycrank_standin.platform.run_recorder import RunRecorder
from chicorycrank_standin.soak.deployment import (
    ACCELERATORS_PER_EXECUTOR,
    API_KEY,
    QUEUE_NAMES,
    Deployment,
    Program,
)

CALLER_THREADS = 4
MEAN_INTERVAL_S = 0.8
REQUEST_DEADLINE_S = 3.0
MAX_SUBMIT_ATTEMPTS = 5
CANCEL_SHARE = 0.15
# Jobs that run until they are cancelled.
LONG_WORK_S = 300
LONG_JOB_INTERVAL_S = 1.0
MAX_CANCEL_DELAY_S = 4.0
FINAL_CANCEL_TIMEOUT_S = 10.0
FINAL_CANCEL_RETRY_S = 0.3
HARMFUL_SHARE = 0.04  # share of the jobs whose tasks crash their executors
# An accepted job is visible at every entry after this time and stays visible for longer than a
# soak lasts. A later status 410 (Gone) therefore means that the job was lost.
VISIBILITY_TIMEOUT_S = 3.0
# A failed call is attributed to a graceful stop if the entry got SIGTERM within this time before
# the failure and had no other fault within this time before the call or later.
STOP_ATTRIBUTION_S = 4.0
# Failures this soon after the start of a call or this close to its deadline are not reported.
FAILURE_MARGIN_S = 0.2
# Statuses that guarantee that the call had no effect.
REJECTION_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
FINAL_STATES = ("completed", "failed", "cancelled")


@dataclass(kw_only=True)
class JobRecord:
    """Job of a caller, with its state according to the replies.

    :param is_gang: the tasks form a gang; if the job is reported as completed, the final check in
        ``session.py`` then requires the recorded end of one task only
    :param is_harmful: the tasks crash the executors that start them
    :param accepted_at: monotonic time of the reply that accepted the job
    :param is_cancelled: a reply has confirmed the cancellation
    :param is_cancel_unknown: a cancellation got no reply, so it may have taken effect
    :param is_acceptance_unknown: an attempt got no reply, so the job may have been accepted
    :param reason: reason of the state according to the last reply
    """

    path: str
    task_count: int
    is_gang: bool
    is_harmful: bool
    accepted_at: float | None = None
    is_cancelled: bool = False
    is_cancel_unknown: bool = False
    is_acceptance_unknown: bool = False
    state: str = ""
    reason: str = ""

    @property
    def job_id(self) -> str:
        """Id of the job, with which the names of its tasks begin."""
        return self.path.rpartition("/")[2]


@dataclass
class Callers:
    """Client threads, each with a persistent connection to every entry."""

    deployment: Deployment
    run_recorder: RunRecorder
    jobs: list[JobRecord] = field(default_factory=list)
    long_jobs: list[JobRecord] = field(default_factory=list)
    stop_event: threading.Event = field(default_factory=threading.Event)

    def start(self, seed: int) -> list[threading.Thread]:
        """Start the caller threads, each with a random generator derived from the seed."""
        cancel_long_jobs = partial(self._cancel_long_jobs_forever, random.Random(f"long {seed}"))
        return [
            start_daemon_thread(cancel_long_jobs, "long-jobs"),
            *self._start_callers(seed),
        ]

    def _start_callers(self, seed: int) -> list[threading.Thread]:
        return [
            start_daemon_thread(
                partial(
                    self._call_forever,
                    random.Random(seed * 100 + number),
                    random.Random(f"harmful {seed} {number}"),
                ),
                f"caller-{number}",
            )
            for number in range(CALLER_THREADS)
        ]

    def _call_forever(self, rng: random.Random, harmful_rng: random.Random) -> None:
        # A generator of its own leaves the rest of the traffic of a seed as it was.
        pools = self._open_pools()
        own_jobs: list[JobRecord] = []
        while not self.stop_event.wait(rng.expovariate(1 / MEAN_INTERVAL_S)):
            job = self._submit_job(rng, pools, is_harmful=harmful_rng.random() < HARMFUL_SHARE)
            own_jobs.append(job)
            if job.accepted_at is not None and rng.random() < CANCEL_SHARE:
                time.sleep(rng.uniform(0.0, 0.5))
                self._cancel_job(job, rng, pools)
            self._query_job(rng.choice(own_jobs), rng, pools)

    def _open_pools(self) -> dict[str, urllib3.HTTPConnectionPool]:
        return {
            entry.name: urllib3.HTTPConnectionPool(HOST, entry.port, maxsize=1, retries=False)
            for entry in self.deployment.entries
        }

    def _cancel_long_jobs_forever(self, rng: random.Random) -> None:
        """Submit jobs that outlast the soak and cancel each soon or after some seconds."""
        pools = self._open_pools()
        while not self.stop_event.wait(rng.expovariate(1 / LONG_JOB_INTERVAL_S)):
            count = rng.randint(1, 3)
            job = JobRecord(
                path=f"/plain/{rng.getrandbits(64):016x}",
                task_count=count,
                is_gang=False,
                is_harmful=False,
            )
            self.long_jobs.append(job)
            payload = {"seconds": LONG_WORK_S, "members": 1, "accelerators": 1}
            step = {"count": count, "gpus": 1, "estimatedMs": LONG_WORK_S * 1000}
            self._submit_until_answered(job, payload, step, rng, pools)
            if job.accepted_at is not None:
                self.stop_event.wait(rng.choice([0.0, rng.uniform(0.1, MAX_CANCEL_DELAY_S)]))
                self._cancel_job(job, rng, pools)

    def cancel_long_jobs(self) -> None:
        """Cancel the long jobs whose cancellation was not confirmed, at the end of the faults."""
        rng, pools = random.Random(0), self._open_pools()
        deadline = time.monotonic() + FINAL_CANCEL_TIMEOUT_S
        for job in self.long_jobs:
            is_open = job.accepted_at is not None or job.is_acceptance_unknown
            while is_open and not job.is_cancelled and time.monotonic() < deadline:
                if self._cancel_job(job, rng, pools) == HTTPStatus.GONE:
                    break
                time.sleep(FINAL_CANCEL_RETRY_S)

    def _submit_job(
        self,
        rng: random.Random,
        pools: dict[str, urllib3.HTTPConnectionPool],
        *,
        is_harmful: bool,
    ) -> JobRecord:
        is_gang = rng.random() < 0.4
        count = rng.randint(1, 3)
        accelerators = rng.choice([1, 2, ACCELERATORS_PER_EXECUTOR])
        payload = {
            "seconds": round(rng.uniform(0.2, 1.5), 2),
            "members": count if is_gang else 1,
            "accelerators": accelerators,
            "crashes": is_harmful,
        }
        step: dict[str, Any] = {"count": count, "gpus": accelerators, "estimatedMs": 1000}
        if is_gang:
            step["gang"] = True
        job_name = f"{rng.getrandbits(64):016x}"
        job = JobRecord(
            path=f"/{rng.choice(QUEUE_NAMES)}/{job_name}",
            task_count=count,
            is_gang=is_gang,
            is_harmful=is_harmful,
        )
        self._submit_until_answered(job, payload, step, rng, pools)
        return job

    def _submit_until_answered(
        self,
        job: JobRecord,
        payload: dict[str, Any],
        step: dict[str, Any],
        rng: random.Random,
        pools: dict[str, urllib3.HTTPConnectionPool],
    ) -> None:
        self.jobs.append(job)
        body = json.dumps({"spec": json.dumps(payload), "steps": [step]}).encode()
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            status = self._call("POST", job.path, rng, pools, body)
            if status == HTTPStatus.OK:
                job.accepted_at = time.monotonic()
                break
            job.is_acceptance_unknown = (
                job.is_acceptance_unknown or status not in REJECTION_STATUSES
            )
            time.sleep(rng.uniform(0.1, 1.0))

    def _cancel_job(
        self, job: JobRecord, rng: random.Random, pools: dict[str, urllib3.HTTPConnectionPool]
    ) -> int | None:
        status = self._call("DELETE", job.path, rng, pools)
        if status == HTTPStatus.OK:
            self.run_recorder.record_cancellation(job.job_id)
            job.is_cancelled = True
        job.is_cancel_unknown |= status not in (HTTPStatus.OK, *REJECTION_STATUSES)
        return status

    def _query_job(
        self, job: JobRecord, rng: random.Random, pools: dict[str, urllib3.HTTPConnectionPool]
    ) -> None:
        accepted_at = job.accepted_at
        status = self._call("GET", job.path, rng, pools)
        age_s = time.monotonic() - (accepted_at if accepted_at is not None else float("inf"))
        if status == HTTPStatus.GONE and age_s > VISIBILITY_TIMEOUT_S:
            self.run_recorder.report_violation(f"accepted job is missing: {job.path}")

    def _call(
        self,
        method: str,
        path: str,
        rng: random.Random,
        pools: dict[str, urllib3.HTTPConnectionPool],
        body: bytes | None = None,
    ) -> int | None:
        """Call a random entry and return the status, or None if no complete response arrived.

        A refused connection counts as status 503.
        """
        entry = rng.choice(self.deployment.entries)
        headers = {
            "Host": "soak.example",
            "Credential": API_KEY,
            "Deadline-Ms": str(round(REQUEST_DEADLINE_S * 1000)),
        }
        sent_at = time.monotonic()
        try:
            response = pools[entry.name].request(
                method, path, body=body, headers=headers, timeout=REQUEST_DEADLINE_S
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return HTTPStatus.SERVICE_UNAVAILABLE  # the request was not sent
        except urllib3.exceptions.HTTPError as error:
            self._check_failed_call(entry, method, path, sent_at, error)
            return None
        return response.status

    def _check_failed_call(
        self, entry: Program, method: str, path: str, sent_at: float, error: Exception
    ) -> None:
        """Report a failed call as a violation if it is attributed to a graceful stop."""
        now = time.monotonic()
        is_sigterm_recent = now - entry.sigterm_at < STOP_ATTRIBUTION_S
        is_fault_free = self.run_recorder.disturbances.is_calm(
            entry.name,
            STORE,
            since=sent_at - STOP_ATTRIBUTION_S,
            until=now,
            ignores_planned=True,
        )
        if (
            is_sigterm_recent
            and is_fault_free
            and FAILURE_MARGIN_S < now - sent_at < REQUEST_DEADLINE_S - FAILURE_MARGIN_S
        ):
            self.run_recorder.report_violation(
                f"{entry.name} interrupted {method} {path} at SIGTERM: {error!r}"
            )

    def all_entries_answer(self, path: str) -> bool:
        """Return whether every entry responds to a call with status 200."""
        return all(self._query(entry, path) is not None for entry in self.deployment.entries)

    def update_state(self, job: JobRecord) -> None:
        """Query the state of a job; it is an empty string if no entry returns one."""
        job.state = job.reason = ""
        for entry in self.deployment.entries:
            document = self._query(entry, job.path)
            if document is not None:
                job.state = str(document.get("state", ""))
                job.reason = str(document.get("reason", ""))
                return

    @staticmethod
    def _query(entry: Program, path: str) -> dict[str, Any] | None:
        pool = urllib3.HTTPConnectionPool(HOST, entry.port, retries=False)
        headers = {"Host": "soak.example", "Credential": API_KEY}
        try:
            response = pool.request("GET", path, headers=headers, timeout=REQUEST_DEADLINE_S)
            return dict(response.json()) if response.status == HTTPStatus.OK else None
        except urllib3.exceptions.HTTPError:
            return None
        finally:
            pool.close()
