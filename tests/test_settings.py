"""Tests of settings files: the location of findings, and the modules that the agent imports."""

import subprocess
import sys
from pathlib import Path
from typing import Any

from hypothesis import given as given_values
from hypothesis import strategies as st
from pytest_bdd import given, parsers, scenarios, then, when

from chicorycrank.settings.agent import AgentSettings, check_agent
from chicorycrank.settings.entry import EntrySettings, check_entry
from chicorycrank.settings.reader import SettingsError, parse_settings

scenarios("features/settings.feature")

EXAMPLES = Path(__file__).parent.parent / "examples"
TYPE_AND_CHECK_BY_PROGRAM: dict[str, Any] = {
    "agent": (AgentSettings, check_agent),
    "entry": (EntrySettings, check_entry),
}
READ_SETTINGS_SCRIPT = """
import sys
from pathlib import Path
import chicorycrank.agent.main
from chicorycrank.settings.agent import AgentSettings, check_agent
from chicorycrank.settings.reader import read_settings
read_settings(Path(sys.argv[1]), AgentSettings, check_agent)
sys.exit(sys.argv[2] in sys.modules)
"""


@given(parsers.parse("the example settings of the {program}"), target_fixture="example")
def read_example(program: str) -> tuple[str, str]:
    text = (EXAMPLES / f"{program}.jsonc").read_text()
    parse_settings(text, program, *TYPE_AND_CHECK_BY_PROGRAM[program])
    return program, text


@when(parsers.parse("{old} is replaced by {new}"), target_fixture="changed")
def replace_text(example: tuple[str, str], old: str, new: str) -> tuple[str, str]:
    program, text = example
    assert text.count(old) == 1
    return program, text.replace(old, new)


@then(parsers.parse("the findings are {findings}"))
def check_findings(changed: tuple[str, str], findings: str) -> None:
    program, text = changed
    lines = findings_of(program, text)
    expected = findings.split("; ")
    assert len(lines) == len(expected), lines
    for line, finding in zip(lines, expected, strict=True):
        location, message = finding.split(" ", 1)
        assert line.startswith(f"{program}:{location}: {message}"), lines


@then(parsers.parse("reading the settings does not import {module}"))
def check_imports(module: str) -> None:
    command = [sys.executable, "-c", READ_SETTINGS_SCRIPT, str(EXAMPLES / "agent.jsonc"), module]
    assert subprocess.run(command, timeout=30, check=False).returncode == 0


def findings_of(program: str, text: str) -> list[str]:
    try:
        parse_settings(text, program, *TYPE_AND_CHECK_BY_PROGRAM[program])
    except SettingsError as error:
        return str(error).splitlines()
    return []


@given_values(st.sampled_from(["agent", "entry"]), st.integers(0, 1500), st.text(max_size=4))
def test_damaged_settings_are_accepted_or_reported_with_location(
    program: str, index: int, text: str
) -> None:
    """Guards against a program that rejects its settings without naming the location.

    One character of an example is replaced by random text, which may break its syntax.
    """
    example = (EXAMPLES / f"{program}.jsonc").read_text()
    for line in findings_of(program, example[:index] + text + example[index + 1 :]):
        assert line.startswith(f"{program}:")
