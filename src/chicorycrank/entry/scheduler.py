"""The scheduler role of a cell: queue, decisions, gang starts and ends."""

import asyncio
import logging
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from chicorycrank.entry.directory import Directory, Target
from chicorycrank.entry.job_records import DeposedError, JobRecords
from chicorycrank.model.config import Config
from chicorycrank.model.ids import CellId, EntryId, Epoch, Generation, JobId, RegionId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobSpec, JobState
from chicorycrank.model.messages import (
    AnyMessage,
    CancelReservation,
    GangEnded,
    GangMember,
    GangOutcome,
    GangStarted,
    LeaderAnnounce,
    Ok,
    Refused,
    Reserve,
    StartGang,
    StopGang,
)
from chicorycrank.policy.cell import Cell, QueuedJob, RunningJob, WorkerState
from chicorycrank.policy.decide import Evict, Start, decide
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError
from chicorycrank.ports.store import StoreError

CALL_TIMEOUT = timedelta(seconds=2)
RESERVATION_TTL_S = 10.0
EVICTION_GRACE_S = 5.0
TICK = timedelta(seconds=1)
FLUSH_INTERVAL = timedelta(milliseconds=50)
MAX_FAILURES = 3

logger = logging.getLogger("absl")


class Scheduler:
    """Places the jobs of one cell while this entry is its leader."""

    def __init__(
        self,
        *,
        cell: CellId,
        region: RegionId,
        entry: EntryId,
        directory: Directory,
        records: JobRecords,
        clock: Clock,
    ) -> None:
        self._cell_id = cell
        self._region = region
        self._entry = entry
        self._directory = directory
        self._records = records
        self._clock = clock
        self._cell = Cell()
        self._config = Config()
        self._epoch = Epoch(0)
        self._wake = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self.is_leader = False

    # The role.

    async def take_role(self, epoch: Epoch) -> None:
        """Load the records under a new epoch and begin to decide."""
        await self._records.load(epoch)
        self._epoch = epoch
        self._cell = Cell()
        self.put_config(self._config)
        self.is_leader = True
        for target in self._directory.workers():
            self._spawn(self._announce(target))
        for work in (self._decide_forever(), self._flush_forever()):
            self._spawn(work)

    async def drop_role(self) -> None:
        """Stop deciding; gangs go on under their heads."""
        self.is_leader = False
        for task in list(self._tasks):
            task.cancel()

    def put_config(self, config: Config) -> None:
        """Put teams and guarantees in force."""
        self._config = config
        guarantees = {
            key: guarantee
            for key, guarantee in config.guarantees.items()
            if guarantee.region == self._region
        }
        self._cell.set_config(config.teams, guarantees)
        self._wake.set()

    # Jobs.

    async def submit(self, job_id: JobId, spec: JobSpec) -> AnyMessage | JobRecord:
        """Accept a job; it is accepted once its record is in the store."""
        if not self.is_leader:
            return Refused("not_leader")
        record = self._records.records_by_id.get(job_id)
        if record is None:
            record = JobRecord(
                job_id=job_id,
                spec=spec,
                state=JobState.QUEUED,
                generation=Generation(1),
                epoch=self._epoch,
                submitted_at=self._clock.now(),
            )
            self._records.records_by_id[job_id] = record
            self._records.mark(job_id)
        await self._records.wait_written(job_id)
        self._wake.set()
        return record

    def find(self, job_id: JobId) -> JobRecord | None:
        """Return the record of a job."""
        return self._records.records_by_id.get(job_id)

    def list(self, team: str) -> list[JobRecord]:
        """Return the records of a team, or all for an empty team."""
        records = self._records.records_by_id.values()
        return [record for record in records if not team or record.spec.team == team]

    # Reports of agents.

    async def add_worker(self, target: Target) -> None:
        """Announce this leader to a worker's agent that connected."""
        if self.is_leader:
            await self._announce(target)

    def take_report(self, target: Target) -> None:
        """Take a worker's occupation into account."""
        info = target.hello.worker
        if not self.is_leader or info is None:
            return
        known = self._cell.workers_by_id.get(target.target_id)
        if known is None:
            self._cell.put_worker(
                WorkerState(
                    worker=target.target_id,
                    rack=info.rack,
                    zone=target.hello.zone,
                    accelerators=info.accelerators,
                    cores=info.cores,
                    memory_gb=info.memory_gb,
                )
            )
        load = target.worker_load
        self._cell.set_available(target.target_id, load.reachable and not load.draining)
        self._wake.set()

    def remove_worker(self, target: Target) -> None:
        """Stop using a worker whose agent is gone."""
        if target.target_id in self._cell.workers_by_id:
            self._cell.set_available(target.target_id, False)

    def take_gang_event(self, message: GangStarted | GangEnded) -> AnyMessage:
        """Record that a gang started or ended."""
        if not self.is_leader:
            return Refused("not_leader")
        record = self._records.records_by_id.get(message.job_id)
        if record is None or record.attempt != message.attempt or record.state in FINAL_STATES:
            return Ok()
        if isinstance(message, GangStarted):
            self._change(record, state=JobState.RUNNING, started_at=self._clock.now())
            return Ok()
        self._cell.finish(
            record.job_id,
            completed=message.outcome is GangOutcome.COMPLETED,
            now_s=self._clock.now().timestamp(),
        )
        self._end_attempt(record, message)
        self._wake.set()
        return Ok()

    def _end_attempt(self, record: JobRecord, message: GangEnded) -> None:
        if message.outcome is GangOutcome.COMPLETED:
            self._change(record, state=JobState.COMPLETED, ended_at=self._clock.now())
            return
        failures = record.failures + (message.outcome is GangOutcome.FAILED)
        if failures >= MAX_FAILURES:
            self._change(
                record,
                state=JobState.FAILED,
                failures=failures,
                ended_at=self._clock.now(),
                reason=message.reason,
            )
            return
        self._change(
            record,
            state=JobState.QUEUED,
            failures=failures,
            progress_s=message.progress_s,
            placement=(),
            reason=message.reason,
        )

    def _change(self, record: JobRecord, **fields: object) -> None:
        for name, value in fields.items():
            setattr(record, name, value)
        record.generation = Generation(record.generation + 1)
        record.epoch = self._epoch
        self._records.mark(record.job_id)

    # Decisions.

    async def _decide_forever(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._decide()

    def _decide(self) -> None:
        now = self._clock.now().timestamp()  # the clock of submitted_s
        queue = [
            _queued(record)
            for record in self._records.records_by_id.values()
            if record.state is JobState.QUEUED
        ]
        decisions = decide(self._cell, queue, now)
        if decisions:
            self._wake.set()  # a pass is bounded, so there may be more to decide
        for decision in decisions:
            if isinstance(decision, Start):
                self._begin(decision, now)
            else:
                self._cell.mark_stopping(decision.job_id)
                self._spawn(self._evict(decision))

    def _begin(self, decision: Start, now: float) -> None:
        record = self._records.records_by_id[decision.job_id]
        running = RunningJob(
            job=_queued(record),
            placement=decision.placement,
            kind=decision.kind,
            started_s=now,
            backfill=decision.backfill,
        )
        self._cell.start(running)
        self._change(
            record,
            state=JobState.STARTING,
            attempt=record.attempt + 1,
            placement=decision.placement,
            kind=decision.kind,
            reason="",
        )
        self._spawn(self._start(record))

    async def _start(self, record: JobRecord) -> None:
        """Reserve all members, then hand the gang to its head."""
        members = self._gang_members(record)
        attempt = record.attempt
        if members is not None and await self._reserve(record):
            head = self._directory.targets_by_id.get(record.placement[0].worker)
            message = StartGang(
                self._epoch, record.job_id, attempt, record.spec, members, record.progress_s
            )
            if head is not None and await self._ask(head, message):
                return
        await self._give_up(record, attempt)

    def _gang_members(self, record: JobRecord) -> tuple[GangMember, ...] | None:
        members = []
        for placement in record.placement:
            target = self._directory.targets_by_id.get(placement.worker)
            if target is None:
                return None
            members.append(GangMember(placement, target.hello.address))
        return tuple(members)

    async def _reserve(self, record: JobRecord) -> bool:
        shape = record.spec.shape
        calls = []
        for index, placement in enumerate(record.placement):
            message = Reserve(
                self._epoch,
                record.job_id,
                record.attempt,
                index,
                placement.accelerators,
                shape.cores,
                shape.memory_gb,
                RESERVATION_TTL_S,
            )
            calls.append(self._ask(self._directory.targets_by_id[placement.worker], message))
        return all(await asyncio.gather(*calls))

    async def _give_up(self, record: JobRecord, attempt: int) -> None:
        if record.attempt != attempt or record.state is not JobState.STARTING:
            return
        message = CancelReservation(self._epoch, record.job_id, attempt)
        for worker in {placement.worker for placement in record.placement}:
            target = self._directory.targets_by_id.get(worker)
            if target is not None:
                await self._ask(target, message)
        self._cell.finish(record.job_id)
        self._change(record, state=JobState.QUEUED, placement=(), reason="reservation refused")
        self._wake.set()

    async def _evict(self, decision: Evict) -> None:
        record = self._records.records_by_id[decision.job_id]
        head = self._directory.targets_by_id.get(record.placement[0].worker)
        message = StopGang(
            self._epoch, record.job_id, record.attempt, EVICTION_GRACE_S, decision.reason
        )
        if head is not None and await self._ask(head, message):
            self._change(record, state=JobState.STOPPING, reason=decision.reason)

    async def _announce(self, target: Target) -> None:
        await self._ask(target, LeaderAnnounce(self._cell_id, self._epoch, self._entry))
        self.take_report(target)

    async def _ask(self, target: Target, message: AnyMessage) -> bool:
        try:
            reply = await target.link.request(message, timeout=CALL_TIMEOUT)
        except LinkError as error:
            logger.info("event=agent_silent target=%s error=%s", target.target_id, error)
            return False
        if isinstance(reply, Refused):
            logger.info("event=agent_refused target=%s code=%s", target.target_id, reply.code)
        return isinstance(reply, Ok)

    async def _flush_forever(self) -> None:
        while True:
            await self._clock.sleep(FLUSH_INTERVAL)
            try:
                await self._records.flush()
            except StoreError as error:
                logger.warning("event=flush_delayed cell=%s error=%s", self._cell_id, error)
                await self._clock.sleep(TICK)
            except DeposedError as error:
                logger.warning("event=deposed cell=%s error=%s", self._cell_id, error)
                self.is_leader = False
                return

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _queued(record: JobRecord) -> QueuedJob:
    spec = record.spec
    return QueuedJob(
        job_id=record.job_id,
        team=spec.team,
        shape=spec.shape,
        run_time_s=max(0.0, spec.run_time_s - record.progress_s),
        submitted_s=record.submitted_at.timestamp(),
        urgent=spec.urgent,
        checkpointable=spec.checkpointable,
    )
