"""Units on workers that drain or are taken away at a notice of seconds."""

import msgspec
import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.test_planner import WORKERS, make_planner, progress_of, submit, tasks_by_worker

from chicorycrank.batch.drains import (
    ORDER_DELAY_S,
    STOP_S,
    Drains,
    MemberPace,
    estimate_run,
    expected_rate,
    may_stay,
)
from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step, TaskEnd, UnitState, WorkerState
from chicorycrank.model.ids import TargetId, TaskId

NOTICE_S = 2.0
LAST_MOMENT_S = STOP_S + ORDER_DELAY_S
GANG = Step(count=2, accelerators=8, cores=1000, run_time_s=10.0, gang=True)
SAVING = Step(count=1, accelerators=8, cores=1000, run_time_s=10.0, checkpointing=True)
UNSAVED = msgspec.structs.replace(SAVING, checkpointing=False)


def pace(rate: float | None = None, speed: float = 1.0) -> MemberPace:
    return MemberPace(speed=speed, rate=rate)


@pytest.mark.parametrize(
    ("members", "expected"),
    [
        ([], 1.0),
        ([pace()], 1.0),
        ([pace(speed=0.5)], 0.5),
        ([pace(), pace(speed=0.5)], 0.5),
        ([pace(0.8), pace(0.4)], 0.4),
        ([pace(0.8), pace(speed=0.5)], 0.4),
        ([pace(0.4, speed=0.5), pace(speed=2.0)], 0.4),
    ],
    ids=["none", "unknown", "slow", "slow-member", "rates", "one-rate", "rate-and-speed"],
)
def test_a_unit_is_as_fast_as_its_slowest_member(
    members: list[MemberPace], expected: float
) -> None:
    """Guards against a gang that is left to end in time although a member of it is slow."""
    assert expected_rate(members) == pytest.approx(expected)


@pytest.mark.parametrize(
    ("step", "elapsed_s", "rate", "notice_s", "expected"),
    [
        (SAVING, 8.5, None, NOTICE_S, True),
        (SAVING, 7.5, None, NOTICE_S, False),
        (SAVING, 8.5, 0.8, NOTICE_S, False),
        (SAVING, 6.5, 1.25, NOTICE_S, True),
        (SAVING, 9.5, 1.0, LAST_MOMENT_S, True),
        (SAVING, 9.5, None, LAST_MOMENT_S, False),
        (SAVING, 10.5, 1.0, LAST_MOMENT_S, False),
        (UNSAVED, 1.0, None, NOTICE_S, False),
        (UNSAVED, 6.5, 1.0, NOTICE_S, True),
        (UNSAVED, 9.0, 0.72, NOTICE_S, True),
        (UNSAVED, 9.0, 0.4, NOTICE_S, False),
        (UNSAVED, 5.0, 0.8, NOTICE_S, False),
        (msgspec.structs.replace(SAVING, long_running=True), 9.5, 1.0, NOTICE_S, False),
    ],
    ids=[
        "ends",
        "does-not-end",
        "slower-than-declared",
        "faster-than-declared",
        "ends-at-the-last-moment",
        "not-measured-at-the-last-moment",
        "overdue-at-the-last-moment",
        "little-to-lose",
        "ends-within-the-margin",
        "much-to-lose",
        "hopeless",
        "not-much-to-lose",
        "long-running",
    ],
)
def test_a_unit_stays_if_that_loses_least(
    step: Step, elapsed_s: float, rate: float | None, notice_s: float, expected: bool
) -> None:
    """Guards against unsaved work that is lost with its worker, or stopped just before its end."""
    run = estimate_run(step, elapsed_s, [pace(rate)])
    assert may_stay(step, run, notice_s, STOP_S) is expected


def drain(planner: Planner, worker: TargetId, **changes: object) -> None:
    report = planner.workers.by_id[worker].report
    changes = {"state": WorkerState.DRAINING, "remaining_ms": NOTICE_S * 1000, **changes}
    planner.apply_report(worker, msgspec.structs.replace(report, **changes))


def pass_time(planner: Planner, seconds: float) -> None:
    planner.set_time(planner.now_s + seconds, planner.now_ms + round(seconds * 1000))
    planner.plan()


def stopping(planner: Planner) -> set[str]:
    return {worker for worker, rows in tasks_by_worker(planner).items() if rows[0][2]}


@pytest.mark.parametrize(
    ("speed", "rate", "is_stopped"),
    [(1.0, 0, False), (0.5, 0, True), (0.5, 100, False), (1.0, 50, True)],
    ids=["usual", "slow-worker", "fast-run", "slow-run"],
)
def test_a_gang_is_judged_by_its_slowest_member(speed: float, rate: int, is_stopped: bool) -> None:
    """Guards against a gang that is lost as its slow member is not on the worker that drains."""
    planner = make_planner()
    step = msgspec.structs.replace(GANG, checkpointing=True)
    job = submit(planner, make_job([step]))
    drained, other = tasks_by_worker(planner)
    pass_time(planner, 8.5)
    planner.performance.speed_of = (  # type: ignore[method-assign]
        lambda worker: speed if worker == other else 1.0
    )
    if rate:
        worker = TargetId(other)
        task = TaskId(tasks_by_worker(planner)[other][0][0])
        report = planner.workers.by_id[worker].report
        changed = msgspec.structs.replace(report, work_rates={task: (1, rate)})
        planner.apply_report(worker, changed)
    drain(planner, TargetId(drained))
    unit = progress_of(planner, job).units["0.0"]
    assert (unit.state is UnitState.STOPPING) is is_stopped
    assert stopping(planner) == ({drained, other} if is_stopped else set())


def test_a_late_unit_is_stopped_in_time_for_its_checkpoint() -> None:
    """Guards against a unit that overruns its declared time until its executor exits."""
    planner = make_planner()
    job = submit(planner, make_job([SAVING]))
    worker = TargetId(next(iter(tasks_by_worker(planner))))
    pass_time(planner, 9.5)
    drain(planner, worker)
    assert stopping(planner) == set()
    due_ms = planner.next_due_ms()
    assert due_ms is not None
    rounding_ms = due_ms - planner.now_ms - round((NOTICE_S - LAST_MOMENT_S) * 1000)
    assert 0 <= rounding_ms <= 1
    pass_time(planner, NOTICE_S - LAST_MOMENT_S - 0.1)
    assert stopping(planner) == set()
    pass_time(planner, 0.11)
    assert stopping(planner) == {worker}
    end = TaskEnd(TaskId(f"{job.job_id}.0.0.0"), 1, EndKind.STOPPED, "saved")
    drain(planner, worker, ends=[end])
    planner.plan()
    unit = progress_of(planner, job).units["0.0.0"]
    assert (unit.run, unit.checkpoint, unit.state) == (2, "saved", UnitState.ASSIGNED)
    assert unit.places[0].worker != worker


def test_a_report_that_is_written_again_does_not_prolong_the_notice() -> None:
    """Guards against a checkpoint that comes too late as another part of the report changed."""
    drains = Drains()
    worker = WORKERS[0]
    for now_s, incarnation, remaining_ms, expected in (
        (0.0, "i:1", 2000, 2.0),
        (1.0, "i:1", 2000, 1.0),
        (1.0, "i:1", 500, 0.5),
        (3.0, "i:2", 2000, 2.0),
    ):
        report = make_report(incarnation, state=WorkerState.DRAINING, remaining_ms=remaining_ms)
        drains.record(worker, report, now_s)
        assert drains.notice_s(worker, now_s) == pytest.approx(expected)
    drains.record(worker, make_report("i:2"), 3.0)
    assert drains.notice_s(worker, 3.0) is None


def test_nothing_starts_on_a_draining_worker() -> None:
    """Guards against a start that the executor's exit would break, before or after the report.

    The agent rejects what an order from before the notice starts (`test_end_proofs.py`).
    """
    planner = make_planner(WORKERS[:2])
    job = submit(planner, make_job([SAVING]))
    worker = TargetId(next(iter(tasks_by_worker(planner))))
    end = TaskEnd(TaskId(f"{job.job_id}.0.0.0"), 1, EndKind.REJECTED, "", "draining")
    drain(planner, worker, remaining_ms=60_000, ends=[end])
    other = submit(planner, make_job([UNSAVED, UNSAVED], name="b" * 16))
    first = progress_of(planner, job).units["0.0.0"]
    places = [place.worker for place in first.places]
    for unit in progress_of(planner, other).units.values():
        places += [place.worker for place in unit.places]
    assert first.run == 2
    assert places
    assert worker not in places
