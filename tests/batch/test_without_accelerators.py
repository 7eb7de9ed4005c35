"""Tasks that need no accelerators, on workers with and without them."""

from collections import Counter

import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import make_planner, progress_of, submit, tasks_by_worker

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import Step, Submission
from chicorycrank.model.ids import RackId, TargetId

CORES = 64_000
MEMORY_MB = 256_000
WORKERS = [TargetId(f"w{number}") for number in range(4)]
GPU_TASK = Step(count=1, accelerators=1, cores=1000, run_time_s=5.0)


def make_fleet(accelerators: int) -> Planner:
    """Return a planner with two racks of two workers."""
    planner = make_planner(WORKERS)
    for number, worker in enumerate(WORKERS):
        report = make_report(
            f"i-{worker}:1", accelerators=accelerators, rack=RackId(f"r{number // 2}")
        )
        planner.apply_report(worker, report)
        planner.workers.set_present(worker, True)
    return planner


def started(planner: Planner, job: Submission) -> Counter[str]:
    """Return how many tasks of a job each worker runs."""
    return Counter(
        worker
        for worker, rows in tasks_by_worker(planner).items()
        for task, _, is_stopped in rows
        if task.startswith(job.job_id) and not is_stopped
    )


@pytest.mark.parametrize("priority", [0, 1])
@pytest.mark.parametrize("accelerators", [0, 8])
@pytest.mark.parametrize(
    ("step", "task_count", "worker_count"),
    [
        (Step(count=12, cores=500, memory_mb=256), 12, 1),
        (Step(count=1, cores=CORES, memory_mb=MEMORY_MB), 1, 1),
        (Step(count=5, cores=CORES), 4, 4),
        (Step(count=5, memory_mb=MEMORY_MB), 4, 4),
        (Step(count=3), 3, 1),
        (Step(count=2, cores=60_000, gang=True), 2, 2),
        (Step(count=4, cores=60_000, gang=True), 4, 4),
        (Step(count=8, cores=30_000, gang=True), 8, 4),
        (Step(count=2, cores=60_000, gang=True, same_rack=True), 2, 2),
        (Step(count=4, cores=60_000, gang=True, max_per_worker=1), 4, 4),
        (Step(count=2, cores=1000, gang=True, max_per_worker=1), 2, 2),
        (Step(count=4, cores=1000, max_per_worker=1), 4, 4),
        (Step(count=5, cores=60_000, gang=True), 0, 0),
        (Step(count=1, cores=200_000), 0, 0),
        (Step(count=4, fills=True, cores=CORES), 4, 1),
    ],
)
def test_tasks_without_accelerators_start_where_cores_and_memory_are_free(
    step: Step, task_count: int, worker_count: int, accelerators: int, priority: int
) -> None:
    """Guards against a leader that fails or spins at a task without accelerators."""
    planner = make_fleet(accelerators)
    job = submit(planner, make_job([step], queue=make_queue(priority=priority)))
    for _ in range(4):
        planner.plan()
    by_worker = started(planner, job)
    assert (by_worker.total(), len(by_worker)) == (task_count, worker_count)
    assert all(count * (0 if step.fills else step.cores) <= CORES for count in by_worker.values())
    if step.same_rack:
        assert len({planner.workers.by_id[TargetId(w)].report.rack for w in by_worker}) == 1
    other = submit(planner, make_job([GPU_TASK], name="b" * 16))
    used_cores = 0 if step.fills else task_count * step.cores
    has_room = accelerators > 0 and used_cores < len(WORKERS) * CORES
    assert bool(progress_of(planner, other).units) is has_room


@pytest.mark.parametrize("step", [Step(count=4, cores=500), Step(count=2, cores=500, gang=True)])
def test_tasks_without_accelerators_start_beside_tasks_that_use_all(step: Step) -> None:
    """Guards against idle cores as all accelerators are in use."""
    planner = make_fleet(8)
    users = submit(planner, make_job([Step(count=32, accelerators=1, cores=1000)]))
    for _ in range(4):
        planner.plan()
    assert started(planner, users).total() == 32
    job = submit(planner, make_job([step], name="b" * 16))
    assert started(planner, job).total() == step.count


def test_an_urgent_task_without_accelerators_evicts_others_for_its_cores() -> None:
    """Guards against an urgent task that waits for cores that other work uses."""
    planner = make_fleet(8)
    users = submit(planner, make_job([Step(count=4, accelerators=1, cores=CORES, run_time_s=9.0)]))
    assert started(planner, users).total() == 4
    step = Step(count=1, cores=CORES, run_time_s=9.0)
    submit(planner, make_job([step], name="b" * 16, queue=make_queue(priority=0)))
    assert started(planner, users).total() == 3
