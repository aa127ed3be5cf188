"""Prefix affinity: which server probably holds a prompt's prefix."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

BYTES_PER_TOKEN: Final = 4
FIRST_PREFIX_BYTES: Final = 512
MAX_PREFIX_HASHES: Final = 24
# Rendezvous hashing uses the prefix of about 1,000 tokens, which all turns
# of a long conversation share.
RENDEZVOUS_DEPTH: Final = 6
MAX_LOCATIONS: Final = 10_000
# Prefixes that all requests of a class share are on every server.
MAX_SERVERS: Final = 64
MAX_CANDIDATES: Final = 2


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


class PrefixAffinity:
    """Remember where prefixes were sent, and fall back to rendezvous.

    The table is a bounded memory of this gateway's own choices; gateways
    that have none agree by rendezvous hashing.
    """

    def __init__(self, max_locations: int = MAX_LOCATIONS) -> None:
        self._max_locations = max_locations
        # Servers of each prefix, the latest last.
        self._locations: OrderedDict[str, dict[str, None]] = OrderedDict()

    def cached_tokens(self, hashes: tuple[str, ...], name: str) -> int:
        """Return the tokens of the longest prefix that was sent to a server.

        The server's cache may have dropped it since.
        """
        for depth in range(len(hashes) - 1, -1, -1):
            if name in self._locations.get(hashes[depth], ()):
                return prefix_tokens(depth)
        return 0

    def candidates(
        self, hashes: tuple[str, ...], names: Iterable[str]
    ) -> list[str]:
        """Return the servers that most probably hold a prefix.

        They are the latest servers of the longest known prefix, and the
        one that all gateways name.
        """
        if not hashes:
            return []
        allowed = set(names)
        found: list[str] = []
        for value in reversed(hashes):
            known = self._locations.get(value, {})
            found = [name for name in reversed(known) if name in allowed]
            if found:
                break
        del found[MAX_CANDIDATES:]
        depth = min(RENDEZVOUS_DEPTH, len(hashes) - 1)
        name = rendezvous_choice(hashes[depth], sorted(allowed))
        if name is not None and name not in found:
            found.append(name)
        return found

    def record(self, hashes: tuple[str, ...], name: str) -> None:
        """Record that a prompt with these prefixes was sent to a server."""
        for value in hashes:
            names = self._locations.setdefault(value, {})
            names.pop(name, None)
            names[name] = None
            if len(names) > MAX_SERVERS:
                del names[next(iter(names))]
            self._locations.move_to_end(value)
        while len(self._locations) > self._max_locations:
            self._locations.popitem(last=False)

    def forget_server(self, name: str) -> None:
        """Forget the prefixes of a server that lost its cache."""
        for names in self._locations.values():
            names.pop(name, None)
