"""Reservations for jobs that can never start."""

from dataclasses import replace

import msgspec
import pytest
from tests.policy.conftest import (
    CORES,
    MEMORY_GB,
    NOW_S,
    TEAMS,
    make_job,
    make_workers,
    run_job,
)

from chicorycrank.policy.cell import Cell, QueuedJob
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Start

GANG = make_job("gang", "red", 3, 4)


@pytest.fixture
def cell() -> Cell:
    cell = Cell()
    cell.set_config(TEAMS, {})
    for worker in make_workers("a a a", 8):
        cell.set_worker(worker)
    return cell


def with_shape(job: QueuedJob, **changes: int) -> QueuedJob:
    return replace(job, shape=msgspec.structs.replace(job.shape, **changes))


@pytest.mark.parametrize("urgent", [True, False])
@pytest.mark.parametrize(
    "changes", [{"cores": CORES + 1}, {"memory_gb": MEMORY_GB + 1}], ids=["cores", "memory"]
)
def test_a_gang_that_fits_on_no_empty_worker_reserves_nothing(
    cell: Cell, changes: dict[str, int], urgent: bool
) -> None:
    """Guards against idle workers that a job holds although it can never start."""
    gang = replace(with_shape(GANG, **changes), urgent=urgent)
    small = make_job("small", "blue", 1, 8)
    decisions = decide(cell, [gang, small], NOW_S)
    assert [d.job_id for d in decisions if isinstance(d, Start)] == ["small"]
    assert not cell.reservations_by_id


def test_a_reservation_ends_when_its_workers_shrink(cell: Cell) -> None:
    """Guards against a reservation on workers on which the job does not fit any more."""
    gang = replace(with_shape(GANG, cores=CORES), urgent=True)
    run_job(cell, make_job("running", "blue", 1, 8, urgent=True), 0, tuple(range(8)))
    decide(cell, [gang], NOW_S)
    assert set(cell.reservations_by_id) == {"gang"}
    for worker in make_workers("a a a", 8):
        cell.set_worker(replace(worker, cores=CORES - 1))
    decisions = decide(cell, [gang, make_job("small", "blue", 1, 8)], NOW_S)
    assert [d.job_id for d in decisions if isinstance(d, Start)] == ["small"]
    assert not cell.reservations_by_id
