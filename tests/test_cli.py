"""Sessions of the command line, compared with snapshots, and its bash completion."""

import json
import os
import re
import shlex
import subprocess
import sys
import threading
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion

import chicorycrank
from chicorycrank.cli.app import make_application
from chicorycrank.cli.completions import bash_script
from chicorycrank_standin.fleet import Fleet

SOURCE = Path(chicorycrank.__file__).parents[1]
UNREACHABLE_ENTRY = "http://127.0.0.1:9"
# Exit codes that scripts rely on, repeated here so that a change of the command line is noticed.
EXIT_USAGE = 2
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5


def complete_last_word(*words: str) -> list[str]:
    """Return the completions that bash offers for the last word."""
    script = bash_script(make_application())
    quoted = " ".join(shlex.quote(word) for word in words)
    probe = f"COMP_WORDS=({quoted}); COMP_CWORD={len(words) - 1}; _chicorycrank; "
    result = subprocess.run(
        ["bash", "-c", script + probe + 'echo "${COMPREPLY[@]}"'],
        capture_output=True,
        text=True,
        timeout=10,
        check=True,
    )
    return result.stdout.split()


@pytest.mark.parametrize(
    ("words", "offered"),
    [
        (("chicorycrank", "rel"), ["release"]),
        (("chicorycrank", "request", ""), ["send", "status", "where"]),
        (("chicorycrank", "job", "submit", "--me"), ["--members", "--memory-gb"]),
        (("chicorycrank", "dump", "--e"), ["--entry"]),
        (("chicorycrank", "job", "submit", "fi"), []),
    ],
)
def test_bash_completes_commands_and_options(words: tuple[str, ...], offered: list[str]) -> None:
    """Guards against missing option completions for two-word commands.

    The bash script of ``cleo`` takes only the first word as the command.
    """
    assert complete_last_word(*words) == offered


def release_note(
    generation: int,
    teams: dict[str, object],
    author: str = "ann",
    **more_sections: dict[str, object],
) -> str:
    header = {"release": "first", "author": author, "written_against": generation}
    return json.dumps(header | {"added": {"teams": teams} | more_sections})


def run_command(folder: Path, urls: list[str], line: str) -> str:
    """Return a command, its output and its exit code, with the URLs of entries replaced."""
    result = subprocess.run(
        [sys.executable, "-m", "chicorycrank.cli.app", *shlex.split(line)],
        cwd=folder,
        env=os.environ | {"CHICORYCRANK_ENTRY": ",".join(urls), "PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    output = "".join(
        f"{output_line}\n"
        for output_line in (result.stdout + result.stderr).splitlines()
        # Progress lines appear if a call takes more than a second, as on a busy machine.
        if not output_line.startswith("waiting for ")
    )
    text = f"$ chicorycrank {line}\n{output}exit code {result.returncode}\n"
    for number, url in enumerate(urls):
        text = text.replace(url, f"http://entry-{number}")
    return text


def test_session(small_fleet: Fleet, tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    """Guards against changes of the output and the exit codes that scripts rely on."""
    (tmp_path / "note.jsonc").write_text(release_note(0, {"claims": {"weight": 2.0}}))
    (tmp_path / "late.jsonc").write_text(release_note(0, {"renders": {}}, "bea"))
    (tmp_path / "bad.jsonc").write_text(release_note(1, {"claims": {}, "x": {"weight": "much"}}))
    # The first entry is unreachable, so each call is sent to the second.
    urls = [UNREACHABLE_ENTRY, small_fleet.url("entry-north-0")]
    commands = (
        "release diff note.jsonc",
        "release check note.jsonc",
        "release apply note.jsonc",
        "release apply note.jsonc --json",
        "release apply late.jsonc",
        "release diff late.jsonc",
        "release check bad.jsonc",
        "release check missing.jsonc",
        "teams",
        "teams --json",
        "targets drain work-north-0",
        "targets drain work-north-0 --undo",
        "targets drain nobody",
        "dump nobody",
        "bogus",
    )
    assert "".join(run_command(tmp_path, urls, command) for command in commands) == snapshot


@pytest.mark.parametrize(
    ("urls", "code"),
    [([UNREACHABLE_ENTRY], EXIT_UNREACHABLE), ([], EXIT_USAGE)],
    ids=["unreachable", "unnamed"],
)
def test_exit_code_without_a_reachable_entry(tmp_path: Path, urls: list[str], code: int) -> None:
    """Guards against exit code 0 when no entry was called."""
    assert run_command(tmp_path, urls, "teams").endswith(f"exit code {code}\n")


JOB = """{
  "team": "claims", "name": "scan",  // comments are allowed
  "shape": {"members": 2, "accelerators": 4},
  "run_time_s": 0.5
}
"""
BAD_JOB = """{
  "team": "claims",
  "nam": "scan",
  "shape": {"members": 0, "accelerators": "four"},
  "run_time_s": -1
}
"""


def test_job_and_request_session(
    small_fleet: Fleet, tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    """Guards against unprinted findings, and against two jobs for one idempotency key."""
    (tmp_path / "job.jsonc").write_text(JOB)
    (tmp_path / "bad.jsonc").write_text(BAD_JOB)
    services: dict[str, object] = {"order": {"request_class": "urgent", "repeatable": False}}
    (tmp_path / "note.jsonc").write_text(release_note(0, {"claims": {}}, services=services))
    urls = [small_fleet.url("entry-north-0")]
    commands = (
        "release apply note.jsonc",
        "job submit bad.jsonc",
        "job submit --team claims --members two --run-time-s 0",
        "job submit job.jsonc --team claims",
        "job submit job.jsonc --key first",
        "job watch north-0daa6ca4649c868f",
        "job submit job.jsonc --key first",
        "job status nobody",
        "job list --team claims",
        "job list --state queued --json",
        "job cancel north-0daa6ca4649c868f --if-generation 1",
        "explain north-0daa6ca4649c868f",
        "targets release work-north-0",
        "request send --team claims --service order --body '{\"photo\": 7}' --key one",
        "request send --team claims --deadline-s soon --body {",
        "request status one",
        "request status two",
    )
    session = "".join(run_command(tmp_path, urls, command) for command in commands)
    # The states that a watch prints before the final one depend on timing.
    session = re.sub(r"^north-\w+ (?!completed).*\n", "", session, flags=re.MULTILINE)
    assert session == snapshot


class StubEntry:
    """HTTP server that replies as an entry.

    :param answers: status and body by method and path; if one is missing, the connection is closed
        without a reply
    """

    def __init__(self, answers: dict[str, tuple[int, Any] | None]) -> None:
        self.calls: list[tuple[str, str]] = []
        stub_entry = self

        class Handler(BaseHTTPRequestHandler):
            def respond(self) -> None:
                call = f"{self.command} {self.path}"
                stub_entry.calls.append((call, self.headers["Idempotency-Key"]))
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                answer = answers.get(call)
                if answer is None:
                    self.close_connection = True
                    return
                body = json.dumps(answer[1]).encode()
                self.send_response(answer[0])
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_DELETE = respond  # noqa: N815 (names that the base class calls)

            def log_message(self, format: str, *args: object) -> None:
                return

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()


@pytest.fixture
def start_stub_entry() -> Iterator[Callable[..., StubEntry]]:
    started: list[StubEntry] = []

    def start(**answers: tuple[int, Any] | None) -> StubEntry:
        started.append(StubEntry(answers))
        return started[-1]

    yield start
    for stub_entry in started:
        stub_entry.stop()


RECORD = {
    "job_id": "north-1",
    "spec": {"team": "claims", "name": "scan"},
    "state": "queued",
    "attempt": 0,
    "generation": 1,
}
REFUSAL = {"outcome": "not_run", "detail": "the record has generation 4"}
FINDING = {"code": "unknown_team", "field": "team", "message": "no team 'claims'"}
EXPLANATION = {
    "state": "queued",
    "needs": {"members": 2, "accelerators": 4},
    "blocked_by": [{"job_id": "north-2", "accelerators": 8}],
    "freed_by": [],
}


def test_scripted_session(
    start_stub_entry: Callable[..., StubEntry], tmp_path: Path, snapshot: SnapshotAssertion
) -> None:
    """Guards against wrong paths, queries and exit codes of calls about jobs and workers."""
    (tmp_path / "job.jsonc").write_text(JOB)
    jobs = {"jobs": [RECORD], "omitted": 3, "unreachable_cells": ["south"]}
    entry = start_stub_entry(
        **{
            "GET /v1/jobs?team=claims&state=queued": (200, jobs),
            "DELETE /v1/jobs/north-1": (200, RECORD | {"state": "cancelled", "generation": 2}),
            "DELETE /v1/jobs/north-1?if_generation=3": (409, REFUSAL),
            "GET /v1/jobs/north-1/explain": (200, EXPLANATION),
            "POST /v1/jobs": (422, {"outcome": "not_run", "findings": [FINDING]}),
            "POST /v1/targets/work-1/release-quarantine": (200, {"target": "work-1"}),
        }
    )
    commands = (
        "job list --team claims --state queued",
        "job cancel north-1",
        "job cancel north-1 --if-generation 3",
        "job cancel north-1 --if-generation x",
        "explain north-1",
        "explain north-1 --json",
        "job submit job.jsonc",
        "targets release work-1",
    )
    assert "".join(run_command(tmp_path, [entry.url], command) for command in commands) == snapshot


@pytest.mark.parametrize(
    ("command", "calls_of_second_entry", "code"),
    [
        ("request send --team t --service s --key k", 1, EXIT_UNKNOWN),
        ("job cancel j", 1, EXIT_UNKNOWN),
        ("job cancel j --if-generation 2", 0, EXIT_UNKNOWN),
        (
            "job submit --team t --name n --members 1 --accelerators 1 --run-time-s 1 --key k",
            1,
            EXIT_UNKNOWN,
        ),
        ("teams", 1, EXIT_UNREACHABLE),
    ],
)
def test_call_is_repeated_after_a_lost_reply_only_if_safe(
    start_stub_entry: Callable[..., StubEntry],
    tmp_path: Path,
    command: str,
    calls_of_second_entry: int,
    code: int,
) -> None:
    """Guards against a repeated effect of a call whose reply was lost.

    The first entry closes the connection without a reply; only a call that is safe to repeat may
    be sent to the second entry, under the same idempotency key.
    """
    first, second = start_stub_entry(), start_stub_entry()
    output = run_command(tmp_path, [first.url, second.url], command)
    assert output.endswith(f"exit code {code}\n")
    assert len(first.calls) == 1
    assert len(second.calls) == calls_of_second_entry
    assert {key for _, key in second.calls} <= {key for _, key in first.calls}


def test_where_prints_an_answer_and_submits_nothing(
    start_stub_entry: Callable[..., StubEntry], tmp_path: Path
) -> None:
    """Guards against a call that submits the job or sends the request, and lost reasons."""
    (tmp_path / "job.jsonc").write_text(JOB)
    answer = {
        "cell": "north",
        "starts_now": False,
        "cause": "no_room",
        "rejected": [{"worker": "work-1", "reason": "cores", "detail": "1 free, 2 needed"}],
        "rejected_by_reason": {"cores": 1},
    }
    entry = start_stub_entry(
        **{
            "POST /v1/jobs/where": (200, answer),
            "POST /v1/requests/where": (200, {"region": "north", "starts_now": True}),
        }
    )
    output = run_command(tmp_path, [entry.url], "job where job.jsonc")
    for fact in ("cause", "no_room", "worker work-1, reason cores, detail 1 free, 2 needed"):
        assert fact in output
    assert output.endswith("exit code 0\n")
    line = "request where --team claims --service order"
    assert "region" in run_command(tmp_path, [entry.url], line)
    printed = run_command(tmp_path, [entry.url], "job where job.jsonc --json")
    assert json.dumps(answer) in printed
    calls = ["POST /v1/jobs/where", "POST /v1/requests/where", "POST /v1/jobs/where"]
    assert [call for call, _ in entry.calls] == calls
