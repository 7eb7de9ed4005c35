"""Commands that submit, show, watch, list, cancel and explain jobs."""

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

RECORD_COLUMNS = ("job", "team", "name", "state", "kind", "attempt", "generation", "reason")
JOB_ARGUMENT = argument("job", "Id of the job, as `job submit` and `job list` print it.")
MIN_SERVER_ERROR_STATUS = 500
EXIT_FAILED = 1
LONG_POLL_WAIT_S = 20.0
# An entry may need more than twice the requested wait to reply: if its call to the cell's leader
# times out, which is shortly after the wait, the entry calls the leader a second time.
LONG_POLL_TIMEOUT_S = 90.0
# A cell without a leader has a new one within about 10 s after the store is available again;
# a watch retries for longer than that.
RETRY_INTERVAL_S = 2.0
RETRY_TIMEOUT_S = 60.0


def job_path(job_id: str) -> str:
    """Return the path of a job."""
    return f"/v1/jobs/{quote(job_id, safe='')}"


class JobCommand(EntryCommand):
    """Command that prints job records."""

    def print_records(self, reply: Reply, records: list[dict[str, Any]]) -> int:
        """Print job records; JSON output has all fields of each record."""
        rows = records if self.option("json") else [_record_row(record) for record in records]
        return self.print_rows(reply, RECORD_COLUMNS, rows)


class JobSubmit(JobCommand):
    """Command that submits a job."""

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
    unknown_outcome_advice = (
        "submit it again with --key {key}; the job is then created at most once"
    )

    def run_with_client(self, client: Client) -> int:
        """Submit the job.

        A key identifies the same job at every entry, so the call may be repeated at another one.
        """
        source = JobSource(self)
        spec = source.read_spec()
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
            for line in source.locate_findings(findings):
                self.line_error(line)
            return EXIT_FINDINGS
        return self.print_records(reply, [reply.document])


class JobWhere(EntryCommand):
    """Command that shows where a job would go now."""

    name = "job where"
    description = "Show where a job would go now and why, without submitting it."
    help = help_text(
        "job where render.jsonc",
        "job where --team claims --name scan --members 2 --accelerators 8 --run-time-s 3600",
    )
    arguments: ClassVar[list[Argument]] = [
        argument("file", "File that describes the job.", optional=True)
    ]
    options: ClassVar[list[Option]] = [*entry_options(), *job_options()]

    def run_with_client(self, client: Client) -> int:
        """Print one row per value of the answer."""
        source = JobSource(self)
        spec = source.read_spec()
        if isinstance(spec, list):
            for line in spec:
                self.line_error(line)
            return EXIT_USAGE
        reply = client.call("POST", "/v1/jobs/where", msgspec.json.encode(spec), is_repeatable=True)
        findings = reply.document.get("findings")
        if reply.exit_code == EXIT_FINDINGS and findings and not self.option("json"):
            for line in source.locate_findings(findings):
                self.line_error(line)
            return EXIT_FINDINGS
        return print_facts(self, reply)


class JobStatus(JobCommand):
    """Command that shows a job."""

    name = "job status"
    description = "Show the record of a job."
    help = help_text("job status north-52bb0b8f1c5d3a49 --json")
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print the record."""
        reply = client.call("GET", job_path(self.argument("job")), is_repeatable=True)
        return self.print_records(reply, [reply.document])


class JobWatch(JobCommand):
    """Command that follows a job until it ends."""

    name = "job watch"
    description = "Print each change of a job until it ends; exit code 1 unless it completes."
    help = help_text("job watch north-52bb0b8f1c5d3a49")
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print each change of the record until the job is in a final state."""
        generation = -1
        while True:
            called_at = time.monotonic()
            reply = self._poll_record(client, generation)
            if reply.exit_code:
                return self.print_problem(reply)
            record = reply.document
            if record["generation"] > generation:
                generation = record["generation"]
                self._print_change(record)
            elif time.monotonic() - called_at < RETRY_INTERVAL_S:
                # The entry replied at once because it was at its limit of long polls.
                time.sleep(RETRY_INTERVAL_S)
            if JobState(record["state"]) in FINAL_STATES:
                return 0 if record["state"] == JobState.COMPLETED.value else EXIT_FAILED

    def _poll_record(self, client: Client, generation: int) -> Reply:
        """Return the next record, or the error reply after RETRY_TIMEOUT_S.

        Server errors are retried because the election of a new leader takes several seconds.

        :raises UnreachableError: no entry answered for RETRY_TIMEOUT_S
        """
        query = urlencode({"generation": generation, "wait_s": LONG_POLL_WAIT_S})
        path = f"{job_path(self.argument('job'))}?{query}"
        retry_deadline = time.monotonic() + RETRY_TIMEOUT_S
        while True:
            try:
                reply = client.call("GET", path, is_repeatable=True, timeout_s=LONG_POLL_TIMEOUT_S)
            except UnreachableError:
                if time.monotonic() > retry_deadline:
                    raise
                self.line_error("no entry answers; trying again")
            else:
                if reply.status < MIN_SERVER_ERROR_STATUS or time.monotonic() > retry_deadline:
                    return reply
                self.line_error(f"{reply.document.get('detail', 'no detail')}; trying again")
            time.sleep(RETRY_INTERVAL_S)

    def _print_change(self, record: dict[str, Any]) -> None:
        if self.option("json"):
            self.io.write_line(json.dumps(record))
            return
        row = _record_row(record)
        numbers = [f"{name} {row[name]}" for name in ("attempt", "generation") if row[name]]
        reason = f": {row['reason']}" if row["reason"] else ""
        self.line(f"{row['job']} {row['state']}, {', '.join(numbers)}{reason}")


class JobList(JobCommand):
    """Command that lists jobs."""

    name = "job list"
    description = "List jobs, the last submitted first."
    help = help_text("job list --team claims --state queued")
    options: ClassVar[list[Option]] = [
        *entry_options(),
        option("team", None, "Jobs of this team only.", flag=False),
        option("state", None, f"One of {', '.join(s.value for s in JobState)}.", flag=False),
    ]

    def run_with_client(self, client: Client) -> int:
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
        return self.print_records(reply, reply.document.get("jobs", []))


class JobCancel(JobCommand):
    """Command that cancels a job."""

    name = "job cancel"
    description = "Cancel a job."
    help = help_text(
        "job cancel north-52bb0b8f1c5d3a49",
        "job cancel north-52bb0b8f1c5d3a49 --if-generation 3",
    )
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]
    options: ClassVar[list[Option]] = [
        *entry_options(),
        option(
            "if-generation",
            None,
            "Cancel only if the record still has this generation.",
            flag=False,
        ),
    ]
    unknown_outcome_advice = "check `job status`, then cancel it again if it has not ended"

    def run_with_client(self, client: Client) -> int:
        """Cancel the job.

        A call with a generation is not repeated at another entry: if the first call took effect,
        it changed the generation, and the repeated call would be refused.
        """
        generation = self.option("if-generation")
        if generation is not None and not generation.isdecimal():
            self.line_error("--if-generation is not a number; give the one `job status` prints")
            return EXIT_USAGE
        query = f"?if_generation={generation}" if generation else ""
        path = job_path(self.argument("job")) + query
        reply = client.call("DELETE", path, is_repeatable=not generation)
        return self.print_records(reply, [reply.document])


class JobExplain(EntryCommand):
    """Command that explains why a job waits."""

    name = "explain"
    description = "Show why a job waits, and what would free capacity for it."
    help = help_text("explain north-52bb0b8f1c5d3a49")
    arguments: ClassVar[list[Argument]] = [JOB_ARGUMENT]
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print one row per value of the explanation."""
        path = f"{job_path(self.argument('job'))}/explain"
        reply = client.call("GET", path, is_repeatable=True)
        return print_facts(self, reply)


def print_facts(command: EntryCommand, reply: Reply) -> int:
    """Print one row per value of an explanation, and return the exit code."""
    if command.option("json") or reply.exit_code:
        return command.print_rows(reply, (), [reply.document])
    return command.print_rows(reply, ("fact", "value"), list(_explanation_rows(reply.document)))


def _record_row(record: dict[str, Any]) -> dict[str, Any]:
    spec = record.get("spec", {})
    return record | {
        "job": record.get("job_id"),
        "team": spec.get("team"),
        "name": spec.get("name"),
        "reason": record.get("reason") or None,
    }


def _explanation_rows(document: dict[str, Any], prefix: str = "") -> Iterator[dict[str, Any]]:
    """Yield one row per value, by dotted name; a list of objects gives one row per object."""
    for name, value in document.items():
        path = f"{prefix}{name}"
        if isinstance(value, dict):
            yield from _explanation_rows(value, f"{path}.")
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            for item in value:
                text = ", ".join(f"{key} {item_value}" for key, item_value in item.items())
                yield {"fact": path, "value": text}
        else:
            yield {"fact": path, "value": value}


JOB_COMMANDS: tuple[type[Command], ...] = (
    JobSubmit,
    JobWhere,
    JobStatus,
    JobWatch,
    JobList,
    JobCancel,
    JobExplain,
)
