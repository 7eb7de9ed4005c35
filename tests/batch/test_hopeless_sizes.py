"""Jobs and workers with numbers so large that a plan must not allocate memory in proportion."""

import logging
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.test_planner import WORKERS, make_planner, tasks_by_worker
from tests.batch.test_urgent_waits import LATE_MS, URGENT, set_late, waiting_lines

from chicorycrank.batch.planner import Planner
from chicorycrank.batch.urgent_waits import UrgentWaitLog
from chicorycrank.model.batch import Step
from chicorycrank.policy.packing import MAX_ACCELERATORS_PER_WORKER, blocks, choose_blocks

LARGEST = 2**53 - 1  # of a number in a submission
# An entry may use 300 MB in all.
PEAK_LIMIT_BYTES = 20_000_000
HOPELESS_STEPS = {
    "accelerators": Step(count=1, accelerators=2**31),
    "most-accelerators": Step(count=1, accelerators=LARGEST),
    "gang-of-accelerators": Step(count=3, accelerators=2**31, gang=True),
    "gang-members": Step(count=2**40, accelerators=8, gang=True),
    "gang-members-without-accelerators": Step(count=2**40, cores=1000, gang=True),
    "cores": Step(count=1, accelerators=1, cores=LARGEST),
    "memory": Step(count=1, accelerators=1, memory_mb=LARGEST),
}


@contextmanager
def limited_memory() -> Iterator[None]:
    tracemalloc.start()
    try:
        yield
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < PEAK_LIMIT_BYTES


def plan_late(planner: Planner) -> None:
    """Plan after urgent jobs have waited for long, and log what they wait for."""
    set_late(planner, planner.now_ms + LATE_MS)
    planner.plan()
    UrgentWaitLog().update(planner)


@pytest.mark.parametrize("name", HOPELESS_STEPS)
def test_a_job_that_no_worker_can_hold_waits_and_holds_up_no_other(
    name: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a leader that is ended by its memory, so that no other job starts."""
    planner = make_planner()
    planner.add_job(make_job([HOPELESS_STEPS[name]], name="c" * 16, queue=URGENT), None)
    with limited_memory(), caplog.at_level(logging.WARNING, logger="absl"):
        plan_late(planner)
        planner.add_job(make_job([Step(count=1, accelerators=1)], name="d" * 16), None)
        plan_late(planner)
    (tasks,) = tasks_by_worker(planner).values()
    assert [task for task, _, _ in tasks] == ["d" * 16 + ".0.0.0"]
    lines = waiting_lines(caplog)
    assert [line["cause"] for line in lines] == ["exceeds-capacity"] * len(lines)
    assert lines


def test_a_worker_that_says_it_has_any_number_of_accelerators_gets_work() -> None:
    """Guards against a leader that is ended by what an executor says of itself."""
    planner = make_planner(WORKERS[:1])
    with limited_memory():
        report = make_report("i-huge:1", accelerators=LARGEST)
        planner.apply_report(WORKERS[1], report)
        planner.workers.set_present(WORKERS[1], True)
        step = Step(count=1, accelerators=16)
        planner.add_job(make_job([step], name="e" * 16, queue=URGENT), None)
        plan_late(planner)
    assert list(tasks_by_worker(planner)) == [WORKERS[1]]
    state = planner.cell.workers_by_id[WORKERS[1]]
    assert state.accelerators == MAX_ACCELERATORS_PER_WORKER


@pytest.mark.parametrize("size", [9, 2**31, LARGEST])
def test_no_block_is_larger_than_its_mask(size: int) -> None:
    """Guards against an allocation of as many bits as a job asks for accelerators."""
    with limited_memory():
        assert blocks(0b1111_1111, size) == ()
        assert choose_blocks(0b1111_1111, size, 1) is None
