"""Command that compares a release note with the configuration in force."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar

import msgspec
from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from chicorycrank.cli.base import EXIT_USAGE, EntryCommand, entry_options, help_text
from chicorycrank.cli.client import Client
from chicorycrank.model.config import Config, ReleaseNote
from chicorycrank.settings.release import SECTIONS, read_release

EXIT_REFUSED = 1


class ReleaseDiff(EntryCommand):
    """Command that shows what a release note would change."""

    name = "release diff"
    description = "Show what a release note would change in the configuration in force."
    help = help_text("release diff note.jsonc --entry http://192.0.2.10:7100")
    arguments: ClassVar[list[Argument]] = [argument("file", "Release note.")]
    options: ClassVar[list[Option]] = entry_options()

    def run_with_client(self, client: Client) -> int:
        """Print the changed fields.

        The note is not checked against the size of the fleet; only ``release check`` does that.
        """
        path = Path(self.argument("file"))
        text = path.read_text(encoding="utf-8", errors="replace")
        reply = client.call("GET", "/v1/config", is_repeatable=True)
        if reply.exit_code:
            return self.print_problem(reply)
        config = msgspec.convert(reply.document, Config, strict=False)
        result = read_release(text, path.name, config)
        if result.is_error():
            for finding in result.error:
                self.line_error(str(finding))
            return EXIT_USAGE
        note = result.ok
        self.print_rows(
            reply, ("key", "field", "before", "after"), list(compare_fields(note, config))
        )
        if note.written_against != config.generation:
            self.line_error(
                f"the note is written against generation {note.written_against}, but generation "
                f"{config.generation} is in force; check the lines above, then set "
                f"written_against to {config.generation}"
            )
            return EXIT_REFUSED
        return 0


def compare_fields(note: ReleaseNote, config: Config) -> Iterator[dict[str, Any]]:
    """Yield one row per field that the note changes; missing values are ``None``."""
    after = note.apply_to(config)
    for section in SECTIONS:
        old, new = (
            _fields_by_identity(getattr(configuration, section))
            for configuration in (config, after)
        )
        for identity in sorted(old.keys() | new.keys()):
            key = f"{section}/{identity}"
            yield from _compare_objects(key, old.get(identity, {}), new.get(identity, {}))
    yield from _compare_objects("limits", _flatten(config.limits), _flatten(after.limits))


def _compare_objects(
    key: str, old: dict[str, Any], new: dict[str, Any]
) -> Iterator[dict[str, Any]]:
    for field in sorted(old.keys() | new.keys()):
        if old.get(field) != new.get(field):
            yield {"key": key, "field": field, "before": old.get(field), "after": new.get(field)}


def _fields_by_identity(objects: dict[Any, Any]) -> dict[str, dict[str, Any]]:
    return {str(identity): _flatten(value) for identity, value in objects.items()}


def _flatten(value: Any) -> dict[str, Any]:
    """Return the fields of an object by name; fields of nested objects have dotted names."""
    value_by_name: dict[str, Any] = {}
    for name, item in msgspec.to_builtins(value).items():
        if isinstance(item, dict):
            value_by_name |= {
                f"{name}.{inner_name}": inner_item for inner_name, inner_item in item.items()
            }
        else:
            value_by_name[name] = item
    return value_by_name
