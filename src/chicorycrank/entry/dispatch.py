"""Dispatch a request to one executor and query its result after a lost reply."""

import logging
import uuid
from collections import Counter
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from chicorycrank.entry.directory import Directory, Target
from chicorycrank.model.ids import AttemptId, Nonce
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
from chicorycrank.model.requests import Answer, Outcome, Request
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Link, LinkError, MessageNotSentError

ANSWER_MARGIN_S = 0.5
QUERY_TIMEOUT = timedelta(seconds=2)
POLL_INTERVAL = timedelta(milliseconds=100)
# Time that a repeatable request waits for a new connection to its agent before it is retried on
# another executor.
RECONNECT_WAIT_S = 2.0
NO_FREE_SLOT = "no_free_slot"
# Codes of refusals because the key or attempt was received before. The request may have run.
DUPLICATE_CODES = frozenset({"key_already_ran", "attempt_repeated"})

logger = logging.getLogger("absl")


@dataclass(frozen=True, kw_only=True)
class AttemptResult:
    """Result of an attempt.

    :param is_final: false for an ``unknown`` outcome that the agent may still report
    :param refusal_code: code of the agent's refusal; empty if it did not refuse
    """

    answer: Answer
    is_final: bool = True
    refusal_code: str = ""


class Dispatcher:
    """Sends requests to the agents of executors.

    :ivar dropped_by_reason: number of answers that were incomplete or of another attempt
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self.dropped_by_reason: Counter[str] = Counter()

    async def run(
        self, request: Request, target: Target, nonce: Nonce, deadline: float
    ) -> AttemptResult:
        """Send a request to a target's agent once and return its result.

        :param deadline: monotonic time in seconds after which an answer is useless
        """
        remaining_s = deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return _not_run("the deadline passed before the request was sent")
        attempt_id = AttemptId(uuid.uuid4().hex)
        request = msgspec.structs.replace(request, deadline_s=remaining_s)
        message = RunRequest(attempt_id, nonce, target.incarnation, request)
        timeout = timedelta(seconds=remaining_s + ANSWER_MARGIN_S)
        try:
            reply = await target.link.request(message, timeout=timeout)
        except MessageNotSentError as error:
            return _not_run(str(error))
        except LinkError as error:
            logger.info("event=attempt_lost key=%s error=%s", request.key, error)
            return await self._recover_result(message, target, deadline)
        if isinstance(reply, Refused) and reply.code not in DUPLICATE_CODES:
            detail = f"{target.target_id} refused: {reply.code}"
            return AttemptResult(
                answer=Answer(outcome=Outcome.NOT_RUN, detail=detail), refusal_code=reply.code
            )
        if isinstance(reply, RunResult) and reply.attempt_id == attempt_id:
            return self._check_answer(reply.answer, target)
        self.dropped_by_reason["foreign"] += 1
        logger.warning("event=answer_dropped reason=foreign key=%s", request.key)
        return await self._recover_result(message, target, deadline)

    async def _recover_result(
        self, message: RunRequest, target: Target, deadline: float
    ) -> AttemptResult:
        """Query the result of an attempt from its agent, over a new connection if necessary."""
        is_repeatable = message.request.repeatable
        give_up_at_s = deadline
        if is_repeatable:
            give_up_at_s = min(deadline, self._clock.monotonic() + RECONNECT_WAIT_S)
        while True:
            state = await self._query_agent(message, target)
            if state is not None:
                if state.status is KeyStatus.NEVER_RAN:
                    return _not_run(f"{target.target_id} had not received the request")
                if state.status is KeyStatus.OTHER_INCARNATION:
                    return _unknown(f"{target.target_id} restarted", is_final=True)
                if state.status is KeyStatus.DONE and state.answer is not None:
                    return self._check_answer(state.answer, target)
                give_up_at_s = deadline
            if self._clock.monotonic() >= give_up_at_s:
                return _unknown(f"no outcome from {target.target_id}", is_final=False)
            await self._clock.sleep(POLL_INTERVAL)

    async def _query_agent(self, message: RunRequest, target: Target) -> KeyState | None:
        """Return the state of an attempt at its agent; ``None`` if the agent did not reply."""
        current_target = self._directory.targets_by_id.get(target.target_id)
        if current_target is None or not current_target.link.is_open:
            return None
        if current_target.incarnation != message.incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        query: AnyMessage
        if message.request.repeatable:
            query = QueryAttempt(message.attempt_id, message.incarnation)
        else:
            query = QueryKey(message.request.key, message.nonce, message.incarnation)
        return await query_key_state(current_target.link, query)

    def _check_answer(self, answer: Answer, target: Target) -> AttemptResult:
        """Return the result of an answer; replace an incomplete answer by an unknown outcome."""
        answer = msgspec.structs.replace(answer, target=target.target_id)
        if answer.outcome is Outcome.COMPLETED and not _is_complete(answer):
            self.dropped_by_reason["incomplete"] += 1
            logger.warning("event=answer_dropped reason=incomplete target=%s", target.target_id)
            return _unknown("the answer was incomplete", is_final=True)
        return AttemptResult(answer=answer)


async def query_key_state(link: Link, query: AnyMessage) -> KeyState | None:
    """Send a query to a peer; return ``None`` without a :class:`KeyState` as the reply."""
    try:
        reply = await link.request(query, timeout=QUERY_TIMEOUT)
    except LinkError as error:
        logger.info("event=query_lost peer=%s error=%s", link.peer.peer_id, error)
        return None
    return reply if isinstance(reply, KeyState) else None


def _is_complete(answer: Answer) -> bool:
    """Return whether a JSON answer parses; other answers carry their length on the wire."""
    if not answer.content_type.startswith("application/json"):
        return True
    try:
        msgspec.json.decode(answer.body or b"null")
    except msgspec.DecodeError:
        return False
    return True


def _not_run(detail: str) -> AttemptResult:
    return AttemptResult(answer=Answer(outcome=Outcome.NOT_RUN, detail=detail))


def _unknown(detail: str, *, is_final: bool) -> AttemptResult:
    return AttemptResult(answer=Answer(outcome=Outcome.UNKNOWN, detail=detail), is_final=is_final)
