"""Packing of single tasks on few workers and racks."""

import random

import pytest
from tests.policy.conftest import make_workers

from chicorycrank.model.ids import TargetId
from chicorycrank.model.jobs import Adjacency, GangShape
from chicorycrank.policy.packed_placement import find_packed_placement
from chicorycrank.policy.packing import full_mask, lowest_bits
from chicorycrank.policy.placement import ANY_WORKER, PlacementRule, find_placement
from chicorycrank.policy.pool import Pool

TASK = GangShape(members=1, accelerators=1, adjacency=Adjacency.ANY, cores=1)


def make_pool(racks: str, used: list[int]) -> Pool:
    """Return a pool of workers of 8 accelerators of which some are used."""
    pool = Pool()
    for worker, count in zip(make_workers(racks, 8), used, strict=True):
        pool.add(worker.worker, worker.rack, full_mask(8), 64, 250)
        pool.allocate(worker.worker, lowest_bits(full_mask(8), count))
    return pool


def chosen(pool: Pool, rule: PlacementRule = ANY_WORKER) -> str | None:
    placement = find_packed_placement(pool, TASK, rule)
    return placement[0][0] if placement else None


@pytest.mark.parametrize(
    ("racks", "used", "expected"),
    [
        ("a a b b", [8, 8, 8, 8], None),
        ("a a b b", [0, 0, 0, 0], "w0"),
        ("a a b b", [0, 0, 1, 0], "w2"),
        ("a a b b", [1, 4, 0, 0], "w1"),
        ("a a b b", [1, 7, 0, 0], "w1"),
        ("a a b b", [1, 0, 4, 4], "w2"),
        ("a a b b", [7, 0, 4, 8], "w2"),
        ("a a b b", [0, 0, 8, 0], "w3"),
        ("a b b b", [0, 8, 0, 0], "w2"),
    ],
    ids=[
        "full",
        "empty",
        "worker-in-use",
        "fuller-worker",
        "odd-number-left",
        "fuller-rack",
        "rack-before-worker",
        "empty-worker-of-rack-in-use",
        "large-rack-in-use",
    ],
)
def test_a_task_goes_where_it_keeps_most_whole_workers_free(
    racks: str, used: list[int], expected: str | None
) -> None:
    """Guards against a task on an empty worker or in an empty rack while others have room."""
    assert chosen(make_pool(racks, used)) == expected


def test_closed_and_excluded_workers_and_those_without_cores_get_no_task() -> None:
    """Guards against a packed task on a worker that may not run it."""
    pool = make_pool("a a a a", [7, 6, 5, 4])
    pool.close(TargetId("w0"))
    pool.allocate(TargetId("w1"), 0, 64)
    rule = PlacementRule(workers=frozenset(map(TargetId, ("w0", "w1", "w3"))))
    assert chosen(pool) == "w2"
    assert chosen(pool, rule) == "w3"


@pytest.mark.parametrize("seed", range(3))
def test_packed_tasks_keep_more_whole_workers_free(seed: int) -> None:
    """Guards against tasks that end and start at random and so use every worker a little."""
    racks = " ".join(f"r{number // 4}" for number in range(24))
    free_by_search = {}
    for search in (find_placement, find_packed_placement):
        rng = random.Random(seed)
        pool = make_pool(racks, [8] * 24)
        running = [(TargetId(f"w{n}"), 1 << bit) for n in range(24) for bit in range(8)]
        total = 0
        for step in range(600):
            worker, mask = running.pop(rng.randrange(len(running)))
            pool.release(worker, mask)
            if len(running) < 90:
                placement = search(pool, TASK, ANY_WORKER)
                assert placement is not None
                pool.allocate(*placement[0])
                running.append(placement[0])
            total += sum(mask == full_mask(8) for mask in pool.masks.values()) if step > 300 else 0
        free_by_search[search] = total
    assert free_by_search[find_packed_placement] > free_by_search[find_placement]
