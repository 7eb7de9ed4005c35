"""Silence and loss of agents of a running gang, with real processes and signals."""

import signal
import time
from typing import Any

from pytest_bdd import given, parsers, scenarios, then, when

from chicorycrank_standin.fleet import Fleet

scenarios("features/gang_failures.feature")

ENTRY = "entry-north-0"
# At 10 s of work a second the gang runs 22 s, longer than the bound of the design.
RUN_TIME_S = 220.0
AGAIN_S = 90.0


class Gang:
    """A gang of two workers, observed by the workers' own records."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.hit_at = 0.0
        body = {
            "team": "claims",
            "name": "train",
            "shape": {"members": 2, "accelerators": 8, "adjacency": "rack"},
            "run_time_s": RUN_TIME_S,
        }
        self.job_id = fleet.call(ENTRY, "POST", "/v1/jobs", body, Idempotency_Key="job-1")[1][
            "job_id"
        ]
        self.wait(lambda: all(self.times(w, "working") for w in fleet.worker_names()), 30.0)
        self.head, self.member = (str(part["worker"]) for part in self.job()["placement"])

    def job(self) -> Any:
        """Return the job's record, or the entry's refusal."""
        return self.fleet.call(ENTRY, "GET", f"/v1/jobs/{self.job_id}")[1]

    def times(self, worker: str, event: str) -> list[float]:
        """Return when an event happened at a worker."""
        record = self.fleet.call(worker, "GET", "/record")[1]
        return [entry["at"] for entry in record if entry["event"] == event]

    def wait(self, condition: Any, timeout_s: float) -> None:
        """Wait until a condition holds."""
        self.fleet.wait(condition, "the gang did not get there", timeout_s)

    def check_stops(self, worker: str, bound_s: float) -> None:
        """Check that a worker's task stops in time after the failure, unfinished."""
        self.wait(
            lambda: self.times(worker, "stopped") or self.times(worker, "completed"), 2 * bound_s
        )
        assert self.times(worker, "completed") == []
        assert self.times(worker, "stopped")[0] - self.hit_at <= bound_s


@given("a running gang of two workers", target_fixture="gang")
def gang(small_fleet: Fleet) -> Gang:
    return Gang(small_fleet)


@when(parsers.parse("the agent and the worker of the {role} are killed"), target_fixture="other")
def kill(gang: Gang, role: str) -> str:
    victim, other = gang.head, gang.member
    if role == "member":
        victim, other = other, victim
    gang.hit_at = time.time()
    gang.fleet.kill(f"agent-{victim}")
    gang.fleet.kill(victim)
    return other


@then(parsers.parse("the other member's task stops within {bound:d} s"))
def check_other(gang: Gang, other: str, bound: int) -> None:
    gang.check_stops(other, bound)


@when("both are started again")
def start_again(gang: Gang, other: str) -> None:
    victim = gang.member if other == gang.head else gang.head
    gang.fleet.start_target(victim)
    gang.fleet.start_agent(victim)


@when("the agent of the head is frozen")
def freeze(gang: Gang) -> None:
    gang.hit_at = time.time()
    gang.fleet.signal(f"agent-{gang.head}", signal.SIGSTOP)


@then(parsers.parse("both tasks stop within {bound:d} s"))
def check_both(gang: Gang, bound: int) -> None:
    for worker in (gang.head, gang.member):
        gang.check_stops(worker, bound)


@when("the agent of the head is thawed")
def thaw(gang: Gang) -> None:
    gang.fleet.signal(f"agent-{gang.head}", signal.SIGCONT)


@when("the entry is frozen until the gang has completed and the agent of the head is restarted")
def lose_finish(gang: Gang) -> None:
    workers = gang.fleet.worker_names()
    gang.fleet.signal(ENTRY, signal.SIGSTOP)
    # The head has confirmed the end at both workers; only its memory still holds the finish.
    gang.wait(lambda: not any(gang.fleet.call(w, "GET", "/tasks")[1] for w in workers), 60.0)
    assert all(len(gang.times(worker, "completed")) == 1 for worker in workers)
    gang.fleet.kill(f"agent-{gang.head}")
    gang.fleet.signal(ENTRY, signal.SIGCONT)
    gang.fleet.start_agent(gang.head)


@then("the job completes in its second attempt, once at each worker")
def check_again(gang: Gang) -> None:
    check_completed(gang, runs=1)


@then("the job completes in its second attempt, after two completed runs at each worker")
def check_twice(gang: Gang) -> None:
    # Known limit: a finish that only the head held is lost, so the work is done again.
    check_completed(gang, runs=2)


def check_completed(gang: Gang, *, runs: int) -> None:
    # An entry without a leader refuses the question, as just after a thaw.
    gang.wait(lambda: gang.job().get("state") == "completed", AGAIN_S)
    assert gang.job()["attempt"] == 2
    for worker in gang.fleet.worker_names():
        assert len(gang.times(worker, "completed")) == runs
