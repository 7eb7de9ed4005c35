"""Commands for deployments on the users' platform."""

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

EXIT_NOTHING_FOUND = 1
# Letter of the level, month and day, time: the stamp of a log line, wherever it stands in a line.
STAMP = re.compile(r"\b[IWEF](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})")


class NodeCheck(Command):
    """Checks the settings file of a process on the platform."""

    name = "node check"
    description = "Check a settings file of the platform with the code that start-up runs."
    help = help_text("node check /etc/chicorycrank/settings.yaml")
    arguments: ClassVar[list[Argument]] = [argument("file", "The settings file.")]

    def handle(self) -> int:
        """Print the findings."""
        path = Path(self.argument("file"))
        try:
            settings = read_settings(path)
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        self.line(f"{path}: no findings; node {settings.name}, store {settings.store}")
        return 0


class Trace(Command):
    """Puts the log lines of one job or request in order."""

    name = "trace"
    description = "Print the lines of a job or request from the logs of many processes by time."
    help = help_text("trace 5c0e7a21d94b36f8 entry-1.log entry-2.log agent-1.log")
    arguments: ClassVar[list[Argument]] = [
        argument("id", "The job or request."),
        argument("files", "Log files.", multiple=True),
    ]

    def handle(self) -> int:
        """Print the lines with the name of their file."""
        found = []
        for name in self.argument("files"):
            try:
                found += list(find_lines(self.argument("id"), Path(name)))
            except OSError as error:
                self.line_error(f"{name}: {error.strerror}")
                return EXIT_USAGE
        for _, name, line in sorted(found):
            self.line(f"{name}: {line}", style=None)
        return 0 if found else EXIT_NOTHING_FOUND


def find_lines(identity: str, path: Path) -> Iterator[tuple[str, str, str]]:
    """Yield time stamp, file name and text of the lines that name a job or request."""
    word = re.compile(rf"(?<!\w){re.escape(identity)}(?!\w)")
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            stamp = STAMP.search(line)
            if stamp is not None and word.search(line):
                yield stamp.group(1), path.name, line.rstrip("\n")
