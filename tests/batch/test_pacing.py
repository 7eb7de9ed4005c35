"""Pace of filling tasks beside tasks that serve users on the same executor."""

import pytest

from chicorycrank.batch.pacing import SETTLING_TIME_S, Pacer
from chicorycrank.batch.run import Run
from chicorycrank.model.batch import Assignment
from chicorycrank.model.ids import Incarnation, TaskId

INCARNATION = Incarnation("i-1:1")


def make_runs(latency_ms: float, target_s: float = 0.1) -> list[Run]:
    serving = Assignment(
        task=TaskId("a.0.0.0"), run=1, long_running=True, target_latency_s=target_s
    )
    filling = Assignment(task=TaskId("b.0.0.0"), run=1, fills=True)
    return [
        Run(assignment=serving, incarnation=INCARNATION, load=latency_ms),
        Run(assignment=filling, incarnation=INCARNATION),
    ]


def percents_for(latencies_ms: list[float]) -> list[int]:
    pacer = Pacer()
    percents = []
    for number, latency_ms in enumerate(latencies_ms):
        for pace_change in pacer.update(make_runs(latency_ms), number * (SETTLING_TIME_S + 0.1)):
            pacer.record_accepted(pace_change)
        percents.append(pacer.percent)
    return percents


@pytest.mark.parametrize(
    ("latencies_ms", "expected"),
    [
        ([50, 50], [100, 100]),
        ([120, 120, 120, 120], [40, 16, 0, 0]),
        ([120, 120, 120, 40, 40], [40, 16, 0, 15, 30]),
        ([120, 70, 70], [40, 40, 40]),
    ],
)
def test_filling_tasks_are_slowed_while_a_serving_task_is_slow(
    latencies_ms: list[float], expected: list[int]
) -> None:
    """Guards against filling tasks that keep a serving task above its latency bound."""
    assert percents_for(latencies_ms) == expected


def test_a_pace_that_was_not_accepted_is_sent_again() -> None:
    """Guards against a lost call that leaves a filling task at full speed."""
    pacer = Pacer()
    assert [pace_change.percent for pace_change in pacer.update(make_runs(120), 0.0)] == [40]
    assert [pace_change.percent for pace_change in pacer.update(make_runs(120), 0.1)] == [40]


def test_filling_tasks_run_at_full_speed_without_a_serving_task() -> None:
    """Guards against filling tasks that stay slowed after the last serving task has ended."""
    pacer = Pacer()
    pacer.percent = 0
    filling = make_runs(0)[1:]
    for number in range(10):
        for pace_change in pacer.update(filling, 10.0 + number):
            pacer.record_accepted(pace_change)
    assert pacer.percent == 100
