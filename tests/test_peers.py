"""Connections between peers on the loopback interface, with raw WebSocket clients."""

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
from chicorycrank.ports.links import Link, LinkError, MessageNotSentError

scenarios("features/peers.feature")

HOST = "127.0.0.1"
HEARTBEAT = timedelta(seconds=0.2)
TIMEOUT = timedelta(seconds=5)
STEP_TIMEOUT_S = 10.0
CORRELATION = 7
NEXT_CORRELATION = 8
# Connections of this peer have the heartbeat interval ``TIMEOUT`` instead of ``HEARTBEAT``.
LONG_HEARTBEAT_PEER_ID = "long-heartbeat"
# The handler replies to a QueryState for this peer id with 1 MB of text.
LARGE_STATE_PEER_ID = "large"
# The handler fails for a QueryState for any other peer id.
FAILING_STATE_PEER_ID = "x"


class World:
    """Context of the scenario steps: a listening peer and an event loop."""

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
        entry_info = EntryInfo(
            entry_id=EntryId("entry-0"),
            region=RegionId("north"),
            zone=ZoneId("a"),
            peer_address="",
            http_address="",
        )

        async def accept(hello: Hello) -> Welcome:
            return Welcome(entry_info, Incarnation("i"), ())

        async def on_link(link: PeerLink) -> None:
            self.links.append(link)

        async def handle(link: Link, message: AnyMessage) -> AnyMessage | None:
            if isinstance(message, QueryState) and message.peer_id == LARGE_STATE_PEER_ID:
                return Text("x" * 1_000_000)
            if isinstance(message, QueryState):
                raise ValueError("failure of the handler")
            return Ok()

        self.server = await listen(
            HOST,
            0,
            accept=accept,
            on_link=on_link,
            handler=handle,
            clock=SystemClock(),
            heartbeat=lambda hello: (
                HEARTBEAT if hello.peer_id != LONG_HEARTBEAT_PEER_ID else TIMEOUT
            ),
            counters=self.counters,
        )
        self.port = next(iter(self.server.sockets)).getsockname()[1]

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine; fail the test if it takes longer than ``STEP_TIMEOUT_S``."""
        try:
            return self.loop.run_until_complete(asyncio.wait_for(coroutine, STEP_TIMEOUT_S))
        except TimeoutError:
            pytest.fail(
                f"step not complete within {STEP_TIMEOUT_S:g} s; counters: {dict(self.counters)}"
            )

    def close(self) -> None:
        """Stop the server and cancel all tasks, including those of unresponsive connections."""
        self.server.close()
        with suppress(TimeoutError):
            self.loop.run_until_complete(asyncio.wait_for(self.server.wait_closed(), 2.0))
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(asyncio.wait(tasks, timeout=2.0))
        self.loop.close()

    async def open(self, *frames: str | bytes) -> ClientConnection:
        """Open a raw WebSocket connection and send frames."""
        connection = await connect(
            f"ws://{HOST}:{self.port}/", max_size=None, ping_interval=None, close_timeout=0.1
        )
        for frame in frames:
            await connection.send(frame)
        return connection

    async def read_to_end(self, connection: ClientConnection) -> None:
        """Receive frames until the server closes the connection."""
        try:
            while True:
                await connection.recv()
        except ConnectionClosed:
            self.is_closed = True

    async def request(self, connection: ClientConnection, frame: bytes) -> AnyMessage:
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
    return encode_value(Frame(kind, CORRELATION if kind is FrameKind.REQUEST else 0, message))


# Names in the examples that are missing here, such as "nothing for 4 s", send no frame.
FRAME_BY_NAME: dict[str, str | bytes] = {
    "a text frame": "hello",
    "truncated CBOR": frame(hello())[:-3],
    "an oversized frame": bytes(MAX_FRAME_BYTES + 1),
    "a Heartbeat": frame(Heartbeat()),
    "a second Hello": frame(hello()),
    "a wrong version": frame(hello(version=99)),
    "an empty peer id": frame(hello("")),
    "an unknown kind": cbor2.dumps([FrameKind.REQUEST.value, CORRELATION, ["BrandNew", 1]]),
    "a known kind, wrong fields": cbor2.dumps(
        [FrameKind.REQUEST.value, CORRELATION, ["ConfigRequest", "x"]]
    ),
    "a request whose handler fails": frame(QueryState(FAILING_STATE_PEER_ID), FrameKind.REQUEST),
}


@bdd_given("a listening peer")
def listening_peer(world: World) -> None:
    assert world.port


@when(parsers.parse("a connection sends {first} as first message"))
def send_first_message(world: World, first: str) -> None:
    async def run_step() -> None:
        frames = [FRAME_BY_NAME[first]] if first in FRAME_BY_NAME else []
        await world.read_to_end(await world.open(*frames))

    world.run(run_step())


@when(parsers.parse("an established connection sends {name}"))
def send_after_handshake(world: World, name: str) -> None:
    async def run_step() -> None:
        frames = [FRAME_BY_NAME[name]] if name in FRAME_BY_NAME else []
        connection = await world.open(frame(hello()))
        await connection.recv()
        for data in frames:
            await connection.send(data)
        await world.read_to_end(connection)

    world.run(run_step())


@when(parsers.parse("an established connection requests {name}"))
def send_request(world: World, name: str) -> None:
    async def run_step() -> None:
        world.connection = await world.open(frame(hello(LONG_HEARTBEAT_PEER_ID)))
        data = FRAME_BY_NAME[name]
        assert isinstance(data, bytes)
        world.reply = await world.request(world.connection, data)

    world.run(run_step())


@when("an established connection does not read 60 MB of replies to its requests")
def request_without_reading(world: World) -> None:
    async def run_step() -> None:
        request = frame(QueryState(LARGE_STATE_PEER_ID), FrameKind.REQUEST)
        connection = await world.open(frame(hello(LONG_HEARTBEAT_PEER_ID)))
        await connection.recv()
        connection.transport.pause_reading()
        for _ in range(60):
            await connection.send(request)
        await world.links[-1].wait_closed()
        world.is_closed = True

    world.run(run_step())


@when(
    parsers.parse(
        "a peer connects twice, the second time with {incarnation} while the first is {state}"
    )
)
def connect_twice(world: World, incarnation: str, state: str) -> None:
    async def run_step() -> None:
        first = await world.open(frame(hello(LONG_HEARTBEAT_PEER_ID)))
        await first.recv()
        if state == "closed":
            await first.close()
            await world.links[-1].wait_closed()
        second = "1" if incarnation == "the same one" else "2"
        connection = await world.open(frame(hello(LONG_HEARTBEAT_PEER_ID, incarnation=second)))
        reply = decode_frame(await connection.recv()).message
        world.result = "accepted" if isinstance(reply, Welcome) else "refused"

    world.run(run_step())


@when(parsers.parse("the reply to the listening peer's request is sent {reply_pattern}"))
def answer_request(world: World, reply_pattern: str) -> None:
    def reply(text: str, correlation: int) -> bytes:
        return encode_value(Frame(FrameKind.REPLY, correlation, Text(text)))

    async def request(link: PeerLink) -> None:
        limit = TIMEOUT if reply_pattern == "twice" else timedelta(seconds=0.05)
        try:
            reply_message = await link.request(QueryState("x"), timeout=limit)
        except LinkError:
            world.result = "no reply"
        else:
            assert isinstance(reply_message, Text)
            world.result = reply_message.text

    async def run_step() -> None:
        connection = await world.open(frame(hello(LONG_HEARTBEAT_PEER_ID)))
        await connection.recv()
        pending = asyncio.ensure_future(request(world.links[-1]))
        correlation = decode_frame(await connection.recv()).correlation
        if reply_pattern == "twice":
            await connection.send(reply("first", correlation))
            await connection.send(reply("second", correlation))
        elif reply_pattern == "after its timeout":
            await pending
            await connection.send(reply("late", correlation))
        else:
            await connection.send(reply("unrelated", correlation + 1))
        await pending
        # Frames are processed in order, so this reply arrives after the other one was dropped.
        await world.request(connection, frame(ConfigRequest(Generation(0)), FrameKind.REQUEST))

    world.run(run_step())


@then(parsers.parse('the request\'s result is "{result}" and "reply_dropped" is counted'))
def check_result(world: World, result: str) -> None:
    assert world.result == result
    assert world.counters == {"reply_dropped": 1}


@then(parsers.parse('it is closed and "{event}" is counted'))
def check_closed_and_counted(world: World, event: str) -> None:
    for _ in range(500):  # The server counts the event when it has closed the connection.
        if world.counters[event]:
            break
        world.run(asyncio.sleep(0.01))
    assert world.is_closed and world.counters[event] == 1, world.counters


@then("a correct peer is still served")
def check_other_peer_served(world: World) -> None:
    world.run(exchange_request(world, "other"))


async def exchange_request(world: World, peer_id: str) -> None:
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
def check_same_connection_served(world: World) -> None:
    assert world.connection is not None
    request = encode_value(Frame(FrameKind.REQUEST, NEXT_CORRELATION, ConfigRequest(Generation(0))))
    assert world.run(world.request(world.connection, request)) == Ok()


@then(parsers.parse("the second connection is {result}"))
def check_second_connection(world: World, result: str) -> None:
    assert world.result == result


nested = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=12,
)
valid_frame = st.sampled_from([frame(hello()), frame(QueryState("x"), FrameKind.REQUEST)])
truncated_frame = st.builds(
    lambda data, position: data[: position % len(data)], valid_frame, st.integers(min_value=0)
)
frame_with_changed_byte = st.builds(
    lambda data, position, byte: (
        data[: position % len(data)] + bytes([byte]) + data[position % len(data) + 1 :]
    ),
    valid_frame,
    st.integers(min_value=0),
    st.integers(min_value=0, max_value=255),
)
arbitrary_bytes = (
    st.binary(max_size=300) | nested.map(cbor2.dumps) | truncated_frame | frame_with_changed_byte
)


@settings(max_examples=500, deadline=None)
@given(data=arbitrary_bytes)
def test_decoder_raises_only_codec_errors(data: bytes) -> None:
    """Guards against input for which the decoder raises an error that no caller handles."""
    try:
        decode_frame(data)
    except CodecError:
        return


@settings(
    max_examples=40, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture]
)
@given(first=arbitrary_bytes, second=arbitrary_bytes)
def test_handshake_survives_arbitrary_frames(world: World, first: bytes, second: bytes) -> None:
    """Guards against a first or second frame that stops the listening peer from serving others."""

    async def run_step() -> None:
        for frames in ([first], [frame(hello("fuzz")), second]):
            connection = await world.open()
            try:
                for data in frames:
                    await connection.send(data)
            except ConnectionClosed:
                continue
            finally:
                await connection.close()
        await exchange_request(world, "other")

    world.run(run_step())


def test_dial_fails_if_the_listener_is_unresponsive(world: World) -> None:
    """Guards against waiting for ever for the Welcome of an unresponsive listener."""

    async def run_step() -> None:
        server = await asyncio.start_server(lambda r, w: None, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        with pytest.raises(MessageNotSentError):
            await dial(
                f"{HOST}:{port}",
                hello=hello(),
                handler=lambda link, message: asyncio.sleep(0),
                clock=SystemClock(),
                heartbeat=HEARTBEAT,
            )
        server.close()

    world.run(run_step())
