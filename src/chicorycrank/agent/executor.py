"""Manages one executor for its agent: slots, attempts, keys and stored answers."""

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

# Weight of the newest value in the moving averages of latency and failures.
SMOOTHING_FACTOR = 0.2
PROBE_INTERVAL = timedelta(seconds=2)
# An entry queries an attempt within seconds of a lost connection; 10 minutes cover a slow entry.
ATTEMPT_RETENTION_S = 600.0
MAX_ATTEMPTS = 4000
MAX_BODY_BYTES = 1_500_000
# A claim of a key lasts 7 days. 8000 keys of about 200 bytes allow over 1000 new keys a day.
KEY_RETENTION_S = 7 * 24 * 3600.0
MAX_KEYS = 8000
MAX_REFUSED_IDS = 4000
KEY_DIGEST_BYTES = 16

ANSWER_DISCARDED = Answer(outcome=Outcome.UNKNOWN, detail="the answer is no longer kept")

logger = logging.getLogger("absl")


@dataclass(kw_only=True, slots=True)
class Attempt:
    """An attempt to run a request, with its answer once it has ended."""

    attempt_id: AttemptId
    nonce: Nonce
    done: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Answer | None = None
    ended_at: float = 0.0
    key_digest: bytes | None = None


@dataclass(kw_only=True, slots=True)
class SeenKey:
    """Key of a non-repeatable request that has run or is running here.

    :param received_at: monotonic time at which the request arrived
    :param attempt: None once the attempt has been discarded
    """

    nonce: Nonce
    received_at: float
    attempt: Attempt | None


class ExecutorManager:
    """Runs requests on one executor, at most ``slots`` at a time; further requests are refused."""

    def __init__(
        self, info: ExecutorInfo, executor: Executor, clock: Clock, incarnation: Incarnation
    ) -> None:
        self._info = info
        self._executor = executor
        self._clock = clock
        self._incarnation = incarnation
        self._attempt_by_id: OrderedDict[AttemptId, Attempt] = OrderedDict()
        self._attempts_with_body: deque[Attempt] = deque()
        self._stored_body_bytes = 0
        self._key_by_digest: dict[bytes, SeenKey] = {}
        self._refused_ids: OrderedDict[str, None] = OrderedDict()
        self._discarded_early_at = -ATTEMPT_RETENTION_S
        self._used_slots = 0
        self._latency_s = 0.0
        self._failure_share = 0.0
        self.connections = 0
        self.is_draining = False
        self.is_reachable = True
        self.load_changed = asyncio.Event()

    @property
    def load(self) -> ExecutorLoad:
        """The executor's load for a report to the entries."""
        return ExecutorLoad(
            used_slots=self._used_slots,
            connections=self.connections,
            latency_s=round(self._latency_s, 4),
            failure_share=round(self._failure_share, 3),
            draining=self.is_draining,
            reachable=self.is_reachable,
        )

    @property
    def is_idle(self) -> bool:
        """Whether no request is running."""
        return self._used_slots == 0

    async def run(self, message: RunRequest) -> AnyMessage:
        """Run a request, or refuse it without a call to the executor.

        A repeated message returns the stored answer or waits for the running attempt.
        """
        if message.incarnation != self._incarnation:
            return Refused("other_incarnation")
        earlier = self._find_earlier_attempt(message)
        if isinstance(earlier, Refused):
            return earlier
        if earlier is not None:
            await earlier.done.wait()
            return RunResult(message.attempt_id, earlier.answer or ANSWER_DISCARDED)
        refusal = self._check_admission(message)
        if refusal is not None:
            return refusal
        attempt = self._record_attempt(message)
        self._used_slots += 1
        try:
            attempt.answer = answer = await self._run(message)
        finally:
            self._used_slots -= 1
            attempt.ended_at = self._clock.monotonic()
            if attempt.answer is None:
                attempt.answer = Answer(outcome=Outcome.UNKNOWN, detail="the agent stopped")
            attempt.done.set()
            self._discard_old(attempt)
        return RunResult(message.attempt_id, answer)

    def query_attempt(self, message: QueryAttempt) -> KeyState:
        """Return the state of an attempt; one that has not arrived is refused from now on."""
        if message.incarnation != self._incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        attempt = self._attempt_by_id.get(message.attempt_id)
        if attempt is not None:
            return _make_key_state(attempt)
        self._refuse_id(f"attempt/{message.attempt_id}")
        if self._clock.monotonic() < self._discarded_early_at + ATTEMPT_RETENTION_S:
            # To bound memory use, attempts were discarded before the end of their retention time.
            # This attempt may be one of them.
            return KeyState(KeyStatus.DONE, ANSWER_DISCARDED)
        return KeyState(KeyStatus.NEVER_RAN)

    def query_key(self, message: QueryKey) -> KeyState:
        """Return the state of a key; a nonce that never ran is refused from now on."""
        if message.incarnation != self._incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        seen = self._key_by_digest.get(_digest_key(message.key))
        if seen is None or seen.nonce != message.nonce:
            self._refuse_id(f"nonce/{message.nonce}")
            return KeyState(KeyStatus.NEVER_RAN)
        if seen.attempt is None:
            return KeyState(KeyStatus.DONE, ANSWER_DISCARDED)
        return _make_key_state(seen.attempt)

    async def probe_forever(self) -> None:
        """Probe the executor until cancelled; a change of its reachability is reported at once."""
        while True:
            is_reachable = await self._executor.probe()
            if is_reachable != self.is_reachable:
                logger.warning("event=executor_probe reachable=%s", is_reachable)
                self.is_reachable = is_reachable
                self.load_changed.set()
            await self._clock.sleep(PROBE_INTERVAL)

    def _find_earlier_attempt(self, message: RunRequest) -> Attempt | Refused | None:
        if f"nonce/{message.nonce}" in self._refused_ids:
            return Refused("nonce_refused")
        if f"attempt/{message.attempt_id}" in self._refused_ids:
            return Refused("attempt_refused")
        attempt = self._attempt_by_id.get(message.attempt_id)
        if attempt is not None:
            return attempt if attempt.nonce == message.nonce else Refused("attempt_repeated")
        if message.request.repeatable:
            return None
        seen = self._key_by_digest.get(_digest_key(message.request.key))
        if seen is None:
            return None
        if seen.nonce != message.nonce or seen.attempt is None:
            return Refused("key_already_ran")
        return seen.attempt

    def _check_admission(self, message: RunRequest) -> Refused | None:
        if self.is_draining:
            return Refused("draining")
        if not self.is_reachable:
            return Refused("executor_unreachable")
        if self._used_slots >= self._info.slots:
            return Refused("no_free_slot")
        if self._used_slots + self.connections >= self._info.connections:
            return Refused("no_free_connection")
        if not message.request.repeatable and not self._make_room_for_key():
            return Refused("too_many_keys")
        return None

    def _record_attempt(self, message: RunRequest) -> Attempt:
        attempt = Attempt(attempt_id=message.attempt_id, nonce=message.nonce)
        self._attempt_by_id[message.attempt_id] = attempt
        if not message.request.repeatable:
            attempt.key_digest = _digest_key(message.request.key)
            self._key_by_digest[attempt.key_digest] = SeenKey(
                nonce=message.nonce, received_at=self._clock.monotonic(), attempt=attempt
            )
        return attempt

    async def _run(self, message: RunRequest) -> Answer:
        started_at = self._clock.monotonic()
        try:
            answer = await self._executor.run(message.request)
        except (TargetUnreachableError, TargetRefusedError) as error:
            answer = Answer(outcome=Outcome.NOT_RUN, detail=f"executor unreachable: {error}")
        except Exception as error:
            # After any other error, the request may have reached the executor.
            logger.warning("event=executor_answer_incomplete error=%r", error)
            answer = Answer(outcome=Outcome.UNKNOWN, detail=f"no complete answer: {error}")
        elapsed_s = self._clock.monotonic() - started_at
        is_failure = answer.outcome is not Outcome.COMPLETED
        self._latency_s += SMOOTHING_FACTOR * (elapsed_s - self._latency_s)
        self._failure_share += SMOOTHING_FACTOR * (float(is_failure) - self._failure_share)
        if answer.outcome is Outcome.NOT_RUN and not message.request.repeatable:
            self._key_by_digest.pop(_digest_key(message.request.key), None)
        return answer

    # Bounds on the number of stored attempts, keys and answers.

    def _refuse_id(self, refused_id: str) -> None:
        self._refused_ids[refused_id] = None
        if len(self._refused_ids) > MAX_REFUSED_IDS:
            self._refused_ids.popitem(last=False)

    def _make_room_for_key(self) -> bool:
        if len(self._key_by_digest) < MAX_KEYS:
            return True
        oldest_digest = next(iter(self._key_by_digest))
        if (
            self._key_by_digest[oldest_digest].received_at
            > self._clock.monotonic() - KEY_RETENTION_S
        ):
            return False
        del self._key_by_digest[oldest_digest]
        return True

    def _discard_old(self, ended_attempt: Attempt) -> None:
        """Discard the oldest answer bodies above their limit, then old ended attempts."""
        if ended_attempt.answer is not None and ended_attempt.answer.body:
            self._attempts_with_body.append(ended_attempt)
            self._stored_body_bytes += len(ended_attempt.answer.body)
        while self._stored_body_bytes > MAX_BODY_BYTES and len(self._attempts_with_body) > 1:
            oldest_with_body = self._attempts_with_body.popleft()
            if oldest_with_body.answer is not None:
                self._stored_body_bytes -= len(oldest_with_body.answer.body)
            oldest_with_body.answer = ANSWER_DISCARDED
        now = self._clock.monotonic()
        while self._attempt_by_id:
            oldest_attempt = next(iter(self._attempt_by_id.values()))
            is_past_retention = oldest_attempt.ended_at < now - ATTEMPT_RETENTION_S
            if not oldest_attempt.done.is_set() or not (
                is_past_retention or len(self._attempt_by_id) > MAX_ATTEMPTS
            ):
                return
            if not is_past_retention:
                self._discarded_early_at = now
            self._discard(oldest_attempt)

    def _discard(self, attempt: Attempt) -> None:
        del self._attempt_by_id[attempt.attempt_id]
        if (
            self._attempts_with_body
            and self._attempts_with_body[0] is attempt
            and attempt.answer is not None
        ):
            self._attempts_with_body.popleft()
            self._stored_body_bytes -= len(attempt.answer.body)
        if attempt.key_digest is not None:
            seen = self._key_by_digest.get(attempt.key_digest)
            if seen is not None and seen.attempt is attempt:
                seen.attempt = None


def _digest_key(key: RequestKey) -> bytes:
    return blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).digest()


def _make_key_state(attempt: Attempt) -> KeyState:
    if not attempt.done.is_set():
        return KeyState(KeyStatus.RUNNING)
    return KeyState(KeyStatus.DONE, attempt.answer)
