"""Connections between peers on loopback, against raw websocket clients."""

import asyncio
from collections import Counter
from collections.abc import Coroutine, Iterator
from contextlib import suppress
from datetime import timedelta
from typing import Any

import cbor2
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pytest_bdd import given as bdd_given
from pytest_bdd import parsers, scenarios, then, when
from websockets.asyncio.client import ClientConnection, connect
from websockets.exceptions import ConnectionClosed

from chicorycrank.adapters.clock import SystemClock
from chicorycrank.adapters.codec import MAX_FRAME_BYTES, CodecError, Frame, FrameKind, decode_frame
from chicorycrank.adapters.codec import encode as encode_value
from chicorycrank.adapters.peers import PeerLink, dial, listen
from chicorycrank.model.ids import EntryId, Generation, Incarnation, RegionId, ZoneId
from chicorycrank.model.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    ConfigRequest,
    Heartbeat,
    Hello,
    Ok,
    QueryState,
    Refused,
    Role,
    Text,
    Welcome,
)
from chicorycrank.model.targets import EntryInfo
from chicorycrank.ports.links import Link, LinkError, LinkNotSentError

scenarios("features/peers.feature")

HOST = "127.0.0.1"
HEARTBEAT = timedelta(seconds=0.2)
TIMEOUT = timedelta(seconds=5)
STEP_LIMIT_S = 10.0


class World:
    """A listening peer and an event loop for the steps."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.counters: Counter[str] = Counter()
        self.is_closed = False
        self.connection: ClientConnection | None = None
        self.reply: AnyMessage | None = None
        self.result = ""
        self.links: list[PeerLink] = []
        self.run(self._listen())

    async def _listen(self) -> None:
        info = EntryInfo(
            entry_id=EntryId("entry-0"),
            region=RegionId("north"),
            zone=ZoneId("a"),
            peer_address="",
            http_address="",
        )

        async def accept(hello: Hello) -> Welcome:
            return Welcome(info, Incarnation("i"), ())

        async def on_link(link: PeerLink) -> None:
            self.links.append(link)

        async def handle(link: Link, message: AnyMessage) -> AnyMessage | None:
            if isinstance(message, QueryState) and message.peer_id == "large":
                return Text("x" * 1_000_000)
            if isinstance(message, QueryState):
                raise ValueError("a fault of the handler")
            return Ok()

        self.server = await listen(
            HOST,
            0,
            accept=accept,
            on_link=on_link,
            handler=handle,
            clock=SystemClock(),
            heartbeat=lambda hello: HEARTBEAT if hello.peer_id != "patient" else TIMEOUT,
            counters=self.counters,
        )
        self.port = next(iter(self.server.sockets)).getsockname()[1]

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine; the test fails if it takes longer than any correct step."""
        try:
            return self.loop.run_until_complete(asyncio.wait_for(work, STEP_LIMIT_S))
        except TimeoutError:
            pytest.fail(f"not done within {STEP_LIMIT_S:g} s; counted: {dict(self.counters)}")

    def close(self) -> None:
        """End the server and all tasks, also those of a connection that hangs."""
        self.server.close()
        with suppress(TimeoutError):
            self.loop.run_until_complete(asyncio.wait_for(self.server.wait_closed(), 2.0))
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks, timeout=2.0))
        self.loop.close()

    async def open(self, *first: str | bytes) -> ClientConnection:
        """Open a raw connection and send frames."""
        connection = await connect(
            f"ws://{HOST}:{self.port}/", max_size=None, ping_interval=None, close_timeout=0.1
        )
        for frame in first:
            await connection.send(frame)
        return connection

    async def read_to_end(self, connection: ClientConnection) -> None:
        """Read until the server closes the connection."""
        try:
            while True:
                await connection.recv()
        except ConnectionClosed:
            self.is_closed = True

    async def ask(self, connection: ClientConnection, frame: bytes) -> AnyMessage:
        """Send a request and return its reply."""
        await connection.send(frame)
        while True:
            reply = decode_frame(await connection.recv())
            if reply.kind is FrameKind.REPLY:
                return reply.message


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.close()


def hello(peer_id: str = "peer", *, incarnation: str = "1", version: int = 1) -> Hello:
    assert PROTOCOL_VERSION == 1
    return Hello(
        version=version,
        role=Role.AGENT,
        peer_id=peer_id,
        incarnation=Incarnation(incarnation),
        region=RegionId("north"),
        zone=ZoneId("a"),
        address="",
    )


def frame(message: AnyMessage, kind: FrameKind = FrameKind.ONE_WAY) -> bytes:
    return encode_value(Frame(kind, 7 if kind is FrameKind.REQUEST else 0, message))


FRAME_BY_NAME: dict[str, str | bytes] = {
    "a text frame": "hello",
    "truncated CBOR": frame(hello())[:-3],
    "an oversized frame": bytes(MAX_FRAME_BYTES + 1),
    "a Heartbeat": frame(Heartbeat()),
    "a second Hello": frame(hello()),
    "a wrong version": frame(hello(version=99)),
    "an empty peer id": frame(hello("")),
    "an unknown kind": cbor2.dumps([1, 7, ["BrandNew", 1]]),
    "a known kind, wrong fields": cbor2.dumps([1, 7, ["ConfigRequest", "x"]]),
    "what makes the handler fail": frame(QueryState("x"), FrameKind.REQUEST),
}


@bdd_given("a listening peer")
def listening_peer(world: World) -> None:
    assert world.port


@when(parsers.parse("a connection begins with {first}"))
def begin(world: World, first: str) -> None:
    async def act() -> None:
        frames = [FRAME_BY_NAME[first]] if first in FRAME_BY_NAME else []
        await world.read_to_end(await world.open(*frames))

    world.run(act())


@when(parsers.parse("a greeted connection sends {name}"))
def send_later(world: World, name: str) -> None:
    async def act() -> None:
        frames = [FRAME_BY_NAME[name]] if name in FRAME_BY_NAME else []
        connection = await world.open(frame(hello()))
        await connection.recv()
        for data in frames:
            await connection.send(data)
        await world.read_to_end(connection)

    world.run(act())


@when(parsers.parse("a greeted connection requests {name}"))
def send_request(world: World, name: str) -> None:
    async def act() -> None:
        world.connection = await world.open(frame(hello("patient")))
        data = FRAME_BY_NAME[name]
        assert isinstance(data, bytes)
        world.reply = await world.ask(world.connection, data)

    world.run(act())


@when("a greeted connection asks for 60 MB of replies and reads nothing")
def ask_much(world: World) -> None:
    async def act() -> None:
        request = frame(QueryState("large"), FrameKind.REQUEST)
        connection = await world.open(frame(hello("patient")))
        await connection.recv()
        connection.transport.pause_reading()
        for _ in range(60):
            await connection.send(request)
        await world.links[-1].wait_closed()
        world.is_closed = True

    world.run(act())


@when(
    parsers.parse(
        "a peer connects twice, the second time with {incarnation} while the first is {state}"
    )
)
def connect_twice(world: World, incarnation: str, state: str) -> None:
    async def act() -> None:
        first = await world.open(frame(hello("patient")))
        await first.recv()
        if state == "closed":
            await first.close()
            await world.links[-1].wait_closed()
        second = "1" if incarnation == "the same one" else "2"
        connection = await world.open(frame(hello("patient", incarnation=second)))
        reply = decode_frame(await connection.recv()).message
        world.result = "accepted" if isinstance(reply, Welcome) else "refused"

    world.run(act())


@when(parsers.parse("the listening peer's request is answered {how}"))
def answer_request(world: World, how: str) -> None:
    def reply(text: str, correlation: int) -> bytes:
        return encode_value(Frame(FrameKind.REPLY, correlation, Text(text)))

    async def ask(link: PeerLink) -> None:
        limit = TIMEOUT if how == "twice" else timedelta(seconds=0.05)
        try:
            answer = await link.request(QueryState("x"), timeout=limit)
        except LinkError:
            world.result = "no reply"
        else:
            assert isinstance(answer, Text)
            world.result = answer.text

    async def act() -> None:
        connection = await world.open(frame(hello("patient")))
        await connection.recv()
        asked = asyncio.ensure_future(ask(world.links[-1]))
        correlation = decode_frame(await connection.recv()).correlation
        if how == "twice":
            await connection.send(reply("first", correlation))
            await connection.send(reply("second", correlation))
        elif how == "after its limit":
            await asked
            await connection.send(reply("late", correlation))
        else:
            await connection.send(reply("foreign", correlation + 1))
        await asked
        # Frames are read in order, so the reply to this request comes after the dropped one.
        await world.ask(connection, frame(ConfigRequest(Generation(0)), FrameKind.REQUEST))

    world.run(act())


@then(parsers.parse('the request\'s result is "{result}" and "reply_dropped" is counted'))
def check_result(world: World, result: str) -> None:
    assert world.result == result
    assert world.counters == {"reply_dropped": 1}


@then(parsers.parse('it is closed and "{event}" is counted'))
def check_closed(world: World, event: str) -> None:
    for _ in range(500):  # The server counts when its side has closed, too.
        if world.counters[event]:
            break
        world.run(asyncio.sleep(0.01))
    assert world.is_closed and world.counters[event] == 1, world.counters


@then("a correct peer is still served")
def check_served(world: World) -> None:
    world.run(serve_one(world, "other"))


async def serve_one(world: World, peer_id: str) -> None:
    async def ignore(link: Link, message: AnyMessage) -> None:
        return None

    link, _ = await dial(
        f"{HOST}:{world.port}",
        hello=hello(peer_id),
        handler=ignore,
        clock=SystemClock(),
        heartbeat=HEARTBEAT,
    )
    running = asyncio.ensure_future(link.run())
    assert await link.request(ConfigRequest(Generation(0)), timeout=TIMEOUT) == Ok()
    await link.close("done")
    await running


@then(parsers.parse('the reply is "{code}" and "{event}" is counted'))
def check_reply(world: World, code: str, event: str) -> None:
    assert isinstance(world.reply, Refused) and world.reply.code == code
    assert world.counters[event] == 1


@then("the same connection is still served")
def check_same(world: World) -> None:
    assert world.connection is not None
    request = encode_value(Frame(FrameKind.REQUEST, 8, ConfigRequest(Generation(0))))
    assert world.run(world.ask(world.connection, request)) == Ok()


@then(parsers.parse("the second connection is {result}"))
def check_second(world: World, result: str) -> None:
    assert world.result == result


nested = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=12,
)
valid = st.sampled_from([frame(hello()), frame(QueryState("x"), FrameKind.REQUEST)])
cut = st.builds(lambda data, at: data[: at % len(data)], valid, st.integers(min_value=0))
flipped = st.builds(
    lambda data, at, byte: data[: at % len(data)] + bytes([byte]) + data[at % len(data) + 1 :],
    valid,
    st.integers(min_value=0),
    st.integers(min_value=0, max_value=255),
)
anything = st.binary(max_size=300) | nested.map(cbor2.dumps) | cut | flipped


@settings(max_examples=500, deadline=None)
@given(data=anything)
def test_decoder_raises_only_codec_errors(data: bytes) -> None:
    """Guards against bytes that raise an error which no caller expects."""
    try:
        decode_frame(data)
    except CodecError:
        return


@settings(
    max_examples=40, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(first=anything, second=anything)
def test_handshake_survives_anything(world: World, first: bytes, second: bytes) -> None:
    """Guards against a first or second frame that stops the listening peer."""

    async def act() -> None:
        for frames in ([first], [frame(hello("fuzz")), second]):
            connection = await world.open()
            try:
                for data in frames:
                    await connection.send(data)
            except ConnectionClosed:
                continue
            finally:
                await connection.close()
        await serve_one(world, "other")

    world.run(act())


def test_dial_reports_a_silent_listener(world: World) -> None:
    """Guards against a dialler that waits for ever for a Welcome."""

    async def act() -> None:
        server = await asyncio.start_server(lambda r, w: None, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(LinkNotSentError):
            await dial(
                f"{HOST}:{port}",
                hello=hello(),
                handler=lambda link, message: asyncio.sleep(0),
                clock=SystemClock(),
                heartbeat=HEARTBEAT,
            )
        server.close()

    world.run(act())
