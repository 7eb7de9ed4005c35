"""Executors that return as another kind or with another service."""

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.test_planner import WORKERS, make_planner, submit, tasks_by_worker

from chicorycrank.model.batch import Step
from chicorycrank.model.ids import ServiceId

WORKER = WORKERS[0]
STEP = Step(count=1, accelerators=1, run_time_s=1.0, label="a")


@pytest.mark.parametrize(
    "changes", [{"labels": ("b", "r1")}, {"service": ServiceId("other")}], ids=["kind", "service"]
)
@pytest.mark.parametrize("is_earlier", [True, False], ids=["no longer suits", "suits now"])
def test_a_returned_executor_gets_only_tasks_that_suit_it(
    changes: dict[str, object], is_earlier: bool
) -> None:
    """Guards against workers that are chosen by the kind that they had before a restart."""
    reports = [make_report("i-1:1"), make_report("i-1:2", **changes)]
    first, second = reports if is_earlier else reversed(reports)
    planner = make_planner([])
    planner.apply_report(WORKER, first)
    planner.workers.set_present(WORKER, True)
    submit(planner, make_job([STEP], name="1" * 16))
    planner.apply_report(WORKER, second)
    planner.plan()
    submit(planner, make_job([STEP], name="2" * 16))
    tasks = [task for rows in tasks_by_worker(planner).values() for task, _, _ in rows]
    assert len(tasks) == (0 if is_earlier else 2)
