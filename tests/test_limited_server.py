"""HTTP server with limits: time, memory and number of connections."""

import http.client
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any

import pytest
from cheroot import wsgi

from chicorycrank.adapters.http_message import MessageLimits
from chicorycrank.adapters.limited_server import (
    LimitedConnection,
    LimitedServerMixin,
    ServerLimits,
)

TIMEOUT_S = 30.0
ANSWER_BYTES = 8_000_000
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
UNFINISHED_BODY = b"POST / HTTP/1.1\r\nContent-Length: 90000\r\n\r\n"
LIMITS = ServerLimits(
    message=MessageLimits(body_bytes=100_000), buffered_bytes=150_000, connections=8
)


class LimitedServer(LimitedServerMixin, wsgi.Server):
    """Server with small limits, which records the requests that ran."""

    limits = LIMITS
    ConnectionClass = LimitedConnection
    expiration_interval = 0.05

    @staticmethod
    def encode_refusal(_status: HTTPStatus, detail: str) -> tuple[str, bytes]:
        """Return a refusal."""
        return "text/plain", detail.encode()


class Clock:
    """Clock that only the test advances."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def read(self) -> float:
        """Return the time in seconds."""
        return self.now_s

    def advance(self, duration_s: float) -> None:
        """Let time pass."""
        self.now_s += duration_s


class World:
    """Running server with its clock, its runs and the connections of the test."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.paths: list[str] = []
        self.server = LimitedServer(("127.0.0.1", 0), self._serve, numthreads=2)
        self.server.clock = self.clock.read
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self._connections: list[socket.socket] = []

    def _serve(
        self, environ: dict[str, Any], start_response: Callable[..., object]
    ) -> Iterable[bytes]:
        self.paths.append(environ["PATH_INFO"])
        body = b"x" * ANSWER_BYTES if environ["PATH_INFO"] == "/long" else b"ok"
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    def connect(self, data: bytes = b"") -> socket.socket:
        """Open a connection and send bytes."""
        connection = socket.create_connection(self.server.bind_addr, TIMEOUT_S)
        self._connections.append(connection)
        connection.sendall(data)
        return connection

    def wait(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        end_at = time.monotonic() + TIMEOUT_S
        while not condition():
            assert time.monotonic() < end_at
            time.sleep(0.01)

    def wait_for_connections(self, count: int) -> None:
        """Wait until the server has a number of open connections."""
        self.wait(lambda: self.server.open_connections == count)

    def wait_for_held_bytes(self, minimum: int) -> None:
        """Wait until the server keeps a number of bytes."""
        self.wait(lambda: self.server.held_bytes >= minimum)

    def close(self) -> None:
        """Close the connections and stop the server."""
        for connection in self._connections:
            connection.close()
        self.server.stop()


@pytest.fixture
def world() -> Iterator[World]:
    world = World()
    yield world
    world.close()


def read_status(connection: socket.socket) -> int:
    """Return the status of an answer, or 0 if the connection is closed without one."""
    response = http.client.HTTPResponse(connection)
    try:
        response.begin()
        response.read()
    except ConnectionError:
        return 0
    return response.status


@pytest.mark.parametrize(
    ("data", "timeout_s", "status"),
    [
        (b"", LIMITS.idle_timeout_s, 0),
        (b"POST / HTTP/1.1\r\n", LIMITS.head_timeout_s, 408),
        (UNFINISHED_BODY + b"x", LIMITS.body_timeout_s, 408),
    ],
    ids=["no request", "head", "body"],
)
def test_a_late_request_is_refused(
    world: World, data: bytes, timeout_s: float, status: int
) -> None:
    """Guards against slow clients that keep a connection, and against a limit that comes early."""
    connection = world.connect(data)
    world.wait_for_connections(1)
    world.wait_for_held_bytes(min(1, len(data)))
    world.clock.advance(timeout_s - 1)
    ordinary = world.connect(GET)
    assert read_status(ordinary) == 200
    time.sleep(4 * LimitedServer.expiration_interval)
    assert world.server.open_connections == 2
    world.clock.advance(2)
    assert read_status(connection) == status
    assert world.paths == ["/"]


def test_the_oldest_connections_without_an_answer_are_closed_first(world: World) -> None:
    """Guards against abandoned connections that keep ordinary clients out."""
    served = world.connect(GET)
    assert read_status(served) == 200
    crowd = []
    for count in range(2, 2 + LIMITS.connections * 2):
        crowd.append(world.connect())
        world.wait_for_connections(min(count, LIMITS.connections - 1))
        world.clock.advance(0.001)
        served.sendall(GET)
        assert read_status(served) == 200
    assert read_status(crowd[0]) == 0
    assert read_status(world.connect(GET)) == 200


def test_the_largest_unfinished_request_is_refused(world: World) -> None:
    """Guards against memory that grows with the number of unfinished requests."""
    large = world.connect(UNFINISHED_BODY + b"x" * 80_000)
    world.wait_for_held_bytes(80_000)
    small = world.connect(UNFINISHED_BODY + b"x" * 50_000)
    world.wait_for_held_bytes(130_000)
    world.connect(UNFINISHED_BODY + b"x" * 40_000)
    assert read_status(large) == 503
    small.sendall(b"x" * 40_000)
    assert read_status(small) == 200
    assert world.paths == ["/"]


def test_an_answer_that_is_not_read_holds_no_thread(world: World) -> None:
    """Guards against clients that hold all threads by not reading their answers."""
    world.server.limits = ServerLimits(message=LIMITS.message)
    crowd = [world.connect(GET.replace(b"/", b"/long", 1)) for _ in range(4)]
    world.wait(lambda: world.paths.count("/long") == len(crowd))
    assert read_status(world.connect(GET)) == 200
    received = 0
    while received < ANSWER_BYTES:
        received += len(crowd[0].recv(1_000_000))
    world.clock.advance(LIMITS.response_timeout_s + 1)
    world.wait_for_connections(2)


def test_an_answer_beyond_the_limit_of_kept_bytes_ends_its_connection(world: World) -> None:
    """Guards against memory that grows with answers that are not read."""
    connection = world.connect(GET.replace(b"/", b"/long", 1))
    world.wait(lambda: world.paths == ["/long"])
    world.wait_for_connections(0)
    assert world.server.held_bytes == 0
    assert len(connection.recv(ANSWER_BYTES)) < ANSWER_BYTES


def test_a_client_that_waits_for_the_interim_response_is_served(world: World) -> None:
    """Guards against a client and a server that wait for each other."""
    head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
    connection = world.connect(head)
    assert connection.recv(1000).startswith(b"HTTP/1.1 100 ")
    connection.sendall(b"x")
    assert read_status(connection) == 200
