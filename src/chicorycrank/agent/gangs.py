"""Gangs that this agent leads: their heads, links to members and reports to the leader."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from chicorycrank.adapters.peers import PeerLink, dial
from chicorycrank.agent.gang_head import GangHead
from chicorycrank.agent.reservations import GangId
from chicorycrank.agent.worker import WorkerSide
from chicorycrank.model.ids import EntryId, TargetId
from chicorycrank.model.messages import (
    AnyMessage,
    CancelReservation,
    GangEnded,
    GangMember,
    GangStarted,
    Hello,
    LeaderAnnounce,
    Ok,
    Refused,
    StartGang,
    StopGang,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, Link, LinkError, LinkNotSentError

REPORT_TIMEOUT = timedelta(seconds=2)
REPORT_RETRY = timedelta(seconds=1)
MEMBER_HEARTBEAT = timedelta(seconds=3)

logger = logging.getLogger("absl")

Spawn = Callable[[Coroutine[Any, Any, None]], object]


class GangLeading:
    """Leads gangs whose first member is on this agent's worker.

    :param hello: makes the greeting to a member's agent
    :param handle: handles messages, those to this agent's own member included
    :param entry_link: returns the open link to an entry
    """

    def __init__(
        self,
        target: TargetId,
        side: WorkerSide,
        clock: Clock,
        *,
        hello: Callable[[], Hello],
        handle_own: Callable[[AnyMessage], Coroutine[Any, Any, AnyMessage]],
        handle: Handler,
        entry_link: Callable[[EntryId], Link | None],
        spawn: Spawn,
    ) -> None:
        self._target = target
        self._side = side
        self._clock = clock
        self._hello = hello
        self._handle_own = handle_own
        self._handle = handle
        self._entry_link = entry_link
        self._spawn = spawn
        self._head_by_gang: dict[GangId, GangHead] = {}
        self._link_by_address: dict[str, PeerLink] = {}
        self._lock_by_address: dict[str, asyncio.Lock] = {}
        self.leader: EntryId | None = None

    @property
    def gangs(self) -> list[GangId]:
        """Gangs that this agent leads."""
        return list(self._head_by_gang)

    async def adopt(self) -> None:
        """Take over the worker's tasks and lead the gangs of an earlier incarnation again."""
        for start in await self._side.adopt():
            self._lead(start, is_resumed=True)

    def take_leader(self, message: LeaderAnnounce) -> AnyMessage:
        """Note who leads the cell."""
        refusal = self._side.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        self.leader = message.leader
        return Ok()

    def start(self, message: StartGang) -> AnyMessage:
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

    def stop(self, message: StopGang) -> AnyMessage:
        """End a gang that this agent leads."""
        refusal = self._side.check_epoch(message.epoch)
        if refusal is not None:
            return refusal
        head = self._head_by_gang.get((message.job_id, message.attempt))
        if head is None:
            return Refused("no_such_gang")
        head.stop(grace_s=message.grace_s, reason=message.reason)
        return Ok()

    async def cancel(self, message: CancelReservation) -> AnyMessage:
        """End an attempt that the leader gave up."""
        reply = await self._side.cancel(message)
        head = self._head_by_gang.get((message.job_id, message.attempt))
        if head is not None and isinstance(reply, Ok):
            head.stop(grace_s=0.0, reason="the leader gave the attempt up")
        return reply

    def _lead(self, start: StartGang, *, is_resumed: bool) -> None:
        gang = (start.job_id, start.attempt)
        head = GangHead(start, self._call_member, self._report, self._clock, is_resumed=is_resumed)
        self._head_by_gang[gang] = head
        self._spawn(self._run_head(gang, head))

    async def _run_head(self, gang: GangId, head: GangHead) -> None:
        try:
            await head.run()
        finally:
            self._head_by_gang.pop(gang, None)

    async def _call_member(
        self, member: GangMember, message: AnyMessage, timeout: timedelta
    ) -> AnyMessage:
        if member.placement.worker == self._target:
            return await self._handle_own(message)
        link = await self._link_to(member.address)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                return await link.request(message, timeout=timeout)
        except LinkNotSentError:
            raise
        except (LinkError, TimeoutError):
            # An open connection may be silent for good; the next call uses a new one.
            if self._link_by_address.get(member.address) is link:
                del self._link_by_address[member.address]
            self._spawn(link.close("no reply"))
            raise

    async def _link_to(self, address: str) -> PeerLink:
        async with self._lock_by_address.setdefault(address, asyncio.Lock()):
            link = self._link_by_address.get(address)
            if link is None or not link.is_open:
                link, _ = await dial(
                    address,
                    hello=self._hello(),
                    handler=self._handle,
                    clock=self._clock,
                    heartbeat=MEMBER_HEARTBEAT,
                )
                self._link_by_address[address] = link
                self._spawn(link.run())
            return link

    async def _report(self, message: GangStarted | GangEnded) -> None:
        """Hand a message to the leader until it is acknowledged."""
        while True:
            link = self._entry_link(self.leader) if self.leader else None
            if link is not None:
                try:
                    if isinstance(await link.request(message, timeout=REPORT_TIMEOUT), Ok):
                        return
                except LinkError as error:
                    logger.info("event=gang_report_lost error=%s", error)
            await self._clock.sleep(REPORT_RETRY)
