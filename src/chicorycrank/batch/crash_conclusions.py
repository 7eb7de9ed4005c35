"""Conclusions from the records of crashes: the jobs to which they are attributed."""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterator
from typing import TYPE_CHECKING

from chicorycrank.batch.crash_records import is_proven, task_name
from chicorycrank.batch.crash_verdict import MAX_CRASHES, describe_evidence, find_guilty_member
from chicorycrank.batch.units import parse_unit_key
from chicorycrank.model.batch import Crash, Unit
from chicorycrank.model.ids import JobId
from chicorycrank.policy.crashes import OUTAGE_WINDOW_MS, CrashLedger

if TYPE_CHECKING:
    from chicorycrank.batch.planner_state import PlannerState

logger = logging.getLogger("absl")


class CrashConclusions:
    """Conclusions on jobs, which each plan asks for once per waiting unit.

    :ivar ledger: explanations of the crashes
    :ivar units_by_job: units with records of crashes
    """

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self.units_by_job: dict[JobId, dict[str, Unit]] = {}
        self._guilty_by_job: dict[tuple[JobId, bool], tuple[str, Collection[Crash]] | None] = {}
        self._attributed_by_job: dict[JobId, list[Crash]] = {}

    def find_culprits(self, planner: PlannerState) -> Iterator[tuple[JobId, str]]:
        """Yield the active jobs that are given up, each with the reason for its callers."""
        self.ledger.forget(planner.now_ms)
        self.discard_conclusions()
        for job_id in list(self.units_by_job):
            if job_id not in planner.active_jobs:
                continue
            guilty = self.guilty_task(planner, job_id)
            if guilty is None:
                continue
            name, crashes = guilty
            newest_ms = max(crash.at_ms for crash in crashes)
            # Crashes of other workers may still be reported, which would make it an outage.
            age_ms = abs(planner.now_ms - newest_ms)  # clocks of leaders differ
            if age_ms >= OUTAGE_WINDOW_MS or len(crashes) >= MAX_CRASHES:
                workers = ",".join(crash.worker for crash in crashes)
                logger.warning(
                    "event=job_given_up job=%s task=%s crashes=%s",
                    job_id,
                    name,
                    ",".join(
                        describe_evidence(
                            crash,
                            is_attributed=self._is_attributed(planner, crash, job_id),
                            is_proven=is_proven(planner, crash),
                        )
                        for crash in crashes
                    ),
                )
                yield job_id, f"task {name} crashed {len(crashes)} executors: {workers}"

    def discard_conclusions(self) -> None:
        """Discard the conclusions on jobs after a record has changed."""
        self._guilty_by_job.clear()
        self._attributed_by_job.clear()

    def guilty_task(
        self, planner: PlannerState, job_id: JobId, *, needs_proof: bool = True
    ) -> tuple[str, Collection[Crash]] | None:
        """Return a task that is to be given up and the crashes that speak against it.

        :param needs_proof: only crashes that are proven are attributed to the job
        """
        key = job_id, needs_proof
        if key not in self._guilty_by_job:
            self._guilty_by_job[key] = self._find_guilty_task(planner, job_id, needs_proof)
        return self._guilty_by_job[key]

    def _find_guilty_task(
        self, planner: PlannerState, job_id: JobId, needs_proof: bool
    ) -> tuple[str, Collection[Crash]] | None:
        def is_attributed(crash: Crash) -> bool:
            return self._is_attributed(planner, crash, job_id) and (
                not needs_proof or is_proven(planner, crash)
            )

        for key, unit in self.units_by_job.get(job_id, {}).items():
            guilty = find_guilty_member(unit, is_attributed)
            if guilty is not None:
                member, crashes = guilty
                return task_name(parse_unit_key(job_id, key), member), crashes
        return None

    def attributed_crashes(self, planner: PlannerState, job_id: JobId) -> list[Crash]:
        """Return the crashes that are attributed to a job."""
        if job_id not in self._attributed_by_job:
            self._attributed_by_job[job_id] = [
                crash
                for unit in self.units_by_job.get(job_id, {}).values()
                for crash in unit.crashes
                if self._is_attributed(planner, crash, job_id)
            ]
        return self._attributed_by_job[job_id]

    def _is_attributed(self, planner: PlannerState, crash: Crash, job_id: JobId) -> bool:
        return self.ledger.is_attributed(crash.incarnation, job_id, len(planner.workers.by_id))
