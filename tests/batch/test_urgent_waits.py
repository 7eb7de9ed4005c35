"""Log lines on urgent units that wait, and durations of the phases of a plan."""

import logging
from collections.abc import Callable

import msgspec
import pytest
from tests.batch.fakes import ManualClock, make_job, make_queue, make_report
from tests.batch.leader_harness import LeaderHarness
from tests.batch.test_planner import WORKERS, make_planner

from chicorycrank.batch.metrics import render
from chicorycrank.batch.phase_timer import SLOW_PHASE_S, timed_phase
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.units import UnitRef
from chicorycrank.batch.urgent_waits import (
    CHECK_INTERVAL_S,
    MAX_LINES_PER_CHECK,
    MIN_WAIT_MS,
    REPEAT_S,
    UrgentWaitLog,
)
from chicorycrank.model.batch import Crash, EndKind, Step, Submission, TaskEnd, Unit, WorkerState
from chicorycrank.model.ids import Incarnation, JobId, TaskId
from chicorycrank.policy.cell import QueuedJob, Reservation

URGENT = make_queue(priority=0, name="urgent")
WHOLE_WORKER = Step(count=1, accelerators=8, cores=1000, run_time_s=5.0)
GANG = Step(count=3, accelerators=8, cores=1000, run_time_s=5.0, gang=True)
JOB = make_job([GANG], queue=URGENT)
LATE_MS = MIN_WAIT_MS + 500
Change = Callable[[Planner], None]


def set_late(planner: Planner, now_ms: int = LATE_MS) -> None:
    planner.set_time(planner.now_s + now_ms / 1000, now_ms)


def waiting_lines(caplog: pytest.LogCaptureFixture) -> list[dict[str, str]]:
    lines = [record.getMessage() for record in caplog.records]
    return [
        dict(field.split("=", 1) for field in line.split())
        for line in lines
        if line.startswith("event=unit_waiting")
    ]


def make_reported(state: str) -> Change:
    def change(planner: Planner) -> None:
        for worker in WORKERS[:2]:
            report = make_report(f"i-{worker}:1")
            match state:
                case "unreachable":
                    report.is_unreachable = True
                case "draining":
                    report.state = WorkerState.DRAINING
                case "stalled":
                    report.suspects = {TaskId("t"): 40}
            planner.apply_report(worker, report)

    return change


def make_absent(planner: Planner) -> None:
    for worker in WORKERS[:2]:
        planner.workers.set_present(worker, False)


def make_backoff(planner: Planner) -> None:
    for worker in WORKERS[:2]:
        end = TaskEnd(TaskId("t"), 1, EndKind.WITHDRAWN)
        planner.workers.record_end(worker, JobId("b" * 16), end)


def make_quarantined(planner: Planner) -> None:
    for worker in WORKERS[:2]:
        for number in range(2):
            planner.workers.quarantine.record_failure(worker, JobId(f"{worker}{number}"), "failed")


def make_testing(planner: Planner) -> None:
    planner.workers.testing = set(WORKERS[:2])


def make_full(planner: Planner) -> None:
    planner.workers.full = set(WORKERS[:2])


def make_busy(planner: Planner) -> None:
    for number in range(2):
        planner.add_job(make_job([WHOLE_WORKER], name=f"{number}" * 16, queue=URGENT), None)
    planner.plan()


@pytest.mark.parametrize(
    ("change", "closed"),
    [
        (make_reported("unreachable"), "unreachable:2"),
        (make_reported("draining"), "not-ready:2"),
        (make_reported("stalled"), "stalled:2"),
        (make_absent, "absent:2"),
        (make_backoff, "backoff:2"),
        (make_quarantined, "quarantine:2"),
        (make_testing, "test:2"),
        (make_full, "full-order:2"),
        (make_busy, ""),
    ],
    ids=[
        "unreachable",
        "draining",
        "stalled",
        "absent",
        "backoff",
        "quarantine",
        "test",
        "full",
        "busy",
    ],
)
def test_a_late_urgent_unit_is_logged_with_the_causes_that_close_workers(
    change: Change, closed: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an urgent job that waits although no line says for what."""
    planner = make_planner()
    set_late(planner)
    change(planner)
    planner.add_job(JOB, None)
    with caplog.at_level(logging.WARNING, logger="absl"):
        UrgentWaitLog().update(planner)
    (line,) = waiting_lines(caplog)
    assert (line["job"], line["unit"], line["waited_s"]) == (JOB.job_id, "0.0", "2.5")
    assert (line["suitable"], line["closed"]) == ("3", closed)
    assert (line["members"], line["members_that_fit"], line["free_accelerators"]) == ("3", "1", "8")
    assert line["cause"] == "no-room"


def set_aside(planner: Planner) -> None:
    planner.failing_jobs._set_aside(planner, JOB.job_id, ValueError("x"))


def await_verdict(planner: Planner) -> None:
    unit = planner.progress_by_id[JOB.job_id].units.setdefault("0.0", Unit())
    for number in range(5):
        crash = Crash(
            incarnation=Incarnation(f"i-{number}:1"),
            worker=WORKERS[0],
            at_ms=LATE_MS,
            age_ms=100,
            members=(0,),
            started=(0,),
        )
        planner.crashes._add_crash(planner, _ref(planner), crash)
    assert unit.crashes


def await_evictions(planner: Planner) -> None:
    planner.cell.waiting_for_evictions = {_ref(planner).name}


def reserve(planner: Planner) -> None:
    name = _ref(planner).name
    planner.cell.reservations_by_id[name] = Reservation(
        job_id=name, worker_masks=(), expected_start_s=0.0, cost_s=0.0, created_s=0.0
    )


def remove_service(planner: Planner) -> None:
    for worker in WORKERS:
        planner.apply_report(worker, make_report(f"i-{worker}:1", service="other"))


def close_all(planner: Planner) -> None:
    for worker in WORKERS:
        planner.workers.set_present(worker, False)


def _ref(planner: Planner) -> UnitRef:
    return next(iter(planner.waiting_units_of(JOB.job_id)))


@pytest.mark.parametrize(
    ("change", "cause"),
    [
        (set_aside, "set-aside"),
        (await_verdict, "held"),
        (remove_service, "no-suitable-worker"),
        (close_all, "all-closed"),
        (await_evictions, "evictions"),
        (reserve, "reserved"),
        (make_busy, "no-room"),
        (lambda planner: None, "not-chosen"),
    ],
    ids=[
        "set-aside",
        "held",
        "no-suitable-worker",
        "all-closed",
        "evictions",
        "reserved",
        "no-room",
        "not-chosen",
    ],
)
def test_a_late_urgent_unit_is_logged_with_the_cause_of_its_wait(
    change: Change, cause: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against causes that look alike in the log."""
    planner = make_planner()
    set_late(planner)
    if change is make_busy:
        change(planner)
    planner.add_job(JOB, None)
    if change is not make_busy:
        change(planner)
    with caplog.at_level(logging.WARNING, logger="absl"):
        UrgentWaitLog().update(planner)
    assert [line["cause"] for line in waiting_lines(caplog)] == [cause]


@pytest.mark.parametrize(
    ("job", "now_ms"),
    [
        (JOB, MIN_WAIT_MS - 1),
        (make_job([GANG]), LATE_MS),
        (
            msgspec.structs.replace(
                JOB, repeat_count=2, first_at_ms=LATE_MS - 100, interval_ms=60_000
            ),
            LATE_MS,
        ),
    ],
    ids=["short-wait", "not-urgent", "just-due"],
)
def test_other_waits_are_not_logged(
    job: Submission, now_ms: int, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against lines on jobs that are in time."""
    planner = make_planner([])
    planner.add_job(job, None)
    set_late(planner, now_ms)
    with caplog.at_level(logging.WARNING, logger="absl"):
        UrgentWaitLog().update(planner)
    assert waiting_lines(caplog) == []


def test_a_wait_that_cannot_be_described_ends_no_plan(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a leader that fails in each plan, as it logs on a job set aside."""
    planner = make_planner()
    other = make_job([GANG], name="b" * 16, queue=URGENT)
    make_queued_job = planner.job_builder.make_queued_job

    def fail_for_one(planner: Planner, ref: UnitRef) -> QueuedJob:
        if ref.job_id == JOB.job_id:
            raise ValueError
        return make_queued_job(planner, ref)

    monkeypatch.setattr(planner.job_builder, "make_queued_job", fail_for_one)
    planner.add_job(JOB, None)
    planner.plan()
    assert planner.failing_jobs.is_set_aside(JOB.job_id, planner.now_s)
    close_all(planner)
    planner.add_job(other, None)
    set_late(planner)
    with caplog.at_level(logging.WARNING, logger="absl"):
        UrgentWaitLog().update(planner)
    assert [line["job"] for line in waiting_lines(caplog)] == [other.job_id]


def test_lines_on_waits_are_bounded(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log that grows with the number of plans or of waiting jobs."""
    planner = make_planner([])
    for number in range(2 * MAX_LINES_PER_CHECK):
        planner.add_job(make_job([GANG], name=f"{number:016x}", queue=URGENT), None)
    set_late(planner)
    wait_log = UrgentWaitLog()
    with caplog.at_level(logging.WARNING, logger="absl"):
        seconds = 4 * REPEAT_S
        for _ in range(round(seconds * 10)):
            wait_log.update(planner)
            planner.set_time(planner.now_s + 0.1, planner.now_ms + 100)
    jobs = [line["job"] for line in waiting_lines(caplog)]
    assert len(set(jobs)) == 2 * MAX_LINES_PER_CHECK
    assert max(map(jobs.count, jobs)) <= seconds / REPEAT_S
    assert len(jobs) <= MAX_LINES_PER_CHECK * seconds / CHECK_INTERVAL_S


@pytest.mark.parametrize(
    ("duration_s", "is_logged"), [(SLOW_PHASE_S, False), (SLOW_PHASE_S + 0.5, True)]
)
@pytest.mark.parametrize("fails", [False, True])
def test_a_long_phase_of_a_plan_is_logged(
    duration_s: float, is_logged: bool, fails: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a slow leader that looks like one without work."""
    clock = ManualClock()
    with caplog.at_level(logging.WARNING, logger="absl"):
        try:
            with timed_phase(clock, "write", 3):
                clock.seconds += duration_s
                if fails:
                    raise ValueError
        except ValueError:
            assert fails
    assert ("event=plan_slow phase=write duration_s=1.5 active_jobs=3" in caplog.text) is is_logged


def test_each_phase_of_a_plan_is_measured() -> None:
    """Guards against a phase without a metric."""
    harness = LeaderHarness()
    before = {phase: _count(phase) for phase in ("apply", "plan", "write")}
    harness.plan()
    assert {phase: _count(phase) - count for phase, count in before.items()} == {
        "apply": 1,
        "plan": 1,
        "write": 1,
    }


def _count(phase: str) -> float:
    prefix = f'chicorycrank_plan_seconds_count{{phase="{phase}"}} '
    lines = [line for line in render().decode().splitlines() if line.startswith(prefix)]
    return float(lines[0].removeprefix(prefix)) if lines else 0.0
