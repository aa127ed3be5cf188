"""Prefix affinity: which server probably holds a prompt's prefix."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from enum import StrEnum
from hashlib import blake2b
from typing import Final

BYTES_PER_TOKEN: Final = 4
FIRST_PREFIX_BYTES: Final = 512
MAX_PREFIX_HASHES: Final = 24
MAX_LOCATIONS: Final = 10_000
SMOOTHING: Final = 0.05
# A prefix that this part of a class's requests repeats from the request
# before belongs to the class and says nothing about the placement.
SHARED_PART: Final = 0.5
# Prefixes count as shared until two or three requests say otherwise: no
# class should begin with all its requests on one home.
INITIAL_SAME: Final = 0.53


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


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of their hashes for a key."""
    return sorted(
        names,
        key=lambda name: blake2b(
            f"{key}/{name}".encode(), digest_size=8
        ).digest(),
    )


class Placement(StrEnum):
    """Relation of a server to a prompt's prefix."""

    HOME = "home"
    SECOND = "second"
    KNOWN = "known"
    AWAY = "away"


INITIAL_CACHED_PART: Final = {
    Placement.HOME: 0.5,
    Placement.SECOND: 0.2,
    Placement.KNOWN: 0.4,
    Placement.AWAY: 0.1,
}


class _ClassPrefixes:
    """What the prompts of one class have in common."""

    def __init__(self) -> None:
        self.last: tuple[str, ...] = ()
        # Part of the requests whose prefix was that of the one before.
        self.same: list[float] = [INITIAL_SAME] * MAX_PREFIX_HASHES
        # Part of the prompt that was found in the cache.
        self.cached: dict[Placement, float] = {}

    def record_prompt(self, hashes: tuple[str, ...]) -> None:
        for depth, value in enumerate(hashes):
            is_same = depth < len(self.last) and self.last[depth] == value
            self.same[depth] += SMOOTHING * (is_same - self.same[depth])
        self.last = hashes

    def key(self, hashes: tuple[str, ...]) -> str:
        """Return the shortest prefix that not all prompts share."""
        for depth, value in enumerate(hashes):
            if self.same[depth] < SHARED_PART:
                return value
        return hashes[-1]


class PrefixAffinity:
    """Place prompts with a common prefix on the same server.

    All gateways agree on a home and a second server by rendezvous hashing.
    How much of a prompt each of them has in its cache is learned for each
    class. A bounded memory of this gateway's own choices names other
    servers that may hold the prefix.
    """

    def __init__(self, max_locations: int = MAX_LOCATIONS) -> None:
        self._max_locations = max_locations
        self._classes: dict[str, _ClassPrefixes] = {}
        self._locations: OrderedDict[str, str] = OrderedDict()

    def place(
        self, request_class: str, hashes: tuple[str, ...], names: Iterable[str]
    ) -> dict[str, Placement]:
        """Return the servers that probably hold a prompt's prefix."""
        if not hashes:
            return {}
        allowed = sorted(names)
        key = self._class(request_class).key(hashes)
        order = rendezvous_order(key, allowed)
        placements = {}
        known = self._locations.get(key)
        if known is not None and known in order:
            placements[known] = Placement.KNOWN
        for name, placement in zip(
            order, (Placement.HOME, Placement.SECOND), strict=False
        ):
            placements[name] = placement
        return placements

    def cached_part(self, request_class: str, placement: Placement) -> float:
        """Return the part of a class's prompts that a server holds."""
        cached = self._class(request_class).cached
        away = cached.get(Placement.AWAY, INITIAL_CACHED_PART[Placement.AWAY])
        # No server holds less than one without any relation to the prompt;
        # a placement that is seldom chosen learns slowly.
        return max(away, cached.get(placement, INITIAL_CACHED_PART[placement]))

    def record_sent(
        self, request_class: str, hashes: tuple[str, ...], name: str
    ) -> None:
        """Record that a prompt was sent to a server."""
        if not hashes:
            return
        prefixes = self._class(request_class)
        prefixes.record_prompt(hashes)
        key = prefixes.key(hashes)
        self._locations[key] = name
        self._locations.move_to_end(key)
        if len(self._locations) > self._max_locations:
            self._locations.popitem(last=False)

    def record_cached(
        self, request_class: str, placement: Placement, part: float
    ) -> None:
        """Record the part of a prompt that the server's cache held."""
        before = self.cached_part(request_class, placement)
        self._class(request_class).cached[placement] = before + SMOOTHING * (
            part - before
        )

    def forget_server(self, name: str) -> None:
        """Forget the prefixes of a server that lost its cache."""
        for key in [k for k, v in self._locations.items() if v == name]:
            del self._locations[key]

    def _class(self, name: str) -> _ClassPrefixes:
        return self._classes.setdefault(name, _ClassPrefixes())
