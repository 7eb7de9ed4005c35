"""Capacity of a worker that shrinks and grows while tasks run."""

import pytest
from tests.batch.fakes import FakeExecutor, MemoryStore, make_job, make_report
from tests.batch.test_planner import WORKERS, end_task, make_planner, submit
from tests.batch.test_whole_path import wait_until

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.batch.agent import BatchAgent
from chicorycrank.batch.keys import encode, order_key, report_key
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.run import Run
from chicorycrank.batch.runs import RunTable
from chicorycrank.model.batch import Assignment, EndKind, Step, Submission, WorkOrder
from chicorycrank.model.ids import Incarnation, TargetId, TaskId
from chicorycrank.ports.executor import StartOrder
from chicorycrank.ports.transactions import Write

WORKER = WORKERS[0]
CAPACITY = {"accelerators": 8, "cores": 64000, "memory_mb": 256000}


def set_capacity(planner: Planner, **changes: int) -> None:
    """Report another capacity of the worker and plan."""
    report = make_report(f"i-{WORKER}:1", **{**CAPACITY, **changes})
    planner.apply_report(TargetId(WORKER), report)
    planner.plan()


def submit_tasks(planner: Planner, name: str, step: Step) -> Submission:
    return submit(planner, make_job([step], name=name * 16))


def used(planner: Planner) -> tuple[int, int, int]:
    """Return the accelerators, cores and memory of all runs that the worker may have."""
    members = planner.members_by_worker.get(WORKER, {}).values()
    steps = [planner.step_of(member.ref) for member in members]
    return (
        sum(step.accelerators for step in steps),
        sum(step.cores for step in steps),
        sum(step.memory_mb for step in steps),
    )


@pytest.mark.parametrize("ended_first", [0, 1])
def test_a_worker_that_has_shrunk_starts_nothing_until_its_runs_fit(ended_first: int) -> None:
    """Guards against free accelerators that exist only above the reduced capacity."""
    planner = make_planner([WORKER])
    job = submit_tasks(planner, "a", Step(count=2, accelerators=4, run_time_s=5.0))
    set_capacity(planner, accelerators=4)
    submit_tasks(planner, "b", Step(count=3, accelerators=2, run_time_s=5.0))
    end_task(planner, f"{job.job_id}.0.0.{ended_first}", EndKind.DONE)
    assert used(planner)[0] == 4
    end_task(planner, f"{job.job_id}.0.0.{1 - ended_first}", EndKind.DONE)
    assert used(planner)[0] == 4


@pytest.mark.parametrize(
    ("smaller", "step"),
    [
        ({"accelerators": 5}, Step(count=9, accelerators=1, run_time_s=5.0)),
        ({"cores": 20000}, Step(count=9, accelerators=1, cores=8000, run_time_s=5.0)),
        ({"memory_mb": 90000}, Step(count=9, accelerators=1, memory_mb=32000, run_time_s=5.0)),
    ],
    ids=["accelerators", "cores", "memory"],
)
def test_no_start_exceeds_a_capacity_that_shrinks_and_grows_back(
    smaller: dict[str, int], step: Step
) -> None:
    """Guards against a start beyond the capacity that the executor last reported."""
    planner = make_planner([WORKER])
    first = submit_tasks(planner, "a", step)
    second = submit_tasks(planner, "b", step)
    names = [f"{job.job_id}.0.0.{index}" for job in (first, second) for index in range(9)]
    limits = {**CAPACITY, **smaller}
    set_capacity(planner, **smaller)
    before = used(planner)
    for name in names[:8]:
        end_task(planner, name, EndKind.DONE)
        after = used(planner)
        within = all(a <= limit for a, limit in zip(after, limits.values(), strict=True))
        assert within or after < before
        before = after
    assert all(a <= limit for a, limit in zip(used(planner), limits.values(), strict=True))
    set_capacity(planner)
    assert used(planner)[0] == 8


def test_runs_of_odd_sizes_leave_nothing_free_on_a_smaller_worker() -> None:
    """Guards against an accelerator that counts as free because no aligned block fits."""
    planner = make_planner([WORKER])
    submit_tasks(planner, "a", Step(count=2, accelerators=3, run_time_s=5.0))
    set_capacity(planner, accelerators=6)
    submit_tasks(planner, "b", Step(count=1, accelerators=1, run_time_s=5.0))
    assert used(planner)[0] == 6


@pytest.mark.parametrize(
    ("capacity", "is_adopted", "expected"),
    [
        ({"accelerators": 8}, False, True),
        ({"accelerators": 7}, False, False),
        ({"cores": 7999}, False, False),
        ({"memory_mb": 999}, False, False),
        ({"accelerators": 4}, True, False),
    ],
)
def test_an_agent_starts_no_run_beyond_the_last_capacity_of_its_executor(
    capacity: dict[str, int], is_adopted: bool, expected: bool
) -> None:
    """Guards against an order that was planned with an earlier capacity, or before a restart."""
    table = RunTable()
    for name, is_present in (("a", True), ("b", False)):
        table.runs_by_task[TaskId(name)] = Run(
            assignment=Assignment(
                task=TaskId(name), run=1, accelerators=4, cores=4000, memory_mb=500
            ),
            incarnation=Incarnation("i:1"),
            should_stop=is_present,  # what is being stopped still counts
            is_adopted=is_present and is_adopted,
            first_called_at=0.0 if is_present and not is_adopted else None,
        )
    report = make_report("i:1", **{**CAPACITY, **capacity})
    assert table.has_room(table.runs_by_task[TaskId("b")], report) is expected


def test_an_agent_adopts_runs_on_an_executor_that_has_shrunk_meanwhile() -> None:
    """Guards against a running task that is reported as rejected after its agent restarts."""
    store, executor = MemoryStore(), FakeExecutor()
    names = ("a.0.0.0", "b.0.0.0")
    assignments = [Assignment(task=TaskId(n), run=1, accelerators=4) for n in names]
    for assignment in assignments:
        executor.runs[assignment.task] = StartOrder(
            task=assignment.task,
            run=1,
            payload="",
            checkpoint="",
            ticket="",
            deadline_ms=0,
            fence=0,
            incarnation=executor.incarnation,
        )
    order = WorkOrder(incarnation=executor.incarnation, assignments=tuple(assignments))
    stored = make_report(accepted={TaskId(name): 1 for name in names}, fence=1)
    values = {order_key(WORKER): encode(order), report_key(WORKER): encode(stored)}
    store.apply(Write(values=values))
    agent = BatchAgent(WORKER, store, executor, SystemClock(), max_lease_s=10.0)
    agent.start()
    agent.apply_heartbeat(make_report(accelerators=4), number=1, started_at_ms=1, clock_ms=1000)
    try:
        wait_until(
            lambda: (
                len(agent.table.runs_by_task) == 2
                and all(run.started_at is not None for run in agent.table.runs_by_task.values())
            )
        )
        assert (sorted(executor.runs), agent.table.ends) == (sorted(names), [])
    finally:
        agent.stop()


def test_a_takeover_of_a_worker_with_more_runs_than_capacity_starts_nothing() -> None:
    """Guards against a new leader that finds room on a worker that shrank under its runs."""
    planner = make_planner([WORKER])
    steps = [Step(count=1, accelerators=n, run_time_s=5.0) for n in (3, 2, 2)]
    jobs = [submit_tasks(planner, name, step) for name, step in zip("abc", steps, strict=True)]
    successor = make_planner([])
    for job in jobs:
        successor.add_job(job, planner.progress_by_id[job.job_id])
    report = make_report(f"i-{WORKER}:1", accelerators=4)
    successor.apply_report(TargetId(WORKER), report)
    successor.workers.set_present(TargetId(WORKER), True)
    submit_tasks(successor, "d", Step(count=1, accelerators=1, run_time_s=5.0))
    assert used(successor)[0] == 7
