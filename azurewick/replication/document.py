"""Configuration document, split into parts that versions share."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import orjson

DIGEST_BYTES = 16


@dataclass(frozen=True, kw_only=True, slots=True)
class Section:
    """Top-level member of a document.

    items holds the JSON of each element of a list, or of the value alone.
    """

    key: str
    is_list: bool
    items: tuple[bytes, ...]

    def encode(self) -> bytes:
        """Return the JSON of the member."""
        value = b",".join(self.items)
        if self.is_list:
            value = b"[" + value + b"]"
        return orjson.dumps(self.key) + b":" + value


@dataclass(frozen=True, kw_only=True, slots=True)
class Document:
    """Version of the configuration as the store holds it.

    revision is the store's revision at its last change. Documents with the
    same digest have the same content.
    """

    revision: int
    sections: tuple[Section, ...]
    digest: str

    @property
    def size_bytes(self) -> int:
        """Return about the size of the JSON text."""
        return sum(
            len(item) + 1
            for section in self.sections
            for item in section.items
        )

    def decode(self) -> dict[str, Any]:
        """Return the content."""
        content: dict[str, Any] = orjson.loads(_join(self.sections))
        return content


def build_document(revision: int, content: Mapping[str, Any]) -> Document:
    """Return the document with this content."""
    return join_sections(
        revision,
        tuple(
            Section(
                key=key,
                is_list=isinstance(value, list),
                items=tuple(
                    orjson.dumps(item)
                    for item in (value if isinstance(value, list) else [value])
                ),
            )
            for key, value in content.items()
        ),
    )


def join_sections(revision: int, sections: tuple[Section, ...]) -> Document:
    """Return the document with these sections."""
    digest = blake2b(_join(sections), digest_size=DIGEST_BYTES).hexdigest()
    return Document(revision=revision, sections=sections, digest=digest)


def _join(sections: tuple[Section, ...]) -> bytes:
    return b"{" + b",".join(section.encode() for section in sections) + b"}"
