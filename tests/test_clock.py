"""Clocks of the programs."""

import time

import pytest

from chicorycrank.adapters.clock import SuspendAwareClock, SystemClock

SUSPENDED_S = 25.0


@pytest.mark.parametrize(("kind", "grows_by"), [(SystemClock, 0.0), (SuspendAwareClock, 25.0)])
def test_a_suspension_counts_where_leases_are_kept(
    kind: type[SystemClock], grows_by: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a lease or a key that a machine takes for fresh after it was suspended."""
    instance = kind()
    before = instance.monotonic()
    real = time.clock_gettime
    monkeypatch.setattr("time.clock_gettime", lambda which: real(which) + SUSPENDED_S)
    assert instance.monotonic() - before == pytest.approx(grows_by, abs=1.0)
