"""Jobs whose planning raises an exception, beside others."""

from collections.abc import Sequence

import pytest
from tests.batch.fakes import make_job
from tests.batch.leader_harness import LeaderHarness
from tests.batch.test_planner import (
    WHOLE_WORKER,
    make_planner,
    progress_of,
    submit,
    tasks_by_worker,
)

from chicorycrank.batch import failing_jobs, queued_jobs
from chicorycrank.batch.failing_jobs import RETRY_S
from chicorycrank.model.batch import BatchState
from chicorycrank.model.ids import JobId
from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Decision

BAD = "f" * 16


class FailingPolicy:
    """Policy that raises an exception for the units of one job while it is switched on."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, where: str) -> None:
        self.is_on = True
        self.calls = 0
        make_queued_job = queued_jobs.QueuedJobBuilder.make_queued_job

        def failing_decide(cell: Cell, queue: Sequence[QueuedJob], now_s: float) -> list[Decision]:
            found = decide(cell, queue, now_s)
            self.check(job.job_id for job in queue)
            return found

        def failing_make(builder, planner, ref):  # type: ignore[no-untyped-def]
            self.check([ref.job_id])
            return make_queued_job(builder, planner, ref)

        if where == "decide":
            monkeypatch.setattr(failing_jobs, "decide", failing_decide)
        else:
            monkeypatch.setattr(queued_jobs.QueuedJobBuilder, "make_queued_job", failing_make)

    def check(self, names) -> None:  # type: ignore[no-untyped-def]
        """Raise if a unit of the bad job is among the names."""
        if self.is_on and any(name.startswith(BAD) for name in names):
            self.calls += 1
            raise ZeroDivisionError("division by zero")


@pytest.mark.parametrize("where", ["decide", "make"])
@pytest.mark.parametrize("position", range(3))
def test_a_job_whose_planning_fails_does_not_stop_the_others(
    monkeypatch: pytest.MonkeyPatch, where: str, position: int
) -> None:
    """Guards against one job that keeps the leader from planning any other."""
    policy = FailingPolicy(monkeypatch, where)
    planner = make_planner()
    names = ["a" * 16, "b" * 16]
    names.insert(position, BAD)
    for name in names:
        planner.add_job(make_job([WHOLE_WORKER], name=name), None)
    planner.plan()
    assert sorted(rows[0][0][:16] for rows in tasks_by_worker(planner).values()) == [
        "a" * 16,
        "b" * 16,
    ]
    calls = policy.calls
    planner.plan()
    assert policy.calls == calls
    policy.is_on = False
    planner.set_time(planner.now_s + RETRY_S, 0)
    planner.plan()
    assert progress_of(planner, make_job([WHOLE_WORKER], name=BAD)).units["0.0.0"].run == 1
    assert planner.failing_jobs.reason_by_id == {}


def test_a_caller_reads_why_a_job_is_not_planned(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a job that waits without a reason."""
    policy = FailingPolicy(monkeypatch, "decide")
    harness = LeaderHarness()
    harness.leader.submit(make_job([WHOLE_WORKER], name=BAD))
    for entry in (harness.leader, harness.other):
        harness.plan()
        entry.hear()
        answer = entry.intake.job_state(JobId(BAD))
        assert answer.state is BatchState.QUEUED
        assert answer.reason == "planning the job failed: ZeroDivisionError: division by zero"
    policy.is_on = False
    harness.clock.seconds += RETRY_S
    harness.plan()
    answer = harness.leader.intake.job_state(JobId(BAD))
    assert (answer.state, answer.reason) == (BatchState.RUNNING, "")


def test_a_plan_without_a_failing_job_costs_one_pass(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a search for failing jobs in each plan."""
    passes: list[int] = []

    def counting_decide(cell: Cell, queue: Sequence[QueuedJob], now_s: float) -> list[Decision]:
        passes.append(len(queue))
        return decide(cell, queue, now_s)

    monkeypatch.setattr(failing_jobs, "decide", counting_decide)
    planner = make_planner()
    submit(planner, make_job([WHOLE_WORKER]))
    assert passes == [1, 0]
