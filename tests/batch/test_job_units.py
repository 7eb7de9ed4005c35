"""Jobs of any size cost a plan no more than jobs whose units all start in it."""

import random
import time

import msgspec
import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import make_planner, submit, tasks_by_worker

from chicorycrank.batch.job_units import JobUnits
from chicorycrank.batch.keys import decode, decode_progress, encode, encode_progress
from chicorycrank.batch.number_ranges import NumberRanges, add_number, first_missing
from chicorycrank.batch.planner_state import MAX_STARTS_PER_PLAN
from chicorycrank.batch.units import UnitRef
from chicorycrank.model.batch import (
    BatchState,
    EndKind,
    Place,
    Progress,
    Step,
    Submission,
    TaskEnd,
    Unit,
    UnitState,
)
from chicorycrank.model.ids import Incarnation, TargetId, TaskId
from chicorycrank.platform.documents import MAX_STEPS

MILLION = 1_000_000
NOW_MS = MILLION
WORKERS = [TargetId(f"w{number}") for number in range(4)]
SMALL = Step(count=1, cores=10, run_time_s=1.0)
# A plan of the smallest job that fills all workers takes some 10 ms.
MAX_PLAN_S = 1.0
BYTES_PER_RUN = 160


def recurring(*steps: Step, occurrences: int = MILLION) -> Submission:
    return make_job(steps, repeat_count=occurrences, first_at_ms=0, interval_ms=0)


LARGE_JOBS = {
    "tasks": make_job([Step(count=MILLION, cores=10)]),
    "accelerator tasks": make_job([Step(count=MILLION, accelerators=1)]),
    "spread tasks": make_job([Step(count=MILLION, accelerators=1, max_per_worker=2)]),
    "tasks that fit nowhere": make_job([Step(count=MILLION, cores=10**9)]),
    "a gang": make_job([Step(count=MILLION, cores=10, gang=True)]),
    "a gang with accelerators": make_job([Step(count=MILLION, accelerators=8, gang=True)]),
    "occurrences": recurring(Step(count=1, cores=10)),
    "urgent occurrences": msgspec.structs.replace(
        recurring(Step(count=1, accelerators=1)), queue=make_queue(priority=0)
    ),
    "occurrences of a chain": recurring(Step(count=2, cores=10), Step(count=2, after=(0,))),
    "occurrences of wide steps": recurring(Step(count=MILLION, cores=10)),
    "steps": make_job([Step(count=MILLION, cores=10)] * 50),
    "narrow steps": make_job([Step(count=1, cores=10)] * MAX_STEPS),
}


@pytest.mark.parametrize("large", LARGE_JOBS.values(), ids=LARGE_JOBS)
def test_a_large_job_does_not_hold_up_the_jobs_of_others(large: Submission) -> None:
    """Guards against a plan that grows with the tasks or occurrences that wait."""
    planner = make_planner(WORKERS)
    started_at = time.monotonic()
    submit(planner, large)
    for number in range(3):
        planner.set_time(planner.now_s + 1.0, NOW_MS)
        submit(planner, make_job([SMALL], name=f"{number:016x}", queue=make_queue(priority=0)))
    planner.next_due_ms()
    assert time.monotonic() - started_at < 4 * MAX_PLAN_S
    tasks = {task[:16] for rows in tasks_by_worker(planner).values() for task, _, _ in rows}
    assert {f"{number:016x}" for number in range(3)} <= tasks


@pytest.mark.parametrize(
    ("job", "runs"),
    [
        (make_job([Step(count=3000, accelerators=1)]), 3000),
        (recurring(Step(count=1, accelerators=1), occurrences=3000), 3000),
        (recurring(Step(count=1, accelerators=1), SMALL, occurrences=1500), 3000),
    ],
)
def test_the_record_of_a_job_does_not_grow_with_what_is_done(job: Submission, runs: int) -> None:
    """Guards against a record that outgrows the store's values, and a plan that rereads it."""
    planner = make_planner(WORKERS)
    planner.set_time(planner.now_s, NOW_MS)
    submit(planner, job)
    largest = 0
    while planner.progress_by_id[job.job_id].state is not BatchState.COMPLETED:
        tasks = [task for rows in tasks_by_worker(planner).values() for task, _, _ in rows]
        assert tasks
        runs -= len(tasks)
        for worker, rows in tasks_by_worker(planner).items():
            ends = [TaskEnd(TaskId(task), run, EndKind.DONE) for task, run, _ in rows]
            planner.apply_report(TargetId(worker), make_report(f"i-{worker}:1", ends=ends))
        planner.plan()
        largest = max(largest, len(encode_progress(planner.progress_by_id[job.job_id])))
    assert runs == 0
    assert largest < BYTES_PER_RUN * (MAX_STARTS_PER_PLAN + 8 * len(WORKERS))


CHAIN = [Step(count=2), Step(count=1, after=(0,)), Step(count=3, gang=True)]


def brute_force_waiting(job: Submission, done: set[str], begun: set[str], due: int) -> set[str]:
    """Return the units that may start, from a list of all units."""
    waiting = set()
    for occurrence in range(due):
        keys_by_step = [
            {f"{occurrence}.{number}"}
            if step.gang
            else {f"{occurrence}.{number}.{index}" for index in range(step.count)}
            for number, step in enumerate(job.steps)
        ]
        for number, step in enumerate(job.steps):
            if all(keys_by_step[other] <= done for other in step.after):
                waiting |= keys_by_step[number] - done - begun
    return waiting


@pytest.mark.parametrize("seed", range(20))
def test_the_waiting_units_are_those_of_a_list_of_all_units(seed: int) -> None:
    """Guards against a unit that is left out for good, or starts before its turn or again."""
    rng = random.Random(seed)
    occurrences = 4
    job = recurring(*CHAIN, occurrences=occurrences)
    progress = Progress()
    units = JobUnits(job, progress)
    done: set[str] = set()
    assigned: set[str] = set()
    while True:
        waiting = {ref.key: ref for ref in units.waiting(NOW_MS, 100)}
        assert set(waiting) == brute_force_waiting(job, done, assigned, occurrences)
        if not waiting and not assigned:
            break
        refs = [waiting[key] for key in sorted(waiting)]
        for ref in rng.sample(refs, rng.randint(0, len(refs))):
            unit = progress.units.setdefault(ref.key, Unit())
            unit.state, unit.places = UnitState.ASSIGNED, [Place(TargetId("w"), Incarnation("i"))]
            units.record_places(ref, unit)
            assigned.add(ref.key)
        for key in rng.sample(sorted(assigned), rng.randint(0, len(assigned))):
            unit = progress.units[key]
            assigned.discard(key)
            is_done = rng.random() < 0.7
            unit.state, unit.places = UnitState.DONE if is_done else UnitState.WAITING, []
            occurrence, step, *index = map(int, key.split("."))
            ref = UnitRef(job.job_id, occurrence, step, index[0] if index else None)
            units.record_places(ref, unit)
            if is_done:
                units.record_done(ref)
                done.add(key)
        if rng.random() < 0.5:
            units.discard_done()
        if rng.random() < 0.3:
            progress = decode_progress(encode_progress(progress))
            units = JobUnits(job, progress)
        for step in range(len(CHAIN)):
            keys = {key for key in done if key.split(".")[1] == str(step)}
            assert units.done_count(step) == len(keys)
    assert units.is_complete
    assert progress.done == [(0, 4 * occurrences)]


def test_no_more_new_units_of_a_step_wait_than_a_plan_may_start() -> None:
    """Guards against a list of all waiting units in each plan."""
    job = recurring(*CHAIN)
    units = JobUnits(job, Progress())
    waiting = list(units.waiting(NOW_MS, MAX_STARTS_PER_PLAN))
    assert len(waiting) == 2 * MAX_STARTS_PER_PLAN


def test_a_record_of_the_version_before_keeps_what_is_done() -> None:
    """Guards against done tasks that start again after an upgrade."""
    job = make_job(CHAIN)
    earlier = Progress(units={key: Unit(state=UnitState.DONE, run=1) for key in ("0.0.0", "0.0.1")})
    units = JobUnits(job, decode_progress(encode(earlier)))
    assert {ref.key for ref in units.waiting(0, 10)} == {"0.1.0", "0.2"}


def test_the_version_before_cannot_read_a_record_without_the_done_units() -> None:
    """Guards against done tasks that an entry of the version before starts again."""
    with pytest.raises(msgspec.DecodeError):
        decode(encode_progress(Progress(done=[(0, 1)])), Progress)


@pytest.mark.parametrize("seed", range(10))
def test_ranges_contain_what_was_added(seed: int) -> None:
    """Guards against ranges that overlap, or grow with the numbers that were added."""
    rng = random.Random(seed)
    numbers = list(range(60))
    rng.shuffle(numbers)
    ranges: NumberRanges = []
    for count, number in enumerate(numbers, start=1):
        add_number(ranges, number)
        added = set(numbers[:count])
        assert {n for start, end in ranges for n in range(start, end)} == added
        assert all(ranges[i][1] < ranges[i + 1][0] for i in range(len(ranges) - 1))
        for start in (0, number, 59):
            expected = next(n for n in range(start, 62) if n not in added)
            assert first_missing(ranges, start) == expected
    assert ranges == [(0, 60)]
