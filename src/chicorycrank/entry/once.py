"""Non-repeatable requests: a claim in the store before dispatch."""

import asyncio
import hashlib
import logging
import uuid
from datetime import timedelta
from typing import Any

import msgspec

from chicorycrank.entry.admission import Gate
from chicorycrank.entry.claims import ClaimLog, ClaimShardFullError
from chicorycrank.entry.directory import Directory, Target
from chicorycrank.entry.dispatch import NO_FREE_SLOT, Attempt, Dispatcher, ask
from chicorycrank.model.ids import Nonce, RegionId, RequestKey, TargetId
from chicorycrank.model.messages import AnyMessage, KeyState, KeyStatus, QueryKey, QueryKeyAt
from chicorycrank.model.requests import Answer, Claim, ClaimState, Outcome, Request
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.store import StoreError

POLL_INTERVAL = timedelta(milliseconds=200)
STORE_RETRY_INTERVAL = timedelta(seconds=1)
OUTCOME_WAIT_S = 1.0
# A shard holds about 137 claims and has to stay below 900 KB; a larger answer stays with the
# agent and the claim stays open, so that a retry asks the agent.
MAX_KEPT_ANSWER_BYTES = 4096
KEY_REUSED = "the key was used before with another team, service or body"

logger = logging.getLogger("absl")


class OnceRunner:
    """Runs each key at most once, whichever entries the caller tries."""

    def __init__(
        self,
        *,
        region: RegionId,
        claims: ClaimLog,
        gate: Gate,
        dispatcher: Dispatcher,
        directory: Directory,
        clock: Clock,
    ) -> None:
        self._region = region
        self._claims = claims
        self._gate = gate
        self._dispatcher = dispatcher
        self._directory = directory
        self._clock = clock
        self._tasks: set[asyncio.Task[Any]] = set()

    async def run(self, request: Request, deadline: float) -> Answer:
        """Return the outcome of the request's key, running it if it never ran."""
        digest = digest_of(request)
        try:
            current = await self._claims.get(request.key)
        except StoreError as error:
            return self._gate.not_run(f"the request could not be claimed: {error}")
        while True:
            if current is not None:
                if current.digest not in ("", digest):
                    return Answer(outcome=Outcome.NOT_RUN, detail=KEY_REUSED)
                if current.state is not ClaimState.RELEASED:
                    answer = await self._resolve(current, deadline)
                    if answer is not None:
                        return answer
            target = await self._gate.acquire(request, deadline)
            if isinstance(target, Answer):
                return target
            claim = self._make_claim(request, target, digest)
            expected = current.nonce if current is not None else None
            try:
                stored = await self._claims.put(claim, expected=expected)
            except (StoreError, ClaimShardFullError) as error:
                self._gate.release(target)
                return self._gate.not_run(f"the request could not be claimed: {error}")
            except asyncio.CancelledError:
                self._gate.release(target)
                raise
            if stored is not None and stored.nonce == claim.nonce:
                return await self._run_claimed(request, claim, target, deadline)
            self._gate.release(target)
            current = stored

    async def status(self, key: RequestKey) -> Answer | None:
        """Return the stored outcome of a key; absent if the key is unknown.

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

    async def query_at(self, message: QueryKeyAt) -> KeyState | None:
        """Put another entry's query to an agent of this region."""
        target = self._directory.targets_by_id.get(message.target)
        if target is None or not target.link.is_open:
            return None
        return await ask(target.link, QueryKey(message.key, message.nonce, message.incarnation))

    # A key that this entry claimed.

    async def _run_claimed(
        self, request: Request, claim: Claim, target: Target, deadline: float
    ) -> Answer:
        """Dispatch a claimed request; a refusal moves the claim to another agent."""
        tried: frozenset[TargetId] = frozenset()
        while True:
            started = self._clock.monotonic()
            attempt = await self._dispatch(request, claim, target, deadline)
            answer = attempt.answer
            elapsed = self._clock.monotonic() - started
            if answer.outcome is not Outcome.NOT_RUN:
                failed = answer.outcome is not Outcome.COMPLETED
                self._gate.release(target, failed=failed, latency_s=elapsed)
                return await self._finish(claim, attempt)
            self._give_back(target, attempt, elapsed)
            if attempt.refusal != NO_FREE_SLOT:
                tried |= {target.target_id}
            other = await self._next_target(request, deadline, tried)
            if other is None:
                return await self._release(claim, answer, deadline)
            if (other.target_id, other.incarnation) == (claim.target, claim.incarnation):
                # A refusal for lack of a slot leaves no trace at the agent, so the claim holds.
                target = other
                continue
            moved = self._make_claim(request, other, claim.digest)
            try:
                stored = await self._claims.put(moved, expected=claim.nonce)
            except (StoreError, ClaimShardFullError) as error:
                self._gate.release(other)
                detail = f"the claim could not be moved: {error}"
                return self._gate.not_run(detail, request.request_class)
            if stored is None or stored.nonce != moved.nonce:
                self._gate.release(other)
                return await self._follow(stored, deadline)
            claim, target = moved, other

    async def _dispatch(
        self, request: Request, claim: Claim, target: Target, deadline: float
    ) -> Attempt:
        try:
            return await self._dispatcher.run(request, target, claim.nonce, deadline)
        except asyncio.CancelledError:
            self._gate.release(target)
            raise

    def _give_back(self, target: Target, attempt: Attempt, elapsed: float) -> None:
        if attempt.refusal:
            self._gate.note_full(target)
            self._gate.release(target)
        else:
            self._gate.release(target, failed=True, latency_s=elapsed)

    async def _next_target(
        self, request: Request, deadline: float, tried: frozenset[TargetId]
    ) -> Target | None:
        target = await self._gate.acquire(request, deadline, tried)
        if isinstance(target, Answer):
            return None
        if target.target_id in tried:
            self._gate.release(target)
            return None
        return target

    async def _release(self, claim: Claim, answer: Answer, deadline: float) -> Answer:
        """Release a claim that was not run, so that a retry may run."""
        released = msgspec.structs.replace(claim, state=ClaimState.RELEASED)
        stored = await self._store_outcome(released)
        if stored is not None and stored.nonce != claim.nonce:
            return await self._follow(stored, deadline)
        if stored is not None and stored.state is ClaimState.DONE:
            return stored.answer or answer
        return self._gate.not_run(answer.detail)

    async def _finish(self, claim: Claim, attempt: Attempt) -> Answer:
        """Record a final outcome and return it."""
        answer = attempt.answer
        if attempt.is_final and len(answer.body) <= MAX_KEPT_ANSWER_BYTES:
            await self._store_outcome(
                msgspec.structs.replace(claim, state=ClaimState.DONE, answer=answer)
            )
        return answer

    async def _follow(self, claim: Claim | None, deadline: float) -> Answer:
        """Return the outcome of a claim that replaced one of this entry."""
        answer = await self._resolve(claim, deadline) if claim is not None else None
        return answer or self._gate.not_run("another entry took the key over and did not run it")

    # Writing outcomes.

    async def _store_outcome(self, claim: Claim) -> Claim | None:
        """Write the end of a claim; after 1 s the write goes on in the background."""
        task = asyncio.create_task(self._store_until_done(claim))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        timer = asyncio.ensure_future(self._clock.sleep(timedelta(seconds=OUTCOME_WAIT_S)))
        try:
            await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
        return task.result() if task.done() else None

    async def _store_until_done(self, claim: Claim) -> Claim | None:
        while True:
            try:
                return await self._claims.put(claim, expected=claim.nonce)
            except ClaimShardFullError as error:
                logger.error("event=outcome_not_stored key=%s error=%s", claim.key, error)
                return None
            except StoreError as error:
                logger.warning("event=outcome_delayed key=%s error=%s", claim.key, error)
                await self._clock.sleep(STORE_RETRY_INTERVAL)

    # A key that was claimed before.

    async def _resolve(self, claim: Claim, deadline: float) -> Answer | None:
        """Return the outcome of a claim; nothing if it never ran and never will."""
        while True:
            if claim.state is ClaimState.DONE:
                return claim.answer or Answer(outcome=Outcome.UNKNOWN)
            if claim.state is ClaimState.RELEASED:
                return None
            # The entry that claimed the key may be about to dispatch; a query at this moment
            # would make the agent refuse it.
            await self._clock.sleep(POLL_INTERVAL)
            state = await self._ask(claim)
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
                    return await self._finish(claim, Attempt(answer=answer))
            if self._clock.monotonic() >= deadline:
                return Answer(
                    outcome=Outcome.UNKNOWN, detail="an earlier attempt has no outcome yet"
                )
            claim = await self._reread(claim)

    async def _reread(self, claim: Claim) -> Claim:
        try:
            return await self._claims.get(claim.key) or claim
        except StoreError:
            return claim

    async def _record_unknown(self, claim: Claim) -> Claim:
        """Record that a claim's agent is gone; return the claim that is in force."""
        answer = Answer(outcome=Outcome.UNKNOWN, detail=f"{claim.target} restarted")
        done = msgspec.structs.replace(claim, state=ClaimState.DONE, answer=answer)
        return await self._store_outcome(done) or done

    async def _ask(self, claim: Claim) -> KeyState | None:
        """Ask the claim's agent, through an entry of its region if it is another one."""
        target = self._directory.targets_by_id.get(claim.target)
        if target is not None and target.link.is_open:
            # The agent compares the incarnation itself: this connection may be the older one.
            state = await ask(target.link, QueryKey(claim.key, claim.nonce, claim.incarnation))
            if state is not None:
                return state
        query: AnyMessage = QueryKeyAt(claim.target, claim.key, claim.nonce, claim.incarnation)
        for peer in list(self._directory.peers_by_id.values()):
            in_region = peer.info.region == (claim.region or peer.info.region)
            if in_region and peer.link is not None and peer.link.is_open:
                state = await ask(peer.link, query)
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


def digest_of(request: Request) -> str:
    """Return a digest of what must be equal in all requests of a key."""
    parts = (request.team.encode(), request.service.encode(), request.body)
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()[:32]
