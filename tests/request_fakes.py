"""In-memory store, connections and executor agents for tests of the request path."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, TypeVar, cast

from tests.manual_clock import ManualClock, start_task

from chicorycrank.adapters.peers import PeerLink
from chicorycrank.entry.claims import ClaimStore
from chicorycrank.entry.directory import Directory, Peer
from chicorycrank.entry.requests import RequestFrontend
from chicorycrank.model.config import Config
from chicorycrank.model.ids import (
    AttemptId,
    EntryId,
    Incarnation,
    Nonce,
    RegionId,
    RequestKey,
    ServiceId,
    TargetId,
    TeamId,
    Version,
    ZoneId,
)
from chicorycrank.model.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    Digest,
    Hello,
    KeyState,
    KeyStatus,
    QueryAttempt,
    QueryKey,
    Refused,
    Role,
    RunRequest,
    RunResult,
)
from chicorycrank.model.requests import Answer, Outcome, Request, RequestClass
from chicorycrank.model.targets import EntryInfo, ExecutorInfo, TargetKind
from chicorycrank.ports.links import LinkError, MessageNotSentError
from chicorycrank.ports.store import Entry, StoreError, VersionConflictError

T = TypeVar("T")

STORE_DELAY_S = 0.002


class FakeStore:
    """Compare-and-swap store whose replies can be lost.

    :ivar lost_replies: number of following writes that take effect without a reply
    :ivar lost_reads: number of following reads that fail
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.entry_by_key: dict[str, Entry] = {}
        self.is_down = False
        self.lost_replies = 0
        self.lost_reads = 0
        self.write_count = 0
        self.write_delay_s = 0.0

    async def get(self, key: str) -> Entry:
        """Return a value, or fail if the read is to be lost."""
        await self._delay()
        if self.lost_reads:
            self.lost_reads -= 1
            raise StoreError("read lost")
        return self.entry_by_key.get(key, Entry(key=key, value=b"", version=Version(0)))

    async def put(
        self, key: str, value: bytes, *, if_version: Version, lease: object = None
    ) -> Version:
        """Write a value; fail after the write if its reply is to be lost."""
        await self._clock.sleep(timedelta(seconds=self.write_delay_s))
        await self._delay()
        current = self.entry_by_key.get(key)
        version = current.version if current is not None else Version(0)
        if version != if_version:
            raise VersionConflictError(key, version)
        self.write_count += 1
        stored = Entry(key=key, value=value, version=Version(version + 1))
        self.entry_by_key[key] = stored
        if self.lost_replies:
            self.lost_replies -= 1
            await self._delay()
            raise StoreError("reply lost")
        return stored.version

    async def _delay(self) -> None:
        await self._clock.sleep(timedelta(seconds=STORE_DELAY_S))
        if self.is_down:
            raise StoreError("store is down")


@dataclass
class SeenAttempt:
    """Attempt that an agent has received."""

    nonce: Nonce
    done: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Answer | None = None


class FakeAgent:
    """Executor with its agent.

    :ivar ran_keys: keys of all runs in their order, kept by the executor
    :ivar failures_left: number of following runs that fail
    :ivar truncations_left: number of following answers that are truncated
    :ivar refusal_code: code with which the agent refuses every request; empty to accept them
    """

    def __init__(self, target_id: str, clock: ManualClock, *, slots: int = 8) -> None:
        self.target_id = TargetId(target_id)
        self.slots = slots
        self._clock = clock
        self.ran_keys: list[RequestKey] = []
        self.service_time_s = 0.05
        self.failures_left = 0
        self.truncations_left = 0
        self.refusal_code = ""
        self.used_slots = 0
        self.max_used_slots = 0
        self.restart_count = 0
        self.restart()

    def restart(self) -> None:
        """Restart the agent, which loses its state; the executor keeps its list of runs."""
        self.restart_count += 1
        self.incarnation = Incarnation(f"{self.target_id}.{self.restart_count}")
        self._seen_by_key: dict[RequestKey, SeenAttempt] = {}
        self._seen_by_attempt: dict[AttemptId, SeenAttempt] = {}
        self._refused: set[str] = set()

    async def handle(self, message: AnyMessage) -> AnyMessage:
        """Reply to a message like the agent of an executor."""
        if isinstance(message, RunRequest):
            return await self._run(message)
        if isinstance(message, QueryKey):
            if message.incarnation != self.incarnation:
                return KeyState(KeyStatus.OTHER_INCARNATION)
            seen = self._seen_by_key.get(message.key)
            if seen is None or seen.nonce != message.nonce:
                self._refused.add(message.nonce)
                return KeyState(KeyStatus.NEVER_RAN)
            return _describe(seen)
        assert isinstance(message, QueryAttempt)
        if message.incarnation != self.incarnation:
            return KeyState(KeyStatus.OTHER_INCARNATION)
        seen = self._seen_by_attempt.get(message.attempt_id)
        if seen is None:
            self._refused.add(message.attempt_id)
            return KeyState(KeyStatus.NEVER_RAN)
        return _describe(seen)

    async def _run(self, message: RunRequest) -> AnyMessage:
        request = message.request
        if message.incarnation != self.incarnation:
            return Refused("other_incarnation")
        if message.nonce in self._refused or message.attempt_id in self._refused:
            return Refused("nonce_refused")
        if self.refusal_code:
            return Refused(self.refusal_code)
        if not request.repeatable and request.key in self._seen_by_key:
            return Refused("key_already_ran")
        if self.used_slots >= self.slots:
            return Refused("no_free_slot")
        seen = SeenAttempt(message.nonce)
        self._seen_by_attempt[message.attempt_id] = seen
        if not request.repeatable:
            self._seen_by_key[request.key] = seen
        self.used_slots += 1
        self.max_used_slots = max(self.max_used_slots, self.used_slots)
        self.ran_keys.append(request.key)
        incarnation = self.incarnation
        await self._clock.sleep(timedelta(seconds=self.service_time_s))
        self.used_slots -= 1
        if incarnation != self.incarnation:
            raise LinkError("agent restarted")
        body = b'{"key":"' + request.key.encode() + b'"}'
        outcome = Outcome.COMPLETED
        if self.failures_left:
            self.failures_left -= 1
            outcome = Outcome.FAILED
        if self.truncations_left:
            self.truncations_left -= 1
            body = body[:-3]
        seen.answer = Answer(outcome=outcome, body=body)
        return RunResult(message.attempt_id, seen.answer)


def _describe(seen: SeenAttempt) -> KeyState:
    if seen.answer is None:
        return KeyState(KeyStatus.RUNNING)
    return KeyState(KeyStatus.DONE, seen.answer)


class FakeLink:
    """Connection whose messages can be lost, delayed or answered with a wrong result.

    :ivar faults: faults of the next ``RunRequest`` or ``ForwardRequest`` messages, one for each
    :ivar next_send_delay_s: delay of the next of these messages in seconds
    """

    def __init__(self, peer: Hello, handle: Any, clock: ManualClock) -> None:
        self.peer = peer
        self.is_open = True
        self.faults: list[str] = []
        self.next_send_delay_s = 0.0
        self.sent: list[AnyMessage] = []
        self._handle = handle
        self._clock = clock
        self._tasks: set[asyncio.Future[Any]] = set()

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Deliver a message, subject to the next fault, and return the reply."""
        if not self.is_open:
            raise MessageNotSentError("closed")
        is_run = not isinstance(message, QueryKey | QueryAttempt)
        fault = self.faults.pop(0) if self.faults and is_run else ""
        if is_run and self.next_send_delay_s:
            next_send_delay_s, self.next_send_delay_s = self.next_send_delay_s, 0.0
            await self._clock.sleep(timedelta(seconds=next_send_delay_s))
        self.sent.append(message)
        if fault == "request lost":
            raise LinkError("request lost")
        reply = start_task(self._deliver(message, fault))
        timer = asyncio.ensure_future(self._clock.sleep(timeout))
        self._tasks |= {reply, timer}
        # The peer continues with a delivered message when the sender is killed, so the task is not
        # cancelled.
        await asyncio.wait({reply, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not reply.done():
            raise LinkError("no reply before the timeout")
        result: AnyMessage = reply.result()
        if fault == "answer of another attempt":
            answer = Answer(outcome=Outcome.COMPLETED, body=b'{"key":"foreign"}')
            return RunResult(AttemptId("foreign"), answer)
        return result

    async def _deliver(self, message: AnyMessage, fault: str) -> AnyMessage:
        if fault == "connection lost after delivery":
            self._tasks.add(start_task(self._handle(message)))
            raise LinkError("connection lost")
        if fault == "request delayed":
            self._tasks.add(start_task(self._deliver_late(message)))
            raise LinkError("connection lost")
        reply = await self._handle(message)
        if fault == "reply lost":
            raise LinkError("reply lost")
        return cast(AnyMessage, reply)

    async def _deliver_late(self, message: AnyMessage) -> None:
        await self._clock.sleep(timedelta(seconds=5))
        await self._handle(message)


class FakeCluster:
    """Entries of one or two regions, their executors and a shared store."""

    def __init__(self, clock: ManualClock, *, config: Config | None = None) -> None:
        self.clock = clock
        self.store = FakeStore(clock)
        self.config = config or Config()
        self.agent_by_id: dict[str, FakeAgent] = {}
        self.frontend_by_id: dict[str, RequestFrontend] = {}
        self.directory_by_id: dict[str, Directory] = {}
        self.region_by_id: dict[str, str] = {}
        self.tasks: set[asyncio.Task[Answer]] = set()

    def add_entry(self, name: str, region: str = "north") -> None:
        """Add an entry to a region."""
        directory = Directory()
        self.directory_by_id[name] = directory
        self.region_by_id[name] = region
        self.frontend_by_id[name] = RequestFrontend(
            directory,
            ClaimStore(cast(Any, self.store), self.clock),
            self.clock,
            region=RegionId(region),
            config=lambda: self.config,
            jitter=lambda: 0.5,
        )

    def add_agent(self, name: str, region: str = "north", *, slots: int = 8) -> FakeAgent:
        """Add an executor and connect its agent."""
        agent = self.agent_by_id[name] = FakeAgent(name, self.clock, slots=slots)
        self.region_by_id[name] = region
        self.connect(name)
        return agent

    def connect(self, name: str) -> None:
        """Connect an agent to the entries of its region and close its previous connections."""
        agent = self.agent_by_id[name]
        region = self.region_by_id[name]
        for entry, directory in self.directory_by_id.items():
            if self.region_by_id[entry] != region:
                continue
            old = directory.targets_by_id.get(agent.target_id)
            if old is not None:
                cast(Any, old.link).is_open = False
            hello = _hello(name, region, agent.incarnation, slots=agent.slots)
            directory.add_target(cast(PeerLink, FakeLink(hello, agent.handle, self.clock)))

    def connect_entries(self, first: str, second: str) -> None:
        """Connect two entries with each other."""
        for own_id, peer_id in ((first, second), (second, first)):
            info = EntryInfo(
                entry_id=EntryId(peer_id),
                region=RegionId(self.region_by_id[peer_id]),
                zone=ZoneId("a"),
                peer_address="",
                http_address="",
            )
            hello = _hello(peer_id, info.region, Incarnation(f"{peer_id}.1"))
            link = FakeLink(hello, self.frontend_by_id[peer_id].serve, self.clock)
            peer = Peer(info=info, link=cast(PeerLink, link))
            self.directory_by_id[own_id].peers_by_id[info.entry_id] = peer

    def exchange_digests(self) -> None:
        """Deliver the digest of each entry to its peers."""
        for directory in self.directory_by_id.values():
            for entry_id, peer in directory.peers_by_id.items():
                loads = self.frontend_by_id[entry_id].loads()
                peer.digest = Digest(self.config.generation, loads, (), False)

    def link(self, entry: str, target: str) -> FakeLink:
        """Return an entry's connection to an executor's agent."""
        directory = self.directory_by_id[entry]
        return cast(FakeLink, directory.targets_by_id[TargetId(target)].link)

    def send(self, entry: str, request: Request) -> "asyncio.Task[Answer]":
        """Start a request at an entry."""
        task = asyncio.ensure_future(self.frontend_by_id[entry].run(request))
        self.tasks.add(task)
        return task

    def count_runs(self, key: str) -> int:
        """Return how often the executors ran a key, by their own lists."""
        return sum(a.ran_keys.count(RequestKey(key)) for a in self.agent_by_id.values())


def make_request(key: str, **changes: Any) -> Request:
    values: dict[str, Any] = {
        "team": TeamId("claims"),
        "service": ServiceId("order"),
        "request_class": RequestClass.URGENT,
        "repeatable": False,
        "deadline_s": 10.0,
        "body": b"{}",
    }
    return Request(key=RequestKey(key), **(values | changes))


def run_async(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine of a test on a new event loop."""
    return asyncio.run(work)


def _hello(name: str, region: str, incarnation: Incarnation, *, slots: int = 0) -> Hello:
    return Hello(
        version=PROTOCOL_VERSION,
        role=Role.AGENT if slots else Role.ENTRY,
        peer_id=name,
        incarnation=incarnation,
        region=RegionId(region),
        zone=ZoneId("a"),
        address="",
        target_kind=TargetKind.EXECUTOR if slots else None,
        executor=ExecutorInfo(slots=slots, connections=60) if slots else None,
    )
