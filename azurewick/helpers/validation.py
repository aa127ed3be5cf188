"""Validation of data from outside against msgspec models.

msgspec stops at the first invalid field. A reader of an error needs all of
them, so the fields are checked one by one after a failure.
"""

from __future__ import annotations

from collections.abc import Iterator
from reprlib import Repr
from typing import get_origin
from typing import TypeVar

from msgspec import convert
from msgspec import Struct
from msgspec import ValidationError
from msgspec.structs import fields

_Model = TypeVar("_Model", bound=Struct)

# Longest representation of a value in an error message, in characters.
MAX_VALUE_CHARACTERS = 60
_REPR = Repr()
_REPR.maxstring = _REPR.maxother = _REPR.maxlong = MAX_VALUE_CHARACTERS


class InvalidDataError(ValueError):
    """Data doesn't match its model; the message names each invalid field."""


def validate(
    model: type[_Model], data: object, *, strict: bool = True
) -> _Model:
    """Return the model of decoded JSON data; ignores unknown fields.

    Unless strict is set, numbers may also be given as text.

    Raises InvalidDataError.
    """
    try:
        return convert(data, model, strict=strict)
    except ValidationError as err:
        problems = list(_find_problems(model, data, "", strict))
        raise InvalidDataError("; ".join(problems) or str(err)) from err


def _find_problems(
    model: type[Struct], data: object, path: str, strict: bool
) -> Iterator[str]:
    if not isinstance(data, dict):
        yield f"{path or 'document'}: not an object (got {shorten(data)})"
        return
    for field in fields(model):
        name = f"{path}.{field.encode_name}" if path else field.encode_name
        if field.encode_name not in data:
            if field.required:
                yield f"{name}: missing"
            continue
        value = data[field.encode_name]
        if _is_struct(field.type):
            yield from _find_problems(field.type, value, name, strict)
            continue
        try:
            convert(value, field.type, strict=strict)
        except ValidationError as err:
            yield f"{name}: {err} (got {shorten(value)})"


def _is_struct(kind: object) -> bool:
    return (
        get_origin(kind) is None
        and isinstance(kind, type)
        and issubclass(kind, Struct)
    )


def shorten(value: object) -> str:
    """Return a representation for messages, also of very nested values."""
    text = _REPR.repr(value)
    if len(text) <= MAX_VALUE_CHARACTERS:
        return text
    return text[: MAX_VALUE_CHARACTERS - 3] + "..."
