"""Extension of cheroot's HTTP server that no client can occupy beyond limits.

cheroot gives a connection to a thread, which waits for the request of the client and for the client
to take the answer. Here the thread of the selector reads requests without waiting. A thread of the
pool gets a connection only with a complete request, and what the client does not take of the answer
at once is sent by the thread of the selector.
"""

import logging
import resource
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from io import BytesIO
from typing import Any

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection

from chicorycrank.adapters.http_counters import REFUSED_REQUESTS
from chicorycrank.adapters.http_message import MessageLimits, MessageReader, RefusedError
from chicorycrank.adapters.waiting_connections import WaitingConnections

READ_BYTES = 65_536
# A process that was suspended reads what has arrived meanwhile before it closes late connections.
READS_AT_A_TIME = 16
# A refused client may go on sending for a while. If the connection was closed with unread bytes,
# the client's system could discard the refusal.
MAX_DISCARDED_BYTES = 1024 * 1024
DESCRIPTOR_SHARE = 4  # of the descriptors of a process, for each of its servers
INTERIM_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

logger = logging.getLogger("absl")

EncodeRefusal = Callable[[HTTPStatus, str], tuple[str, bytes]]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerLimits:
    """Limits of a server.

    :param message: limits of each request
    :param head_timeout_s: time from the first byte of a request to the end of its head, in
        seconds. Clients need up to 3 s.
    :param body_timeout_s: time from the end of the head to the end of the body, in seconds. A body
        of 4 MB takes 6.4 s on a link of 5 Mbit/s, which it may share with others.
    :param response_timeout_s: time in which a client takes an answer, in seconds
    :param refusal_timeout_s: time for which a connection stays open after a refusal, in seconds
    :param idle_timeout_s: time for which a connection may wait for a request, in seconds. Clients
        keep idle connections for up to 75 s.
    :param buffered_bytes: requests and answers of all connections together that are kept, in bytes
    :param connections: number of open connections. A server uses at most a quarter of the
        descriptors of its process.
    """

    message: MessageLimits
    head_timeout_s: float = 10.0
    body_timeout_s: float = 120.0
    response_timeout_s: float = 60.0
    refusal_timeout_s: float = 2.0
    idle_timeout_s: float = 80.0
    buffered_bytes: int = 32 * 1024 * 1024
    connections: int = 1_000


class _RequestFile(BytesIO):
    """Bytes of one complete request, as the file that cheroot reads."""

    bytes_read = 0

    def has_data(self) -> bool:
        """Return false; further requests stay in the reader of the connection."""
        return False


class _ResponseFile:
    """File to which cheroot writes the answers of a connection."""

    def __init__(self, connection: "LimitedConnection") -> None:
        self._connection = connection
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send bytes, or keep them until the client takes them."""
        self._connection.send(data)
        self.bytes_written += len(data)
        return len(data)


class LimitedConnection(HTTPConnection):
    """Connection that is read and written without waiting.

    :ivar deadline: monotonic time at which the connection is closed
    :ivar has_served: whether a request was answered on the connection
    :ivar is_refused: whether a refusal was sent, after which everything that arrives is discarded
    :ivar held_bytes: bytes that count towards the limit of the server
    """

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile) -> None:
        super().__init__(server, sock, lambda *_: None)
        sock.settimeout(0)
        self.reader = MessageReader(server.limits.message)
        self.rfile = _RequestFile()
        self.wfile = _ResponseFile(self)
        self.unsent = bytearray()
        self.deadline = server.clock() + server.limits.idle_timeout_s
        self.has_served = self.is_refused = self.is_ending = False
        self.discarded_bytes = self.held_bytes = self.request_bytes = 0
        self._is_closed = False

    def hold_bytes(self) -> None:
        """Count the bytes that are kept towards the limit of the server."""
        size = self.reader.size_bytes + self.request_bytes + len(self.unsent)
        if not self._is_closed:
            self.server.change_held_bytes(size - self.held_bytes)
            self.held_bytes = size

    def send(self, data: bytes) -> None:
        """Send bytes, and keep those that the client does not take at once.

        :raises ConnectionError: the client is gone, or too many bytes are kept
        """
        if not self.unsent:
            data = data[self._send_now(data) :]
        if not data:
            return
        if self.server.held_bytes + len(data) > self.server.limits.buffered_bytes:
            self.unsent.clear()
            raise ConnectionResetError("too many bytes of answers are kept")
        self.unsent += data
        self.hold_bytes()

    def send_kept(self) -> bool:
        """Send kept bytes; return whether none is left."""
        del self.unsent[: self._send_now(self.unsent)]
        self.hold_bytes()
        return not self.unsent

    def _send_now(self, data: bytes | bytearray) -> int:
        try:
            return int(self.socket.send(data))
        except BlockingIOError:
            return 0
        except ConnectionError:
            self.unsent.clear()
            raise

    def close(self) -> None:
        """Close the connection, after the kept bytes are sent if the server is running."""
        if self.unsent and not self.is_ending and self.server.ready:
            self.is_ending = True
            self.server.put_conn(self)
            return
        self.end()

    def end(self) -> None:
        """Close the connection at once."""
        if self._is_closed:
            return
        self.server.change_held_bytes(-self.held_bytes)
        self._is_closed = True
        self.server.forget(self)
        self.unsent.clear()
        super().close()


class LimitedServerMixin:
    """Mixin for a server class of cheroot.

    :cvar limits: limits of the server
    :cvar encode_refusal: returns the media type and the body of a refusal with a status and a
        detail
    :ivar held_bytes: bytes of requests and answers that are kept
    """

    limits: ServerLimits
    clock: Callable[[], float] = staticmethod(time.monotonic)
    encode_refusal: EncodeRefusal
    _connections: WaitingConnections

    def prepare(self) -> None:
        """Open the port."""
        self.held_bytes = 0
        self._held_bytes_lock = threading.Lock()
        self._open_connections: set[LimitedConnection] = set()
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.max_connections = min(self.limits.connections, descriptors // DESCRIPTOR_SHARE)
        super().prepare()  # type: ignore[misc]
        self._connections.close()
        self._connections = WaitingConnections(self)

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._open_connections)

    def change_held_bytes(self, change: int) -> None:
        """Count bytes that are kept or were released."""
        with self._held_bytes_lock:
            self.held_bytes += change

    def forget(self, connection: LimitedConnection) -> None:
        """Remove a closed connection."""
        self._open_connections.discard(connection)

    def process_conn(self, connection: LimitedConnection) -> None:
        """Continue with a connection that is new or that its client has read from or written to.

        The thread of the selector calls this.
        """
        self._open_connections.add(connection)
        try:
            if connection.unsent:
                if connection.send_kept():
                    self._finish_answer(connection)
                else:
                    self._connections.wait(connection)
            elif connection.is_refused:
                self._discard(connection)
            else:
                self._read(connection)
        except OSError:
            connection.end()

    def put_conn(self, connection: LimitedConnection) -> None:
        """Continue with a connection after an answer.

        The threads of the pool call this.
        """
        connection.rfile = _RequestFile()
        connection.request_bytes = 0
        connection.has_served = True
        connection.hold_bytes()
        try:
            if not self.ready:  # type: ignore[attr-defined]
                connection.end()
            elif connection.unsent:
                connection.deadline = self.clock() + self.limits.response_timeout_s
                self._connections.wait(connection)
            else:
                self._finish_answer(connection)
        except (OSError, ValueError):  # the client is gone, or the server has stopped meanwhile
            connection.end()

    def close_late(self, connection: LimitedConnection) -> None:
        """Close a connection whose deadline has passed, and refuse the request that it has begun.

        The connection must not be registered with the selector.
        """
        is_receiving = not connection.unsent and not connection.is_refused
        if is_receiving and connection.reader.has_started:
            error = RefusedError(HTTPStatus.REQUEST_TIMEOUT, "the request has not arrived in time")
            self.refuse(connection, error)
        else:
            connection.end()

    def refuse(self, connection: LimitedConnection, error: RefusedError) -> None:
        """Send a refusal of a request that has not run, and discard what arrives after it."""
        logger.info("event=request_refused code=%d reason=%s", error.status.value, error)
        REFUSED_REQUESTS.labels(str(error.status.value)).inc()
        media_type, body = self.encode_refusal(error.status, str(error))
        lines = (
            f"HTTP/1.1 {error.status.value} {error.status.phrase}",
            f"Content-Type: {media_type}",
            f"Content-Length: {len(body)}",
            "Connection: close",
        )
        connection.is_refused = True
        connection.reader = MessageReader(self.limits.message)
        connection.deadline = self.clock() + self.limits.refusal_timeout_s
        try:
            connection.send("\r\n".join([*lines, "", ""]).encode() + body)
            connection.hold_bytes()
            if not connection.unsent:
                connection.socket.shutdown(socket.SHUT_WR)
            self._connections.wait(connection)
        except OSError:
            connection.end()

    def _finish_answer(self, connection: LimitedConnection) -> None:
        if connection.is_ending:
            connection.end()
            return
        if connection.is_refused:
            connection.socket.shutdown(socket.SHUT_WR)
        elif self._hand_over(connection):
            return
        else:
            self._set_deadline(connection, was_started=False, had_head=False)
        self._connections.wait(connection)

    def _read(self, connection: LimitedConnection) -> None:
        reader = connection.reader
        was_started, had_head = reader.has_started, reader.has_head
        for _ in range(READS_AT_A_TIME):
            try:
                data = connection.socket.recv(READ_BYTES)
            except BlockingIOError:
                break
            if not data:
                connection.end()
                return
            reader.feed(data)
            if self._hand_over(connection):
                return
        connection.hold_bytes()
        self._set_deadline(connection, was_started=was_started, had_head=had_head)
        self._connections.wait(connection)
        if self.held_bytes > self.limits.buffered_bytes:
            self._refuse_largest()

    def _hand_over(self, connection: LimitedConnection) -> bool:
        """Give a complete request to a thread; return whether the connection is taken care of."""
        reader = connection.reader
        try:
            message = reader.read_message()
            if message is None and reader.expects_continue:
                reader.expects_continue = False
                connection.send(INTERIM_RESPONSE)
        except RefusedError as error:
            self.refuse(connection, error)
            return True
        if message is None:
            return False
        connection.request_bytes = len(message)
        connection.hold_bytes()
        connection.rfile = _RequestFile(message)
        super().process_conn(connection)  # type: ignore[misc]
        return True

    def _set_deadline(
        self, connection: LimitedConnection, *, was_started: bool, had_head: bool
    ) -> None:
        now, limits, reader = self.clock(), self.limits, connection.reader
        if reader.has_head and not had_head:
            connection.deadline = now + limits.body_timeout_s
        elif reader.has_started and not was_started:
            connection.deadline = now + limits.head_timeout_s
        elif not reader.has_started:
            connection.deadline = now + limits.idle_timeout_s

    def _refuse_largest(self) -> None:
        connection = self._connections.take_largest()
        if connection is not None:
            detail = "the server keeps too many bytes of requests"
            self.refuse(connection, RefusedError(HTTPStatus.SERVICE_UNAVAILABLE, detail))

    def _discard(self, connection: LimitedConnection) -> None:
        try:
            size = len(connection.socket.recv(READ_BYTES))
        except BlockingIOError:
            size = 0
        else:
            connection.discarded_bytes += size
            if not size or connection.discarded_bytes > MAX_DISCARDED_BYTES:
                connection.end()
                return
        self._connections.wait(connection)
