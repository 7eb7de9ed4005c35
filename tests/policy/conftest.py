"""Cells, workers and jobs for the tests of the scheduling policy."""

import pytest
from pytest_bdd import given, parsers

from chicorycrank.model.config import Guarantee, Team
from chicorycrank.model.ids import GuaranteeId, JobId, RackId, RegionId, TargetId, TeamId, ZoneId
from chicorycrank.model.jobs import Adjacency, GangShape, MemberPlacement, WorkKind
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob, WorkerState

NOW_S = 100_000.0
CORES = 64
MEMORY_GB = 250
TEAMS = {TeamId(name): Team() for name in ("red", "green", "blue")}


def make_job(
    name: str,
    team: str,
    members: int,
    accelerators: int,
    *,
    adjacency: str = "any",
    run_time_s: float = 1000.0,
    cores: int = 0,
    urgent: bool = False,
    checkpointable: bool = False,
    submitted_s: float = NOW_S,
) -> QueuedJob:
    return QueuedJob(
        job_id=JobId(name),
        team=TeamId(team),
        shape=GangShape(
            members=members,
            accelerators=accelerators,
            adjacency=Adjacency(adjacency),
            cores=cores,
        ),
        run_time_s=run_time_s,
        submitted_s=submitted_s,
        urgent=urgent,
        checkpointable=checkpointable,
    )


def run_job(
    cell: Cell,
    job: QueuedJob,
    worker: int,
    accelerators: tuple[int, ...],
    *,
    age_s: float = 100.0,
    kind: WorkKind = WorkKind.BORROWED,
    backfill: bool = False,
) -> None:
    placement = (MemberPlacement(TargetId(f"w{worker}"), accelerators),)
    cell.start(
        RunningJob(
            job=job, placement=placement, kind=kind, started_s=NOW_S - age_s, backfill=backfill
        )
    )


def make_workers(racks: str, accelerators: int) -> list[WorkerState]:
    return [
        WorkerState(
            worker=TargetId(f"w{index}"),
            rack=RackId(f"rack-{rack}"),
            zone=ZoneId("zone"),
            accelerators=accelerators,
            cores=CORES,
            memory_gb=MEMORY_GB,
        )
        for index, rack in enumerate(racks.split())
    ]


@pytest.fixture
def cell() -> Cell:
    empty = Cell()
    empty.set_config(TEAMS, {})
    return empty


@given(parsers.parse('racks of workers "{racks}" with {accelerators:d} accelerators'))
def add_workers(cell: Cell, racks: str, accelerators: int) -> None:
    for worker in make_workers(racks, accelerators):
        cell.set_worker(worker)


@given(
    parsers.parse(
        'team "{team}" has a guarantee of {count:d} instances of '
        '{members:d} x {accelerators:d} "{adjacency}"'
    )
)
def add_guarantee(
    cell: Cell, team: str, count: int, members: int, accelerators: int, adjacency: str
) -> None:
    shape = GangShape(members=members, accelerators=accelerators, adjacency=Adjacency(adjacency))
    guarantee = Guarantee(team=TeamId(team), region=RegionId("north"), shape=shape, count=count)
    cell.set_config(TEAMS, {GuaranteeId("g0"): guarantee})
    cell.place_guarantees()
