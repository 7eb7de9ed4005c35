"""Execution of scheduling decisions: starts and evictions of gangs."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from chicorycrank.entry.cell_occupancy import CellOccupancy
from chicorycrank.entry.gang_calls import CallResult, GangCalls
from chicorycrank.entry.transitions import Transitions
from chicorycrank.model.ids import Epoch, JobId
from chicorycrank.model.jobs import JobRecord, JobState
from chicorycrank.policy.decisions import Evict, Start
from chicorycrank.ports.clock import Clock

EVICTION_GRACE_S = 5.0


class GangStarts:
    """Executes the decisions of one term.

    :param wake: set to run the next decision pass at once
    :ivar starting: jobs whose start call has not been answered yet
    """

    def __init__(
        self,
        calls: GangCalls,
        transitions: Transitions,
        occupancy: CellOccupancy,
        clock: Clock,
        epoch: Epoch,
        wake: asyncio.Event,
    ) -> None:
        self._calls = calls
        self._transitions = transitions
        self._occupancy = occupancy
        self._clock = clock
        self._epoch = epoch
        self._wake = wake
        self.starting: set[JobId] = set()

    def start(self, record: JobRecord, decision: Start) -> Coroutine[Any, Any, None]:
        """Allocate the accelerators at once; the returned coroutine calls the agents.

        The cell's state changes before the coroutine runs, so that the next pass sees it.
        """
        self._transitions.change(
            record,
            state=JobState.STARTING,
            attempt=record.attempt + 1,
            placement=decision.placement,
            kind=decision.kind,
            started_at=None,
            reason="",
        )
        self._occupancy.occupy(record, self._clock.now(), backfill=decision.backfill)
        self.starting.add(record.job_id)
        return self._request_start(record)

    async def _request_start(self, record: JobRecord) -> None:
        attempt = record.attempt
        try:
            result = await self._calls.start(self._epoch, record)
        finally:
            self.starting.discard(record.job_id)
        is_active = record.state in (JobState.STARTING, JobState.STOPPING)
        if result is CallResult.REFUSED and is_active and record.attempt == attempt:
            self._transitions.back_off(record)
            self._transitions.requeue(record, "reservation refused")
            self._wake.set()

    async def evict(self, record: JobRecord, decision: Evict) -> None:
        """Stop a gang that is marked as stopping in the cell, to free its accelerators.

        The mark is removed if the agent does not confirm the stop.
        """
        cell = self._occupancy.cell
        gang, head = (record.job_id, record.attempt), record.placement[0].worker
        result = await self._calls.stop(self._epoch, head, gang, EVICTION_GRACE_S, decision.reason)
        if record.attempt != gang[1] or record.state not in (JobState.STARTING, JobState.RUNNING):
            return
        if result is CallResult.DONE:
            self._transitions.change(
                record,
                state=JobState.STOPPING,
                evictions=record.evictions + 1,
                reason=decision.reason,
                evicted_for=decision.for_job,
            )
        else:
            cell.mark_stopping(record.job_id, stopping=False)
