"""Record of the speeds of workers, from which a new leader goes on."""

import random
from collections.abc import Sequence
from itertools import pairwise

import pytest
from tests.batch.leader_harness import LeaderHarness
from tests.batch.test_performance import FAST, SLOW, TIME_BY_WORKER, learned, run_step

from chicorycrank.batch.keys import LEADER_KEY, PERFORMANCE_KEY, WATCHED_PREFIX, decode, encode
from chicorycrank.batch.performance import PerformanceRecords
from chicorycrank.batch.performance_summary import (
    MAX_SPEEDS,
    PerformanceSummary,
    has_changed,
    make_summary,
    restore,
)
from chicorycrank.batch.role import RoleLostError
from chicorycrank.model.ids import TargetId
from chicorycrank.ports.transactions import Write


def records_of(harness: LeaderHarness) -> PerformanceRecords:
    return harness.term._planner.performance


def learn(harness: LeaderHarness, steps: int = 4, *, noise: float = 0.0) -> None:
    """Record rates of all workers over some seconds, while the leader plans."""
    for number in range(steps):
        harness.clock.seconds += 1.0
        now_s = harness.clock.seconds
        run_step(
            records_of(harness), f"{now_s}-{number}", now_s, choose=random.Random(1), noise=noise
        )
        harness.plan()


def summary_writes(harness: LeaderHarness) -> list[Write]:
    return [write for write in harness.store.writes if PERFORMANCE_KEY in write.values]


def separated(records: PerformanceRecords) -> bool:
    return max(map(records.speed_of, SLOW)) < 0.7 < min(map(records.speed_of, FAST))


def test_a_new_leader_knows_the_speeds() -> None:
    """Guards against gangs on slow workers after each change of the leader."""
    harness = LeaderHarness()
    learn(harness, steps=8)
    before = {worker: records_of(harness).speed_of(worker) for worker in TIME_BY_WORKER}
    harness.take_over()
    records = records_of(harness)
    assert separated(records)
    for worker, speed in before.items():
        assert records.speed_of(worker) == pytest.approx(speed, rel=0.2)
    # What the earlier leader has learned is soon outweighed by what the workers do now.
    times = {**TIME_BY_WORKER, SLOW[0]: TIME_BY_WORKER[FAST[0]]}
    for number in range(4):
        now_s = harness.clock.seconds + 1.0 + number
        run_step(records, f"new-{number}", now_s, choose=random.Random(1), times=times, noise=0.0)
    assert records.speed_of(SLOW[0]) > 0.75


@pytest.mark.parametrize(
    "value",
    [None, b"", b"\xff", b"[]", b'{"speeds":{"w":["fast",3]}}', b'{"speeds":3}'],
    ids=["missing", "empty", "no-text", "other-kind", "other-type", "other-field"],
)
def test_without_a_readable_record_all_speeds_are_learned_again(value: bytes | None) -> None:
    """Guards against a leader that does not plan, as a record cannot be read."""
    harness = LeaderHarness()
    if value is not None:
        harness.store.apply(Write(values={PERFORMANCE_KEY: value}))
    harness.take_over()
    assert {records_of(harness).speed_of(worker) for worker in TIME_BY_WORKER} == {1.0}
    learn(harness)
    assert separated(records_of(harness))


def test_the_record_is_written_rarely_and_only_after_a_change() -> None:
    """Guards against a write for each rate, and for speeds that are known already."""
    harness = LeaderHarness()
    written_at = []
    for _ in range(60):
        count = len(summary_writes(harness))
        learn(harness, steps=1, noise=0.3)
        if len(summary_writes(harness)) > count:
            written_at.append(harness.clock.seconds)
    gaps = [after - before for before, after in pairwise(written_at)]
    assert written_at
    assert min(gaps, default=5.0) >= 5.0
    learn(harness, steps=20)
    count = len(summary_writes(harness))
    learn(harness, steps=20)
    assert len(summary_writes(harness)) == count


def test_a_leader_without_rates_writes_no_record() -> None:
    """Guards against a record that a new leader replaces by an empty one."""
    harness = LeaderHarness()
    learn(harness)
    harness.take_over()
    count = len(summary_writes(harness))
    for _ in range(10):
        harness.clock.seconds += 1.0
        harness.plan()
    assert len(summary_writes(harness)) == count


def test_a_leader_that_has_lost_the_role_does_not_write_the_record() -> None:
    """Guards against old speeds that replace those of the new leader."""
    harness = LeaderHarness()
    former = harness.term
    harness.take_over()
    learn(harness)
    written = harness.store.items[PERFORMANCE_KEY]
    run_step(former._planner.performance, "a", harness.clock.seconds, choose=random.Random(0))
    run_step(former._planner.performance, "b", harness.clock.seconds + 2, choose=random.Random(1))
    with pytest.raises(RoleLostError):
        former._plan_once()
    assert harness.store.items[PERFORMANCE_KEY] == written
    assert all(LEADER_KEY in write.expected for write in summary_writes(harness))


@pytest.mark.parametrize("fault", ["refuse", "no_response", "lose"])
def test_the_record_is_written_in_spite_of_a_failed_call(fault: str) -> None:
    """Guards against a record that is taken for written and is not."""
    harness = LeaderHarness()
    faults = [fault]
    harness.store.fault = lambda operation: faults.pop() if operation == "commit" and faults else ""
    learn(harness)
    assert not faults
    item = harness.store.items[PERFORMANCE_KEY]
    assert decode(item.value or b"", PerformanceSummary).speeds.keys() == TIME_BY_WORKER.keys()


@pytest.mark.parametrize(("count", "kept"), [(300, 300), (2000, MAX_SPEEDS)])
def test_the_record_is_bounded(count: int, kept: int) -> None:
    """Guards against a record that costs more with each worker that a fleet has ever had."""
    records = PerformanceRecords()
    times = {TargetId(f"worker-of-a-zone-{number:04d}"): 1.0 for number in range(count)}
    for number in range(4):
        run_step(records, f"s-{number}", 2.0 * number, choose=random.Random(number), times=times)
    summary = make_summary(records)
    assert len(summary.speeds) == kept
    assert len(encode(summary)) < 18_000


def test_entries_do_not_watch_the_record() -> None:
    """Guards against entries that pay for a record which only the leader reads."""
    assert not PERFORMANCE_KEY.startswith(WATCHED_PREFIX)


def make_speeds(*percents: int) -> PerformanceSummary:
    return PerformanceSummary(
        speeds={TargetId(f"w{number}"): (percent, 20) for number, percent in enumerate(percents)}
    )


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ([0, -50], [0, -50], False),
        ([0, -50], [5, -45], False),
        ([0, -50], [0, -35], True),
        ([0, -50], [0], True),
        ([0], [0, 0], True),
    ],
)
def test_a_tenth_is_a_change(before: Sequence[int], after: Sequence[int], expected: bool) -> None:
    """Guards against writes for changes that do not matter, and against missing ones."""
    assert has_changed(make_speeds(*after), make_speeds(*before)) is expected


@pytest.mark.parametrize("entry", [(10**9, 20), (-(10**9), 20), (0, 10**9), (50, -3), (50, 0)])
def test_impossible_entries_are_bounded(entry: tuple[int, int]) -> None:
    """Guards against a wrong record that fixes the speed of a worker, or stops the leader."""
    records = learned(0)
    restore(records, PerformanceSummary(speeds={SLOW[0]: entry}), 20.0)
    for number in range(6):
        run_step(records, f"s-{number}", 21.0 + number, choose=random.Random(number))
    assert separated(records)


def test_a_record_of_a_later_version_is_read() -> None:
    """Guards against a leader that loses the speeds, as a later version adds other records."""
    value = b'{"speeds":{"w":[-50,30],"v":[0,30],"u":[0,30]},"image_pairs":[["a","b",3]]}'
    records = PerformanceRecords()
    restore(records, decode(value, PerformanceSummary), 10.0)
    assert records.speed_of(TargetId("w")) == pytest.approx(0.6, abs=0.1)
