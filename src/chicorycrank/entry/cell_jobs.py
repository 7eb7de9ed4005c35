"""Job operations of a cell's leader: submission, cancellation, queries and explanations."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from chicorycrank.entry.cell_occupancy import CellOccupancy, make_queued_job
from chicorycrank.entry.job_check import check_spec
from chicorycrank.entry.job_explanation import explain_queued, explain_record
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.submissions import confirm_written, submit
from chicorycrank.entry.transitions import Transitions
from chicorycrank.model.config import Config
from chicorycrank.model.ids import Epoch, Generation, JobId, TargetId, TeamId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobSpec, JobState
from chicorycrank.model.messages import AnyMessage, JobFindings, JobList, ListJobs, Refused
from chicorycrank.policy.cell import QueuedJob, WorkerState
from chicorycrank.policy.where import PlacementAnswer, explain_job
from chicorycrank.ports.clock import Clock

MAX_WAIT_S = 30.0
# A record has about 600 bytes without its payload, and a frame holds at most 2 MiB.
MAX_LISTED_JOBS = 1000
MAX_LISTED_PAYLOAD_BYTES = 500_000
# Ids of submitted jobs begin with their cell and a dash, so no job has this one.
EXPLAINED_JOB = JobId("where")


@dataclass(kw_only=True)
class CellJobs:
    """Job operations during one term of the leader."""

    records: JobRecords
    transitions: Transitions
    occupancy: CellOccupancy
    clock: Clock
    epoch: Epoch
    config: Config = field(default_factory=Config)

    async def submit(
        self, job_id: JobId, spec: JobSpec, workers: Iterable[WorkerState]
    ) -> AnyMessage | JobRecord:
        """Accept a job unless it can never run on the given workers."""
        if job_id not in self.records.records_by_id:
            refusal = self._refusal(spec, workers)
            if refusal is not None:
                return refusal
        return await submit(self.records, self.clock, self.epoch, job_id, spec)

    async def cancel(
        self, job_id: JobId, if_generation: Generation | None
    ) -> AnyMessage | JobRecord:
        """Cancel a job; a job that has ended is left unchanged."""
        record = self.records.records_by_id.get(job_id)
        if record is None:
            return Refused("no_such_job")
        if if_generation is not None and record.generation != if_generation:
            return Refused("generation_conflict", f"the generation is {record.generation}")
        if record.state not in FINAL_STATES and not record.cancel_requested:
            if record.state is JobState.QUEUED:
                self.transitions.end_job(record, JobState.CANCELLED, reason="cancelled")
            else:
                self.transitions.change(
                    record, state=JobState.STOPPING, cancel_requested=True, reason="cancelled"
                )
                self.occupancy.cell.mark_stopping(job_id)
        return await confirm_written(self.records, record)

    async def wait_for_generation(
        self, job_id: JobId, above: Generation, wait_s: float
    ) -> JobRecord | None:
        """Return a record once its generation exceeds ``above``, or after the wait.

        :param wait_s: longest time to wait in seconds, limited to :data:`MAX_WAIT_S`
        """
        limit = timedelta(seconds=min(max(wait_s, 0.0), MAX_WAIT_S))
        await self.records.wait_for_generation(job_id, above, limit)
        return self.records.records_by_id.get(job_id)

    def list_matching(self, message: ListJobs) -> JobList:
        """Return the newest records that match a query, as many as fit into a reply."""
        matching = [
            record
            for record in self.records.records_by_id.values()
            if message.team in ("", record.spec.team) and message.state in (None, record.state)
        ]
        matching.sort(key=lambda record: (record.submitted_at, record.job_id), reverse=True)
        listed: list[JobRecord] = []
        size = 0
        for record in matching[:MAX_LISTED_JOBS]:
            size += len(record.spec.payload)
            if size > MAX_LISTED_PAYLOAD_BYTES:
                break
            listed.append(record)
        return JobList(tuple(listed), len(matching) - len(listed))

    def list_startable(self, reported: set[JobId]) -> list[QueuedJob]:
        """Return the jobs that may start now.

        :param reported: jobs whose gangs agents still report
        """
        return [
            make_queued_job(record)
            for record in self.records.records_by_id.values()
            if self.transitions.may_start(record) and record.job_id not in reported
        ]

    def explain(self, job_id: JobId, reported: set[JobId]) -> dict[str, object] | None:
        """Return why a job waits or was evicted, or ``None`` if the job does not exist."""
        record = self.records.records_by_id.get(job_id)
        if record is None:
            return None
        document = explain_record(record, self.records.records_by_id)
        if record.state is not JobState.QUEUED:
            return document
        queue = self.list_startable(reported)
        if all(queued.job_id != job_id for queued in queue):
            queue.append(make_queued_job(record))
        now_s = self.clock.now().timestamp()
        delay_s = self.transitions.delay_s(job_id)
        cell = self.occupancy.cell
        return document | explain_queued(record, cell, queue, now_s, delay_s)

    def where(
        self,
        spec: JobSpec,
        workers: Iterable[WorkerState],
        reported: set[JobId],
        closed_cause: Callable[[TargetId], str],
    ) -> PlacementAnswer | JobFindings | Refused:
        """Return where a job would go now, or the refusal that a submission would get."""
        refusal = self._refusal(spec, workers)
        if refusal is not None:
            return refusal
        now = self.clock.now()
        record = JobRecord(
            job_id=EXPLAINED_JOB,
            spec=spec,
            state=JobState.QUEUED,
            generation=Generation(0),
            epoch=self.epoch,
            submitted_at=now,
        )
        queue, cell = self.list_startable(reported), self.occupancy.cell
        return explain_job(cell, make_queued_job(record), queue, now.timestamp(), closed_cause)

    def count_queued(self) -> int:
        """Return the number of queued jobs."""
        records = self.records.records_by_id.values()
        return sum(record.state is JobState.QUEUED for record in records)

    def longest_wait_s(self, *, urgent: bool) -> float:
        """Return the waiting time of the oldest queued job that has never run, in seconds."""
        waiting = [
            record.submitted_at
            for record in self.records.records_by_id.values()
            if record.state is JobState.QUEUED
            and record.started_at is None  # set once the job has run
            and record.spec.urgent is urgent
        ]
        return (self.clock.now() - min(waiting)).total_seconds() if waiting else 0.0

    def _refusal(
        self, spec: JobSpec, workers: Iterable[WorkerState]
    ) -> JobFindings | Refused | None:
        findings = check_spec(spec, workers, self.config)
        if findings:
            return JobFindings(findings)
        if self._is_queue_full(spec.team):
            text = f"team {spec.team} has reached its limit of queued jobs"
            return Refused("queue_full", text, 5.0)
        return None

    def _is_queue_full(self, team: TeamId) -> bool:
        team_config = self.config.teams.get(team)
        if team_config is None:
            return False
        records = self.records.records_by_id.values()
        queued = sum(r.state is JobState.QUEUED and r.spec.team == team for r in records)
        return queued >= team_config.max_queued_jobs
