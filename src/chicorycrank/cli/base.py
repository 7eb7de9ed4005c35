"""Base class and helpers of all commands: options of entries, output and exit codes."""

import json
import os
from collections.abc import Sequence
from typing import Any

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from chicorycrank.cli.client import (
    EXIT_UNKNOWN,
    EXIT_UNREACHABLE,
    Client,
    Reply,
    UnansweredError,
    UnreachableError,
)

ENTRY_URLS_VARIABLE = "CHICORYCRANK_ENTRY"
EXIT_USAGE = 2
EXIT_CODES_HELP = (
    "Exit codes: 0 done, 1 refused or failed, 2 usage or findings, 3 not run, 4 unknown, "
    "5 no entry reachable."
)
JSON_OPTION = option("json", None, "Print JSON, one object per line.")


def entry_options() -> list[Option]:
    """Return the options of commands that call an entry."""
    text = f"Base URL of an entry; the next one is tried on failure. Or {ENTRY_URLS_VARIABLE}."
    return [option("entry", None, text, flag=False, multiple=True), JSON_OPTION]


def help_text(*examples: str) -> str:
    """Return the help of a command: examples and the exit codes."""
    lines = "\n".join(f"  <info>chicorycrank {example}</info>" for example in examples)
    return f"Example:\n{lines}\n\n{EXIT_CODES_HELP}"


class EntryCommand(Command):
    """Command that calls an entry.

    :cvar unknown_outcome_advice: advice printed when the reply was lost; ``{key}`` is replaced by
        the ``Idempotency-Key`` of the call
    """

    unknown_outcome_advice = "run the same command again, which is safe"

    def handle(self) -> int:
        """Run the command and return its exit code."""
        default_urls = os.environ.get(ENTRY_URLS_VARIABLE, "").split(",")
        urls = self.option("entry") or [url for url in default_urls if url]
        if not urls:
            self.line_error(f"no entry is given; pass --entry URL or set {ENTRY_URLS_VARIABLE}")
            return EXIT_USAGE
        try:
            return self.run_with_client(Client(urls, on_wait=self.line_error))
        except UnansweredError as error:
            advice = self.unknown_outcome_advice.format(key=error.key)
            self.line_error(f"unknown: no answer: {error}; {advice}")
            return EXIT_UNKNOWN
        except UnreachableError as error:
            self.line_error(f"no entry answered: {error}; check the address and the network")
            return EXIT_UNREACHABLE
        except OSError as error:
            self.line_error(f"{error.filename}: {error.strerror}; give a file that can be read")
            return EXIT_USAGE

    def run_with_client(self, client: Client) -> int:
        """Run the command against an entry and return its exit code."""
        raise NotImplementedError

    def print_rows(
        self, reply: Reply, headers: Sequence[str], rows: Sequence[dict[str, Any]]
    ) -> int:
        """Print rows as a table, or as one JSON object per line, and return the exit code.

        A reply with an error is printed instead of the rows.
        """
        if reply.exit_code:
            return self.print_problem(reply)
        if self.option("json"):
            for row in rows:
                self.io.write_line(json.dumps(row))
        else:
            table = self.table(style="compact")
            table.set_headers(list(headers))
            for row in rows:
                table.add_row([_format_value(row.get(name)) for name in headers])
            table.render()
        return 0

    def print_problem(self, reply: Reply) -> int:
        """Print an error reply with its findings or changes, and return the exit code."""
        document = reply.document
        if self.option("json"):
            self.io.write_line(json.dumps(document))
            return reply.exit_code
        for finding in document.get("findings", ()):
            self.line_error(_format_finding(finding))
        for change in document.get("changes", ()):
            keys = ", ".join(change["keys"])
            self.line_error(
                f"generation {change['generation']}: {change['release']} "
                f"by {change['author']}: {keys}"
            )
        outcome = document.get("outcome", "failed")
        retry_hint = f"; run it again in {reply.retry_after} s" if reply.retry_after else ""
        self.line_error(f"{outcome}: {document.get('detail', 'no detail')}{retry_hint}")
        return reply.exit_code


def _format_finding(finding: dict[str, Any]) -> str:
    """Return a finding as one line.

    Findings of release notes have a file and a position; those of jobs and requests have a field.
    """
    if "file" in finding:
        location = f"{finding['file']}:{finding['line']}:{finding['column']}"
        return f"{location}: {finding['text']}; {finding['remedy']}"
    location = finding.get("field") or finding.get("pointer") or "body"
    return f"{location}: {finding.get('message') or finding.get('detail')}"


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    return "-" if value in (None, "") else str(value)
