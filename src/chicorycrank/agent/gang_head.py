"""The head of a gang: prepares, commits, watches and ends it."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from chicorycrank.model.ids import TargetId
from chicorycrank.model.messages import (
    AnyMessage,
    GangBeat,
    GangEnded,
    GangMember,
    GangOutcome,
    GangStarted,
    Ok,
    PrepareTask,
    ReleaseTask,
    StartGang,
    StopTask,
    TaskPhase,
    TaskStatus,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError

CALL_TIMEOUT = timedelta(seconds=4)
BEAT_INTERVAL = timedelta(seconds=1)
MEMBER_SILENCE = timedelta(seconds=10)

logger = logging.getLogger("absl")

CallMember = Callable[[GangMember, AnyMessage, timedelta], Awaitable[AnyMessage]]
Report = Callable[[GangStarted | GangEnded], Awaitable[None]]


class GangHead:
    """Runs one gang from its reservation to its end.

    :param call_member: sends a message to a member's agent, this one included
    :param report: hands a message to the cell's leader until it is acknowledged
    """

    def __init__(
        self, start: StartGang, call_member: CallMember, report: Report, clock: Clock
    ) -> None:
        self._start = start
        self._call_member = call_member
        self._report = report
        self._clock = clock
        self._members = _one_per_worker(start.members)
        self._stop_reason: str | None = None
        self._grace_s = 0.0
        self._wake = asyncio.Event()

    def stop(self, *, grace_s: float, reason: str) -> None:
        """Ask the gang to end."""
        self._grace_s = grace_s
        self._stop_reason = reason
        self._wake.set()

    async def run(self) -> None:
        """Run the gang until it ended and its end was reported."""
        if not await self._prepare():
            await self._end(GangOutcome.NOT_STARTED, "a member could not prepare", None)
            return
        if not await self._release():
            await self._end(GangOutcome.LOST, "a member could not be released", None)
            return
        await self._report(GangStarted(self._start.job_id, self._start.attempt))
        await self._watch()

    async def _prepare(self) -> bool:
        start = self._start
        calls = [
            self._call_member(
                member,
                PrepareTask(
                    start.job_id,
                    start.attempt,
                    index,
                    start.spec,
                    start.members,
                    start.progress_s,
                ),
                CALL_TIMEOUT,
            )
            for index, member in enumerate(start.members)
        ]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        return all(isinstance(reply, Ok) for reply in replies)

    async def _release(self) -> bool:
        message = ReleaseTask(self._start.job_id, self._start.attempt)
        calls = [self._call_member(member, message, CALL_TIMEOUT) for member in self._members]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        return all(isinstance(reply, Ok) for reply in replies)

    async def _watch(self) -> None:
        """Beat until all members completed, one failed or was lost, or a stop is asked."""
        now = self._clock.monotonic()
        last_seen_by_worker = {member.placement.worker: now for member in self._members}
        while self._stop_reason is None:
            statuses = await self._beat()
            for worker, status in statuses.items():
                last_seen_by_worker[worker] = self._clock.monotonic()
                if status.phase in (TaskPhase.FAILED, TaskPhase.GONE):
                    lost = status.phase is TaskPhase.GONE
                    outcome = GangOutcome.LOST if lost else GangOutcome.FAILED
                    await self._end(outcome, status.detail, worker)
                    return
            if len(statuses) == len(self._members) and all(
                status.phase is TaskPhase.COMPLETED for status in statuses.values()
            ):
                await self._end(GangOutcome.COMPLETED, "", None)
                return
            silent = self._find_silent(last_seen_by_worker)
            if silent is not None:
                await self._end(GangOutcome.LOST, f"member on {silent} is silent", silent)
                return
            await self._pause()
        await self._end(GangOutcome.STOPPED, self._stop_reason, None)

    async def _beat(self) -> dict[TargetId, TaskStatus]:
        message = GangBeat(self._start.job_id, self._start.attempt)
        calls = [self._call_member(member, message, CALL_TIMEOUT) for member in self._members]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        return {
            member.placement.worker: reply
            for member, reply in zip(self._members, replies, strict=True)
            if isinstance(reply, TaskStatus)
        }

    def _find_silent(self, last_seen_by_worker: dict[TargetId, float]) -> TargetId | None:
        limit = self._clock.monotonic() - MEMBER_SILENCE.total_seconds()
        return next((w for w, seen in last_seen_by_worker.items() if seen < limit), None)

    async def _pause(self) -> None:
        try:
            async with asyncio.timeout(BEAT_INTERVAL.total_seconds()):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _end(self, outcome: GangOutcome, reason: str, blamed: TargetId | None) -> None:
        start = self._start
        message = StopTask(start.job_id, start.attempt, self._grace_s)
        timeout = CALL_TIMEOUT + timedelta(seconds=self._grace_s)
        calls = [self._call_member(member, message, timeout) for member in self._members]
        replies = await asyncio.gather(*calls, return_exceptions=True)
        saved = [
            reply.progress_s if isinstance(reply, TaskStatus) else start.progress_s
            for reply in replies
        ]
        for reply in replies:
            if isinstance(reply, LinkError):
                logger.warning("event=gang_stop_unconfirmed job=%s error=%s", start.job_id, reply)
        await self._report(
            GangEnded(start.job_id, start.attempt, outcome, min(saved), reason, blamed)
        )


def _one_per_worker(members: tuple[GangMember, ...]) -> list[GangMember]:
    return list({member.placement.worker: member for member in members}.values())
