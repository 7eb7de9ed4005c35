"""Planning from worker reports to orders."""

from collections.abc import Sequence

import pytest
from tests.batch.fakes import RED, make_job, make_queue, make_report

from chicorycrank.batch.planner import Planner
from chicorycrank.batch.queued_jobs import QueuedJobBuilder
from chicorycrank.model.batch import (
    BatchState,
    BatchTeam,
    EndKind,
    Progress,
    Queue,
    Step,
    Submission,
    TaskEnd,
    Unit,
    UnitState,
    WorkerState,
)
from chicorycrank.model.ids import TargetId, TaskId, TeamId

WORKERS = [TargetId(f"w{n}") for n in range(3)]
WHOLE_WORKER = Step(count=1, accelerators=8, cores=1000, run_time_s=5.0)


def make_planner(
    workers: Sequence[TargetId] = WORKERS, quota: int = 0, headroom: float = 0.0
) -> Planner:
    planner = Planner(QueuedJobBuilder(1.0, headroom), 1000.0)
    planner.set_config({}, [BatchTeam(team=RED, quota=quota)])
    for worker in workers:
        planner.apply_report(worker, make_report(f"i-{worker}:1"))
        planner.workers.set_present(worker, True)
    return planner


def submit(planner: Planner, job: Submission) -> Submission:
    planner.add_job(job, None)
    planner.plan()
    return job


def tasks_by_worker(planner: Planner) -> dict[str, list[tuple[str, int, bool]]]:
    return {
        worker: [(a.task, a.run, a.stop) for a in planner.order_for(worker).assignments]
        for worker in planner.workers.by_id
        if planner.order_for(worker).assignments
    }


def end_task(
    planner: Planner, task: str, kind: EndKind, run: int = 1, checkpoint: str = ""
) -> None:
    for worker, members in list(planner.members_by_worker.items()):
        if TaskId(task) in members:
            report = planner.workers.by_id[worker].report
            report.ends = [TaskEnd(TaskId(task), run, kind, checkpoint)]
            planner.apply_report(worker, report)
            report.ends = []
            break
    planner.plan()


def progress_of(planner: Planner, job: Submission) -> Progress:
    return planner.progress_by_id[job.job_id]


def test_a_job_runs_its_steps_in_order() -> None:
    """Guards against a job that is not completed after its last task has ended."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER, Step(count=1, accelerators=1, after=(0,))]))
    assert list(tasks_by_worker(planner).values()) == [[(f"{job.job_id}.0.0.0", 1, False)]]
    end_task(planner, f"{job.job_id}.0.0.0", EndKind.DONE)
    assert progress_of(planner, job).state is BatchState.RUNNING
    end_task(planner, f"{job.job_id}.0.1.0", EndKind.DONE)
    assert progress_of(planner, job).state is BatchState.COMPLETED
    assert tasks_by_worker(planner) == {}


@pytest.mark.parametrize(
    ("kind", "checkpoint"), [(EndKind.STOPPED, "c1"), (EndKind.LAPSED, ""), (EndKind.REJECTED, "")]
)
def test_an_interrupted_task_runs_again_from_its_checkpoint(kind: EndKind, checkpoint: str) -> None:
    """Guards against a reused run number and a lost checkpoint."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    end_task(planner, f"{job.job_id}.0.0.0", kind, checkpoint=checkpoint)
    orders = [planner.order_for(worker).assignments for worker in WORKERS]
    (assignment,) = [item for items in orders for item in items]
    assert (assignment.run, assignment.checkpoint) == (2, checkpoint)


def test_an_end_of_an_earlier_run_changes_nothing() -> None:
    """Guards against a late report that ends a later run of the same task."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    end_task(planner, f"{job.job_id}.0.0.0", EndKind.STOPPED)
    end_task(planner, f"{job.job_id}.0.0.0", EndKind.DONE, run=1)
    assert progress_of(planner, job).units["0.0.0"].state is UnitState.ASSIGNED


def test_a_failing_task_avoids_the_worker_and_then_fails_its_job() -> None:
    """Guards against retries on a worker on which the task has failed."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER, WHOLE_WORKER], queue=make_queue(max_attempts=2)))
    first = next(iter(tasks_by_worker(planner)))
    task = tasks_by_worker(planner)[first][0][0]
    end_task(planner, task, EndKind.FAILED)
    second = next(w for w, rows in tasks_by_worker(planner).items() if rows[0][0] == task)
    assert second != first
    end_task(planner, task, EndKind.FAILED, run=2)
    assert progress_of(planner, job).state is BatchState.FAILED
    assert all(stop for rows in tasks_by_worker(planner).values() for _, _, stop in rows)


def test_one_end_of_a_gang_completes_it_and_stops_the_others() -> None:
    """Guards against members that continue after their gang is done."""
    planner = make_planner()
    job = submit(planner, make_job([Step(count=2, accelerators=8, gang=True)]))
    end_task(planner, f"{job.job_id}.0.0.0", EndKind.DONE)
    assert progress_of(planner, job).state is BatchState.COMPLETED
    assert list(tasks_by_worker(planner).values()) == [[(f"{job.job_id}.0.0.1", 1, True)]]
    # The worker of a member is allocated again once this member has ended.
    (running,) = tasks_by_worker(planner)
    other = submit(planner, make_job([WHOLE_WORKER, WHOLE_WORKER, WHOLE_WORKER], name="b" * 16))
    assert len(progress_of(planner, other).units) == 2
    assert len(tasks_by_worker(planner)[running]) == 1
    end_task(planner, f"{job.job_id}.0.0.1", EndKind.STOPPED)
    assert len(progress_of(planner, other).units) == 3


@pytest.mark.parametrize("is_new_leader", [False, True])
def test_a_cancelled_job_is_stopped(is_new_leader: bool) -> None:
    """Guards against a cancellation that is lost in a takeover."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    if is_new_leader:
        records = progress_of(planner, job)
        planner = make_planner()
        planner.add_job(job, records)
    planner.cancel(job.job_id)
    planner.plan()
    assert [row[2] for rows in tasks_by_worker(planner).values() for row in rows] == [True]
    assert progress_of(planner, job).state is BatchState.CANCELLED


def test_a_new_leader_writes_the_same_orders() -> None:
    """Guards against a takeover that restarts running units or allocates their workers twice."""
    planner = make_planner()
    job = submit(planner, make_job([Step(count=2, accelerators=8, gang=True), WHOLE_WORKER]))
    before = tasks_by_worker(planner)
    successor = make_planner()
    successor.add_job(job, progress_of(planner, job))
    successor.plan()
    assert tasks_by_worker(successor) == before
    other = submit(successor, make_job([WHOLE_WORKER], name="b" * 16))
    assert "0.0.0" not in progress_of(successor, other).units


@pytest.mark.parametrize(
    ("report", "expected"),
    [
        ({"incarnation": "i-w0:2"}, 2),
        ({"state": WorkerState.GONE}, 2),
        ({"state": WorkerState.DRAINING, "remaining_ms": 9000}, 1),
    ],
)
def test_work_of_an_executor_that_is_gone_is_reassigned(
    report: dict[str, object], expected: int
) -> None:
    """Guards against a task that waits for an end that its executor can never report."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    worker = TargetId(next(iter(tasks_by_worker(planner))))
    incarnation = planner.workers.by_id[worker].report.incarnation
    planner.apply_report(worker, make_report(**{"incarnation": incarnation, **report}))  # type: ignore[arg-type]
    planner.plan()
    assert progress_of(planner, job).units["0.0.0"].run == expected


@pytest.mark.parametrize("is_unreachable", [False, True])
def test_an_unreachable_executor_keeps_its_runs_and_gets_no_new_ones(is_unreachable: bool) -> None:
    """Guards against a second run beside an executor that only doesn't answer."""
    planner = make_planner(WORKERS[:1])
    step = Step(count=1, accelerators=1, run_time_s=5.0)
    job = submit(planner, make_job([step]))
    planner.apply_report(WORKERS[0], make_report("i-w0:1", is_unreachable=is_unreachable))
    other = submit(planner, make_job([step], name="b" * 16))
    assert progress_of(planner, job).units["0.0.0"].run == 1
    assert bool(progress_of(planner, other).units) is not is_unreachable
    planner.apply_report(WORKERS[0], make_report("i-w0:1"))
    planner.plan()
    assert progress_of(planner, other).units["0.0.0"].run == 1


@pytest.mark.parametrize("state", list(WorkerState))
def test_a_report_that_names_no_incarnation_ends_no_run(state: WorkerState) -> None:
    """Guards against a second run as an agent has not heard of its executor yet."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    worker = TargetId(next(iter(tasks_by_worker(planner))))
    planner.apply_report(worker, make_report("", state=state))
    planner.plan()
    assert progress_of(planner, job).units["0.0.0"].run == 1


@pytest.mark.parametrize(("checkpointing", "stopped"), [(True, True), (False, True)])
def test_a_draining_worker_is_evacuated_in_time(checkpointing: bool, stopped: bool) -> None:
    """Guards against work that runs until the executor exits without saving it."""
    planner = make_planner()
    step = Step(count=1, accelerators=8, run_time_s=20.0, checkpointing=checkpointing)
    submit(planner, make_job([step]))
    worker = TargetId(next(iter(tasks_by_worker(planner))))
    report = planner.workers.by_id[worker].report
    changed = make_report(report.incarnation, state=WorkerState.DRAINING, remaining_ms=2500)
    planner.apply_report(worker, changed)
    assert [a.stop for a in planner.order_for(worker).assignments] == [stopped]


def test_a_worker_without_presence_keeps_its_tasks_but_gets_no_new_ones() -> None:
    """Guards against a second run of a task whose worker is only unreachable."""
    planner = make_planner(WORKERS[:1])
    job = submit(planner, make_job([Step(count=2, accelerators=4)]))
    planner.workers.set_present(WORKERS[0], False)
    end_task(planner, f"{job.job_id}.0.0.0", EndKind.STOPPED)
    units = progress_of(planner, job).units
    assert (units["0.0.0"].state, units["0.0.1"].state) == (UnitState.WAITING, UnitState.ASSIGNED)
    planner.mark_worker_lost(WORKERS[0])
    assert units["0.0.1"].state is UnitState.WAITING


def test_urgent_work_of_a_team_within_its_quota_evicts_other_work() -> None:
    """Guards against a guarantee that waits until borrowed accelerators become free."""
    planner = make_planner(quota=24)
    borrower = make_job([Step(count=3, accelerators=8, run_time_s=60.0)], team=TeamId("blue"))
    submit(planner, borrower)
    urgent = make_job(
        [WHOLE_WORKER, WHOLE_WORKER], name="b" * 16, queue=make_queue(priority=0, name="u")
    )
    submit(planner, urgent)
    stops = [row for rows in tasks_by_worker(planner).values() for row in rows if row[2]]
    assert len(stops) == 2
    for task, run, _ in stops:
        end_task(planner, task, EndKind.STOPPED, run=run)
    states = [unit.state for unit in progress_of(planner, urgent).units.values()]
    assert states == [UnitState.ASSIGNED, UnitState.ASSIGNED]


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        ([Step(count=4, accelerators=1, max_per_worker=1)], [1, 1, 1]),
        ([Step(count=4, accelerators=1, max_per_worker=2)], [2, 2]),
        ([Step(count=2, accelerators=1, label="r1")], [2]),
        ([Step(count=2, accelerators=1, label="other")], []),
    ],
)
def test_labels_and_limits_per_worker_are_respected(steps: list[Step], expected: list[int]) -> None:
    """Guards against a task on a worker that lacks its label or is at the limit of its step."""
    planner = make_planner()
    submit(planner, make_job(steps))
    counts = sorted((len(rows) for rows in tasks_by_worker(planner).values()), reverse=True)
    assert counts == expected


@pytest.mark.parametrize(
    ("queues", "expected"), [({}, 1), ({"q": "service"}, 1), ({"q": "elsewhere"}, 0)]
)
def test_only_workers_of_the_queues_service_are_used(queues: dict[str, str], expected: int) -> None:
    """Guards against a start on a worker of a service that does not serve the queue."""
    planner = make_planner()
    queues_by_id: dict[str, Queue] = {
        name: Queue(queue_id=make_queue().queue_id, host="", prefix="", service=service)  # type: ignore[arg-type]
        for name, service in queues.items()
    }
    planner.set_config(queues_by_id, [])  # type: ignore[arg-type]
    submit(planner, make_job([WHOLE_WORKER]))
    assert len(tasks_by_worker(planner)) == expected


@pytest.mark.parametrize(
    ("percent", "checkpointing", "stopped"),
    [(10, False, True), (80, False, False), (80, True, True)],
)
def test_a_stalled_task_is_stopped_if_that_loses_little_work(
    percent: int, checkpointing: bool, stopped: bool
) -> None:
    """Guards against a task that waits for a stalled executor instead of moving."""
    planner = make_planner()
    step = Step(count=1, accelerators=4, checkpointing=checkpointing)
    job = submit(planner, make_job([step]))
    worker = TargetId(next(iter(tasks_by_worker(planner))))
    incarnation = planner.workers.by_id[worker].report.incarnation
    suspects = {TaskId(f"{job.job_id}.0.0.0"): percent}
    planner.apply_report(worker, make_report(incarnation, suspects=suspects))
    assert [a.stop for a in planner.order_for(worker).assignments] == [stopped]
    assert not planner.cell.workers_by_id[worker].available


def test_a_lost_task_resumes_from_the_reported_checkpoint() -> None:
    """Guards against saved work that is repeated after a worker is lost."""
    planner = make_planner()
    job = submit(planner, make_job([WHOLE_WORKER]))
    worker = TargetId(next(iter(tasks_by_worker(planner))))
    incarnation = planner.workers.by_id[worker].report.incarnation
    task = TaskId(f"{job.job_id}.0.0.0")
    planner.apply_report(worker, make_report(incarnation, checkpoints={task: (1, "saved")}))
    planner.apply_report(worker, make_report("i-new:9"))
    planner.plan()
    unit = progress_of(planner, job).units["0.0.0"]
    assert (unit.run, unit.checkpoint) == (2, "saved")


@pytest.mark.parametrize(
    ("state", "uses_worker"),
    [(UnitState.WAITING, False), (UnitState.DONE, True)],
    ids=["unfinished", "done-elsewhere"],
)
def test_a_new_leader_avoids_a_worker_on_which_unfinished_units_have_failed(
    state: UnitState, uses_worker: bool
) -> None:
    """Guards against tasks that fail on a quarantined worker again after a takeover."""
    planner = make_planner()
    unit = Unit(run=1, failures=1, failed_on=[WORKERS[0]], state=state)
    progress = Progress(state=BatchState.RUNNING, units={"0.0.0": unit, "0.0.1": unit})
    planner.add_job(make_job([Step(count=3, accelerators=1)]), progress)
    for number in range(len(WORKERS)):
        submit(planner, make_job([WHOLE_WORKER], name=f"{number:016x}"))
    assert (WORKERS[0] in tasks_by_worker(planner)) is uses_worker
