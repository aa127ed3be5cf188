"""Documents of the store in which another writer left unreadable objects."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import orjson

from azurewick.helpers.partial_json import iter_items
from azurewick.helpers.partial_json import iter_members

KEY_ITEMS = "items"
KEY_EVENTS = "events"
KEY_OBJECT = "object"
KEY_META = "meta"
# What is kept of an object that can't be read as a whole.
META_KEYS = ("name", "revision")


def parse_document(data: bytes) -> Any:
    """Return a list, a watch response or an object that the store sent.

    Objects in it that aren't valid JSON are replaced by objects that hold
    only the readable fields of their meta, so that the others can be used.
    Raises ValueError when the objects can't be told apart.
    """
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        members = _read_members(data)
    if KEY_META in members:
        return _parse_object(data)
    body: dict[str, Any] = {}
    for key, value in members.items():
        if key == KEY_ITEMS:
            body[key] = [_parse_object(item) for item in iter_items(value)]
        elif key == KEY_EVENTS:
            body[key] = [_parse_event(item) for item in iter_items(value)]
        else:
            body[key] = orjson.loads(value)
    return body


def _parse_event(data: bytes) -> Any:
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        pass
    try:
        members = _read_members(data)
    except ValueError:
        return None
    event = _read_values(members, members.keys() - {KEY_OBJECT})
    event[KEY_OBJECT] = _parse_object(members.get(KEY_OBJECT, b"null"))
    return event


def _parse_object(data: bytes) -> Any:
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        pass
    try:
        meta = _read_members(_read_members(data)[KEY_META])
    except (KeyError, ValueError):
        return None
    return {KEY_META: _read_values(meta, META_KEYS)}


def _read_members(data: bytes) -> dict[str, bytes]:
    return {orjson.loads(key): value for key, value in iter_members(data)}


def _read_values(
    members: dict[str, bytes], keys: Iterable[str]
) -> dict[str, Any]:
    values: dict[str, Any] = {}
    for key in keys:
        try:
            values[key] = orjson.loads(members[key])
        except (KeyError, orjson.JSONDecodeError):
            continue
    return values
