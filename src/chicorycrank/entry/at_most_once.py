"""Run non-repeatable requests at most once by claiming their keys in the store first."""

import asyncio
import hashlib
import logging
import uuid
from datetime import timedelta
from typing import Any

import msgspec

from chicorycrank.entry.claims import ClaimShardFullError, ClaimStore
from chicorycrank.entry.directory import Directory, Target
from chicorycrank.entry.dispatch import NO_FREE_SLOT, AttemptResult, Dispatcher, query_key_state
from chicorycrank.entry.request_admission import AdmissionQueue
from chicorycrank.model.ids import Nonce, RegionId, RequestKey, TargetId
from chicorycrank.model.messages import AnyMessage, KeyState, KeyStatus, QueryKey, QueryKeyAt
from chicorycrank.model.requests import Answer, Claim, ClaimState, Outcome, Request
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import StoreError

POLL_INTERVAL = timedelta(milliseconds=200)
STORE_RETRY_INTERVAL = timedelta(seconds=1)
OUTCOME_WRITE_WAIT_S = 1.0
# A shard of the claim store holds about 137 claims and must stay below 900 KB, which is
# claims.MAX_SHARD_BYTES; 137 bodies of this size take 561 KB. A larger answer is kept by the agent
# only: the claim stays open, and a retry of the key queries the agent.
MAX_STORED_ANSWER_BYTES = 4096
KEY_REUSED_DETAIL = "the key was used before with another team, service or body"

logger = logging.getLogger("absl")


class AtMostOnceRunner:
    """Runs the request of each key at most once, even if retries arrive at several entries."""

    def __init__(
        self,
        *,
        region: RegionId,
        claims: ClaimStore,
        admission: AdmissionQueue,
        dispatcher: Dispatcher,
        directory: Directory,
        clock: Clock,
    ) -> None:
        self._region = region
        self._claims = claims
        self._admission = admission
        self._dispatcher = dispatcher
        self._directory = directory
        self._clock = clock
        self._write_tasks: set[asyncio.Task[Any]] = set()

    async def run(self, request: Request, deadline: float) -> Answer:
        """Return the outcome of the request's key; run the request if the key has not run."""
        digest = digest_request(request)
        try:
            current = await self._claims.get(request.key)
        except StoreError as error:
            return self._admission.make_not_run_answer(f"the request could not be claimed: {error}")
        while True:
            if current is not None:
                # Claims written by older versions have no digest.
                if current.digest not in ("", digest):
                    return Answer(outcome=Outcome.NOT_RUN, detail=KEY_REUSED_DETAIL)
                if current.state is not ClaimState.RELEASED:
                    answer = await self._resolve_claim(current, deadline)
                    if answer is not None:
                        return answer
            target = await self._admission.acquire(request, deadline)
            if isinstance(target, Answer):
                return target
            claim = self._make_claim(request, target, digest)
            expected = current.nonce if current is not None else None
            try:
                stored = await self._claims.put(claim, expected=expected)
            except (StoreError, ClaimShardFullError) as error:
                self._admission.release(target)
                return self._admission.make_not_run_answer(
                    f"the request could not be claimed: {error}"
                )
            except asyncio.CancelledError:
                self._admission.release(target)
                raise
            if stored is not None and stored.nonce == claim.nonce:
                return await self._run_claimed(request, claim, target, deadline)
            self._admission.release(target)
            current = stored

    async def status(self, key: RequestKey) -> Answer | None:
        """Return the stored outcome of a key; ``None`` if the key is unknown.

        :raises StoreError: the store did not answer
        """
        claim = await self._claims.get(key)
        if claim is None:
            return None
        if claim.state is ClaimState.RELEASED:
            return Answer(outcome=Outcome.NOT_RUN, detail="the request was not run")
        if claim.answer is not None:
            return claim.answer
        return Answer(outcome=Outcome.UNKNOWN, detail="the request may be running")

    async def relay_query(self, message: QueryKeyAt) -> KeyState | None:
        """Relay another entry's query to an agent of this region."""
        target = self._directory.targets_by_id.get(message.target)
        if target is None or not target.link.is_open:
            return None
        return await query_key_state(
            target.link, QueryKey(message.key, message.nonce, message.incarnation)
        )

    # Requests whose keys this entry has claimed.

    async def _run_claimed(
        self, request: Request, claim: Claim, target: Target, deadline: float
    ) -> Answer:
        """Dispatch a claimed request; after a refusal, move the claim to another agent."""
        tried_targets: frozenset[TargetId] = frozenset()
        while True:
            started_at_s = self._clock.monotonic()
            attempt = await self._dispatch(request, claim, target, deadline)
            answer = attempt.answer
            elapsed_s = self._clock.monotonic() - started_at_s
            if answer.outcome is not Outcome.NOT_RUN:
                failed = answer.outcome is not Outcome.COMPLETED
                self._admission.release(target, failed=failed, latency_s=elapsed_s)
                return await self._record_if_final(claim, attempt)
            self._release_slot(target, attempt, elapsed_s)
            if attempt.refusal_code != NO_FREE_SLOT:
                tried_targets |= {target.target_id}
            next_target = await self._next_target(request, deadline, tried_targets)
            if next_target is None:
                return await self._release_claim(claim, answer, deadline)
            if (next_target.target_id, next_target.incarnation) == (
                claim.target,
                claim.incarnation,
            ):
                # An agent that refuses for lack of a slot does not record the key, so the claim
                # stays valid for another attempt.
                target = next_target
                continue
            moved_claim = self._make_claim(request, next_target, claim.digest)
            try:
                stored = await self._claims.put(moved_claim, expected=claim.nonce)
            except (StoreError, ClaimShardFullError) as error:
                self._admission.release(next_target)
                detail = f"the claim could not be moved: {error}"
                return self._admission.make_not_run_answer(detail, request.request_class)
            if stored is None or stored.nonce != moved_claim.nonce:
                self._admission.release(next_target)
                return await self._resolve_replaced(stored, deadline)
            claim, target = moved_claim, next_target

    async def _dispatch(
        self, request: Request, claim: Claim, target: Target, deadline: float
    ) -> AttemptResult:
        try:
            return await self._dispatcher.run(request, target, claim.nonce, deadline)
        except asyncio.CancelledError:
            self._admission.release(target)
            raise

    def _release_slot(self, target: Target, attempt: AttemptResult, elapsed_s: float) -> None:
        if attempt.refusal_code:
            self._admission.mark_full(target)
            self._admission.release(target)
        else:
            self._admission.release(target, failed=True, latency_s=elapsed_s)

    async def _next_target(
        self, request: Request, deadline: float, tried_targets: frozenset[TargetId]
    ) -> Target | None:
        target = await self._admission.acquire(request, deadline, tried_targets)
        if isinstance(target, Answer):
            return None
        if target.target_id in tried_targets:
            self._admission.release(target)
            return None
        return target

    async def _release_claim(self, claim: Claim, answer: Answer, deadline: float) -> Answer:
        """Release the claim of a request that was not run, so that a retry may run it."""
        released = msgspec.structs.replace(claim, state=ClaimState.RELEASED)
        stored = await self._store_outcome(released)
        if stored is not None and stored.nonce != claim.nonce:
            return await self._resolve_replaced(stored, deadline)
        if stored is not None and stored.state is ClaimState.DONE:
            return stored.answer or answer
        return self._admission.make_not_run_answer(answer.detail)

    async def _record_if_final(self, claim: Claim, attempt: AttemptResult) -> Answer:
        """Record an outcome if it is final and not too large, and return it."""
        answer = attempt.answer
        if attempt.is_final and len(answer.body) <= MAX_STORED_ANSWER_BYTES:
            await self._store_outcome(
                msgspec.structs.replace(claim, state=ClaimState.DONE, answer=answer)
            )
        return answer

    async def _resolve_replaced(self, claim: Claim | None, deadline: float) -> Answer:
        """Return the outcome of a claim that replaced this entry's claim."""
        answer = await self._resolve_claim(claim, deadline) if claim is not None else None
        return answer or self._admission.make_not_run_answer(
            "another entry claimed the key and did not run the request"
        )

    # Outcomes in the store.

    async def _store_outcome(self, claim: Claim) -> Claim | None:
        """Write the outcome of a claim; after 1 s the write continues in the background.

        :returns: the stored claim; ``None`` if the write has not ended or the shard is full
        """
        task = asyncio.create_task(self._write_with_retries(claim))
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)
        timer = asyncio.ensure_future(self._clock.sleep(timedelta(seconds=OUTCOME_WRITE_WAIT_S)))
        try:
            await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
        return task.result() if task.done() else None

    async def _write_with_retries(self, claim: Claim) -> Claim | None:
        while True:
            try:
                return await self._claims.put(claim, expected=claim.nonce)
            except ClaimShardFullError as error:
                logger.error("event=outcome_not_stored key=%s error=%s", claim.key, error)
                return None
            except StoreError as error:
                logger.warning("event=outcome_delayed key=%s error=%s", claim.key, error)
                await self._clock.sleep(STORE_RETRY_INTERVAL)

    # Keys that were claimed earlier.

    async def _resolve_claim(self, claim: Claim, deadline: float) -> Answer | None:
        """Return the outcome of a claim; ``None`` if its request has not run and will not run."""
        while True:
            if claim.state is ClaimState.DONE:
                return claim.answer or Answer(outcome=Outcome.UNKNOWN)
            if claim.state is ClaimState.RELEASED:
                return None
            # A query makes the agent refuse the request if it arrives later. Wait first, so that a
            # request that another entry is about to dispatch is not refused.
            await self._clock.sleep(POLL_INTERVAL)
            state = await self._query_agent(claim)
            if state is not None:
                if state.status is KeyStatus.NEVER_RAN:
                    return None
                if state.status is KeyStatus.OTHER_INCARNATION:
                    claim = await self._record_unknown(claim)
                    continue
                if state.status is KeyStatus.DONE and state.answer is not None:
                    if state.answer.outcome is Outcome.NOT_RUN:
                        return None
                    answer = msgspec.structs.replace(state.answer, target=claim.target)
                    return await self._record_if_final(claim, AttemptResult(answer=answer))
            if self._clock.monotonic() >= deadline:
                return Answer(
                    outcome=Outcome.UNKNOWN, detail="an earlier attempt has no outcome yet"
                )
            claim = await self._reload_or_keep(claim)

    async def _reload_or_keep(self, claim: Claim) -> Claim:
        """Return the stored claim of the key, or the given one if it cannot be read."""
        try:
            return await self._claims.get(claim.key) or claim
        except StoreError:
            return claim

    async def _record_unknown(self, claim: Claim) -> Claim:
        """Record an unknown outcome for a claim whose agent restarted; return the stored claim."""
        answer = Answer(outcome=Outcome.UNKNOWN, detail=f"{claim.target} restarted")
        done = msgspec.structs.replace(claim, state=ClaimState.DONE, answer=answer)
        return await self._store_outcome(done) or done

    async def _query_agent(self, claim: Claim) -> KeyState | None:
        """Query the claim's agent, directly or through another entry of the agent's region."""
        target = self._directory.targets_by_id.get(claim.target)
        if target is not None and target.link.is_open:
            # The agent compares the incarnation itself, because this connection may belong to an
            # older incarnation than the claim.
            state = await query_key_state(
                target.link, QueryKey(claim.key, claim.nonce, claim.incarnation)
            )
            if state is not None:
                return state
        query: AnyMessage = QueryKeyAt(claim.target, claim.key, claim.nonce, claim.incarnation)
        for peer in list(self._directory.peers_by_id.values()):
            # Claims written by older versions have no region, so every peer is queried.
            is_in_region = peer.info.region == (claim.region or peer.info.region)
            if is_in_region and peer.link is not None and peer.link.is_open:
                state = await query_key_state(peer.link, query)
                if state is not None:
                    return state
        return None

    def _make_claim(self, request: Request, target: Target, digest: str) -> Claim:
        return Claim(
            key=request.key,
            nonce=Nonce(uuid.uuid4().hex),
            target=target.target_id,
            incarnation=target.incarnation,
            state=ClaimState.CLAIMED,
            claimed_at=self._clock.now().timestamp(),
            region=self._region,
            digest=digest,
        )


def digest_request(request: Request) -> str:
    """Return a digest of the fields that must be equal in all requests of a key."""
    parts = (request.team.encode(), request.service.encode(), request.body)
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()[:32]
