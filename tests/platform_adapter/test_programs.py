"""The batch programs as processes: start, answers and stop in time."""

import http.client
import os
import shutil
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping
from pathlib import Path

import pytest

from chicorycrank_standin.background import free_port

START_TIMEOUT_S = 30.0
# The platform kills a process six seconds after it has sent the signal to stop.
GRACE_S = 6
# A signal rarely arrives while the program acquires or releases a lock, so many are sent.
SIGNAL_COUNT = 4000
SIGNAL_INTERVAL_S = 0.0005
PROGRAMS = ["batch_entry", "batch_agent"]
REPOSITORY = Path(__file__).parents[2]
BUILD_TIMEOUT_S = 300
INHERITED_ENVIRONMENT = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}


class Program:
    """A running program whose store and executor refuse connections."""

    def __init__(
        self,
        name: str,
        folder: Path,
        *,
        python: str = sys.executable,
        environment: Mapping[str, str] = INHERITED_ENVIRONMENT,
        working_folder: Path | None = None,
    ) -> None:
        self.port = free_port()
        closed_port, metrics_port = free_port(), free_port()
        self.metrics_port = metrics_port
        path = folder / "settings.yaml"
        path.write_text(
            f'node: "node-1"\nip: "127.0.0.1"\ninternalPorts: [{metrics_port}, {metrics_port}]\n'
            f'bindAddresses:\n  front: "127.0.0.1:{self.port}"\n'
            f'  control: "127.0.0.1:{self.port}"\n'
            f'app: "127.0.0.1:{closed_port}"\nplatform:\n  address: "127.0.0.1:{closed_port}"\n'
            f"bounds:\n  graceS: {GRACE_S}\n"
        )
        self.process = subprocess.Popen(
            [python, "-m", f"chicorycrank.programs.{name}"],
            env={**environment, "CHICORYCRANK_NODE_FILE": str(path)},
            cwd=working_folder,
            stdout=subprocess.PIPE,
            text=True,
        )

    def call(self, method: str, path: str, body: str = "") -> int:
        """Call the program as soon as it listens, and return the HTTP status."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while True:
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=START_TIMEOUT_S)
            try:
                connection.request(method, path, body)
                return connection.getresponse().status
            except ConnectionRefusedError:
                assert time.monotonic() < deadline
                time.sleep(0.1)


@pytest.fixture(params=PROGRAMS)
def program(request: pytest.FixtureRequest, tmp_path: Path) -> Iterator[Program]:
    program = Program(request.param, tmp_path)
    yield program
    program.process.kill()
    program.process.wait()


def test_a_program_stops_within_its_grace_time(program: Program) -> None:
    """Guards against threads that keep a stopping process alive until the platform kills it."""
    assert program.call("GET", "/-/other") in (404, 503)
    program.process.send_signal(signal.SIGTERM)
    output, _ = program.process.communicate(timeout=GRACE_S)
    assert program.process.returncode == 0
    assert "event=process_started" in output
    assert "event=process_stopped" in output


def test_only_the_entry_answers_where_a_job_would_go(program: Program) -> None:
    """Guards against a call that the program does not pass on to its handler."""
    assert program.call("GET", "/-/other") in (404, 503)
    connection = http.client.HTTPConnection("127.0.0.1", program.metrics_port, timeout=5.0)
    connection.request("POST", "/where", '{"queue": "q", "job": {}}')
    response = connection.getresponse()
    is_entry = "batch_entry" in str(program.process.args)
    assert response.status == 404
    assert response.read() == (b'{"error":"no queue q"}' if is_entry else b"{}")


def test_a_burst_of_signals_does_not_keep_a_program_from_stopping(program: Program) -> None:
    """Guards against a deadlock in the signal handler.

    It comes about when a signal interrupts code that holds a lock which the handler acquires. The
    output is not read during the burst, so the queue of log lines is full at the end.
    """
    assert program.call("GET", "/-/other") in (404, 503)
    for _ in range(SIGNAL_COUNT):
        program.process.send_signal(signal.SIGHUP)
        time.sleep(SIGNAL_INTERVAL_S)
    program.process.send_signal(signal.SIGTERM)
    assert program.process.wait(timeout=GRACE_S) == 0


def build(checkout: Path) -> subprocess.CompletedProcess[str]:
    """Run the build of the deploy file in a copy of the sources, without inherited variables."""
    return subprocess.run(
        ["sh", "deploy/build.sh"],
        cwd=checkout,
        env=clean_environment(),
        capture_output=True,
        text=True,
        timeout=BUILD_TIMEOUT_S,
    )


def clean_environment() -> dict[str, str]:
    return {"PATH": os.environ["PATH"], "HOME": os.environ["HOME"]}


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    """Return a copy of the sources that was never built."""
    ignored = shutil.ignore_patterns("__pycache__")
    for name in ("deploy", "src"):
        shutil.copytree(REPOSITORY / name, tmp_path / "checkout" / name, ignore=ignored)
    return tmp_path / "checkout"


def test_the_build_of_a_new_checkout_starts_both_programs(checkout: Path) -> None:
    """Guards against a build that relies on what an earlier build or a developer has installed."""
    result = build(checkout)
    assert result.returncode == 0, result.stderr
    for name in PROGRAMS:
        environment = {**clean_environment(), "PYTHONPATH": "target/deps"}
        program = Program(
            name,
            checkout,
            python="python3",
            environment=environment,
            working_folder=checkout,
        )
        try:
            assert program.call("GET", "/-/other") in (404, 503)
        finally:
            program.process.kill()
            program.process.wait()


@pytest.mark.parametrize(
    ("path", "text", "message"),
    [
        ("deploy/requirements.txt", "no-such-package==", "were not installed"),
        ("src/chicorycrank/programs/batch_entry.py", "import no_such_module\n", "be imported"),
    ],
    ids=["package", "module"],
)
def test_a_failing_build_says_what_failed(
    checkout: Path, path: str, text: str, message: str
) -> None:
    """Guards against a build that succeeds although its programs cannot start."""
    (checkout / path).write_text(text)
    for _ in range(2):
        result = build(checkout)
        assert result.returncode != 0
        assert message in result.stderr
