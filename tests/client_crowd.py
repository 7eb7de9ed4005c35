"""Crowd of clients beyond the limits: what its connections send, bounded in bytes and time."""

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from itertools import count, repeat

HOST = "127.0.0.1"
CROWD_CONNECTIONS = 4
LEFT_CONNECTIONS = 300
# With the extra connections a crowd of slow senders has more connections than the server threads.
EXTRA_CONNECTIONS = 4
MAX_SENT_BYTES = 16 * 1024 * 1024  # by each connection
MAX_SENDING_S = 8.0
SLOW_SEND_INTERVAL_S = 0.25
MAX_SLOW_SENDING_S = 60.0
CONNECT_TIMEOUT_S = 10.0
SMALL_RECEIVE_BUFFER_BYTES = 4096
LINE_BYTES = 1000
LINES_PER_BLOCK = 60


@dataclass(frozen=True, kw_only=True)
class Paths:
    """Paths of a server.

    :ivar body: path whose handler reads the body of a POST request
    :ivar answer: path with a long answer, if there is one
    """

    body: str
    answer: str


def make_head(path: str, *lines: str) -> bytes:
    """Return the head of a POST request."""
    return "\r\n".join([f"POST {path} HTTP/1.1", "Host: test", *lines, "", ""]).encode()


def send_trailer_lines(paths: Paths) -> Iterator[bytes]:
    """Send trailers without end behind a chunked body."""
    yield make_head(paths.body, "Transfer-Encoding: chunked", "Trailer: x") + b"1\r\n{\r\n0\r\n"
    yield from _make_lines()


def send_trailer_line(paths: Paths) -> Iterator[bytes]:
    """Send one trailer line without end."""
    yield make_head(paths.body, "Transfer-Encoding: chunked", "Trailer: x") + b"1\r\n{\r\n0\r\nX: "
    yield from repeat(b"x" * LINE_BYTES * LINES_PER_BLOCK)


def send_header_lines(paths: Paths) -> Iterator[bytes]:
    """Send header lines without end."""
    yield make_head(paths.body)[:-2]
    yield from _make_lines()


def send_header_line(paths: Paths) -> Iterator[bytes]:
    """Send one header line without end."""
    yield make_head(paths.body)[:-2] + b"X: "
    yield from repeat(b"x" * LINE_BYTES * LINES_PER_BLOCK)


def send_chunk_extensions(paths: Paths) -> Iterator[bytes]:
    """Send the extensions of a chunk without end."""
    yield make_head(paths.body, "Transfer-Encoding: chunked") + b"1"
    yield from repeat(b";name=value" * LINES_PER_BLOCK * 90)


def send_tiny_chunks(paths: Paths) -> Iterator[bytes]:
    """Send very many chunks of one byte."""
    yield make_head(paths.body, "Transfer-Encoding: chunked")
    yield from repeat(b"1\r\nx\r\n" * 10_000)


def send_pipelined_requests(paths: Paths) -> Iterator[bytes]:
    """Send requests without reading their answers."""
    yield from repeat(f"GET {paths.answer} HTTP/1.1\r\nHost: test\r\n\r\n".encode() * 200)


def _make_lines() -> Iterator[bytes]:
    names = count()
    while True:
        block = [f"X-{next(names)}: ".ljust(LINE_BYTES, "x") for _ in range(LINES_PER_BLOCK)]
        yield "\r\n".join([*block, ""]).encode()


def connect(port: int, *, receive_buffer_bytes: int = 0) -> socket.socket:
    """Open a connection."""
    connection = socket.socket()
    connection.settimeout(CONNECT_TIMEOUT_S)
    if receive_buffer_bytes:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    connection.connect((HOST, port))
    return connection


def send_fast(port: int, make_blocks: Callable[[], Iterator[bytes]]) -> list[socket.socket]:
    """Send blocks on the connections of a crowd as fast as the server takes them.

    :return: the connections, which are still open at this end
    """
    connections = [
        connect(port, receive_buffer_bytes=SMALL_RECEIVE_BUFFER_BYTES)
        for _ in range(CROWD_CONNECTIONS)
    ]
    threads = [
        threading.Thread(target=_send_blocks, args=(connection, make_blocks()))
        for connection in connections
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return connections


def _send_blocks(connection: socket.socket, blocks: Iterator[bytes]) -> None:
    end_at = time.monotonic() + MAX_SENDING_S
    sent_bytes = 0
    with suppress(OSError):
        for block in blocks:
            unsent = memoryview(block)
            while unsent:
                remaining_s = end_at - time.monotonic()
                if sent_bytes >= MAX_SENT_BYTES or remaining_s <= 0:
                    return
                connection.settimeout(remaining_s)
                sent = connection.send(unsent)
                sent_bytes += sent
                unsent = unsent[sent:]


def send_body_slowly(port: int, paths: Paths, connections: int, stop: threading.Event) -> None:
    """Send a body of 100,000 bytes on each connection, a byte at a time, until the stop event."""
    crowd = [connect(port) for _ in range(connections)]
    _send_slowly(crowd, make_head(paths.body, "Content-Length: 100000"), stop)


def send_chunks_slowly(port: int, paths: Paths, connections: int, stop: threading.Event) -> None:
    """Send chunks of one byte on each connection, a byte at a time, until the stop event."""
    crowd = [connect(port) for _ in range(connections)]
    _send_slowly(crowd, make_head(paths.body, "Transfer-Encoding: chunked"), stop)


def send_head_slowly(port: int, paths: Paths, connections: int, stop: threading.Event) -> None:
    """Send a header line on each connection, a byte at a time, until the stop event."""
    crowd = [connect(port) for _ in range(connections)]
    _send_slowly(crowd, make_head(paths.body)[:-2] + b"X: ", stop)


def _send_slowly(crowd: list[socket.socket], head: bytes, stop: threading.Event) -> None:
    end_at = time.monotonic() + MAX_SLOW_SENDING_S
    data = head
    pieces = [b"1", b"\r", b"\n", b"x", b"\r", b"\n"] if b"chunked" in head else [b"x"]
    for number in count():
        for connection in crowd:
            with suppress(OSError):
                connection.sendall(data)
        data = pieces[number % len(pieces)]
        if stop.wait(SLOW_SEND_INTERVAL_S) or time.monotonic() > end_at:
            break
    for connection in crowd:
        connection.close()


def leave_connections(port: int) -> list[socket.socket]:
    """Open connections without sending anything, until the server takes no more."""
    crowd = []
    with suppress(OSError):
        for _ in range(LEFT_CONNECTIONS):
            crowd.append(connect(port))
    return crowd
