"""Prefix affinity: which server probably holds a prompt's prefix."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

BYTES_PER_TOKEN: Final = 4
FIRST_PREFIX_BYTES: Final = 512
MAX_PREFIX_HASHES: Final = 24
# Rendezvous hashing uses the prefix of about 1,000 tokens, which all turns
# of a long conversation share.
RENDEZVOUS_DEPTH: Final = 6
MAX_LOCATIONS: Final = 10_000


def prefix_lengths(length_bytes: int) -> list[int]:
    """Return the lengths of the hashed prefixes; each is 1.41 times more."""
    lengths = []
    for step in range(MAX_PREFIX_HASHES):
        length = int(FIRST_PREFIX_BYTES * 2 ** (step / 2))
        if length > length_bytes:
            break
        lengths.append(length)
    return lengths


def prefix_hashes(prompt: bytes) -> tuple[str, ...]:
    """Return hashes of a prompt's leading parts, the shortest first."""
    digest = blake2b(digest_size=8)
    hashes = []
    done = 0
    for length in prefix_lengths(len(prompt)):
        digest.update(prompt[done:length])
        done = length
        hashes.append(digest.copy().hexdigest())
    return tuple(hashes)


def prefix_tokens(depth: int) -> int:
    """Return the approximate tokens of the prefix at an index."""
    return int(FIRST_PREFIX_BYTES * 2 ** (depth / 2)) // BYTES_PER_TOKEN


def rendezvous_choice(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest hash for a key, None for no names."""
    return max(
        names,
        key=lambda name: blake2b(
            f"{key}/{name}".encode(), digest_size=8
        ).digest(),
        default=None,
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class CachedPrefix:
    """Server that may hold a prefix, and the tokens it may hold."""

    name: str
    tokens: int


class PrefixAffinity:
    """Remember where prefixes were sent, and fall back to rendezvous.

    The table is a bounded memory of this gateway's own choices; gateways
    that have none agree by rendezvous hashing.
    """

    def __init__(self, max_locations: int = MAX_LOCATIONS) -> None:
        self._max_locations = max_locations
        self._locations: OrderedDict[str, str] = OrderedDict()

    def candidates(
        self, hashes: tuple[str, ...], names: Iterable[str]
    ) -> list[CachedPrefix]:
        """Return the servers that may hold a prefix, the deepest first."""
        if not hashes:
            return []
        allowed = names if isinstance(names, set) else set(names)
        found = []
        for depth in range(len(hashes) - 1, -1, -1):
            name = self._locations.get(hashes[depth])
            if name in allowed and name is not None:
                found.append(
                    CachedPrefix(name=name, tokens=prefix_tokens(depth))
                )
                break
        depth = min(RENDEZVOUS_DEPTH, len(hashes) - 1)
        name = rendezvous_choice(hashes[depth], sorted(allowed))
        if name is not None and all(item.name != name for item in found):
            found.append(CachedPrefix(name=name, tokens=prefix_tokens(depth)))
        return found

    def record(self, hashes: tuple[str, ...], name: str) -> None:
        """Record that a prompt with these prefixes was sent to a server."""
        for value in hashes:
            self._locations[value] = name
            self._locations.move_to_end(value)
        while len(self._locations) > self._max_locations:
            self._locations.popitem(last=False)

    def forget_server(self, name: str) -> None:
        """Forget the prefixes of a server that lost its cache."""
        for value in [k for k, v in self._locations.items() if v == name]:
            del self._locations[value]
