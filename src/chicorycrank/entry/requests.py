"""Run short requests: forwarding, retries and the choice of an executor."""

import asyncio
import random
import uuid
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from chicorycrank.entry.at_most_once import AtMostOnceRunner
from chicorycrank.entry.claims import ClaimStore
from chicorycrank.entry.directory import Directory, Target
from chicorycrank.entry.dispatch import NO_FREE_SLOT, AttemptResult, Dispatcher
from chicorycrank.entry.forwarding import Forwarder
from chicorycrank.entry.request_admission import AdmissionQueue
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
from chicorycrank.policy.where import PlacementAnswer
from chicorycrank.ports.clock import Clock

# Each request credits its team with this part of a retry, so that retries add at most 10% load.
RETRY_TOKENS_PER_REQUEST = 0.1
MAX_RETRY_TOKENS = 10.0
# A request that fails on this many executors probably causes the failures itself.
MAX_RUNS_PER_REQUEST = 3
BACKOFF_MIN_S = 0.02
BACKOFF_MAX_S = 1.0
IDLE_POLL_INTERVAL = timedelta(milliseconds=50)


class RetryBudget:
    """Retry tokens of each team."""

    def __init__(self) -> None:
        self._tokens_by_team: dict[TeamId, float] = {}

    def credit(self, team: TeamId) -> None:
        """Credit a team with the tokens of one request."""
        tokens = self._tokens_by_team.get(team, MAX_RETRY_TOKENS)
        self._tokens_by_team[team] = min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_REQUEST)

    def try_spend(self, team: TeamId) -> bool:
        """Spend a token and return ``True``, or return ``False`` if the team has none."""
        tokens = self._tokens_by_team.get(team, MAX_RETRY_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens_by_team[team] = tokens - 1.0
        return True


class RequestFrontend:
    """Front end of short requests: runs each of them and returns its outcome.

    :param config: returns the configuration in force
    :param jitter: returns a random number between 0 and 1 for the backoff
    """

    def __init__(
        self,
        directory: Directory,
        claims: ClaimStore,
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
        self._admission = AdmissionQueue(directory, clock, config)
        self._dispatcher = Dispatcher(directory, clock)
        self._at_most_once = AtMostOnceRunner(
            region=region,
            claims=claims,
            admission=self._admission,
            dispatcher=self._dispatcher,
            directory=directory,
            clock=clock,
        )
        self._forwarder = Forwarder(directory, clock, region=region, config=config)
        self._running_count = 0
        self._is_accepting = True
        self.count_by_outcome_and_class: Counter[tuple[Outcome, RequestClass]] = Counter()

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self._config()

    @property
    def dropped_by_reason(self) -> Counter[str]:
        """Number of dropped answers by reason."""
        return self._dispatcher.dropped_by_reason

    @property
    def forwarded_bytes_by_region(self) -> Counter[RegionId]:
        """Bytes of request bodies sent to other regions, by region."""
        return self._forwarder.sent_bytes_by_region

    @property
    def queued_by_class(self) -> dict[RequestClass, int]:
        """Number of requests that wait for an executor, by class."""
        return self._admission.queued_by_class

    async def run(self, request: Request, *, is_forwarded: bool = False) -> Answer:
        """Run a request and return its outcome.

        :param is_forwarded: the request comes from an entry of another region and is not forwarded
        """
        if not self._is_accepting:
            return self._admission.make_not_run_answer("the entry is stopping")
        deadline = self._clock.monotonic() + request.deadline_s
        self._running_count += 1
        try:
            forwarded_answer = None
            if not is_forwarded:
                local_s = self._admission.expected_local_time_s(request)
                forwarded_answer = await self._forwarder.try_forward(request, local_s, deadline)
            answer = await self._run_locally(request, forwarded_answer, deadline)
        finally:
            self._running_count -= 1
        self.count_by_outcome_and_class[answer.outcome, request.request_class] += 1
        return answer

    def where(self, request: Request) -> tuple[RegionId, PlacementAnswer]:
        """Return the region that would run a request now, and what this region would do with it."""
        local_s = self._admission.expected_local_time_s(request)
        return self._forwarder.region_for(request, local_s), self._admission.where(request)

    async def status(self, key: RequestKey) -> Answer | None:
        """Return the stored outcome of a non-repeatable request; ``None`` if the key is unknown.

        :raises StoreError: the store did not answer
        """
        return await self._at_most_once.status(key)

    async def serve(self, message: AnyMessage) -> AnyMessage | None:
        """Reply to a message of another entry; ``None`` if it does not concern requests."""
        if isinstance(message, ForwardRequest):
            return await self._forwarder.serve(
                message, lambda: self.run(message.request, is_forwarded=True)
            )
        if isinstance(message, QueryAttempt):
            return self._forwarder.query(message)
        if isinstance(message, QueryKeyAt):
            return await self._at_most_once.relay_query(message) or Refused("no_such_target")
        return None

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of each service for ``Digest`` messages."""
        return self._admission.service_loads()

    async def stop(self, timeout: timedelta) -> bool:
        """Refuse new requests and wait for the running ones; return whether all have ended."""
        self._is_accepting = False
        deadline = self._clock.monotonic() + timeout.total_seconds()
        while self._running_count and self._clock.monotonic() < deadline:
            await self._clock.sleep(IDLE_POLL_INTERVAL)
        return not self._running_count

    async def _run_locally(
        self, request: Request, forwarded_answer: Answer | None, deadline: float
    ) -> Answer:
        """Run a request in this region unless its forward already has a usable outcome.

        :param forwarded_answer: outcome in another region; ``None`` if it was not run there
        """
        if forwarded_answer is not None and forwarded_answer.outcome is Outcome.COMPLETED:
            return forwarded_answer
        if request.repeatable:
            return await self._run_repeatable(request, deadline, forwarded_answer)
        if forwarded_answer is None:
            return await self._at_most_once.run(request, deadline)
        if forwarded_answer.outcome is Outcome.FAILED:
            return forwarded_answer
        answer = await self._at_most_once.run(request, deadline)
        # The forwarded request may still run, so a refusal in this region does not prove not_run.
        return forwarded_answer if answer.outcome is Outcome.NOT_RUN else answer

    async def _run_repeatable(
        self, request: Request, deadline: float, last_answer: Answer | None
    ) -> Answer:
        """Run a repeatable request; retry on other executors within deadline and budget.

        :param last_answer: outcome of an attempt in another region, where the request may have run
        """
        self._budget.credit(request.team)
        if last_answer is not None and not self._budget.try_spend(request.team):
            return last_answer
        tried_targets: frozenset[TargetId] = frozenset()
        run_count = 0
        backoff_s = BACKOFF_MIN_S
        while True:
            target = await self._admission.acquire(request, deadline, tried_targets)
            if isinstance(target, Answer):
                return last_answer or target
            attempt = await self._run_attempt(request, target, deadline)
            answer = attempt.answer
            if answer.outcome is Outcome.COMPLETED:
                return answer
            if answer.outcome is not Outcome.NOT_RUN:
                last_answer = answer
                run_count += 1
                if run_count >= MAX_RUNS_PER_REQUEST or not self._budget.try_spend(request.team):
                    return answer
            tried_targets |= {target.target_id}
            delay_s = backoff_s * (0.5 + 0.5 * self._jitter())
            backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
            if self._clock.monotonic() + delay_s >= deadline:
                return last_answer or self._admission.make_not_run_answer(
                    answer.detail, request.request_class
                )
            await self._clock.sleep(timedelta(seconds=delay_s))

    async def _run_attempt(
        self, request: Request, target: Target, deadline: float
    ) -> AttemptResult:
        started_at_s = self._clock.monotonic()
        try:
            nonce = Nonce(uuid.uuid4().hex)
            attempt = await self._dispatcher.run(request, target, nonce, deadline)
        except asyncio.CancelledError:
            self._admission.release(target)
            raise
        if attempt.refusal_code:
            if attempt.refusal_code == NO_FREE_SLOT:
                self._admission.mark_full(target)
            self._admission.release(target)
        else:
            elapsed_s = self._clock.monotonic() - started_at_s
            failed = attempt.answer.outcome is not Outcome.COMPLETED
            self._admission.release(target, failed=failed, latency_s=elapsed_s)
        return attempt
