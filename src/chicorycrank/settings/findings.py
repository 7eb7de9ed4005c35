"""Findings in a JSON document with comments, located by line and column."""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

DocumentPath = tuple[str | int, ...]

DOCUMENT_START = 0
# Messages of pyjson5 contain the position of the error, which counts from 1; it is 0 if the text
# contains no value.
JSON5_OFFSET_PATTERN = re.compile(r"near (\d+)")


@dataclass(frozen=True, kw_only=True)
class Problem:
    """Problem of one value of a document.

    :param path: keys and indexes from the root to the value
    :param text: description of the problem
    :param remedy: instruction for the author of the document
    :param is_at_key: the problem concerns the key, not its value
    """

    path: DocumentPath
    text: str
    remedy: str
    is_at_key: bool = False


@dataclass(frozen=True, kw_only=True)
class Finding:
    """Problem with its position in a file; line and column count from 1."""

    file: str
    line: int
    column: int
    text: str
    remedy: str

    def __str__(self) -> str:
        problem = _escape(f"{self.text}; {self.remedy}")
        return f"{self.file}:{self.line}:{self.column}: {problem}"


def _escape(text: str) -> str:
    """Escape control characters, so that a name in a finding cannot add line breaks."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)


def locate_problems(text: str, file: str, problems: Sequence[Problem]) -> list[Finding]:
    """Return findings for the problems and for duplicate keys, in the order of the document."""
    offset_by_node, duplicates = _locate_nodes(text)
    located: list[tuple[int, Problem]] = [(offset, problem) for offset, problem in duplicates]
    for problem in problems:
        located.append((_find_offset(offset_by_node, problem), problem))
    located.sort(key=lambda pair: pair[0])
    return [make_finding(text, file, offset, problem) for offset, problem in located]


def make_finding(text: str, file: str, offset: int, problem: Problem) -> Finding:
    """Return the finding for a problem at a character offset of the text."""
    before = text[:offset]
    return Finding(
        file=file,
        line=before.count("\n") + 1,
        column=offset - (before.rfind("\n") + 1) + 1,
        text=problem.text,
        remedy=problem.remedy,
    )


def make_syntax_finding(text: str, file: str, error: Exception) -> Finding:
    """Return the finding for a document that ``pyjson5`` could not parse."""
    message = str(error.args[0]) if error.args else type(error).__name__
    match = JSON5_OFFSET_PATTERN.search(message)
    offset = min(len(text), max(0, int(match[1]) - 1)) if match else DOCUMENT_START
    problem = Problem(
        path=(),
        text=f"malformed JSON: {message}",
        remedy="correct the syntax here; comments are // or /* */",
    )
    return make_finding(text, file, offset, problem)


def _find_offset(offset_by_node: dict[tuple[DocumentPath, bool], int], problem: Problem) -> int:
    """Return the character offset of the problem, or of its nearest ancestor in the text."""
    path = problem.path
    offset = offset_by_node.get((path, problem.is_at_key))
    while offset is None and path:
        path = path[:-1]
        offset = offset_by_node.get((path, False))
    return DOCUMENT_START if offset is None else offset


def _locate_nodes(
    text: str,
) -> tuple[dict[tuple[DocumentPath, bool], int], list[tuple[int, Problem]]]:
    """Return the character offset of each value and key, and the duplicate keys.

    Both are empty if the text cannot be parsed.
    """
    # Imported here because json5 is slow to import and is needed only for findings.
    from json5.loader import ModelLoader, loads
    from json5.utils import JSON5DecodeError

    try:
        root = loads(text, loader=ModelLoader()).value
    except (JSON5DecodeError, RecursionError, ValueError):
        # json5 rejects some rare input that pyjson5 accepts. Findings then refer to the start of
        # the file.
        return {}, []
    offset_by_node: dict[tuple[DocumentPath, bool], int] = {}
    duplicates: list[tuple[int, Problem]] = []
    for path, is_at_key, offset in _iterate_nodes(root, ()):
        if is_at_key and (path, is_at_key) in offset_by_node:
            duplicates.append((offset, _duplicate_key_problem(path)))
        else:
            offset_by_node.setdefault((path, is_at_key), offset)
    return offset_by_node, duplicates


def _duplicate_key_problem(path: DocumentPath) -> Problem:
    return Problem(path=path, text=f"{format_path(path)} is given twice", remedy="keep one of them")


def _iterate_nodes(node: Any, path: DocumentPath) -> Iterator[tuple[DocumentPath, bool, int]]:
    """Yield ``(path, is_key, offset)`` for each key and value below a node."""
    token = getattr(node, "_tok", None)
    if token is not None:
        yield path, False, token.index
    if hasattr(node, "keys") and hasattr(node, "values"):
        for key, value in zip(node.keys, node.values, strict=False):
            name = str(getattr(key, "name", None) or getattr(key, "characters", ""))
            yield (*path, name), True, key._tok.index
            yield from _iterate_nodes(value, (*path, name))
    elif hasattr(node, "values"):
        for number, value in enumerate(node.values):
            yield from _iterate_nodes(value, (*path, number))


def format_path(path: DocumentPath) -> str:
    """Return a path in dotted form, such as ``added.teams.claims``."""
    return ".".join(str(part) for part in path) or "the document"
