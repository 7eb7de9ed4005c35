"""Accelerators of gang members that have ended while others of their gang have not."""

import pytest
from tests.batch.fakes import make_job, make_queue
from tests.batch.test_planner import end_task, make_planner, submit, tasks_by_worker

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step
from chicorycrank.model.ids import TargetId

WORKERS = [TargetId(f"w{n}") for n in range(4)]
MEMBERS = len(WORKERS)
GANG = make_job([Step(count=MEMBERS, accelerators=8, cores=1000, run_time_s=5.0, gang=True)])
URGENT = make_queue(priority=0, name="urgent")


def lose_one_worker(planner: Planner, kind: EndKind) -> TargetId:
    """End all members of the gang but that on one worker, whose agent is missing."""
    task_by_worker = {worker: rows[0][0] for worker, rows in tasks_by_worker(planner).items()}
    lost = WORKERS[0]
    planner.workers.set_present(lost, False)
    for worker, task in task_by_worker.items():
        if worker != lost:
            end_task(planner, task, kind)
    return lost


@pytest.mark.parametrize("kind", [EndKind.BROKEN, EndKind.FAILED, EndKind.LOST, EndKind.DONE])
@pytest.mark.parametrize("members", [1, MEMBERS - 1], ids=["small", "large"])
def test_an_urgent_gang_starts_where_members_of_a_gang_have_ended(
    kind: EndKind, members: int
) -> None:
    """Guards against idle accelerators that wait for the end of a member on a lost worker."""
    planner = make_planner(WORKERS)
    submit(planner, GANG)
    lost = lose_one_worker(planner, kind)
    step = Step(count=members, accelerators=8, cores=1000, run_time_s=5.0, gang=True)
    urgent = submit(planner, make_job([step], name="b" * 16, queue=URGENT))
    started = {
        worker
        for worker, rows in tasks_by_worker(planner).items()
        if any(task.startswith(urgent.job_id) for task, _, _ in rows)
    }
    assert len(started) == members
    assert lost not in started


@pytest.mark.parametrize("kind", [EndKind.BROKEN, EndKind.DONE])
def test_no_accelerator_stays_in_use_after_the_last_member_of_a_gang(kind: EndKind) -> None:
    """Guards against accelerators that are released twice, or never."""
    planner = make_planner(WORKERS)
    submit(planner, GANG)
    lost = lose_one_worker(planner, kind)
    assert sum(mask.bit_count() for mask in planner.cell.free.masks.values()) == 8 * (MEMBERS - 1)
    planner.cancel(GANG.job_id)
    planner.mark_worker_lost(lost)
    assert sum(mask.bit_count() for mask in planner.cell.free.masks.values()) == 8 * MEMBERS
    assert all(used == [0, 0, 0] for used in planner.cell.usage_by_team.values())
