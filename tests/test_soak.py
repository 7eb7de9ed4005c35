"""Short soaks of the batch programs, and the seeds that once broke a promise."""

from pathlib import Path

import pytest

from chicorycrank_standin.soak.faults import MAX_FOR_S, Kind, plan
from chicorycrank_standin.soak.session import run_soak

SHORT_S = 6.0
FULL_S = 20.0
# Seeds that broke a promise, with the cause:
# 5: an agent that had been cut off accepted runs that an order without work had withdrawn.
FAILED_ONCE = (5,)


@pytest.mark.parametrize(
    ("seed", "length_s"), [(1001, SHORT_S), *((seed, FULL_S) for seed in FAILED_ONCE)]
)
def test_promises_hold_in_a_soak(seed: int, length_s: float, tmp_path: Path) -> None:
    """Guards against tasks that run twice, lost jobs and refusals that are not true."""
    result = run_soak(seed, length_s, tmp_path)
    assert result.violations == ()
    assert result.accepted > 0


def test_a_plan_follows_from_its_seed() -> None:
    """Guards against a failing seed that cannot be played again."""
    assert plan(7, FULL_S) == plan(7, FULL_S)
    assert plan(7, FULL_S) != plan(8, FULL_S)


def test_plans_hold_every_kind_of_fault() -> None:
    """Guards against a kind of fault that no seed ever plays."""
    faults = [fault for seed in range(50) for fault in plan(seed, FULL_S)]
    assert {fault.kind for fault in faults} == set(Kind)
    assert all(fault.at_s < FULL_S and fault.for_s <= MAX_FOR_S for fault in faults)
