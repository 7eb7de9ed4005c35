"""A connection to a peer: CBOR frames on a websocket and application heartbeats."""

import asyncio
import itertools
import logging
from collections import Counter
from collections.abc import Coroutine, Iterable
from datetime import timedelta
from typing import Any

from websockets.asyncio.connection import Connection
from websockets.exceptions import ConnectionClosed

from chicorycrank.adapters.codec import (
    MAX_FRAME_BYTES,
    CodecError,
    Frame,
    FrameKind,
    MessageError,
    decode_frame,
    encode,
)
from chicorycrank.model.messages import (
    AnyMessage,
    Goodbye,
    Heartbeat,
    Hello,
    Refused,
    Welcome,
)
from chicorycrank.ports.clock import Clock
from chicorycrank.ports.links import Handler, LinkError, LinkNotSentError

SEND_TIMEOUT = timedelta(seconds=3)
MISSED_HEARTBEATS = 3
MAX_CONCURRENT_REQUESTS = 1024
MIN_MONITOR_PAUSE_S = 0.02
OVERSIZED_CODE = 1009
TRAFFIC_COUNTERS = ("frames_sent", "frames_received", "bytes_sent", "bytes_received")

logger = logging.getLogger("absl")


def sum_traffic(links: "Iterable[PeerLink]") -> dict[str, int]:
    """Return the traffic of links by counter; bytes are those of frames, without headers."""
    links = list(links)
    return {name: sum(getattr(link, name) for link in links) for name in TRAFFIC_COUNTERS}


class PeerLink:
    """A connection to a peer after the handshake.

    :param peer: the peer's :class:`Hello`
    :param handler: answers requests and takes one-way messages
    :param heartbeat: longest idle time before this side sends a heartbeat
    :param counters: counts by event what was refused; shared by the links of a process
    """

    def __init__(
        self,
        connection: Connection,
        peer: Hello,
        handler: Handler,
        clock: Clock,
        heartbeat: timedelta,
        counters: Counter[str] | None = None,
    ) -> None:
        self.peer = peer
        self.counters = Counter() if counters is None else counters
        self._connection = connection
        # Nothing reads the headers of the opening handshake; they take over 2 kB a connection.
        for part in (connection.request, connection.response):
            if part is not None:
                part.headers.clear()
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
        self.frames_sent = 0
        self.frames_received = 0

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
        await self._say_goodbye(reason)
        await self._shut(reason)

    async def _say_goodbye(self, reason: str) -> None:
        if self._open:
            try:
                await self._send(Frame(FrameKind.ONE_WAY, 0, Goodbye(reason)))
            except LinkError:
                logger.debug("peer=%s goodbye not sent", self.peer.peer_id)

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
                problem = await self._receive(data)
                if problem is not None:
                    reason = problem
                    break
        except ConnectionClosed as error:
            reason = str(error)
            if error.sent is not None and error.sent.code == OVERSIZED_CODE:
                self._count("frame_oversized", reason)
        finally:
            monitor.cancel()
            await self._shut(reason)

    async def _receive(self, data: str | bytes) -> str | None:
        """Take a frame; return why the connection must close, or nothing.

        A malformed frame closes it, because nothing after it can be trusted. A message of an
        unknown kind is refused and the connection lives, so that versions can be mixed.
        """
        self.bytes_received += len(data)
        self.frames_received += 1
        try:
            frame = decode_frame(data)
        except MessageError as error:
            self._count("message_refused", str(error))
            await self._refuse(error)
            return None
        except CodecError as error:
            self._count("frame_refused", str(error))
            await self._say_goodbye("malformed frame")
            return "malformed frame"
        if isinstance(frame.message, Goodbye):
            return f"peer said goodbye: {frame.message.reason}"
        if isinstance(frame.message, Hello | Welcome):
            self._count("handshake_repeated", "a second Hello or Welcome")
            await self._say_goodbye("second handshake")
            return "second handshake"
        await self._dispatch(frame)
        return None

    async def _refuse(self, error: MessageError) -> None:
        envelope = error.envelope
        if envelope.kind is FrameKind.REQUEST:
            frame = Frame(FrameKind.REQUEST, envelope.correlation, Heartbeat())
            await self._reply(frame, Refused("unknown_message", str(error)[:200]))
        elif envelope.kind is FrameKind.REPLY:
            future = self._waiting_by_correlation.get(envelope.correlation)
            if future is not None and not future.done():
                future.set_exception(LinkError(f"malformed reply: {error}"))

    async def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame.message, Heartbeat):
            return
        if frame.kind is FrameKind.REPLY:
            future = self._waiting_by_correlation.get(frame.correlation)
            if future is not None and not future.done():
                future.set_result(frame.message)
            else:
                # Late: its request gave up. Duplicated: its request was answered before.
                self._count("reply_dropped", f"no request waits for {frame.correlation}")
            return
        if len(self._tasks) >= MAX_CONCURRENT_REQUESTS:
            self._count("overloaded", type(frame.message).__name__)
            # Replied in the reading task, so that a flood is slowed down by its own replies.
            await self._reply(frame, Refused("overloaded"))
            return
        self._spawn(self._handle(frame))

    def _count(self, event: str, detail: str) -> None:
        self.counters[event] += 1
        logger.warning("event=%s peer=%s error=%s", event, self.peer.peer_id, detail)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, frame: Frame) -> None:
        try:
            reply = await self._handler(self, frame.message)
        except Exception:
            name = type(frame.message).__name__
            self.counters["handler_failed"] += 1
            logger.exception("event=handler_failed peer=%s kind=%s", self.peer.peer_id, name)
            reply = Refused("internal_error", name)
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
        except ConnectionClosed as error:
            raise LinkError(f"sending to {self.peer.peer_id} failed: {error}") from error
        except TimeoutError as error:
            # Each further frame would add to the buffer of a peer that does not read.
            if self._open:
                self._count("peer_stalled", f"{len(data)} bytes not taken within {SEND_TIMEOUT}")
                self._connection.transport.abort()
                await self._shut("peer does not read")
            raise LinkError(f"{self.peer.peer_id} does not read") from error
        self._last_sent = self._clock.monotonic()
        self.frames_sent += 1
        self.bytes_sent += len(data)

    async def _monitor(self) -> None:
        """Send heartbeats and close the connection when the peer is silent."""
        interval = self._heartbeat.total_seconds()
        while self._open:
            now = self._clock.monotonic()
            if now - self._last_received >= interval * MISSED_HEARTBEATS:
                self._count(
                    "peer_silent", f"nothing received for {now - self._last_received:.1f} s"
                )
                self._connection.transport.abort()
                await self._shut("peer silent")
                return
            if now - self._last_sent >= interval:
                try:
                    await self.send(Heartbeat())
                except LinkError:
                    return
            due = min(
                self._last_sent + interval, self._last_received + MISSED_HEARTBEATS * interval
            )
            await self._clock.sleep(timedelta(seconds=max(due - now, MIN_MONITOR_PAUSE_S)))

    async def _shut(self, reason: str) -> None:
        if not self._open:
            return
        self._open = False
        self._closed.set()
        for future in self._waiting_by_correlation.values():
            if not future.done():
                future.set_exception(LinkError(f"{self.peer.peer_id}: {reason}"))
        await self._connection.close()
