"""Runs on crashed executors, and what the recorded crashes of a unit show."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import TYPE_CHECKING

from chicorycrank.batch.units import UnitRef
from chicorycrank.model.batch import Crash, Unit
from chicorycrank.model.ids import TargetId

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

# Limit of the upper bound of a run's age: its executor crashed when it started. The time covers the
# calls of a loaded machine.
START_WINDOW_MS = 2000
# Limit of the lower bound: a run that has certainly lived this long has outlived its start.
START_SURVIVAL_MS = 1000
# A crash this long after the start of a run is not put down to the run.
MAX_RUN_AGE_MS = 60_000
# A job that would be given up if its crashes were proven waits this long for the proof.
PROOF_TIMEOUT_MS = 5000


@dataclass(frozen=True, kw_only=True)
class CrashedRun:
    """Run that was on an executor when it crashed.

    :param member: index of the task in its unit
    :param age_ms: maximum time in milliseconds from its start until the crash
    :param is_witnessed: the agent was running at the crash, and the run may have been its cause
    :param has_started: the executor had confirmed the start
    :param is_test: the run was a test
    :param survived_ms: minimum time in milliseconds for which it had lived
    """

    ref: UnitRef
    member: int
    age_ms: int
    is_witnessed: bool
    has_started: bool
    is_test: bool
    survived_ms: int

    def __str__(self) -> str:
        return (
            f"{self.ref.name}/{self.age_ms}ms/lived={self.survived_ms}ms/started={self.has_started}"
        )


def select_suspects(runs: list[CrashedRun]) -> list[CrashedRun]:
    """Return the job in test if nothing else may have just started, otherwise all recent runs.

    A start without an answer may take effect long after its call.
    """
    tested = {run.ref.job_id for run in runs if run.is_test}
    recent = {
        run.ref.job_id
        for run in runs
        if run.age_ms < START_WINDOW_MS
        or (not run.has_started and run.survived_ms < START_SURVIVAL_MS)
    }
    if len(tested) == 1 and recent <= tested:
        return [run for run in runs if run.ref.job_id in tested]
    return [run for run in runs if run.age_ms <= MAX_RUN_AGE_MS]


def select_uncertain(runs: list[CrashedRun], suspects: Collection[CrashedRun]) -> list[CrashedRun]:
    """Return the runs that are no suspects but may have crashed the executor by starting."""
    return [
        run
        for run in runs
        if run not in suspects
        and run.age_ms <= MAX_RUN_AGE_MS
        and run.survived_ms < START_SURVIVAL_MS
    ]


def is_proven(planner: PlannerState, crash: Crash) -> bool:
    """Return whether another incarnation has answered at the address of the one that crashed."""
    state = planner.workers.by_id.get(crash.worker)
    return state is not None and state.report.incarnation not in ("", crash.incarnation)


def has_followed_start(crash: Crash, member: int) -> bool:
    """Return whether an executor certainly crashed shortly after it had started a task."""
    return (
        member in crash.started
        and crash.age_ms < START_WINDOW_MS
        and may_have_followed_start(crash)
    )


def may_have_followed_start(crash: Crash) -> bool:
    """Return whether nothing shows that the run had outlived its start."""
    return crash.survived_ms < START_SURVIVAL_MS


def waits_for_proof(planner: PlannerState, crashes: Collection[Crash]) -> bool:
    """Return whether the newest of these crashes may still be proven soon."""
    newest_ms = max(crash.at_ms for crash in crashes)
    # The clock of an earlier leader may have been ahead.
    return abs(planner.now_ms - newest_ms) < PROOF_TIMEOUT_MS


def crashes_by_member(unit: Unit) -> dict[int, list[Crash]]:
    """Return the crashes that a unit has seen by the index of its task."""
    by_member: dict[int, list[Crash]] = {}
    for crash in unit.crashes:
        for member in crash.members:
            by_member.setdefault(member, []).append(crash)
    return by_member


def max_crashes_of_a_task(unit: Unit) -> int:
    """Return the number of crashes under the unit's task that has seen the most."""
    return max(map(len, crashes_by_member(unit).values()), default=0)


def workers_with_starts(planner: PlannerState, since_ms: int) -> set[TargetId]:
    """Return the workers that have runs which were started after a Unix time in milliseconds."""
    return {
        worker
        for worker, members in planner.members_by_worker.items()
        for member in members.values()
        if planner.progress_by_id[member.ref.job_id].units[member.ref.key].started_at_ms > since_ms
    }


def task_name(ref: UnitRef, member: int) -> str:
    """Return the name of a task of a unit within its job."""
    return f"{ref.step_key}.{member if ref.index is None else ref.index}"
