"""A late urgent gang gets its workers although shorter work keeps coming."""

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
LONGEST_S = 4.0  # declared run times are far off
LATE_S = 10.0
ARRIVALS_PER_TICK = 3
WARM_UP_S = 5.0
# All that runs when the gang comes has ended by then, and a little more.
START_LIMIT_S = 1.5 * LONGEST_S
SMALL = Step(count=1, accelerators=1, cores=1000, run_time_s=DECLARED_S)
GANG = Step(count=3, accelerators=8, cores=1000, run_time_s=DECLARED_S, gang=True)


def gang_wait_s(seed: int) -> float:
    """Return how long a late urgent gang waits beside a stream of small tasks, in seconds."""
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
            assert not stop, "a late job may destroy no work"
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


def test_a_late_urgent_gang_starts_once_what_ran_before_it_has_ended() -> None:
    """Guards against a place that moves with each look, so that small tasks fill it again.

    On trouble-1 of the grown Clochan site urgent gangs waited up to 25 s like this, after an
    outage had made them late.
    """
    waits = {seed: gang_wait_s(seed) for seed in range(5)}
    assert {seed: wait for seed, wait in waits.items() if wait >= START_LIMIT_S} == {}
