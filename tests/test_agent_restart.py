"""Restart of a worker's agent while its task is running, with real processes."""

from typing import Any

from pytest_bdd import given, parsers, scenarios, then, when

from chicorycrank_standin.fleet import Fleet

scenarios("features/agent_restart.feature")

JOBS_PATH = "/v1/jobs/"


def fetch_events(fleet: Fleet, worker: str) -> list[Any]:
    events = fleet.call(worker, "GET", "/record")[1]
    assert isinstance(events, list)
    return events


@given("a running fleet of one region with a running gang of two workers", target_fixture="job_id")
def start_gang(small_fleet: Fleet) -> str:
    body = {
        "team": "claims",
        "name": "train",
        "shape": {"members": 2, "accelerators": 8, "adjacency": "rack"},
        "run_time_s": 80.0,
    }
    _, job = small_fleet.call("entry-north-0", "POST", "/v1/jobs", body, Idempotency_Key="job-1")
    small_fleet.wait(
        lambda: all(
            any(event["event"] == "working" for event in fetch_events(small_fleet, worker))
            for worker in small_fleet.worker_names()
        ),
        "the gang does not run",
    )
    return str(job["job_id"])


@when(parsers.parse("the agent of the {role} is killed and restarted"))
def restart(small_fleet: Fleet, job_id: str, role: str) -> None:
    _, job = small_fleet.call("entry-north-0", "GET", JOBS_PATH + job_id)
    worker = job["placement"][0 if role == "head" else 1]["worker"]
    small_fleet.kill(f"agent-{worker}")
    small_fleet.start_agent(worker)


@then("the job completes in its first attempt and each worker started one task")
def check_completed(small_fleet: Fleet, job_id: str) -> None:
    def is_completed() -> bool:
        _, job = small_fleet.call("entry-north-0", "GET", JOBS_PATH + job_id)
        return bool(job["state"] == "completed")

    small_fleet.wait(is_completed, "the job did not complete")
    _, job = small_fleet.call("entry-north-0", "GET", JOBS_PATH + job_id)
    assert job["attempt"] == 1
    for worker in small_fleet.worker_names():
        assert [event["event"] for event in fetch_events(small_fleet, worker)].count("started") == 1
