"""A late urgent gang starts in time although shorter tasks keep arriving."""

import random

import msgspec
from tests.batch.fakes import make_job, make_queue
from tests.batch.test_backfill_progress import runs_by_task
from tests.batch.test_planner import end_task, make_planner, submit

from chicorycrank.batch.planner import Planner
from chicorycrank.model.batch import EndKind, Step
from chicorycrank.model.ids import TargetId

WORKERS = [TargetId(f"w{n}") for n in range(6)]
TICK_S = 0.1
DECLARED_S = 1.0
LONGEST_S = 4.0  # the declared run times are far too short
LATE_S = 10.0
ARRIVALS_PER_TICK = 3
WARM_UP_S = 5.0
# All tasks that run when the gang is submitted have ended by then, with a margin.
START_LIMIT_S = 1.5 * LONGEST_S
SMALL = Step(count=1, accelerators=1, cores=1000, run_time_s=DECLARED_S)
GANG = Step(count=3, accelerators=8, cores=1000, run_time_s=DECLARED_S, gang=True)


def gang_wait_s(seed: int) -> float:
    """Return the wait of a late urgent gang beside a stream of small tasks, in seconds."""
    rng = random.Random(seed)
    planner = make_planner(WORKERS)
    ends: dict[tuple[str, int], float] = {}
    now_s, started_s, job_count = 0.0, planner.now_s, 0
    gang_name = "f" * 16
    while now_s < WARM_UP_S + START_LIMIT_S:
        for (task, run), at_s in list(ends.items()):
            if at_s <= now_s:
                end_task(planner, task, EndKind.DONE, run=run)
                del ends[task, run]
        for _ in range(ARRIVALS_PER_TICK):
            job_count += 1
            small = make_job([SMALL], name=f"{job_count:016x}")
            submit(planner, msgspec.structs.replace(small, submitted_at_ms=round(now_s * 1000)))
        if now_s >= WARM_UP_S and gang_name not in planner.jobs_by_id:
            _submit_late_gang(planner, gang_name, now_s)
        for task, (run, stop) in runs_by_task(planner).items():
            assert not stop, "a late job must not evict work"
            ends.setdefault((task, run), now_s + rng.uniform(0.2, LONGEST_S))
        if any(task.startswith(gang_name) for task in runs_by_task(planner)):
            return now_s - WARM_UP_S
        now_s += TICK_S
        planner.set_time(started_s + now_s, round(now_s * 1000))
        planner.plan()
    return START_LIMIT_S


def _submit_late_gang(planner: Planner, name: str, now_s: float) -> None:
    gang = make_job([GANG], name=name, queue=make_queue(priority=0, name="urgent"))
    submitted_at_ms = round((now_s - LATE_S) * 1000)
    submit(planner, msgspec.structs.replace(gang, submitted_at_ms=submitted_at_ms))


def test_a_late_urgent_gang_starts_once_earlier_tasks_have_ended() -> None:
    """Guards against a reserved placement that moves with each plan, so that small tasks refill it.

    In the scenario trouble-1 of the enlarged Clochan site, urgent gangs that were late after an
    outage waited up to 25 s because of this.
    """
    waits = {seed: gang_wait_s(seed) for seed in range(5)}
    assert {seed: wait for seed, wait in waits.items() if wait >= START_LIMIT_S} == {}
