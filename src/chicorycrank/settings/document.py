"""Reads a JSON document with comments as a typed value or a list of findings."""

import json
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec
import pyjson5
from expression import Error, Ok, Result

from chicorycrank.settings.findings import Finding, Problem, locate, syntax_finding
from chicorycrank.settings.reader import DuplicateKeyError, refuse_duplicates, strip_comments
from chicorycrank.settings.shape import check_shape

T = TypeVar("T")

MAX_DEPTH = 32

Findings = list[Finding]


def read_document(
    text: str,
    file: str,
    kind: type[T],
    check: Callable[[T], Sequence[Problem]] | None = None,
    repair: Callable[[Any, Sequence[Problem]], T | None] | None = None,
) -> Result[T, Findings]:
    """Read a document.

    :param check: finds contradictions in a value whose fields all have the right type
    :param repair: returns what is left of a value without its problems, so that contradictions
        are found in the same pass
    :returns: the value, or all findings in the order of the document
    """
    try:
        value: Any = pyjson5.decode(text, MAX_DEPTH)
    except pyjson5.Json5Exception as error:
        return Error([syntax_finding(text, file, error)])
    problems = check_shape(value, kind)
    typed = None
    if not problems:
        typed = msgspec.convert(value, kind)
        problems += check(typed) if check is not None else ()
    elif repair is not None and check is not None:
        rest = repair(value, problems)
        problems += check(rest) if rest is not None else ()
    if not problems and not _may_have_duplicates(text):
        return Ok(typed)  # type: ignore[arg-type]
    findings = locate(text, file, problems)
    if findings or typed is None:
        return Error(findings)
    return Ok(typed)


def _may_have_duplicates(text: str) -> bool:
    try:
        json.loads(strip_comments(text), object_pairs_hook=refuse_duplicates)
    except (DuplicateKeyError, ValueError, RecursionError):
        return True
    return False
