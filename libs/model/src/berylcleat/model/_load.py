"""Parsing of JSON with comments into data classes."""

import dataclasses
import types
import typing
from pathlib import Path
from typing import Any, TypeVar

import json5
import msgspec

from ._errors import DocumentError, SettingsError

T = TypeVar("T")


def _member_types(expected: Any) -> list[Any]:
    """Return the item or member types of a container or union annotation."""
    origin = typing.get_origin(expected)
    if origin in (typing.Union, types.UnionType, tuple, list, dict, frozenset):
        return [
            member_type
            for member_type in typing.get_args(expected)
            if member_type is not Ellipsis
        ]
    return [expected]


def find_unknown_key(value: Any, expected: Any, path: str = "$") -> str | None:
    """Return the path of the first key that isn't a field, or None."""
    for member_type in _member_types(expected):
        if isinstance(value, list):
            found = _find_unknown_in_items(enumerate(value), member_type, path + "[{}]")
        elif isinstance(value, dict) and dataclasses.is_dataclass(member_type):
            found = _find_unknown_field(value, member_type, path)
        elif isinstance(value, dict) and typing.get_origin(expected) is dict:
            found = _find_unknown_in_items(value.items(), member_type, path + ".{}")
        else:
            found = None
        if found:
            return found
    return None


def _find_unknown_in_items(
    keyed_items: Any, member_type: Any, template: str
) -> str | None:
    for key, item in keyed_items:
        found = find_unknown_key(item, member_type, template.format(key))
        if found:
            return found
    return None


def _find_unknown_field(value: dict, member_type: type, path: str) -> str | None:
    hints = typing.get_type_hints(member_type)
    for key, item in value.items():
        if key not in hints:
            return f"{path}.{key}"
        found = find_unknown_key(item, hints[key], f"{path}.{key}")
        if found:
            return found
    return None


def parse_document(
    text: str, expected: type[T], *, source: str, error_type=DocumentError
) -> T:
    """Parse ``text`` (JSON with comments) as an ``expected`` instance.

    Raises ``error_type`` with ``source``, the position of the fault and a remedy.
    """
    try:
        value = json5.loads(text)
    except ValueError as error:
        raise error_type(
            f"{source}: not valid JSON with comments: {error}",
            "Correct the syntax at that position",
        ) from error
    unknown_path = find_unknown_key(value, expected)
    if unknown_path:
        raise error_type(
            f"{source}: unknown key at {unknown_path}",
            f"Remove it, or use one of the fields of {expected.__name__}: "
            + ", ".join(typing.get_type_hints(expected)),
        )
    try:
        return msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        raise error_type(f"{source}: {error}", "Set a value of that type") from error


def load_settings(path: Path, expected: type[T]) -> T:
    """Parse the settings file at ``path`` as an ``expected`` instance.

    Raises ``SettingsError`` if it is unreadable or invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(
            f"{path}: {error.strerror}", "Pass the path of a readable settings file"
        ) from error
    return parse_document(text, expected, source=str(path), error_type=SettingsError)
