"""Speeds of workers, as the leader learns them from the rates of runs."""

import logging
import math
import random
from collections.abc import Mapping

import pytest
from tests.batch.fakes import make_job, make_report
from tests.batch.test_planner import make_planner, submit

from chicorycrank.batch.performance import MAX_OBSERVATIONS_PER_WORKER, PerformanceRecords
from chicorycrank.batch.planner import Planner
from chicorycrank.batch.rate_records import REPEAT_INTERVAL_S
from chicorycrank.batch.speed_estimates import SPREAD_GANG_VARIANCE
from chicorycrank.model.batch import EndKind, Step, TaskEnd
from chicorycrank.model.ids import RackId, TargetId, TaskId

FAST = [TargetId(f"fast-{number}") for number in range(8)]
SLOW = [TargetId(f"slow-{number}") for number in range(4)]
# Times relative to the declared one.
FAST_TIME, SLOW_TIME = 0.7, 1.7
TIME_BY_WORKER = {**dict.fromkeys(FAST, FAST_TIME), **dict.fromkeys(SLOW, SLOW_TIME)}
NOISE = 0.3
SEEDS = range(5)


def run_step(
    records: PerformanceRecords,
    step: str,
    now_s: float,
    *,
    choose: random.Random,
    times: Mapping[TargetId, float] = TIME_BY_WORKER,
    factor: float | None = None,
    noise: float = NOISE,
    group_variance: float | None = None,
) -> None:
    """Record one run of a step on each worker, and update the speeds.

    :param factor: actual run time of all tasks of the step relative to the declared one
    """
    factor = choose.uniform(0.5, 2.0) if factor is None else factor
    for worker, time in times.items():
        rate = 1 / (time * factor * math.exp(choose.uniform(-noise, noise)))
        if group_variance is None:
            records.record(step, worker, rate, now_s)
        else:
            records.record(step, worker, rate, now_s, group_variance=group_variance)
    records.update(now_s)


def learned(seed: int, steps: int = 4) -> PerformanceRecords:
    records, choose = PerformanceRecords(), random.Random(seed)
    for number in range(steps):
        run_step(records, f"step-{number}", 10.0 + 2 * number, choose=choose)
    return records


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("count", [2, 3])
def test_a_few_observations_separate_slow_workers(count: int, seed: int) -> None:
    """Guards against gangs that use slow workers for most of a day before these are known."""
    records = learned(seed, count)
    assert all(records.is_known(worker) for worker in TIME_BY_WORKER)
    assert max(map(records.speed_of, SLOW)) < min(map(records.speed_of, FAST))
    assert all(0.8 < records.speed_of(worker) < 1.35 for worker in FAST)
    assert all(0.3 < records.speed_of(worker) < 0.7 for worker in SLOW)


@pytest.mark.parametrize("factor", [0.5, 1.0, 2.0])
def test_a_run_time_that_is_declared_wrongly_makes_no_worker_slow(factor: float) -> None:
    """Guards against workers that look slow, as they run the tasks of one job."""
    records, choose = learned(0), random.Random(0)
    for number in range(3):
        run_step(
            records,
            f"wrong-{number}",
            20.0 + number,
            choose=choose,
            times={worker: TIME_BY_WORKER[worker] for worker in FAST[:4]},
            factor=factor,
            noise=0.0,
        )
    assert all(0.8 < records.speed_of(worker) < 1.3 for worker in FAST)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("size", [2, 6])
@pytest.mark.parametrize("is_learned", [True, False])
def test_a_gang_across_racks_makes_its_workers_not_slow(
    size: int, seed: int, is_learned: bool
) -> None:
    """Guards against fast workers that are avoided, as their gangs were spread over racks."""
    records = learned(seed) if is_learned else PerformanceRecords()
    choose, gang = random.Random(seed), FAST[:size]
    others = {worker: TIME_BY_WORKER[worker] for worker in TIME_BY_WORKER if worker not in gang}
    for number in range(3):
        at = 20.0 + 2 * number
        run_step(records, f"batch-{number}", at, choose=choose, times=others, factor=1.0)
        run_step(
            records,
            f"gang-{number}/1",
            at + 1.0,
            choose=choose,
            times=dict.fromkeys(gang, FAST_TIME),
            factor=3.0,
            group_variance=SPREAD_GANG_VARIANCE,
        )
    assert all(records.speed_of(worker) > 0.8 for worker in gang)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_worker_that_turns_slow_is_seen_as_slow_and_recovers(seed: int) -> None:
    """Guards against many old observations that outweigh what a worker does now."""
    records, choose = learned(seed, steps=20), random.Random(seed)
    changing = FAST[0]
    assert records.speed_of(changing) > 0.8
    slow = {**TIME_BY_WORKER, changing: 3 * FAST_TIME}
    for number in range(3):
        run_step(records, f"slow-{number}", 51.0 + 2 * number, choose=choose, times=slow)
    assert records.speed_of(changing) < 0.7
    for number in range(4):
        run_step(records, f"again-{number}", 60.0 + 2 * number, choose=choose)
    assert records.speed_of(changing) > 0.75


def test_observations_decay() -> None:
    """Guards against a worker that is avoided for good, so that it gets no run that shows more."""
    records = learned(0)
    speeds = [records.speed_of(SLOW[0])]
    for after_s in (60.0, 120.0, 250.0):
        records.update(20.0 + after_s)
        speeds.append(records.speed_of(SLOW[0]))
    assert speeds == sorted(speeds)
    assert (speeds[-1], records.is_known(SLOW[0]), records.estimates()) == (1.0, False, {})


def test_a_worker_whose_executor_has_restarted_is_judged_by_what_it_does_now() -> None:
    """Guards against a speed that is kept although the worker is another machine."""
    kept, discounted = learned(1), learned(1)
    discounted.discount(SLOW[0])
    for records in (kept, discounted):
        records.update(20.0)
    # The speed is kept, with less trust in it.
    assert discounted.is_known(SLOW[0])
    assert discounted.speed_of(SLOW[0]) < 0.8
    for records in (kept, discounted):
        times = {**TIME_BY_WORKER, SLOW[0]: FAST_TIME}
        run_step(records, "later", 22.0, choose=random.Random(1), times=times, noise=0.0)
    assert discounted.speed_of(SLOW[0]) > 1.15 * kept.speed_of(SLOW[0])


def test_speeds_are_relative_to_the_median() -> None:
    """Guards against a fleet that looks slow, as all run times are declared too short."""
    records, choose = PerformanceRecords(), random.Random(0)
    for number in range(4):
        times = dict.fromkeys(TIME_BY_WORKER, 1.0)
        run_step(records, f"s-{number}", 2.0 * number, choose=choose, times=times, factor=2.0)
    assert all(0.75 < records.speed_of(worker) < 1.33 for worker in TIME_BY_WORKER)


@pytest.mark.parametrize("rate", [0.0, 1e-9, 1e9])
def test_an_extreme_rate_is_bounded(rate: float) -> None:
    """Guards against one wrong report that decides the speed of a worker for minutes."""
    records = learned(0)
    records.record("extreme", FAST[0], rate, 20.0)
    run_step(records, "next", 21.0, choose=random.Random(0))
    assert 0.2 < records.speed_of(FAST[0]) < 5.0


def test_the_records_of_a_worker_are_bounded() -> None:
    """Guards against memory that grows with the runs of a fleet."""
    records = learned(0, steps=100)
    counts = [len(record.rates) for record in records._record_by_worker.values()]
    assert counts == [MAX_OBSERVATIONS_PER_WORKER] * len(TIME_BY_WORKER)


def test_a_change_of_class_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log line for each small change of a speed."""
    with caplog.at_level(logging.INFO, logger="absl"):
        records = learned(0, steps=3)
        for number in range(10):
            run_step(records, f"more-{number}", 30.0 + number, choose=random.Random(3), noise=0.0)
    lines = [line for line in caplog.messages if line.startswith("event=worker_speed")]
    assert {f"target={worker}" for worker in SLOW} <= {line.split()[1] for line in lines}
    assert len(lines) <= 2 * len(TIME_BY_WORKER)


# Recording of the rates in reports.

WORKERS = [TargetId(f"w{number}") for number in range(4)]
BATCH = Step(count=4, accelerators=8, run_time_s=13.0)


def planner_with(step: Step) -> tuple[Planner, dict[TargetId, TaskId]]:
    """Return a planner that runs one task of a step on each worker, and these tasks."""
    planner = make_planner(WORKERS)
    submit(planner, make_job([step]))
    tasks = {worker: next(iter(members)) for worker, members in planner.members_by_worker.items()}
    assert len(tasks) == len(WORKERS)
    return planner, tasks


def report_rate(
    planner: Planner,
    worker: TargetId,
    task: TaskId,
    percent: int,
    run: int = 1,
    **changes: object,
) -> None:
    report = make_report(f"i-{worker}:1", work_rates={task: (run, percent)}, **changes)
    planner.apply_report(worker, report)


def pass_time(planner: Planner, seconds: float) -> None:
    planner.set_time(planner.now_s + seconds, planner.now_ms + round(seconds * 1000))
    planner.plan()


def rate_count(planner: Planner, worker: TargetId) -> int:
    record = planner.performance._record_by_worker.get(worker)
    return len(record.rates) if record is not None else 0


def test_the_leader_learns_speeds_from_reports() -> None:
    """Guards against rates that are reported and not used."""
    planner, tasks = planner_with(BATCH)
    for percents in ((150, 150, 60, 150), (130, 160, 55, 140), (150, 155, 65, 130)):
        for worker, percent in zip(WORKERS, percents, strict=True):
            report_rate(planner, worker, tasks[worker], percent)
        pass_time(planner, 2.0)
    speeds = [planner.performance.speed_of(worker) for worker in WORKERS]
    assert speeds[2] < 0.7 < min(speeds[0], speeds[1], speeds[3])


def test_a_rate_is_recorded_once_while_it_is_unchanged() -> None:
    """Guards against a rate that counts with each report of its worker."""
    planner, tasks = planner_with(BATCH)
    worker = WORKERS[0]
    counts = []
    for percent, wait_s in ((100, 1.0), (100, 1.0), (130, 1.0), (130, REPEAT_INTERVAL_S)):
        report_rate(planner, worker, tasks[worker], percent)
        pass_time(planner, wait_s)
        counts.append(rate_count(planner, worker))
    # The rate of a long run is recorded again, as its worker would be forgotten otherwise.
    assert counts == [1, 1, 2, 3]


@pytest.mark.parametrize(
    ("run", "task", "incarnation", "count"),
    [(1, None, "i-w0:1", 1), (2, None, "i-w0:1", 0), (1, "x.0.0.0", "i-w0:1", 0)],
    ids=["current", "other-run", "unknown-task"],
)
def test_only_rates_of_assigned_runs_are_recorded(
    run: int, task: str | None, incarnation: str, count: int
) -> None:
    """Guards against a rate that is compared with runs of another step."""
    planner, tasks = planner_with(BATCH)
    rates = {TaskId(task or tasks[WORKERS[0]]): (run, 100)}
    planner.apply_report(WORKERS[0], make_report(incarnation, work_rates=rates))
    assert rate_count(planner, WORKERS[0]) == count


def test_the_rate_of_a_run_that_ends_with_it_is_recorded() -> None:
    """Guards against speeds that are not learned from short runs."""
    planner, tasks = planner_with(BATCH)
    worker, task = WORKERS[0], tasks[WORKERS[0]]
    report_rate(planner, worker, task, 120, ends=[TaskEnd(task, 1, EndKind.DONE)])
    assert rate_count(planner, worker) == 1


@pytest.mark.parametrize(
    ("step", "racks", "is_comparable"),
    [
        (BATCH, ["r1", "r2"], True),
        (Step(count=4, accelerators=8, run_time_s=13.0, data_rack="r1"), ["r1", "r2"], False),
        (Step(count=4, accelerators=8, run_time_s=13.0, data_rack="r9"), ["r1", "r2"], True),
        (Step(count=4, accelerators=8, run_time_s=13.0, gang=True), ["r1", "r1"], True),
    ],
    ids=["step", "data-rack", "far-from-data", "gang"],
)
def test_runs_are_compared_with_runs_that_are_slowed_alike(
    step: Step, racks: list[str], is_comparable: bool
) -> None:
    """Guards against workers that look slow, as the data of their tasks is in another rack."""
    planner, tasks = planner_with(step)
    for worker, rack in zip(WORKERS, racks, strict=False):
        report_rate(planner, worker, tasks[worker], 100, rack=RackId(rack))
    groups = {
        planner.performance._record_by_worker[worker].rates[0].group for worker in WORKERS[:2]
    }
    assert (len(groups) == 1) is is_comparable


@pytest.mark.parametrize("is_spread", [True, False])
def test_a_gang_that_is_spread_over_racks_may_be_slow_as_a_whole(is_spread: bool) -> None:
    """Guards against workers of one rack that look slow after a gang that was across racks."""
    step = Step(count=4, accelerators=8, run_time_s=13.0, gang=True, same_rack=True)
    planner, tasks = planner_with(step)
    if is_spread:
        planner.apply_report(WORKERS[3], make_report(f"i-{WORKERS[3]}:1", rack=RackId("r2")))
    report_rate(planner, WORKERS[0], tasks[WORKERS[0]], 33)
    (rate,) = planner.performance._record_by_worker[WORKERS[0]].rates
    assert (rate.group_variance == SPREAD_GANG_VARIANCE) is is_spread


def test_a_new_incarnation_lowers_the_trust_in_a_speed() -> None:
    """Guards against a speed that is kept in full for what may be another machine."""
    planner, tasks = planner_with(BATCH)
    worker = WORKERS[0]
    report_rate(planner, worker, tasks[worker], 100)
    planner.apply_report(worker, make_report(f"i-{worker}:2"))
    (rate,) = planner.performance._record_by_worker[worker].rates
    assert rate.weight == pytest.approx(0.3)
