"""Reads settings files: JSON with comments.

The agent reads its settings with this module alone. The parsers that locate findings are loaded
only when there are findings, because they cost memory.
"""

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

if TYPE_CHECKING:
    from chicorycrank.settings.findings import Problem

T = TypeVar("T")
Check = Callable[[T], "Sequence[Problem]"]


class SettingsError(Exception):
    """A settings file has findings; the message lists them, one a line."""


class DuplicateKeyError(ValueError):
    """An object has the same key twice."""


def refuse_duplicates(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object of a JSON document.

    :raises DuplicateKeyError: a key is given twice
    """
    result = dict(pairs)
    if len(result) != len(pairs):
        raise DuplicateKeyError
    return result


def strip_comments(text: str) -> str:
    """Blank out ``//`` and ``/* */`` comments outside strings, keeping all positions."""
    out: list[str] = []
    index = 0
    while index < len(text):
        end = _token_end(text, index)
        token = text[index:end]
        is_comment = token.startswith(("//", "/*"))
        out.append("".join(c if c == "\n" else " " for c in token) if is_comment else token)
        index = end
    return "".join(out)


def _token_end(text: str, start: int) -> int:
    if text.startswith("//", start):
        end = text.find("\n", start)
        return len(text) if end < 0 else end
    if text.startswith("/*", start):
        end = text.find("*/", start + 2)
        return len(text) if end < 0 else end + 2
    if text[start] != '"':
        return start + 1
    index = start + 1
    while index < len(text) and text[index] != '"':
        index += 2 if text[index] == "\\" else 1
    return min(index + 1, len(text))


def read_settings(path: Path, kind: type[T], check: "Check[T] | None" = None) -> T:
    """Read and check a settings file.

    :param check: finds contradictions between fields
    :raises SettingsError: the file is missing, malformed or has findings
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}; give a file that can be read") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8 at byte {error.start}; save it as UTF-8") from error
    return parse_settings(text, str(path), kind, check)


def parse_settings(text: str, file: str, kind: type[T], check: "Check[T] | None" = None) -> T:
    """Read and check the text of a settings file.

    :raises SettingsError: the text is malformed or has findings
    """
    try:
        value = json.loads(strip_comments(text), object_pairs_hook=refuse_duplicates)
        settings = msgspec.convert(value, kind)
        if check is None or not check(settings):
            return settings
    except (msgspec.ValidationError, ValueError, RecursionError):
        pass
    from chicorycrank.settings.document import read_document

    result = read_document(text, file, kind, check)
    if result.is_ok():
        return result.ok
    raise SettingsError("\n".join(map(str, result.error)))
