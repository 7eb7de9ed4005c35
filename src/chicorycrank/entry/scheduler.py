"""Scheduler role of a cell: job queue, placement decisions, starts and ends of gangs."""

import asyncio
import logging
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from chicorycrank.entry.cell_occupancy import make_worker_state
from chicorycrank.entry.directory import Target
from chicorycrank.entry.gang_reports import (
    Action,
    Adopt,
    GangId,
    ReportedGang,
    Requeue,
    StopOrphan,
    reconcile,
)
from chicorycrank.entry.job_records import LeadershipLostError
from chicorycrank.entry.scheduler_state import SchedulerState
from chicorycrank.entry.waiting import wait_at_most
from chicorycrank.model.config import Config
from chicorycrank.model.ids import Epoch, Generation, JobId, TargetId
from chicorycrank.model.jobs import FINAL_STATES, JobRecord, JobSpec, JobState
from chicorycrank.model.messages import (
    AnyMessage,
    GangEnded,
    GangOutcome,
    GangStarted,
    Ok,
    Refused,
)
from chicorycrank.policy.decide import decide
from chicorycrank.policy.decisions import Start
from chicorycrank.ports.store import StoreError

DECISION_INTERVAL = timedelta(seconds=1)
FINAL_FLUSH_TIMEOUT = timedelta(milliseconds=500)
# Shorter than the agents' timeout for the reply, so that a refusal still reaches them.
END_WRITE_TIMEOUT = timedelta(seconds=1.5)
# A new leader waits at most this long for the workers' reports. Agents report every second and at
# each change; 3 s also covers the delay of a reconnect.
MAX_REPORT_WAIT_S = 3.0
STOP_RETRY_INTERVAL_S = 2.0

logger = logging.getLogger("absl")


class Scheduler(SchedulerState):
    """Places the jobs of one cell while this entry is its leader."""

    # Acquiring and releasing the role.

    async def acquire_role(self, epoch: Epoch) -> None:
        """Load the records under a new epoch and start the decision loop."""
        await self._records.load(epoch)
        self._epoch = epoch
        self._reset()
        self.apply_config(self._config)
        now_s = self._clock.monotonic()
        for record in self._records.records_by_id.values():
            if record.placement and record.state not in FINAL_STATES:
                self._occupancy.occupy(record, self._clock.now())
        self._report_wait_ends_at_s = now_s + MAX_REPORT_WAIT_S
        workers = list(self._directory.workers())
        # An entry that has just started has few connections, so their reports may be incomplete.
        self._may_end_report_wait_early = bool(workers)
        self.is_leader = True
        for target in workers:
            self._spawn(self.add_worker(target))
        for coroutine in (self._decide_forever(), self._records.flush_forever(self.on_superseded)):
            self._spawn(coroutine)

    async def release_role(self) -> None:
        """Stop the decision loop and write pending changes.

        Gangs keep running, managed by their heads.

        The compare-and-swap on each shard's version keeps this last write from replacing that
        of a newer leader.
        """
        self.is_leader = False
        self._records.end_waits()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        try:
            await wait_at_most(self._clock, self._records.flush(), FINAL_FLUSH_TIMEOUT)
        except (StoreError, LeadershipLostError) as error:
            logger.info("event=final_flush_failed cell=%s error=%s", self._cell_id, error)

    def apply_config(self, config: Config) -> None:
        """Apply the teams and guarantees of a configuration."""
        self._config = self.jobs.config = config
        guarantees = {
            key: guarantee
            for key, guarantee in config.guarantees.items()
            if guarantee.region == self._region
        }
        self._occupancy.set_config(config.teams, guarantees)
        self._wake.set()

    # Submit, cancel and read jobs, read the cell's load and state, and end a quarantine.

    async def submit(self, job_id: JobId, spec: JobSpec) -> AnyMessage | JobRecord:
        """Store a job's record and reply once it is stored, or refuse the job.

        No job is refused for its size before the wait for the workers' reports is over.
        """
        if not self.is_leader:
            return Refused("not_leader")
        workers = self._known_worker_states.values() if self._is_report_wait_over() else ()
        reply = await self.jobs.submit(job_id, spec, workers)
        self._wake.set()
        return reply

    async def cancel(
        self, job_id: JobId, if_generation: Generation | None = None
    ) -> AnyMessage | JobRecord:
        """Cancel a job; a job that has ended is left unchanged.

        :param if_generation: refuse unless the record has this generation
        """
        if not self.is_leader:
            return Refused("not_leader")
        self._wake.set()
        return await self.jobs.cancel(job_id, if_generation)

    def release_quarantine(self, worker: TargetId) -> AnyMessage:
        """End the quarantine of a worker, so that it can get work at once."""
        if not self.quarantine.release(worker):
            return Refused("no_such_target", f"worker {worker} is not quarantined here")
        self._wake.set()
        return Ok()

    # Agent connections, reports and gang events.

    async def add_worker(self, target: Target) -> None:
        """Record a worker whose agent has connected and announce this leader to the agent."""
        if worker := make_worker_state(target):
            self._known_worker_states[target.target_id] = worker
        if not self.is_leader:
            return
        if target.has_reported:
            self._record_report(target)
        await self._calls.announce(target.target_id, self._cell_id, self._epoch, self._entry)

    def handle_report(self, target: Target) -> None:
        """Apply the report of a worker's agent to the state of the cell."""
        if self.is_leader and target.hello.worker is not None:
            self._workers_with_report.add(target.target_id)
            self._record_report(target)

    def _record_report(self, target: Target) -> None:
        is_changed = self._reports.record(target.target_id, target.worker_load.tasks)
        if self._occupancy.update_worker(target) or is_changed or not self._is_report_wait_over():
            self._wake.set()

    def remove_worker(self, target: Target) -> None:
        """Stop using a worker whose agent is lost; its tasks may run until their leases expire."""
        self._occupancy.mark_unavailable(target.target_id)
        self._reports.mark_lost(target.target_id, self._clock.monotonic())

    async def handle_gang_event(self, message: GangStarted | GangEnded) -> AnyMessage:
        """Record that a gang started or ended."""
        if not self.is_leader:
            return Refused("not_leader")
        record = self._records.records_by_id.get(message.job_id)
        if record is None:
            return Ok()
        is_active = message.attempt >= record.attempt and record.state not in FINAL_STATES
        if isinstance(message, GangStarted):
            # An attempt that is not in the record is adopted once an agent reports its gang.
            if (
                is_active
                and message.attempt == record.attempt
                and record.state is JobState.STARTING
            ):
                self._transitions.record_start(record)
            return Ok()
        is_repeated = message.attempt == record.attempt and record.state is JobState.QUEUED
        if is_active and (not is_repeated or message.outcome is GangOutcome.COMPLETED):
            self._transitions.end_attempt(record, message)
            self._wake.set()
        # The head repeats the end of its gang until a leader acknowledges it. If a leader did so
        # before the write and then lost the role, the completed job would run again.
        if not await self._records.wait_until_written(message.job_id, END_WRITE_TIMEOUT):
            return Refused("not_recorded")
        return Ok()

    # Reconciliation and decisions.

    async def _decide_forever(self) -> None:
        while True:
            await wait_at_most(self._clock, self._wake.wait(), DECISION_INTERVAL)
            self._wake.clear()
            try:
                gangs = self._reconcile()
                if self._is_report_wait_over():
                    self._decide(gangs)
            except Exception:  # a failed decision must not end the loop
                logger.exception("event=decision_failed cell=%s", self._cell_id)

    def _reconcile(self) -> dict[GangId, ReportedGang]:
        """Reconcile job records, reports and the cell; return the reported gangs."""
        now_s = self._clock.monotonic()
        self._reports.remove_expired(now_s)
        for worker in list(self.cell.workers_by_id):
            self._occupancy.set_quarantined(worker, self.quarantine.rejects_jobs(worker))
        gangs = self._reports.gangs()
        records = self._records.records_by_id
        actions = reconcile(
            records, gangs, self._starts.starting, self._last_reported_at_by_job, now_s
        )
        for action in list(actions):
            self._apply(action)
        for gang, reported in gangs.items():
            record = records.get(gang[0])
            if record is not None and record.cancel_requested and reported.head is not None:
                self._stop(reported.head, gang, "cancelled")
        self._occupancy.occupy_unknown_tasks(self._reports, records)
        return gangs

    def _apply(self, action: Action) -> None:
        if isinstance(action, StopOrphan):
            gang = (action.job_id, action.attempt)
            self._stop(action.head, gang, "no job record lists this attempt as active")
            return
        record = self._records.records_by_id[action.job_id]
        if isinstance(action, Requeue):
            logger.warning("event=gang_lost job=%s attempt=%d", record.job_id, record.attempt)
            head = record.placement[0].worker if record.placement else None
            if not self._transitions.record_loss(record, head):
                self._transitions.requeue(record, "no agent reported its gang")
        else:
            self._adopt(record, action)

    def _adopt(self, record: JobRecord, action: Adopt) -> None:
        logger.info("event=gang_adopted job=%s attempt=%d", action.job_id, action.attempt)
        self._occupancy.release(record.job_id)
        state = JobState.RUNNING if action.running else JobState.STARTING
        self._transitions.change(
            record,
            state=JobState.STOPPING if record.cancel_requested else state,
            attempt=action.attempt,
            placement=action.placement,
            started_at=self._clock.now() if action.running else None,
        )
        self._occupancy.occupy(record, self._clock.now())

    def _stop(self, head: TargetId, gang: GangId, reason: str) -> None:
        """Ask a gang's head to stop it; repeat the call while the gang is still reported."""
        now_s = self._clock.monotonic()
        if now_s - self._stop_sent_at.get(gang, -STOP_RETRY_INTERVAL_S) < STOP_RETRY_INTERVAL_S:
            return
        self._stop_sent_at = {
            key: sent_at
            for key, sent_at in self._stop_sent_at.items()
            if now_s - sent_at < STOP_RETRY_INTERVAL_S
        }
        self._stop_sent_at[gang] = now_s

        async def stop() -> None:
            await self._calls.stop(self._epoch, head, gang, 0.0, reason)

        self._spawn(stop())

    def _decide(self, gangs: dict[GangId, ReportedGang]) -> None:
        now_s = self._clock.now().timestamp()  # wall-clock time, as in QueuedJob.submitted_s
        startable_jobs = self.jobs.list_startable({job_id for job_id, _ in gangs})
        decisions = decide(self.cell, startable_jobs, now_s)
        if decisions:
            self._wake.set()  # the number of decisions per pass is bounded; there may be more
        for decision in decisions:
            record = self._records.records_by_id.get(decision.job_id)
            if record is None:
                continue
            if isinstance(decision, Start):
                # A quarantined worker gets one probe job at a time, even if this pass has placed
                # several jobs on it.
                if self.quarantine.record_start(record.job_id, decision.placement):
                    self._spawn(self._starts.start(record, decision))
            else:
                # Mark the job before the asynchronous call, so that the next pass counts it as
                # stopping.
                self.cell.mark_stopping(record.job_id)
                self._spawn(self._starts.evict(record, decision))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
