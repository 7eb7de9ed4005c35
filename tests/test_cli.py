"""Command line sessions as operators see them, compared with golden files."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

import chicorycrank
from chicorycrank_standin.fleet import Fleet

SOURCE = Path(chicorycrank.__file__).parents[1]
DEAD_ENTRY = "http://127.0.0.1:9"


def note(generation: int, teams: dict[str, object], author: str = "ann") -> str:
    head = {"release": "first", "author": author, "written_against": generation}
    return json.dumps(head | {"added": {"teams": teams}})


def run(folder: Path, urls: list[str], line: str) -> str:
    """Return a command, its output and its exit code, with addresses replaced."""
    result = subprocess.run(
        [sys.executable, "-m", "chicorycrank.cli.app", *line.split()],
        cwd=folder,
        env=os.environ | {"CHICORYCRANK_ENTRY": ",".join(urls), "PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    text = f"$ chicorycrank {line}\n{result.stdout}{result.stderr}exit code {result.returncode}\n"
    for number, url in enumerate(urls):
        text = text.replace(url, f"http://entry-{number}")
    return text


def test_session(small_fleet: Fleet, tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    """Guards against changes of output and exit codes that programs rely on."""
    (tmp_path / "note.jsonc").write_text(note(0, {"claims": {"weight": 2.0}}))
    (tmp_path / "late.jsonc").write_text(note(0, {"renders": {}}, "bea"))
    (tmp_path / "bad.jsonc").write_text(note(1, {"claims": {}, "x": {"weight": "much"}}))
    # The first entry can't be reached, so each call goes on to the second.
    urls = [DEAD_ENTRY, small_fleet.url("entry-north-0")]
    commands = (
        "release check note.jsonc",
        "release apply note.jsonc",
        "release apply note.jsonc --json",
        "release apply late.jsonc",
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
    assert "".join(run(tmp_path, urls, command) for command in commands) == snapshot


@pytest.mark.parametrize(
    ("urls", "code"), [([DEAD_ENTRY], 5), ([], 2)], ids=["unreachable", "unnamed"]
)
def test_without_an_entry(tmp_path: Path, urls: list[str], code: int) -> None:
    """Guards against a success code when nothing was asked."""
    assert run(tmp_path, urls, "teams").endswith(f"exit code {code}\n")
