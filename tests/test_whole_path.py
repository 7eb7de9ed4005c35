"""End-to-end test of requests and a gang with separate processes."""

from typing import Any

from pytest_bdd import given, parsers, scenarios, then, when

from chicorycrank_standin.fleet import Fleet

scenarios("features/whole_path.feature")


@given("a running fleet of one region", target_fixture="fleet")
def running_fleet(small_fleet: Fleet) -> Fleet:
    return small_fleet


@when(parsers.parse('a {kind} request is sent with key "{key}"'), target_fixture="reply")
def send_request(fleet: Fleet, kind: str, key: str) -> tuple[int, Any]:
    body = {
        "team": "claims",
        "service": "scan",
        "repeatable": kind == "repeatable",
        "body": {"photo": key},
    }
    return fleet.call("entry-north-0", "POST", "/v1/requests", body, Idempotency_Key=key)


@then(parsers.parse('its outcome is "{outcome}" and it carries its own key'))
def check_outcome(reply: tuple[int, Any], outcome: str) -> None:
    status, document = reply
    assert (status, document["outcome"]) == (200, outcome), document
    assert document["answer"]["key"] == document["key"] == document["answer"]["echo"]["photo"]


@then(parsers.parse('the executor has run key "{key}" once'))
def check_runs(fleet: Fleet, key: str) -> None:
    _, runs = fleet.call("exec-north-0", "GET", "/record")
    assert [run["key"] for run in runs].count(key) == 1


@when(
    parsers.parse(
        "a job of {members:d} members with {accelerators:d} accelerators each is submitted"
    ),
    target_fixture="job",
)
def submit_job(fleet: Fleet, members: int, accelerators: int) -> Any:
    body = {
        "team": "claims",
        "name": "train",
        "shape": {"members": members, "accelerators": accelerators, "adjacency": "rack"},
        "run_time_s": 5.0,
    }
    status, job = fleet.call("entry-north-0", "POST", "/v1/jobs", body, Idempotency_Key="job-1")
    assert status == 200, job
    return job


@then("the job completes")
def check_job(fleet: Fleet, job: Any) -> None:
    path = f"/v1/jobs/{job['job_id']}"
    fleet.wait(
        lambda: fleet.call("entry-north-0", "GET", path)[1]["state"] == "completed",
        "the job has not completed",
    )


@then("no member worked before all members had started")
def check_barrier(fleet: Fleet) -> None:
    records = [fleet.call(name, "GET", "/record")[1] for name in fleet.worker_names()]
    events = [event for record in records for event in record]
    last_start = max(e["at"] for e in events if e["event"] == "started")
    first_work = min(e["at"] for e in events if e["event"] == "working")
    assert len([e for e in events if e["event"] == "started"]) == len(records)
    assert last_start <= first_work
