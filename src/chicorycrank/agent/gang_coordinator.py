"""Messages to a worker's agent and the gangs whose head is this agent."""

import logging
from datetime import timedelta

from chicorycrank.adapters.background import BackgroundTasks
from chicorycrank.agent.gang_head import CallMember, GangHead, ReportToLeader
from chicorycrank.agent.reservations import GangId
from chicorycrank.agent.worker import WorkerManager
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


class GangCoordinator:
    """Handles the messages to a worker's agent and runs the gangs whose head is this agent.

    The head of a gang is the agent of its first member.

    :param call_member: sends a message to another agent
    :param report: sends a message to the cell's leader until the leader acknowledges it
    """

    def __init__(
        self,
        target: TargetId,
        worker_manager: WorkerManager,
        clock: Clock,
        background: BackgroundTasks,
        *,
        call_member: CallMember,
        report: ReportToLeader,
    ) -> None:
        self._target = target
        self._worker_manager = worker_manager
        self._clock = clock
        self._background = background
        self._call_remote_member = call_member
        self._report = report
        self._head_by_gang: dict[GangId, GangHead] = {}
        self.leader: EntryId | None = None

    @property
    def gangs(self) -> list[GangId]:
        """Gangs whose head is this agent."""
        return list(self._head_by_gang)

    def addresses(self) -> set[str]:
        """Return the addresses of all members of the gangs whose head is this agent."""
        return {member.address for head in self._head_by_gang.values() for member in head.members}

    async def run(self) -> None:
        """Adopt the worker's tasks, resume the gangs whose head is this agent, and renew leases."""
        for start in await self._worker_manager.adopt():
            self._start_head(start, is_resumed=True)
        await self._worker_manager.run()

    async def handle(self, message: AnyMessage) -> AnyMessage:
        """Handle a message to the worker's agent and return the reply."""
        worker_manager = self._worker_manager
        match message:
            case LeaderAnnounce():
                return self._record_leader(message)
            case Reserve():
                return worker_manager.reserve(message)
            case CancelReservation():
                return await self._cancel(message)
            case StartGang():
                return self._start(message)
            case StopGang():
                return self._stop(message)
            case PrepareTask():
                return await worker_manager.prepare(message)
            case ReleaseTask():
                return await worker_manager.release((message.job_id, message.attempt))
            case GangBeat():
                return worker_manager.handle_heartbeat((message.job_id, message.attempt))
            case StopTask():
                return await worker_manager.stop(message)
        return Refused("unexpected_message", type(message).__name__)

    def _record_leader(self, message: LeaderAnnounce) -> AnyMessage:
        refusal = self._worker_manager.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        self.leader = message.leader
        return Ok()

    def _start(self, message: StartGang) -> AnyMessage:
        """Start the head of a reserved gang; a repeated message has no effect."""
        refusal = self._worker_manager.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        gang = (message.job_id, message.attempt)
        if gang in self._head_by_gang or self._worker_manager.has_ended(gang):
            return Ok()
        if not self._worker_manager.mark_as_head(gang):
            return Refused("no_reservation")
        self._start_head(message, is_resumed=False)
        return Ok()

    def _stop(self, message: StopGang) -> AnyMessage:
        refusal = self._worker_manager.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        head = self._head_by_gang.get((message.job_id, message.attempt))
        if head is None:
            return Refused("no_such_gang")
        head.stop(grace_s=message.grace_s, reason=message.reason)
        return Ok()

    async def _cancel(self, message: CancelReservation) -> AnyMessage:
        """Stop an attempt that the leader has abandoned; its head stops the other members."""
        reply = await self._worker_manager.cancel(message)
        head = self._head_by_gang.get((message.job_id, message.attempt))
        if head is not None and isinstance(reply, Ok):
            head.stop(grace_s=0.0, reason="the leader cancelled the attempt")
        return reply

    def _start_head(self, start: StartGang, *, is_resumed: bool) -> None:
        gang = (start.job_id, start.attempt)
        head = GangHead(start, self._call_member, self._report, self._clock, is_resumed=is_resumed)
        self._head_by_gang[gang] = head
        self._background.start(self._run_head(gang, head))

    async def _run_head(self, gang: GangId, head: GangHead) -> None:
        try:
            await head.run()
        finally:
            self._head_by_gang.pop(gang, None)

    async def _call_member(
        self, member: GangMember, message: AnyMessage, timeout: timedelta
    ) -> AnyMessage:
        if member.placement.worker == self._target:
            return await self.handle(message)
        return await self._call_remote_member(member, message, timeout)
