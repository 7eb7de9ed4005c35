"""Job specifications that are read from a file or from options of the command."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from cleo.helpers import option
from cleo.io.inputs.option import Option

from chicorycrank.cli.base import EntryCommand
from chicorycrank.model.jobs import JobSpec
from chicorycrank.settings.findings import Finding, Problem, locate_problems
from chicorycrank.settings.job import read_job

PATH_BY_OPTION: dict[str, tuple[str, ...]] = {
    "team": ("team",),
    "name": ("name",),
    "members": ("shape", "members"),
    "accelerators": ("shape", "accelerators"),
    "adjacency": ("shape", "adjacency"),
    "cores": ("shape", "cores"),
    "memory-gb": ("shape", "memory_gb"),
    "run-time-s": ("run_time_s",),
    "region": ("region",),
    "payload": ("payload",),
}
HELP_BY_OPTION = {
    "team": "Team that owns the job.",
    "name": "Display name of the job.",
    "members": "Tasks of the gang.",
    "accelerators": "Accelerators of each member.",
    "adjacency": "worker, rack or any.",
    "cores": "Processor cores of each member.",
    "memory-gb": "Memory of each member in gigabytes.",
    "run-time-s": "Expected run time in seconds.",
    "region": "Region that must run the job.",
    "payload": "Text passed to each task.",
}
NUMERIC_OPTIONS = frozenset({"members", "accelerators", "cores", "memory-gb", "run-time-s"})
HELP_BY_FLAG = {
    "urgent": "Start ahead of work that is not urgent.",
    "checkpointable": "The job can save its work and resume.",
}


def job_options() -> list[Option]:
    """Return the options that describe a job."""
    values = [option(name, None, text, flag=False) for name, text in HELP_BY_OPTION.items()]
    return [*values, *(option(name, None, text) for name, text in HELP_BY_FLAG.items())]


class JobSource:
    """Text of a job specification, and the file or options that it was read from.

    :param command: command whose argument ``file`` or whose options describe the job
    """

    def __init__(self, command: EntryCommand) -> None:
        document = _document_from_options(command)
        file = command.argument("file")
        self.has_file_and_options = file is not None and bool(document)
        self._file = file
        if file is None:
            self._text = json.dumps({"shape": {}} | document)
        else:
            self._text = Path(file).read_text(encoding="utf-8", errors="replace")

    def read_spec(self) -> JobSpec | list[str]:
        """Return the specification, or one line per finding."""
        if self.has_file_and_options:
            return ["a file and options that describe the job are given; put all into the file"]
        result = read_job(self._text, self._file or "options")
        return result.ok if result.is_ok() else self._format_findings(result.error)

    def locate_findings(self, findings: Sequence[dict[str, Any]]) -> list[str]:
        """Return one line per finding of an entry, with its position in the file."""
        problems = [
            Problem(
                path=tuple(part for part in finding["field"].split(".") if part),
                text=finding["message"],
                remedy="correct it and submit again",
            )
            for finding in findings
        ]
        return self._format_findings(locate_problems(self._text, self._file or "options", problems))

    def _format_findings(self, findings: Sequence[Finding]) -> list[str]:
        if self._file is not None:
            return [str(finding) for finding in findings]
        return [f"options: {finding.text}; {finding.remedy}" for finding in findings]


def _document_from_options(command: EntryCommand) -> dict[str, Any]:
    """Return the specification that the options describe.

    A number that can't be parsed stays a string, so that the check reports it as a finding.
    """
    document: dict[str, Any] = {}
    for name, path in PATH_BY_OPTION.items():
        text = command.option(name)
        if text is not None:
            section = document.setdefault("shape", {}) if len(path) > 1 else document
            section[path[-1]] = _parse_number(text) if name in NUMERIC_OPTIONS else text
    return document | {name: True for name in HELP_BY_FLAG if command.option(name)}


def _parse_number(text: str) -> Any:
    for number_type in (int, float):
        try:
            return number_type(text)
        except ValueError:
            continue
    return text
