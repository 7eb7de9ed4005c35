"""Commands for the batch programs on the external platform: ``node check`` and ``trace``."""

from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from chicorycrank.cli.app import make_application

EXIT_NO_MATCH = 1
EXIT_USAGE = 2
JOB = "5c0e7a21d94b36f8"
ENTRY_LOG = f"""I0101 10:00:00.500000 7 leader.py:1] event=unit_started job={JOB} run=1
I0101 10:00:00.100000 7 intake.py:1] event=job_submitted job={JOB} outcome=done
I0101 10:00:00.200000 7 intake.py:1] event=job_submitted job=aaaaaaaaaaaaaaaa outcome=done
"""
AGENT_LOG = f"""\
I0101 10:00:00.300000 9 agent.py:1] event=run_start_answered task={JOB}.0.0.0 answer=started
no time stamp, {JOB}
"""
SETTINGS = """node: "edge-1"
ip: "10.1.0.19"
platform:
  address: "10.2.0.1:3"
"""


def run_command(command: str, arguments: str) -> tuple[int, str, str]:
    tester = CommandTester(make_application().find(command))
    code = tester.execute(arguments)
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def test_trace_orders_the_lines_of_one_job(tmp_path: Path) -> None:
    """Guards against a trace without the lines of a process, or with lines of another job."""
    (tmp_path / "entry.log").write_text(ENTRY_LOG)
    (tmp_path / "agent.log").write_text(AGENT_LOG)
    code, output, _ = run_command("trace", f"{JOB} {tmp_path}/entry.log {tmp_path}/agent.log")
    events = [line.split("event=")[1].split()[0] for line in output.splitlines()]
    assert (code, events) == (0, ["job_submitted", "run_start_answered", "unit_started"])
    assert run_command("trace", f"ffff {tmp_path}/entry.log")[0] == EXIT_NO_MATCH


@pytest.mark.parametrize(
    ("text", "code", "expected"),
    [
        (SETTINGS, 0, "no findings"),
        (SETTINGS.replace("node:", "name:"), EXIT_USAGE, "node"),
        ("- a", EXIT_USAGE, "not a table"),
        ("a: [", EXIT_USAGE, "settings.yaml"),
    ],
)
def test_node_check_names_the_faulty_setting(
    tmp_path: Path, text: str, code: int, expected: str
) -> None:
    """Guards against faulty settings that are found only when a process fails to start."""
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    exit_code, output, error = run_command("node check", str(path))
    assert exit_code == code
    assert expected in output + error
