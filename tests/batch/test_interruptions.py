"""Workers whose executors go down and up by turns."""

import logging
from collections.abc import Sequence

import msgspec
import pytest
from tests.batch.fakes import make_job, make_queue, make_report
from tests.batch.test_planner import WORKERS, make_planner, progress_of, submit, tasks_by_worker

from chicorycrank.batch.interruptions import (
    FLAP_WINDOW_S,
    SHORT_RUN_S,
    Interruptions,
    loses_little,
    settling_time_s,
    stored_interruptions_ms,
)
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.urgent_waits import UrgentWaitLog
from chicorycrank.model.batch import Crash, Progress, Queue, Step, Unit, WorkerReport
from chicorycrank.model.batch import WorkerState as State
from chicorycrank.model.ids import Incarnation, TargetId

FLAPPING, *STEADY = WORKERS
NOW_MS = 1_000_000
DOWN_S = 1.4
SMALL_GANG = Step(count=2, accelerators=4, cores=1000, run_time_s=20.0, gang=True)
TASK = Step(count=1, accelerators=8, cores=1000, run_time_s=12.0)


@pytest.mark.parametrize(
    ("interrupted_at", "expected"),
    [
        ([100.0], 0.0),
        ([60.0, 100.0], 0.0),
        ([71.0, 100.0], 3.0),
        ([10.0, 97.0, 100.0], 3.0),
        ([94.0, 97.0, 100.0], 6.0),
        ([91.0, 94.0, 97.0, 100.0], 12.0),
        ([88.0, 91.0, 94.0, 97.0, 100.0], 12.0),
    ],
    ids=["one", "far-apart", "two", "two-lately", "three", "four", "bounded"],
)
def test_the_settling_time_grows_with_the_interruptions(
    interrupted_at: Sequence[float], expected: float
) -> None:
    """Guards against a single restart that closes a worker, and against gangs lost in series."""
    assert settling_time_s(interrupted_at) == expected


@pytest.mark.parametrize(
    ("step", "expected"),
    [
        (TASK, False),
        (msgspec.structs.replace(TASK, checkpointing=True), True),
        (msgspec.structs.replace(TASK, run_time_s=SHORT_RUN_S), True),
        (msgspec.structs.replace(TASK, run_time_s=1.0, long_running=True), False),
        (msgspec.structs.replace(SMALL_GANG, checkpointing=True), False),
        (msgspec.structs.replace(SMALL_GANG, count=1, checkpointing=True), True),
    ],
    ids=["long", "saving", "short", "long-running", "gang", "gang-of-one"],
)
def test_single_tasks_that_are_short_or_save_lose_little(step: Step, expected: bool) -> None:
    """Guards against a worker that stays empty until it has settled, or gets a gang before."""
    assert loses_little(step) is expected


def report(number: int = 1, **changes: object) -> WorkerReport:
    return make_report(f"i-w0:{number}", **changes)


UP, DOWN = report(), report(is_unreachable=True)
DRAINING = report(state=State.DRAINING, remaining_ms=2000)


@pytest.mark.parametrize(
    ("reports", "is_restricted"),
    [
        ([UP, DOWN, UP], False),
        ([UP, DRAINING, DOWN, report(2)], False),
        ([UP, report(state=State.GONE), report(2)], False),
        ([UP, DOWN, report(2), report(2)], False),
        ([UP, DOWN, UP, DOWN, UP], True),
        ([UP, report(2), report(3)], True),
        ([UP, DOWN, report(2), report(2, is_unreachable=True), report(3)], True),
        ([UP, DOWN, UP, DOWN], False),
    ],
    ids=[
        "unreachable-once",
        "released",
        "gone-once",
        "crashed-once",
        "unreachable",
        "replaced",
        "crashed",
        "still-down",
    ],
)
def test_a_worker_flaps_after_two_interruptions(
    reports: Sequence[WorkerReport], is_restricted: bool
) -> None:
    """Guards against a planned release that is taken for two interruptions, and missed ones."""
    interruptions = Interruptions()
    for number, item in enumerate(reports):
        interruptions.record(FLAPPING, item, number * DOWN_S, NOW_MS)
    now_s = len(reports) * DOWN_S
    assert interruptions.restricted(now_s) == ({FLAPPING} if is_restricted else set())
    assert not interruptions.restricted(now_s + 4.0)
    assert not interruptions.recent(now_s + FLAP_WINDOW_S)


def pass_time(planner: Planner, seconds: float) -> None:
    planner.set_time(planner.now_s + seconds, planner.now_ms + round(seconds * 1000))
    planner.plan()


def flap(planner: Planner, worker: TargetId = FLAPPING, times: int = 2) -> None:
    for number in range(2, 2 + times):
        pass_time(planner, DOWN_S)
        planner.apply_report(worker, make_report(f"i-{worker}:{number}"))


def places_of(planner: Planner, name: str) -> set[str]:
    return {
        worker
        for worker, rows in tasks_by_worker(planner).items()
        if any(task.startswith(name * 16) and not stop for task, _, stop in rows)
    }


def fill_others(planner: Planner, queue: Queue | None = None) -> None:
    """Fill the workers that do not flap, with a job that is not urgent by default."""
    planner.workers.set_present(FLAPPING, False)
    step = Step(count=len(STEADY), accelerators=8, cores=1000, run_time_s=60.0)
    submit(planner, make_job([step], name="f" * 16, queue=queue or make_queue()))
    assert places_of(planner, "f") == {*STEADY}
    planner.workers.set_present(FLAPPING, True)


@pytest.mark.parametrize(
    ("step", "times", "waits_s"),
    [
        (SMALL_GANG, 1, 0.0),
        (SMALL_GANG, 2, 3.0),
        (SMALL_GANG, 3, 6.0),
        (SMALL_GANG, 5, 12.0),
        (TASK, 2, 3.0),
        (msgspec.structs.replace(TASK, checkpointing=True), 5, 0.0),
        (msgspec.structs.replace(TASK, run_time_s=2.0), 5, 0.0),
        (msgspec.structs.replace(SMALL_GANG, count=6), 5, 0.0),
    ],
    ids=["one", "two", "three", "five", "task", "saving-task", "short-task", "no-other-room"],
)
def test_a_flapping_worker_comes_back_by_degrees(step: Step, times: int, waits_s: float) -> None:
    """Guards against gangs that start on a worker each time that it is up for a moment."""
    planner = make_planner()
    if step.count < 6:
        fill_others(planner)
    flap(planner, times=times)
    submit(planner, make_job([step], name="a" * 16))
    if waits_s:
        assert places_of(planner, "a") == set()
        pass_time(planner, waits_s - 0.1)
        assert places_of(planner, "a") == set()
        pass_time(planner, 0.2)
    assert FLAPPING in places_of(planner, "a")


@pytest.mark.parametrize(
    ("quota", "is_full", "expected"),
    [(24, False, "steady"), (24, True, "flapping"), (0, False, "steady"), (0, True, "none")],
    ids=["others-first", "within-the-quota", "others-outside", "outside-of-the-quota"],
)
def test_an_urgent_job_within_its_quota_gets_a_flapping_worker(
    quota: int, is_full: bool, expected: str
) -> None:
    """Guards against a guarantee that is not kept, and urgent gangs that are lost needlessly."""
    planner = make_planner(quota=quota)
    queue = make_queue(priority=0, name="u")
    if is_full:
        # Neither urgent work within the quota nor that of another urgent job is evicted.
        fill_others(planner, queue)
    flap(planner)
    step = msgspec.structs.replace(SMALL_GANG, run_time_s=5.0)
    submit(planner, make_job([step], name="a" * 16, queue=queue))
    places = places_of(planner, "a")
    kinds = {"flapping" if worker == FLAPPING else "steady" for worker in places}
    assert kinds == ({expected} if expected != "none" else set())


def test_an_urgent_gang_within_its_quota_evicts_rather_than_flaps() -> None:
    """Guards against an urgent gang that is lost on a free worker, while it may evict elsewhere."""
    planner = make_planner(quota=8)
    fill_others(planner)
    flap(planner)
    queue = make_queue(priority=0, name="u")
    job = submit(planner, make_job([SMALL_GANG], name="a" * 16, queue=queue))
    assert not progress_of(planner, job).units
    assert sum(row[2] for rows in tasks_by_worker(planner).values() for row in rows) == 1


def crash(number: int, age_ms: int) -> Crash:
    incarnation = Incarnation(f"i-w0:{number}")
    return Crash(
        incarnation=incarnation,
        worker=FLAPPING,
        at_ms=NOW_MS - age_ms,
        age_ms=100,
        members=(0,),
    )


@pytest.mark.parametrize(
    ("changes", "crashes", "ages_ms"),
    [
        ({}, [], []),
        ({"fence": 3}, [], []),
        ({"fence": 1, "started_at_ms": NOW_MS - 5000}, [], []),
        ({"fence": 3, "started_at_ms": NOW_MS - 5000}, [], [5000]),
        ({"fence": 3, "started_at_ms": NOW_MS - 31_000}, [], []),
        ({"fence": 3, "started_at_ms": NOW_MS + 500}, [], [0]),
        ({"fence": 3, "started_at_ms": NOW_MS - 5000}, [crash(1, 4000)], [4000]),
        ({"fence": 3, "started_at_ms": NOW_MS - 5000}, [crash(1, 20_000)], [20_000, 5000]),
        ({"fence": 3, "started_at_ms": NOW_MS - 5000}, [crash(1, 40_000)], [5000]),
        ({"fence": 3, "started_at_ms": NOW_MS - 5000}, [crash(9, 1000)], [5000, 1000]),
        ({"is_unreachable": True}, [], [0]),
        ({"is_unreachable": True}, [crash(9, 1000)], [1000]),
        ({}, [crash(1, 9000), crash(1, 9000), crash(2, 4000)], [9000, 4000]),
    ],
    ids=[
        "nothing-known",
        "no-start",
        "first-start",
        "restart",
        "old-restart",
        "clock-ahead",
        "recorded-restart",
        "earlier-crash",
        "old-crash",
        "later-crash",
        "down",
        "recorded-as-down",
        "several-units",
    ],
)
def test_a_new_leader_knows_what_the_store_shows(
    changes: dict[str, object], crashes: Sequence[Crash], ages_ms: Sequence[int]
) -> None:
    """Guards against a takeover that forgets what flaps, or restricts a fleet just started."""
    times_ms = stored_interruptions_ms(report(9, **changes), crashes, NOW_MS)
    assert times_ms == [NOW_MS - age_ms for age_ms in ages_ms]


@pytest.mark.parametrize(("started_s", "is_restricted"), [(1.0, True), (4.0, False)])
def test_a_new_leader_restricts_a_flapping_worker(started_s: float, is_restricted: bool) -> None:
    """Guards against gangs that start on a flapping worker after each change of the leader."""
    interruptions = Interruptions()
    unit = Unit(crashes=[crash(1, 20_000)])
    interruptions.restore(Progress(units={"0.0.0": unit}))
    started_at_ms = NOW_MS - round(started_s * 1000)
    item = report(9, fence=3, started_at_ms=started_at_ms)
    interruptions.record(FLAPPING, item, 500.0, NOW_MS)
    assert (FLAPPING in interruptions.restricted(500.0)) is is_restricted


def test_the_restriction_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a job that waits for a worker that seems to be free."""
    planner = make_planner()
    queue = make_queue(priority=0, name="u")
    fill_others(planner, queue)
    job = make_job([SMALL_GANG], name="a" * 16, queue=queue)
    with caplog.at_level(logging.INFO, logger="absl"):
        flap(planner)
        submit(planner, job)
        pass_time(planner, 2.5)
        UrgentWaitLog().update(planner)
        pass_time(planner, 1.0)
    lines = [record.getMessage() for record in caplog.records]
    assert f"event=worker_flapping target={FLAPPING} interruptions=2 settling_s=3" in lines
    assert f"event=worker_settled target={FLAPPING}" in lines
    (line,) = [line for line in lines if line.startswith("event=unit_waiting")]
    assert line.endswith(" restricted=flapping:1")
