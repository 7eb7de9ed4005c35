"""Batch tasks leave whole workers and racks free for gangs."""

import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_late_urgent_gangs import WORKERS, make_session
from tests.batch.test_planner import make_planner, submit, tasks_by_worker
from tests.batch.test_speed_placement import BATCH, GANGS, set_speeds

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import Queue, Step
from chicorycrank.model.ids import RackId, TargetId

TASK = Step(count=1, accelerators=1, cores=1000, run_time_s=12.0)


def whole_workers(planner: Planner) -> int:
    return len(planner.workers.by_id) - len(tasks_by_worker(planner))


@pytest.mark.parametrize(
    ("queue", "step", "expected"),
    [
        (BATCH, TASK, True),
        (BATCH, Step(count=1, accelerators=2), False),
        (BATCH, Step(count=2, accelerators=1, gang=True), False),
        (BATCH, Step(count=1, accelerators=1, long_running=True), False),
        (GANGS, TASK, False),
        (make_queue(priority=0), TASK, False),
    ],
    ids=["batch", "two-accelerators", "gang", "service", "gangs", "urgent"],
)
def test_only_small_batch_tasks_are_packed(queue: Queue, step: Step, expected: bool) -> None:
    """Guards against a change of the placement of other work."""
    planner = make_planner()
    job = make_job([step], queue=queue)
    planner.add_job(job, None)
    (queued,) = planner.job_builder.make_queue(
        planner, planner.waiting_units_of(job.job_id)
    ).values()
    assert queued.packs is expected


@pytest.mark.parametrize("classes", [1, 2])
def test_tasks_are_packed_in_each_speed_class(classes: int) -> None:
    """Guards against tasks that are spread over the workers of a class."""
    planner = make_planner(WORKERS[:8])
    for number, worker in enumerate(WORKERS[:8]):
        planner.apply_report(worker, make_report(f"i-{worker}:1", rack=RackId(f"r{number // 4}")))
    if classes > 1:
        slow = dict.fromkeys(WORKERS[2:4], 0.5)
        set_speeds(planner, {**dict.fromkeys(WORKERS[:8], 1.0), **slow})
    for number in range(20):
        submit(planner, make_job([TASK], name=f"{number:016x}", queue=BATCH))
    counts = {worker: len(rows) for worker, rows in tasks_by_worker(planner).items()}
    first = [*WORKERS[2:4], WORKERS[0]] if classes > 1 else WORKERS[:3]
    assert counts == dict(zip(map(str, first), (8, 8, 4), strict=True))


def test_scattered_tasks_gather_on_few_workers_as_they_are_replaced() -> None:
    """Guards against small tasks that keep every whole worker in use at a third of the load."""
    session = make_session(1)
    assert whole_workers(session.planner) == 0
    while session.now_s < 60.0:
        session.tick(used_share=0.35)
    # 67 accelerators are in use, which fit on 9 of the 24 workers.
    assert whole_workers(session.planner) >= 10
    racks_in_use = {
        session.planner.workers.by_id[TargetId(worker)].report.rack
        for worker in tasks_by_worker(session.planner)
    }
    assert len(racks_in_use) <= 4
