"""Connections between peers: websockets with CBOR frames and application heartbeats."""

import asyncio
import itertools
import logging
from collections.abc import Awaitable, Callable, Coroutine
from datetime import timedelta
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from chicorycrank.adapters.codec import (
    MAX_FRAME_BYTES,
    CodecError,
    Frame,
    FrameKind,
    decode,
    encode,
)
from chicorycrank.model.ids import Incarnation, RegionId, ZoneId
from chicorycrank.model.messages import (
    PROTOCOL_VERSION,
    AnyMessage,
    Goodbye,
    Heartbeat,
    Hello,
    Refused,
    Role,
    Welcome,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError, LinkNotSentError

HANDSHAKE_TIMEOUT = timedelta(seconds=3)
SEND_TIMEOUT = timedelta(seconds=3)
CLOSE_TIMEOUT_S = 1.0
MISSED_HEARTBEATS = 3
MAX_CONCURRENT_REQUESTS = 1024

logger = logging.getLogger("absl")


class PeerLink:
    """A connection to a peer after the handshake.

    :param peer: the peer's :class:`Hello`
    :param handler: answers requests and takes one-way messages
    :param heartbeat: longest idle time before this side sends a heartbeat
    """

    def __init__(
        self,
        connection: Connection,
        peer: Hello,
        handler: Handler,
        clock: Clock,
        heartbeat: timedelta,
    ) -> None:
        self.peer = peer
        self._connection = connection
        self._handler = handler
        self._clock = clock
        self._heartbeat = heartbeat
        self._correlations = itertools.count(1)
        self._waiting_by_correlation: dict[int, asyncio.Future[AnyMessage]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._open = True
        self._closed = asyncio.Event()
        self._last_received = clock.monotonic()
        self._last_sent = clock.monotonic()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_refused = 0

    @property
    def is_open(self) -> bool:
        """Whether the connection is usable."""
        return self._open

    async def send(self, message: AnyMessage) -> None:
        """Send a message that needs no reply."""
        await self._send(Frame(FrameKind.ONE_WAY, 0, message))

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Send a message and wait for its reply."""
        if not self._open:
            raise LinkNotSentError(f"connection to {self.peer.peer_id} is closed")
        correlation = next(self._correlations)
        future: asyncio.Future[AnyMessage] = asyncio.get_running_loop().create_future()
        self._waiting_by_correlation[correlation] = future
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._send(Frame(FrameKind.REQUEST, correlation, message))
                return await future
        except TimeoutError as error:
            raise LinkError(f"no reply from {self.peer.peer_id} within {timeout}") from error
        finally:
            self._waiting_by_correlation.pop(correlation, None)

    async def close(self, reason: str) -> None:
        """Close the connection after a :class:`Goodbye`."""
        if self._open:
            try:
                await self._send(Frame(FrameKind.ONE_WAY, 0, Goodbye(reason)))
            except LinkError:
                logger.debug("peer=%s goodbye not sent", self.peer.peer_id)
        await self._shut(reason)

    async def wait_replied(self, limit: timedelta) -> None:
        """Wait until every request received so far is answered, at most ``limit``."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit.total_seconds())

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await self._closed.wait()

    async def run(self) -> None:
        """Serve the connection until it closes."""
        monitor = asyncio.create_task(self._monitor())
        reason = "connection closed by peer"
        try:
            async for data in self._connection:
                self._last_received = self._clock.monotonic()
                if not await self._receive(data):
                    reason = "peer said goodbye or sent a malformed frame"
                    break
        except ConnectionClosed as error:
            reason = str(error)
        finally:
            monitor.cancel()
            await self._shut(reason)

    async def _receive(self, data: str | bytes) -> bool:
        self.bytes_received += len(data)
        try:
            if isinstance(data, str):
                raise CodecError("text frame")
            frame = decode(data, Frame)
        except CodecError as error:
            self.frames_refused += 1
            logger.warning("event=frame_refused peer=%s error=%s", self.peer.peer_id, error)
            return False
        if isinstance(frame.message, Goodbye):
            return False
        self._dispatch(frame)
        return True

    def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame.message, Heartbeat):
            return
        if frame.kind is FrameKind.REPLY:
            future = self._waiting_by_correlation.get(frame.correlation)
            if future is not None and not future.done():
                future.set_result(frame.message)
            return
        if len(self._tasks) >= MAX_CONCURRENT_REQUESTS:
            logger.warning("event=peer_overload peer=%s", self.peer.peer_id)
            self._spawn(self._reply(frame, Refused("overloaded")))
            return
        self._spawn(self._handle(frame))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, frame: Frame) -> None:
        reply = await self._handler(self, frame.message)
        if reply is not None:
            await self._reply(frame, reply)

    async def _reply(self, frame: Frame, message: AnyMessage) -> None:
        if frame.kind is not FrameKind.REQUEST:
            return
        try:
            await self._send(Frame(FrameKind.REPLY, frame.correlation, message))
        except LinkError as error:
            logger.info("event=reply_lost peer=%s error=%s", self.peer.peer_id, error)

    async def _send(self, frame: Frame) -> None:
        if not self._open:
            raise LinkNotSentError(f"connection to {self.peer.peer_id} is closed")
        data = encode(frame)
        if len(data) > MAX_FRAME_BYTES:
            raise LinkNotSentError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
        try:
            async with asyncio.timeout(SEND_TIMEOUT.total_seconds()):
                await self._connection.send(data)
        except (ConnectionClosed, TimeoutError) as error:
            raise LinkError(f"sending to {self.peer.peer_id} failed: {error}") from error
        self._last_sent = self._clock.monotonic()
        self.bytes_sent += len(data)

    async def _monitor(self) -> None:
        """Send heartbeats and close the connection when the peer is silent."""
        interval = self._heartbeat.total_seconds()
        while self._open:
            await self._clock.sleep(self._heartbeat / 4)
            now = self._clock.monotonic()
            if now - self._last_received > interval * MISSED_HEARTBEATS:
                logger.warning("event=peer_silent peer=%s", self.peer.peer_id)
                self._connection.transport.abort()
                await self._shut("peer silent")
                return
            if now - self._last_sent >= interval:
                try:
                    await self.send(Heartbeat())
                except LinkError:
                    return

    async def _shut(self, reason: str) -> None:
        if not self._open:
            return
        self._open = False
        self._closed.set()
        for future in self._waiting_by_correlation.values():
            if not future.done():
                future.set_exception(LinkError(f"{self.peer.peer_id}: {reason}"))
        await self._connection.close()


Accept = Callable[[Hello], Awaitable[Welcome | Goodbye]]
OnLink = Callable[[PeerLink], Awaitable[None]]


def check_hello(hello: Hello) -> str | None:
    """Return why a handshake is refused, or nothing."""
    if hello.version != PROTOCOL_VERSION:
        return f"version {hello.version} is not {PROTOCOL_VERSION}"
    if not hello.peer_id or not hello.incarnation:
        return "peer id or incarnation is empty"
    return None


async def _read_message(connection: Connection) -> AnyMessage:
    async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
        data = await connection.recv()
    if isinstance(data, str):
        raise CodecError("text frame")
    return decode(data, Frame).message


async def _write_message(connection: Connection, message: AnyMessage) -> None:
    async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
        await connection.send(encode(Frame(FrameKind.ONE_WAY, 0, message)))


async def listen(
    host: str,
    port: int,
    *,
    accept: Accept,
    on_link: OnLink,
    handler: Handler,
    clock: Clock,
    heartbeat: Callable[[Hello], timedelta],
) -> Server:
    """Accept peers; each connection is served by one task until it closes.

    :param accept: decides on a peer's hello
    :param on_link: called with the open link before its messages are handled
    """

    async def serve_connection(connection: ServerConnection) -> None:
        try:
            hello = await _read_message(connection)
            if not isinstance(hello, Hello):
                raise CodecError("first message is no Hello")
            problem = check_hello(hello)
            answer = Goodbye(problem) if problem else await accept(hello)
            await _write_message(connection, answer)
        except (CodecError, ConnectionClosed, TimeoutError) as error:
            logger.warning("event=handshake_refused error=%s", error)
            return
        if isinstance(answer, Goodbye):
            logger.warning("event=handshake_refused peer=%s error=%s", hello.peer_id, answer.reason)
            return
        link = PeerLink(connection, hello, handler, clock, heartbeat(hello))
        await on_link(link)
        await link.run()

    return await serve(
        serve_connection,
        host,
        port,
        max_size=MAX_FRAME_BYTES,
        compression=None,
        ping_interval=None,
        close_timeout=CLOSE_TIMEOUT_S,
        server_header=None,
    )


async def dial(
    address: str,
    *,
    hello: Hello,
    handler: Handler,
    clock: Clock,
    heartbeat: timedelta,
) -> tuple[PeerLink, Welcome]:
    """Open a connection and shake hands; the caller runs the link.

    :param address: ``host:port`` of the peer
    :raises LinkNotSentError: the peer is unreachable or refused the handshake
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT.total_seconds()):
            connection = await connect(
                f"ws://{address}/",
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                close_timeout=CLOSE_TIMEOUT_S,
                proxy=None,
                user_agent_header=None,
            )
    except (OSError, TimeoutError, WebSocketException) as error:
        raise LinkNotSentError(f"cannot connect to {address}: {error}") from error
    try:
        await _write_message(connection, hello)
        reply = await _read_message(connection)
    except (ConnectionClosed, TimeoutError, CodecError) as error:
        await connection.close()
        raise LinkNotSentError(f"handshake with {address} failed: {error}") from error
    if not isinstance(reply, Welcome):
        await connection.close()
        reason = reply.reason if isinstance(reply, Goodbye) else "unexpected reply"
        raise LinkNotSentError(f"{address} refused the handshake: {reason}")
    entry = reply.entry
    peer = Hello(
        version=hello.version,
        role=Role.ENTRY,
        peer_id=entry.entry_id,
        incarnation=Incarnation(reply.incarnation),
        region=RegionId(entry.region),
        zone=ZoneId(entry.zone),
        address=entry.peer_address,
    )
    return PeerLink(connection, peer, handler, clock, heartbeat), reply
