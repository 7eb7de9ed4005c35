"""Operations on running processes: releases, draining, state and metrics."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from chicorycrank_standin.fleet import Deployment, Fleet

scenarios("features/operations.feature")

IN_FORCE_TIMEOUT_S = 6.0
DRAIN_TIMEOUT_S = 3.0
TWO_REGIONS = Deployment(
    name="two-regions",
    regions=("north", "south"),
    executors={"north": 1, "south": 1},
    workers={"north": 1, "south": 1},
    cores=64,
    memory_gb=250,
)


@pytest.fixture
def two_regions(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(deployment=TWO_REGIONS, folder=tmp_path / "fleet")
    try:
        fleet.start()
        fleet.wait(
            lambda: all(is_connected(fleet, n) for n in fleet.entry_names()),
            "the entries are not connected",
        )
        yield fleet
    finally:
        fleet.stop()


def is_connected(fleet: Fleet, name: str) -> bool:
    _, status = fleet.call(name, "GET", "/v1/releases/status")
    return len(status["regions"]) == 2 and all(r["reachable"] for r in status["regions"])


def make_release_note(generation: int, team: str) -> dict[str, Any]:
    return {
        "release": f"add-{team}",
        "author": "ann",
        "written_against": generation,
        "added": {
            "teams": {team: {}},
            "guarantees": {
                f"{team}-south": {
                    "team": team,
                    "region": "south",
                    "shape": {"members": 1, "accelerators": 4},
                }
            },
            "services": {
                f"{team}-scan": {"request_class": "patient", "repeatable": True},
            },
        },
    }


def is_in_force(fleet: Fleet, name: str, generation: int) -> bool:
    _, status = fleet.call(name, "GET", "/v1/releases/status")
    agents = [count for region in status["regions"] for count in region["agents"].values()]
    return (
        status["in_force_everywhere"]
        and status["generation"] == generation
        and agents == [generation] * 4
    )


@given("a running fleet of two regions", target_fixture="fleet")
def running_fleet(two_regions: Fleet) -> Fleet:
    return two_regions


@given("a release is in force everywhere")
@when(parsers.parse('a release is applied through an entry of "{region}"'))
def apply_release(fleet: Fleet, region: str = "north") -> None:
    status, reply = fleet.call(
        f"entry-{region}-0", "POST", "/v1/releases", make_release_note(0, "claims")
    )
    assert (status, reply["generation"]) == (200, 1), reply
    check_in_force_everywhere(fleet)


@then("every entry reports it in force everywhere within 6 s")
def check_in_force_everywhere(fleet: Fleet) -> None:
    fleet.wait(
        lambda: all(is_in_force(fleet, name, 1) for name in fleet.entry_names()),
        "the release is not in force",
        IN_FORCE_TIMEOUT_S,
    )


@then(
    parsers.parse(
        'a repeated release through an entry of "{region}" is accepted with the same generation'
    )
)
def check_repeated(fleet: Fleet, region: str) -> None:
    status, reply = fleet.call(
        f"entry-{region}-0", "POST", "/v1/releases", make_release_note(0, "claims")
    )
    assert (status, reply["generation"]) == (200, 1), reply


@when("the store is down and every entry is killed")
def kill_entries(fleet: Fleet) -> None:
    fleet.call("store", "POST", "/control", {"down": True})
    for name in fleet.entry_names():
        fleet.kill(name)


@when(parsers.parse('the entry of "{region}" starts again'))
def start_entry(fleet: Fleet, region: str) -> None:
    fleet.start_entry(f"entry-{region}-0")
    fleet.wait_http(f"entry-{region}-0", "/healthz")


@then(parsers.parse('the release is in force at the entry of "{region}" within 6 s'))
def check_config_applied(fleet: Fleet, region: str) -> None:
    path = "/v1/config"
    fleet.wait(
        lambda: fleet.call(f"entry-{region}-0", "GET", path)[1]["generation"] == 1,
        "the entry did not apply the configuration of its agents",
        IN_FORCE_TIMEOUT_S,
    )


@then(parsers.parse('a release is refused with outcome "{outcome}"'))
def check_refused(fleet: Fleet, outcome: str) -> None:
    status, reply = fleet.call(
        "entry-north-0", "POST", "/v1/releases", make_release_note(1, "renders")
    )
    assert (status, reply["outcome"]) == (503, outcome), reply


@when(parsers.parse('the executor of "{region}" is {action} through the entry of "{other}"'))
def set_draining(fleet: Fleet, region: str, action: str, other: str) -> None:
    path = f"/v1/targets/exec-{region}-0/drain"
    body = {"draining": action == "drained"}
    status, reply = fleet.call(f"entry-{other}-0", "POST", path, body)
    assert status == 200, reply


@then(parsers.parse('a request to "{region}" 3 s later does not reach its executor'))
def check_request_not_run(fleet: Fleet, region: str) -> None:
    time.sleep(DRAIN_TIMEOUT_S)
    _, before = fleet.call(f"exec-{region}-0", "GET", "/record")
    status, reply = send_request(fleet, region)
    _, after = fleet.call(f"exec-{region}-0", "GET", "/record")
    assert before == after
    if status != 200:
        assert reply["outcome"] == "not_run"


@then(parsers.parse('a request to "{region}" reaches its executor'))
def check_request_run(fleet: Fleet, region: str) -> None:
    fleet.wait(
        lambda: send_request(fleet, region)[0] == 200, "the executor gets no work", DRAIN_TIMEOUT_S
    )
    assert fleet.call(f"exec-{region}-0", "GET", "/record")[1]


def send_request(fleet: Fleet, region: str) -> tuple[int, Any]:
    body = {"team": "claims", "service": "claims-scan", "body": {}}
    return fleet.call(f"entry-{region}-0", "POST", "/v1/requests", body)


@then(parsers.parse('the state of an agent of "{region}" is read through the entry of "{other}"'))
def check_state(fleet: Fleet, region: str, other: str) -> None:
    status, state = fleet.call(f"entry-{other}-0", "GET", f"/v1/state/work-{region}-0")
    assert (status, state["target"]) == (200, f"work-{region}-0")
    assert state["config_generation"] == 1
    status, state = fleet.call(f"entry-{other}-0", "GET", f"/v1/state/entry-{region}-0")
    assert (status, state["entry"]) == (200, f"entry-{region}-0")


@then(parsers.parse('the metrics of "{region}" name the generation and the agents'))
def check_metrics(fleet: Fleet, region: str) -> None:
    send_request(fleet, region)
    text = urllib3.request("GET", fleet.url(f"entry-{region}-0") + "/metrics").data.decode()
    lines = text.splitlines()
    assert "chicorycrank_config_generation 1.0" in lines
    assert 'chicorycrank_links{role="agent"} 2.0' in lines
    assert 'chicorycrank_links{role="entry"} 1.0' in lines
    assert 'chicorycrank_requests_total{class="patient",outcome="completed"} 1.0' in lines
    assert "chicorycrank_agents_behind 0.0" in lines
    assert 'chicorycrank_requests_queued{class="urgent"} 0.0' in lines
    _, state = fleet.call(f"entry-{region}-0", "GET", "/v1/state")
    assert state["is_leader"] and state["term_epoch"] >= 1
    assert f"chicorycrank_term_epoch {float(state['term_epoch'])}" in lines


@then("unknown resources and targets are answered with problem documents")
def check_problems(fleet: Fleet) -> None:
    drain_body = {"draining": True}
    for method, path, body in (
        ("GET", "/v1/nothing", None),
        ("GET", "/nothing", None),
        ("GET", "/v1/state/nobody", None),
        ("POST", "/v1/targets/nobody/drain", drain_body),
    ):
        status, problem = fleet.call("entry-north-0", method, path, body)
        assert (status, problem["outcome"]) == (404, "not_run"), (path, problem)


@when(parsers.parse('two jobs ask for the only worker of "{region}"'), target_fixture="job_id")
def submit_jobs(fleet: Fleet, region: str) -> str:
    spec = {
        "team": "claims",
        "name": "survey",
        "shape": {"members": 1, "accelerators": 8},
        "run_time_s": 600.0,
        "region": region,
    }
    records = [fleet.call(f"entry-{region}-0", "POST", "/v1/jobs", spec)[1] for _ in range(2)]
    return str(records[0]["job_id"])


@when(parsers.parse('the running job is cancelled through the entry of "{region}"'))
def cancel_job(fleet: Fleet, region: str, job_id: str) -> None:
    status, reply = fleet.call(f"entry-{region}-0", "DELETE", f"/v1/jobs/{job_id}")
    assert status == 200, reply


@then(parsers.parse('the metrics of "{region}" show that {quantifier} job waits'))
def check_longest_wait(fleet: Fleet, region: str, quantifier: str) -> None:
    def is_shown() -> bool:
        url = fleet.url(f"entry-{region}-0") + "/metrics"
        text = urllib3.request("GET", url).data.decode()
        name = 'chicorycrank_job_longest_wait_seconds{urgent="no"} '
        shown = [
            float(line.removeprefix(name)) for line in text.splitlines() if line.startswith(name)
        ]
        return bool(shown) and (shown[0] > 1.0 if quantifier == "a" else shown[0] == 0.0)

    fleet.wait(is_shown, "the metric does not follow the queue")
