"""Reads release notes and finds contradictions with the configuration in force."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import Any

import msgspec
from expression import Result

from chicorycrank.model.config import Config, Guarantee, ReleaseNote
from chicorycrank.settings.document import Findings, read_document
from chicorycrank.settings.findings import Problem

UNREADABLE = "-"  # release and author of a note that has findings of its shape
SECTIONS = ("teams", "guarantees", "services")
DEFAULT_BY_SECTION: dict[str, dict[str, Any]] = {
    "teams": {},
    "services": {"request_class": "patient", "repeatable": False},
}
LEAST_BY_SHAPE_FIELD = {"members": 1, "accelerators": 1, "cores": 0, "memory_gb": 0}


def read_release(
    text: str, file: str, config: Config | None = None
) -> Result[ReleaseNote, Findings]:
    """Read a release note.

    :param config: configuration to compare with; without it only the note itself is checked
    """
    return read_document(text, file, ReleaseNote, check_against(config), _repair)


def _repair(value: Any, problems: Sequence[Problem]) -> ReleaseNote | None:
    """Return a note of the parts that can be read.

    Unreadable teams and services are replaced by defaults, so that references to them are not
    reported too; unreadable guarantees are left out.
    """
    if not isinstance(value, dict):
        return None
    bad = {problem.path[:3] for problem in problems}
    note: dict[str, Any] = {"release": UNREADABLE, "author": UNREADABLE, "written_against": 0}
    for name in ("added", "changed", "withdrawn"):
        section: Any = value.get(name)
        note[name] = {}
        if not isinstance(section, dict):
            continue
        for kind in SECTIONS:
            objects = section.get(kind)
            if isinstance(objects, list) and name == "withdrawn":
                bad_item = any((name, kind, number) in bad for number in range(len(objects)))
                note[name][kind] = [] if bad_item else objects
            elif isinstance(objects, dict) and name != "withdrawn":
                note[name][kind] = {
                    key: DEFAULT_BY_SECTION[kind] if (name, kind, key) in bad else item
                    for key, item in objects.items()
                    if kind in DEFAULT_BY_SECTION or (name, kind, key) not in bad
                }
    return msgspec.convert(note, ReleaseNote)


def check_against(config: Config | None) -> Callable[[ReleaseNote], list[Problem]]:
    """Return a check of notes that are to be applied to ``config``."""

    def check(note: ReleaseNote) -> list[Problem]:
        problems = [*_check_sections(note), *_check_shapes(note)]
        if config is not None:
            for section in SECTIONS:
                problems += _check_ids(note, section, getattr(config, section))
            problems += _check_teams(note, config)
        return problems

    return check


def _check_shapes(note: ReleaseNote) -> Iterator[Problem]:
    for name, section in (("added", note.added), ("changed", note.changed)):
        for identity, guarantee in section.guarantees.items():
            shape = guarantee.shape
            for field, least in LEAST_BY_SHAPE_FIELD.items():
                value = getattr(shape, field)
                if value < least:
                    yield Problem(
                        path=(name, "guarantees", identity, "shape", field),
                        text=f"{field} is {value}, which is out of range",
                        remedy=f"it must be at least {least}",
                    )


def _check_sections(note: ReleaseNote) -> Iterator[Problem]:
    if not note.keys and note.release != UNREADABLE:
        yield Problem(path=(), text="the release changes nothing", remedy="add a change")
    for section in SECTIONS:
        added, changed = getattr(note.added, section), getattr(note.changed, section)
        withdrawn = getattr(note.withdrawn, section)
        for identity in added:
            if not identity:
                yield Problem(
                    path=("added", section, identity),
                    text=f"added.{section} has an empty id",
                    remedy="give it a name",
                    at_key=True,
                )
            if identity in changed:
                yield _twice(("changed", section, identity), "added", at_key=True)
        for number, identity in enumerate(withdrawn):
            path = ("withdrawn", section, number)
            if identity in withdrawn[:number]:
                yield _twice(path, "withdrawn", at_key=False)
            for name, other in (("added", added), ("changed", changed)):
                if identity in other:
                    yield _twice(path, name, at_key=False)


def _twice(path: tuple[str | int, ...], other: str, *, at_key: bool) -> Problem:
    return Problem(
        path=path,
        text=f"this id of {path[0]}.{path[1]} is in {other}.{path[1]} too",
        remedy="keep one of them",
        at_key=at_key,
    )


def _check_ids(note: ReleaseNote, section: str, existing: Mapping[Any, Any]) -> Iterator[Problem]:
    word = section.removesuffix("s")
    for identity in getattr(note.added, section):
        if identity in existing:
            yield Problem(
                path=("added", section, identity),
                text=f"{word} {identity} exists already",
                remedy="move it to changed",
                at_key=True,
            )
    known = ", ".join(sorted(existing)[:10]) or "none"
    for identity in getattr(note.changed, section):
        if identity not in existing:
            yield Problem(
                path=("changed", section, identity),
                text=f"{word} {identity} does not exist",
                remedy=f"move it to added, or use one of: {known}",
                at_key=True,
            )
    for number, identity in enumerate(getattr(note.withdrawn, section)):
        if identity not in existing:
            yield Problem(
                path=("withdrawn", section, number),
                text=f"{word} {identity} does not exist",
                remedy=f"remove it, or use one of: {known}",
            )


def _check_teams(note: ReleaseNote, config: Config) -> Iterator[Problem]:
    after = note.apply_to(config)
    for name, section in (("added", note.added), ("changed", note.changed)):
        for identity, guarantee in section.guarantees.items():
            if guarantee.team in note.withdrawn.teams:
                continue
            if guarantee.team not in after.teams:
                yield Problem(
                    path=(name, "guarantees", identity, "team"),
                    text=f"guarantee {identity} is of the unknown team {guarantee.team}",
                    remedy="add the team or correct its name",
                )
    for number, team in enumerate(note.withdrawn.teams):
        held = sorted(i for i, g in after.guarantees.items() if _is_of(g, team))
        if held:
            yield Problem(
                path=("withdrawn", "teams", number),
                text=f"team {team} still has the guarantees {', '.join(held)}",
                remedy="withdraw them too",
            )


def _is_of(guarantee: Guarantee, team: str) -> bool:
    return guarantee.team == team
