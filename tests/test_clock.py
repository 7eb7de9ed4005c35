"""Monotonic time of the clocks across a suspension of the machine."""

import time

import pytest

from chicorycrank.adapters.clock import SuspendAwareClock, SystemClock

SUSPENDED_S = 25.0


@pytest.mark.parametrize(
    ("clock_class", "expected_growth_s"), [(SystemClock, 0.0), (SuspendAwareClock, SUSPENDED_S)]
)
def test_only_suspend_aware_clock_counts_a_suspension(
    clock_class: type[SystemClock], expected_growth_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against using a lease or key that expired while the machine was suspended."""
    clock = clock_class()
    before = clock.monotonic()
    unpatched_clock_gettime = time.clock_gettime
    monkeypatch.setattr(
        "time.clock_gettime", lambda clock_id: unpatched_clock_gettime(clock_id) + SUSPENDED_S
    )
    assert clock.monotonic() - before == pytest.approx(expected_growth_s, abs=1.0)
