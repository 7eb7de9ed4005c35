"""Record of the pairs of workloads, from which a new leader goes on."""

import random

import msgspec
import pytest
from tests.batch.interference_world import A, B, World
from tests.batch.leader_harness import LeaderHarness
from tests.batch.test_performance import learned
from tests.batch.test_performance_summary import learn, summary_writes

from chicorycrank.batch.interference_summary import StoredPairs, make_pairs, restore_pairs
from chicorycrank.batch.keys import PERFORMANCE_KEY, decode, encode
from chicorycrank.batch.performance_summary import (
    PerformanceSummary,
    has_changed,
    make_summary,
    restore,
)
from chicorycrank.model.ids import TargetId, Workload
from chicorycrank.policy.interference import MAX_PAIRS, Interference
from chicorycrank.policy.slow_down_estimates import PairEstimate
from chicorycrank.ports.transactions import Write

KNOWN: StoredPairs = {A: {B: (40, 100, 5, True)}, B: {A: (10, 30, 5, False)}}


def learned_world() -> World:
    workers = [TargetId(f"w{number:02d}") for number in range(12)]
    world = World(time_by_worker=dict.fromkeys(workers, 1.0), choose=random.Random(1))
    for _ in range(15):
        world.run_round(["a", "b", "c"])
    return world


def test_a_new_leader_keeps_pairs_apart_and_forgets_them_as_the_former_one_would() -> None:
    """Guards against pairs that are learned again after each change of the leader."""
    harness = LeaderHarness()
    interference = learned_world().planner.interference
    harness.term._planner.interference = interference
    # What the former world has learned was learned on a clock that starts at 1000 s, too.
    learn(harness)
    written = decode(harness.store.items[PERFORMANCE_KEY].value or b"", PerformanceSummary)
    assert written.pairs[A][B][3]
    harness.take_over()
    planner = harness.term._planner
    before = {(pair.workload, pair.neighbour): pair.slow_down for pair in interference.found}
    after = {(pair.workload, pair.neighbour): pair.slow_down for pair in planner.interference.found}
    assert after.keys() == before.keys() == {(A, B), (B, A)}
    for pair, slow_down in before.items():
        assert after[pair] == pytest.approx(slow_down, rel=0.1)
    harness.plan()
    assert planner.cell.disturbing_workloads == {A: {B}, B: {A}}
    assert harness.term.found_interference() == planner.interference.found
    msgspec.json.encode(harness.term.found_interference())  # a part of the state dump
    harness.clock.seconds += 600.0
    harness.plan()
    assert harness.term.found_interference() == ()
    assert planner.cell.disturbing_workloads == {}


@pytest.mark.parametrize(
    "value",
    [None, b'{"speeds":{}}', b'{"pairs":[["a","b"]]}', b'{"pairs":{"a":{"b":[1]}}}'],
    ids=["missing", "earlier-version", "other-kind", "other-fields"],
)
def test_without_readable_pairs_they_are_learned_again(value: bytes | None) -> None:
    """Guards against a leader that does not plan, as a record cannot be read."""
    harness = LeaderHarness()
    if value is not None:
        harness.store.apply(Write(values={PERFORMANCE_KEY: value}))
    harness.take_over()
    harness.plan()
    assert harness.term.found_interference() == ()


def test_the_record_is_written_for_changes_of_found_pairs_only() -> None:
    """Guards against a write for each rate of a run beside another one."""

    def summary(pairs: StoredPairs) -> PerformanceSummary:
        return PerformanceSummary(pairs=pairs)

    written = summary(KNOWN)
    for pairs, expected in (
        (KNOWN, False),
        ({A: {B: (44, 90, 6, True)}, B: {A: (30, 60, 9, False)}}, False),
        ({A: {B: (40, 100, 5, True)}}, False),
        ({A: {B: (55, 100, 5, True)}}, True),
        ({A: {B: (40, 100, 5, False)}}, True),
        ({A: {B: (40, 100, 5, True)}, B: {A: (40, 100, 5, True)}}, True),
        ({}, True),
    ):
        assert has_changed(summary(pairs), written) is expected


def test_a_leader_that_does_not_keep_pairs_apart_neither_reads_nor_writes_them() -> None:
    """Guards against a setting that stays without effect as the record has pairs."""
    harness = LeaderHarness()
    harness.store.apply(Write(values={PERFORMANCE_KEY: encode(PerformanceSummary(pairs=KNOWN))}))
    harness.take_over()
    assert len(harness.term.found_interference()) == 1
    harness.avoids_interference = False
    harness.take_over()
    assert harness.term.found_interference() == ()
    learn(harness, steps=8)
    assert (
        decode(summary_writes(harness)[-1].values[PERFORMANCE_KEY], PerformanceSummary).pairs == {}
    )


@pytest.mark.parametrize(
    "entry", [(10**9, 20, 5, True), (40, 10**9, 5, True), (40, -3, 5, True), (40, 9, -1, False)]
)
def test_impossible_entries_are_bounded(entry: tuple[int, int, int, bool]) -> None:
    """Guards against a wrong record that keeps workloads apart for good."""
    interference = Interference()
    restore_pairs(interference, {A: {B: entry}}, 0.0)
    assert interference.log_slow_down(A, {B: 1.0}) <= 1.5
    interference.update(600.0)
    assert interference.found == ()


def test_the_record_is_bounded() -> None:
    """Guards against a record that costs more with each image that a fleet has ever run."""
    interference = Interference()
    estimate = PairEstimate(log_slow_down=0.4, evidence=100.0, workers=50)
    pairs = {
        (Workload(f"{number // 12:040d}"), Workload(f"{number % 12:040d}")): estimate
        for number in range(2 * MAX_PAIRS)
    }
    interference.restore(pairs, pairs, 0.0)
    summary = make_summary(learned(0), interference)
    assert sum(map(len, summary.pairs.values())) == MAX_PAIRS
    assert len(encode(summary)) < 18_000


def test_pairs_survive_a_record() -> None:
    """Guards against a rounding or an order of fields that changes what is restored."""
    interference = Interference()
    restore(learned(0), PerformanceSummary(pairs=KNOWN), 0.0, interference)
    stored = make_pairs(interference)
    assert stored.keys() == KNOWN.keys()
    percent, evidence, workers, is_found = stored[A][B]
    # The evidence counts for 0.7, and the mean moves a little towards none.
    assert (percent, evidence, workers, is_found) == (38, 70, 5, True)
