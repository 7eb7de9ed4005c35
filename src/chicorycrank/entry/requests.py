"""The path of a short request from the caller to its answer."""

import asyncio
import random
import uuid
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from chicorycrank.entry.admission import Gate
from chicorycrank.entry.claims import ClaimLog
from chicorycrank.entry.directory import Directory, Target
from chicorycrank.entry.dispatch import NO_FREE_SLOT, Attempt, Dispatcher
from chicorycrank.entry.forwarding import Forwarder
from chicorycrank.entry.once import OnceRunner
from chicorycrank.model.config import Config
from chicorycrank.model.ids import Nonce, RegionId, RequestKey, TargetId, TeamId
from chicorycrank.model.messages import (
    AnyMessage,
    ForwardRequest,
    QueryAttempt,
    QueryKeyAt,
    Refused,
    ServiceLoad,
)
from chicorycrank.model.requests import Answer, Outcome, Request, RequestClass
from chicorycrank.ports.clock import Clock

# Each request earns a team this share of a retry, so that retries add at most 10% load.
RETRY_SHARE = 0.1
MAX_RETRY_TOKENS = 10.0
# A request that fails on this many executors is likely at fault itself.
MAX_RUNS = 3
BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 1.0
IDLE_POLL = timedelta(milliseconds=50)


class RetryBudget:
    """Tokens for retries by team."""

    def __init__(self) -> None:
        self._tokens_by_team: dict[TeamId, float] = {}

    def earn(self, team: TeamId) -> None:
        """Credit a request."""
        tokens = self._tokens_by_team.get(team, MAX_RETRY_TOKENS)
        self._tokens_by_team[team] = min(MAX_RETRY_TOKENS, tokens + RETRY_SHARE)

    def spend(self, team: TeamId) -> bool:
        """Take a token; false if there is none."""
        tokens = self._tokens_by_team.get(team, MAX_RETRY_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens_by_team[team] = tokens - 1.0
        return True


class RequestFront:
    """Chooses executors for requests and returns truthful outcomes.

    :param config: the configuration in force
    :param jitter: random number between 0 and 1 for backoff
    """

    def __init__(
        self,
        directory: Directory,
        claims: ClaimLog,
        clock: Clock,
        *,
        region: RegionId,
        config: Callable[[], Config],
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._config = config
        self._jitter = jitter
        self._budget = RetryBudget()
        self._gate = Gate(directory, clock, config)
        self._dispatcher = Dispatcher(directory, clock)
        self._once = OnceRunner(
            region=region,
            claims=claims,
            gate=self._gate,
            dispatcher=self._dispatcher,
            directory=directory,
            clock=clock,
        )
        self._forwarder = Forwarder(directory, clock, region=region, config=config)
        self._running = 0
        self._is_accepting = True
        self.outcomes: Counter[tuple[Outcome, RequestClass]] = Counter()

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self._config()

    @property
    def dropped_by_reason(self) -> Counter[str]:
        """Answers that were dropped, by reason."""
        return self._dispatcher.dropped_by_reason

    @property
    def forwarded_bytes_by_region(self) -> Counter[RegionId]:
        """Bytes of bodies sent to other regions."""
        return self._forwarder.sent_bytes_by_region

    @property
    def queued_by_class(self) -> dict[RequestClass, int]:
        """Number of requests that wait for an executor."""
        return self._gate.queued_by_class

    async def answer(self, request: Request, *, is_forwarded: bool = False) -> Answer:
        """Run a request and return its outcome.

        :param is_forwarded: it comes from an entry of another region and stays here
        """
        if not self._is_accepting:
            return self._gate.not_run("the entry is stopping")
        deadline = self._clock.monotonic() + request.deadline_s
        self._running += 1
        try:
            forwarded = None
            if not is_forwarded:
                local_s = self._gate.local_time_s(request)
                forwarded = await self._forwarder.try_forward(request, local_s, deadline)
            answer = await self._answer_here(request, forwarded, deadline)
        finally:
            self._running -= 1
        self.outcomes[answer.outcome, request.request_class] += 1
        return answer

    async def status(self, key: RequestKey) -> Answer | None:
        """Return the stored outcome of a non-repeatable request; absent if it is unknown.

        :raises StoreError: the store did not answer
        """
        return await self._once.status(key)

    async def serve(self, message: AnyMessage) -> AnyMessage | None:
        """Answer a message of another entry; absent if it does not concern requests."""
        if isinstance(message, ForwardRequest):
            return await self._forwarder.serve(
                message, lambda: self.answer(message.request, is_forwarded=True)
            )
        if isinstance(message, QueryAttempt):
            return self._forwarder.query(message)
        if isinstance(message, QueryKeyAt):
            return await self._once.query_at(message) or Refused("no_such_target")
        return None

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load by service for digests."""
        return self._gate.loads()

    async def stop(self, limit: timedelta) -> bool:
        """Refuse new requests and wait for the running ones; false if some still run."""
        self._is_accepting = False
        deadline = self._clock.monotonic() + limit.total_seconds()
        while self._running and self._clock.monotonic() < deadline:
            await self._clock.sleep(IDLE_POLL)
        return not self._running

    async def _answer_here(
        self, request: Request, forwarded: Answer | None, deadline: float
    ) -> Answer:
        """Run a request in this region, unless another region gave its outcome.

        :param forwarded: outcome of another region; absent if it touched no executor
        """
        if forwarded is not None and forwarded.outcome is Outcome.COMPLETED:
            return forwarded
        if request.repeatable:
            return await self._repeat(request, deadline, forwarded)
        if forwarded is None:
            return await self._once.run(request, deadline)
        if forwarded.outcome is Outcome.FAILED:
            return forwarded
        answer = await self._once.run(request, deadline)
        # The forwarded request may still run, so the refusal here does not make it not_run.
        return forwarded if answer.outcome is Outcome.NOT_RUN else answer

    async def _repeat(self, request: Request, deadline: float, touched: Answer | None) -> Answer:
        """Run a repeatable request; retry on other executors within deadline and budget.

        :param touched: outcome of an attempt in another region
        """
        self._budget.earn(request.team)
        if touched is not None and not self._budget.spend(request.team):
            return touched
        tried: frozenset[TargetId] = frozenset()
        runs = 0
        backoff_s = BACKOFF_MIN_S
        while True:
            target = await self._gate.acquire(request, deadline, tried)
            if isinstance(target, Answer):
                return touched or target
            attempt = await self._attempt(request, target, deadline)
            answer = attempt.answer
            if answer.outcome is Outcome.COMPLETED:
                return answer
            if answer.outcome is not Outcome.NOT_RUN:
                touched = answer
                runs += 1
                if runs >= MAX_RUNS or not self._budget.spend(request.team):
                    return answer
            tried |= {target.target_id}
            delay_s = backoff_s * (0.5 + 0.5 * self._jitter())
            backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
            if self._clock.monotonic() + delay_s >= deadline:
                return touched or self._gate.not_run(answer.detail, request.request_class)
            await self._clock.sleep(timedelta(seconds=delay_s))

    async def _attempt(self, request: Request, target: Target, deadline: float) -> Attempt:
        started = self._clock.monotonic()
        try:
            nonce = Nonce(uuid.uuid4().hex)
            attempt = await self._dispatcher.run(request, target, nonce, deadline)
        except asyncio.CancelledError:
            self._gate.release(target)
            raise
        if attempt.refusal:
            if attempt.refusal == NO_FREE_SLOT:
                self._gate.note_full(target)
            self._gate.release(target)
        else:
            elapsed = self._clock.monotonic() - started
            failed = attempt.answer.outcome is not Outcome.COMPLETED
            self._gate.release(target, failed=failed, latency_s=elapsed)
        return attempt
