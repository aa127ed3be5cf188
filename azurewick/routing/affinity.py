"""Prefix affinity: which server probably holds a prompt's prefix."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from hashlib import blake2b
from typing import Final

BYTES_PER_TOKEN: Final = 4
FIRST_PREFIX_BYTES: Final = 512
MAX_PREFIX_HASHES: Final = 24
MAX_LOCATIONS: Final = 30_000
# More than two, for servers that are excluded or suspected.
HOME_CANDIDATES: Final = 5
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


INITIAL_HIT_RATE: Final = {
    Placement.HOME: 0.7,
    Placement.SECOND: 0.3,
    Placement.KNOWN: 0.7,
    Placement.AWAY: 0.1,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixPlan:
    """Where a prompt's prefix may be cached.

    shared_tokens are on every server; recurring_tokens is the length of the
    longest prefix that has been seen, and home_tokens the part that is
    worth keeping on the home server for later requests.
    """

    key: str
    shared_tokens: int = 0
    recurring_tokens: int = 0
    home_tokens: int = 0
    placements: Mapping[str, Placement] = field(default_factory=dict)

    def placement(self, name: str) -> Placement:
        """Return the placement of a server."""
        return self.placements.get(name, Placement.AWAY)


class _ClassPrefixes:
    """What the prompts of one class have in common."""

    def __init__(self) -> None:
        self.last: tuple[str, ...] = ()
        # Part of the requests whose prefix was that of the one before.
        self.same: list[float] = [INITIAL_SAME] * MAX_PREFIX_HASHES
        # Part of the requests whose key had been seen.
        self.recurrence = 0.5
        # Part of the recurring prefix that was found in the cache.
        self.hit_rate = dict(INITIAL_HIT_RATE)

    def record_prompt(self, hashes: tuple[str, ...], is_seen: bool) -> None:
        self.recurrence += SMOOTHING * (is_seen - self.recurrence)
        for depth, value in enumerate(hashes):
            is_same = depth < len(self.last) and self.last[depth] == value
            self.same[depth] += SMOOTHING * (is_same - self.same[depth])
        self.last = hashes

    def key_depth(self, hashes: tuple[str, ...]) -> int:
        """Return the shortest prefix that not all prompts share."""
        for depth in range(len(hashes)):
            if self.same[depth] < SHARED_PART:
                return depth
        return len(hashes)


class PrefixAffinity:
    """Place prompts with a common prefix on the same server.

    All gateways agree on a home and a second server by rendezvous hashing.
    How often each of them has the prefix in its cache is learned for each
    class. A bounded memory of this gateway's own choices tells which
    prefixes recur, and names another server that may hold one.
    """

    def __init__(self, max_locations: int = MAX_LOCATIONS) -> None:
        self._max_locations = max_locations
        self._names: list[str] = []
        self._orders: dict[str, list[str]] = {}
        self._classes: dict[str, _ClassPrefixes] = {}
        self._locations: OrderedDict[str, str] = OrderedDict()

    def update_servers(self, names: Iterable[str]) -> None:
        """Replace the servers."""
        if (ordered := sorted(names)) != self._names:
            self._names = ordered
            self._orders.clear()

    def plan(
        self,
        request_class: str,
        hashes: tuple[str, ...],
        prompt_tokens: int,
        allowed: Collection[str],
    ) -> PrefixPlan | None:
        """Return where a prompt's prefix may be cached."""
        if not hashes:
            return None
        prefixes = self._class(request_class)
        depth = prefixes.key_depth(hashes)
        shared = min(prompt_tokens, _tokens(depth - 1))
        if depth == len(hashes):
            return PrefixPlan(key="", shared_tokens=shared)
        key = hashes[depth]
        placements: dict[str, Placement] = {}
        seen = next(
            (
                index
                for index in range(len(hashes) - 1, depth - 1, -1)
                if hashes[index] in self._locations
            ),
            None,
        )
        recurring = shared
        if seen is not None:
            recurring = max(shared, min(prompt_tokens, _tokens(seen)))
            known = self._locations[hashes[seen]]
            if known in allowed:
                placements[known] = Placement.KNOWN
        homes = [name for name in self._order(key) if name in allowed]
        for name, placement in zip(
            homes, (Placement.HOME, Placement.SECOND), strict=False
        ):
            placements[name] = placement
        return PrefixPlan(
            key=key,
            shared_tokens=shared,
            recurring_tokens=recurring,
            home_tokens=int((prompt_tokens - shared) * prefixes.recurrence),
            placements=placements,
        )

    def cached_tokens(
        self, request_class: str, plan: PrefixPlan | None, name: str
    ) -> int:
        """Return the prompt tokens that a server's cache probably holds."""
        if plan is None:
            return 0
        rate = self._class(request_class).hit_rate[plan.placement(name)]
        recurring = plan.recurring_tokens - plan.shared_tokens
        return plan.shared_tokens + int(rate * recurring)

    def record_sent(
        self, request_class: str, hashes: tuple[str, ...], name: str
    ) -> None:
        """Record that a prompt was sent to a server."""
        if not hashes:
            return
        prefixes = self._class(request_class)
        depth = prefixes.key_depth(hashes)
        is_seen = depth < len(hashes) and hashes[depth] in self._locations
        prefixes.record_prompt(hashes, is_seen)
        for value in hashes[depth:]:
            self._locations[value] = name
            self._locations.move_to_end(value)
        while len(self._locations) > self._max_locations:
            self._locations.popitem(last=False)

    def record_cached(
        self,
        request_class: str,
        plan: PrefixPlan | None,
        name: str,
        cached_tokens: int,
    ) -> None:
        """Record the prompt tokens that the server's cache held."""
        if plan is None or plan.recurring_tokens <= plan.shared_tokens:
            return
        hit = (cached_tokens - plan.shared_tokens) / (
            plan.recurring_tokens - plan.shared_tokens
        )
        rates = self._class(request_class).hit_rate
        placement = plan.placement(name)
        hit = min(1.0, max(0.0, hit))
        rates[placement] += SMOOTHING * (hit - rates[placement])

    def forget_server(self, name: str) -> None:
        """Forget the prefixes of a server that lost its cache."""
        for key in [k for k, v in self._locations.items() if v == name]:
            del self._locations[key]

    def _class(self, name: str) -> _ClassPrefixes:
        prefixes = self._classes.get(name)
        if prefixes is None:
            prefixes = self._classes[name] = _ClassPrefixes()
        return prefixes

    def _order(self, key: str) -> list[str]:
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) > self._max_locations:
                self._orders.clear()
            order = rendezvous_order(key, self._names)[:HOME_CANDIDATES]
            self._orders[key] = order
        return order


def _tokens(depth: int) -> int:
    """Return the mean length of prefixes that end between two depths."""
    return int(prefix_tokens(depth) * 1.2) if depth >= 0 else 0
