"""The executor side of an agent: slots, seen keys and answers."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from chicorycrank.model.ids import AttemptId, Incarnation, Nonce, RequestKey
from chicorycrank.model.messages import (
    AnyMessage,
    KeyState,
    KeyStatus,
    QueryAttempt,
    QueryKey,
    Refused,
    RunRequest,
    RunResult,
)
from chicorycrank.model.requests import Answer, Outcome
from chicorycrank.model.targets import ExecutorInfo, ExecutorLoad
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.targets import Executor, TargetTimeoutError, TargetUnreachableError

SMOOTHING = 0.2
MAX_KEPT_ATTEMPTS = 2000


@dataclass(kw_only=True)
class Attempt:
    """An attempt and its result once it is known."""

    nonce: Nonce
    done: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Answer | None = None


class ExecutorSide:
    """Runs requests on one executor, at most ``slots`` at a time."""

    def __init__(
        self, info: ExecutorInfo, executor: Executor, clock: Clock, incarnation: Incarnation
    ) -> None:
        self._info = info
        self._executor = executor
        self._clock = clock
        self._incarnation = incarnation
        self._attempt_by_id: OrderedDict[AttemptId, Attempt] = OrderedDict()
        self._attempt_by_key: dict[RequestKey, Attempt] = {}
        self._refused_nonces: set[Nonce] = set()
        self._used_slots = 0
        self._latency_s = 0.0
        self._failure_share = 0.0
        self.draining = False

    @property
    def load(self) -> ExecutorLoad:
        """The executor's load."""
        return ExecutorLoad(
            used_slots=self._used_slots,
            latency_s=round(self._latency_s, 4),
            failure_share=round(self._failure_share, 3),
            draining=self.draining,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request runs."""
        return self._used_slots == 0

    async def run(self, message: RunRequest) -> AnyMessage:
        """Run a request, or refuse it without touching the executor."""
        refusal = self._check(message)
        if refusal is not None:
            return refusal
        attempt = Attempt(nonce=message.nonce)
        self._attempt_by_id[message.attempt_id] = attempt
        if not message.request.repeatable:
            self._attempt_by_key[message.request.key] = attempt
        self._used_slots += 1
        try:
            attempt.answer = await self._run(message)
        finally:
            self._used_slots -= 1
            attempt.done.set()
            self._trim()
        return RunResult(message.attempt_id, attempt.answer)

    def query_attempt(self, message: QueryAttempt) -> KeyState:
        """Return what is known of an attempt."""
        if message.incarnation != self._incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        attempt = self._attempt_by_id.get(message.attempt_id)
        return _describe(attempt)

    def query_key(self, message: QueryKey) -> KeyState:
        """Return what is known of a key; refuse its nonce from now on if it never ran."""
        if message.incarnation != self._incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        attempt = self._attempt_by_key.get(message.key)
        if attempt is None or attempt.nonce != message.nonce:
            self._refused_nonces.add(message.nonce)
            return KeyState(KeyStatus.NEVER_RAN)
        return _describe(attempt)

    def _check(self, message: RunRequest) -> Refused | None:
        if message.incarnation != self._incarnation:
            return Refused("other_incarnation")
        if self.draining:
            return Refused("draining")
        if message.nonce in self._refused_nonces:
            return Refused("nonce_refused")
        if not message.request.repeatable and message.request.key in self._attempt_by_key:
            return Refused("key_already_ran")
        if message.attempt_id in self._attempt_by_id:
            return Refused("attempt_repeated")
        if self._used_slots >= self._info.slots:
            return Refused("no_free_slot")
        return None

    async def _run(self, message: RunRequest) -> Answer:
        started = self._clock.monotonic()
        try:
            answer = await self._executor.run(message.request)
        except TargetUnreachableError as error:
            answer = Answer(outcome=Outcome.NOT_RUN, detail=f"executor unreachable: {error}")
        except TargetTimeoutError as error:
            answer = Answer(outcome=Outcome.UNKNOWN, detail=f"no complete answer: {error}")
        elapsed = self._clock.monotonic() - started
        failed = answer.outcome is not Outcome.COMPLETED
        self._latency_s += SMOOTHING * (elapsed - self._latency_s)
        self._failure_share += SMOOTHING * (float(failed) - self._failure_share)
        if answer.outcome is Outcome.NOT_RUN:
            self._attempt_by_key.pop(message.request.key, None)
        return answer

    def _trim(self) -> None:
        """Forget the oldest finished attempts of repeatable requests."""
        while len(self._attempt_by_id) > MAX_KEPT_ATTEMPTS:
            oldest = next(iter(self._attempt_by_id))
            if not self._attempt_by_id[oldest].done.is_set():
                return
            del self._attempt_by_id[oldest]


def _describe(attempt: Attempt | None) -> KeyState:
    if attempt is None:
        return KeyState(KeyStatus.NEVER_RAN)
    if attempt.answer is None:
        return KeyState(KeyStatus.RUNNING)
    return KeyState(KeyStatus.DONE, attempt.answer)
