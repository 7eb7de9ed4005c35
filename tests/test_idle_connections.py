"""Kept-alive connections of an entry that was suspended."""

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

START_LIMIT_S = 30.0
# Longer than the idle timeout that CherryPy has by default, 10 s.
FREEZE_S = 11.0


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
    ends_at = time.monotonic() + START_LIMIT_S
    while True:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=START_LIMIT_S)
        try:
            connection.request("GET", "/")
            assert connection.getresponse().read() == b"ok"
            return connection
        except ConnectionRefusedError:
            assert time.monotonic() < ends_at
            time.sleep(0.1)


def test_a_call_that_arrives_during_a_freeze_is_answered(server: tuple[int, int]) -> None:
    """Guards against an idle connection that is closed with a call waiting on it."""
    port, pid = server
    connection = connect(port)
    os.kill(pid, signal.SIGSTOP)
    time.sleep(FREEZE_S)
    connection.request("GET", "/")
    os.kill(pid, signal.SIGCONT)
    assert connection.getresponse().read() == b"ok"
