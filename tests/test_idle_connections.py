"""Persistent connections to an HTTP server that is suspended for a while."""

import http.client
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

START_TIMEOUT_S = 30.0
# Longer than CherryPy's default idle timeout of 10 s.
SUSPENSION_S = 11.0


@pytest.fixture
def server() -> Iterator[tuple[int, int]]:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    script = Path(__file__).with_name("idle_server.py")
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    process = subprocess.Popen([sys.executable, script, str(port)], env=environment)
    yield port, process.pid
    process.kill()
    process.wait()


def connect(port: int) -> http.client.HTTPConnection:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=START_TIMEOUT_S)
        try:
            connection.request("GET", "/")
            assert connection.getresponse().read() == b"ok"
            return connection
        except ConnectionRefusedError:
            assert time.monotonic() < deadline_s
            time.sleep(0.1)


def test_call_that_arrives_during_a_suspension_is_answered(server: tuple[int, int]) -> None:
    """Guards against an idle connection that is closed although a call has arrived on it.

    A server that is suspended for longer than its idle timeout may close the connection before it
    reads the call.
    """
    port, pid = server
    connection = connect(port)
    os.kill(pid, signal.SIGSTOP)
    time.sleep(SUSPENSION_S)
    connection.request("GET", "/")
    os.kill(pid, signal.SIGCONT)
    assert connection.getresponse().read() == b"ok"
