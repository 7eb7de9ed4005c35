"""Reads settings files: JSON with comments."""

from pathlib import Path
from typing import TypeVar

import msgspec

T = TypeVar("T")


class SettingsError(Exception):
    """A settings file has findings; the message lists them."""


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


def read_settings(path: Path, kind: type[T]) -> T:
    """Read and check a settings file.

    :raises SettingsError: the file is missing, malformed or has findings
    """
    try:
        text = strip_comments(path.read_text(encoding="utf-8"))
        return msgspec.json.decode(text.encode(), type=kind)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
