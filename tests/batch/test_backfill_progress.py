"""A gang that needs many workers starts although shorter tasks are started before it."""

from tests.batch.fakes import make_job
from tests.batch.test_planner import WORKERS, end_task, make_planner, submit, tasks_by_worker

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step

DECLARED_S = 1.0
ACTUAL_S = 1.2
STOP_S = 0.1
TICK_S = 0.1
GANG = Step(count=len(WORKERS), accelerators=8, cores=1000, run_time_s=DECLARED_S, gang=True)
SMALL = Step(count=3, accelerators=8, cores=1000, run_time_s=DECLARED_S)
# Tasks that run when the gang is submitted or are started before it end within this time.
START_LIMIT_S = 4 * ACTUAL_S


def runs_by_task(planner: Planner) -> dict[str, tuple[int, bool]]:
    found = tasks_by_worker(planner).values()
    return {task: (run, stop) for rows in found for task, run, stop in rows}


def test_a_wide_gang_starts_beside_work_that_runs_longer_than_declared() -> None:
    """Guards against a gang that never starts beside short tasks that overrun.

    Each short task moved the expected start of the gang, overran, was stopped and was started
    again, without end. Soak seeds 17, 19, 20 and 22 showed this.
    """
    planner = make_planner()
    running_since: dict[tuple[str, int], float] = {}
    submit(planner, make_job([SMALL], name="1" * 16))
    gang = submit(planner, make_job([GANG], name="2" * 16))
    for number in range(6):
        submit(planner, make_job([SMALL], name=f"a{number:015x}"))
    now_s, started_s = 0.0, planner.now_s
    while now_s < START_LIMIT_S:
        for task, (run, stop) in runs_by_task(planner).items():
            since_s = running_since.setdefault((task, run), now_s)
            if stop and now_s - since_s >= STOP_S:
                end_task(planner, task, EndKind.STOPPED, run=run)
            elif now_s - since_s >= ACTUAL_S:
                end_task(planner, task, EndKind.DONE, run=run)
        if any(task.startswith(gang.job_id) for task in runs_by_task(planner)):
            return
        now_s += TICK_S
        planner.set_time(started_s + now_s, round(now_s * 1000))
        planner.plan()
    raise AssertionError(f"the gang has not started after {now_s:.1f} s")
