"""Commands for requests, which are answered directly, as opposed to queued jobs."""

import json
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import quote

from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chicorycrank.cli.base import EXIT_USAGE, EntryCommand, entry_options, help_text
from chicorycrank.cli.client import KEY_HEADER, READ_TIMEOUT_S, Client, Reply
from chicorycrank.cli.job_commands import print_facts

REPLY_MARGIN_S = 10.0  # time beyond the request's deadline in which the reply may arrive
OUTCOME_COLUMNS = ("outcome", "key", "target", "answer", "detail")


class RequestCommand(EntryCommand):
    """Command that prints the outcome of a request."""

    def print_outcome(self, reply: Reply) -> int:
        """Print the outcome of a request."""
        document = reply.document
        if reply.exit_code or self.option("json"):
            return self.print_rows(reply, OUTCOME_COLUMNS, [document])
        answer = {"answer": json.dumps(document.get("answer"))} if "answer" in document else {}
        return self.print_rows(reply, OUTCOME_COLUMNS, [document | answer])


class RequestSend(RequestCommand):
    """Command that sends a request."""

    name = "request send"
    description = "Run a request and print its outcome."
    help = help_text(
        "request send --team claims --service scan --body '{\"photo\": 7}'",
        "request send --team claims --service order --body-file order.json --key claim-7",
    )
    options: ClassVar[list[Option]] = [
        *entry_options(),
        option("team", None, "Team that sends the request.", flag=False),
        option("service", None, "Service that runs the request.", flag=False),
        option("body", None, "Body as JSON.", flag=False),
        option("body-file", None, "File that holds the body as JSON.", flag=False),
        option(
            "deadline-s", None, "Longest wait in seconds; by default the service's.", flag=False
        ),
        option("key", None, "Idempotency-Key; by default a new one.", flag=False),
    ]
    unknown_outcome_advice = "check `request status {key}`, or send it again with --key {key}"

    def run_with_client(self, client: Client) -> int:
        """Send the request.

        Entries run each key once, so the call may be repeated at another entry.
        """
        document = self._read_request()
        if document is None:
            return EXIT_USAGE
        key = self.option("key")
        reply = client.call(
            "POST",
            "/v1/requests",
            json.dumps(document).encode(),
            is_repeatable=True,
            headers={KEY_HEADER: key} if key else None,
            timeout_s=document.get("deadline_s", READ_TIMEOUT_S) + REPLY_MARGIN_S,
        )
        return self.print_outcome(reply)

    def _read_request(self) -> dict[str, Any] | None:
        """Return the request, or print all problems of the options and return ``None``."""
        document: dict[str, Any] = {}
        problems = []
        for name in ("team", "service"):
            document[name] = self.option(name)
            if not document[name]:
                problems.append(f"--{name} is missing; give the name that the release note uses")
        if self.option("body") is not None and self.option("body-file"):
            problems.append("--body and --body-file are both given; keep one of them")
        file = self.option("body-file")
        text = Path(file).read_text(encoding="utf-8") if file else self.option("body") or "null"
        try:
            document["body"] = json.loads(text)
        except ValueError as error:
            problems.append(f"the body is not JSON: {error}; correct it")
        if self.option("deadline-s") is not None:
            try:
                document["deadline_s"] = float(self.option("deadline-s"))
            except ValueError:
                problems.append("--deadline-s is not a number; give seconds such as 30")
        for problem in problems:
            self.line_error(problem)
        return None if problems else document


class RequestWhere(RequestSend):
    """Command that shows where a request would run now."""

    name = "request where"
    description = "Show which executor a request would get now and why, without sending it."
    help = help_text("request where --team claims --service scan")

    def run_with_client(self, client: Client) -> int:
        """Print one row per value of the answer."""
        document = self._read_request()
        if document is None:
            return EXIT_USAGE
        data = json.dumps(document).encode()
        return print_facts(
            self, client.call("POST", "/v1/requests/where", data, is_repeatable=True)
        )


class RequestStatus(RequestCommand):
    """Command that shows the recorded outcome of a request."""

    name = "request status"
    description = "Show the recorded outcome of a non-repeatable request."
    help = help_text("request status claim-7")
    arguments: ClassVar[list[Argument]] = [argument("key", "Idempotency-Key of the request.")]
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print the outcome."""
        path = f"/v1/requests/{quote(self.argument('key'), safe='')}"
        return self.print_outcome(client.call("GET", path, is_repeatable=True))


REQUEST_COMMANDS: tuple[type[Command], ...] = (RequestSend, RequestWhere, RequestStatus)
