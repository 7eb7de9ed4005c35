"""Reads job specifications and finds values that no job can have."""

import math
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from expression import Result

from chicorycrank.model.jobs import JobSpec
from chicorycrank.settings.document import Findings, read_document
from chicorycrank.settings.findings import Problem

LEAST_BY_SHAPE_FIELD = {"members": 1, "accelerators": 1, "cores": 0, "memory_gb": 0}
SHAPE_DEFAULT: dict[str, Any] = {"members": 1, "accelerators": 1}
SPEC_DEFAULT: dict[str, Any] = {"team": "-", "name": "-", "run_time_s": 1.0}


def read_job(text: str, file: str) -> Result[JobSpec, Findings]:
    """Read a job specification; all findings are reported together."""
    return read_document(text, file, JobSpec, check_job, _repair)


def check_job(spec: JobSpec) -> list[Problem]:
    """Return the values that are out of range."""
    return list(_check(spec))


def _check(spec: JobSpec) -> Iterator[Problem]:
    for field in ("team", "name"):
        if not getattr(spec, field):
            yield Problem(path=(field,), text=f"{field} is empty", remedy="give it a name")
    for field, least in LEAST_BY_SHAPE_FIELD.items():
        value = getattr(spec.shape, field)
        if value < least:
            yield Problem(
                path=("shape", field),
                text=f"shape.{field} is {value}, which is out of range",
                remedy=f"it must be at least {least}",
            )
    if not (math.isfinite(spec.run_time_s) and spec.run_time_s > 0):
        yield Problem(
            path=("run_time_s",),
            text=f"run_time_s is {spec.run_time_s}, which is out of range",
            remedy="it must be above 0 (seconds)",
        )


def _repair(value: Any, problems: Sequence[Problem]) -> JobSpec | None:
    """Return the specification with unreadable fields replaced by valid ones."""
    if not isinstance(value, dict):
        return None
    bad = {problem.path for problem in problems}
    spec = SPEC_DEFAULT | {k: v for k, v in value.items() if (k,) not in bad}
    shape = value.get("shape")
    known = shape if isinstance(shape, dict) else {}
    spec["shape"] = SHAPE_DEFAULT | {k: v for k, v in known.items() if ("shape", k) not in bad}
    return msgspec.convert(spec, JobSpec)
