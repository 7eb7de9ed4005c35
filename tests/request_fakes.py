"""In-memory store, links and executors' agents for the request path, on a manual clock."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, TypeVar, cast

from tests.jumping_clock import ManualClock, start_task

from chicorycrank.adapters.peers import PeerLink
from chicorycrank.entry.claims import ClaimStore
from chicorycrank.entry.directory import Directory, Peer
from chicorycrank.entry.requests import RequestFront
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
from chicorycrank.ports.links import LinkError, LinkNotSentError
from chicorycrank.ports.store import Entry, StoreError, VersionConflictError

T = TypeVar("T")

STORE_DELAY_S = 0.002


class FakeStore:
    """Compare-and-swap store whose replies can be lost."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self.entry_by_key: dict[str, Entry] = {}
        self.is_down = False
        self.lost_replies = 0
        self.lost_reads = 0
        self.writes = 0
        self.write_delay_s = 0.0

    async def get(self, key: str) -> Entry:
        """Return a value; a read may be lost."""
        await self._delay()
        if self.lost_reads:
            self.lost_reads -= 1
            raise StoreError("read lost")
        return self.entry_by_key.get(key, Entry(key=key, value=b"", version=Version(0)))

    async def put(
        self, key: str, value: bytes, *, if_version: Version, lease: object = None
    ) -> Version:
        """Write a value; the reply may be lost after the write took effect."""
        await self._clock.sleep(timedelta(seconds=self.write_delay_s))
        await self._delay()
        current = self.entry_by_key.get(key)
        version = current.version if current is not None else Version(0)
        if version != if_version:
            raise VersionConflictError(key, version)
        self.writes += 1
        entry = Entry(key=key, value=value, version=Version(version + 1))
        self.entry_by_key[key] = entry
        if self.lost_replies:
            self.lost_replies -= 1
            await self._delay()
            raise StoreError("reply lost")
        return entry.version

    async def _delay(self) -> None:
        await self._clock.sleep(timedelta(seconds=STORE_DELAY_S))
        if self.is_down:
            raise StoreError("store is down")


@dataclass
class SeenAttempt:
    """What an agent remembers of an attempt."""

    nonce: Nonce
    done: asyncio.Event = field(default_factory=asyncio.Event)
    answer: Answer | None = None


class FakeAgent:
    """An executor and its agent; ``record`` is the executor's own list of the keys it ran."""

    def __init__(self, target_id: str, clock: ManualClock, *, slots: int = 8) -> None:
        self.target_id = TargetId(target_id)
        self.slots = slots
        self._clock = clock
        self.record: list[RequestKey] = []
        self.service_s = 0.05
        self.fails = 0
        self.cut = 0
        self.refusal = ""
        self.used = 0
        self.most_used = 0
        self.restarts = 0
        self.restart()

    def restart(self) -> None:
        """Forget everything but the executor's record."""
        self.restarts += 1
        self.incarnation = Incarnation(f"{self.target_id}.{self.restarts}")
        self._seen_by_key: dict[RequestKey, SeenAttempt] = {}
        self._seen_by_attempt: dict[AttemptId, SeenAttempt] = {}
        self._refused: set[str] = set()

    async def handle(self, message: AnyMessage) -> AnyMessage:
        """Answer a message as the agent of an executor does."""
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
        if self.refusal:
            return Refused(self.refusal)
        if not request.repeatable and request.key in self._seen_by_key:
            return Refused("key_already_ran")
        if self.used >= self.slots:
            return Refused("no_free_slot")
        seen = SeenAttempt(message.nonce)
        self._seen_by_attempt[message.attempt_id] = seen
        if not request.repeatable:
            self._seen_by_key[request.key] = seen
        self.used += 1
        self.most_used = max(self.most_used, self.used)
        self.record.append(request.key)
        incarnation = self.incarnation
        await self._clock.sleep(timedelta(seconds=self.service_s))
        self.used -= 1
        if incarnation != self.incarnation:
            raise LinkError("agent restarted")
        body = b'{"key":"' + request.key.encode() + b'"}'
        outcome = Outcome.COMPLETED
        if self.fails:
            self.fails -= 1
            outcome = Outcome.FAILED
        if self.cut:
            self.cut -= 1
            body = body[:-3]
        seen.answer = Answer(outcome=outcome, body=body)
        return RunResult(message.attempt_id, seen.answer)


def _describe(seen: SeenAttempt) -> KeyState:
    if seen.answer is None:
        return KeyState(KeyStatus.RUNNING)
    return KeyState(KeyStatus.DONE, seen.answer)


class FakeLink:
    """A connection whose messages can be lost, delayed or answered by a foreign result.

    :ivar faults: consumed one by one by the next ``RunRequest`` or ``ForwardRequest`` messages
    """

    def __init__(self, peer: Hello, handle: Any, clock: ManualClock) -> None:
        self.peer = peer
        self.is_open = True
        self.faults: list[str] = []
        self.pause_s = 0.0
        self.sent: list[AnyMessage] = []
        self._handle = handle
        self._clock = clock
        self._tasks: set[asyncio.Future[Any]] = set()

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Deliver a message with the next fault and return the reply."""
        if not self.is_open:
            raise LinkNotSentError("closed")
        is_run = not isinstance(message, QueryKey | QueryAttempt)
        fault = self.faults.pop(0) if self.faults and is_run else ""
        if is_run and self.pause_s:
            pause_s, self.pause_s = self.pause_s, 0.0
            await self._clock.sleep(timedelta(seconds=pause_s))
        self.sent.append(message)
        if fault == "request lost":
            raise LinkError("request lost")
        reply = start_task(self._deliver(message, fault))
        timer = asyncio.ensure_future(self._clock.sleep(timeout))
        self._tasks |= {reply, timer}
        # The peer goes on with a delivered message when the sender dies, so it is not cancelled.
        await asyncio.wait({reply, timer}, return_when=asyncio.FIRST_COMPLETED)
        if not reply.done():
            raise LinkError("no reply in time")
        result: AnyMessage = reply.result()
        if fault == "foreign answer":
            answer = Answer(outcome=Outcome.COMPLETED, body=b'{"key":"foreign"}')
            return RunResult(AttemptId("foreign"), answer)
        return result

    async def _deliver(self, message: AnyMessage, fault: str) -> AnyMessage:
        if fault == "reply lost at once":
            self._tasks.add(start_task(self._handle(message)))
            raise LinkError("connection went silent")
        if fault == "request late":
            self._tasks.add(start_task(self._deliver_late(message)))
            raise LinkError("connection went silent")
        reply = await self._handle(message)
        if fault == "reply lost":
            raise LinkError("reply lost")
        return cast(AnyMessage, reply)

    async def _deliver_late(self, message: AnyMessage) -> None:
        await self._clock.sleep(timedelta(seconds=5))
        await self._handle(message)


class World:
    """Entries of one or two regions, executors and a store."""

    def __init__(self, clock: ManualClock, *, config: Config | None = None) -> None:
        self.clock = clock
        self.store = FakeStore(clock)
        self.config = config or Config()
        self.agent_by_id: dict[str, FakeAgent] = {}
        self.front_by_id: dict[str, RequestFront] = {}
        self.directory_by_id: dict[str, Directory] = {}
        self.region_by_id: dict[str, str] = {}
        self.tasks: set[asyncio.Task[Answer]] = set()

    def add_entry(self, name: str, region: str = "north") -> None:
        """Add an entry."""
        directory = Directory()
        self.directory_by_id[name] = directory
        self.region_by_id[name] = region
        self.front_by_id[name] = RequestFront(
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
        """Connect an agent to the entries of its region; replaces older connections."""
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

    def connect_entries(self, one: str, other: str) -> None:
        """Connect two entries with each other."""
        for here, there in ((one, other), (other, one)):
            info = EntryInfo(
                entry_id=EntryId(there),
                region=RegionId(self.region_by_id[there]),
                zone=ZoneId("a"),
                peer_address="",
                http_address="",
            )
            hello = _hello(there, info.region, Incarnation(f"{there}.1"))
            link = FakeLink(hello, self.front_by_id[there].serve, self.clock)
            peer = Peer(info=info, link=cast(PeerLink, link))
            self.directory_by_id[here].peers_by_id[info.entry_id] = peer

    def exchange_digests(self) -> None:
        """Send the digests of all entries."""
        for directory in self.directory_by_id.values():
            for entry_id, peer in directory.peers_by_id.items():
                loads = self.front_by_id[entry_id].loads()
                peer.digest = Digest(self.config.generation, loads, (), False)

    def link(self, entry: str, target: str) -> FakeLink:
        """Return an entry's connection to an executor's agent."""
        directory = self.directory_by_id[entry]
        return cast(FakeLink, directory.targets_by_id[TargetId(target)].link)

    def send(self, entry: str, request: Request) -> "asyncio.Task[Answer]":
        """Start a request through an entry."""
        task = asyncio.ensure_future(self.front_by_id[entry].run(request))
        self.tasks.add(task)
        return task

    def runs(self, key: str) -> int:
        """Return how often the executors ran a key, by their own records."""
        return sum(a.record.count(RequestKey(key)) for a in self.agent_by_id.values())


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


def run_world(work: Coroutine[Any, Any, T]) -> T:
    """Run a test's coroutine on a new event loop."""
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
