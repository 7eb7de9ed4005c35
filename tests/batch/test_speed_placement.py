"""Placement of units on workers of different speed."""

import random
from collections.abc import Mapping, Sequence

import msgspec
import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import end_task, make_planner, submit, tasks_by_worker

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Queue, Step
from chicorycrank.model.ids import RackId, TargetId
from chicorycrank.policy.step_chains import longest_chain_s

FAST = [TargetId(f"f{n}") for n in range(4)]
SLOW = [TargetId(f"s{n}") for n in range(4)]
SPEEDS = {**dict.fromkeys(FAST, 1.0), **dict.fromkeys(SLOW, 0.45)}
RUN_S = 4.5


def queue(priority: int, slack: float, latency_s: float) -> Queue:
    return msgspec.structs.replace(
        make_queue(priority=priority, name=f"q{priority}"), slack=slack, target_latency_s=latency_s
    )


URGENT, GANGS, BATCH = queue(0, 1.5, 0.5), queue(1, 2.0, 1.0), queue(2, 3.0, 3.0)
BATCH_TASK = Step(count=1, accelerators=1, cores=1000, run_time_s=12.0)


def gang(members: int, **changes: object) -> Step:
    step = Step(count=members, accelerators=8, cores=1000, run_time_s=RUN_S, gang=True)
    return msgspec.structs.replace(step, **changes)


def set_speeds(planner: Planner, speeds: Mapping[TargetId, float]) -> None:
    planner.performance.speed_of = lambda worker: speeds.get(worker, 1.0)  # type: ignore[method-assign]
    planner.performance.is_known = lambda worker: worker in speeds  # type: ignore[method-assign]


def make_uneven_planner(speeds: Mapping[TargetId, float] = SPEEDS) -> Planner:
    """Return a planner with a fast and a slow rack; names give the slow ones no advantage."""
    planner = make_planner([*SLOW, *FAST])
    for worker in (*SLOW, *FAST):
        planner.apply_report(worker, make_report(f"i-{worker}:1", rack=RackId(worker[0])))
    set_speeds(planner, speeds)
    return planner


def pass_time(planner: Planner, seconds: float) -> None:
    planner.set_time(planner.now_s + seconds, planner.now_ms + round(seconds * 1000))
    planner.plan()


def fill(planner: Planner, workers: Sequence[TargetId], name: str, queue: Queue) -> str:
    """Fill whole workers with tasks of one job, from the given workers only."""
    for worker in planner.workers.by_id:
        planner.workers.set_present(worker, worker in workers)
    step = Step(count=len(workers), accelerators=8, cores=1000, run_time_s=60.0)
    job = submit(planner, make_job([step], name=name * 16, queue=queue))
    assert workers_of(planner, job.job_id) == sorted(workers)
    for worker in planner.workers.by_id:
        planner.workers.set_present(worker, True)
    return job.job_id


def workers_of(planner: Planner, job_id: str) -> list[str]:
    return sorted(
        worker
        for worker, rows in tasks_by_worker(planner).items()
        for task, _, stop in rows
        if task.startswith(job_id) and not stop
    )


def stopped(planner: Planner) -> list[str]:
    return [row[0] for rows in tasks_by_worker(planner).values() for row in rows if row[2]]


@pytest.mark.parametrize(
    ("step", "queue", "expected"),
    [
        (gang(3), URGENT, "f"),
        (gang(3), GANGS, "f"),
        (gang(4, accelerators=1), GANGS, "f"),
        (gang(5, run_time_s=1.0), URGENT, "fs"),
        (Step(count=4, accelerators=1, run_time_s=12.0), BATCH, "s"),
        (Step(count=40, accelerators=1, run_time_s=12.0), BATCH, "fs"),
        (Step(count=2, accelerators=8, run_time_s=12.0), GANGS, "f"),
    ],
    ids=["urgent", "gang", "small-gang", "too-large", "batch", "wide-batch", "tasks"],
)
def test_each_kind_of_unit_goes_to_workers_of_its_speed(
    step: Step, queue: Queue, expected: str
) -> None:
    """Guards against gangs that end late on slow workers while fast ones run batch tasks."""
    planner = make_uneven_planner()
    job = submit(planner, make_job([step], queue=queue))
    workers = workers_of(planner, job.job_id)
    assert len(workers) == step.count
    assert "".join(sorted({worker[0] for worker in workers})) == expected


def test_an_urgent_gang_evicts_on_fast_workers_before_it_uses_slow_ones() -> None:
    """Guards against urgent gangs that begin at once on free slow workers and end late."""
    planner = make_uneven_planner()
    fill(planner, FAST, "b", BATCH)
    urgent = submit(planner, make_job([gang(2)], queue=URGENT))
    assert workers_of(planner, urgent.job_id) == []
    assert len(stopped(planner)) == 2


@pytest.mark.parametrize(
    ("run_time_s", "waited_s", "expected"),
    [(RUN_S, 0.0, 2), (RUN_S, 8.0, 2), (RUN_S, 12.0, 0), (RUN_S, 18.0, 2)],
    ids=["late-on-slow", "later", "worthless-on-slow", "worthless-on-all"],
)
def test_an_urgent_gang_uses_slow_workers_while_it_earns_there(
    run_time_s: float, waited_s: float, expected: int
) -> None:
    """Guards against an urgent gang that waits behind other urgent work until it earns nothing.

    Three times the objective are 21.75 s; a run takes 10 s on slow workers.
    """
    planner = make_uneven_planner()
    fill(planner, FAST, "b", URGENT)
    planner.set_time(planner.now_s + waited_s, round(waited_s * 1000))
    urgent = submit(planner, make_job([gang(2, run_time_s=run_time_s)], queue=URGENT))
    assert stopped(planner) == []
    assert [worker[0] for worker in workers_of(planner, urgent.job_id)] == ["s"] * expected


# A gang of 5 s needs 11.1 s on slow workers and has an objective of 11 s. Its slack on fast workers
# is 6 s.
@pytest.mark.parametrize(
    ("waited_s", "run_time_s", "expected"),
    [(0.0, 1.0, 2), (0.0, 5.0, 0), (2.9, 5.0, 0), (3.1, 5.0, 2)],
    ids=["in-time-on-slow", "waits", "end-of-its-wait", "waits-no-longer"],
)
def test_a_gang_waits_for_fast_workers_for_a_part_of_its_slack(
    waited_s: float, run_time_s: float, expected: int
) -> None:
    """Guards against gangs that miss their deadline on slow workers, or by waiting."""
    planner = make_uneven_planner()
    fill(planner, FAST, "b", URGENT)
    job = submit(planner, make_job([gang(2, run_time_s=run_time_s)], queue=GANGS))
    if waited_s:
        pass_time(planner, waited_s)
    assert len(workers_of(planner, job.job_id)) == expected


def test_a_gang_does_not_wait_for_workers_that_could_never_hold_it() -> None:
    """Guards against a wait for fast workers that are too few for the gang."""
    planner = make_uneven_planner()
    job = submit(planner, make_job([gang(5)], queue=GANGS))
    assert len(workers_of(planner, job.job_id)) == 5


def test_a_waiting_gang_reserves_the_fast_workers_that_it_waits_for() -> None:
    """Guards against shorter work that takes the fast workers one by one while a gang waits."""
    planner = make_uneven_planner()
    blocker = fill(planner, FAST, "b", URGENT)
    job = submit(planner, make_job([gang(2, run_time_s=5.0)], queue=GANGS))
    (reservation,) = planner.cell.reservations_by_id.values()
    assert reservation.job_id.startswith(job.job_id)
    reserved = {worker for worker, _ in reservation.worker_masks}
    assert reserved <= set(FAST)
    for worker, rows in tasks_by_worker(planner).items():
        if worker in reserved:
            for task, run, _ in rows:
                assert task.startswith(blocker)
                end_task(planner, task, EndKind.DONE, run=run)
                submit(planner, make_job([BATCH_TASK], name=task[-1] * 16, queue=BATCH))
    assert set(workers_of(planner, job.job_id)) == reserved


def test_headroom_is_kept_on_fast_workers() -> None:
    """Guards against slow workers that stay empty for urgent gangs, which prefer fast ones."""
    planner = make_uneven_planner()
    planner.job_builder.headroom_workers = lambda planner: 2  # type: ignore[method-assign]
    job = submit(planner, make_job([Step(count=64, accelerators=1)], queue=BATCH))
    empty = {*FAST, *SLOW} - set(workers_of(planner, job.job_id))
    assert len(empty) == 2
    assert empty <= set(FAST)


@pytest.mark.parametrize(
    "speeds",
    [
        {},
        dict.fromkeys([*FAST, *SLOW], 1.0),
        {worker: 1.0 - 0.02 * n for n, worker in enumerate([*FAST, *SLOW[:3]])},
    ],
    ids=["unknown", "equal", "within-15-percent"],
)
def test_like_speeds_change_no_placement(speeds: dict[TargetId, float]) -> None:
    """Guards against placements that depend on speeds that do not differ."""
    assert _orders_of_a_session(speeds) == _orders_of_a_session({})
    assert _orders_of_a_session(SPEEDS) != _orders_of_a_session({})


def _orders_of_a_session(speeds: Mapping[TargetId, float]) -> list[object]:
    """Return the orders after each step of a random session."""
    rng = random.Random(3)
    planner = make_uneven_planner(speeds)
    found: list[object] = []
    for number in range(60):
        step, queue = rng.choice(
            [(gang(2), URGENT), (gang(3, accelerators=4), GANGS), (BATCH_TASK, BATCH)]
        )
        job = make_job([step], name=f"{number:016x}", queue=queue)
        submit(planner, msgspec.structs.replace(job, submitted_at_ms=planner.now_ms))
        pass_time(planner, 0.5)
        rows = [row for rows in tasks_by_worker(planner).values() for row in rows]
        for task, run, stop in rows:
            if stop or rng.random() < 0.1:
                end_task(planner, task, EndKind.STOPPED if stop else EndKind.DONE, run=run)
        found.append(tasks_by_worker(planner))
        jobs = planner.job_builder.make_queue(planner, planner.waiting_units()).values()
        if speeds is not SPEEDS:
            assert all(job.preferred == () for job in jobs)
    return found


@pytest.mark.parametrize(
    ("after", "first", "expected"),
    [
        ([(), (), ()], None, 3.0),
        ([(), (0,), (0, 1)], None, 6.0),
        ([(), (0,), (0, 1)], 1, 5.0),
        ([(), (0,), (0,)], None, 4.0),
        ([(), (0,), (0,)], 1, 2.0),
    ],
)
def test_the_longest_chain_of_a_job(
    after: list[tuple[int, ...]], first: int | None, expected: float
) -> None:
    """Guards against an objective of one step for a job of several."""
    steps = [
        Step(count=1, run_time_s=float(number + 1), after=earlier)
        for number, earlier in enumerate(after)
    ]
    assert longest_chain_s(steps, first) == expected
