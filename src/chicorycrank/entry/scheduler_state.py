"""State of the scheduler role of a cell, with the questions about it."""

import asyncio
import random
from collections.abc import Callable

from msgspec import structs

from chicorycrank.entry.cell_jobs import CellJobs
from chicorycrank.entry.cell_load import make_cell_load
from chicorycrank.entry.cell_occupancy import CellOccupancy
from chicorycrank.entry.directory import Directory
from chicorycrank.entry.gang_calls import GangCalls
from chicorycrank.entry.gang_reports import (
    GangId,
    GangReports,
)
from chicorycrank.entry.gang_starts import GangStarts
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.transitions import Transitions
from chicorycrank.model.config import Config
from chicorycrank.model.ids import CellId, EntryId, Epoch, JobId, RegionId, TargetId
from chicorycrank.model.jobs import JobRecord, JobSpec
from chicorycrank.model.messages import (
    CellLoad,
    JobFindings,
    Refused,
)
from chicorycrank.policy.cell import Cell, WorkerState
from chicorycrank.policy.quarantine import Quarantine
from chicorycrank.policy.where import PlacementAnswer
from chicorycrank.ports.clock import Clock


class SchedulerState:
    """Records, reports and decisions of one cell while this entry is its leader.

    :param jitter: returns a random factor from 0 to 1 for retry delays
    :ivar on_superseded: called with a reason when a store write or an agent's reply shows that a
        leader with a higher epoch exists
    """

    def __init__(
        self,
        *,
        cell: CellId,
        region: RegionId,
        entry: EntryId,
        directory: Directory,
        records: JobRecords,
        clock: Clock,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._cell_id = cell
        self._region = region
        self._entry = entry
        self._directory = directory
        self._records = records
        self._clock = clock
        self._jitter = jitter
        self._calls = GangCalls(directory, lambda reason: self.on_superseded(reason))
        self._config = Config()
        self._known_worker_states: dict[TargetId, WorkerState] = {}
        self._epoch = Epoch(0)
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_leader = False
        self.on_superseded: Callable[[str], None] = lambda _: None
        self._reset()

    def _reset(self) -> None:
        """Discard the state of an earlier term."""
        self._occupancy = CellOccupancy()
        self.quarantine = Quarantine(self._clock.monotonic)
        self._transitions = Transitions(
            self._records,
            self._occupancy,
            self._clock,
            self._epoch,
            self._jitter,
            self.quarantine,
        )
        self.jobs = CellJobs(
            records=self._records,
            transitions=self._transitions,
            occupancy=self._occupancy,
            clock=self._clock,
            epoch=self._epoch,
        )
        self._reports = GangReports()
        self._workers_with_report: set[TargetId] = set()
        self._starts = GangStarts(
            self._calls, self._transitions, self._occupancy, self._clock, self._epoch, self._wake
        )
        self._last_reported_at_by_job: dict[JobId, float] = {}
        self._stop_sent_at: dict[GangId, float] = {}
        self._report_wait_ends_at_s = float("-inf")
        self._may_end_report_wait_early = False

    @property
    def cell(self) -> Cell:
        """State of the cell that decisions are based on."""
        return self._occupancy.cell

    def find_job(self, job_id: JobId) -> JobRecord | None:
        """Return the record of a job."""
        return self._records.records_by_id.get(job_id)

    def list_records(self, team: str) -> list[JobRecord]:
        """Return the records of a team, or all for an empty team."""
        records = self._records.records_by_id.values()
        return [record for record in records if not team or record.spec.team == team]

    def explain(self, job_id: JobId) -> dict[str, object] | None:
        """Return why a job waits or was evicted."""
        document = self.jobs.explain(job_id, self._reported_jobs())
        if document is not None and "cause" in document and not self._is_report_wait_over():
            return document | {"cause": "leader_changed"}
        return document

    def where(self, spec: JobSpec) -> PlacementAnswer | JobFindings | Refused:
        """Return where a job would go now; nothing is stored or started."""
        is_ready, targets = self._is_report_wait_over(), self._directory.targets_by_id
        answer = self.jobs.where(
            spec,
            self._known_worker_states.values() if is_ready else (),
            self._reported_jobs(),
            lambda worker: self._occupancy.closed_cause(worker, targets.get(worker)),
        )
        if is_ready or not isinstance(answer, PlacementAnswer):
            return answer
        return structs.replace(answer, starts_now=False, cause="leader_changed")

    def cell_load(self) -> CellLoad | None:
        """Return the load of the cell while this entry leads it."""
        if not self.is_leader:
            return None
        queued = self.jobs.count_queued()
        return make_cell_load(self._cell_id, self._epoch, self._entry, self.cell, queued)

    def _reported_jobs(self) -> set[JobId]:
        return {job_id for job_id, _ in self._reports.gangs()}

    def _is_report_wait_over(self) -> bool:
        """Return whether the wait for reports after the takeover is over.

        It ends early once all connected workers and those with a recorded placement have reported.
        """
        if self._clock.monotonic() >= self._report_wait_ends_at_s:
            return True
        if not self._may_end_report_wait_early:
            return False
        expected = {target.target_id for target in self._directory.workers()}
        for record in self._records.records_by_id.values():
            expected.update(place.worker for place in record.placement)
        return expected <= self._workers_with_report
