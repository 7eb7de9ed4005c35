"""Processes whose HTTP servers meet clients beyond the limits.

The tests check nothing that depends on the speed of the machine: the process lives, its memory and
its open descriptors stay under a bound, and one ordinary request is answered while the connections
of the crowd are still open at the client's end. They are in one file, so that pytest-xdist runs one
at a time.
"""

import http.client
import json
import os
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path

import pytest
import yaml
from tests import client_crowd
from tests.client_crowd import HOST, Paths

from chicorycrank_standin.background import free_port

START_TIMEOUT_S = 30.0
ANSWER_TIMEOUT_S = 15.0
END_TIMEOUT_S = 1.0
MAX_DESCRIPTORS = 256  # limit of each process
DESCRIPTOR_BOUND = 200
MEMORY_BOUND_KB = 16 * 1024  # growth of the largest resident memory
RUN_WITH_LIMIT = f'ulimit -n {MAX_DESCRIPTORS}; exec "$0" "$@"'
ENVIRONMENT = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
PRODUCT_THREADS = 12


class ServerProcess:
    """Process with one of the HTTP servers.

    :ivar port: port of the server that the test calls
    :ivar threads: number of threads of the server
    """

    def __init__(
        self,
        module: str,
        *arguments: str,
        port: int,
        threads: int,
        ordinary_path: str,
        paths: Paths,
        folder: Path,
        **variables: str,
    ) -> None:
        self.port, self.threads, self.paths = port, threads, paths
        self._ordinary_path = ordinary_path
        command = ["sh", "-c", RUN_WITH_LIMIT, sys.executable, "-m", module, *arguments]
        with (folder / "output.log").open("wb") as log:
            self.process = subprocess.Popen(
                command, env={**ENVIRONMENT, **variables}, stdout=log, stderr=subprocess.STDOUT
            )

    def call(self) -> int:
        """Send an ordinary request and return the status of the answer."""
        connection = http.client.HTTPConnection(HOST, self.port, timeout=ANSWER_TIMEOUT_S)
        try:
            connection.request("GET", self._ordinary_path)
            response = connection.getresponse()
            response.read()
            return response.status
        finally:
            connection.close()

    def wait_until_ready(self) -> None:
        """Wait until an ordinary request is answered."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                self.call()
                return
            except ConnectionRefusedError:
                assert time.monotonic() < deadline
                time.sleep(0.1)

    def is_alive(self) -> bool:
        """Return whether the process runs; one that is ending has a moment to do so."""
        with suppress(subprocess.TimeoutExpired):
            self.process.wait(END_TIMEOUT_S)
        return self.process.poll() is None

    def measure_peak_memory_kb(self) -> int:
        """Return the largest resident memory since the start, in kB."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


def start_product_entry(folder: Path) -> ServerProcess:
    port = free_port()
    settings = {
        "entry": "entry-0",
        "region": "north",
        "zone": "north-a",
        "cell": "north",
        "listen_host": HOST,
        "peer_port": free_port(),
        "http_port": port,
        "http_threads": PRODUCT_THREADS,
        "store_url": f"http://{HOST}:{free_port()}",
    }
    path = folder / "entry.json"
    path.write_text(json.dumps(settings))
    return ServerProcess(
        "chicorycrank.entry.main",
        f"--settings={path}",
        port=port,
        threads=PRODUCT_THREADS,
        ordinary_path="/healthz",
        paths=Paths(body="/v1/releases/check", answer="/metrics"),
        folder=folder,
    )


def start_platform_program(
    folder: Path, *, program: str, threads: int, is_metrics: bool = False
) -> ServerProcess:
    port, metrics_port, closed_port = free_port(), free_port(), free_port()
    settings = {
        "node": "node-1",
        "ip": HOST,
        "internalPorts": [metrics_port, metrics_port],
        "bindAddresses": {"front": f"{HOST}:{port}", "control": f"{HOST}:{port}"},
        "app": f"{HOST}:{closed_port}",
        "platform": {"address": f"{HOST}:{closed_port}"},
    }
    path = folder / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    return ServerProcess(
        f"chicorycrank.programs.{program}",
        port=metrics_port if is_metrics else port,
        threads=threads,
        ordinary_path="/metrics" if is_metrics else "/-/other",
        paths=Paths(body="/other", answer="/metrics"),
        folder=folder,
        CHICORYCRANK_NODE_FILE=str(path),
    )


START_BY_SERVER: dict[str, Callable[[Path], ServerProcess]] = {
    "product entry": start_product_entry,
    "batch entry": partial(start_platform_program, program="batch_entry", threads=24),
    "agent control": partial(start_platform_program, program="batch_agent", threads=3),
    "metrics": partial(start_platform_program, program="batch_agent", threads=1, is_metrics=True),
}


@pytest.fixture(params=START_BY_SERVER)
def server(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[ServerProcess]:
    server = START_BY_SERVER[request.param](tmp_path)
    try:
        server.wait_until_ready()
        yield server
    finally:
        server.process.kill()
        server.process.wait()


@contextmanager
def check_bounds(server: ServerProcess) -> Iterator[None]:
    """Check the process while the crowd is connected, after the block."""
    memory_before_kb = server.measure_peak_memory_kb()
    yield
    descriptors = server.count_descriptors()
    status = None
    with suppress(OSError, http.client.HTTPException):
        status = server.call()
    assert server.is_alive(), "the process has ended"
    growth_kb = server.measure_peak_memory_kb() - memory_before_kb
    print(f"memory_growth_kb={growth_kb} descriptors={descriptors} status={status}")
    findings = {
        "memory": growth_kb > MEMORY_BOUND_KB,
        "descriptors": descriptors > DESCRIPTOR_BOUND,
        "no answer": status is None,
    }
    assert not any(findings.values()), (growth_kb, descriptors, status)


@pytest.mark.parametrize(
    "send",
    [
        client_crowd.send_trailer_lines,
        client_crowd.send_trailer_line,
        client_crowd.send_header_lines,
        client_crowd.send_header_line,
        client_crowd.send_chunk_extensions,
        client_crowd.send_tiny_chunks,
        client_crowd.send_pipelined_requests,
    ],
    ids=lambda send: send.__name__,
)
def test_a_crowd_sends_without_end(
    server: ServerProcess, send: Callable[[Paths], Iterator[bytes]]
) -> None:
    """Guards against memory or threads that grow with what one client sends."""
    connections = []
    try:
        with check_bounds(server):
            connections = client_crowd.send_fast(server.port, lambda: send(server.paths))
    finally:
        for connection in connections:
            connection.close()


@pytest.mark.parametrize(
    "send",
    [
        client_crowd.send_body_slowly,
        client_crowd.send_chunks_slowly,
        client_crowd.send_head_slowly,
    ],
    ids=lambda send: send.__name__,
)
def test_a_crowd_sends_a_byte_at_a_time(
    server: ServerProcess, send: Callable[[int, Paths, int, threading.Event], None]
) -> None:
    """Guards against slow clients that hold all threads of a server."""
    stop = threading.Event()
    connections = server.threads + client_crowd.EXTRA_CONNECTIONS
    thread = threading.Thread(target=send, args=(server.port, server.paths, connections, stop))
    thread.start()
    try:
        with check_bounds(server):
            time.sleep(client_crowd.SLOW_SEND_INTERVAL_S * 4)
    finally:
        stop.set()
        thread.join()


def test_a_crowd_opens_connections_and_leaves_them(server: ServerProcess) -> None:
    """Guards against idle connections that take all descriptors or threads of a process."""
    connections = []
    try:
        with check_bounds(server):
            connections = client_crowd.leave_connections(server.port)
    finally:
        for connection in connections:
            connection.close()


def make_large_head(path: str, header_bytes: int) -> bytes:
    lines = [f"X-{number}: ".ljust(126, "x") for number in range(header_bytes // 128)]
    return client_crowd.make_head(path, "Connection: close", "Content-Length: 0", *lines)


def make_chunks(path: str, body: bytes, chunk_bytes: int) -> bytes:
    pieces = [client_crowd.make_head(path, "Connection: close", "Transfer-Encoding: chunked")]
    for start in range(0, len(body), chunk_bytes):
        chunk = body[start : start + chunk_bytes]
        pieces.append(b"%x;name=value\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join([*pieces, b"0\r\nFirst: a\r\nSecond: b\r\n\r\n"])


@pytest.mark.parametrize(
    "make_request",
    [
        lambda path: make_large_head(path, 16_384 - 128),
        lambda path: make_chunks(path, b"x" * 262_144, 16),
        lambda path: make_chunks(path, b"x" * 20_000, 1),
    ],
    ids=["largest head", "largest body in chunks", "chunks of one byte"],
)
def test_a_request_within_the_limits_is_served(
    server: ServerProcess, make_request: Callable[[str], bytes]
) -> None:
    """Guards against limits that well-behaved clients meet.

    The statuses are those of the handlers, which have read the request.
    """
    connection = client_crowd.connect(server.port)
    try:
        connection.settimeout(ANSWER_TIMEOUT_S)
        connection.sendall(make_request(server.paths.body))
        response = http.client.HTTPResponse(connection)
        response.begin()
        assert response.status in (404, 422, 503)
        assert response.read()
        assert response.getheader("Server"), "the answer is a refusal"
    finally:
        connection.close()
