"""Connection to a peer: CBOR frames on a WebSocket, with heartbeats between the peers."""

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
from chicorycrank.ports.links import Handler, LinkError, MessageNotSentError

SEND_TIMEOUT = timedelta(seconds=3)
MISSED_HEARTBEATS = 3
MAX_CONCURRENT_REQUESTS = 1024
MIN_MONITOR_DELAY_S = 0.02
CLOSE_CODE_TOO_BIG = 1009
TRAFFIC_COUNTERS = ("frames_sent", "frames_received", "bytes_sent", "bytes_received")

logger = logging.getLogger("absl")


def sum_traffic(links: "Iterable[PeerLink]") -> dict[str, int]:
    """Return the total traffic of links by counter; bytes exclude the WebSocket headers."""
    links = list(links)
    return {name: sum(getattr(link, name) for link in links) for name in TRAFFIC_COUNTERS}


class PeerLink:
    """Connection to a peer after the handshake.

    :param peer: the peer's :class:`Hello`
    :param handler: replies to requests and processes one-way messages
    :param heartbeat: idle time after which this side sends a heartbeat
    :param counters: counts of faults and refused messages, keyed by the logged event; all links of
        a process may share it
    :raises MessageNotSentError: from :meth:`send` and :meth:`request`; nothing was sent
    :raises LinkError: from :meth:`send` and :meth:`request`; the peer may have received the message
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
        # The headers of the opening handshake are unused and take more than 2 kB per connection.
        for handshake_message in (connection.request, connection.response):
            if handshake_message is not None:
                handshake_message.headers.clear()
        self._handler = handler
        self._clock = clock
        self._heartbeat_interval = heartbeat
        self._correlation_ids = itertools.count(1)
        self._pending_reply_by_correlation: dict[int, asyncio.Future[AnyMessage]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_open = True
        self._closed_event = asyncio.Event()
        self._last_received_at = clock.monotonic()
        self._last_sent_at = clock.monotonic()
        self.bytes_sent = 0
        self.bytes_received = 0
        self.frames_sent = 0
        self.frames_received = 0

    @property
    def is_open(self) -> bool:
        """Whether the connection is usable."""
        return self._is_open

    async def send(self, message: AnyMessage) -> None:
        """Send a message that needs no reply."""
        await self._send(Frame(FrameKind.ONE_WAY, 0, message))

    async def request(self, message: AnyMessage, *, timeout: timedelta) -> AnyMessage:
        """Send a message and wait for its reply."""
        if not self._is_open:
            raise MessageNotSentError(f"connection to {self.peer.peer_id} is closed")
        correlation = next(self._correlation_ids)
        future: asyncio.Future[AnyMessage] = asyncio.get_running_loop().create_future()
        self._pending_reply_by_correlation[correlation] = future
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await self._send(Frame(FrameKind.REQUEST, correlation, message))
                return await future
        except TimeoutError as error:
            raise LinkError(f"no reply from {self.peer.peer_id} within {timeout}") from error
        finally:
            self._pending_reply_by_correlation.pop(correlation, None)

    async def close(self, reason: str) -> None:
        """Send a :class:`Goodbye` and close the connection."""
        await self._send_goodbye(reason)
        await self._close_connection(reason)

    async def _send_goodbye(self, reason: str) -> None:
        if self._is_open:
            try:
                await self._send(Frame(FrameKind.ONE_WAY, 0, Goodbye(reason)))
            except LinkError:
                logger.debug("Goodbye message to peer %s could not be sent", self.peer.peer_id)

    async def wait_for_replies(self, timeout: timedelta) -> None:
        """Wait up to ``timeout`` until every request received so far has been answered."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=timeout.total_seconds())

    async def wait_closed(self) -> None:
        """Wait until the connection is closed."""
        await self._closed_event.wait()

    async def run(self) -> None:
        """Receive frames until the connection is closed."""
        monitor = asyncio.create_task(self._monitor())
        reason = "connection closed by peer"
        try:
            async for data in self._connection:
                self._last_received_at = self._clock.monotonic()
                close_reason = await self._receive(data)
                if close_reason is not None:
                    reason = close_reason
                    break
        except ConnectionClosed as error:
            reason = str(error)
            if error.sent is not None and error.sent.code == CLOSE_CODE_TOO_BIG:
                self._count_event("frame_oversized", reason)
        finally:
            monitor.cancel()
            await self._close_connection(reason)

    async def _receive(self, data: str | bytes) -> str | None:
        """Process a frame; return the reason to close the connection, or None to continue.

        A malformed frame closes the connection, because the frames after it cannot be trusted. A
        message of an unknown kind is only refused, so that peers of different versions can
        communicate.
        """
        self.bytes_received += len(data)
        self.frames_received += 1
        try:
            frame = decode_frame(data)
        except MessageError as error:
            self._count_event("message_refused", str(error))
            await self._refuse_message(error)
            return None
        except CodecError as error:
            self._count_event("frame_refused", str(error))
            await self._send_goodbye("malformed frame")
            return "malformed frame"
        if isinstance(frame.message, Goodbye):
            return f"closed by peer: {frame.message.reason}"
        if isinstance(frame.message, Hello | Welcome):
            self._count_event("handshake_repeated", "received a second Hello or Welcome")
            await self._send_goodbye("second handshake")
            return "second handshake"
        await self._dispatch(frame)
        return None

    async def _refuse_message(self, error: MessageError) -> None:
        envelope = error.envelope
        if envelope.kind is FrameKind.REQUEST:
            # A reply needs only the kind and correlation of the request, so any message serves.
            frame = Frame(FrameKind.REQUEST, envelope.correlation, Heartbeat())
            await self._reply(frame, Refused("unknown_message", str(error)[:200]))
        elif envelope.kind is FrameKind.REPLY:
            future = self._pending_reply_by_correlation.get(envelope.correlation)
            if future is not None and not future.done():
                future.set_exception(LinkError(f"malformed reply: {error}"))

    async def _dispatch(self, frame: Frame) -> None:
        if isinstance(frame.message, Heartbeat):
            return
        if frame.kind is FrameKind.REPLY:
            future = self._pending_reply_by_correlation.get(frame.correlation)
            if future is not None and not future.done():
                future.set_result(frame.message)
            else:
                # The request has timed out, has already been completed, or was never sent.
                self._count_event(
                    "reply_dropped", f"no pending request has correlation {frame.correlation}"
                )
            return
        if len(self._tasks) >= MAX_CONCURRENT_REQUESTS:
            self._count_event(
                "overloaded",
                f"more than {MAX_CONCURRENT_REQUESTS} concurrent messages;"
                f" refused {type(frame.message).__name__}",
            )
            # The receive loop awaits this reply, so it reads no further frames of a peer that
            # sends too many requests.
            await self._reply(frame, Refused("overloaded"))
            return
        self._start_task(self._handle(frame))

    def _count_event(self, event: str, detail: str) -> None:
        self.counters[event] += 1
        logger.warning("event=%s peer=%s error=%s", event, self.peer.peer_id, detail)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, frame: Frame) -> None:
        try:
            reply = await self._handler(self, frame.message)
        except Exception:
            message_kind = type(frame.message).__name__
            self.counters["handler_failed"] += 1
            logger.exception(
                "event=handler_failed peer=%s kind=%s", self.peer.peer_id, message_kind
            )
            reply = Refused("internal_error", message_kind)
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
        if not self._is_open:
            raise MessageNotSentError(f"connection to {self.peer.peer_id} is closed")
        data = encode(frame)
        if len(data) > MAX_FRAME_BYTES:
            raise MessageNotSentError(
                f"frame of {len(data)} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
            )
        try:
            async with asyncio.timeout(SEND_TIMEOUT.total_seconds()):
                await self._connection.send(data)
        except ConnectionClosed as error:
            raise LinkError(f"sending to {self.peer.peer_id} failed: {error}") from error
        except TimeoutError as error:
            # Further frames would only accumulate in the send buffer, so the connection is closed.
            if self._is_open:
                self._count_event(
                    "peer_stalled", f"{len(data)} bytes not sent within {SEND_TIMEOUT}"
                )
                self._connection.transport.abort()
                await self._close_connection("peer does not read")
            raise LinkError(f"{self.peer.peer_id} does not read its connection") from error
        self._last_sent_at = self._clock.monotonic()
        self.frames_sent += 1
        self.bytes_sent += len(data)

    async def _monitor(self) -> None:
        """Send heartbeats, and close the connection if the peer becomes unresponsive.

        A peer is unresponsive if no frame arrives for ``MISSED_HEARTBEATS`` heartbeat intervals.
        """
        interval = self._heartbeat_interval.total_seconds()
        while self._is_open:
            now = self._clock.monotonic()
            if now - self._last_received_at >= interval * MISSED_HEARTBEATS:
                self._count_event(
                    "peer_silent", f"no frame received for {now - self._last_received_at:.1f} s"
                )
                self._connection.transport.abort()
                await self._close_connection("peer is unresponsive")
                return
            if now - self._last_sent_at >= interval:
                try:
                    await self.send(Heartbeat())
                except LinkError:
                    return
            next_check_at = min(
                self._last_sent_at + interval, self._last_received_at + MISSED_HEARTBEATS * interval
            )
            await self._clock.sleep(
                timedelta(seconds=max(next_check_at - now, MIN_MONITOR_DELAY_S))
            )

    async def _close_connection(self, reason: str) -> None:
        if not self._is_open:
            return
        self._is_open = False
        self._closed_event.set()
        for future in self._pending_reply_by_correlation.values():
            if not future.done():
                future.set_exception(LinkError(f"{self.peer.peer_id}: {reason}"))
        await self._connection.close()
