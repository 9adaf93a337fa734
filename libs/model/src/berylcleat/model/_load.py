"""Load JSON with comments into frozen data classes."""

import dataclasses
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec

from ._errors import DocumentError, SettingsError

T = TypeVar("T")


def _item_types(expected: Any) -> list[Any]:
    """List the classes that a container or union annotation may hold."""
    origin = typing.get_origin(expected)
    if origin in (typing.Union, types.UnionType, tuple, list, dict, frozenset):
        return [kind for kind in typing.get_args(expected) if kind is not Ellipsis]
    return [expected]


def find_unknown_key(value: Any, expected: Any, path: str = "$") -> str | None:
    """Return the path of the first key that no field is named after."""
    for kind in _item_types(expected):
        if isinstance(value, list):
            found = _first_unknown(enumerate(value), kind, path + "[{}]")
        elif isinstance(value, dict) and dataclasses.is_dataclass(kind):
            found = _unknown_in_dataclass(value, kind, path)
        elif isinstance(value, dict) and typing.get_origin(expected) is dict:
            found = _first_unknown(value.items(), kind, path + ".{}")
        else:
            found = None
        if found:
            return found
    return None


def _first_unknown(pairs: Any, kind: Any, template: str) -> str | None:
    for key, item in pairs:
        found = find_unknown_key(item, kind, template.format(key))
        if found:
            return found
    return None


def _unknown_in_dataclass(value: dict, kind: type, path: str) -> str | None:
    hints = typing.get_type_hints(kind)
    for key, item in value.items():
        if key not in hints:
            return f"{path}.{key}"
        found = find_unknown_key(item, hints[key], f"{path}.{key}")
        if found:
            return found
    return None


def parse_document(
    text: str, expected: type[T], *, source: str, error=DocumentError
) -> T:
    """Return ``text`` (JSON with comments) as an ``expected`` instance.

    Raises ``error`` naming ``source``, the place and the remedy.
    """
    try:
        value = json5.loads(text)
    except ValueError as problem:
        raise error(
            f"{source}: not JSON with comments: {problem}",
            "Mend the syntax at that place",
        ) from problem
    unknown = find_unknown_key(value, expected)
    if unknown:
        raise error(
            f"{source}: unknown key at {unknown}",
            f"Remove it or use one of the fields of {expected.__name__}: "
            + ", ".join(typing.get_type_hints(expected)),
        )
    try:
        return msgspec.convert(value, expected)
    except msgspec.ValidationError as problem:
        raise error(f"{source}: {problem}", "Give a value of that type") from problem


def load_settings(path: Path, expected: type[T]) -> T:
    """Return the settings file at ``path`` as an ``expected`` instance."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as problem:
        raise SettingsError(
            f"{path}: {problem.strerror}", "Give the path of a readable settings file"
        ) from problem
    return parse_document(text, expected, source=str(path), error=SettingsError)
