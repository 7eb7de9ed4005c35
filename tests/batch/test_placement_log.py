"""Log lines on speed classes and standing reservations."""

import logging

import pytest
from tests.batch.fakes import make_job
from tests.batch.test_planner import end_task, submit, tasks_by_worker
from tests.batch.test_speed_placement import (
    FAST,
    SLOW,
    URGENT,
    fill,
    gang,
    make_uneven_planner,
    pass_time,
    set_speeds,
)

from chicorycrank.batch.placement_log import PlacementLog
from chicorycrank.model.batch import EndKind


def events(caplog: pytest.LogCaptureFixture) -> list[str]:
    found = [record.getMessage() for record in caplog.records if record.name == "absl"]
    caplog.clear()
    return [line for line in found if "speed_classes" in line or "urgent_reservation" in line]


def test_changes_of_the_speed_classes_are_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against placements by speed that an operator cannot explain, and repeated lines."""
    caplog.set_level(logging.INFO, logger="absl")
    planner, log = make_uneven_planner(), PlacementLog()
    planner.job_builder.make_queue(planner, [])
    log.update(planner)
    log.update(planner)
    assert events(caplog) == ["event=speed_classes classes=1.00:4,0.45:4 slow=4"]
    set_speeds(planner, {})
    planner.job_builder.make_queue(planner, [])
    log.update(planner)
    assert events(caplog) == ["event=speed_classes classes= slow=0"]


def test_a_standing_reservation_is_logged_from_its_start_to_its_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against idle accelerators that no log line explains.

    The time counts from the first reservation, which the gang got while it was still in time.
    """
    caplog.set_level(logging.INFO, logger="absl")
    planner, log = make_uneven_planner({}), PlacementLog()
    blocker = fill(planner, [*FAST, *SLOW], "b", URGENT)
    late = submit(planner, make_job([gang(2)], queue=URGENT))
    pass_time(planner, 5.0)
    log.update(planner)
    pass_time(planner, 1.0)
    log.update(planner)
    (line,) = events(caplog)
    assert f"event=urgent_reservation unit={late.job_id}.0.0 workers=" in line
    workers = line.split("workers=")[1].split()[0].split(",")
    for worker in workers:
        ((task, run, _),) = tasks_by_worker(planner)[worker]
        assert task.startswith(blocker)
        end_task(planner, task, EndKind.DONE, run=run)
    log.update(planner)
    assert events(caplog) == [
        f"event=urgent_reservation_ended unit={late.job_id}.0.0 is_running=True held_s=6.0"
    ]
