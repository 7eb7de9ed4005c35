"""Cancelled jobs start nothing, whatever the leader knows of them and when it learns of it."""

import itertools
import threading
from collections.abc import Sequence
from typing import Any

import pytest
from tests.batch.fakes import RED, ManualClock, MemoryStore, make_job, make_queue, make_report
from tests.batch.test_whole_path import NoMachines, UnavailableAdviceService

from chicorycrank.batch.intake import JobIntake, Outcome
from chicorycrank.batch.keys import (
    WATCHED_PREFIX,
    StateRecord,
    decode,
    encode,
    order_key,
    presence_key,
    report_key,
    state_key,
)
from chicorycrank.batch.replica import Replica
from chicorycrank.batch.role import LeaderRole
from chicorycrank.batch.term import STATUS_RETENTION_MARGIN_S, Term, TermDependencies
from chicorycrank.batch.view import SharedView
from chicorycrank.model.batch import BatchConfig, BatchState, BatchTeam, Step, WorkOrder
from chicorycrank.model.ids import EntryId, TargetId
from chicorycrank.ports.transactions import Item, Lease, Write

CONFIG_KEY = "op/config"
WORKER = TargetId("w")
JOB = make_job([Step(count=1, accelerators=8, run_time_s=5.0)])
RETENTION_S = 60.0
LOST_AFTER_S = 20.0


class QuietEntry:
    """Entry without threads, whose watch hears of changes only when a test calls for it."""

    def __init__(self, store: MemoryStore, clock: ManualClock, name: str) -> None:
        config = BatchConfig(version=1, queues=(make_queue(),), teams=(BatchTeam(team=RED),))
        self.name = EntryId(name)
        self.store = store
        self.clock = clock
        self.view = SharedView(CONFIG_KEY, lambda data: config)
        self.replica = Replica(store, WATCHED_PREFIX, self.view.apply, clock, wait_s=0.0)
        self.intake = JobIntake(store, self.view, self.replica, clock)
        self.replica.sync()

    def submit(self) -> None:
        """Submit the job."""
        assert self.intake.submit(JOB, self.clock.monotonic() + 3.0) is Outcome.DONE

    def cancel(self) -> None:
        """Cancel the job; the cancellation is acknowledged."""
        assert self.intake.cancel(JOB.job_id, self.clock.monotonic() + 3.0) is Outcome.DONE

    def hear(self) -> None:
        """Let the watch bring all changes, or read all keys if their history is lost."""
        for _ in range(3):
            self.replica.sync()


class LeaderHarness:
    """A leader, another entry and a worker over one store."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        values = {
            CONFIG_KEY: b"1",
            report_key(WORKER): encode(make_report()),
            presence_key(WORKER): b"1",
        }
        self.store.apply(Write(values=values))
        self.leader = QuietEntry(self.store, self.clock, "leader")
        self.other = QuietEntry(self.store, self.clock, "other")
        self.take_over()

    def take_over(self) -> None:
        """Begin a new term of the leader."""
        for lease in list(self.store.keys_by_lease):
            self.store.expire_lease(Lease(lease))
        role = LeaderRole(self.store, self.leader.name)
        assert role.acquire()
        dependencies = TermDependencies(
            advice=UnavailableAdviceService(),
            machines=NoMachines(),
            checkpoint_s=1.0,
            worker_lost_timeout_s=LOST_AFTER_S,
            ended_job_retention_s=RETENTION_S,
        )
        self.term = Term(
            self.store,
            self.leader.view,
            self.leader.replica,
            self.clock,
            role,
            dependencies,
            threading.Event(),
        )
        self.term._report_replica.sync()
        self.term._load_planner()

    def plan(self) -> None:
        """Let the leader plan once."""
        self.term._plan_once()

    def do(self, step: str) -> None:
        """Take a step that is named by a test."""
        match step:
            case "watch":
                self.leader.hear()
            case "history lost":
                self.store.discard_history()
                self.leader.hear()
            case "takeover":
                self.take_over()
            case "submitted again":
                self.leader.submit()
            case "plan":
                self.plan()

    def started_tasks(self) -> list[str]:
        """Return the tasks that an order has ever told the worker to start."""
        orders = [
            decode(write.values[order_key(WORKER)], WorkOrder)
            for write in self.store.writes
            if order_key(WORKER) in write.values
        ]
        return [a.task for order in orders for a in order.assignments if not a.stop]


STEPS = ("watch", "history lost", "takeover", "submitted again", "plan")


@pytest.mark.parametrize("steps", list(itertools.permutations(STEPS)))
@pytest.mark.parametrize("is_submitted_at_leader", [True, False])
def test_a_job_that_is_cancelled_at_the_leader_never_starts(
    is_submitted_at_leader: bool, steps: Sequence[str]
) -> None:
    """Guards against a cancellation that is forgotten because it came before its job."""
    harness = LeaderHarness()
    (harness.leader if is_submitted_at_leader else harness.other).submit()
    harness.leader.cancel()
    for step in steps:
        harness.do(step)
        harness.plan()
    harness.leader.hear()
    harness.plan()
    assert harness.started_tasks() == []
    assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.CANCELLED


def test_a_removed_job_is_not_started_by_a_late_read() -> None:
    """Guards against a job that an entry has read before its removal and applies after it."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.leader.cancel()
    harness.leader.hear()
    harness.plan()
    read_before = harness.store.items[f"own/jobs/{JOB.job_id}"]
    harness.clock.seconds += RETENTION_S + STATUS_RETENTION_MARGIN_S + 1
    harness.plan()
    harness.leader.hear()
    assert harness.leader.view.jobs_by_id == {}

    def read(key: str, *, timeout_s: float = 1.0) -> Item:
        return read_before

    harness.store.read = read  # type: ignore[method-assign]
    harness.leader.intake.job_state(JOB.job_id)
    harness.plan()
    assert harness.started_tasks() == []


def test_a_removed_job_leaves_the_view_though_its_removal_was_not_heard() -> None:
    """Guards against a job that a later term starts, as only a call of this entry knew of it."""
    harness = LeaderHarness()
    harness.leader.submit()
    harness.leader.cancel()
    harness.plan()
    harness.clock.seconds += RETENTION_S + STATUS_RETENTION_MARGIN_S + 1
    harness.plan()
    harness.do("history lost")
    harness.take_over()
    harness.plan()
    assert harness.started_tasks() == []
    assert harness.leader.view.jobs_by_id == {}


def test_a_paused_leader_keeps_the_later_state_in_its_view() -> None:
    """Guards against a leader that shows a job as running for good after another completed it."""
    harness = LeaderHarness()
    harness.leader.submit()
    write = harness.term._role.write
    completed = StateRecord(BatchState.COMPLETED)

    def write_and_pause(*arguments: Any) -> bool:
        is_written = write(*arguments)
        harness.store.apply(Write(values={state_key(JOB.job_id): encode(completed)}))
        harness.leader.hear()
        return is_written

    harness.term._role.write = write_and_pause  # type: ignore[method-assign, assignment]
    harness.plan()
    harness.leader.hear()
    assert harness.leader.intake.job_state(JOB.job_id).state is BatchState.COMPLETED
