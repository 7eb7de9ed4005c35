"""Headroom for urgent jobs while other jobs can wait."""

from collections.abc import Sequence

import msgspec
import pytest
from tests.batch.fakes import make_job, make_queue
from tests.batch.test_planner import end_task, make_planner, submit, tasks_by_worker

from chicorycrank.batch import queued_jobs
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.queued_jobs import WAITABLE_SLACK_SHARE
from chicorycrank.model.batch import EndKind, Queue, Step, Submission
from chicorycrank.model.ids import TargetId

RUN_S = 10.0
SLACK = 3.0
HEADROOM_SHARE = 0.3
# A job of the patient queue can wait this long and still end in time.
SLACK_S = (SLACK - 1.0) * RUN_S
WORKERS = [TargetId(f"w{n}") for n in range(8)]
WHOLE_WORKER = Step(count=1, accelerators=8, cores=1000, run_time_s=RUN_S)
URGENT_QUEUE = make_queue(priority=0, name="urgent")
PATIENT_QUEUE: Queue = msgspec.structs.replace(make_queue(), slack=SLACK)


def gang(members: int) -> Step:
    return Step(count=members, accelerators=8, cores=1000, run_time_s=2.0, gang=True)


def submit_many(planner: Planner, count: int, at_ms: int) -> list[Submission]:
    jobs = []
    for number in range(count):
        job = make_job([WHOLE_WORKER], name=f"{number:016x}", queue=PATIENT_QUEUE)
        jobs.append(submit(planner, msgspec.structs.replace(job, submitted_at_ms=at_ms)))
    return jobs


def make_loaded_planner(patient: int = 7, urgent_members: int = 2) -> Planner:
    """Return a planner that has run an urgent gang and then got patient jobs."""
    planner = make_planner(WORKERS, headroom=HEADROOM_SHARE)
    first_job = submit(planner, make_job([gang(urgent_members)], name="f" * 16, queue=URGENT_QUEUE))
    for index in range(urgent_members):
        end_task(planner, f"{first_job.job_id}.0.0.{index}", EndKind.DONE)
    submit_many(planner, patient, at_ms=0)
    return planner


def count_busy_workers(planner: Planner) -> int:
    return len(tasks_by_worker(planner))


def stopped_tasks(planner: Planner) -> list[str]:
    return [row[0] for rows in tasks_by_worker(planner).values() for row in rows if row[2]]


def test_an_urgent_gang_starts_at_once_on_a_loaded_fleet() -> None:
    """Guards against patient jobs that fill the fleet and delay an urgent gang or are evicted."""
    planner = make_loaded_planner()
    assert count_busy_workers(planner) == 6
    urgent = submit(planner, make_job([gang(2)], name="e" * 16, queue=URGENT_QUEUE))
    started_tasks = [r[0] for rows in tasks_by_worker(planner).values() for r in rows if not r[2]]
    assert [task for task in started_tasks if task.startswith(urgent.job_id)] != []
    assert stopped_tasks(planner) == []


@pytest.mark.parametrize(
    ("waited_s", "count"),
    [(0.0, 6), (WAITABLE_SLACK_SHARE * SLACK_S - 0.1, 6), (WAITABLE_SLACK_SHARE * SLACK_S, 7)],
)
def test_a_job_that_can_wait_no_longer_uses_the_headroom(waited_s: float, count: int) -> None:
    """Guards against patient jobs that end late although workers are empty."""
    planner = make_loaded_planner()
    planner.set_time(planner.now_s + waited_s, round(waited_s * 1000))
    planner.plan()
    assert count_busy_workers(planner) == count


@pytest.mark.parametrize(
    ("members", "kept"), [(1, 1), (2, 2), (4, 2)], ids=["one", "two", "at-most-a-share"]
)
def test_the_headroom_fits_the_largest_urgent_job(members: int, kept: int) -> None:
    """Guards against a fleet that keeps more empty workers than urgent jobs need."""
    planner = make_loaded_planner(patient=8, urgent_members=members)
    assert count_busy_workers(planner) == len(WORKERS) - kept


def test_a_fleet_without_urgent_jobs_has_no_headroom() -> None:
    """Guards against workers that stay empty although no urgent jobs are submitted."""
    planner = make_planner(WORKERS, headroom=HEADROOM_SHARE)
    submit_many(planner, 8, at_ms=0)
    assert count_busy_workers(planner) == len(WORKERS)


def simulate(urgent_at_s: Sequence[int], *, with_headroom: bool) -> tuple[int, int]:
    """Simulate bursts of eight patient jobs of 10 s every 16 s beside urgent gangs of 2 s.

    :returns: numbers of urgent gangs that started within a second and of stopped tasks
    """
    planner = make_loaded_planner(patient=0)
    if not with_headroom:
        planner.job_builder.headroom_workers = lambda planner: 0  # type: ignore[method-assign]
    prompt_starts, stopped_count, end_second_by_task = 0, 0, dict[str, int]()
    for second in range(64):
        planner.set_time(planner.now_s + 1.0, second * 1000)
        for task in [
            task for task, end_second in end_second_by_task.items() if end_second <= second
        ]:
            end_task(planner, task, EndKind.DONE, run=run_number(planner, task))
            del end_second_by_task[task]
        for number in range(8 if second % 16 == 0 else 0):
            job = make_job([WHOLE_WORKER], name=f"{second * 8 + number:016x}", queue=PATIENT_QUEUE)
            submit(planner, msgspec.structs.replace(job, submitted_at_ms=second * 1000))
        if second in urgent_at_s:
            job = make_job([gang(2)], name=f"{second + 1000:016x}", queue=URGENT_QUEUE)
            submit(planner, msgspec.structs.replace(job, submitted_at_ms=second * 1000))
            prompt_starts += any(task.startswith(job.job_id) for task in started_tasks(planner))
        for task in stopped_tasks(planner):
            stopped_count += 1
            end_second_by_task.pop(task, None)
            end_task(planner, task, EndKind.STOPPED, run=run_number(planner, task))
        for task in started_tasks(planner):
            end_second_by_task.setdefault(
                task, second + (10 if int(task.split(".")[0], 16) < 1000 else 2)
            )
    return prompt_starts, stopped_count


def started_tasks(planner: Planner) -> list[str]:
    return [row[0] for rows in tasks_by_worker(planner).values() for row in rows if not row[2]]


def run_number(planner: Planner, task: str) -> int:
    rows = [row for rows in tasks_by_worker(planner).values() for row in rows if row[0] == task]
    return rows[0][1]


def test_urgent_gangs_beside_bursts_evict_no_work() -> None:
    """Guards against urgent gangs that wait or evict work when patient jobs arrive in bursts.

    On average, five of eight workers are busy, and no patient job waits longer than 12 s.
    """
    urgent_at_s = range(4, 64, 8)
    assert simulate(urgent_at_s, with_headroom=True) == (len(urgent_at_s), 0)
    prompt_starts, _ = simulate(urgent_at_s, with_headroom=False)
    assert prompt_starts < len(urgent_at_s)


def test_the_workers_that_an_urgent_job_needs_are_computed_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that examines all workers for each job in each pass."""
    calls: list[object] = []

    def count(*args: object) -> int:
        calls.append(args)
        return 1

    monkeypatch.setattr(queued_jobs, "workers_needed", count)
    planner = make_loaded_planner()
    call_count = len(calls)
    assert call_count == 1
    planner.plan()
    assert len(calls) == call_count
