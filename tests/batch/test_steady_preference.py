"""Preference of gangs for workers that were not interrupted lately."""

from collections.abc import Sequence

import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import WORKERS, make_planner, submit, tasks_by_worker
from tests.batch.test_speed_placement import set_speeds

from chicorycrank.batch.planner import Planner
from chicorycrank.batch.steady_preference import steady_first, without_restricted
from chicorycrank.model.batch import Queue, Step
from chicorycrank.model.ids import TargetId
from chicorycrank.policy.worker_preference import JobKind

GANG = Step(count=2, accelerators=4, cores=1000, run_time_s=20.0, gang=True)
URGENT_QUEUE = make_queue(priority=0, name="u")


def workers(names: str) -> frozenset[TargetId]:
    return frozenset(map(TargetId, names))


def sets(names: str) -> tuple[frozenset[TargetId], ...]:
    return tuple(map(workers, names.split()))


@pytest.mark.parametrize(
    ("preferred", "unsteady", "kind", "expected"),
    [
        ("", "", JobKind.GANG, ""),
        ("", "a", JobKind.GANG, "bcd"),
        ("", "a", JobKind.URGENT, "bcd abcd"),
        ("", "abcd", JobKind.GANG, ""),
        ("", "abcd", JobKind.URGENT, ""),
        ("", "x", JobKind.URGENT, ""),
        ("ab abc", "a", JobKind.GANG, "b ab bc abc"),
        ("ab abc", "a", JobKind.URGENT, "b ab bc abc"),
        ("ab abc", "ab", JobKind.URGENT, "ab c abc"),
    ],
)
def test_steady_workers_come_first_among_those_that_are_alike(
    preferred: str, unsteady: str, kind: JobKind, expected: str
) -> None:
    """Guards against slow workers before fast ones, and evictions for a steady worker."""
    found = steady_first(sets(preferred), workers("abcd"), workers(unsteady), kind)
    assert found == sets(expected)


@pytest.mark.parametrize(
    ("preferred", "restricted", "expected"),
    [("", "a", "bcd"), ("", "abcd", ""), ("ab abc", "a", "b bc"), ("a abc", "a", "bc")],
)
def test_restricted_workers_are_left_out_of_what_is_tried_first(
    preferred: str, restricted: str, expected: str
) -> None:
    """Guards against an urgent job that is kept from all workers, as all of them flap."""
    assert without_restricted(sets(preferred), workers("abcd"), workers(restricted)) == sets(
        expected
    )


def interrupt(planner: Planner, names: Sequence[TargetId]) -> None:
    for worker in names:
        planner.apply_report(worker, make_report(f"i-{worker}:2"))


def placed_on(planner: Planner, name: str) -> set[str]:
    return {
        worker
        for worker, rows in tasks_by_worker(planner).items()
        if any(task.startswith(name * 16) for task, _, _ in rows)
    }


@pytest.mark.parametrize("queue", [make_queue(), URGENT_QUEUE], ids=["gang", "urgent"])
@pytest.mark.parametrize("steady", WORKERS)
def test_a_gang_goes_to_a_worker_that_has_stayed_up(steady: TargetId, queue: Queue) -> None:
    """Guards against gangs on a worker that has just come back, and may leave again."""
    planner = make_planner()
    interrupt(planner, [worker for worker in WORKERS if worker != steady])
    submit(planner, make_job([GANG], queue=queue))
    assert placed_on(planner, "a") == {steady}


@pytest.mark.parametrize("queue", [make_queue(), URGENT_QUEUE], ids=["gang", "urgent"])
def test_a_single_restart_keeps_nothing_off_a_worker(queue: Queue) -> None:
    """Guards against capacity that is left empty, or work evicted, after a planned release."""
    planner = make_planner(quota=24)
    step = Step(count=2, accelerators=8, cores=1000, run_time_s=60.0)
    planner.workers.set_present(WORKERS[0], False)
    submit(planner, make_job([step], name="f" * 16))
    planner.workers.set_present(WORKERS[0], True)
    assert placed_on(planner, "f") == {*WORKERS[1:]}
    interrupt(planner, WORKERS[:1])
    submit(planner, make_job([GANG], queue=queue))
    assert placed_on(planner, "a") == {WORKERS[0]}
    assert not any(row[2] for rows in tasks_by_worker(planner).values() for row in rows)


@pytest.mark.parametrize("queue", [make_queue(), URGENT_QUEUE], ids=["gang", "urgent"])
def test_speed_counts_more_than_an_interruption(queue: Queue) -> None:
    """Guards against a gang that is late on slow workers, as a fast one has restarted once."""
    planner = make_planner()
    slow = WORKERS[1:]
    set_speeds(planner, {WORKERS[0]: 1.0, **dict.fromkeys(slow, 0.4)})
    interrupt(planner, WORKERS[:1])
    submit(planner, make_job([GANG], queue=queue))
    assert placed_on(planner, "a") == {WORKERS[0]}


def test_single_tasks_have_no_preference() -> None:
    """Guards against whole workers that are broken up by tasks that lose little anyway."""
    planner = make_planner()
    submit(planner, make_job([Step(count=1, accelerators=4, run_time_s=60.0)], name="f" * 16))
    (used,) = map(TargetId, placed_on(planner, "f"))
    for is_unreachable in (True, False):
        planner.apply_report(used, make_report(f"i-{used}:1", is_unreachable=is_unreachable))
    submit(planner, make_job([Step(count=1, accelerators=4, run_time_s=60.0)], name="b" * 16))
    assert planner.interruptions.recent(planner.now_s) == {used}
    assert placed_on(planner, "b") == {used}
