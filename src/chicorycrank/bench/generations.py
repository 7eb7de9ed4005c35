"""``chicorycrank-bench generations``: lost updates and calls with and without generations.

Compares writes that are checked against the current generation with writes that are repeated
without reading again, and long polls on the generation of a job with polling at an interval.
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

from chicorycrank.bench.control_cost import LeaderFleet
from chicorycrank.bench.placement import source_commit

TEAM = "bench"
FIELDS = ("weight", "max_queued_jobs")  # each operator increments one of them
MAX_ATTEMPTS = 50
POLL_INTERVAL_S = 1.0
LONG_POLL_S = 20
RUN_TIME_S = 2.5
CALL_TIMEOUT_S = 30.0
FINAL_STATES = ("completed", "failed", "cancelled")


class CountingClient:
    """HTTP client of an entry that counts its calls."""

    def __init__(self, url: str) -> None:
        self._url = url
        self._http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        self.calls = 0

    def call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call the entry and return status and JSON body."""
        self.calls += 1
        data = None if body is None else json.dumps(body).encode()
        response = self._http.request(method, self._url + path, body=data)
        return response.status, json.loads(response.data)


def measure_writes(client: CountingClient, rounds: int, *, is_guarded: bool) -> dict[str, Any]:
    """Let two operators increment one field of the same team each, at the same time, in each round.

    :param is_guarded: after a conflict, a guarded operator increments the field of the team that is
        then in force; a blind one sends the same values again, against the current generation
    """
    before = _read_team(client)[1]
    barrier = threading.Barrier(len(FIELDS))
    conflicts = 0
    lock = threading.Lock()

    def run_operator(field: str) -> None:
        nonlocal conflicts
        for number in range(rounds):
            barrier.wait()
            field_conflicts = _increment_field(
                client, field, f"{field}-{number}-{is_guarded}", is_guarded=is_guarded
            )
            with lock:
                conflicts += field_conflicts

    with ThreadPoolExecutor(len(FIELDS)) as operators:
        list(operators.map(run_operator, FIELDS))
    after = _read_team(client)[1]
    applied = sum(round(after[field] - before[field]) for field in FIELDS)
    accepted = rounds * len(FIELDS)
    return {
        "write": "guarded" if is_guarded else "blind",
        "accepted": accepted,
        "lost": accepted - applied,
        "conflicts": conflicts,
    }


def _read_team(client: CountingClient) -> tuple[int, dict[str, Any]]:
    _, config = client.call("GET", "/v1/config")
    return int(config["generation"]), dict(config["teams"].get(TEAM, {}))


def _increment_field(client: CountingClient, field: str, name: str, *, is_guarded: bool) -> int:
    """Apply a release that increments the field, and return the number of conflicts.

    :raises RuntimeError: the release was refused MAX_ATTEMPTS times
    """
    generation, team = _read_team(client)
    team[field] += 1
    for conflicts in range(MAX_ATTEMPTS):
        note = {
            "release": name,
            "author": field,
            "written_against": generation,
            "changed": {"teams": {TEAM: team}},
        }
        status, _ = client.call("POST", "/v1/releases", note)
        if status == 200:
            return conflicts
        generation, current = _read_team(client)
        if is_guarded:
            team = current
            team[field] += 1
    raise RuntimeError(f"release {name} was refused {MAX_ATTEMPTS} times")


def measure_watch(
    client: CountingClient, fleet: LeaderFleet, jobs: int, *, is_long_poll: bool
) -> dict[str, Any]:
    """Follow jobs to their end and return calls and delays per job.

    The delay is the time from the recorded end of a job until the client has received its record.
    """
    kind = "long poll" if is_long_poll else "poll"
    calls, delays = 0, []
    for number in range(jobs):
        job_id = fleet.submit(f"{kind}-{number}", members=1, run_time_s=RUN_TIME_S)
        calls_before = client.calls
        wait_for_end: Callable[[CountingClient, str], dict[str, Any]] = (
            _long_poll_until_end if is_long_poll else _poll_until_end
        )
        record = wait_for_end(client, job_id)
        delays.append(time.time() - datetime.fromisoformat(record["ended_at"]).timestamp())
        calls += client.calls - calls_before
    delays.sort()
    return {
        "watch": kind,
        "jobs": jobs,
        "calls_per_job": round(calls / jobs, 2),
        "delay_p50_s": round(delays[len(delays) // 2], 3),
        "delay_max_s": round(delays[-1], 3),
    }


def _poll_until_end(client: CountingClient, job_id: str) -> dict[str, Any]:
    while True:
        record: dict[str, Any] = client.call("GET", f"/v1/jobs/{job_id}")[1]
        if record["state"] in FINAL_STATES:
            return record
        time.sleep(POLL_INTERVAL_S)


def _long_poll_until_end(client: CountingClient, job_id: str) -> dict[str, Any]:
    generation = 0
    while True:
        path = f"/v1/jobs/{job_id}?generation={generation}&wait_s={LONG_POLL_S}"
        record: dict[str, Any] = client.call("GET", path)[1]
        if record["state"] in FINAL_STATES:
            return record
        generation = record["generation"]


class GenerationsCommand(Command):
    """Command that compares guarded with blind writes, and long polls with polling."""

    name = "generations"
    description = "Lost updates of racing operators, and calls and delay of watching a job"
    options = [  # noqa: RUF012 - cleo declares options as a class attribute
        option("rounds", None, "Changes per operator", flag=False, default="40"),
        option("jobs", None, "Jobs to watch", flag=False, default="6"),
        option("json", None, "One JSON object per line", flag=True),
    ]

    def handle(self) -> int:
        """Measure and print one row per kind of write and of watch."""
        rounds, jobs = int(self.option("rounds")), int(self.option("jobs"))
        with tempfile.TemporaryDirectory() as folder:
            fleet = LeaderFleet(Path(folder), workers=1, heartbeat_s=1.5)
            try:
                fleet.start()
                client = CountingClient(fleet.entry_url)
                _add_team(client)
                rows = [
                    measure_writes(client, rounds, is_guarded=is_guarded)
                    for is_guarded in (False, True)
                ]
                print("watching jobs", file=sys.stderr, flush=True)
                rows += [
                    measure_watch(client, fleet, jobs, is_long_poll=kind) for kind in (False, True)
                ]
            finally:
                fleet.stop()
        for row in rows:
            row["commit"] = source_commit()
            text = json.dumps(row)
            print(text if self.option("json") else "  ".join(f"{k} {v}" for k, v in row.items()))
        return 0


def _add_team(client: CountingClient) -> None:
    note = {
        "release": "bench",
        "author": "bench",
        "written_against": 0,
        "added": {"teams": {TEAM: {"weight": 1, "max_queued_jobs": 1}}},
    }
    status, reply = client.call("POST", "/v1/releases", note)
    if status != 200:
        raise RuntimeError(f"the release that adds the team was refused: {reply}")
