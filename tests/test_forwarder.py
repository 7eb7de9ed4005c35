"""Tests of the fault-injecting forwarder with an echo server as its target."""

import http.client
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import closing

import pytest

from chicorycrank.bench.processes import choose_ports
from chicorycrank_standin.forwarder import HOST, Forwarder, Mode

DELAY_S = 0.2


@pytest.fixture
def forwarder() -> Iterator[tuple[Forwarder, int]]:
    port = choose_ports(["forwarder"])["forwarder"]
    with socket.create_server((HOST, 0)) as server:
        threading.Thread(target=serve_echo, args=(server,), daemon=True).start()
        forwarder = Forwarder(port, server.getsockname()[1], delay_s=DELAY_S)
        forwarder.start()
        yield forwarder, port
        forwarder.stop()


def serve_echo(server: socket.socket) -> None:
    while True:
        try:
            connection, _ = server.accept()
        except OSError:
            return
        threading.Thread(target=echo, args=(connection,), daemon=True).start()


def echo(connection: socket.socket) -> None:
    with connection:
        while data := connection.recv(100):
            connection.sendall(data)


def open_connection(port: int) -> socket.socket:
    return socket.create_connection((HOST, port), timeout=5.0)


def exchange(connection: socket.socket, data: bytes) -> bytes:
    connection.sendall(data)
    return connection.recv(100)


def test_silent_mode_stops_open_connections_permanently_and_passes_new_ones(
    forwarder: tuple[Forwarder, int],
) -> None:
    """Guards against a mode ``silent`` that ends with a later mode or stops new connections."""
    running_forwarder, port = forwarder
    with open_connection(port) as old_connection:
        assert exchange(old_connection, b"a") == b"a"
        running_forwarder.set_mode(Mode.SILENT)
        old_connection.settimeout(0.3)
        with pytest.raises(TimeoutError):
            exchange(old_connection, b"b")
        with open_connection(port) as new_connection:
            assert exchange(new_connection, b"c") == b"c"
        running_forwarder.set_mode(Mode.PASS)
        with pytest.raises(TimeoutError):
            exchange(old_connection, b"d")


def test_cut_mode_closes_and_refuses_connections_until_pass_mode(
    forwarder: tuple[Forwarder, int],
) -> None:
    """Guards against a connection that stays open or is accepted in mode ``cut``."""
    running_forwarder, port = forwarder
    with open_connection(port) as old_connection:
        assert exchange(old_connection, b"a") == b"a"
        running_forwarder.set_mode(Mode.CUT)
        assert not old_connection.recv(100)
        with pytest.raises(ConnectionRefusedError):
            open_connection(port)
        running_forwarder.set_mode(Mode.PASS)
        with open_connection(port) as new_connection:
            assert exchange(new_connection, b"b") == b"b"


def test_delay_mode_delays_each_direction(forwarder: tuple[Forwarder, int]) -> None:
    """Guards against a delay that is applied in one direction only or not at all."""
    running_forwarder, port = forwarder
    running_forwarder.set_mode(Mode.DELAY)
    with open_connection(port) as connection:
        started_at = time.monotonic()
        assert exchange(connection, b"a") == b"a"
        assert time.monotonic() - started_at >= 2 * DELAY_S


def test_reset_mode_accepts_connections_and_closes_them(
    forwarder: tuple[Forwarder, int],
) -> None:
    """Guards against a mode ``reset`` that forwards, or refuses like mode ``cut``."""
    running_forwarder, port = forwarder
    running_forwarder.set_mode(Mode.RESET)
    with open_connection(port) as connection, pytest.raises(ConnectionError):
        if not exchange(connection, b"a"):
            raise ConnectionResetError
    running_forwarder.set_mode(Mode.PASS)
    with open_connection(port) as connection:
        assert exchange(connection, b"b") == b"b"


def test_deaf_mode_never_answers_on_new_connections(forwarder: tuple[Forwarder, int]) -> None:
    """Guards against a mode ``deaf`` that forwards."""
    running_forwarder, port = forwarder
    running_forwarder.set_mode(Mode.DEAF)
    with open_connection(port) as connection:
        connection.settimeout(0.3)
        with pytest.raises(TimeoutError):
            exchange(connection, b"a")


def test_reject_mode_answers_requests_without_forwarding_them(
    forwarder: tuple[Forwarder, int],
) -> None:
    """Guards against a rejected request that takes effect, and a body that is read as a request."""
    running_forwarder, port = forwarder
    running_forwarder.set_mode(Mode.REJECT)
    with closing(http.client.HTTPConnection(HOST, port, timeout=5.0)) as connection:
        statuses = []
        for _ in range(2):
            connection.request("POST", "/", body=b"x" * 100)
            response = connection.getresponse()
            assert response.read() == b"{}"
            statuses.append(response.status)
    assert sorted(statuses) == [429, 503]


def test_a_closed_port_refuses_until_it_is_reopened_whatever_the_mode(
    forwarder: tuple[Forwarder, int],
) -> None:
    """Guards against a target that seems up because a fault of its link has ended."""
    running_forwarder, port = forwarder
    running_forwarder.set_closed(True)
    running_forwarder.set_mode(Mode.CUT)
    running_forwarder.set_mode(Mode.PASS)
    with pytest.raises(ConnectionRefusedError):
        open_connection(port)
    running_forwarder.set_closed(False)
    with open_connection(port) as connection:
        assert exchange(connection, b"a") == b"a"
