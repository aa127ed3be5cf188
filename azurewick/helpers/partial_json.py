"""Extents of the parts of JSON documents that can't be decoded as a whole."""

from __future__ import annotations

from collections.abc import Iterator
import re

# Lists of the store have about 500 items.
MAX_PARTS = 10_000
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# Text without brackets; brackets in strings are left to _STRING.
_PLAIN = rb'(?:[^"\[\]{}]|"(?:[^"\\\[\]{}]|\\.)*+")*+'
# The last alternative matches the start of a string that doesn't end.
_FLAT_TOKEN = re.compile(_STRING + rb'|[\[\]{},]|"', re.DOTALL)
# Array or object without strings and brackets inside.
_LEAF = rb'[\[{][^"\[\]{}]*+[\]}]'
# Brackets of a kind in a row are one token, so that deep nesting is cheap.
_NESTED_TOKEN = re.compile(
    rb'(?P<leaves>(?:%b%b)++)|(?:[\[{]%b)++|(?:[\]}]%b)++|%b|"'
    % (_LEAF, _PLAIN, _PLAIN, _PLAIN, _STRING),
    re.DOTALL,
)
_LEAF_PATTERN = re.compile(_LEAF)
_CLOSING = re.compile(rb"[\]}]")
_KEY = re.compile(rb"\s*(" + _STRING + rb")\s*:", re.DOTALL)


def iter_items(data: bytes) -> Iterator[bytes]:
    """Yield the texts of the items of a JSON array.

    The items themselves needn't be valid JSON, but their brackets have to be
    balanced and their strings have to end. Needs no recursion. Raises
    ValueError when the extents can't be found or there are over MAX_PARTS.
    """
    return _iter_parts(data.strip(), b"[")


def iter_members(data: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield the texts of the keys and values of a JSON object.

    Keys are in quotes. Raises ValueError as iter_items.
    """
    for part in _iter_parts(data.strip(), b"{"):
        match = _KEY.match(part)
        if match is None:
            raise ValueError("a member of an object has no key")
        yield match[1], part[match.end() :]


def _iter_parts(data: bytes, bracket: bytes) -> Iterator[bytes]:
    if not data.startswith(bracket):
        raise ValueError(f"no {bracket.decode()} at the start")
    start = position = 1
    count = 0
    while match := _FLAT_TOKEN.search(data, position):
        position = match.end()
        token = match[0]
        if token in (b"[", b"{"):
            position = _find_end(data, match.start())
        elif token == b",":
            count += 1
            if count >= MAX_PARTS:
                raise ValueError(f"more than {MAX_PARTS} parts")
            yield data[start : match.start()]
            start = position
        elif token in (b"]", b"}"):
            if position != len(data):
                break
            last = data[start : match.start()]
            if count or last.strip():
                yield last
            return
        elif token == b'"':
            break
    raise ValueError("brackets or strings don't match")


def _find_end(data: bytes, start: int) -> int:
    """Return the end of the array or object that begins at start."""
    if leaf := _LEAF_PATTERN.match(data, start):
        return leaf.end()
    depth = 1
    position = start + 1
    while match := _NESTED_TOKEN.search(data, position):
        token = match[0]
        if match["leaves"]:
            pass
        elif token[0] in b"[{":
            depth += token.count(b"[") + token.count(b"{")
        elif token[0] in b"]}":
            size = token.count(b"]") + token.count(b"}")
            if size >= depth:
                for closing in _CLOSING.finditer(data, match.start()):
                    depth -= 1
                    if depth == 0:
                        return closing.end()
            depth -= size
        elif token == b'"':
            break
        position = match.end()
    raise ValueError("brackets or strings don't match")
