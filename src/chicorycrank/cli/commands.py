"""Commands for settings, releases, targets, teams and state, and the list of all commands."""

import json
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import quote

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chicorycrank.cli.base import EXIT_USAGE, EntryCommand, entry_options, help_text
from chicorycrank.cli.client import Client
from chicorycrank.cli.completions import CompletionScript
from chicorycrank.cli.job_commands import JOB_COMMANDS
from chicorycrank.cli.platform_commands import LogTrace, NodeCheck
from chicorycrank.cli.release_diff import ReleaseDiff
from chicorycrank.cli.request_commands import REQUEST_COMMANDS
from chicorycrank.settings.agent import AgentSettings, check_agent
from chicorycrank.settings.entry import EntrySettings, check_entry
from chicorycrank.settings.reader import SettingsError, read_settings

FILE_ARGUMENT = argument("file", "File to read.")


class SettingsCheck(Command):
    """Command that checks a settings file."""

    name = "settings check"
    description = "Check a settings file as the program does at start-up."
    help = help_text("settings check examples/agent.jsonc --program agent")
    arguments: ClassVar[list[Argument]] = [FILE_ARGUMENT]
    options: ClassVar[list[Option]] = [
        option("program", None, "agent or entry; by default derived from the file.", flag=False)
    ]

    def handle(self) -> int:
        """Print the findings and return the exit code."""
        path = Path(self.argument("file"))
        program = self.option("program") or _guess_program(path)
        try:
            if program == "agent":
                read_settings(path, AgentSettings, check_agent)
            else:
                read_settings(path, EntrySettings, check_entry)
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_USAGE
        self.line(f"{path}: no findings")
        return 0


def _guess_program(path: Path) -> str:
    """Return the program of a settings file; only settings of agents have a ``target``."""
    try:
        return "agent" if '"target"' in path.read_text(encoding="utf-8") else "entry"
    except (OSError, UnicodeDecodeError):
        return "entry"


class ReleaseCheck(EntryCommand):
    """Command that checks a release note."""

    name = "release check"
    description = "Check a release note against the configuration in force."
    help = help_text("release check note.jsonc --entry http://192.0.2.10:7100")
    arguments: ClassVar[list[Argument]] = [FILE_ARGUMENT]
    options: ClassVar[list[Option]] = entry_options()
    path = "/v1/releases/check"
    is_mutating = False

    def run_with_client(self, client: Client) -> int:
        """Send the release note; the call is idempotent."""
        file = self.argument("file")
        headers = {"X-Release-File": quote(Path(file).name)}
        body = Path(file).read_bytes()
        reply = client.call(
            "POST",
            self.path,
            body,
            is_repeatable=True,
            headers=headers,
            is_mutating=self.is_mutating,
        )
        return self.print_rows(reply, ("result", "generation", "keys", "detail"), [reply.document])


class ReleaseApply(ReleaseCheck):
    """Command that applies a release note."""

    name = "release apply"
    description = "Apply a release note; the same note may be applied again."
    help = help_text("release apply note.jsonc --entry http://192.0.2.10:7100")
    path = "/v1/releases"
    is_mutating = True


class ReleaseStatus(EntryCommand):
    """Command that shows which generation is in force in each process."""

    name = "release status"
    description = "Show which generation is in force in each region and process."
    help = help_text("release status --json")
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print one row per process."""
        reply = client.call("GET", "/v1/releases/status", is_repeatable=True)
        for region in reply.document.get("regions", ()):
            if not region["reachable"]:
                name = region["region"]
                self.line_error(f"no entry of region {name} answers; its agents are not listed")
        rows = [
            {"region": region["region"], "process": process, "kind": kind, "generation": applied}
            for region in reply.document.get("regions", ())
            for kind, section in (("entry", "entries"), ("agent", "agents"))
            for process, applied in sorted(region[section].items())
        ]
        return self.print_rows(reply, ("region", "process", "kind", "generation"), rows)


class TargetsList(EntryCommand):
    """Command that lists the targets."""

    name = "targets list"
    description = "List the targets of all regions."
    help = help_text("targets list")
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print one row per target."""
        reply = client.call("GET", "/v1/targets", is_repeatable=True)
        rows = reply.document.get("targets", [])
        for region in reply.document.get("unreachable_regions", ()):
            self.line_error(f"no entry of region {region} answers; its targets are not listed")
        return self.print_rows(
            reply, ("target", "kind", "region", "zone", "draining", "generation"), rows
        )


class TargetsDrain(EntryCommand):
    """Command that drains a target."""

    name = "targets drain"
    description = "Stop sending new work to a target, or resume with --undo."
    help = help_text("targets drain work-north-1")
    arguments: ClassVar[list[Argument]] = [argument("target", "Name of the target.")]
    options: ClassVar[list[Option]] = [
        *entry_options(),
        option("undo", None, "Send new work to the target again."),
    ]

    def run_with_client(self, client: Client) -> int:
        """Send the setting to the target's agent; the call is idempotent."""
        path = f"/v1/targets/{quote(self.argument('target'), safe='')}/drain"
        body = json.dumps({"draining": not self.option("undo")}).encode()
        reply = client.call("POST", path, body, is_repeatable=True)
        return self.print_rows(reply, ("target", "draining"), [reply.document])


class TargetsRelease(EntryCommand):
    """Command that ends the quarantine of a worker."""

    name = "targets release"
    description = "End the quarantine of a worker, so that it runs jobs again."
    help = help_text("targets release work-north-1")
    arguments: ClassVar[list[Argument]] = [argument("target", "Name of the worker.")]
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Send the call to the cell's leader; it is idempotent."""
        target = self.argument("target")
        path = f"/v1/targets/{quote(target, safe='')}/release-quarantine"
        reply = client.call("POST", path, is_repeatable=True)
        return self.print_rows(
            reply, ("target", "quarantined"), [{"target": target, "quarantined": False}]
        )


class TeamsList(EntryCommand):
    """Command that lists the teams."""

    name = "teams"
    description = "List the teams and their guarantees."
    help = help_text("teams")
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print one row per team."""
        reply = client.call("GET", "/v1/teams", is_repeatable=True)
        rows: list[dict[str, Any]] = reply.document.get("teams", [])
        if not self.option("json"):
            rows = [row | {"guarantees": ", ".join(row["guarantees"]) or None} for row in rows]
        return self.print_rows(reply, ("team", "weight", "max_queued_jobs", "guarantees"), rows)


class StateDump(EntryCommand):
    """Command that prints the state of a process."""

    name = "dump"
    description = "Print the state of an entry or an agent as JSON."
    help = help_text("dump work-north-1")
    arguments: ClassVar[list[Argument]] = [argument("process", "Name of the entry or target.")]
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print the state as JSON."""
        path = f"/v1/state/{quote(self.argument('process'), safe='')}"
        reply = client.call("GET", path, is_repeatable=True)
        if reply.exit_code:
            return self.print_problem(reply)
        indent = None if self.option("json") else 2
        self.io.write_line(json.dumps(reply.document, indent=indent))
        return 0


COMMANDS: tuple[type[Command], ...] = (
    SettingsCheck,
    NodeCheck,
    LogTrace,
    *JOB_COMMANDS,
    *REQUEST_COMMANDS,
    ReleaseDiff,
    ReleaseCheck,
    ReleaseApply,
    ReleaseStatus,
    TargetsList,
    TargetsDrain,
    TargetsRelease,
    TeamsList,
    StateDump,
    CompletionScript,
)
