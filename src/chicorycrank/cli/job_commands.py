"""The commands for jobs."""

import json
import time
from collections.abc import Iterator
from typing import Any, ClassVar
from urllib.parse import quote, urlencode

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chicorycrank.cli.base import EXIT_USAGE, EntryCommand, entry_options, help_text
from chicorycrank.cli.client import (
    EXIT_FINDINGS,
    KEY_HEADER,
    Client,
    Reply,
    UnreachableError,
)
from chicorycrank.cli.job_options import JobSource, job_options
from chicorycrank.model.jobs import FINAL_STATES, JobState

COLUMNS = ("job", "team", "name", "state", "kind", "attempt", "generation", "reason")
JOB = argument("job", "Id of the job, as `job submit` and `job list` print it.")
HTTP_SERVER_ERROR = 500
EXIT_FAILED = 1
WAIT_S = 20.0
# An entry may hold a waiting call for twice the wait before it gives up on the leader.
WAIT_LIMIT_S = 90.0
# A cell without a leader is led again within about 10 s of the store's return.
RETRY_S = 2.0
MAX_SILENCE_S = 60.0


def path_of(job_id: str) -> str:
    """Return the path of a job."""
    return f"/v1/jobs/{quote(job_id, safe='')}"


class JobCommand(EntryCommand):
    """A command that prints job records."""

    def show_records(self, reply: Reply, records: list[dict[str, Any]]) -> int:
        """Print job records; as JSON they are printed whole."""
        rows = records if self.option("json") else [_row(record) for record in records]
        return self.show(reply, COLUMNS, rows)


class JobSubmit(JobCommand):
    """Submits a job."""

    name = "job submit"
    description = "Submit a job from a file of JSON with comments, or from options."
    help = help_text(
        "job submit render.jsonc --key render-7",
        "job submit --team claims --name scan --members 2 --accelerators 8 --run-time-s 3600",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("file", "File that describes the job.", optional=True)
    ]
    options: ClassVar[list[Option]] = [
        *entry_options(),
        *job_options(),
        option("key", None, "Idempotency-Key; by default a new one.", flag=False),
    ]
    after_unknown = "submit it again with --key {key}, which starts it at most once"

    def run_with(self, client: Client) -> int:
        """Submit the job; a key names the same job at every entry."""
        source = JobSource(self)
        spec = source.read()
        if isinstance(spec, list):
            for line in spec:
                self.line_error(line)
            return EXIT_USAGE
        key = self.option("key")
        reply = client.call(
            "POST",
            "/v1/jobs",
            msgspec.json.encode(spec),
            is_repeatable=True,
            headers={KEY_HEADER: key} if key else None,
        )
        findings = reply.document.get("findings")
        if reply.exit_code == EXIT_FINDINGS and findings and not self.option("json"):
            for line in source.locate(findings):
                self.line_error(line)
            return EXIT_FINDINGS
        return self.show_records(reply, [reply.document])


class JobStatus(JobCommand):
    """Shows a job."""

    name = "job status"
    description = "Show the record of a job."
    help = help_text("job status north-52bb0b8f1c5d3a49 --json")
    arguments: ClassVar[list[Argument]] = [JOB]
    options: ClassVar[list[Option]] = entry_options()

    def run_with(self, client: Client) -> int:
        """Print the record."""
        reply = client.call("GET", path_of(self.argument("job")), is_repeatable=True)
        return self.show_records(reply, [reply.document])


class JobWatch(JobCommand):
    """Follows a job until it ends."""

    name = "job watch"
    description = "Print each change of a job until it ends; exit code 1 unless it completes."
    help = help_text("job watch north-52bb0b8f1c5d3a49")
    arguments: ClassVar[list[Argument]] = [JOB]
    options: ClassVar[list[Option]] = entry_options()

    def run_with(self, client: Client) -> int:
        """Wait for one change after another."""
        generation = -1
        while True:
            asked_at = time.monotonic()
            reply = self._ask(client, generation)
            if reply.exit_code:
                return self.show_problem(reply)
            record = reply.document
            if record["generation"] > generation:
                generation = record["generation"]
                self._show_change(record)
            elif time.monotonic() - asked_at < RETRY_S:
                time.sleep(RETRY_S)  # the entry had no room for one more waiting call
            if JobState(record["state"]) in FINAL_STATES:
                return 0 if record["state"] == JobState.COMPLETED.value else EXIT_FAILED

    def _ask(self, client: Client, generation: int) -> Reply:
        """Return the next record, or the refusal that lasted; a new leader takes a while."""
        query = urlencode({"generation": generation, "wait_s": WAIT_S})
        path = f"{path_of(self.argument('job'))}?{query}"
        give_up = time.monotonic() + MAX_SILENCE_S
        while True:
            try:
                reply = client.call("GET", path, is_repeatable=True, timeout_s=WAIT_LIMIT_S)
            except UnreachableError:
                if time.monotonic() > give_up:
                    raise
                self.line_error("no entry answers; trying again")
            else:
                if reply.status < HTTP_SERVER_ERROR or time.monotonic() > give_up:
                    return reply
                self.line_error(f"{reply.document.get('detail', 'no detail')}; trying again")
            time.sleep(RETRY_S)

    def _show_change(self, record: dict[str, Any]) -> None:
        if self.option("json"):
            self.io.write_line(json.dumps(record))
            return
        row = _row(record)
        shown = [f"{name} {row[name]}" for name in ("attempt", "generation") if row[name]]
        reason = f": {row['reason']}" if row["reason"] else ""
        self.line(f"{row['job']} {row['state']}, {', '.join(shown)}{reason}")


class JobList(JobCommand):
    """Lists jobs."""

    name = "job list"
    description = "List jobs, the last submitted first."
    help = help_text("job list --team claims --state queued")
    options: ClassVar[list[Option]] = [
        *entry_options(),
        option("team", None, "Jobs of this team only.", flag=False),
        option("state", None, f"One of {', '.join(s.value for s in JobState)}.", flag=False),
    ]

    def run_with(self, client: Client) -> int:
        """Print one row per job."""
        names = ("team", "state")
        query = urlencode({name: self.option(name) for name in names if self.option(name)})
        reply = client.call("GET", f"/v1/jobs?{query}", is_repeatable=True)
        for cell in reply.document.get("unreachable_cells", ()):
            self.line_error(f"the leader of cell {cell} does not answer; its jobs are not listed")
        if reply.document.get("omitted"):
            self.line_error(
                f"{reply.document['omitted']} older jobs are not listed; give --team or --state"
            )
        return self.show_records(reply, reply.document.get("jobs", []))


class JobCancel(JobCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel a job."
    help = help_text(
        "job cancel north-52bb0b8f1c5d3a49",
        "job cancel north-52bb0b8f1c5d3a49 --if-generation 3",
    )
    arguments: ClassVar[list[Argument]] = [JOB]
    options: ClassVar[list[Option]] = [
        *entry_options(),
        option("if-generation", None, "Cancel only if the record is unchanged.", flag=False),
    ]
    after_unknown = "see `job status`, then cancel it again if it goes on"

    def run_with(self, client: Client) -> int:
        """Cancel; a repeated call with a generation would be refused by its own first effect."""
        generation = self.option("if-generation")
        if generation is not None and not generation.isdecimal():
            self.line_error("--if-generation is not a number; give the one `job status` prints")
            return EXIT_USAGE
        query = f"?if_generation={generation}" if generation else ""
        path = path_of(self.argument("job")) + query
        reply = client.call("DELETE", path, is_repeatable=not generation)
        return self.show_records(reply, [reply.document])


class Explain(EntryCommand):
    """Explains a job."""

    name = "explain"
    description = "Show why a job waits, and what would free its place."
    help = help_text("explain north-52bb0b8f1c5d3a49")
    arguments: ClassVar[list[Argument]] = [JOB]
    options: ClassVar[list[Option]] = entry_options()

    def run_with(self, client: Client) -> int:
        """Print one row per fact."""
        path = f"{path_of(self.argument('job'))}/explain"
        reply = client.call("GET", path, is_repeatable=True)
        if self.option("json") or reply.exit_code:
            return self.show(reply, (), [reply.document])
        return self.show(reply, ("fact", "value"), list(_facts(reply.document)))


def _row(record: dict[str, Any]) -> dict[str, Any]:
    spec = record.get("spec", {})
    return record | {
        "job": record.get("job_id"),
        "team": spec.get("team"),
        "name": spec.get("name"),
        "reason": record.get("reason") or None,
    }


def _facts(document: dict[str, Any], prefix: str = "") -> Iterator[dict[str, Any]]:
    """Yield facts by dotted name; a list of objects gives one row per object."""
    for name, value in document.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from _facts(value, f"{path}.")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for item in value:
                words = ", ".join(f"{key} {part}" for key, part in item.items())
                yield {"fact": path, "value": words}
        else:
            yield {"fact": path, "value": value}


JOB_COMMANDS: tuple[type[Command], ...] = (
    JobSubmit,
    JobStatus,
    JobWatch,
    JobList,
    JobCancel,
    Explain,
)
