"""Workloads that slow each other down, as the leader learns them from the rates of runs."""

import logging
import math
import random
from collections.abc import Mapping, Sequence

import msgspec
import pytest
from prometheus_client import REGISTRY
from tests.batch.fakes import make_job, make_report
from tests.batch.interference_world import MUTUAL, TASK, A, B, C, World
from tests.batch.test_planner import make_planner, submit

from chicorycrank.batch.interference_records import (
    MAX_PAIRS_IN_METRICS,
    MAX_WORKLOAD_LENGTH,
    show_metrics,
    workload_of,
)
from chicorycrank.model.batch import Step
from chicorycrank.model.ids import TargetId, Workload
from chicorycrank.policy.interference import (
    MAX_PAIRS,
    FoundPair,
    Interference,
    Pair,
    neighbour_amount,
)
from chicorycrank.policy.slow_down_estimates import PairEstimate, RunObservation

WORKERS = [TargetId(f"w{number:02d}") for number in range(12)]
SLOW = WORKERS[::3]
TIMES = {worker: 1.8 if worker in SLOW else 0.9 for worker in WORKERS}
IMAGES = ["a", "b", "c"]
ALONE = [("a",), ("b",), ("c",)]
TOGETHER = [("a", "b")]
SEEDS = range(4)


def make_world(seed: int, slow_downs: Mapping[Pair, float] = MUTUAL, **changes: object) -> World:
    arguments = {"time_by_worker": TIMES, "choose": random.Random(seed), **changes}
    return World(slow_downs=dict(slow_downs), **arguments)  # type: ignore[arg-type]


def observe(
    interference: Interference,
    workload: str,
    neighbours: Sequence[str],
    *,
    worker: TargetId = WORKERS[0],
    log_rate: float = 0.0,
    at_s: float = 1.0,
) -> None:
    interference.observe(
        Workload(workload),
        RunObservation(
            worker=worker,
            run=worker,
            group=f"{workload}-{at_s}",
            group_variance=0.16,
            log_rate=log_rate,
            amounts={Workload(neighbour): 1.0 for neighbour in neighbours},
            at_s=at_s,
        ),
    )


def found_pairs(world: World) -> set[Pair]:
    return {(pair.workload, pair.neighbour) for pair in world.planner.interference.found}


def run_rounds(world: World, rounds: int) -> set[Pair]:
    """Run rounds, and return all pairs that were found in any of them."""
    ever: set[Pair] = set()
    for _ in range(rounds):
        world.run_round(IMAGES)
        ever |= found_pairs(world)
    return ever


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "slow_downs", [MUTUAL, {(A, B): 1.5}, {(A, A): 1.0, (B, C): 2.0}], ids=["both", "one", "other"]
)
def test_a_pair_that_slows_down_is_found_with_few_rates(
    slow_downs: Mapping[Pair, float], seed: int
) -> None:
    """Guards against pairs that stay beside each other, as their effect is put down to workers.

    Declared run times are off by up to two, a third of the workers is slow, and tasks differ.
    """
    world = make_world(seed, slow_downs)
    assert run_rounds(world, 15) == {pair for pair, factor in slow_downs.items() if factor > 1.0}
    assert world.shared <= 200
    for pair in world.planner.interference.found:
        expected = slow_downs[pair.workload, pair.neighbour]
        assert pair.slow_down == pytest.approx(expected, rel=0.2)


@pytest.mark.parametrize("seed", range(8))
def test_differences_between_tasks_alone_are_no_interference(seed: int) -> None:
    """Guards against workloads that are kept apart for nothing, by chance."""
    assert run_rounds(make_world(seed, {}), 25) == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_slow_workers_are_not_taken_for_interference(seed: int) -> None:
    """Guards against a pair that looks slow, as only slow workers run both of them."""
    world = make_world(seed, {}, time_by_worker={**TIMES, **dict.fromkeys(SLOW, 2.7)})
    choices = {worker: TOGETHER if worker in SLOW else ALONE for worker in WORKERS}
    for _ in range(20):
        world.run_round(IMAGES, choices)
        assert found_pairs(world) == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_a_pair_that_is_always_together_is_not_found(seed: int) -> None:
    """Guards against a workload declared too short that is put down to its only neighbour."""
    world = make_world(seed, {})
    for _ in range(15):
        choices = dict.fromkeys(WORKERS, (("a", "b"),))
        world.run_round(["a", "b"], choices, {"a": 2.0, "b": 2.0}, per_worker=1)
        assert found_pairs(world) == set()


@pytest.mark.parametrize(("count", "is_found"), [(2, False), (4, True)])
def test_a_pair_has_to_be_seen_on_several_workers(count: int, is_found: bool) -> None:
    """Guards against a fault of one worker that counts as interference."""
    interference = Interference()
    for number in range(20):
        for index, worker in enumerate(WORKERS):
            is_shared = index < count and number % 2 == 0
            observe(
                interference,
                "a",
                ["b"] if is_shared else [],
                worker=worker,
                log_rate=-0.8 if is_shared else 0.0,
                at_s=float(number),
            )
    interference.update(20.0)
    assert bool(interference.found) is is_found


def test_a_speed_that_was_learned_beside_the_pair_hides_only_a_part_of_it() -> None:
    """Guards against pairs that are not found, as their workers count as slow because of them.

    The runs of another workload there show that the speed is too low by a factor of 1.25.
    """
    interference = Interference()
    for number in range(20):
        for worker in WORKERS:
            is_shared = worker in SLOW
            error = math.log(1.25) if is_shared else 0.0
            observe(
                interference,
                "a",
                ["b"] if is_shared else [],
                worker=worker,
                log_rate=error - math.log(1.6) * is_shared,
                at_s=5.0 * number,
            )
            observe(interference, "c", [], worker=worker, log_rate=error, at_s=5.0 * number)
        interference.update(5.0 * number)
    (found,) = interference.found
    assert found.slow_down > 1.4


@pytest.mark.parametrize("seed", SEEDS)
def test_a_worker_is_not_taken_for_slow_because_of_a_found_pair(seed: int) -> None:
    """Guards against gangs that avoid the workers on which the disturbing work happens to run."""
    shared = WORKERS[1]
    alone = {worker: ALONE for worker in WORKERS if worker not in (shared, *WORKERS[4:9])}
    with_pair, without_pair = make_world(seed), make_world(seed, {})
    for world in (with_pair, without_pair):
        run_rounds(world, 15)
        for _ in range(6):
            world.run_round(["a", "b"], alone | {shared: TOGETHER})
    speeds = [world.planner.performance.speed_of(shared) for world in (with_pair, without_pair)]
    assert speeds[0] == pytest.approx(speeds[1], rel=0.25)


def test_workers_of_unknown_speed_contribute_nothing() -> None:
    """Guards against a slow worker that counts as interference before its speed is known."""
    world = make_world(0)
    world.planner.performance.is_known = lambda worker: False  # type: ignore[method-assign]
    run_rounds(world, 5)
    assert world.planner.interference.estimates() == {}


@pytest.mark.parametrize("seed", SEEDS)
def test_a_pair_is_forgotten_after_it_has_ceased(seed: int) -> None:
    """Guards against workloads that are kept apart for good, after a new version of an image."""
    world = make_world(seed)
    run_rounds(world, 15)
    world.slow_downs = {}
    rounds = 0
    while found_pairs(world) and rounds < 25:
        world.run_round(IMAGES)
        rounds += 1
    assert found_pairs(world) == set()


def test_a_pair_without_rates_is_forgotten(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a pair that is never tried again, as it is kept apart."""
    world = make_world(0)
    with caplog.at_level(logging.INFO, logger="absl"):
        run_rounds(world, 15)
        counts = []
        for _ in range(80):
            world.pass_time(10.0)
            counts.append(len(world.planner.interference.found))
    assert counts[0] == 2
    assert counts[17] == 2  # three minutes later
    assert counts[-1] == 0
    assert world.planner.interference.estimates() == {}
    events = [line.split()[0] for line in caplog.messages if line.startswith("event=interference")]
    assert sorted(events) == ["event=interference_found"] * 2 + ["event=interference_gone"] * 2


def test_nothing_is_observed_if_it_is_switched_off() -> None:
    """Guards against a setting without effect."""
    world = make_world(0)
    world.planner.avoids_interference = False
    run_rounds(world, 10)
    assert world.planner.interference.estimates() == {}
    assert world.planner.cell.disturbing_workloads == {}


# Bounds, and what is observed.


def test_pairs_are_bounded_and_those_with_the_least_evidence_are_dropped() -> None:
    """Guards against memory and a stored record that grow with the names of images."""
    interference = Interference()
    for round_number in range(3):
        for number in range(40):
            for other in range(40):
                observe(interference, f"w{number}", [f"n{other}"], at_s=float(round_number))
    interference.update(10.0)
    assert len(interference.estimates()) <= MAX_PAIRS
    assert len(interference._window_by_workload) <= MAX_PAIRS
    strong = {
        (Workload(f"x{number}"), Workload("y")): PairEstimate(
            log_slow_down=0.1, evidence=float(number + 1), workers=3
        )
        for number in range(2 * MAX_PAIRS)
    }
    interference = Interference()
    interference._restored, interference._restored_at_s = strong, 0.0
    interference.update(0.0)
    kept = {pair[0] for pair in interference.estimates()}
    assert kept == {Workload(f"x{number}") for number in range(MAX_PAIRS, 2 * MAX_PAIRS)}


@pytest.mark.parametrize("rate", [-1e9, 1e9])
def test_one_impossible_rate_finds_nothing(rate: float) -> None:
    """Guards against one wrong report that keeps workloads apart."""
    interference = Interference()
    for worker in WORKERS[:4]:
        log_rate = rate if worker == WORKERS[0] else 0.0
        observe(interference, "a", ["b"], worker=worker, log_rate=log_rate)
    interference.update(10.0)
    assert interference.found == ()


@pytest.mark.parametrize(
    ("image", "expected"),
    [
        ("solver:3", "solver:3"),
        ("", "queue:q/0"),
        ("two words", "two_words#"),
        ("event=x\nevent=y", "event_x_event_y#"),
        ("i" * 500, "i" * 31 + "#"),
    ],
)
def test_workloads_have_short_names_of_one_word(image: str, expected: str) -> None:
    """Guards against log lines and records that an image's name makes unreadable or large."""
    name = workload_of(make_job([Step(count=1, image=image)]), 0)
    assert name.startswith(expected)
    assert len(name) <= MAX_WORKLOAD_LENGTH
    assert name == expected or len(name) == len(expected) + 8
    other = workload_of(make_job([Step(count=1, image=f"{image} ")]), 0)
    assert other != name


@pytest.mark.parametrize(("share", "amount"), [(0.0, 0.0), (0.0625, 0.5), (0.125, 1.0), (1.0, 1.0)])
def test_a_small_neighbour_counts_less(share: float, amount: float) -> None:
    """Guards against blame for a workload that uses almost nothing of its worker."""
    assert neighbour_amount(share) == pytest.approx(amount)


def test_the_members_of_a_gang_are_no_neighbours_of_each_other() -> None:
    """Guards against gangs that are spread, as their members slow each other down."""
    planner = make_planner(WORKERS[:1])
    gang = msgspec.structs.replace(TASK, count=2, gang=True, image="a")
    submit(planner, make_job([gang], name="g" * 16))
    submit(planner, make_job([msgspec.structs.replace(TASK, image="b")], name="b" * 16))
    planner.performance.is_known = lambda worker: True  # type: ignore[method-assign]
    planner.set_time(planner.now_s + 10, planner.now_ms + 10_000)
    tasks = list(planner.members_by_worker[WORKERS[0]])
    assert len(tasks) == 3
    rates = dict.fromkeys(tasks, (1, 100))
    planner.apply_report(WORKERS[0], make_report(f"i-{WORKERS[0]}:1", work_rates=rates))
    planner.plan()
    assert planner.interference.estimates().keys() == {(A, B), (B, A)}


def test_the_labels_of_the_metric_are_bounded() -> None:
    """Guards against a metric with a label for each image that a fleet has ever run."""
    pairs = tuple(
        FoundPair(workload=A, neighbour=Workload(f"n{n}"), slow_down=1.5, evidence=9, workers=3)
        for n in range(100)
    )
    name = "chicorycrank_interference_slow_down"
    show_metrics(pairs)
    samples = [metric for metric in REGISTRY.collect() if metric.name == name]
    assert len(samples[0].samples) == MAX_PAIRS_IN_METRICS
    assert REGISTRY.get_sample_value(name, {"workload": "a", "neighbour": "n0"}) == 1.5
    assert REGISTRY.get_sample_value("chicorycrank_interference_pairs") == 100
    show_metrics(())
    assert REGISTRY.get_sample_value(name, {"workload": "a", "neighbour": "n0"}) is None
