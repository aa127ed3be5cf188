"""Encoding of documents for peers, as differences from a known version."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from zlib import compress
from zlib import decompressobj
from zlib import error as ZlibError

import orjson

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.replication.document import Document
from azurewick.replication.document import join_sections
from azurewick.replication.document import Section

# Fastest level of zlib: the smallest instances have a third of a core.
COMPRESSION_LEVEL = 1
# Limit of an encoded document after decompression, and of what it describes.
# The largest value of the store has 1 MB; the rest allows for JSON escapes.
MAX_DOCUMENT_BYTES = 4_194_304

KEY_REVISION = "r"
KEY_DIGEST = "d"
KEY_BASE = "b"
KEY_SECTIONS = "s"
# Elements that the base doesn't hold.
KEY_ADDED = "a"


def encode_document(document: Document, base: Document | None) -> bytes:
    """Return a document as its differences from base, or in full."""
    known = {} if base is None else _sections_by_key(base)
    return compress(
        orjson.dumps(
            {
                KEY_REVISION: document.revision,
                KEY_DIGEST: document.digest,
                KEY_BASE: None if base is None else base.digest,
                KEY_SECTIONS: [
                    [
                        section.key,
                        section.is_list,
                        _encode_items(section, known.get(section.key)),
                    ]
                    for section in document.sections
                ],
            }
        ),
        COMPRESSION_LEVEL,
    )


def decode_document(
    data: bytes, find_base: Callable[[str], Document | None]
) -> Document:
    """Return the document that a peer has encoded.

    find_base returns the document with a digest, None if it isn't known.
    Raises AzurewickError with code invalid_request.
    """
    try:
        body = orjson.loads(_decompress(data))
        base = None
        if body[KEY_BASE] is not None:
            base = find_base(body[KEY_BASE])
            if base is None:
                raise ValueError("the base of the differences isn't known")
        document = join_sections(
            int(body[KEY_REVISION]),
            _decode_sections(body[KEY_SECTIONS], base),
        )
        if document.digest != body[KEY_DIGEST]:
            raise ValueError("the digest doesn't match the content")
    except (
        AttributeError,
        IndexError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
        ZlibError,
    ) as err:
        raise AzurewickError(
            ErrorCode.INVALID_REQUEST,
            f"a peer's document is invalid: {err!r}",
            step=Step.SYNC,
        ) from err
    return document


def _sections_by_key(document: Document) -> dict[str, Section]:
    return {section.key: section for section in document.sections}


def _encode_items(section: Section, base: Section | None) -> list[Any]:
    """Return runs of elements of the base and of added elements.

    A run of the base is its first index and its length.
    """
    indexes: dict[bytes, int] = {}
    if base is not None:
        indexes = {item: index for index, item in enumerate(base.items)}
    runs: list[Any] = []
    for item in section.items:
        index = indexes.get(item)
        last = runs[-1] if runs else None
        if index is None:
            if not isinstance(last, dict):
                last = {KEY_ADDED: []}
                runs.append(last)
            last[KEY_ADDED].append(orjson.Fragment(item))
        elif isinstance(last, list) and sum(last) == index:
            last[1] += 1
        else:
            runs.append([index, 1])
    return runs


def _decode_sections(
    body: list[Any], base: Document | None
) -> tuple[Section, ...]:
    known = {} if base is None else _sections_by_key(base)
    budget_bytes = MAX_DOCUMENT_BYTES
    sections: list[Section] = []
    for key, is_list, runs in body:
        items: list[bytes] = []
        for run in runs:
            added = _decode_run(run, known.get(key))
            budget_bytes -= sum(len(item) for item in added)
            if budget_bytes < 0:
                raise ValueError(
                    f"document is larger than {MAX_DOCUMENT_BYTES} bytes"
                )
            items.extend(added)
        sections.append(
            Section(key=key, is_list=is_list is True, items=tuple(items))
        )
    return tuple(sections)


def _decode_run(run: Any, base: Section | None) -> list[bytes]:
    if isinstance(run, dict):
        return [orjson.dumps(item) for item in run[KEY_ADDED]]
    start, count = run
    if base is None or not 0 <= start < start + count <= len(base.items):
        raise ValueError("a run is outside of the base")
    return list(base.items[start : start + count])


def _decompress(data: bytes) -> bytes:
    """Decompress an encoded document.

    Raises ValueError when it is too large or incomplete, and ZlibError when
    it is not compressed data.
    """
    decompressor = decompressobj()
    body = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"data is incomplete or larger than {MAX_DOCUMENT_BYTES} bytes"
        )
    return body
