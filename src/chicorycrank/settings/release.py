"""Parses release notes, which change the configuration, and reports their conflicts with it."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import msgspec
from expression import Result

from chicorycrank.model.config import Config, Guarantee, ReleaseNote
from chicorycrank.settings.document import Findings, read_document
from chicorycrank.settings.findings import Problem

# Release and author of a note from which invalid parts were removed; see _replace_invalid.
PLACEHOLDER_TEXT = "-"
SECTIONS = ("teams", "guarantees", "services")
PLACEHOLDERS_BY_OBJECT_KIND: dict[str, dict[str, Any]] = {
    "teams": {},
    "services": {"request_class": "patient", "repeatable": False},
}
MINIMUM_BY_SHAPE_FIELD = {"members": 1, "accelerators": 1, "cores": 0, "memory_gb": 0}


def read_release(
    text: str, file: str, config: Config | None = None
) -> Result[ReleaseNote, Findings]:
    """Parse and validate a release note.

    :param config: active configuration; if None, only the note itself is checked
    """
    return read_document(text, file, ReleaseNote, make_release_check(config), _replace_invalid)


def _replace_invalid(value: Any, problems: Sequence[Problem]) -> ReleaseNote | None:
    """Return a release note without the invalid parts of ``value``.

    Invalid teams and services are replaced by placeholders, so that references to them are not
    reported as well. Invalid guarantees, and lists of withdrawn ids with an invalid item, are left
    out.
    """
    if not isinstance(value, dict):
        return None
    invalid_paths = {problem.path[:3] for problem in problems}
    readable: dict[str, Any] = {
        "release": PLACEHOLDER_TEXT,
        "author": PLACEHOLDER_TEXT,
        "written_against": 0,
    }
    for change_kind in ("added", "changed", "withdrawn"):
        section: Any = value.get(change_kind)
        readable[change_kind] = {}
        if not isinstance(section, dict):
            continue
        for object_kind in SECTIONS:
            objects = section.get(object_kind)
            if isinstance(objects, list) and change_kind == "withdrawn":
                has_invalid_item = any(
                    (change_kind, object_kind, number) in invalid_paths
                    for number in range(len(objects))
                )
                readable[change_kind][object_kind] = [] if has_invalid_item else objects
            elif isinstance(objects, dict) and change_kind != "withdrawn":
                readable[change_kind][object_kind] = {
                    key: PLACEHOLDERS_BY_OBJECT_KIND[object_kind]
                    if (change_kind, object_kind, key) in invalid_paths
                    else item
                    for key, item in objects.items()
                    if object_kind in PLACEHOLDERS_BY_OBJECT_KIND
                    or (change_kind, object_kind, key) not in invalid_paths
                }
    return msgspec.convert(readable, ReleaseNote)


def make_release_check(config: Config | None) -> Callable[[ReleaseNote], list[Problem]]:
    """Return a function that reports the problems of a release note.

    :param config: configuration that the note will be applied to; if None, only the note itself
        is checked
    """

    def check(note: ReleaseNote) -> list[Problem]:
        problems = [*_check_sections(note), *_check_shapes(note)]
        if config is not None:
            for object_kind in SECTIONS:
                problems += _check_ids(note, object_kind, getattr(config, object_kind))
            problems += _check_teams(note, config)
        return problems

    return check


def _check_shapes(note: ReleaseNote) -> Iterator[Problem]:
    for change_kind, section in (("added", note.added), ("changed", note.changed)):
        for object_id, guarantee in section.guarantees.items():
            shape = guarantee.shape
            for field, minimum in MINIMUM_BY_SHAPE_FIELD.items():
                value = getattr(shape, field)
                if value < minimum:
                    yield Problem(
                        path=(change_kind, "guarantees", object_id, "shape", field),
                        text=f"{field} is {value}, which is out of range",
                        remedy=f"it must be at least {minimum}",
                    )


def _check_sections(note: ReleaseNote) -> Iterator[Problem]:
    if not note.keys and note.release != PLACEHOLDER_TEXT:
        yield Problem(path=(), text="the release note changes nothing", remedy="add a change")
    for object_kind in SECTIONS:
        added, changed = getattr(note.added, object_kind), getattr(note.changed, object_kind)
        withdrawn = getattr(note.withdrawn, object_kind)
        for object_id in added:
            if not object_id:
                yield Problem(
                    path=("added", object_kind, object_id),
                    text=f"added.{object_kind} has an empty id",
                    remedy="use a non-empty id",
                    is_at_key=True,
                )
            if object_id in changed:
                yield _conflicting_id(("changed", object_kind, object_id), "added", is_at_key=True)
        for number, object_id in enumerate(withdrawn):
            path = ("withdrawn", object_kind, number)
            if object_id in withdrawn[:number]:
                yield _conflicting_id(path, "withdrawn", is_at_key=False)
            for change_kind, other_ids in (("added", added), ("changed", changed)):
                if object_id in other_ids:
                    yield _conflicting_id(path, change_kind, is_at_key=False)


def _conflicting_id(
    path: tuple[str | int, ...], other_change_kind: str, *, is_at_key: bool
) -> Problem:
    return Problem(
        path=path,
        text=f"this id of {path[0]}.{path[1]} is in {other_change_kind}.{path[1]} too",
        remedy="keep one of them",
        is_at_key=is_at_key,
    )


def _check_ids(
    note: ReleaseNote, object_kind: str, existing: Mapping[Any, Any]
) -> Iterator[Problem]:
    singular = object_kind.removesuffix("s")
    for object_id in getattr(note.added, object_kind):
        if object_id in existing:
            yield Problem(
                path=("added", object_kind, object_id),
                text=f"{singular} {object_id} exists already",
                remedy="move it to changed",
                is_at_key=True,
            )
    known = ", ".join(sorted(existing)[:10]) or "none"
    for object_id in getattr(note.changed, object_kind):
        if object_id not in existing:
            yield Problem(
                path=("changed", object_kind, object_id),
                text=f"{singular} {object_id} does not exist",
                remedy=f"move it to added, or use one of: {known}",
                is_at_key=True,
            )
    for number, object_id in enumerate(getattr(note.withdrawn, object_kind)):
        if object_id not in existing:
            yield Problem(
                path=("withdrawn", object_kind, number),
                text=f"{singular} {object_id} does not exist",
                remedy=f"remove it, or use one of: {known}",
            )


def _check_teams(note: ReleaseNote, config: Config) -> Iterator[Problem]:
    after = note.apply_to(config)
    for change_kind, section in (("added", note.added), ("changed", note.changed)):
        for object_id, guarantee in section.guarantees.items():
            if guarantee.team in note.withdrawn.teams:
                continue
            if guarantee.team not in after.teams:
                yield Problem(
                    path=(change_kind, "guarantees", object_id, "team"),
                    text=f"guarantee {object_id} is of the unknown team {guarantee.team}",
                    remedy="add the team or correct its name",
                )
    for number, team in enumerate(note.withdrawn.teams):
        guarantee_ids = sorted(i for i, g in after.guarantees.items() if _belongs_to(g, team))
        if guarantee_ids:
            yield Problem(
                path=("withdrawn", "teams", number),
                text=f"team {team} still has the guarantees {', '.join(guarantee_ids)}",
                remedy="withdraw them too",
            )


def _belongs_to(guarantee: Guarantee, team: str) -> bool:
    return guarantee.team == team
