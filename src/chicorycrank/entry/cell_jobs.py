"""The jobs of a cell as its leader serves them: submissions, cancellations and questions."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from chicorycrank.entry.job_check import check_spec
from chicorycrank.entry.job_explanation import explain_queued, explain_record
from chicorycrank.entry.job_records import JobRecords
from chicorycrank.entry.occupation import Occupation, make_queued
from chicorycrank.entry.submissions import confirm, submit
from chicorycrank.entry.transitions import Transitions
from chicorycrank.model.config import Config
from chicorycrank.model.ids import Epoch, Generation, JobId, TeamId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobSpec, JobState
from chicorycrank.model.messages import AnyMessage, JobFindings, JobList, ListJobs, Refused
from chicorycrank.policy.cell import QueuedJob, WorkerState
from chicorycrank.ports.clock import Clock

MAX_WAIT_S = 30.0
# Records have about 600 bytes without their payload; a frame holds 2 MiB.
MAX_LISTED = 1000
MAX_LISTED_PAYLOAD_BYTES = 500_000


@dataclass(kw_only=True)
class CellJobs:
    """Serves the jobs of one term."""

    records: JobRecords
    transitions: Transitions
    occupation: Occupation
    clock: Clock
    epoch: Epoch
    config: Config = field(default_factory=Config)

    async def submit(
        self, job_id: JobId, spec: JobSpec, workers: Iterable[WorkerState]
    ) -> AnyMessage | JobRecord:
        """Accept a job unless it can never run on the given workers."""
        if job_id not in self.records.records_by_id:
            findings = check_spec(spec, workers, self.config)
            if findings:
                return JobFindings(findings)
            if self._is_queue_full(spec.team):
                return Refused("queue_full", f"team {spec.team} has its most queued jobs", 5.0)
        return await submit(self.records, self.clock, self.epoch, job_id, spec)

    async def cancel(
        self, job_id: JobId, if_generation: Generation | None
    ) -> AnyMessage | JobRecord:
        """Cancel a job; a job that has ended stays as it is."""
        record = self.records.records_by_id.get(job_id)
        if record is None:
            return Refused("no_such_job")
        if if_generation is not None and record.generation != if_generation:
            return Refused("generation_conflict", f"the generation is {record.generation}")
        if record.state not in FINAL_STATES and not record.cancel_requested:
            if record.state is JobState.QUEUED:
                self.transitions.end(record, JobState.CANCELLED, reason="cancelled")
            else:
                self.transitions.change(
                    record, state=JobState.STOPPING, cancel_requested=True, reason="cancelled"
                )
                self.occupation.cell.mark_stopping(job_id)
        return await confirm(self.records, record)

    async def wait(self, job_id: JobId, above: Generation, wait_s: float) -> JobRecord | None:
        """Return a record once its generation exceeds ``above``, or after the bounded wait."""
        limit = timedelta(seconds=min(max(wait_s, 0.0), MAX_WAIT_S))
        await self.records.wait_above(job_id, above, limit)
        return self.records.records_by_id.get(job_id)

    def select(self, message: ListJobs) -> JobList:
        """Return the records that a list asks for, as many as fit in a reply."""
        wanted = [
            record
            for record in self.records.records_by_id.values()
            if message.team in ("", record.spec.team) and message.state in (None, record.state)
        ]
        wanted.sort(key=lambda record: (record.submitted_at, record.job_id), reverse=True)
        listed: list[JobRecord] = []
        size = 0
        for record in wanted[:MAX_LISTED]:
            size += len(record.spec.payload)
            if size > MAX_LISTED_PAYLOAD_BYTES:
                break
            listed.append(record)
        return JobList(tuple(listed), len(wanted) - len(listed))

    def queue(self, reported: set[JobId]) -> list[QueuedJob]:
        """Return the jobs that may start now.

        :param reported: jobs of which the agents still report a gang
        """
        return [
            make_queued(record)
            for record in self.records.records_by_id.values()
            if self.transitions.may_start(record) and record.job_id not in reported
        ]

    def explain(self, job_id: JobId, reported: set[JobId]) -> dict[str, object] | None:
        """Return why a job waits or was evicted; absent if there is no such job."""
        record = self.records.records_by_id.get(job_id)
        if record is None:
            return None
        document = explain_record(record, self.records.records_by_id)
        if record.state is not JobState.QUEUED:
            return document
        queue = self.queue(reported)
        if all(queued.job_id != job_id for queued in queue):
            queue.append(make_queued(record))
        now_s = self.clock.now().timestamp()
        delay_s = self.transitions.delay_s(job_id)
        cell = self.occupation.cell
        return document | explain_queued(record, cell, queue, now_s, delay_s)

    def count_queued(self) -> int:
        """Return the number of queued jobs."""
        records = self.records.records_by_id.values()
        return sum(record.state is JobState.QUEUED for record in records)

    def longest_wait_s(self, *, urgent: bool) -> float:
        """Return for how long the oldest queued job that has never run waits, in seconds."""
        waiting = [
            record.submitted_at
            for record in self.records.records_by_id.values()
            if record.state is JobState.QUEUED
            and record.started_at is None  # it ran before if it has one
            and record.spec.urgent is urgent
        ]
        return (self.clock.now() - min(waiting)).total_seconds() if waiting else 0.0

    def _is_queue_full(self, team: TeamId) -> bool:
        limits = self.config.teams.get(team)
        if limits is None:
            return False
        records = self.records.records_by_id.values()
        queued = sum(r.state is JobState.QUEUED and r.spec.team == team for r in records)
        return queued >= limits.max_queued_jobs
