"""Attempts of tasks: which ends use them up, and when a job has failed."""

from collections.abc import Callable

import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import (
    WHOLE_WORKER,
    WORKERS,
    end_task,
    make_planner,
    progress_of,
    submit,
    tasks_by_worker,
)

from chicorycrank.batch.keys import decode_progress, encode_progress
from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import (
    BatchState,
    EndKind,
    Step,
    TaskEnd,
    Unit,
    UnitState,
    WorkerState,
)
from chicorycrank.model.ids import RackId, TargetId, TaskId

WORKER = WORKERS[0]
OTHER_WORKER = WORKERS[1]
JOB = make_job([WHOLE_WORKER], queue=make_queue(max_attempts=2))
TASK = TaskId(f"{JOB.job_id}.0.0.0")
KINDS_OF_NO_FAULT = [
    EndKind.STOPPED,
    EndKind.LAPSED,
    EndKind.BROKEN,
    EndKind.ALONE,
    EndKind.REJECTED,
    EndKind.LOST,
    EndKind.WITHDRAWN,
]
# More than the passes and delays of any decision that depends on time.
LONG_S = 3600.0


def unit_of(planner: Planner) -> Unit:
    return progress_of(planner, JOB).units["0.0.0"]


def list_failure(planner: Planner, run: int, worker: TargetId = WORKER, life: int = 1) -> None:
    """Let a worker report that a run has failed."""
    report = make_report(f"i-{worker}:{life}", ends=[TaskEnd(TASK, run, EndKind.FAILED)])
    planner.apply_report(worker, report)


def take_over(planner: Planner) -> Planner:
    """Return the planner of a new leader, which knows what is stored."""
    successor = make_planner([WORKER])
    successor.add_job(JOB, decode_progress(encode_progress(progress_of(planner, JOB))))
    return successor


def list_again(planner: Planner) -> Planner:
    list_failure(planner, run=1)
    return planner


def list_again_after_the_next_start(planner: Planner) -> Planner:
    planner.plan()
    assert unit_of(planner).run == 2
    list_failure(planner, run=1)
    return planner


def list_again_after_a_takeover(planner: Planner) -> Planner:
    return list_again(take_over(planner))


def list_again_after_a_start_and_a_takeover(planner: Planner) -> Planner:
    planner.plan()
    return list_again(take_over(planner))


def list_in_a_new_life(planner: Planner) -> Planner:
    planner.plan()
    list_failure(planner, run=1, life=2)
    return planner


def list_a_run_that_was_not_assigned(planner: Planner) -> Planner:
    planner.plan()
    list_failure(planner, run=3)
    return planner


def list_on_another_worker(planner: Planner) -> Planner:
    planner.plan()
    list_failure(planner, run=2, worker=OTHER_WORKER)
    return planner


@pytest.mark.parametrize(
    "list_late",
    [
        list_again,
        list_again_after_the_next_start,
        list_again_after_a_takeover,
        list_again_after_a_start_and_a_takeover,
        list_in_a_new_life,
        list_a_run_that_was_not_assigned,
        list_on_another_worker,
    ],
)
def test_an_end_that_is_listed_again_or_for_another_run_is_no_attempt(
    list_late: Callable[[Planner], Planner],
) -> None:
    """Guards against a job that has failed though its task has not failed so often."""
    planner = make_planner([WORKER])
    submit(planner, JOB)
    list_failure(planner, run=1)
    planner = list_late(planner)
    planner.plan()
    assert (unit_of(planner).failures, unit_of(planner).state) == (1, UnitState.ASSIGNED)
    assert progress_of(planner, JOB).state is BatchState.RUNNING


@pytest.mark.parametrize("kind", KINDS_OF_NO_FAULT)
def test_only_failures_of_a_task_use_up_its_attempts(kind: EndKind) -> None:
    """Guards against a job that fails as its runs were stopped, lost or not started."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER], queue=make_queue(max_attempts=1)))
    for run in range(1, 6):
        planner.set_time(planner.now_s + LONG_S, 0)
        planner.plan()
        end_task(planner, TASK, kind, run)
    unit = progress_of(planner, job).units["0.0.0"]
    assert (unit.failures, progress_of(planner, job).state) == (0, BatchState.RUNNING)


@pytest.mark.parametrize(
    "step",
    [
        Step(count=1, label="missing"),
        Step(count=1, accelerators=9),
        Step(count=1, cores=64001),
        Step(count=1, memory_mb=256001),
        Step(count=4, accelerators=8, gang=True),
        Step(count=4, cores=1000, gang=True, max_per_worker=1),
    ],
)
def test_a_job_that_no_worker_can_run_waits(step: Step) -> None:
    """Guards against a job that fails, or is set aside, as it fits nowhere now."""
    planner = make_planner()
    job = submit(planner, make_job([step]))
    planner.set_time(planner.now_s + LONG_S, 0)
    planner.plan()
    assert progress_of(planner, job).state is BatchState.QUEUED
    assert not planner.failing_jobs.reason_by_id
    assert tasks_by_worker(planner) == {}


def set_limit(planner: Planner, limit: int) -> None:
    queue = make_queue(max_attempts=limit)
    planner.set_config({queue.queue_id: queue}, [])


@pytest.mark.parametrize("is_taken_over", [False, True])
@pytest.mark.parametrize(
    ("limit", "state", "run"),
    [(1, BatchState.FAILED, 1), (2, BatchState.RUNNING, 2)],
    ids=["used-up", "left"],
)
def test_a_lowered_limit_holds_for_a_task_that_waits(
    is_taken_over: bool, limit: int, state: BatchState, run: int
) -> None:
    """Guards against a start after the last attempt that the queue now allows."""
    planner = make_planner([WORKER])
    submit(planner, JOB)
    list_failure(planner, run=1)
    if is_taken_over:
        stored = decode_progress(encode_progress(progress_of(planner, JOB)))
        planner = make_planner([WORKER])
        set_limit(planner, limit)
        planner.add_job(JOB, stored)
    else:
        set_limit(planner, limit)
    planner.plan()
    assert (progress_of(planner, JOB).state, unit_of(planner).run) == (state, run)
    assert bool(tasks_by_worker(planner)) is (state is BatchState.RUNNING)


@pytest.mark.parametrize(
    ("kind", "state"),
    [
        (EndKind.DONE, BatchState.COMPLETED),
        (EndKind.STOPPED, BatchState.FAILED),
        (EndKind.FAILED, BatchState.FAILED),
    ],
)
def test_a_lowered_limit_ends_no_run(kind: EndKind, state: BatchState) -> None:
    """Guards against a task that is stopped, or starts again, as its queue has changed."""
    planner = make_planner([WORKER])
    submit(planner, JOB)
    end_task(planner, TASK, EndKind.FAILED)
    set_limit(planner, 1)
    planner.plan()
    assert tasks_by_worker(planner) == {WORKER: [(TASK, 2, False)]}
    end_task(planner, TASK, kind, run=2)
    assert (progress_of(planner, JOB).state, tasks_by_worker(planner)) == (state, {})


def lose_other_workers(planner: Planner) -> None:
    for worker in WORKERS[1:]:
        planner.workers.set_present(worker, False)


def drain_other_workers(planner: Planner) -> None:
    for worker in WORKERS[1:]:
        report = make_report(f"i-{worker}:1", state=WorkerState.DRAINING, remaining_ms=9000)
        planner.apply_report(worker, report)


def shrink_other_workers(planner: Planner) -> None:
    for worker in WORKERS[1:]:
        planner.apply_report(worker, make_report(f"i-{worker}:1", accelerators=4))


def remove_accelerators(planner: Planner) -> None:
    for worker in WORKERS:
        planner.apply_report(worker, make_report(f"i-{worker}:1", accelerators=0))


def move_last_worker(planner: Planner) -> None:
    rack = {"rack": RackId("r2"), "labels": ("a", "r2")}
    planner.apply_report(WORKERS[2], make_report(f"i-{WORKERS[2]}:1", **rack))


def keep_other_workers(planner: Planner) -> None:
    """Leave the other workers as they are."""


@pytest.mark.parametrize(
    ("step", "change_others", "is_back"),
    [
        (WHOLE_WORKER, keep_other_workers, False),
        (WHOLE_WORKER, lose_other_workers, True),
        (WHOLE_WORKER, drain_other_workers, True),
        (WHOLE_WORKER, shrink_other_workers, True),
        (Step(count=1, cores=1000), remove_accelerators, False),
        (Step(count=2, accelerators=8, gang=True), keep_other_workers, False),
        (Step(count=3, accelerators=8, gang=True), keep_other_workers, True),
        (Step(count=3, accelerators=4, gang=True, max_per_worker=1), keep_other_workers, True),
        (Step(count=2, accelerators=8, gang=True, same_rack=True), keep_other_workers, False),
        (Step(count=2, accelerators=8, gang=True, same_rack=True), move_last_worker, True),
    ],
)
def test_a_unit_returns_to_a_worker_on_which_it_failed_if_the_others_cannot_hold_it(
    step: Step, change_others: Callable[[Planner], None], is_back: bool
) -> None:
    """Guards against a job that waits for good as one of its tasks has failed once."""
    planner = make_planner()
    change_others(planner)
    job = submit(planner, make_job([step]))
    unit = next(iter(progress_of(planner, job).units.values()))
    failed_on = unit.places[0].worker
    for index in range(step.count):
        kind = EndKind.BROKEN if index else EndKind.FAILED
        end_task(planner, f"{job.job_id}.0.0.{index}", kind)
    assert (unit.run, unit.state) == (2, UnitState.ASSIGNED)
    assert (failed_on in {place.worker for place in unit.places}) is is_back
