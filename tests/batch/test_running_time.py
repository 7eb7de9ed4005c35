"""Time during which a process has run."""

import logging
import threading
from collections.abc import Sequence

import pytest
from tests.batch.fakes import ManualClock

from chicorycrank.batch.running_time import TICK_INTERVAL_S, RunningTime


@pytest.mark.parametrize(
    ("ticks_s", "counted_s", "is_logged"),
    [
        ([0.1] * 10, 1.0, False),
        ([0.1, 21.0, 0.1], 3 * TICK_INTERVAL_S, True),
        ([0.3, 0.3], 2 * TICK_INTERVAL_S, False),
    ],
    ids=["running", "paused", "slow"],
)
def test_a_pause_does_not_count_as_running_time(
    ticks_s: Sequence[float], counted_s: float, is_logged: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a lease that is taken for expired because the agent stood still."""
    clock = ManualClock()
    running_time = RunningTime(clock, threading.Event())
    with caplog.at_level(logging.WARNING, logger="absl"):
        for tick_s in ticks_s:
            clock.seconds += tick_s
            running_time.tick()
    assert running_time.seconds == pytest.approx(counted_s)
    assert ("process_paused" in caplog.text) is is_logged
