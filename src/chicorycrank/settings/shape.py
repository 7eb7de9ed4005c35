"""Validates a JSON value against a type and lists every mismatch."""

import difflib
import math
from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
from msgspec import inspect as types

from chicorycrank.settings.findings import DocumentPath, Problem, format_path

DESCRIPTION_BY_TYPE: dict[type[types.Type], str] = {
    types.StrType: "a string",
    types.IntType: "a whole number",
    types.FloatType: "a number",
    types.BoolType: "true or false",
}

PHRASE_BY_BOUND = {
    "gt": "above",
    "ge": "at least",
    "lt": "below",
    "le": "at most",
    "min_length": "of length at least",
    "max_length": "of length at most",
    "pattern": "of the form",
}
UNIT_BY_SUFFIX = {
    "_s": " (seconds)",
    "_gb": " (gigabytes)",
    "_bytes": " (bytes)",
    "_s_per_mb": " (seconds per megabyte)",
}


def check_type(value: Any, expected_type: Any) -> list[Problem]:
    """Return all mismatches between a JSON value and a type, including unknown fields."""
    return list(_check(value, types.type_info(expected_type), ()))


def _check(value: Any, info: types.Type, path: DocumentPath) -> Iterator[Problem]:
    match info:
        case types.StructType():
            yield from _check_struct(value, info, path)
        case types.UnionType():
            yield from _check_union(value, info, path)
        case types.DictType():
            if not isinstance(value, dict):
                yield _mismatch(path, value, "an object")
                return
            for key, item in value.items():
                yield from _check(item, info.value_type, (*path, key))
        case types.VarTupleType() | types.ListType():
            if not isinstance(value, list):
                yield _mismatch(path, value, "a list")
                return
            for number, item in enumerate(value):
                yield from _check(item, info.item_type, (*path, number))
        case types.EnumType():
            choices = [member.value for member in info.cls]
            if value not in choices:
                yield _mismatch(path, value, f"one of {', '.join(map(str, choices))}")
        case types.CustomType() | types.AnyType():
            return
        case _:
            yield from _check_scalar(value, info, path)


def _check_union(value: Any, info: types.UnionType, path: DocumentPath) -> Iterator[Problem]:
    options = [option for option in info.types if not isinstance(option, types.NoneType)]
    if value is None and len(options) < len(info.types):
        return
    yield from _check(value, options[0], path)


def _check_struct(value: Any, info: types.StructType, path: DocumentPath) -> Iterator[Problem]:
    if not isinstance(value, dict):
        yield _mismatch(path, value, "an object")
        return
    fields_by_name = {field.encode_name: field for field in info.fields}
    for key, item in value.items():
        field = fields_by_name.get(key)
        if field is None:
            yield _unknown_field((*path, key), list(fields_by_name))
        else:
            yield from _check(item, field.type, (*path, key))
    for name, field in fields_by_name.items():
        if field.required and name not in value:
            yield Problem(
                path=path,
                text=f"{format_path((*path, name))} is missing",
                remedy=f"add the field {name}",
            )


def _check_scalar(value: Any, info: types.Type, path: DocumentPath) -> Iterator[Problem]:
    expected = DESCRIPTION_BY_TYPE.get(type(info), "another type")
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    is_match = {
        types.StrType: isinstance(value, str),
        types.IntType: is_number and isinstance(value, int),
        types.FloatType: is_number and math.isfinite(value),
        types.BoolType: isinstance(value, bool),
    }.get(type(info), False)
    if not is_match:
        yield _mismatch(path, value, expected)
        return
    try:
        msgspec.convert(value, _bounded_type(info))
    except msgspec.ValidationError:
        yield Problem(
            path=path,
            text=f"{format_path(path)} is {_format_value(value)}, which is out of range",
            remedy=_format_range(info, str(path[-1]) if path else ""),
        )


def _format_range(info: types.Type, name: str) -> str:
    phrases = [
        f"{phrase} {getattr(info, bound)}"
        for bound, phrase in PHRASE_BY_BOUND.items()
        if getattr(info, bound, None) is not None
    ]
    unit = next((unit for suffix, unit in UNIT_BY_SUFFIX.items() if name.endswith(suffix)), "")
    return f"it must be {' and '.join(phrases)}{unit}"


def _bounded_type(info: types.Type) -> Any:
    """Return the scalar type of ``info`` with its bounds, for ``msgspec.convert``."""
    names = ("gt", "ge", "lt", "le", "min_length", "max_length", "pattern")
    bounds = {n: getattr(info, n) for n in names if getattr(info, n, None) is not None}
    base = {types.StrType: str, types.IntType: int, types.FloatType: float}.get(type(info), bool)
    return Annotated[base, msgspec.Meta(**bounds)] if bounds else base


def _mismatch(path: DocumentPath, value: Any, expected: str) -> Problem:
    return Problem(
        path=path,
        text=f"{format_path(path)} is {_format_value(value)}",
        remedy=f"it must be {expected}",
    )


def _unknown_field(path: DocumentPath, names: list[str]) -> Problem:
    similar_names = difflib.get_close_matches(str(path[-1]), names, n=1)
    remedy = (
        f"use {similar_names[0]}" if similar_names else f"remove it; known are {', '.join(names)}"
    )
    return Problem(
        path=path, text=f"unknown field {format_path(path)}", remedy=remedy, is_at_key=True
    )


def _format_value(value: Any) -> str:
    text = repr(value)
    limit = 40
    return text if len(text) <= limit else f"{text[:limit]}..."
