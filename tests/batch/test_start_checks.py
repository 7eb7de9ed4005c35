"""Evictions only where the urgent unit can begin afterwards."""

import pytest
from tests.batch.fakes import make_job, make_queue
from tests.batch.test_planner import WHOLE_WORKER, make_planner, submit, tasks_by_worker

from chicorycrank.batch.orders import MAX_ORDER_BYTES
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.start_checks import can_begin
from chicorycrank.model.batch import Step
from chicorycrank.model.ids import JobId, TargetId

WORKER = TargetId("w0")
URGENT = make_queue(priority=0, name="urgent")


def make_full_planner() -> Planner:
    """Return a planner of one worker that runs one unit and whose urgent unit waits."""
    planner = make_planner([WORKER])
    submit(planner, make_job([WHOLE_WORKER], name="b" * 16))
    planner.add_job(make_job([WHOLE_WORKER], name="c" * 16, queue=URGENT), None)
    return planner


@pytest.mark.parametrize(
    ("used", "victims", "expected"),
    [(0, [], True), (MAX_ORDER_BYTES, [], False), (MAX_ORDER_BYTES, ["b" * 16 + ".0.0.0"], True)],
    ids=["room", "full", "room-after-the-stop"],
)
def test_an_order_has_room_once_the_victims_have_ended(
    used: int, victims: list[str], expected: bool
) -> None:
    """Guards against evictions on a worker whose order then has no room for the urgent unit."""
    planner = make_full_planner()
    size = planner.units_by_id[JobId("b" * 16)].assignment_bytes
    if used:
        planner.order_sizes.add_run(WORKER, JobId("d" * 16), used - size)
    name = JobId("c" * 16 + ".0.0.0")
    assert can_begin(planner, name, {WORKER: 1}, [JobId(v) for v in victims]) is expected


@pytest.mark.parametrize("is_full", [False, True])
def test_work_is_stopped_only_if_the_urgent_unit_fits_in_the_order(is_full: bool) -> None:
    """Guards against a stop that discards work and starts nothing."""
    planner = make_full_planner()
    if is_full:
        planner.order_sizes.add_run(WORKER, JobId("d" * 16), MAX_ORDER_BYTES)
    planner.plan()
    rows = tasks_by_worker(planner)[WORKER]
    assert [stop for _, _, stop in rows] == [not is_full]


def test_a_gang_is_recorded_when_it_is_stopped_for_an_urgent_unit() -> None:
    """Guards against a gang that is stopped again as its first stop was not recorded."""
    planner = make_planner([WORKER])
    gang = Step(count=2, accelerators=4, cores=1000, run_time_s=20.0, gang=True)
    submit(planner, make_job([gang], name="b" * 16))
    submit(planner, make_job([WHOLE_WORKER], name="c" * 16, queue=URGENT))
    assert planner.cell.evicted_s_by_id == {"b" * 16 + ".0.0": planner.now_s}
