"""The head of a gang: prepares, commits, watches and ends it."""

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
from chicorycrank.ports.links import LinkError, LinkNotSentError

# Three unanswered calls fit into the silence limit of a member.
CALL_TIMEOUT = timedelta(seconds=3)
# Prepare calls are repeated within this time; reservations last 10 s.
PREPARE_LIMIT = timedelta(seconds=5)
RETRY_PAUSE = timedelta(milliseconds=300)
MEMBER_SILENCE = timedelta(seconds=10)
# A beat and its reply take 97 bytes with their websocket headers: 2.0 KB/s for a head of 64
# workers at one beat per 3 s, and 1.9 KB/s for 21 workers at one beat per second.
BEAT_INTERVAL_MIN = timedelta(seconds=1)
BEAT_INTERVAL_MAX = timedelta(seconds=3)
BEAT_INTERVAL_PER_WORKER = timedelta(milliseconds=47)

# Refusals that another attempt at the same call may overcome.
TRANSIENT_CODES = frozenset({"starting", "worker_unreachable", "worker_refused"})
# Refusals that speak against the worker and not against the job.
WORKER_CODES = frozenset({"worker_unreachable", "worker_refused"})

logger = logging.getLogger("absl")

CallMember = Callable[[GangMember, AnyMessage, timedelta], Awaitable[AnyMessage]]
Report = Callable[[GangStarted | GangEnded], Awaitable[None]]
Reply = AnyMessage | LinkError


def beat_interval(workers: int) -> timedelta:
    """Return the time between two beats of a gang."""
    wanted = BEAT_INTERVAL_PER_WORKER * workers
    return min(max(wanted, BEAT_INTERVAL_MIN), BEAT_INTERVAL_MAX)


class GangHead:
    """Runs one gang from its reservation to its end.

    All calls to members are idempotent, so a head that was restarted runs the same steps again.

    :param call_member: sends a message to a member's agent, this one included
    :param report: hands a message to the cell's leader until it is acknowledged
    :param is_resumed: the tasks were started by an earlier incarnation of this agent
    """

    def __init__(
        self,
        start: StartGang,
        call_member: CallMember,
        report: Report,
        clock: Clock,
        *,
        is_resumed: bool = False,
    ) -> None:
        self._start = start
        self._call_member = call_member
        self._report = report
        self._clock = clock
        self._is_resumed = is_resumed
        self.members = _one_per_worker(start.members)
        now = clock.monotonic()
        self._seen_at_by_worker = {member.placement.worker: now for member in self.members}
        self._sent_at_by_worker = dict(self._seen_at_by_worker)
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
        ended = await self._prepare() or await self._release()
        if ended is None:
            announce = asyncio.ensure_future(
                self._report(GangStarted(self._start.job_id, self._start.attempt))
            )
            try:
                ended = await self._watch()
            finally:
                announce.cancel()
        await self._end(ended)

    # Steps; each returns the gang's end, or nothing when the next step follows.

    async def _prepare(self) -> GangEnded | None:
        start = self._start
        outcome = GangOutcome.LOST if self._is_resumed else GangOutcome.NOT_STARTED
        limit = MEMBER_SILENCE if self._is_resumed else PREPARE_LIMIT
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
            problem = _find_problem(calls, await self._call_all(calls))
            if self._stop_reason is not None:
                return self._ended(GangOutcome.STOPPED, self._stop_reason)
            if problem is None:
                return None
            worker, reply = problem
            if not _is_transient(reply) or self._clock.monotonic() >= deadline:
                blamed = worker if _blames_worker(reply) else None
                return self._ended(outcome, f"{worker} could not prepare: {_say(reply)}", blamed)
            await self._pause(RETRY_PAUSE)

    async def _release(self) -> GangEnded | None:
        """Release all members; after the first release sent, the gang counts as committed."""
        message = ReleaseTask(self._start.job_id, self._start.attempt)
        calls: list[tuple[GangMember, AnyMessage]] = [(m, message) for m in self.members]
        while True:
            replies = await self._call_all(calls)
            problem = _find_problem(calls, replies)
            if self._stop_reason is not None:
                return self._ended(GangOutcome.STOPPED, self._stop_reason)
            if problem is None:
                return None
            self._note_seen(
                member for (member, _), r in zip(calls, replies, strict=True) if isinstance(r, Ok)
            )
            worker, reply = problem
            if not _is_transient(reply) or self._find_silent() is not None:
                blamed = worker if _blames_worker(reply) else None
                reason = f"{worker} could not be released: {_say(reply)}"
                return self._ended(GangOutcome.LOST, reason, blamed)
            await self._pause(RETRY_PAUSE)

    async def _watch(self) -> GangEnded:
        """Beat until all members completed, one failed or was lost, or a stop is asked."""
        message = GangBeat(self._start.job_id, self._start.attempt)
        calls: list[tuple[GangMember, AnyMessage]] = [(m, message) for m in self.members]
        self._note_seen(self.members)
        while self._stop_reason is None:
            replies = await self._call_all(calls)
            statuses = {
                member.placement.worker: reply
                for member, reply in zip(self.members, replies, strict=True)
                if isinstance(reply, TaskStatus)
            }
            self._note_seen(m for m in self.members if m.placement.worker in statuses)
            ended = self._judge(statuses)
            if ended is not None:
                return ended
            await self._pause(beat_interval(len(self.members)))
        return self._ended(GangOutcome.STOPPED, self._stop_reason)

    def _judge(self, statuses: dict[TargetId, TaskStatus]) -> GangEnded | None:
        # A failure is looked for first: it stops the other members, which then look lost.
        for phase, outcome in (
            (TaskPhase.FAILED, GangOutcome.FAILED),
            (TaskPhase.GONE, GangOutcome.LOST),
        ):
            for worker, status in statuses.items():
                if status.phase is phase:
                    return self._ended(outcome, status.detail, worker)
        if len(statuses) == len(self.members) and all(
            status.phase is TaskPhase.COMPLETED for status in statuses.values()
        ):
            return self._ended(GangOutcome.COMPLETED, "")
        silent = self._find_silent()
        if silent is not None:
            return self._ended(GangOutcome.LOST, f"member on {silent} is silent", silent)
        return None

    async def _end(self, ended: GangEnded) -> None:
        """Stop every member, then report the end.

        A member that confirms nothing ends by itself when its head is silent, so the report waits
        no longer than that.
        """
        saved = self._start.progress_s
        pending = list(self.members)
        confirmed: list[float] = []
        grace_s = self._grace_s if ended.outcome is GangOutcome.STOPPED else 0.0
        message = StopTask(self._start.job_id, self._start.attempt, grace_s)
        while True:
            timeout = CALL_TIMEOUT + timedelta(seconds=grace_s)
            calls: list[tuple[GangMember, AnyMessage]] = [(m, message) for m in pending]
            replies = await self._call_all(calls, timeout=timeout, may_extend=False)
            confirmed += [r.progress_s for r in replies if isinstance(r, TaskStatus)]
            pending = [
                member
                for member, reply in zip(pending, replies, strict=True)
                if not isinstance(reply, TaskStatus) and not self._is_quiet(member)
            ]
            if not pending:
                break
            await self._clock.sleep(RETRY_PAUSE)
        if len(confirmed) == len(self.members):
            saved = max(saved, min(confirmed))
        else:
            logger.warning("event=gang_stop_unconfirmed job=%s", self._start.job_id)
        await self._report(
            GangEnded(ended.job_id, ended.attempt, ended.outcome, saved, ended.reason, ended.blamed)
        )

    # Calls.

    async def _call_all(
        self,
        calls: list[tuple[GangMember, AnyMessage]],
        *,
        timeout: timedelta = CALL_TIMEOUT,
        may_extend: bool = True,
    ) -> list[Reply]:
        return await asyncio.gather(
            *(self._call(member, message, timeout, may_extend) for member, message in calls)
        )

    async def _call(
        self, member: GangMember, message: AnyMessage, timeout: timedelta, may_extend: bool
    ) -> Reply:
        worker = member.placement.worker
        try:
            # The bound covers the dialling too: a silent member must not delay the others' beats.
            async with asyncio.timeout(timeout.total_seconds()):
                reply: Reply = await self._call_member(member, message, timeout)
        except LinkError as error:
            reply = error
        except TimeoutError:
            reply = LinkError(f"no reply from {worker} within {timeout}")
        if may_extend and not isinstance(reply, LinkNotSentError):
            self._sent_at_by_worker[worker] = self._clock.monotonic()
        return reply

    def _note_seen(self, members: Iterable[GangMember]) -> None:
        now = self._clock.monotonic()
        for member in members:
            self._seen_at_by_worker[member.placement.worker] = now

    def _find_silent(self) -> TargetId | None:
        limit = self._clock.monotonic() - MEMBER_SILENCE.total_seconds()
        return next((w for w, seen in self._seen_at_by_worker.items() if seen < limit), None)

    def _is_quiet(self, member: GangMember) -> bool:
        """Whether a member has heard nothing for so long that it has stopped by itself."""
        sent_at = self._sent_at_by_worker[member.placement.worker]
        return self._clock.monotonic() > sent_at + MEMBER_SILENCE.total_seconds()

    async def _pause(self, delay: timedelta) -> None:
        """Sleep, or return at once when a stop is asked."""
        sleep = asyncio.ensure_future(self._clock.sleep(delay))
        wake = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait({sleep, wake}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            wake.cancel()

    def _ended(
        self, outcome: GangOutcome, reason: str, blamed: TargetId | None = None
    ) -> GangEnded:
        start = self._start
        return GangEnded(start.job_id, start.attempt, outcome, start.progress_s, reason, blamed)


def _one_per_worker(members: tuple[GangMember, ...]) -> list[GangMember]:
    return list({member.placement.worker: member for member in members}.values())


def _find_problem(
    calls: list[tuple[GangMember, AnyMessage]], replies: list[Reply]
) -> tuple[TargetId, Reply] | None:
    """Return the first call that was not answered by Ok; lasting refusals come first."""
    failed = [
        (member.placement.worker, reply)
        for (member, _), reply in zip(calls, replies, strict=True)
        if not isinstance(reply, Ok)
    ]
    return min(failed, key=lambda problem: _is_transient(problem[1]), default=None)


def _is_transient(reply: Reply) -> bool:
    return isinstance(reply, LinkError) or (
        isinstance(reply, Refused) and reply.code in TRANSIENT_CODES
    )


def _blames_worker(reply: Reply) -> bool:
    return isinstance(reply, LinkError) or (
        isinstance(reply, Refused) and reply.code in WORKER_CODES
    )


def _say(reply: Reply) -> str:
    return f"{reply.code} {reply.detail}".strip() if isinstance(reply, Refused) else str(reply)
