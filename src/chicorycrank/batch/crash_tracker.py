"""Units that may have crashed their executors: records, test runs and the jobs that are given up.

A unit that was on an executor when it crashed keeps a record of the crash until it is cleared: by
its end as done, or by a later run that lasts longer than it had run at the crash. A unit that had
only just started, or that saw two crashes, is started as a test: on a worker that gets no other
start until the unit is cleared or has outlived its start, so that a crash has one explanation.

An agent also reports runs as crashed once the lease of an executor that refuses connections has
expired. That proves their end but not the crash, which is proven by the next incarnation that
answers, and refuted by an answer of the same one.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import msgspec

from chicorycrank.batch.crash_conclusions import CrashConclusions
from chicorycrank.batch.crash_records import (
    START_WINDOW_MS,
    CrashedRun,
    max_crashes_of_a_task,
    select_suspects,
    select_uncertain,
    waits_for_proof,
    workers_with_starts,
)
from chicorycrank.batch.metrics import EXECUTOR_CRASHES
from chicorycrank.batch.units import UnitRef, parse_unit_key
from chicorycrank.model.batch import BatchState, Crash, Progress, TaskEnd, Unit
from chicorycrank.model.ids import Incarnation, JobId, TargetId

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

# A run is cleared if it lasts this much longer than an earlier run had lasted at the crash.
CLEARANCE_MARGIN_MS = 2000
# A test ends this long after its assignment, as a run that lives then has outlived its start.
MAX_TEST_MS = 5000
# A task under which this many executors have crashed starts on an empty worker if there is one.
MIN_CRASHES_FOR_EMPTY_WORKER = 3

logger = logging.getLogger("absl")


class CrashTracker(CrashConclusions):
    """Crashes of executors under the units of a planner.

    :ivar tests_by_unit: run numbers of the units that run as a test
    """

    def __init__(self) -> None:
        super().__init__()
        self.tests_by_unit: dict[JobId, int] = {}
        self._crashed_runs: dict[Incarnation, list[CrashedRun]] = {}

    # Records.

    def restore(self, job_id: JobId, progress: Progress) -> None:
        """Restore the crashes in the record of a job after a takeover."""
        self.discard_conclusions()
        for key, unit in progress.units.items():
            for crash in unit.crashes:
                self.units_by_job.setdefault(job_id, {})[key] = unit
                self.ledger.record(
                    crash.incarnation,
                    crash.worker,
                    crash.at_ms,
                    present=[job_id],
                    suspects=[] if crash.is_explained else [job_id],
                    is_outage=crash.is_outage,
                )
            if unit.places and not all(crash.is_explained for crash in unit.crashes):
                self.tests_by_unit[parse_unit_key(job_id, key).name] = unit.run

    def add_run(self, incarnation: Incarnation, ref: UnitRef, member: int, end: TaskEnd) -> None:
        """Add a run to a crash that :meth:`record_crashes` then evaluates."""
        run = CrashedRun(
            ref=ref,
            member=member,
            age_ms=end.age_ms,
            is_witnessed=end.is_witnessed,
            has_started=end.has_started,
            is_test=ref.name in self.tests_by_unit,
            survived_ms=end.survived_ms,
        )
        self._crashed_runs.setdefault(incarnation, []).append(run)

    def record_crashes(self, planner: PlannerState, worker: TargetId) -> None:
        """Record the crashes of a worker's executor whose runs were added."""
        self.discard_conclusions()
        crashed_runs, self._crashed_runs = self._crashed_runs, {}
        for incarnation, runs in crashed_runs.items():
            self._clear_outlived(planner, runs)
            witnessed = [run for run in runs if run.is_witnessed]
            suspects = select_suspects(witnessed or runs)
            # Without a witness, the machine may have failed.
            is_outage = not witnessed
            self.ledger.record(
                incarnation,
                worker,
                planner.now_ms,
                present={run.ref.job_id for run in runs},
                suspects={run.ref.job_id for run in suspects},
                is_outage=is_outage,
            )
            uncertain = select_uncertain(runs, suspects)
            for run in [*suspects, *uncertain]:
                crash = Crash(
                    incarnation=incarnation,
                    worker=worker,
                    at_ms=planner.now_ms,
                    age_ms=run.age_ms,
                    members=(run.member,),
                    started=(run.member,) if run.has_started else (),
                    is_outage=is_outage,
                    survived_ms=run.survived_ms,
                    # No evidence for an attribution, but it counts towards the limit.
                    is_explained=run in uncertain,
                )
                self._add_crash(planner, run.ref, crash)
            EXECUTOR_CRASHES.labels("outage" if is_outage else "crash").inc()
            logger.info(
                "event=executor_crashed target=%s incarnation=%s outage=%s runs=%s suspects=%s",
                worker,
                incarnation,
                is_outage,
                ",".join(map(str, runs)),
                ",".join(sorted({run.ref.name for run in suspects})),
            )

    def _clear_outlived(self, planner: PlannerState, runs: list[CrashedRun]) -> None:
        """Clear the tasks of the earlier crashes that these runs had outlived by a margin."""
        for run in runs:
            unit = planner.progress_by_id[run.ref.job_id].units[run.ref.key]
            if unit.crashes:
                self.clear(
                    planner,
                    run.ref,
                    unit,
                    "a later run has outlived it",
                    member=run.member,
                    lived_ms=run.survived_ms,
                )

    def refute(self, planner: PlannerState, incarnation: Incarnation) -> None:
        """Remove the crash of an incarnation that has answered since."""
        if not self.ledger.discard(incarnation):
            return
        self.discard_conclusions()
        logger.info("event=crash_refuted incarnation=%s", incarnation)
        for job_id, units in list(self.units_by_job.items()):
            for key, unit in list(units.items()):
                ref = parse_unit_key(job_id, key)
                for crash in [c for c in unit.crashes if c.incarnation == incarnation]:
                    self._remove_crash(planner, ref, unit, crash)
                if not unit.crashes:
                    self.tests_by_unit.pop(ref.name, None)

    def clear(
        self,
        planner: PlannerState,
        ref: UnitRef,
        unit: Unit,
        reason: str,
        *,
        member: int | None = None,
        lived_ms: int | None = None,
    ) -> None:
        """Clear a unit, or one of its tasks, of crashes that it has seen.

        :param member: index of the task; None for all tasks of the unit
        :param lived_ms: time in milliseconds for which a run has lived, which clears the crashes
            that followed their start by a margin earlier; None for all crashes
        """
        for crash in unit.crashes:
            if lived_ms is not None and lived_ms < crash.age_ms + CLEARANCE_MARGIN_MS:
                continue
            if member is None or crash.members == (member,):
                self._remove_crash(planner, ref, unit, crash)
            elif member in crash.members:
                self._remove_member(planner, ref, unit, crash, member)
            else:
                continue
            logger.info(
                "event=crash_cleared job=%s unit=%s member=%s target=%s reason=%s",
                ref.job_id,
                ref.key,
                "all" if member is None else member,
                crash.worker,
                reason,
            )
        if not unit.crashes:
            self.tests_by_unit.pop(ref.name, None)

    def begin_run(self, planner: PlannerState, ref: UnitRef, unit: Unit) -> None:
        """Record the start of a unit, which may be a test."""
        if self.needs_test(planner, ref, unit):
            self.tests_by_unit[ref.name] = unit.run
            logger.info(
                "event=crash_test_started job=%s unit=%s run=%d probation_ms=%d",
                ref.job_id,
                ref.key,
                unit.run,
                self.probation_ms(ref, unit),
            )

    def end_run(self, ref: UnitRef) -> None:
        """Record the end of a unit's run."""
        self.tests_by_unit.pop(ref.name, None)

    def discard_job(self, job_id: JobId) -> None:
        """Discard the tests of an ended job.

        The job stays a possible explanation of the crashes that it has seen.
        """
        for name in [name for name in self.tests_by_unit if name.startswith(f"{job_id}.")]:
            del self.tests_by_unit[name]

    def forget_job(self, job_id: JobId) -> None:
        """Forget a job whose record is removed."""
        self.discard_conclusions()
        for unit in self.units_by_job.pop(job_id, {}).values():
            for crash in unit.crashes:
                self.ledger.clear(crash.incarnation, job_id)

    def clear_others(self, planner: PlannerState, job_id: JobId) -> None:
        """Clear the jobs that only shared executors with the culprit of their crashes.

        Their units keep the crashes, which their starts may have caused too.
        """
        self.discard_conclusions()
        for incarnation, other in self.ledger.blame(job_id):
            planner.changes.jobs.add(other)
            for unit in self.units_by_job.get(other, {}).values():
                unit.crashes = [
                    msgspec.structs.replace(crash, is_explained=True)
                    if crash.incarnation == incarnation
                    else crash
                    for crash in unit.crashes
                ]

    def _add_crash(self, planner: PlannerState, ref: UnitRef, crash: Crash) -> None:
        """Add a crash to the record of a unit, or the members to a crash that it has."""
        unit = planner.progress_by_id[ref.job_id].units[ref.key]
        for known in unit.crashes:
            if known.incarnation == crash.incarnation:
                crash = msgspec.structs.replace(
                    known,
                    age_ms=max(known.age_ms, crash.age_ms),
                    members=(*known.members, *crash.members),
                    started=(*known.started, *crash.started),
                    survived_ms=min(known.survived_ms, crash.survived_ms),
                )
        others = [known for known in unit.crashes if known.incarnation != crash.incarnation]
        unit.crashes = [*others, crash]
        self.discard_conclusions()
        self.units_by_job.setdefault(ref.job_id, {})[ref.key] = unit
        planner.changes.jobs.add(ref.job_id)

    def _remove_crash(self, planner: PlannerState, ref: UnitRef, unit: Unit, crash: Crash) -> None:
        unit.crashes = [other for other in unit.crashes if other != crash]
        self.discard_conclusions()
        planner.changes.jobs.add(ref.job_id)
        units = self.units_by_job.get(ref.job_id, {})
        if not unit.crashes:
            units.pop(ref.key, None)
            if not units:
                self.units_by_job.pop(ref.job_id, None)
        if not any(
            other.incarnation == crash.incarnation
            for other_unit in units.values()
            for other in other_unit.crashes
        ):
            self.ledger.clear(crash.incarnation, ref.job_id)

    def _remove_member(
        self, planner: PlannerState, ref: UnitRef, unit: Unit, crash: Crash, member: int
    ) -> None:
        others = tuple(other for other in crash.members if other != member)
        started = tuple(other for other in crash.started if other != member)
        kept = msgspec.structs.replace(crash, members=others, started=started)
        unit.crashes = [kept if known == crash else known for known in unit.crashes]
        self.discard_conclusions()
        planner.changes.jobs.add(ref.job_id)

    # Test runs.

    def needs_test(self, planner: PlannerState, ref: UnitRef, unit: Unit | None) -> bool:
        """Return whether the next run of a unit has to be a test."""
        if ref.job_id not in self.units_by_job:
            return False
        crashes = [] if unit is None else unit.crashes
        crashes = [crash for crash in crashes if not (crash.is_outage or crash.is_explained)]
        return (
            len(crashes) > 1
            or any(crash.age_ms < START_WINDOW_MS for crash in crashes)
            or bool(self.attributed_crashes(planner, ref.job_id))
        )

    def probation_ms(self, ref: UnitRef, unit: Unit) -> int:
        """Return how long a run has to last until its unit is cleared; 0 for no unit in doubt."""
        if not unit.crashes and ref.name not in self.tests_by_unit:
            return 0
        units = [unit] if unit.crashes else self.units_by_job.get(ref.job_id, {}).values()
        ages_ms = [crash.age_ms for other in units for crash in other.crashes]
        return max(ages_ms, default=0) + CLEARANCE_MARGIN_MS

    def end_old_tests(self, planner: PlannerState) -> None:
        """End the tests of runs that have outlived their start."""
        for name in list(self.tests_by_unit):
            job_id, _, key = name.partition(".")
            unit = planner.progress_by_id[JobId(job_id)].units[key]
            # The clock of an earlier leader may have been ahead.
            if abs(planner.now_ms - unit.started_at_ms) >= MAX_TEST_MS:
                del self.tests_by_unit[name]

    def testing_workers(self, planner: PlannerState) -> set[TargetId]:
        """Return the workers that get no other start, as a test runs there."""
        workers: set[TargetId] = set()
        for name in self.tests_by_unit:
            job_id, _, key = name.partition(".")
            unit = planner.progress_by_id[JobId(job_id)].units[key]
            workers.update(place.worker for place in unit.places if place.worker)
        return workers

    def is_held(self, planner: PlannerState, ref: UnitRef) -> bool:
        """Return whether a unit must not start now.

        A job that awaits its verdict starts nothing, and one that probably crashes its executors
        starts one unit at a time.
        """
        if ref.job_id not in self.units_by_job:
            return False
        if self.guilty_task(planner, ref.job_id) is not None:
            return True
        accused = self.guilty_task(planner, ref.job_id, needs_proof=False)
        if accused is not None and waits_for_proof(planner, accused[1]):
            return True
        is_job_in_test = any(name.startswith(f"{ref.job_id}.") for name in self.tests_by_unit)
        return is_job_in_test and bool(self.attributed_crashes(planner, ref.job_id))

    def select_workers(
        self, planner: PlannerState, ref: UnitRef, unit: Unit | None, workers: frozenset[TargetId]
    ) -> frozenset[TargetId]:
        """Return the workers on which a unit may start in view of the crashes that it has seen.

        :param workers: suitable workers
        """
        if ref.job_id not in self.units_by_job:
            return workers
        unit = unit or Unit()
        step = planner.step_of(ref)
        needed = step.count if step.gang else 1
        others = workers - {crash.worker for crash in unit.crashes}
        candidates = others if planner.job_builder.can_hold(planner, ref, others) else workers
        if not self.needs_test(planner, ref, unit):
            return candidates
        candidates -= self.testing_workers(planner)
        preferred = [candidates - workers_with_starts(planner, planner.now_ms - START_WINDOW_MS)]
        if max_crashes_of_a_task(unit) >= MIN_CRASHES_FOR_EMPTY_WORKER:
            busy = {worker for worker, members in planner.members_by_worker.items() if members}
            preferred.insert(0, candidates - busy)
        return next((chosen for chosen in preferred if len(chosen) >= needed), candidates)

    def explain_restored(self, planner: PlannerState) -> None:
        """Clear the jobs whose crashes are explained by jobs that an earlier leader gave up."""
        for job_id in list(self.units_by_job):
            is_failed = planner.progress_by_id[job_id].state is BatchState.FAILED
            accused = self.guilty_task(planner, job_id, needs_proof=False)
            if is_failed and accused is not None:
                self.clear_others(planner, job_id)
