"""Requests that run in another region, sent from entry to entry in one hop."""

import asyncio
import logging
import uuid
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from chicorycrank.entry.directory import Directory, Peer
from chicorycrank.entry.dispatch import RECONNECT_WAIT_S, ask
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
from chicorycrank.ports.links import LinkError, LinkNotSentError

LINK_DELAY_S = 0.02
ANSWER_MARGIN_S = 0.5
POLL_INTERVAL = timedelta(milliseconds=100)
MAX_KEPT_ATTEMPTS = 5000

logger = logging.getLogger("absl")


class Forwarder:
    """Sends requests to other regions and serves those of other regions.

    The receiving entry claims a non-repeatable request itself, so that the claim names an agent
    of its region. When the outcome of a forward stays unknown, the sender runs the request as
    any retry of the key does: it finds the claim, or claims the key first and the late forward
    finds that claim.
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
        self._attempt_by_id: OrderedDict[AttemptId, asyncio.Task[Answer] | None] = OrderedDict()
        self.sent_bytes_by_region: Counter[RegionId] = Counter()

    async def try_forward(
        self, request: Request, local_s: float | None, deadline: float
    ) -> Answer | None:
        """Run a request in another region if that is faster.

        :param local_s: expected time here; absent without a usable executor
        :returns: the answer; absent if the request is to run here
        """
        peer = self._choose(request, local_s, deadline - self._clock.monotonic())
        if peer is None or peer.link is None:
            return None
        remaining = deadline - self._clock.monotonic()
        message = ForwardRequest(
            AttemptId(uuid.uuid4().hex), msgspec.structs.replace(request, deadline_s=remaining)
        )
        link = peer.link
        self.sent_bytes_by_region[peer.info.region] += len(request.body)
        timeout = timedelta(seconds=remaining + ANSWER_MARGIN_S)
        try:
            reply = await link.request(message, timeout=timeout)
        except LinkNotSentError:
            return None
        except LinkError as error:
            logger.info("event=forward_lost key=%s error=%s", request.key, error)
            return await self._recover(message, peer, link.peer.incarnation, deadline)
        if isinstance(reply, RunResult) and reply.attempt_id == message.attempt_id:
            return None if reply.answer.outcome is Outcome.NOT_RUN else reply.answer
        return None

    async def serve(
        self, message: ForwardRequest, run: Callable[[], Awaitable[Answer]]
    ) -> AnyMessage:
        """Run another region's request; a repeated attempt gets the result of the first."""
        attempt_id = message.attempt_id
        if attempt_id not in self._attempt_by_id:
            self._attempt_by_id[attempt_id] = asyncio.ensure_future(_await(run))
            self._trim()
        task = self._attempt_by_id[attempt_id]
        if task is None:
            return Refused("attempt_refused")
        return RunResult(attempt_id, await asyncio.shield(task))

    def query(self, message: QueryAttempt) -> KeyState:
        """Return what is known of a forwarded attempt; an unseen one is refused from now on."""
        if message.attempt_id not in self._attempt_by_id:
            self._attempt_by_id[message.attempt_id] = None
            self._trim()
        task = self._attempt_by_id[message.attempt_id]
        if task is None:
            return KeyState(KeyStatus.NEVER_RAN)
        if not task.done():
            return KeyState(KeyStatus.RUNNING)
        if task.cancelled() or task.exception() is not None:
            return KeyState(
                KeyStatus.DONE, Answer(outcome=Outcome.UNKNOWN, detail="the attempt was aborted")
            )
        return KeyState(KeyStatus.DONE, task.result())

    async def _recover(
        self, message: ForwardRequest, peer: Peer, incarnation: Incarnation, deadline: float
    ) -> Answer | None:
        """Ask for the result of a forward whose reply was lost.

        :returns: absent if the request has not run and will not run there
        """
        give_up = min(deadline, self._clock.monotonic() + RECONNECT_WAIT_S)
        while True:
            link = peer.link
            if link is not None and link.is_open:
                if link.peer.incarnation != incarnation:
                    detail = f"{peer.info.entry_id} restarted"
                    return Answer(outcome=Outcome.UNKNOWN, detail=detail)
                state = await ask(link, QueryAttempt(message.attempt_id, incarnation))
                if state is not None:
                    give_up = deadline
                if state is not None and state.status is KeyStatus.NEVER_RAN:
                    return None
                if state is not None and state.answer is not None:
                    answer = state.answer
                    return None if answer.outcome is Outcome.NOT_RUN else answer
            if self._clock.monotonic() >= give_up:
                detail = f"no outcome from {peer.info.entry_id}"
                return Answer(outcome=Outcome.UNKNOWN, detail=detail)
            await self._clock.sleep(POLL_INTERVAL)

    def _choose(self, request: Request, local_s: float | None, remaining: float) -> Peer | None:
        """Return the peer with the best service load if forwarding to it pays."""
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
        pays = should_forward(
            local_s=remaining if local_s is None else local_s,
            remote_s=best[0],
            link_delay_s=LINK_DELAY_S,
            body_bytes=len(request.body),
            cost_s_per_mb=self._config().limits.cross_region_cost_s_per_mb,
        )
        return best[1] if pays else None

    def _trim(self) -> None:
        """Forget the oldest attempts, except those that still run."""
        for attempt_id in list(self._attempt_by_id):
            if len(self._attempt_by_id) <= MAX_KEPT_ATTEMPTS:
                return
            task = self._attempt_by_id[attempt_id]
            if task is None or task.done():
                del self._attempt_by_id[attempt_id]


async def _await(run: Callable[[], Awaitable[Answer]]) -> Answer:
    return await run()


def _remote_time_s(load: ServiceLoad) -> float:
    busy = 1.0 - load.free_slots / max(1, load.slots)
    return load.latency_s * (1.0 + busy)
