"""Sums that the planner keeps on the orders of its workers."""

import random

import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import WORKERS, make_planner

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step, TaskEnd, WorkerState
from chicorycrank.model.ids import TaskId

STEPS = [
    Step(count=40, cores=100),
    Step(count=3, accelerators=4, cores=100, gang=True),
    Step(count=2, accelerators=8, cores=1000, run_time_s=5.0),
]
ENDS = [EndKind.DONE, EndKind.DONE, EndKind.FAILED, EndKind.REJECTED, EndKind.CRASHED]


def check_sums(planner: Planner) -> None:
    for worker, members in planner.members_by_worker.items():
        size = sum(planner.units_by_id[m.ref.job_id].assignment_bytes for m in members.values())
        assert planner.order_sizes._runs_by_worker[worker] == len(members)
        assert planner.order_sizes._bytes_by_worker[worker] == size
        starting = planner.order_sizes._starting_jobs_by_worker.get(worker)
        if starting is not None:
            assert starting == set(planner.unaccepted_tasks(worker))


@pytest.mark.parametrize("seed", range(20))
def test_sums_on_orders_do_not_drift(seed: int) -> None:
    """Guards against a worker that gets no work for good, as the size of its order is overrated."""
    choose = random.Random(seed)
    planner = make_planner()
    lives = dict.fromkeys(WORKERS, 1)
    for number in range(60):
        planner.set_time(planner.now_s + 1.0, planner.now_ms + 1000)
        if choose.random() < 0.3:
            queue = make_queue(priority=choose.randrange(3))
            steps = [choose.choice(STEPS)]
            planner.add_job(make_job(steps, name=f"{number:016x}", queue=queue), None)
        if choose.random() < 0.1 and planner.active_jobs:
            planner.cancel(choose.choice(list(planner.active_jobs)))
        for worker in WORKERS:
            runs = planner.order_for(worker).assignments
            event = choose.random()
            lives[worker] += event < 0.05
            ended = [a for a in runs if a.stop or choose.random() < 0.4]
            report = make_report(
                f"i-{worker}:{lives[worker]}",
                ends=[TaskEnd(a.task, a.run, choose.choice(ENDS)) for a in ended],
                accepted={a.task: a.run for a in runs if choose.random() < 0.5},
                suspects={TaskId(a.task): 0 for a in runs if choose.random() < 0.02},
                state=WorkerState.DRAINING if 0.05 < event < 0.1 else WorkerState.READY,
            )
            planner.apply_report(worker, report)
            if event > 0.95:
                planner.mark_worker_lost(worker)
        planner.plan()
        check_sums(planner)
        successor = make_planner()
        for job_id, job in planner.jobs_by_id.items():
            successor.add_job(job, planner.progress_by_id[job_id])
        check_sums(successor)
