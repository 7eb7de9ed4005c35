"""``chicorycrank-bench generations``: what generations save in lost updates and calls.

Compares a write guarded by the generation it was written against with a blind repetition, and
a long poll on a job's generation with polling.
"""

import json
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from pathlib import Path
from typing import Any

import urllib3
from cleo.commands.command import Command
from cleo.helpers import option

from chicorycrank.bench.control_cost import Bed
from chicorycrank.bench.placement import source_commit

TEAM = "bench"
FIELDS = ("weight", "max_queued_jobs")
MAX_TRIES = 50
POLL_INTERVAL_S = 1.0
LONG_POLL_S = 20
RUN_TIME_S = 2.5
CALL_TIMEOUT_S = 30.0
FINAL_STATES = ("completed", "failed", "cancelled")


class Caller:
    """HTTP calls to the bed's entry, counted."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        self.calls = 0

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Return status and JSON body."""
        self.calls += 1
        data = None if body is None else json.dumps(body).encode()
        response = self._http.request(method, self._url + path, body=data)
        return response.status, json.loads(response.data)


def race(caller: Caller, rounds: int, *, guarded: bool) -> dict[str, Any]:
    """Let two operators raise one field each, at the same time, again and again.

    :param guarded: after a conflict the operator reads again; otherwise the same note is sent
        against the current generation
    """
    before = _read(caller)[1]
    barrier = threading.Barrier(len(FIELDS))
    conflicts = 0
    lock = threading.Lock()

    def operate(field: str) -> None:
        nonlocal conflicts
        for number in range(rounds):
            barrier.wait()
            refused = _raise_field(caller, field, f"{field}-{number}-{guarded}", guarded=guarded)
            with lock:
                conflicts += refused

    with ThreadPoolExecutor(len(FIELDS)) as operators:
        list(operators.map(operate, FIELDS))
    after = _read(caller)[1]
    kept = sum(round(after[field] - before[field]) for field in FIELDS)
    accepted = rounds * len(FIELDS)
    return {
        "write": "guarded" if guarded else "blind",
        "accepted": accepted,
        "lost": accepted - kept,
        "conflicts": conflicts,
    }


def _read(caller: Caller) -> tuple[int, dict[str, Any]]:
    _, config = caller.call("GET", "/v1/config")
    return int(config["generation"]), dict(config["teams"].get(TEAM, {}))


def _raise_field(caller: Caller, field: str, name: str, *, guarded: bool) -> int:
    """Apply one change and return the number of conflicts."""
    generation, team = _read(caller)
    team[field] += 1
    for conflicts in range(MAX_TRIES):
        note = {
            "release": name,
            "author": field,
            "written_against": generation,
            "changed": {"teams": {TEAM: team}},
        }
        status, _ = caller.call("POST", "/v1/releases", note)
        if status == 200:
            return conflicts
        generation, current = _read(caller)
        if guarded:
            team = current
            team[field] += 1
    raise RuntimeError(f"{name} was not accepted in {MAX_TRIES} tries")


def watch(caller: Caller, bed: Bed, jobs: int, *, long_poll: bool) -> dict[str, Any]:
    """Follow jobs to their end; return calls and delays per job.

    The delay is the time from the recorded end of a job to the moment the caller knew it.
    """
    kind = "long poll" if long_poll else "poll"
    calls, delays = 0, []
    for number in range(jobs):
        job_id = bed.submit(f"{kind}-{number}", members=1, run_time_s=RUN_TIME_S)
        began = caller.calls
        follow: Callable[[Caller, str], dict[str, Any]] = _follow if long_poll else _poll
        record = follow(caller, job_id)
        delays.append(time.time() - datetime.fromisoformat(record["ended_at"]).timestamp())
        calls += caller.calls - began
    delays.sort()
    return {
        "watch": kind,
        "jobs": jobs,
        "calls_per_job": round(calls / jobs, 2),
        "delay_p50_s": round(delays[len(delays) // 2], 3),
        "delay_max_s": round(delays[-1], 3),
    }


def _poll(caller: Caller, job_id: str) -> dict[str, Any]:
    while True:
        record: dict[str, Any] = caller.call("GET", f"/v1/jobs/{job_id}")[1]
        if record["state"] in FINAL_STATES:
            return record
        time.sleep(POLL_INTERVAL_S)


def _follow(caller: Caller, job_id: str) -> dict[str, Any]:
    generation = 0
    while True:
        path = f"/v1/jobs/{job_id}?generation={generation}&wait_s={LONG_POLL_S}"
        record: dict[str, Any] = caller.call("GET", path)[1]
        if record["state"] in FINAL_STATES:
            return record
        generation = record["generation"]


class GenerationsCommand(Command):
    """Measures guarded writes against blind ones and long polls against polling."""

    name = "generations"
    description = "Lost updates of racing operators, and calls and delay of watching a job"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("rounds", None, "Changes per operator", flag=False, default="40"),
        option("jobs", None, "Jobs to watch", flag=False, default="6"),
        option("json", None, "One JSON object per line", flag=True),
    ]

    def handle(self) -> int:
        """Measure and print one row per way."""
        rounds, jobs = int(self.option("rounds")), int(self.option("jobs"))
        with tempfile.TemporaryDirectory() as folder:
            bed = Bed(Path(folder), workers=1, heartbeat_s=1.5)
            try:
                bed.start()
                caller = Caller(bed.entry_url)
                _add_team(caller)
                rows = [race(caller, rounds, guarded=guarded) for guarded in (False, True)]
                print("watching jobs", file=sys.stderr, flush=True)
                rows += [watch(caller, bed, jobs, long_poll=kind) for kind in (False, True)]
            finally:
                bed.stop()
        for row in rows:
            row["commit"] = source_commit()
            text = json.dumps(row)
            print(text if self.option("json") else "  ".join(f"{k} {v}" for k, v in row.items()))
        return 0


def _add_team(caller: Caller) -> None:
    note = {
        "release": "bench",
        "author": "bench",
        "written_against": 0,
        "added": {"teams": {TEAM: {"weight": 1, "max_queued_jobs": 1}}},
    }
    status, reply = caller.call("POST", "/v1/releases", note)
    if status != 200:
        raise RuntimeError(f"release refused: {reply}")
