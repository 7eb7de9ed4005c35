"""Parses job specifications and reports invalid values."""

import math
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from expression import Result

from chicorycrank.model.jobs import JobSpec
from chicorycrank.settings.document import Findings, read_document
from chicorycrank.settings.findings import Problem

MINIMUM_BY_SHAPE_FIELD = {"members": 1, "accelerators": 1, "cores": 0, "memory_gb": 0}
SHAPE_PLACEHOLDERS: dict[str, Any] = {"members": 1, "accelerators": 1}
SPEC_PLACEHOLDERS: dict[str, Any] = {"team": "-", "name": "-", "run_time_s": 1.0}


def read_job(text: str, file: str) -> Result[JobSpec, Findings]:
    """Parse and validate a job specification, and report all findings together."""
    return read_document(text, file, JobSpec, check_job_spec, _replace_invalid)


def check_job_spec(spec: JobSpec) -> list[Problem]:
    """Return the values that are empty or out of range."""
    return list(_check(spec))


def _check(spec: JobSpec) -> Iterator[Problem]:
    for field in ("team", "name"):
        if not getattr(spec, field):
            yield Problem(
                path=(field,), text=f"{field} is empty", remedy="it must be a non-empty string"
            )
    for field, minimum in MINIMUM_BY_SHAPE_FIELD.items():
        value = getattr(spec.shape, field)
        if value < minimum:
            yield Problem(
                path=("shape", field),
                text=f"shape.{field} is {value}, which is out of range",
                remedy=f"it must be at least {minimum}",
            )
    if not (math.isfinite(spec.run_time_s) and spec.run_time_s > 0):
        yield Problem(
            path=("run_time_s",),
            text=f"run_time_s is {spec.run_time_s}, which is out of range",
            remedy="it must be above 0 (seconds)",
        )


def _replace_invalid(value: Any, problems: Sequence[Problem]) -> JobSpec | None:
    """Return the specification with invalid fields replaced by valid placeholders."""
    if not isinstance(value, dict):
        return None
    invalid_paths = {problem.path for problem in problems}
    spec = SPEC_PLACEHOLDERS | {k: v for k, v in value.items() if (k,) not in invalid_paths}
    shape = value.get("shape")
    shape_fields = shape if isinstance(shape, dict) else {}
    spec["shape"] = SHAPE_PLACEHOLDERS | {
        k: v for k, v in shape_fields.items() if ("shape", k) not in invalid_paths
    }
    return msgspec.convert(spec, JobSpec)
