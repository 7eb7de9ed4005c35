"""Commands for the batch programs on the external platform: settings check and log search."""

import re
from collections.abc import Iterator
from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from chicorycrank.cli.base import EXIT_USAGE, help_text
from chicorycrank.platform.settings import read_settings
from chicorycrank.settings.reader import SettingsError

EXIT_NO_MATCH = 1
# Stamp of a log line, anywhere in the line: letter of the level, month and day, time.
LOG_STAMP = re.compile(r"\b[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})")


class NodeCheck(Command):
    """Command that checks the settings file of a process on the platform."""

    name = "node check"
    description = "Check a settings file of the platform as the process does at start-up."
    help = help_text("node check /etc/chicorycrank/settings.yaml")
    arguments: ClassVar[list[Argument]] = [argument("file", "The settings file.")]

    def handle(self) -> int:
        """Print the findings and return the exit code."""
        path = Path(self.argument("file"))
        try:
            settings = read_settings(path)
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        self.line(f"{path}: no findings; node {settings.name}, store {settings.store}")
        return 0


class LogTrace(Command):
    """Command that merges the log lines of one job or request."""

    name = "trace"
    description = "Print the log lines of a job or request from many processes, in order of time."
    help = help_text("trace 5c0e7a21d94b36f8 entry-1.log entry-2.log agent-1.log")
    arguments: ClassVar[list[Argument]] = [
        argument("id", "Id of the job or request."),
        argument("files", "Log files.", multiple=True),
    ]

    def handle(self) -> int:
        """Print each line after the name of its file."""
        matches = []
        for name in self.argument("files"):
            try:
                matches += list(find_lines(self.argument("id"), Path(name)))
            except OSError as error:
                self.line_error(f"{name}: {error.strerror}")
                return EXIT_USAGE
        for _, name, line in sorted(matches):
            self.line(f"{name}: {line}", style=None)
        return 0 if matches else EXIT_NO_MATCH


def find_lines(work_id: str, path: Path) -> Iterator[tuple[str, str, str]]:
    """Yield time stamp, file name and text of the lines that contain the id of a job or request."""
    id_pattern = re.compile(rf"(?<!\w){re.escape(work_id)}(?!\w)")
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            stamp = LOG_STAMP.search(line)
            if stamp is not None and id_pattern.search(line):
                yield stamp.group(1), path.name, line.rstrip("\n")
