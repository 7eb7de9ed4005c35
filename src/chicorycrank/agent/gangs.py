"""Gangs that this agent leads."""

import logging
from datetime import timedelta

from chicorycrank.adapters.background import Background
from chicorycrank.agent.gang_head import CallMember, GangHead, Report
from chicorycrank.agent.reservations import GangId
from chicorycrank.agent.worker import WorkerSide
from chicorycrank.model.ids import EntryId, TargetId
from chicorycrank.model.messages import (
    AnyMessage,
    CancelReservation,
    GangBeat,
    GangMember,
    LeaderAnnounce,
    Ok,
    PrepareTask,
    Refused,
    ReleaseTask,
    Reserve,
    StartGang,
    StopGang,
    StopTask,
)
from chicorycrank.ports.clock import Clock

logger = logging.getLogger("absl")


class GangLeading:
    """Serves the messages to a worker's agent and leads gangs whose first member is here.

    :param call_member: sends a message to another agent
    :param report: hands a message to the cell's leader until it is acknowledged
    """

    def __init__(
        self,
        target: TargetId,
        side: WorkerSide,
        clock: Clock,
        background: Background,
        *,
        call_member: CallMember,
        report: Report,
    ) -> None:
        self._target = target
        self._side = side
        self._clock = clock
        self._background = background
        self._call_other = call_member
        self._report = report
        self._head_by_gang: dict[GangId, GangHead] = {}
        self.leader: EntryId | None = None

    @property
    def gangs(self) -> list[GangId]:
        """Gangs that this agent leads."""
        return list(self._head_by_gang)

    def addresses(self) -> set[str]:
        """Return the addresses of all members of the gangs led here."""
        return {member.address for head in self._head_by_gang.values() for member in head.members}

    async def run(self) -> None:
        """Take over the worker's tasks, lead their gangs again, and keep the tasks alive."""
        for start in await self._side.adopt():
            self._lead(start, is_resumed=True)
        await self._side.run()

    async def handle(self, message: AnyMessage) -> AnyMessage:
        """Answer a message to the worker's agent."""
        side = self._side
        match message:
            case LeaderAnnounce():
                return self._take_leader(message)
            case Reserve():
                return side.reserve(message)
            case CancelReservation():
                return await self._cancel(message)
            case StartGang():
                return self._start(message)
            case StopGang():
                return self._stop(message)
            case PrepareTask():
                return await side.prepare(message)
            case ReleaseTask():
                return await side.release((message.job_id, message.attempt))
            case GangBeat():
                return side.beat((message.job_id, message.attempt))
            case StopTask():
                return await side.stop(message)
        return Refused("unexpected_message", type(message).__name__)

    def _take_leader(self, message: LeaderAnnounce) -> AnyMessage:
        refusal = self._side.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        self.leader = message.leader
        return Ok()

    def _start(self, message: StartGang) -> AnyMessage:
        """Lead a reserved gang; a repeated message changes nothing."""
        refusal = self._side.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        gang = (message.job_id, message.attempt)
        if gang in self._head_by_gang or self._side.has_ended(gang):
            return Ok()
        if not self._side.mark_head(gang):
            return Refused("no_reservation")
        self._lead(message, is_resumed=False)
        return Ok()

    def _stop(self, message: StopGang) -> AnyMessage:
        refusal = self._side.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        head = self._head_by_gang.get((message.job_id, message.attempt))
        if head is None:
            return Refused("no_such_gang")
        head.stop(grace_s=message.grace_s, reason=message.reason)
        return Ok()

    async def _cancel(self, message: CancelReservation) -> AnyMessage:
        """End an attempt that the leader gave up; its head stops the other members."""
        reply = await self._side.cancel(message)
        head = self._head_by_gang.get((message.job_id, message.attempt))
        if head is not None and isinstance(reply, Ok):
            head.stop(grace_s=0.0, reason="the leader gave the attempt up")
        return reply

    def _lead(self, start: StartGang, *, is_resumed: bool) -> None:
        gang = (start.job_id, start.attempt)
        head = GangHead(start, self._call, self._report, self._clock, is_resumed=is_resumed)
        self._head_by_gang[gang] = head
        self._background.start(self._run_head(gang, head))

    async def _run_head(self, gang: GangId, head: GangHead) -> None:
        try:
            await head.run()
        finally:
            self._head_by_gang.pop(gang, None)

    async def _call(self, member: GangMember, message: AnyMessage, limit: timedelta) -> AnyMessage:
        if member.placement.worker == self._target:
            return await self.handle(message)
        return await self._call_other(member, message, limit)
