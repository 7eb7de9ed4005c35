"""Starts and evictions of gangs as a term's decisions ask for them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from chicorycrank.entry.gang_calls import CallResult, GangCalls
from chicorycrank.entry.occupation import Occupation
from chicorycrank.entry.transitions import Transitions
from chicorycrank.model.ids import Epoch, JobId
from chicorycrank.model.jobs import JobRecord, JobState
from chicorycrank.policy.decisions import Evict, Start
from chicorycrank.ports.clock import Clock

EVICTION_GRACE_S = 5.0


class GangStarts:
    """Carries out the decisions of one term.

    :param wake: set when the next decision should not wait
    :ivar starting: jobs whose start has not been answered yet
    """

    def __init__(
        self,
        calls: GangCalls,
        jobs: Transitions,
        occupation: Occupation,
        clock: Clock,
        epoch: Epoch,
        wake: asyncio.Event,
    ) -> None:
        self._calls = calls
        self._jobs = jobs
        self._occupation = occupation
        self._clock = clock
        self._epoch = epoch
        self._wake = wake
        self.starting: set[JobId] = set()

    def start(self, record: JobRecord, decision: Start) -> Coroutine[Any, Any, None]:
        """Take the accelerators at once; the returned work makes the calls."""
        self._jobs.change(
            record,
            state=JobState.STARTING,
            attempt=record.attempt + 1,
            placement=decision.placement,
            kind=decision.kind,
            started_at=None,
            reason="",
        )
        self._occupation.occupy(record, self._clock.now(), backfill=decision.backfill)
        self.starting.add(record.job_id)
        return self._call_start(record)

    async def _call_start(self, record: JobRecord) -> None:
        attempt = record.attempt
        try:
            result = await self._calls.start(self._epoch, record)
        finally:
            self.starting.discard(record.job_id)
        is_waiting = record.state in (JobState.STARTING, JobState.STOPPING)
        if result is CallResult.REFUSED and is_waiting and record.attempt == attempt:
            self._jobs.back_off(record)
            self._jobs.queue_again(record, "reservation refused")
            self._wake.set()

    async def evict(self, record: JobRecord, decision: Evict) -> None:
        """Stop a gang that the cell counts as stopping, so that another can start."""
        cell = self._occupation.cell
        gang, head = (record.job_id, record.attempt), record.placement[0].worker
        result = await self._calls.stop(self._epoch, head, gang, EVICTION_GRACE_S, decision.reason)
        if record.attempt != gang[1] or record.state not in (JobState.STARTING, JobState.RUNNING):
            return
        if result is CallResult.DONE:
            self._jobs.change(
                record,
                state=JobState.STOPPING,
                evictions=record.evictions + 1,
                reason=decision.reason,
                evicted_for=decision.for_job,
            )
        else:
            cell.mark_stopping(record.job_id, stopping=False)
