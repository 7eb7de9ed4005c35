"""The fault-injecting forwarder, against an echo server."""

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


def test_silent_keeps_open_connections_silent_and_new_ones_work(
    forwarder: tuple[Forwarder, int],
) -> None:
    """Guards against a fault that tests take for a silent connection and that is none."""
    switch, port = forwarder
    with open_connection(port) as old:
        assert exchange(old, b"a") == b"a"
        switch.set_mode(Mode.SILENT)
        old.settimeout(0.3)
        with pytest.raises(TimeoutError):
            exchange(old, b"b")
        with open_connection(port) as new:
            assert exchange(new, b"c") == b"c"
        switch.set_mode(Mode.PASS)
        with pytest.raises(TimeoutError):
            exchange(old, b"d")


def test_cut_closes_and_refuses_until_it_passes_again(forwarder: tuple[Forwarder, int]) -> None:
    """Guards against a connection that outlives a cut."""
    switch, port = forwarder
    with open_connection(port) as old:
        assert exchange(old, b"a") == b"a"
        switch.set_mode(Mode.CUT)
        assert not old.recv(100)
        with pytest.raises(ConnectionRefusedError):
            open_connection(port)
        switch.set_mode(Mode.PASS)
        with open_connection(port) as new:
            assert exchange(new, b"b") == b"b"


def test_delay_holds_each_direction_back(forwarder: tuple[Forwarder, int]) -> None:
    """Guards against a delay that is not applied."""
    switch, port = forwarder
    switch.set_mode(Mode.DELAY)
    with open_connection(port) as connection:
        started = time.monotonic()
        assert exchange(connection, b"a") == b"a"
        assert time.monotonic() - started >= 2 * DELAY_S
