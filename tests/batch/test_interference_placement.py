"""Placement of units apart from workloads that slow them down, where there is room."""

import random
from collections.abc import Mapping, Sequence

import msgspec
import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.interference_world import BATCH, TASK, A, B, World
from tests.batch.test_planner import make_planner, submit, tasks_by_worker
from tests.batch.test_speed_placement import set_speeds

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import Queue, Step
from chicorycrank.model.ids import RackId, TargetId
from chicorycrank.policy.interference import Pair
from chicorycrank.policy.separation import find_separate_placement
from chicorycrank.policy.slow_down_estimates import PairEstimate

WORKERS = [TargetId(f"w{number}") for number in range(4)]
URGENT, GANGS = make_queue(priority=0, name="urgent"), make_queue(priority=1, name="gangs")
KNOWN = PairEstimate(log_slow_down=0.405, evidence=150.0, workers=5)


def find(planner: Planner, pairs: Sequence[Pair] = ((A, B),)) -> None:
    """Let the planner know that workloads slow each other down."""
    planner.interference.restore(dict.fromkeys(pairs, KNOWN), pairs, planner.now_s)


def step(image: str, count: int = 1, accelerators: int = 1, **changes: object) -> Step:
    return msgspec.structs.replace(
        TASK, image=image, count=count, accelerators=accelerators, **changes
    )


def start(planner: Planner, name: str, a_step: Step, queue: Queue = BATCH) -> list[str]:
    """Submit a job, and return the workers of its tasks."""
    job = submit(planner, make_job([a_step], name=name * 16, queue=queue))
    return workers_of(planner, job.job_id)


def workers_of(planner: Planner, job_id: str) -> list[str]:
    return sorted(
        worker
        for worker, rows in tasks_by_worker(planner).items()
        for task, _, is_stopped in rows
        if task.startswith(job_id) and not is_stopped
    )


@pytest.mark.parametrize("pair", [(A, B), (B, A)], ids=["slowed-down", "slows-down"])
@pytest.mark.parametrize(
    ("image", "is_apart"), [("b", True), ("a", False), ("c", False), ("", False)]
)
def test_a_task_starts_apart_from_a_disturbing_workload(
    pair: Pair, image: str, is_apart: bool
) -> None:
    """Guards against pairs that are found and left beside each other."""
    planner = make_planner(WORKERS)
    find(planner, [pair])
    first = start(planner, "1", step("a"))
    assert (start(planner, "2", step(image)) != first) is is_apart


def test_tasks_that_start_in_one_plan_are_kept_apart() -> None:
    """Guards against pairs that come beside each other as both were waiting."""
    planner = make_planner(WORKERS)
    find(planner)
    for number in range(6):
        job = make_job([step("ab"[number % 2])], name=f"{number:016d}", queue=BATCH)
        planner.add_job(job, None)
    planner.plan()
    by_worker = {
        worker: {int(row[0].partition(".")[0]) % 2 for row in rows}
        for worker, rows in tasks_by_worker(planner).items()
    }
    assert sorted(map(sorted, by_worker.values())) == [[0], [1]]


def test_a_task_starts_at_once_beside_a_disturbing_workload_if_there_is_no_other_room() -> None:
    """Guards against work that waits or is refused although workers have room for it."""
    planner = make_planner(WORKERS)
    find(planner)
    first = start(planner, "1", step("a", count=4, accelerators=7))
    assert len(set(first)) == 4
    assert len(start(planner, "2", step("b", count=4))) == 4


def test_the_last_empty_workers_stay_free_for_gangs() -> None:
    """Guards against whole workers that are broken up to keep two small tasks apart."""
    planner = make_planner(WORKERS)
    find(planner)
    start(planner, "1", step("c", count=2, accelerators=8))
    first = start(planner, "2", step("a"))
    # One of four workers is empty, which is no more than a quarter.
    assert start(planner, "3", step("b")) == first


@pytest.mark.parametrize(
    ("members", "is_apart"), [(2, True), (10, False)], ids=["fits", "fits-nowhere-else"]
)
def test_a_gang_is_kept_apart_only_if_it_stays_as_compact(members: int, is_apart: bool) -> None:
    """Guards against gangs that are spread over racks, which costs them more."""
    planner = make_planner(WORKERS)
    for worker in WORKERS:
        rack = RackId("r1" if worker in WORKERS[:2] else "r2")
        planner.apply_report(worker, make_report(f"i-{worker}:1", rack=rack))
    find(planner)
    # Rack 2 has too little room for the larger gang, and rack 1 only beside the workload.
    filler = step("c", count=2, accelerators=4, label="fill")
    for worker in WORKERS[2:]:
        report = make_report(f"i-{worker}:1", rack=RackId("r2"), labels=("fill",))
        planner.apply_report(worker, report)
    start(planner, "1", msgspec.structs.replace(filler, max_per_worker=1))
    planner.plan()
    planner.apply_report(WORKERS[0], make_report(f"i-{WORKERS[0]}:1", labels=("one",)))
    (first,) = start(planner, "2", step("a", label="one"))
    gang = step("b", count=members, gang=True, same_rack=True)
    workers = start(planner, "3", gang, GANGS)
    racks = {planner.workers.by_id[TargetId(worker)].report.rack for worker in workers}
    assert len(workers) == members
    assert len(racks) == 1
    assert (first not in workers) is is_apart


@pytest.mark.parametrize(("priority", "expected"), [(0, "f"), (2, "s")], ids=["urgent", "batch"])
def test_speed_comes_before_separation(priority: int, expected: str) -> None:
    """Guards against urgent work on slow workers, which costs more than a neighbour."""
    fast, slow = TargetId("f0"), TargetId("s0")
    planner = make_planner([fast, slow])
    find(planner)
    for name, worker in (("1", fast), ("2", slow)):
        other = slow if worker == fast else fast
        planner.workers.set_present(other, False)
        start(planner, name, step("a" if worker[0] == expected else "c"))
        planner.workers.set_present(other, True)
    set_speeds(planner, {fast: 1.0, slow: 0.45})
    queue = make_queue(priority=priority, name="queue")
    assert [worker[0] for worker in start(planner, "3", step("b"), queue)] == [expected]


def test_an_urgent_task_starts_beside_a_disturbing_workload_without_evictions() -> None:
    """Guards against evictions for the sake of separation."""
    planner = make_planner(WORKERS[:1])
    find(planner)
    start(planner, "1", step("a"))
    assert start(planner, "2", step("b"), URGENT) == [WORKERS[0]]
    assert not any(row[2] for rows in tasks_by_worker(planner).values() for row in rows)


CELL_CASES = {
    # By worker: rack, speed, free accelerators of 8, and what runs there.
    "other-worker": ({"w0": ("r1", 1.0, 2, "a"), "w1": ("r1", 1.0, 2, "c")}, "w1"),
    "slower": ({"w0": ("r1", 1.0, 2, "a"), "w1": ("r1", 0.5, 2, "c")}, "w0"),
    "more-workers": (
        {"w0": ("r1", 1.0, 2, "a"), "w1": ("r1", 1.0, 1, "c"), "w2": ("r1", 1.0, 1, "c")},
        "w0",
    ),
    "other-rack": (
        {
            "w0": ("r1", 1.0, 1, "a"),
            "w1": ("r1", 1.0, 1, "c"),
            "w2": ("r2", 1.0, 1, "c"),
            "w3": ("r2", 1.0, 1, "c"),
        },
        "w2 w3",
    ),
    "more-racks": (
        {
            "w0": ("r1", 1.0, 1, "a"),
            "w1": ("r1", 1.0, 1, "c"),
            "w2": ("r2", 1.0, 1, "c"),
            "w3": ("r3", 1.0, 1, "c"),
        },
        "w0 w1",
    ),
}


@pytest.mark.parametrize(("workers", "expected"), CELL_CASES.values(), ids=[*CELL_CASES])
def test_a_placement_apart_is_as_good_in_all_other_respects(
    workers: Mapping[str, tuple[str, float, int, str]], expected: str
) -> None:
    """Guards against gangs that are slower or less compact for the sake of separation."""
    planner = make_planner([TargetId(worker) for worker in workers])
    find(planner)
    for worker, (rack, _, free, image) in workers.items():
        report = make_report(f"i-{worker}:1", rack=RackId(rack), labels=(worker,))
        planner.apply_report(TargetId(worker), report)
        start(planner, worker[-1], step(image, accelerators=8 - free, label=worker))
    cell = planner.cell
    # Speeds that no class tells apart, as in the last attempt to place an urgent gang.
    cell.speed_by_worker = {TargetId(worker): row[1] for worker, row in workers.items()}
    gang = make_job([step("b", count=2, gang=True)], name="b" * 16, queue=GANGS)
    planner.add_job(gang, None)
    (ref,) = planner.waiting_units_of(gang.job_id)
    job = planner.job_builder.make_queued_job(planner, ref)
    placement = find_separate_placement(cell, job)
    assert " ".join(sorted({worker for worker, _ in placement or ()})) == expected


def decisions_of(seed: int, *, pairs: Sequence[Pair], uses_pairs: bool) -> list[object]:
    """Return where the units of a random course of jobs start."""
    world = World(time_by_worker=dict.fromkeys(WORKERS, 1.0), choose=random.Random(seed))
    planner = world.planner
    planner.avoids_interference = uses_pairs
    if pairs:
        find(planner, pairs)
    starts: list[object] = []
    for number in range(30):
        is_gang = world.choose.random() < 0.3
        a_step = step(
            world.choose.choice("abc"),
            count=world.choose.randint(1, 6),
            accelerators=world.choose.choice([1, 2, 4]),
            gang=is_gang,
            same_rack=is_gang,
        )
        queue = URGENT if number % 7 == 0 else GANGS if is_gang else BATCH
        world.submit(a_step, f"{number:016d}", queue=queue)
        world.pass_time(1.0)
        starts.append(tasks_by_worker(planner))
        if number % 3 == 2:
            world.report_rates()
            world.end_all()
            world.pass_time(0.1)
    return starts


@pytest.mark.parametrize("seed", range(4))
def test_without_a_found_pair_the_decisions_are_those_without_this_part(seed: int) -> None:
    """Guards against placements that change for workloads that do not disturb each other."""
    without = decisions_of(seed, pairs=(), uses_pairs=False)
    assert decisions_of(seed, pairs=(), uses_pairs=True) == without
    # The same course differs once a pair is known, so the comparison can fail.
    assert decisions_of(seed, pairs=[(A, B)], uses_pairs=True) != without


@pytest.mark.parametrize(("free", "is_apart"), [(4, True), (1, False)], ids=["room", "no-room"])
def test_a_pair_that_was_learned_is_kept_apart_where_there_is_room(
    free: int, is_apart: bool
) -> None:
    """Guards against parts that work each for itself: rates, pairs and placement."""
    workers = [TargetId(f"w{number:02d}") for number in range(12)]
    world = World(time_by_worker=dict.fromkeys(workers, 1.0), choose=random.Random(1))
    for _ in range(15):
        world.run_round(["a", "b", "c"])
    assert len(world.planner.interference.found) == 2
    for worker in workers[free:]:
        world.planner.workers.set_present(worker, False)
    world.submit(step("a", count=3), "1" * 16)
    world.submit(step("b", count=3), "2" * 16)
    world.pass_time(1.0)
    assert len(workers_of(world.planner, "1" * 16) + workers_of(world.planner, "2" * 16)) == 6
    assert (world.together() == 0) is is_apart
