"""Calls from the leader of a cell to the workers' agents."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

from chicorycrank.entry.directory import Directory
from chicorycrank.model.ids import CellId, EntryId, Epoch, JobId, TargetId
from chicorycrank.model.jobs import JobRecord, MemberPlacement
from chicorycrank.model.messages import (
    AnyMessage,
    CancelReservation,
    GangMember,
    LeaderAnnounce,
    Ok,
    Refused,
    Reserve,
    StartGang,
    StopGang,
)
from chicorycrank.ports.links import LinkError, MessageNotSentError

CALL_TIMEOUT = timedelta(seconds=2)
RESERVATION_TTL_S = 10.0

logger = logging.getLogger("absl")


class CallResult(Enum):
    """Outcome of a call; ``UNCERTAIN`` means that the agent may have executed it."""

    DONE = "done"
    REFUSED = "refused"
    UNCERTAIN = "uncertain"


class GangCalls:
    """Starts and stops gangs through the agents.

    :param on_stale_epoch: called with a reason when an agent has seen a higher epoch
    """

    def __init__(self, directory: Directory, on_stale_epoch: Callable[[str], None]) -> None:
        self._directory = directory
        self._on_stale_epoch = on_stale_epoch

    async def announce(self, worker: TargetId, cell: CellId, epoch: Epoch, entry: EntryId) -> None:
        """Notify a worker's agent of the leader of its cell."""
        await self._request(worker, LeaderAnnounce(cell, epoch, entry))

    async def start(self, epoch: Epoch, record: JobRecord) -> CallResult:
        """Reserve all members and send the gang to its head; cancel the reservations if refused."""
        job_id, attempt, placement = record.job_id, record.attempt, record.placement
        members = self._gang_members(placement)
        if members is None:
            return CallResult.REFUSED
        result = CallResult.REFUSED
        if await self._reserve(epoch, record):
            message = StartGang(epoch, job_id, attempt, record.spec, members, record.progress_s)
            result = await self._request(placement[0].worker, message)
        if result is CallResult.REFUSED:
            cancel = CancelReservation(epoch, job_id, attempt)
            workers = {place.worker for place in placement}
            await asyncio.gather(*(self._request(worker, cancel) for worker in workers))
        return result

    async def stop(
        self, epoch: Epoch, head: TargetId, gang: tuple[JobId, int], grace_s: float, reason: str
    ) -> CallResult:
        """Request the head of a gang to stop it."""
        return await self._request(head, StopGang(epoch, gang[0], gang[1], grace_s, reason))

    def _gang_members(
        self, placement: tuple[MemberPlacement, ...]
    ) -> tuple[GangMember, ...] | None:
        members = []
        for place in placement:
            target = self._directory.targets_by_id.get(place.worker)
            if target is None:
                return None
            members.append(GangMember(place, target.hello.address))
        return tuple(members)

    async def _reserve(self, epoch: Epoch, record: JobRecord) -> bool:
        shape = record.spec.shape
        calls = []
        for index, place in enumerate(record.placement):
            message = Reserve(
                epoch,
                record.job_id,
                record.attempt,
                index,
                place.accelerators,
                shape.cores,
                shape.memory_gb,
                RESERVATION_TTL_S,
            )
            calls.append(self._request(place.worker, message))
        return all(result is CallResult.DONE for result in await asyncio.gather(*calls))

    async def _request(self, worker: TargetId, message: AnyMessage) -> CallResult:
        target = self._directory.targets_by_id.get(worker)
        if target is None:
            return CallResult.REFUSED
        try:
            reply = await target.link.request(message, timeout=CALL_TIMEOUT)
        except MessageNotSentError as error:
            logger.info("event=agent_unreachable target=%s error=%s", worker, error)
            return CallResult.REFUSED
        except LinkError as error:
            logger.info("event=agent_unresponsive target=%s error=%s", worker, error)
            return CallResult.UNCERTAIN
        if not isinstance(reply, Refused):
            return CallResult.DONE if isinstance(reply, Ok) else CallResult.UNCERTAIN
        logger.info("event=agent_refused target=%s code=%s", worker, reply.code)
        if reply.code == "stale_epoch":
            self._on_stale_epoch(f"{worker}: {reply.detail}")
        return CallResult.REFUSED
