"""Tests of the fault-injecting forwarder with an echo server as its target."""

import socket
import threading
import time
from collections.abc import Iterator

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
