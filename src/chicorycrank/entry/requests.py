"""The path of a short request from the caller to its answer."""

import logging
import uuid
from datetime import timedelta

from chicorycrank.entry.claims import ClaimLog, ClaimShardFullError
from chicorycrank.entry.directory import Directory, Target
from chicorycrank.model.ids import AttemptId, Nonce
from chicorycrank.model.messages import (
    KeyState,
    KeyStatus,
    QueryKey,
    Refused,
    RunRequest,
    RunResult,
)
from chicorycrank.model.requests import Answer, Claim, ClaimState, Outcome, Request
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import LinkError, LinkNotSentError
from chicorycrank.ports.store import StoreError

QUERY_TIMEOUT = timedelta(seconds=2)
RETRY_AFTER_S = 1.0
ANSWER_MARGIN_S = 0.5

logger = logging.getLogger("absl")


class RequestFront:
    """Chooses executors for requests and returns truthful outcomes."""

    def __init__(self, directory: Directory, claims: ClaimLog, clock: Clock) -> None:
        self._directory = directory
        self._claims = claims
        self._clock = clock

    async def answer(self, request: Request) -> Answer:
        """Run a request and return its outcome."""
        target = self._choose()
        if target is None:
            return _not_run("no executor has a free slot")
        if request.repeatable:
            return await self._dispatch(request, target, Nonce(uuid.uuid4().hex))
        return await self._answer_once(request, target)

    async def _answer_once(self, request: Request, target: Target) -> Answer:
        """Claim the key in the store before the request is dispatched."""
        claim = Claim(
            key=request.key,
            nonce=Nonce(uuid.uuid4().hex),
            target=target.target_id,
            incarnation=target.incarnation,
            state=ClaimState.CLAIMED,
            claimed_at=self._clock.now().timestamp(),
        )
        try:
            current = await self._claims.put(claim, expected=None)
        except (StoreError, ClaimShardFullError) as error:
            return _not_run(f"the request could not be claimed: {error}")
        if current.nonce != claim.nonce:
            return await self._resolve(current)
        answer = await self._dispatch(request, target, claim.nonce)
        await self._finish(claim, answer)
        return answer

    async def _resolve(self, claim: Claim) -> Answer:
        """Return the outcome of a key that was claimed before."""
        if claim.answer is not None:
            return claim.answer
        target = self._directory.targets_by_id.get(claim.target)
        if target is None:
            return Answer(outcome=Outcome.UNKNOWN, detail=f"{claim.target} is not reachable")
        query = QueryKey(claim.key, claim.nonce, claim.incarnation)
        try:
            reply = await target.link.request(query, timeout=QUERY_TIMEOUT)
        except LinkError as error:
            return Answer(outcome=Outcome.UNKNOWN, detail=str(error))
        if isinstance(reply, KeyState) and reply.status is KeyStatus.DONE and reply.answer:
            return reply.answer
        return Answer(outcome=Outcome.UNKNOWN, detail="an earlier attempt has no outcome yet")

    async def _finish(self, claim: Claim, answer: Answer) -> None:
        done = Claim(
            key=claim.key,
            nonce=claim.nonce,
            target=claim.target,
            incarnation=claim.incarnation,
            state=ClaimState.DONE,
            claimed_at=claim.claimed_at,
            answer=answer,
        )
        try:
            await self._claims.put(done, expected=claim.nonce)
        except (StoreError, ClaimShardFullError) as error:
            logger.warning("event=outcome_not_stored key=%s error=%s", claim.key, error)

    async def _dispatch(self, request: Request, target: Target, nonce: Nonce) -> Answer:
        attempt_id = AttemptId(uuid.uuid4().hex)
        message = RunRequest(attempt_id, nonce, target.incarnation, request)
        timeout = timedelta(seconds=request.deadline_s + ANSWER_MARGIN_S)
        target.in_flight += 1
        try:
            reply = await target.link.request(message, timeout=timeout)
        except LinkNotSentError as error:
            return _not_run(str(error))
        except LinkError as error:
            return Answer(outcome=Outcome.UNKNOWN, detail=str(error))
        finally:
            target.in_flight -= 1
        if isinstance(reply, RunResult) and reply.attempt_id == attempt_id:
            return reply.answer
        if isinstance(reply, Refused):
            return _not_run(f"{target.target_id} refused: {reply.code}")
        return Answer(outcome=Outcome.UNKNOWN, detail="unexpected reply")

    def _choose(self) -> Target | None:
        free = [
            target
            for target in self._directory.executors()
            if not target.executor_load.draining
            and target.hello.executor is not None
            and target.in_flight < target.hello.executor.slots
        ]
        return min(free, key=lambda target: target.in_flight, default=None)


def _not_run(detail: str) -> Answer:
    return Answer(outcome=Outcome.NOT_RUN, detail=detail, retry_after_s=RETRY_AFTER_S)
