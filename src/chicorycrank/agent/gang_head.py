"""The head of a gang: prepares the members' tasks, lets them work, monitors and stops them."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
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
    Refused,
    ReleaseTask,
    StartGang,
    StopTask,
    TaskPhase,
    TaskStatus,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError, MessageNotSentError

# Three calls can time out before a member counts as lost.
CALL_TIMEOUT = timedelta(seconds=3)
# Failed prepare calls are retried for this time, which is shorter than the time for which the
# members' reservations are valid (10 s, ``RESERVATION_TTL_S`` of the entry).
PREPARE_TIMEOUT = timedelta(seconds=5)
RETRY_BACKOFF = timedelta(milliseconds=300)
# A member that sent no reply for this time is lost. A member that received nothing from the head
# for the same time has stopped its tasks.
MEMBER_LOST_TIMEOUT = timedelta(seconds=10)
# Limits the heartbeat traffic of a head to about 2 KB/s. A heartbeat and its reply take 97 bytes
# with websocket headers: 2.0 KB/s for 64 workers every 3 s, 1.9 KB/s for 21 workers every second.
HEARTBEAT_INTERVAL_MIN = timedelta(seconds=1)
HEARTBEAT_INTERVAL_MAX = timedelta(seconds=3)
HEARTBEAT_INTERVAL_PER_WORKER = timedelta(milliseconds=47)

# Codes of refusals after which the same call is retried.
TRANSIENT_CODES = frozenset({"starting", "worker_unreachable", "worker_refused"})
# Codes of refusals that are caused by the worker and not by the job.
WORKER_FAULT_CODES = frozenset({"worker_unreachable", "worker_refused"})

logger = logging.getLogger("absl")

CallMember = Callable[[GangMember, AnyMessage, timedelta], Awaitable[AnyMessage]]
ReportToLeader = Callable[[GangStarted | GangEnded], Awaitable[None]]
Reply = AnyMessage | LinkError


def heartbeat_interval(workers: int) -> timedelta:
    """Return the time between two heartbeats of a gang with ``workers`` workers."""
    interval = HEARTBEAT_INTERVAL_PER_WORKER * workers
    return min(max(interval, HEARTBEAT_INTERVAL_MIN), HEARTBEAT_INTERVAL_MAX)


class GangHead:
    """Runs one gang from its reservation to its end.

    All calls to members are idempotent, so a restarted head repeats the same steps.

    :param call_member: sends a message to the agent of a member, which may be this agent
    :param report: sends a message to the cell's leader until the leader acknowledges it
    :param is_resumed: whether an earlier incarnation of this agent started the tasks
    """

    def __init__(
        self,
        start: StartGang,
        call_member: CallMember,
        report: ReportToLeader,
        clock: Clock,
        *,
        is_resumed: bool = False,
    ) -> None:
        self._start = start
        self._call_member = call_member
        self._report = report
        self._clock = clock
        self._is_resumed = is_resumed
        self.members = _select_one_per_worker(start.members)
        now = clock.monotonic()
        self._last_contact_at_by_worker = {member.placement.worker: now for member in self.members}
        self._last_sent_at_by_worker = dict(self._last_contact_at_by_worker)
        self._stop_reason: str | None = None
        self._grace_s = 0.0
        self._stop_requested = asyncio.Event()

    def stop(self, *, grace_s: float, reason: str) -> None:
        """Request that the gang stops.

        :param grace_s: time for a checkpoint of each task, in seconds
        """
        self._grace_s = grace_s
        self._stop_reason = reason
        self._stop_requested.set()

    async def run(self) -> None:
        """Run the gang until it has ended and the leader has acknowledged its end."""
        end = await self._prepare() or await self._release()
        if end is None:
            start_report = asyncio.ensure_future(
                self._report(GangStarted(self._start.job_id, self._start.attempt))
            )
            try:
                end = await self._monitor()
            finally:
                start_report.cancel()
        await self._stop_and_report(end)

    # Steps of run(): each returns the end of the gang, or None if the next step follows.

    async def _prepare(self) -> GangEnded | None:
        start = self._start
        outcome = GangOutcome.LOST if self._is_resumed else GangOutcome.NOT_STARTED
        limit = MEMBER_LOST_TIMEOUT if self._is_resumed else PREPARE_TIMEOUT
        deadline = self._clock.monotonic() + limit.total_seconds()
        calls: list[tuple[GangMember, AnyMessage]] = [
            (
                member,
                PrepareTask(
                    start.job_id, start.attempt, index, start.spec, start.members, start.progress_s
                ),
            )
            for index, member in enumerate(start.members)
        ]
        while True:
            failed_call = _find_failed_call(calls, await self._call_all(calls))
            if self._stop_reason is not None:
                return self._make_end(GangOutcome.STOPPED, self._stop_reason)
            if failed_call is None:
                return None
            worker, reply = failed_call
            if not _is_transient(reply) or self._clock.monotonic() >= deadline:
                blamed = worker if _is_worker_fault(reply) else None
                return self._make_end(
                    outcome, f"{worker} could not prepare: {_format_reply(reply)}", blamed
                )
            await self._sleep_unless_stopped(RETRY_BACKOFF)

    async def _release(self) -> GangEnded | None:
        """Let the prepared tasks of all members work.

        Once a ReleaseTask was sent, tasks may be working, so a failure ends the gang as LOST.
        """
        message = ReleaseTask(self._start.job_id, self._start.attempt)
        calls: list[tuple[GangMember, AnyMessage]] = [(m, message) for m in self.members]
        while True:
            replies = await self._call_all(calls)
            failed_call = _find_failed_call(calls, replies)
            if self._stop_reason is not None:
                return self._make_end(GangOutcome.STOPPED, self._stop_reason)
            if failed_call is None:
                return None
            self._record_contact(
                member for (member, _), r in zip(calls, replies, strict=True) if isinstance(r, Ok)
            )
            worker, reply = failed_call
            if not _is_transient(reply) or self._find_lost_worker() is not None:
                blamed = worker if _is_worker_fault(reply) else None
                reason = f"{worker} could not start the prepared task: {_format_reply(reply)}"
                return self._make_end(GangOutcome.LOST, reason, blamed)
            await self._sleep_unless_stopped(RETRY_BACKOFF)

    async def _monitor(self) -> GangEnded:
        """Send heartbeats until all members complete, one fails or is lost, or a stop is due."""
        message = GangBeat(self._start.job_id, self._start.attempt)
        calls: list[tuple[GangMember, AnyMessage]] = [(m, message) for m in self.members]
        self._record_contact(self.members)
        while self._stop_reason is None:
            replies = await self._call_all(calls)
            status_by_worker = {
                member.placement.worker: reply
                for member, reply in zip(self.members, replies, strict=True)
                if isinstance(reply, TaskStatus)
            }
            self._record_contact(m for m in self.members if m.placement.worker in status_by_worker)
            end = self._find_end(status_by_worker)
            if end is not None:
                return end
            await self._sleep_unless_stopped(heartbeat_interval(len(self.members)))
        return self._make_end(GangOutcome.STOPPED, self._stop_reason)

    def _find_end(self, status_by_worker: dict[TargetId, TaskStatus]) -> GangEnded | None:
        # FAILED is checked before GONE, because a failed task also stops the other members' tasks.
        for phase, outcome in (
            (TaskPhase.FAILED, GangOutcome.FAILED),
            (TaskPhase.GONE, GangOutcome.LOST),
        ):
            for worker, status in status_by_worker.items():
                if status.phase is phase:
                    return self._make_end(outcome, status.detail, worker)
        if len(status_by_worker) == len(self.members) and all(
            status.phase is TaskPhase.COMPLETED for status in status_by_worker.values()
        ):
            return self._make_end(GangOutcome.COMPLETED, "")
        lost_worker = self._find_lost_worker()
        if lost_worker is not None:
            return self._make_end(
                GangOutcome.LOST,
                f"member on {lost_worker} sent no reply within the timeout",
                lost_worker,
            )
        return None

    async def _stop_and_report(self, end: GangEnded) -> None:
        """Stop every member, then report the end.

        A member that cannot confirm its stop ends its tasks once it has received nothing from the
        head for :data:`MEMBER_LOST_TIMEOUT`. The report waits no longer than that.
        """
        saved_progress_s = self._start.progress_s
        unconfirmed = list(self.members)
        confirmed_progress_s: list[float] = []
        grace_s = self._grace_s if end.outcome is GangOutcome.STOPPED else 0.0
        message = StopTask(self._start.job_id, self._start.attempt, grace_s)
        while True:
            timeout = CALL_TIMEOUT + timedelta(seconds=grace_s)
            calls: list[tuple[GangMember, AnyMessage]] = [(m, message) for m in unconfirmed]
            replies = await self._call_all(calls, timeout=timeout, may_extend_expiry=False)
            confirmed_progress_s += [r.progress_s for r in replies if isinstance(r, TaskStatus)]
            unconfirmed = [
                member
                for member, reply in zip(unconfirmed, replies, strict=True)
                if not isinstance(reply, TaskStatus) and not self._has_expired(member)
            ]
            if not unconfirmed:
                break
            await self._clock.sleep(RETRY_BACKOFF)
        if len(confirmed_progress_s) == len(self.members):
            saved_progress_s = max(saved_progress_s, min(confirmed_progress_s))
        else:
            logger.warning("event=gang_stop_unconfirmed job=%s", self._start.job_id)
        await self._report(
            GangEnded(
                end.job_id, end.attempt, end.outcome, saved_progress_s, end.reason, end.blamed
            )
        )

    # Calls to the members and the times of the last contact.

    async def _call_all(
        self,
        calls: list[tuple[GangMember, AnyMessage]],
        *,
        timeout: timedelta = CALL_TIMEOUT,
        may_extend_expiry: bool = True,
    ) -> list[Reply]:
        """Call members concurrently and return their replies.

        :param may_extend_expiry: receipt of the message postpones the time at which a member ends
            its tasks by itself
        """
        return await asyncio.gather(
            *(self._call(member, message, timeout, may_extend_expiry) for member, message in calls)
        )

    async def _call(
        self, member: GangMember, message: AnyMessage, timeout: timedelta, may_extend_expiry: bool
    ) -> Reply:
        worker = member.placement.worker
        try:
            # The timeout includes connecting, so that an unresponsive member does not delay the
            # heartbeats to the other members.
            async with asyncio.timeout(timeout.total_seconds()):
                reply: Reply = await self._call_member(member, message, timeout)
        except LinkError as error:
            reply = error
        except TimeoutError:
            reply = LinkError(f"no reply from {worker} within {timeout}")
        if may_extend_expiry and not isinstance(reply, MessageNotSentError):
            self._last_sent_at_by_worker[worker] = self._clock.monotonic()
        return reply

    def _record_contact(self, members: Iterable[GangMember]) -> None:
        now = self._clock.monotonic()
        for member in members:
            self._last_contact_at_by_worker[member.placement.worker] = now

    def _find_lost_worker(self) -> TargetId | None:
        limit = self._clock.monotonic() - MEMBER_LOST_TIMEOUT.total_seconds()
        return next(
            (w for w, contact_at in self._last_contact_at_by_worker.items() if contact_at < limit),
            None,
        )

    def _has_expired(self, member: GangMember) -> bool:
        """Whether a member has received nothing for so long that it has ended its tasks."""
        sent_at = self._last_sent_at_by_worker[member.placement.worker]
        return self._clock.monotonic() > sent_at + MEMBER_LOST_TIMEOUT.total_seconds()

    async def _sleep_unless_stopped(self, delay: timedelta) -> None:
        """Sleep, but return at once when a stop is requested."""
        sleep = asyncio.ensure_future(self._clock.sleep(delay))
        stop_requested = asyncio.ensure_future(self._stop_requested.wait())
        try:
            await asyncio.wait({sleep, stop_requested}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            stop_requested.cancel()

    def _make_end(
        self, outcome: GangOutcome, reason: str, blamed: TargetId | None = None
    ) -> GangEnded:
        """Return the end of the gang.

        :param blamed: worker that caused the end, if any
        """
        start = self._start
        return GangEnded(start.job_id, start.attempt, outcome, start.progress_s, reason, blamed)


def _select_one_per_worker(members: tuple[GangMember, ...]) -> list[GangMember]:
    return list({member.placement.worker: member for member in members}.values())


def _find_failed_call(
    calls: list[tuple[GangMember, AnyMessage]], replies: list[Reply]
) -> tuple[TargetId, Reply] | None:
    """Return the first call that was not answered by Ok; permanent refusals come first."""
    failed_calls = [
        (member.placement.worker, reply)
        for (member, _), reply in zip(calls, replies, strict=True)
        if not isinstance(reply, Ok)
    ]
    return min(failed_calls, key=lambda failed_call: _is_transient(failed_call[1]), default=None)


def _is_transient(reply: Reply) -> bool:
    return isinstance(reply, LinkError) or (
        isinstance(reply, Refused) and reply.code in TRANSIENT_CODES
    )


def _is_worker_fault(reply: Reply) -> bool:
    return isinstance(reply, LinkError) or (
        isinstance(reply, Refused) and reply.code in WORKER_FAULT_CODES
    )


def _format_reply(reply: Reply) -> str:
    return f"{reply.code} {reply.detail}".strip() if isinstance(reply, Refused) else str(reply)
