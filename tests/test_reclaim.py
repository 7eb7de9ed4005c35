"""Reclaim of a guarantee whose accelerators are borrowed, with real processes."""

import time
from typing import Any

from pytest_bdd import given, parsers, scenarios, then, when

from chicorycrank_standin.fleet import Fleet

scenarios("features/reclaim.feature")

ENTRY = "entry-north-0"
START_LIMIT_S = 9.5
BORROWED_JOBS = 4


@given(
    'a running fleet of two workers with a guarantee of both for team "owner"',
    target_fixture="fleet",
)
def fleet_with_guarantee(small_fleet: Fleet) -> Fleet:
    shape = {"members": 2, "accelerators": 8, "adjacency": "rack"}
    note = {
        "release": "reclaim",
        "author": "test",
        "written_against": 0,
        "added": {
            "teams": {"owner": {}, "borrower": {}},
            "guarantees": {"owner-rack": {"team": "owner", "region": "north", "shape": shape}},
        },
    }
    status, reply = small_fleet.call(ENTRY, "POST", "/v1/releases", note)
    assert status == 200, reply
    return small_fleet


def submit(fleet: Fleet, name: str, team: str, shape: dict[str, Any], *, urgent: bool) -> str:
    job = {
        "team": team,
        "name": name,
        "shape": shape,
        "run_time_s": 3600.0,
        "urgent": urgent,
        "checkpointable": True,
    }
    status, reply = fleet.call(ENTRY, "POST", "/v1/jobs", job, Idempotency_Key=name)
    assert status == 200, reply
    return str(reply["job_id"])


def fetch_job(fleet: Fleet, job_id: str) -> dict[str, Any]:
    status, reply = fleet.call(ENTRY, "GET", f"/v1/jobs/{job_id}")
    assert status == 200, reply
    return dict(reply)


@given('team "borrower" runs a job on every half of a worker', target_fixture="borrowed_job_ids")
def borrow(fleet: Fleet) -> list[str]:
    shape = {"members": 1, "accelerators": 4, "adjacency": "worker"}
    jobs = [
        submit(fleet, f"borrowed-{number}", "borrower", shape, urgent=False)
        for number in range(BORROWED_JOBS)
    ]
    fleet.wait(
        lambda: all(fetch_job(fleet, job)["state"] == "running" for job in jobs),
        "borrowed jobs do not run",
    )
    return jobs


@when(
    parsers.parse(
        'team "{team}" submits a job of 2 members with 8 accelerators, urgent {urgent:w}'
    ),
    target_fixture="reclaimer",
)
def reclaim(fleet: Fleet, team: str, urgent: str) -> tuple[str, float]:
    shape = {"members": 2, "accelerators": 8, "adjacency": "rack"}
    submitted_s = time.monotonic()
    return submit(fleet, "reclaimer", team, shape, urgent=urgent == "yes"), submitted_s


@then("it runs within 9.5 s")
def check_start(fleet: Fleet, reclaimer: tuple[str, float]) -> None:
    job_id, submitted_s = reclaimer
    fleet.wait(
        lambda: fetch_job(fleet, job_id)["state"] == "running",
        "the reclaiming job does not run",
        START_LIMIT_S,
    )
    assert time.monotonic() - submitted_s <= START_LIMIT_S


@then("the borrowed jobs were evicted with their work saved")
def check_evicted(fleet: Fleet, borrowed_job_ids: list[str]) -> None:
    for job_id in borrowed_job_ids:
        record = fetch_job(fleet, job_id)
        assert (record["state"], record["evictions"]) == ("queued", 1), record
        assert record["progress_s"] > 0, record
