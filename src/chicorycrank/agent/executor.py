"""The executor side of an agent: slots, seen keys and answers."""

import asyncio
import logging
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from datetime import timedelta
from hashlib import blake2b

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
from chicorycrank.ports.targets import Executor, TargetRefusedError, TargetUnreachableError

SMOOTHING = 0.2
PROBE_INTERVAL = timedelta(seconds=2)
# Late queries come within seconds of a lost connection; ten minutes cover a slow entry.
KEEP_ATTEMPT_S = 600.0
MAX_ATTEMPTS = 4000
MAX_BODY_BYTES = 1_500_000
# A claim lasts 7 days; 8,000 keys of about 200 bytes are more than 1,000 a day.
KEEP_KEY_S = 7 * 24 * 3600.0
MAX_KEYS = 8000
MAX_TOMBSTONES = 4000
KEY_DIGEST_BYTES = 16

NO_LONGER_KEPT = Answer(outcome=Outcome.UNKNOWN, detail="the answer is no longer kept")

logger = logging.getLogger("absl")


@dataclass(kw_only=True, slots=True)
class Attempt:
    """An attempt and its result once it is known."""

    attempt_id: AttemptId
    nonce: Nonce
    done: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Answer | None = None
    ended_at: float = 0.0
    key_digest: bytes | None = None


@dataclass(kw_only=True, slots=True)
class SeenKey:
    """A non-repeatable key that ran or runs here.

    :param attempt: absent once the attempt is no longer kept
    """

    nonce: Nonce
    seen_at: float
    attempt: Attempt | None


class ExecutorSide:
    """Runs requests on one executor, at most ``slots`` at a time, and queues nothing."""

    def __init__(
        self, info: ExecutorInfo, executor: Executor, clock: Clock, incarnation: Incarnation
    ) -> None:
        self._info = info
        self._executor = executor
        self._clock = clock
        self._incarnation = incarnation
        self._attempt_by_id: OrderedDict[AttemptId, Attempt] = OrderedDict()
        self._bodies: deque[Attempt] = deque()
        self._body_bytes = 0
        self._key_by_digest: dict[bytes, SeenKey] = {}
        self._refused: OrderedDict[str, None] = OrderedDict()
        self._dropped_at = -KEEP_ATTEMPT_S
        self._used_slots = 0
        self._latency_s = 0.0
        self._failure_share = 0.0
        self.connections = 0
        self.draining = False
        self.reachable = True
        self.changed = asyncio.Event()

    @property
    def load(self) -> ExecutorLoad:
        """The executor's load."""
        return ExecutorLoad(
            used_slots=self._used_slots,
            connections=self.connections,
            latency_s=round(self._latency_s, 4),
            failure_share=round(self._failure_share, 3),
            draining=self.draining,
            reachable=self.reachable,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request runs."""
        return self._used_slots == 0

    async def run(self, message: RunRequest) -> AnyMessage:
        """Run a request, or refuse it without touching the executor.

        A repeated message returns the stored result or waits for the running attempt.
        """
        if message.incarnation != self._incarnation:
            return Refused("other_incarnation")
        earlier = self._find_earlier(message)
        if isinstance(earlier, Refused):
            return earlier
        if earlier is not None:
            await earlier.done.wait()
            return RunResult(message.attempt_id, earlier.answer or NO_LONGER_KEPT)
        refusal = self._check_open(message)
        if refusal is not None:
            return refusal
        attempt = self._add(message)
        self._used_slots += 1
        try:
            attempt.answer = answer = await self._run(message)
        finally:
            self._used_slots -= 1
            attempt.ended_at = self._clock.monotonic()
            if attempt.answer is None:
                attempt.answer = Answer(outcome=Outcome.UNKNOWN, detail="the agent stopped")
            attempt.done.set()
            self._trim(attempt)
        return RunResult(message.attempt_id, answer)

    def query_attempt(self, message: QueryAttempt) -> KeyState:
        """Return what is known of an attempt; refuse it from now on if it has not arrived."""
        if message.incarnation != self._incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        attempt = self._attempt_by_id.get(message.attempt_id)
        if attempt is not None:
            return _describe(attempt)
        self._refuse(f"attempt/{message.attempt_id}")
        if self._clock.monotonic() < self._dropped_at + KEEP_ATTEMPT_S:
            # Attempts were dropped early for lack of room, and this may be one of them.
            return KeyState(KeyStatus.DONE, NO_LONGER_KEPT)
        return KeyState(KeyStatus.NEVER_RAN)

    def query_key(self, message: QueryKey) -> KeyState:
        """Return what is known of a key; refuse its nonce from now on if it never ran."""
        if message.incarnation != self._incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        seen = self._key_by_digest.get(_digest(message.key))
        if seen is None or seen.nonce != message.nonce:
            self._refuse(f"nonce/{message.nonce}")
            return KeyState(KeyStatus.NEVER_RAN)
        if seen.attempt is None:
            return KeyState(KeyStatus.DONE, NO_LONGER_KEPT)
        return _describe(seen.attempt)

    async def probe_forever(self) -> None:
        """Probe the executor until cancelled; an unreachable one is reported at once."""
        while True:
            reachable = await self._executor.probe()
            if reachable != self.reachable:
                logger.warning("event=executor_probe reachable=%s", reachable)
                self.reachable = reachable
                self.changed.set()
            await self._clock.sleep(PROBE_INTERVAL)

    def _find_earlier(self, message: RunRequest) -> Attempt | Refused | None:
        if f"nonce/{message.nonce}" in self._refused:
            return Refused("nonce_refused")
        if f"attempt/{message.attempt_id}" in self._refused:
            return Refused("attempt_refused")
        attempt = self._attempt_by_id.get(message.attempt_id)
        if attempt is not None:
            return attempt if attempt.nonce == message.nonce else Refused("attempt_repeated")
        if message.request.repeatable:
            return None
        seen = self._key_by_digest.get(_digest(message.request.key))
        if seen is None:
            return None
        if seen.nonce != message.nonce or seen.attempt is None:
            return Refused("key_already_ran")
        return seen.attempt

    def _check_open(self, message: RunRequest) -> Refused | None:
        if self.draining:
            return Refused("draining")
        if not self.reachable:
            return Refused("executor_unreachable")
        if self._used_slots >= self._info.slots:
            return Refused("no_free_slot")
        if self._used_slots + self.connections >= self._info.connections:
            return Refused("no_free_connection")
        if not message.request.repeatable and not self._has_room_for_key():
            return Refused("too_many_keys")
        return None

    def _add(self, message: RunRequest) -> Attempt:
        attempt = Attempt(attempt_id=message.attempt_id, nonce=message.nonce)
        self._attempt_by_id[message.attempt_id] = attempt
        if not message.request.repeatable:
            attempt.key_digest = _digest(message.request.key)
            self._key_by_digest[attempt.key_digest] = SeenKey(
                nonce=message.nonce, seen_at=self._clock.monotonic(), attempt=attempt
            )
        return attempt

    async def _run(self, message: RunRequest) -> Answer:
        started = self._clock.monotonic()
        try:
            answer = await self._executor.run(message.request)
        except (TargetUnreachableError, TargetRefusedError) as error:
            answer = Answer(outcome=Outcome.NOT_RUN, detail=f"executor unreachable: {error}")
        except Exception as error:
            # The request may have reached the executor, whatever went wrong here.
            logger.warning("event=no_complete_answer error=%r", error)
            answer = Answer(outcome=Outcome.UNKNOWN, detail=f"no complete answer: {error}")
        elapsed = self._clock.monotonic() - started
        failed = answer.outcome is not Outcome.COMPLETED
        self._latency_s += SMOOTHING * (elapsed - self._latency_s)
        self._failure_share += SMOOTHING * (float(failed) - self._failure_share)
        if answer.outcome is Outcome.NOT_RUN and not message.request.repeatable:
            self._key_by_digest.pop(_digest(message.request.key), None)
        return answer

    # Bounds of what is kept.

    def _refuse(self, name: str) -> None:
        self._refused[name] = None
        if len(self._refused) > MAX_TOMBSTONES:
            self._refused.popitem(last=False)

    def _has_room_for_key(self) -> bool:
        if len(self._key_by_digest) < MAX_KEYS:
            return True
        oldest = next(iter(self._key_by_digest))
        if self._key_by_digest[oldest].seen_at > self._clock.monotonic() - KEEP_KEY_S:
            return False
        del self._key_by_digest[oldest]
        return True

    def _trim(self, ended: Attempt) -> None:
        """Drop the oldest bodies, then the oldest ended attempts."""
        if ended.answer is not None and ended.answer.body:
            self._bodies.append(ended)
            self._body_bytes += len(ended.answer.body)
        while self._body_bytes > MAX_BODY_BYTES and len(self._bodies) > 1:
            oldest = self._bodies.popleft()
            if oldest.answer is not None:
                self._body_bytes -= len(oldest.answer.body)
            oldest.answer = NO_LONGER_KEPT
        now = self._clock.monotonic()
        while self._attempt_by_id:
            first = next(iter(self._attempt_by_id.values()))
            is_old = first.ended_at < now - KEEP_ATTEMPT_S
            if not first.done.is_set() or not (is_old or len(self._attempt_by_id) > MAX_ATTEMPTS):
                return
            if not is_old:
                self._dropped_at = now
            self._drop(first)

    def _drop(self, attempt: Attempt) -> None:
        del self._attempt_by_id[attempt.attempt_id]
        if self._bodies and self._bodies[0] is attempt and attempt.answer is not None:
            self._bodies.popleft()
            self._body_bytes -= len(attempt.answer.body)
        if attempt.key_digest is not None:
            seen = self._key_by_digest.get(attempt.key_digest)
            if seen is not None and seen.attempt is attempt:
                seen.attempt = None


def _digest(key: RequestKey) -> bytes:
    return blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).digest()


def _describe(attempt: Attempt) -> KeyState:
    if not attempt.done.is_set():
        return KeyState(KeyStatus.RUNNING)
    return KeyState(KeyStatus.DONE, attempt.answer)
