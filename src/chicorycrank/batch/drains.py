"""Runs on draining workers: which go on there, and which are stopped and when.

Load that it answers: workers that are drained or taken away at a notice of seconds, on a fleet
whose workers differ in speed. A run that is taken to end in time and does not is lost.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from statistics import median
from typing import TYPE_CHECKING

from chicorycrank.batch.units import UnitRef
from chicorycrank.model.batch import Step, Unit, UnitState, WorkerReport, WorkerState
from chicorycrank.model.ids import Incarnation, TargetId

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState
    from chicorycrank.batch.unit_lifecycle import UnitLifecycle

DRAINED = "the worker drains"
# A draining executor runs slightly longer than the remaining time that it reports.
DRAIN_MARGIN_S = 2.0
# Time that an executor takes to save a checkpoint at a stop, unless the settings say otherwise.
STOP_S = 0.4
# Time from the decision until the stop call: the write of the order, its watch and the call.
ORDER_DELAY_S = 0.5
# Reported rates have an error of up to a fifth. Declared run times are off by a factor of up to 2.
MEASURED_ERROR_FACTOR = 1.25
DECLARED_ERROR_FACTOR = 2.0
# An attempt to end keeps its capacity for the time of the notice. It is made for work of at least
# this many times that.
WORTHWHILE_MULTIPLE = 2.0


@dataclass(frozen=True, kw_only=True)
class MemberPace:
    """What is known of the pace of a member of a unit.

    :param speed: speed of its worker relative to the others
    :param rate: reported progress per second relative to the declared run time; None if unknown
    """

    speed: float
    rate: float | None = None


@dataclass(frozen=True, kw_only=True)
class DrainingRun:
    """Run of a unit of which a member is on a draining worker.

    :param remaining_s: expected time in seconds until its end
    :param least_remaining_s: the same if the estimate errs to its disadvantage
    :param elapsed_s: time in seconds since its start
    :param is_measured: its own rate was reported
    """

    remaining_s: float
    least_remaining_s: float
    elapsed_s: float
    is_measured: bool


def expected_rate(members: Sequence[MemberPace]) -> float:
    """Return the rate of the slowest member, 1.0 if it is as fast as declared.

    Declared run times are off alike for all members, so the members with a reported rate show the
    rate of the others.
    """
    known = [member.rate / member.speed for member in members if member.rate is not None]
    common = median(known) if known else 1.0
    rates = (m.speed * common if m.rate is None else m.rate for m in members)
    return min(rates, default=1.0)


def estimate_run(step: Step, elapsed_s: float, members: Sequence[MemberPace]) -> DrainingRun:
    """Return what to expect of a run from the pace of its members.

    A run that has resumed from a checkpoint is taken for one that began without progress.
    """
    is_measured = any(member.rate is not None for member in members)
    whole_s = step.run_time_s / expected_rate(members)
    factor = MEASURED_ERROR_FACTOR if is_measured else DECLARED_ERROR_FACTOR
    return DrainingRun(
        remaining_s=whole_s - elapsed_s,
        least_remaining_s=whole_s / factor - elapsed_s,
        elapsed_s=elapsed_s,
        is_measured=is_measured,
    )


def may_stay(step: Step, run: DrainingRun, notice_s: float, stop_s: float) -> bool:
    """Return whether a unit goes on for now on a worker that drains.

    :param notice_s: minimum time in seconds until the executor exits
    :param stop_s: time in seconds that the executor takes to save a checkpoint
    """
    if step.long_running:
        return False
    if step.checkpointing:
        if notice_s > stop_s + ORDER_DELAY_S:
            return run.remaining_s <= notice_s
        # Last moment for a checkpoint. A run that is overdue may go on for long.
        return run.is_measured and 0 < run.remaining_s <= notice_s
    # Work without checkpoints gains nothing from a stop, so it may exceed the time slightly.
    available_s = notice_s + DRAIN_MARGIN_S
    if run.remaining_s <= available_s:
        return True
    is_worthwhile = run.elapsed_s >= WORTHWHILE_MULTIPLE * available_s
    return is_worthwhile and run.least_remaining_s <= available_s


class Drains:
    """Draining workers and when their executors may exit.

    :ivar stop_s: time in seconds that an executor takes to save a checkpoint at a stop
    """

    def __init__(self) -> None:
        self.stop_s = STOP_S
        self._ends_at_by_worker: dict[TargetId, tuple[Incarnation, float]] = {}

    def record(self, worker: TargetId, report: WorkerReport, now_s: float) -> None:
        """Record a report; one that is written again does not prolong the notice."""
        if report.state is not WorkerState.DRAINING:
            self._ends_at_by_worker.pop(worker, None)
            return
        ends_at = now_s + report.remaining_ms / 1000
        incarnation, earlier = self._ends_at_by_worker.get(worker, ("", ends_at))
        if incarnation == report.incarnation:
            ends_at = min(ends_at, earlier)
        self._ends_at_by_worker[worker] = report.incarnation, ends_at

    def notice_s(self, worker: TargetId, now_s: float) -> float | None:
        """Return the time in seconds until a worker's executor may exit; None if it stays."""
        known = self._ends_at_by_worker.get(worker)
        return known[1] - now_s if known is not None else None

    def workers(self) -> list[TargetId]:
        """Return the draining workers."""
        return list(self._ends_at_by_worker)

    def next_check_in_s(self, now_s: float) -> float | None:
        """Return the time in seconds until the next last moment for checkpoints; None if none."""
        times = (
            ends_at - self.stop_s - ORDER_DELAY_S - now_s
            for _, ends_at in self._ends_at_by_worker.values()
        )
        return min((time_s for time_s in times if time_s > 0), default=None)


def stop_units(planner: UnitLifecycle, workers: Iterable[TargetId]) -> None:
    """Stop the units on draining workers that may not stay there."""
    drains = planner.drains
    for worker in workers:
        notice_s = drains.notice_s(worker, planner.now_s)
        if notice_s is None:
            continue
        for member in list(planner.members_by_worker.get(worker, {}).values()):
            step, unit = planner.step_of(member.ref), planner.unit_of(member.ref)
            if unit.state is not UnitState.ASSIGNED:
                continue
            elapsed_s = max(0.0, (planner.now_ms - unit.started_at_ms) / 1000)
            run = estimate_run(step, elapsed_s, list(_paces(planner, member.ref, unit)))
            if not may_stay(step, run, notice_s, drains.stop_s):
                planner.stop_unit(member.ref, DRAINED)


def _paces(planner: PlannerState, ref: UnitRef, unit: Unit) -> Iterator[MemberPace]:
    """Yield the pace of each member of a unit that has not ended."""
    for task, place in zip(ref.tasks(planner.step_of(ref)), unit.places, strict=True):
        state = planner.workers.by_id.get(place.worker)
        if state is None:
            continue
        run, percent = state.report.work_rates.get(task, (0, 0))
        has_rate = run == unit.run and percent > 0
        yield MemberPace(
            speed=planner.performance.speed_of(place.worker),
            rate=percent / 100 if has_rate else None,
        )
