"""Forward requests to an entry of another region, in one hop."""

import asyncio
import logging
import uuid
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from chicorycrank.entry.directory import Directory, Peer
from chicorycrank.entry.dispatch import RECONNECT_WAIT_S, query_key_state
from chicorycrank.model.config import Config
from chicorycrank.model.ids import AttemptId, Incarnation, RegionId
from chicorycrank.model.messages import (
    AnyMessage,
    ForwardRequest,
    KeyState,
    KeyStatus,
    QueryAttempt,
    Refused,
    RunResult,
    ServiceLoad,
)
from chicorycrank.model.requests import Answer, Outcome, Request
from chicorycrank.policy.routing import should_forward
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError, MessageNotSentError

# Assumed one-way delay between two regions.
LINK_DELAY_S = 0.02
ANSWER_MARGIN_S = 0.5
POLL_INTERVAL = timedelta(milliseconds=100)
MAX_RECORDED_ATTEMPTS = 5000

logger = logging.getLogger("absl")


class Forwarder:
    """Sends requests to other regions and runs the forwarded requests of other regions.

    The receiving entry claims the key of a non-repeatable request itself, so that the claim names
    an agent of its region. If the outcome of a forward stays unknown, the sender runs the request
    like any retry of the key: it finds the receiver's claim, or it claims the key first and the
    delayed forward finds that claim.
    """

    def __init__(
        self,
        directory: Directory,
        clock: Clock,
        *,
        region: RegionId,
        config: Callable[[], Config],
    ) -> None:
        self._directory = directory
        self._clock = clock
        self._region = region
        self._config = config
        # None marks an attempt that was queried before it arrived and is refused when it arrives.
        self._task_by_attempt_id: OrderedDict[AttemptId, asyncio.Task[Answer] | None] = (
            OrderedDict()
        )
        self.sent_bytes_by_region: Counter[RegionId] = Counter()

    async def try_forward(
        self, request: Request, local_s: float | None, deadline: float
    ) -> Answer | None:
        """Run a request in another region if that is faster.

        :param local_s: expected time in this region; ``None`` without a usable executor
        :returns: the answer; ``None`` if the request is to run in this region
        """
        peer = self._choose_peer(request, local_s, deadline - self._clock.monotonic())
        if peer is None or peer.link is None:
            return None
        remaining_s = deadline - self._clock.monotonic()
        message = ForwardRequest(
            AttemptId(uuid.uuid4().hex), msgspec.structs.replace(request, deadline_s=remaining_s)
        )
        link = peer.link
        self.sent_bytes_by_region[peer.info.region] += len(request.body)
        timeout = timedelta(seconds=remaining_s + ANSWER_MARGIN_S)
        try:
            reply = await link.request(message, timeout=timeout)
        except MessageNotSentError:
            return None
        except LinkError as error:
            logger.info("event=forward_lost key=%s error=%s", request.key, error)
            return await self._recover_answer(message, peer, link.peer.incarnation, deadline)
        if isinstance(reply, RunResult) and reply.attempt_id == message.attempt_id:
            return None if reply.answer.outcome is Outcome.NOT_RUN else reply.answer
        return None

    def region_for(self, request: Request, local_s: float | None) -> RegionId:
        """Return the region that would run a request now.

        :param local_s: expected time in this region; ``None`` without a usable executor
        """
        peer = self._choose_peer(request, local_s, request.deadline_s)
        return self._region if peer is None else peer.info.region

    async def serve(
        self, message: ForwardRequest, run: Callable[[], Awaitable[Answer]]
    ) -> AnyMessage:
        """Run another region's request; return the first run's result to a repeated attempt."""
        attempt_id = message.attempt_id
        if attempt_id not in self._task_by_attempt_id:
            self._task_by_attempt_id[attempt_id] = asyncio.ensure_future(_call(run))
            self._prune_attempts()
        task = self._task_by_attempt_id[attempt_id]
        if task is None:
            return Refused("attempt_refused")
        return RunResult(attempt_id, await asyncio.shield(task))

    def query(self, message: QueryAttempt) -> KeyState:
        """Return the state of a forwarded attempt; refuse it from now on if it has not arrived."""
        if message.attempt_id not in self._task_by_attempt_id:
            self._task_by_attempt_id[message.attempt_id] = None
            self._prune_attempts()
        task = self._task_by_attempt_id[message.attempt_id]
        if task is None:
            return KeyState(KeyStatus.NEVER_RAN)
        if not task.done():
            return KeyState(KeyStatus.RUNNING)
        if task.cancelled() or task.exception() is not None:
            return KeyState(
                KeyStatus.DONE, Answer(outcome=Outcome.UNKNOWN, detail="the attempt was aborted")
            )
        return KeyState(KeyStatus.DONE, task.result())

    async def _recover_answer(
        self, message: ForwardRequest, peer: Peer, incarnation: Incarnation, deadline: float
    ) -> Answer | None:
        """Query the result of a forward whose reply was lost.

        :returns: the answer; ``None`` if the request has not run and will not run at the peer
        """
        give_up_at_s = min(deadline, self._clock.monotonic() + RECONNECT_WAIT_S)
        while True:
            link = peer.link
            if link is not None and link.is_open:
                if link.peer.incarnation != incarnation:
                    detail = f"{peer.info.entry_id} restarted"
                    return Answer(outcome=Outcome.UNKNOWN, detail=detail)
                state = await query_key_state(link, QueryAttempt(message.attempt_id, incarnation))
                if state is not None:
                    give_up_at_s = deadline
                if state is not None and state.status is KeyStatus.NEVER_RAN:
                    return None
                if state is not None and state.answer is not None:
                    answer = state.answer
                    return None if answer.outcome is Outcome.NOT_RUN else answer
            if self._clock.monotonic() >= give_up_at_s:
                detail = f"no outcome from {peer.info.entry_id}"
                return Answer(outcome=Outcome.UNKNOWN, detail=detail)
            await self._clock.sleep(POLL_INTERVAL)

    def _choose_peer(
        self, request: Request, local_s: float | None, remaining_s: float
    ) -> Peer | None:
        """Return the peer with the shortest expected time if forwarding to it is worthwhile."""
        best: tuple[float, Peer] | None = None
        for peer in self._directory.peers_by_id.values():
            digest = peer.digest
            if peer.info.region == self._region or peer.link is None or not peer.link.is_open:
                continue
            if digest is None or digest.draining:
                continue
            for load in digest.services:
                if load.service in ("", request.service) and load.free_slots > 0:
                    remote_s = _remote_time_s(load)
                    if best is None or remote_s < best[0]:
                        best = (remote_s, peer)
        if best is None:
            return None
        is_worthwhile = should_forward(
            local_s=remaining_s if local_s is None else local_s,
            remote_s=best[0],
            link_delay_s=LINK_DELAY_S,
            body_bytes=len(request.body),
            cost_s_per_mb=self._config().limits.cross_region_cost_s_per_mb,
        )
        return best[1] if is_worthwhile else None

    def _prune_attempts(self) -> None:
        """Remove the oldest attempts, except those that still run."""
        for attempt_id in list(self._task_by_attempt_id):
            if len(self._task_by_attempt_id) <= MAX_RECORDED_ATTEMPTS:
                return
            task = self._task_by_attempt_id[attempt_id]
            if task is None or task.done():
                del self._task_by_attempt_id[attempt_id]


async def _call(run: Callable[[], Awaitable[Answer]]) -> Answer:
    return await run()


def _remote_time_s(load: ServiceLoad) -> float:
    busy = 1.0 - load.free_slots / max(1, load.slots)
    return load.latency_s * (1.0 + busy)
