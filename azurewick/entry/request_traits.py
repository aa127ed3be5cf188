"""Traits that requests may have in common when they crash their servers."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from azurewick.entry.models import CallerRequest

PART_PREFIX = "part:"
CONTENT_PREFIX = "content:"
# Names of parts come from callers; longer ones are replaced by their hash.
MAX_PART_NAME_CHARS = 40
HASH_BYTES = 8


def request_traits(
    request: CallerRequest, customer: str, body: Iterable[bytes | bytearray]
) -> tuple[str, ...]:
    """Return the parts of the prompt and the content of a request.

    The last part of a prompt belongs to the request itself or to its session;
    its repeats have the same content.
    """
    return (
        *(
            PART_PREFIX + _short_name(part.name)
            for part in request.prompt_parts[:-1]
        ),
        CONTENT_PREFIX + _hash_content(request, customer, body),
    )


def _short_name(name: str) -> str:
    if len(name) <= MAX_PART_NAME_CHARS:
        return name
    return blake2b(name.encode(), digest_size=HASH_BYTES).hexdigest()


def _hash_content(
    request: CallerRequest, customer: str, body: Iterable[bytes | bytearray]
) -> str:
    digest = blake2b(digest_size=HASH_BYTES)
    for text in (request.method, request.host, request.target, customer):
        digest.update(text.encode())
        digest.update(b"\0")
    for part in body:
        digest.update(part)
    return digest.hexdigest()
