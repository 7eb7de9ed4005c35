"""Ends of runs that the leader has applied when it writes an order, and dies before the next write.

An agent drops an end that its order no longer names, so this end has to be stored by then.
"""

from dataclasses import dataclass

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.leader_harness import LOST_AFTER_S, WORKER, LeaderHarness
from tests.batch.test_lost_workers import hear_reports

from chicorycrank.batch.keys import (
    decode,
    decode_progress,
    encode,
    order_key,
    presence_key,
    progress_key,
    report_key,
)
from chicorycrank.batch.withdrawals import ACCEPTANCE_TIMEOUT_S
from chicorycrank.model.batch import EndKind, Step, TaskEnd, WorkerReport, WorkOrder
from chicorycrank.model.ids import TaskId
from chicorycrank.ports.transactions import Committed, Conflict, Write

HALF_WORKER = Step(count=1, accelerators=4, run_time_s=5.0)
ENDED_JOB = make_job([HALF_WORKER], name="aaaaaaaaaaaaaaa1")
OTHER_JOB = make_job([HALF_WORKER], name="aaaaaaaaaaaaaaa2")
ENDED_TASK, OTHER_TASK = (TaskId(f"{job.job_id}.0.0.0") for job in (ENDED_JOB, OTHER_JOB))
MAX_WRITES = 4


class LeaderKilledError(Exception):
    """The process of the leader is killed."""


@dataclass(frozen=True, kw_only=True)
class Removal:
    """Why the leader removes a run from an order before it plans.

    :param accepted: runs that the agent has accepted
    :param is_present: whether the presence of the agent is valid
    :param after_s: time in seconds after which the leader removes the run
    """

    accepted: dict[TaskId, int]
    is_present: bool
    after_s: float


WITHDRAWAL = Removal(accepted={ENDED_TASK: 1}, is_present=True, after_s=ACCEPTANCE_TIMEOUT_S)
LOSS = Removal(
    accepted={ENDED_TASK: 1, OTHER_TASK: 1}, is_present=False, after_s=LOST_AFTER_S + 1.0
)


def kill_leader_after(harness: LeaderHarness, count: int) -> None:
    """Let the leader die with the answer to one of its next writes."""
    apply, left = harness.store.apply, count

    def apply_until_killed(write: Write) -> Committed | Conflict:
        nonlocal left
        answer = apply(write)
        left -= isinstance(answer, Committed)
        if left == 0:
            harness.store.apply = apply  # type: ignore[method-assign]
            raise LeaderKilledError
        return answer

    harness.store.apply = apply_until_killed  # type: ignore[method-assign]


def drop_recorded_ends(harness: LeaderHarness) -> None:
    """Let the agent read its order, and report the ends that it still names."""
    order = decode(harness.store.items[order_key(WORKER)].value or b"", WorkOrder)
    report = decode(harness.store.items[report_key(WORKER)].value or b"", WorkerReport)
    named = {(assignment.task, assignment.run) for assignment in order.assignments}
    report.ends = [end for end in report.ends if (end.task, end.run) in named]
    harness.store.apply(Write(values={report_key(WORKER): encode(report)}))


@pytest.mark.parametrize("removal", [WITHDRAWAL, LOSS], ids=["withdrawal", "lost-worker"])
@pytest.mark.parametrize(
    "kind", [EndKind.DONE, EndKind.FAILED, EndKind.CRASHED], ids=lambda kind: kind.name.lower()
)
@pytest.mark.parametrize("writes", range(1, MAX_WRITES + 1))
def test_an_end_is_stored_before_an_order_omits_its_run(
    removal: Removal, kind: EndKind, writes: int
) -> None:
    """Guards against a task that starts again after it is done, and a lost failure or crash."""
    harness = LeaderHarness()
    for job in (ENDED_JOB, OTHER_JOB):
        harness.leader.submit(job)
    harness.plan()
    accepted = encode(make_report(accepted=removal.accepted))
    harness.store.apply(Write(values={report_key(WORKER): accepted}))
    if not removal.is_present:
        harness.store.apply(Write(deletes=[presence_key(WORKER)]))
    hear_reports(harness)
    harness.clock.seconds += removal.after_s
    end = TaskEnd(ENDED_TASK, 1, kind)
    report = make_report(
        accepted=removal.accepted, ends=[end], is_unreachable=kind is EndKind.CRASHED
    )
    harness.store.apply(Write(values={report_key(WORKER): encode(report)}))
    harness.term._report_replica.sync()
    kill_leader_after(harness, writes)
    try:
        harness.plan()
    except LeaderKilledError:
        drop_recorded_ends(harness)
        harness.take_over()
        harness.plan()
    progress = decode_progress(harness.store.items[progress_key(ENDED_JOB.job_id)].value or b"")
    match kind:
        case EndKind.DONE:
            assert progress.done
        case EndKind.FAILED:
            assert progress.units["0.0.0"].failures == 1
        case EndKind.CRASHED:
            assert len(progress.units["0.0.0"].crashes) == 1
