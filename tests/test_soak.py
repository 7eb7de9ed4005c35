"""Soak tests of the batch programs, with the seeds of past failures."""

import hashlib
from pathlib import Path

import pytest

from chicorycrank_standin.soak.fault_kinds import FaultKind
from chicorycrank_standin.soak.faults import (
    CAPACITY_KINDS,
    FIRST_KINDS,
    MAX_DURATION_S,
    plan_faults,
)
from chicorycrank_standin.soak.session import run_soak

SHORT_DURATION_S = 6.0
FULL_DURATION_S = 20.0
# Seeds that found a violation, each with its cause:
# 5: a disconnected agent accepted runs that an order without work had withdrawn.
# 2002: two tasks had crashed one executor each, as starts without an answer counted for both.
# 9201: a restarted agent reported the runs of its living executor as crashed, after a heartbeat of
#   an earlier life; a job that was cancelled while watches were silent started.
# 9203: agents took the heartbeat of another writer for their executor's and stayed with it.
# 35003: a crash of an executor that starts may not have reached counted under a harmful job.
# 35013: the verdict on another job cleared a harmful one of a crash, which was then started again.
REGRESSION_SEEDS = (5, 2002, 9201, 9203, 35003, 35013)
EARLIER_FAULTS_SHA256 = "14d30a14d186b04eaa32c8a22348ea2922a22b36f292bd51f45ec0a2cd0102e5"


@pytest.mark.parametrize(
    ("seed", "duration_s"),
    [(1001, SHORT_DURATION_S), *((seed, FULL_DURATION_S) for seed in REGRESSION_SEEDS)],
)
def test_soak_has_no_violations(seed: int, duration_s: float, tmp_path: Path) -> None:
    """Guards against duplicate runs, lost jobs and refused jobs that run nevertheless.

    Processes, links, the store and the executors fail in a sequence that the seed determines.
    """
    result = run_soak(seed, duration_s, tmp_path)
    assert result.violations == ()
    assert result.accepted > 0


def test_seed_determines_the_planned_faults() -> None:
    """Guards against a failing seed that cannot be reproduced."""
    assert plan_faults(7, FULL_DURATION_S) == plan_faults(7, FULL_DURATION_S)
    assert plan_faults(7, FULL_DURATION_S) != plan_faults(8, FULL_DURATION_S)


def test_new_kinds_of_faults_leave_the_earlier_faults_of_a_seed() -> None:
    """Guards against a regression seed that loses its faults when a kind is added."""
    faults = [fault for seed in (5, 1001, 2002) for fault in plan_faults(seed, FULL_DURATION_S)]
    text = "\n".join(
        f"{f.starts_at_s:.9f} {f.kind.value} {f.target_index} {f.duration_s:.9f}"
        for f in faults
        if f.kind in (*FIRST_KINDS, *CAPACITY_KINDS)
    )
    assert hashlib.sha256(text.encode()).hexdigest() == EARLIER_FAULTS_SHA256


def test_plans_contain_every_kind_of_fault() -> None:
    """Guards against a kind of fault that no seed injects."""
    faults = [fault for seed in range(50) for fault in plan_faults(seed, FULL_DURATION_S)]
    assert {fault.kind for fault in faults} == set(FaultKind)
    assert all(
        fault.starts_at_s < FULL_DURATION_S and fault.duration_s <= MAX_DURATION_S
        for fault in faults
    )
