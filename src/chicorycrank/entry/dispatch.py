"""One attempt of a request at one executor, and the question for its result after a loss."""

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
from chicorycrank.ports.links import Link, LinkError, LinkNotSentError

ANSWER_MARGIN_S = 0.5
QUERY_TIMEOUT = timedelta(seconds=2)
POLL_INTERVAL = timedelta(milliseconds=100)
# A repeatable request waits this long for a new connection to its agent before it is retried
# elsewhere.
RECONNECT_WAIT_S = 2.0
NO_FREE_SLOT = "no_free_slot"
# Refusals that say that the key or attempt was seen before; they do not exclude that it ran.
SEEN_BEFORE = frozenset({"key_already_ran", "attempt_repeated"})

logger = logging.getLogger("absl")


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """Result of an attempt.

    :param is_final: an ``unknown`` outcome will never become known
    :param refusal: code of the agent's refusal
    """

    answer: Answer
    is_final: bool = True
    refusal: str = ""


class Dispatcher:
    """Sends attempts to agents.

    :ivar dropped_by_reason: answers that belonged to no attempt or were incomplete
    """

    def __init__(self, directory: Directory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self.dropped_by_reason: Counter[str] = Counter()

    async def run(self, request: Request, target: Target, nonce: Nonce, deadline: float) -> Attempt:
        """Send a request to a target's agent once and return its result.

        :param deadline: time of the clock until which an answer is of use
        """
        remaining = deadline - self._clock.monotonic()
        if remaining <= 0:
            return _not_run("the deadline passed before the request was sent")
        attempt_id = AttemptId(uuid.uuid4().hex)
        request = msgspec.structs.replace(request, deadline_s=remaining)
        message = RunRequest(attempt_id, nonce, target.incarnation, request)
        timeout = timedelta(seconds=remaining + ANSWER_MARGIN_S)
        try:
            reply = await target.link.request(message, timeout=timeout)
        except LinkNotSentError as error:
            return _not_run(str(error))
        except LinkError as error:
            logger.info("event=attempt_lost key=%s error=%s", request.key, error)
            return await self._recover(message, target, deadline)
        if isinstance(reply, Refused) and reply.code not in SEEN_BEFORE:
            detail = f"{target.target_id} refused: {reply.code}"
            return Attempt(
                answer=Answer(outcome=Outcome.NOT_RUN, detail=detail), refusal=reply.code
            )
        if isinstance(reply, RunResult) and reply.attempt_id == attempt_id:
            return self._check(reply.answer, target)
        self.dropped_by_reason["foreign"] += 1
        logger.warning("event=answer_dropped reason=foreign key=%s", request.key)
        return await self._recover(message, target, deadline)

    async def _recover(self, message: RunRequest, target: Target, deadline: float) -> Attempt:
        """Ask the agent for an attempt's result, over a new connection if necessary."""
        is_repeatable = message.request.repeatable
        give_up = deadline
        if is_repeatable:
            give_up = min(deadline, self._clock.monotonic() + RECONNECT_WAIT_S)
        while True:
            state = await self._ask(message, target)
            if state is not None:
                if state.status is KeyStatus.NEVER_RAN:
                    return _not_run(f"{target.target_id} had not received the request")
                if state.status is KeyStatus.OTHER_INCARNATION:
                    return _unknown(f"{target.target_id} restarted", is_final=True)
                if state.status is KeyStatus.DONE and state.answer is not None:
                    return self._check(state.answer, target)
                give_up = deadline
            if self._clock.monotonic() >= give_up:
                return _unknown(f"no outcome from {target.target_id}", is_final=False)
            await self._clock.sleep(POLL_INTERVAL)

    async def _ask(self, message: RunRequest, target: Target) -> KeyState | None:
        """Return the agent's state of an attempt; absent while the agent is out of reach."""
        current = self._directory.targets_by_id.get(target.target_id)
        if current is None or not current.link.is_open:
            return None
        if current.incarnation != message.incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        query: AnyMessage
        if message.request.repeatable:
            query = QueryAttempt(message.attempt_id, message.incarnation)
        else:
            query = QueryKey(message.request.key, message.nonce, message.incarnation)
        return await ask(current.link, query)

    def _check(self, answer: Answer, target: Target) -> Attempt:
        """Refuse to pass on an answer that is not complete."""
        answer = msgspec.structs.replace(answer, target=target.target_id)
        if answer.outcome is Outcome.COMPLETED and not _is_complete(answer):
            self.dropped_by_reason["incomplete"] += 1
            logger.warning("event=answer_dropped reason=incomplete target=%s", target.target_id)
            return _unknown("the answer was incomplete", is_final=True)
        return Attempt(answer=answer)


async def ask(link: Link, query: AnyMessage) -> KeyState | None:
    """Put a query to a peer; absent if there was no proper reply."""
    try:
        reply = await link.request(query, timeout=QUERY_TIMEOUT)
    except LinkError as error:
        logger.info("event=query_lost peer=%s error=%s", link.peer.peer_id, error)
        return None
    return reply if isinstance(reply, KeyState) else None


def _is_complete(answer: Answer) -> bool:
    """Whether a JSON answer parses; other answers carry their length on the wire."""
    if not answer.content_type.startswith("application/json"):
        return True
    try:
        msgspec.json.decode(answer.body or b"null")
    except msgspec.DecodeError:
        return False
    return True


def _not_run(detail: str) -> Attempt:
    return Attempt(answer=Answer(outcome=Outcome.NOT_RUN, detail=detail))


def _unknown(detail: str, *, is_final: bool) -> Attempt:
    return Attempt(answer=Answer(outcome=Outcome.UNKNOWN, detail=detail), is_final=is_final)
