"""Findings in a JSON document with comments, located by line and column."""

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

Path = tuple[str | int, ...]

FIRST = 0
JSON5_OFFSET = re.compile(r"near (\d+)")


@dataclass(frozen=True, kw_only=True)
class Problem:
    """What is wrong with one value of a document.

    :param path: keys and indexes from the root to the value
    :param remedy: what the author should do
    :param at_key: the key itself is wrong, not its value
    """

    path: Path
    text: str
    remedy: str
    at_key: bool = False


@dataclass(frozen=True, kw_only=True)
class Finding:
    """A problem at a place in a file; line and column count from 1."""

    file: str
    line: int
    column: int
    text: str
    remedy: str

    def __str__(self) -> str:
        problem = _escape(f"{self.text}; {self.remedy}")
        return f"{self.file}:{self.line}:{self.column}: {problem}"


def _escape(text: str) -> str:
    """Escape control characters, so that a quoted name cannot break a finding into lines."""
    return "".join(c if c.isprintable() else c.encode("unicode_escape").decode() for c in text)


def locate(text: str, file: str, problems: Sequence[Problem]) -> list[Finding]:
    """Return the problems with their places, in the order of the document."""
    index_by_place, duplicates = _index(text)
    found: list[tuple[int, Problem]] = [(index, problem) for index, problem in duplicates]
    for problem in problems:
        found.append((_find(index_by_place, problem), problem))
    found.sort(key=lambda pair: pair[0])
    return [finding_at(text, file, index, problem) for index, problem in found]


def finding_at(text: str, file: str, index: int, problem: Problem) -> Finding:
    """Return a problem at a character index of the text."""
    before = text[:index]
    return Finding(
        file=file,
        line=before.count("\n") + 1,
        column=index - (before.rfind("\n") + 1) + 1,
        text=problem.text,
        remedy=problem.remedy,
    )


def syntax_finding(text: str, file: str, error: Exception) -> Finding:
    """Return the finding of a document that ``pyjson5`` could not read."""
    message = str(error.args[0]) if error.args else type(error).__name__
    match = JSON5_OFFSET.search(message)
    index = min(len(text), max(0, int(match[1]) - 1)) if match else FIRST
    problem = Problem(
        path=(),
        text=f"malformed JSON: {message}",
        remedy="correct the syntax here; comments are // or /* */",
    )
    return finding_at(text, file, index, problem)


def _find(index_by_place: dict[tuple[Path, bool], int], problem: Problem) -> int:
    """Return the place of the problem, or of its nearest ancestor that is in the text."""
    path = problem.path
    index = index_by_place.get((path, problem.at_key))
    while index is None and path:
        path = path[:-1]
        index = index_by_place.get((path, False))
    return FIRST if index is None else index


def _index(text: str) -> tuple[dict[tuple[Path, bool], int], list[tuple[int, Problem]]]:
    # Imported here because it is slow to load and only needed when there are findings.
    from json5.loader import ModelLoader, loads
    from json5.utils import JSON5DecodeError

    try:
        root = loads(text, loader=ModelLoader()).value
    except (JSON5DecodeError, RecursionError, ValueError):
        # The two parsers differ on rare input; the findings then point to the file's start.
        return {}, []
    index_by_place: dict[tuple[Path, bool], int] = {}
    duplicates: list[tuple[int, Problem]] = []
    for path, at_key, index in _walk(root, ()):
        if at_key and (path, at_key) in index_by_place:
            duplicates.append((index, _duplicate(path)))
        else:
            index_by_place.setdefault((path, at_key), index)
    return index_by_place, duplicates


def _duplicate(path: Path) -> Problem:
    return Problem(path=path, text=f"{name_of(path)} is given twice", remedy="keep one of them")


def _walk(node: Any, path: Path) -> Iterator[tuple[Path, bool, int]]:
    token = getattr(node, "_tok", None)
    if token is not None:
        yield path, False, token.index
    if hasattr(node, "keys") and hasattr(node, "values"):
        for key, value in zip(node.keys, node.values, strict=False):
            name = str(getattr(key, "name", None) or getattr(key, "characters", ""))
            yield (*path, name), True, key._tok.index
            yield from _walk(value, (*path, name))
    elif hasattr(node, "values"):
        for number, value in enumerate(node.values):
            yield from _walk(value, (*path, number))


def name_of(path: Path) -> str:
    """Return a path as people write it, such as ``added.teams.claims``."""
    return ".".join(str(part) for part in path) or "the document"
