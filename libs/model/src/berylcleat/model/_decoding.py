"""Decoding of JSON that other processes have written."""

from typing import TypeVar

import msgspec

Value = TypeVar("Value")


class MalformedValueError(ValueError):
    """Bytes that don't hold a value of the expected type and range."""


def decode_json(decoder: "msgspec.json.Decoder[Value]", data: bytes | str) -> Value:
    """Return the value in ``data``; raise ``MalformedValueError`` if there is none.

    The decoder raises ``RecursionError`` for values that are nested too deeply.
    """
    try:
        return decoder.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedValueError(str(error)) from error
