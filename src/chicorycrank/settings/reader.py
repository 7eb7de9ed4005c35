"""Parses settings files in JSON with comments.

The parsers that locate findings are imported only if there are findings. An agent with valid
settings imports this module alone, which saves memory.
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
    """A settings file is unreadable or has findings; the message lists them, one per line."""


class DuplicateKeyError(ValueError):
    """A JSON object contains a key more than once."""


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return a JSON object with unique keys; for use as ``object_pairs_hook``.

    :raises DuplicateKeyError: a key occurs more than once
    """
    result = dict(pairs)
    if len(result) != len(pairs):
        raise DuplicateKeyError
    return result


def strip_comments(text: str) -> str:
    """Replace ``//`` and ``/* */`` comments by spaces.

    Line breaks stay, so that positions in the result match those in the text.
    """
    parts: list[str] = []
    index = 0
    while index < len(text):
        end = _token_end(text, index)
        token = text[index:end]
        is_comment = token.startswith(("//", "/*"))
        parts.append("".join(c if c == "\n" else " " for c in token) if is_comment else token)
        index = end
    return "".join(parts)


def _token_end(text: str, start: int) -> int:
    """Return the end of the comment, string or single character that begins at ``start``."""
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


def read_settings(path: Path, value_type: type[T], check: "Check[T] | None" = None) -> T:
    """Parse and validate a settings file.

    :param check: returns the conflicts between fields
    :raises SettingsError: the file is missing, malformed or has findings
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}; give a file that can be read") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8 at byte {error.start}; save it as UTF-8") from error
    return parse_settings(text, str(path), value_type, check)


def parse_settings(text: str, file: str, value_type: type[T], check: "Check[T] | None" = None) -> T:
    """Parse and validate the text of a settings file.

    :param file: name of the file in findings
    :param check: returns the conflicts between fields
    :raises SettingsError: the text is malformed or has findings
    """
    try:
        value = json.loads(strip_comments(text), object_pairs_hook=reject_duplicate_keys)
        settings = msgspec.convert(value, value_type)
        if check is None or not check(settings):
            return settings
    except (msgspec.ValidationError, ValueError, RecursionError):
        pass
    from chicorycrank.settings.document import read_document

    result = read_document(text, file, value_type, check)
    if result.is_ok():
        return result.ok
    raise SettingsError("\n".join(map(str, result.error)))
