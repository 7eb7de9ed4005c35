"""Jobs during failures of leaders, the store and workers, with real processes."""

import signal
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from chicorycrank.adapters.codec import decode
from chicorycrank.entry.job_records import ShardDocument, shard_number
from chicorycrank.model.ids import JobId
from chicorycrank.model.jobs import JobState
from chicorycrank_standin.fleet import Deployment, Fleet

scenarios("features/job_failures.feature")

DEPLOYMENT = Deployment(
    name="pair",
    regions=("north",),
    executors={"north": 0},
    workers={"north": 4},
    cores=64,
    memory_gb=250,
    entries_per_region=2,
)
STANDIN_SPEED = 10.0
FAILING_WORKER = "work-north-3"  # the only worker in its rack


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    fleet = Fleet(deployment=DEPLOYMENT, folder=tmp_path / "fleet", speed=STANDIN_SPEED)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()


def find_leader(fleet: Fleet, *, among: tuple[str, ...] = ()) -> str:
    """Return the name of the leader, or an empty string if there is none."""
    names = among or tuple(fleet.entry_names())
    states = {name: fleet.call(name, "GET", "/v1/state")[1] for name in names}
    return next((name for name, state in states.items() if state["is_leader"]), "")


def find_other_entry(fleet: Fleet, entry: str) -> str:
    return next(name for name in fleet.entry_names() if name != entry)


def submit(fleet: Fleet, entry: str, key: str, **fields: Any) -> tuple[int, Any]:
    shape = {"members": fields.pop("members", 1), "accelerators": 8, "adjacency": "rack"}
    body = {"team": "claims", "name": key, "shape": shape, "run_time_s": 50.0} | fields
    return fleet.call(entry, "POST", "/v1/jobs", body, Idempotency_Key=key)


def fetch_job(fleet: Fleet, entry: str, job_id: str) -> Any:
    return fleet.call(entry, "GET", f"/v1/jobs/{job_id}")[1]


def wait_for_state(fleet: Fleet, entry: str, job_id: str, state: str) -> Any:
    fleet.wait(
        lambda: fetch_job(fleet, entry, job_id).get("state") == state, f"{job_id} is not {state}"
    )
    return fetch_job(fleet, entry, job_id)


def list_tasks(fleet: Fleet, kind: str) -> list[str]:
    records = [fleet.call(name, "GET", "/record")[1] for name in fleet.worker_names()]
    return [event["task"] for record in records for event in record if event["event"] == kind]


@given(
    parsers.parse("two entries and a gang of 2 members that runs for {seconds:d} s"),
    target_fixture="job_id",
)
def running_gang(fleet: Fleet, seconds: int) -> str:
    leader = find_leader(fleet)
    status, job = submit(fleet, leader, "gang", members=2, run_time_s=seconds * STANDIN_SPEED)
    assert status == 200, job
    wait_for_state(fleet, leader, job["job_id"], "running")
    return str(job["job_id"])


@given("a job of 3 members that waits for its end", target_fixture="waiting_id")
def waiting_job(fleet: Fleet) -> str:
    status, job = submit(fleet, find_leader(fleet), "waiting", members=3, run_time_s=STANDIN_SPEED)
    assert (status, job["state"]) == (200, "queued"), job
    return str(job["job_id"])


@when(
    parsers.parse("the leader is {failed} until the other entry leads"),
    target_fixture="new_leader",
)
def fail_leader(fleet: Fleet, failed: str) -> str:
    leader = find_leader(fleet)
    other = find_other_entry(fleet, leader)
    if failed == "killed":
        fleet.kill(leader)
    else:
        fleet.signal(leader, signal.SIGSTOP)
    fleet.wait(lambda: find_leader(fleet, among=(other,)), "the other entry does not lead")
    if failed == "suspended":
        fleet.signal(leader, signal.SIGCONT)
        fleet.wait(
            lambda: not find_leader(fleet, among=(leader,)), "the resumed leader still leads"
        )
    return other


@when("the gang finishes while the store is down")
def finish_without_store(fleet: Fleet) -> None:
    fleet.call("store", "POST", "/control", {"down": True})
    fleet.wait(lambda: len(list_tasks(fleet, "completed")) == 2, "the gang does not finish")


@when(
    "the leader that received the end is killed and the store is back",
    target_fixture="new_leader",
)
def kill_and_restore(fleet: Fleet, job_id: str) -> str:
    leader = find_leader(fleet)
    wait_for_state(fleet, leader, job_id, "completed")
    fleet.kill(leader)
    fleet.call("store", "POST", "/control", {"down": False})
    other = find_other_entry(fleet, leader)
    fleet.wait(lambda: find_leader(fleet, among=(other,)), "the other entry does not lead")
    return other


@then("the end of the job is in the store")
def check_stored(fleet: Fleet, job_id: str) -> None:
    path = f"/v1/kv/jobs/north/{shard_number(JobId(job_id))}"

    def is_stored() -> bool:
        data = urllib3.request("GET", fleet.url("store") + path, timeout=5.0).data
        records = {record.job_id: record for record in decode(data, ShardDocument).records}
        return records[JobId(job_id)].state is JobState.COMPLETED

    fleet.wait(is_stored, "the end is not in the store")


@then("the job completes in its first attempt")
def check_completed(fleet: Fleet, new_leader: str, job_id: str) -> None:
    job = wait_for_state(fleet, new_leader, job_id, "completed")
    assert (job["attempt"], job["failures"]) == (1, 0), job


@then("its end is recorded with epoch 2")
def check_epoch(fleet: Fleet, new_leader: str, job_id: str) -> None:
    assert fetch_job(fleet, new_leader, job_id)["epoch"] == 2


@then("the waiting job completes in its first attempt, too")
def check_waiting_job(fleet: Fleet, new_leader: str, waiting_id: str) -> None:
    check_completed(fleet, new_leader, waiting_id)


@then(parsers.parse("the workers have started {count:d} tasks in all"))
def check_task_count(fleet: Fleet, count: int) -> None:
    assert len(list_tasks(fleet, "started")) == len(list_tasks(fleet, "completed")) == count


@then("a job without a region that is submitted through both entries is one job")
def check_one_job(fleet: Fleet) -> None:
    jobs = [submit(fleet, entry, "twice", run_time_s=1.0) for entry in fleet.entry_names()]
    assert [status for status, _ in jobs] == [200, 200], jobs
    assert jobs[0][1]["job_id"] == jobs[1][1]["job_id"]


@then("the next generation of the job arrives while a caller waits for it")
def check_long_poll(fleet: Fleet, job_id: str) -> None:
    other = find_other_entry(fleet, find_leader(fleet))
    generation = fetch_job(fleet, other, job_id)["generation"]
    replies: list[Any] = []
    path = f"/v1/jobs/{job_id}?generation={generation}&wait_s=25"
    waiter = threading.Thread(target=lambda: replies.append(fleet.call(other, "GET", path)[1]))
    waiter.start()
    waiter.join(15)
    assert replies, "no reply although the job has changed"
    assert replies[0]["generation"] == generation + 1, replies
    assert replies[0]["state"] == "completed"


@then("a waiting job is explained by the jobs that block it")
def check_explanation(fleet: Fleet) -> None:
    leader = find_leader(fleet)
    _, blocker = submit(fleet, leader, "blocker", members=3, run_time_s=3000.0)
    wait_for_state(fleet, leader, blocker["job_id"], "running")
    _, waiting = submit(fleet, leader, "waiting", members=3)
    for entry in fleet.entry_names():
        _, found = fleet.call(entry, "GET", f"/v1/jobs/{waiting['job_id']}/explain")
        assert found["state"] == "queued"
        assert found["needs"]["members"] == 3
        assert found["cause"] == "no_room"
        assert [b["job_id"] for b in found["blocked_by"]] == [blocker["job_id"]], found
        assert [b["team"] for b in found["borrowers"]] == ["claims"]
        assert found["freed_by"] == [blocker["job_id"]]


@then("a guarded cancellation is refused for an old generation and carried out for the current")
def check_cancellation(fleet: Fleet) -> None:
    other = find_other_entry(fleet, find_leader(fleet))
    job = submit(fleet, other, "waiting", members=3)[1]
    path = f"/v1/jobs/{job['job_id']}?if_generation="
    status, problem = fleet.call(other, "DELETE", f"{path}{job['generation'] - 1}")
    assert (status, problem["code"], problem["outcome"]) == (409, "generation_conflict", "not_run")
    status, reply = fleet.call(other, "DELETE", f"{path}{job['generation']}")
    assert (status, reply["state"]) == (200, "cancelled")


@then("a faulty submission is refused with all its findings")
def check_findings(fleet: Fleet) -> None:
    entry = find_other_entry(fleet, find_leader(fleet))
    status, problem = submit(fleet, entry, "bad", run_time_s="long", urgent=1, priority=3)
    found = sorted(finding["field"] for finding in problem["findings"])
    assert (status, problem["outcome"]) == (422, "not_run")
    assert found == ["priority", "run_time_s", "urgent"]
    status, problem = submit(fleet, entry, "large", members=4, run_time_s=0)
    assert (status, problem["outcome"]) == (422, "not_run"), problem
    codes = sorted(finding["code"] for finding in problem["findings"])
    assert codes == ["bad_run_time", "gang_too_large"]


@then("both entries list the jobs of a state")
def check_list(fleet: Fleet) -> None:
    for entry in fleet.entry_names():
        _, listed = fleet.call(entry, "GET", "/v1/jobs?team=claims&state=running")
        assert [job["spec"]["name"] for job in listed["jobs"]] == ["blocker"], listed
        assert listed["unreachable_cells"] == []


@given("two entries and 4 workers of which 1 fails every task and 3 are busy")
def failing_worker(fleet: Fleet) -> None:
    fleet.call(FAILING_WORKER, "POST", "/control", {"fail_tasks": True})
    leader = find_leader(fleet)
    _, blocker = submit(fleet, leader, "blocker", members=3, run_time_s=3000.0)
    wait_for_state(fleet, leader, blocker["job_id"], "running")


@when(
    "3 jobs are submitted and the busy workers become free once one is quarantined",
    target_fixture="job_ids",
)
def submit_to_failing(fleet: Fleet) -> list[str]:
    leader = find_leader(fleet)
    jobs = [submit(fleet, leader, f"job-{n}")[1] for n in range(3)]
    fleet.wait(lambda: fleet.call(leader, "GET", "/v1/state")[1]["quarantined"], "no quarantine")
    # At most two failures of each job, and the one that quarantines the worker.
    assert 3 <= len(list_tasks(fleet, "failed")) <= 7
    _, listed = fleet.call(leader, "GET", "/v1/jobs?state=running")
    fleet.call(leader, "DELETE", f"/v1/jobs/{listed['jobs'][0]['job_id']}")
    return [job["job_id"] for job in jobs]


@then("the failing worker is quarantined with a reason and all 3 jobs complete")
def check_quarantine(fleet: Fleet, job_ids: list[str]) -> None:
    leader = find_leader(fleet)
    for job_id in job_ids:
        job = wait_for_state(fleet, leader, job_id, "completed")
        assert job["failed_on"] == [], job
    _, state = fleet.call(leader, "GET", "/v1/state")
    assert list(state["quarantined"]) == [FAILING_WORKER]
    assert "worker failure" in state["quarantined"][FAILING_WORKER]
    assert "chicorycrank_workers_quarantined 1.0" in fleet.call(leader, "GET", "/metrics")[1]


@then("an operator's release gives the repaired worker work again")
def check_release(fleet: Fleet) -> None:
    leader = find_leader(fleet)
    other = find_other_entry(fleet, leader)
    fleet.call(FAILING_WORKER, "POST", "/control", {"fail_tasks": False})
    path = f"/v1/targets/{FAILING_WORKER}/release-quarantine"
    assert fleet.call(other, "POST", path)[0] == 200
    assert fleet.call(other, "POST", path)[0] == 404
    jobs = [submit(fleet, leader, f"after-{n}")[1] for n in range(4)]
    for job in jobs:
        wait_for_state(fleet, leader, job["job_id"], "completed")
    record = fleet.call(FAILING_WORKER, "GET", "/record")[1]
    assert record[-1]["event"] == "completed"
