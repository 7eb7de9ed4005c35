"""Parses JSON documents with comments into typed values, or lists their findings."""

import json
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import msgspec
import pyjson5
from expression import Error, Ok, Result

from chicorycrank.settings.findings import Finding, Problem, locate_problems, make_syntax_finding
from chicorycrank.settings.reader import DuplicateKeyError, reject_duplicate_keys, strip_comments
from chicorycrank.settings.shape import check_type

T = TypeVar("T")

MAX_NESTING_DEPTH = 32

Findings = list[Finding]


def read_document(
    text: str,
    file: str,
    value_type: type[T],
    check: Callable[[T], Sequence[Problem]] | None = None,
    replace_invalid: Callable[[Any, Sequence[Problem]], T | None] | None = None,
) -> Result[T, Findings]:
    """Parse and validate a document.

    :param file: name of the document in findings
    :param check: returns the conflicts in a value whose fields all have the right type
    :param replace_invalid: returns a value without its problems, or None if nothing of it can be
        used; ``check`` then reports conflicts together with the problems
    :returns: the value, or all findings in the order of the document
    """
    try:
        value: Any = pyjson5.decode(text, MAX_NESTING_DEPTH)
    except pyjson5.Json5Exception as error:
        return Error([make_syntax_finding(text, file, error)])
    problems = check_type(value, value_type)
    typed = None
    if not problems:
        typed = msgspec.convert(value, value_type)
        problems += check(typed) if check is not None else ()
    elif replace_invalid is not None and check is not None:
        readable = replace_invalid(value, problems)
        problems += check(readable) if readable is not None else ()
    if not problems and not _may_have_duplicate_keys(text):
        return Ok(typed)  # type: ignore[arg-type]
    findings = locate_problems(text, file, problems)
    if findings or typed is None:
        return Error(findings)
    return Ok(typed)


def _may_have_duplicate_keys(text: str) -> bool:
    """Return whether the text has duplicate keys or syntax that ``json`` does not accept."""
    try:
        json.loads(strip_comments(text), object_pairs_hook=reject_duplicate_keys)
    except (DuplicateKeyError, ValueError, RecursionError):
        return True
    return False
