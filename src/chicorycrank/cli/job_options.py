"""Job specifications from a file or from options."""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from cleo.helpers import option
from cleo.io.inputs.option import Option

from chicorycrank.cli.base import EntryCommand
from chicorycrank.model.jobs import JobSpec
from chicorycrank.settings.findings import Finding, Problem, locate
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
TEXT_BY_OPTION = {
    "team": "Team that owns the job.",
    "name": "Name for people.",
    "members": "Tasks of the gang.",
    "accelerators": "Accelerators of each member.",
    "adjacency": "worker, rack or any.",
    "cores": "Processor cores of each member.",
    "memory-gb": "Memory of each member in gigabytes.",
    "run-time-s": "Expected run time in seconds.",
    "region": "Region that must run the job.",
    "payload": "Text handed to each task.",
}
NUMBERS = frozenset({"members", "accelerators", "cores", "memory-gb", "run-time-s"})
TEXT_BY_FLAG = {
    "urgent": "Start ahead of work that is not urgent.",
    "checkpointable": "The job can save its work and resume.",
}


def job_options() -> list[Option]:
    """Return the options that describe a job."""
    values = [option(name, None, text, flag=False) for name, text in TEXT_BY_OPTION.items()]
    return [*values, *(option(name, None, text) for name, text in TEXT_BY_FLAG.items())]


class JobSource:
    """The text of a job specification and the name of its source for findings.

    :param command: the command whose argument ``file`` or whose options describe the job
    """

    def __init__(self, command: EntryCommand) -> None:
        document = _document(command)
        file = command.argument("file")
        self.has_both = file is not None and bool(document)
        self._file = file
        if file is None:
            self._text = json.dumps({"shape": {}} | document)
        else:
            self._text = Path(file).read_text(encoding="utf-8", errors="replace")

    def read(self) -> JobSpec | list[str]:
        """Return the specification, or its findings as lines."""
        if self.has_both:
            return ["a file and options that describe the job are given; put all into the file"]
        result = read_job(self._text, self._file or "options")
        return result.ok if result.is_ok() else self._lines(result.error)

    def locate(self, findings: Sequence[dict[str, Any]]) -> list[str]:
        """Return an entry's findings with their places in the file."""
        problems = [
            Problem(
                path=tuple(part for part in finding["field"].split(".") if part),
                text=finding["message"],
                remedy="correct it and submit again",
            )
            for finding in findings
        ]
        return self._lines(locate(self._text, self._file or "options", problems))

    def _lines(self, findings: Sequence[Finding]) -> list[str]:
        if self._file is not None:
            return [str(finding) for finding in findings]
        return [f"options: {finding.text}; {finding.remedy}" for finding in findings]


def _document(command: EntryCommand) -> dict[str, Any]:
    """Return what the options say; a number that can't be read stays text and is a finding."""
    document: dict[str, Any] = {}
    for name, path in PATH_BY_OPTION.items():
        text = command.option(name)
        if text is not None:
            inner = document.setdefault("shape", {}) if len(path) > 1 else document
            inner[path[-1]] = _number(text) if name in NUMBERS else text
    return document | {name: True for name in TEXT_BY_FLAG if command.option(name)}


def _number(text: str) -> Any:
    for kind in (int, float):
        try:
            return kind(text)
        except ValueError:
            continue
    return text
