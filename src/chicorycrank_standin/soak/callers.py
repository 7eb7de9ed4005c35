"""Callers of a soak: they submit, look up and cancel jobs, and keep what they were told."""

import json
import random
import threading
import time
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from typing import Any

import urllib3

from chicorycrank_standin.background import HOST, in_background
from chicorycrank_standin.platform.ledger import Ledger
from chicorycrank_standin.soak.deployment import ACCELERATORS, KEY, QUEUES, Deployment, Program

CALLERS = 4
MEAN_GAP_S = 0.8
DEADLINE_S = 3.0
ATTEMPTS = 5
CANCEL_SHARE = 0.15
# A job is shown for longer than a soak lasts, so "gone" is a lost job from then on.
VISIBLE_S = 3.0
# A planned stop and no other fault of the entry for this long: it has no reason to lose a call.
CALM_S = 4.0
LOSS_SLACK_S = 0.2
REJECTED = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
FINAL_STATES = ("completed", "failed", "cancelled")


@dataclass(kw_only=True)
class JobRecord:
    """What a caller knows of a job.

    :param is_gang: the end of one task stands for all
    :param is_cancel_unknown: a cancellation had no answer, so it may have taken effect
    :param is_unknown: an attempt had no answer, so the job may have been accepted
    """

    path: str
    tasks: int
    is_gang: bool
    accepted_at: float | None = None
    cancelled_at: float | None = None
    is_cancel_unknown: bool = False
    is_unknown: bool = False
    state: str = ""


@dataclass
class Callers:
    """Threads that call the entries over connections that they keep."""

    deployment: Deployment
    ledger: Ledger
    jobs: list[JobRecord] = field(default_factory=list)
    is_over: threading.Event = field(default_factory=threading.Event)

    def start(self, seed: int) -> list[threading.Thread]:
        """Start the callers."""
        return [
            in_background(
                partial(self._call_forever, random.Random(seed * 100 + number)), f"caller-{number}"
            )
            for number in range(CALLERS)
        ]

    def _call_forever(self, chance: random.Random) -> None:
        pools = {
            entry.name: urllib3.HTTPConnectionPool(HOST, entry.port, maxsize=1, retries=False)
            for entry in self.deployment.entries
        }
        mine: list[JobRecord] = []
        while not self.is_over.wait(chance.expovariate(1 / MEAN_GAP_S)):
            job = self._submit(chance, pools)
            mine.append(job)
            if job.accepted_at is not None and chance.random() < CANCEL_SHARE:
                self._cancel(job, chance, pools)
            self._look(chance.choice(mine), chance, pools)

    def _submit(
        self, chance: random.Random, pools: dict[str, urllib3.HTTPConnectionPool]
    ) -> JobRecord:
        is_gang = chance.random() < 0.4
        count = chance.randint(1, 3)
        size = chance.choice([1, 2, ACCELERATORS])
        work = {
            "seconds": round(chance.uniform(0.2, 1.5), 2),
            "members": count if is_gang else 1,
            "accelerators": size,
        }
        step: dict[str, Any] = {"count": count, "gpus": size, "estimatedMs": 1000}
        if is_gang:
            step["gang"] = True
        name = f"{chance.getrandbits(64):016x}"
        job = JobRecord(path=f"/{chance.choice(QUEUES)}/{name}", tasks=count, is_gang=is_gang)
        self.jobs.append(job)
        body = json.dumps({"spec": json.dumps(work), "steps": [step]}).encode()
        for _ in range(ATTEMPTS):
            status = self._call("POST", job.path, chance, pools, body)
            if status == HTTPStatus.OK:
                job.accepted_at = time.monotonic()
                break
            job.is_unknown = job.is_unknown or status not in REJECTED
            time.sleep(chance.uniform(0.1, 1.0))
        return job

    def _cancel(
        self, job: JobRecord, chance: random.Random, pools: dict[str, urllib3.HTTPConnectionPool]
    ) -> None:
        time.sleep(chance.uniform(0.0, 0.5))
        status = self._call("DELETE", job.path, chance, pools)
        if status == HTTPStatus.OK:
            job.cancelled_at = time.monotonic()
        job.is_cancel_unknown = status not in (HTTPStatus.OK, *REJECTED)

    def _look(
        self, job: JobRecord, chance: random.Random, pools: dict[str, urllib3.HTTPConnectionPool]
    ) -> None:
        accepted_at = job.accepted_at
        status = self._call("GET", job.path, chance, pools)
        age_s = time.monotonic() - (accepted_at if accepted_at is not None else float("inf"))
        if status == HTTPStatus.GONE and age_s > VISIBLE_S:
            self.ledger.report(f"accepted job is gone: {job.path}")

    def _call(
        self,
        method: str,
        path: str,
        chance: random.Random,
        pools: dict[str, urllib3.HTTPConnectionPool],
        body: bytes | None = None,
    ) -> int | None:
        """Call an entry and return the status, or None without a complete answer."""
        entry = chance.choice(self.deployment.entries)
        headers = {
            "Host": "soak.example",
            "Credential": KEY,
            "Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        sent_at = time.monotonic()
        try:
            answer = pools[entry.name].request(
                method, path, body=body, headers=headers, timeout=DEADLINE_S
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return HTTPStatus.SERVICE_UNAVAILABLE  # nothing was sent
        except urllib3.exceptions.HTTPError as error:
            self._note_loss(entry, method, path, sent_at, error)
            return None
        return answer.status

    def _note_loss(
        self, entry: Program, method: str, path: str, sent_at: float, error: Exception
    ) -> None:
        """Report a call that a planned stop has cut."""
        now = time.monotonic()
        is_planned = now - entry.stopped_at < CALM_S
        is_calm = sent_at - entry.harmed_at > CALM_S
        if is_planned and is_calm and LOSS_SLACK_S < now - sent_at < DEADLINE_S - LOSS_SLACK_S:
            self.ledger.report(f"{entry.name} cut {method} {path} at its stop: {error!r}")

    def answers(self, path: str) -> bool:
        """Whether every entry answers a call with success."""
        return all(self._ask(entry, path) is not None for entry in self.deployment.entries)

    def show(self, job: JobRecord) -> str:
        """Return the state of a job, or an empty text if no entry knows it."""
        for entry in self.deployment.entries:
            document = self._ask(entry, job.path)
            if document is not None:
                return str(document.get("state", ""))
        return ""

    @staticmethod
    def _ask(entry: Program, path: str) -> dict[str, Any] | None:
        pool = urllib3.HTTPConnectionPool(HOST, entry.port, retries=False)
        headers = {"Host": "soak.example", "Credential": KEY}
        try:
            answer = pool.request("GET", path, headers=headers, timeout=DEADLINE_S)
            return dict(answer.json()) if answer.status == HTTPStatus.OK else None
        except urllib3.exceptions.HTTPError:
            return None
        finally:
            pool.close()
