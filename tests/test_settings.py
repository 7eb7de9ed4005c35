"""Settings: findings with their places, and what the agent loads at its start."""

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
KINDS: dict[str, Any] = {
    "agent": (AgentSettings, check_agent),
    "entry": (EntrySettings, check_entry),
}
READ = """
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
    parse_settings(text, program, *KINDS[program])
    return program, text


@when(parsers.parse("{old} is replaced by {new}"), target_fixture="changed")
def change(example: tuple[str, str], old: str, new: str) -> tuple[str, str]:
    program, text = example
    assert text.count(old) == 1
    return program, text.replace(old, new)


@then(parsers.parse("the findings are {findings}"))
def check_findings(changed: tuple[str, str], findings: str) -> None:
    program, text = changed
    lines = findings_of(program, text)
    wanted = findings.split("; ")
    assert len(lines) == len(wanted), lines
    for line, want in zip(lines, wanted, strict=True):
        place, words = want.split(" ", 1)
        assert line.startswith(f"{program}:{place}: {words}"), lines


@then(parsers.parse("reading them does not import {module}"))
def check_imports(module: str) -> None:
    command = [sys.executable, "-c", READ, str(EXAMPLES / "agent.jsonc"), module]
    assert subprocess.run(command, timeout=30, check=False).returncode == 0


def findings_of(program: str, text: str) -> list[str]:
    try:
        parse_settings(text, program, *KINDS[program])
    except SettingsError as error:
        return str(error).splitlines()
    return []


@given_values(st.sampled_from(["agent", "entry"]), st.integers(0, 1500), st.text(max_size=4))
def test_any_damage_is_read_or_located(program: str, index: int, text: str) -> None:
    """Guards against a start that fails without saying where the settings are wrong."""
    example = (EXAMPLES / f"{program}.jsonc").read_text()
    for line in findings_of(program, example[:index] + text + example[index + 1 :]):
        assert line.startswith(f"{program}:")
