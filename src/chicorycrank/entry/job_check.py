"""Validation of submitted jobs; all findings are reported together."""

from collections.abc import Iterable
from typing import Any

import msgspec

from chicorycrank.model.config import Config
from chicorycrank.model.jobs import JobSpec
from chicorycrank.model.messages import JobFinding
from chicorycrank.policy.admission import FindingCode, check_job
from chicorycrank.policy.cell import WorkerState
from chicorycrank.settings.findings import Problem
from chicorycrank.settings.shape import check_type

# Many records share a shard of at most 900 KB.
MAX_PAYLOAD_BYTES = 65_536
MAX_NAME_LENGTH = 200
SIZE_CODES = frozenset(
    {
        FindingCode.TOO_MANY_ACCELERATORS,
        FindingCode.TOO_MANY_CORES,
        FindingCode.TOO_MUCH_MEMORY,
        FindingCode.GANG_TOO_LARGE,
    }
)


def read_spec(data: bytes, config: Config) -> JobSpec | tuple[JobFinding, ...]:
    """Return the job specification in a request's body, or the findings."""
    try:
        document: Any = msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        return (JobFinding("malformed", "", str(error)),)
    findings = [_to_finding(problem) for problem in check_type(document, JobSpec)]
    if not findings:
        spec = msgspec.convert(document, JobSpec)
        findings = _check_values(spec)
        if not findings:
            return spec
        return (*findings, *check_spec(spec, (), config))
    team = document.get("team") if isinstance(document, dict) else None
    if isinstance(team, str) and config.generation and team not in config.teams:
        code = FindingCode.UNKNOWN_TEAM.value
        findings.append(JobFinding(code, "team", f"no team {team!r}"))
    return tuple(findings)


def check_spec(
    spec: JobSpec, workers: Iterable[WorkerState], config: Config
) -> tuple[JobFinding, ...]:
    """Return findings on a job that can never run.

    :param workers: known workers; without any, the size of the job is not checked
    """
    known = list(workers)
    ignored_codes = frozenset() if known else SIZE_CODES
    if not config.generation:
        ignored_codes |= {FindingCode.UNKNOWN_TEAM}
    return tuple(
        JobFinding(finding.code.value, finding.field, finding.message)
        for finding in check_job(spec, known, config.teams)
        if finding.code not in ignored_codes
    )


def _check_values(spec: JobSpec) -> list[JobFinding]:
    findings = []
    for name, value in (("cores", spec.shape.cores), ("memory_gb", spec.shape.memory_gb)):
        if value < 0:
            text = f"{name} must be at least 0, is {value}"
            findings.append(JobFinding("out_of_range", f"shape.{name}", text))
    if len(spec.name) > MAX_NAME_LENGTH:
        text = f"the name has {len(spec.name)} characters; at most {MAX_NAME_LENGTH} are allowed"
        findings.append(JobFinding("too_long", "name", text))
    size = len(spec.payload.encode())
    if size > MAX_PAYLOAD_BYTES:
        text = f"the payload has {size} bytes; at most {MAX_PAYLOAD_BYTES} are allowed"
        findings.append(JobFinding("too_long", "payload", text))
    return findings


def _to_finding(problem: Problem) -> JobFinding:
    path = ".".join(map(str, problem.path))
    return JobFinding("malformed", path, f"{problem.text}; {problem.remedy}")
