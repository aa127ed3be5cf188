"""Prefix affinity: which server's prefix cache probably holds a prompt."""

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
MAX_PREFIXES: Final = 30_000
# Servers kept per prefix. Two are used, the others replace servers that are
# excluded or degraded.
HOME_CANDIDATES: Final = 5
SMOOTHING_FACTOR: Final = 0.05
# A prefix that at least this ratio of a class's requests has in common with
# the preceding request is shared by the class, for example as its system
# prompt. It does not tell requests apart, so it does not affect the placement.
SHARED_PREFIX_RATIO: Final = 0.5
# Just above SHARED_PREFIX_RATIO: a prefix counts as shared until the first two
# or three requests of a class show otherwise. A new class then doesn't start
# with all its requests on one home server.
INITIAL_REPEAT_RATIO: Final = 0.53


def prefix_lengths_bytes(length_bytes: int) -> list[int]:
    """Return the lengths of the hashed prefixes of a prompt, in bytes.

    Each is longer than the one before by the square root of two.
    """
    lengths = []
    for step in range(MAX_PREFIX_HASHES):
        length = int(FIRST_PREFIX_BYTES * 2 ** (step / 2))
        if length > length_bytes:
            break
        lengths.append(length)
    return lengths


def prefix_hashes(prompt: bytes) -> tuple[str, ...]:
    """Return the hashes of a prompt's prefixes, the shortest first."""
    digest = blake2b(digest_size=8)
    hashes = []
    hashed_bytes = 0
    for length in prefix_lengths_bytes(len(prompt)):
        digest.update(prompt[hashed_bytes:length])
        hashed_bytes = length
        hashes.append(digest.copy().hexdigest())
    return tuple(hashes)


def prefix_tokens(depth: int) -> int:
    """Return the approximate length, in tokens, of the prefix at an index."""
    return int(FIRST_PREFIX_BYTES * 2 ** (depth / 2)) // BYTES_PER_TOKEN


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in rendezvous hashing order for a key."""
    return sorted(
        names,
        key=lambda name: blake2b(
            f"{key}/{name}".encode(), digest_size=8
        ).digest(),
    )


class Placement(StrEnum):
    """Relation of a server to a prompt's prefix.

    HOME and SECOND are the first two servers in rendezvous order. KNOWN is
    the server to which this gateway last sent the prefix, if it is neither of
    them. AWAY is any other server.
    """

    HOME = "home"
    SECOND = "second"
    KNOWN = "known"
    AWAY = "away"


INITIAL_HIT_RATES: Final = {
    Placement.HOME: 0.7,
    Placement.SECOND: 0.3,
    Placement.KNOWN: 0.7,
    Placement.AWAY: 0.1,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class PrefixPlan:
    """Where a prompt's prefix may be cached.

    key is the hash that selects the home server, empty when the class shares
    the whole prompt. shared_tokens is the length of the prefix that the class
    shares, which every server is assumed to have cached. recurring_tokens is
    the length of the longest prefix that this gateway has sent before.
    home_tokens are the tokens worth caching on the home server for later
    requests: those after the shared prefix, times the ratio of the class's
    requests whose prefix recurs.
    """

    key: str
    shared_tokens: int = 0
    recurring_tokens: int = 0
    home_tokens: int = 0
    placements: Mapping[str, Placement] = field(default_factory=dict)

    def placement(self, name: str) -> Placement:
        """Return the relation of a server to the prefix."""
        return self.placements.get(name, Placement.AWAY)


class _ClassPrefixStats:
    """Statistics of the prefixes in the prompts of one class."""

    def __init__(self) -> None:
        self.last_hashes: tuple[str, ...] = ()
        # For each depth the ratio of requests that had the same prefix as
        # the preceding one.
        self.repeat_ratios: list[float] = [
            INITIAL_REPEAT_RATIO
        ] * MAX_PREFIX_HASHES
        # Ratio of requests whose key had been sent before.
        self.recurrence_ratio = 0.5
        # Ratio of the recurring prefix that was cached, by placement.
        self.hit_rates = dict(INITIAL_HIT_RATES)

    def record_prompt(self, hashes: tuple[str, ...], is_seen: bool) -> None:
        self.recurrence_ratio += SMOOTHING_FACTOR * (
            is_seen - self.recurrence_ratio
        )
        for depth, value in enumerate(hashes):
            is_repeated = (
                depth < len(self.last_hashes)
                and self.last_hashes[depth] == value
            )
            self.repeat_ratios[depth] += SMOOTHING_FACTOR * (
                is_repeated - self.repeat_ratios[depth]
            )
        self.last_hashes = hashes

    def key_depth(self, hashes: tuple[str, ...]) -> int:
        """Return the depth of the shortest prefix not shared by the class.

        It is the number of hashes when the class shares all of them.
        """
        for depth in range(len(hashes)):
            if self.repeat_ratios[depth] < SHARED_PREFIX_RATIO:
                return depth
        return len(hashes)


class PrefixAffinity:
    """Place prompts with a common prefix on the same server.

    All gateways derive the same home and second server by rendezvous hashing.
    How often each of them has the prefix in its cache is learned for each
    class. A bounded table of the prefixes that this gateway sent shows which
    of them recur, and a third server that may hold one.
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._names: list[str] = []
        self._home_orders: dict[str, list[str]] = {}
        self._stats_by_class: dict[str, _ClassPrefixStats] = {}
        self._server_by_prefix: OrderedDict[str, str] = OrderedDict()

    def update_servers(self, names: Iterable[str]) -> None:
        """Replace the servers that rendezvous hashing orders."""
        if (ordered := sorted(names)) != self._names:
            self._names = ordered
            self._home_orders.clear()

    def plan(
        self,
        request_class: str,
        hashes: tuple[str, ...],
        prompt_tokens: int,
        allowed: Collection[str],
    ) -> PrefixPlan | None:
        """Return where a prefix may be cached, or None without hashes."""
        if not hashes:
            return None
        stats = self._class_stats(request_class)
        key_depth = stats.key_depth(hashes)
        shared_tokens = min(prompt_tokens, _mean_prefix_tokens(key_depth - 1))
        if key_depth == len(hashes):
            return PrefixPlan(key="", shared_tokens=shared_tokens)
        key = hashes[key_depth]
        placements: dict[str, Placement] = {}
        seen_depth = next(
            (
                index
                for index in range(len(hashes) - 1, key_depth - 1, -1)
                if hashes[index] in self._server_by_prefix
            ),
            None,
        )
        recurring_tokens = shared_tokens
        if seen_depth is not None:
            recurring_tokens = max(
                shared_tokens,
                min(prompt_tokens, _mean_prefix_tokens(seen_depth)),
            )
            known_server = self._server_by_prefix[hashes[seen_depth]]
            if known_server in allowed:
                placements[known_server] = Placement.KNOWN
        homes = [name for name in self._home_order(key) if name in allowed]
        for name, placement in zip(
            homes, (Placement.HOME, Placement.SECOND), strict=False
        ):
            placements[name] = placement
        return PrefixPlan(
            key=key,
            shared_tokens=shared_tokens,
            recurring_tokens=recurring_tokens,
            home_tokens=int(
                (prompt_tokens - shared_tokens) * stats.recurrence_ratio
            ),
            placements=placements,
        )

    def cached_tokens(
        self, request_class: str, plan: PrefixPlan | None, name: str
    ) -> int:
        """Return the prompt tokens that a server's cache probably holds."""
        if plan is None:
            return 0
        hit_rate = self._class_stats(request_class).hit_rates[
            plan.placement(name)
        ]
        recurring_tokens = plan.recurring_tokens - plan.shared_tokens
        return plan.shared_tokens + int(hit_rate * recurring_tokens)

    def record_sent(
        self, request_class: str, hashes: tuple[str, ...], name: str
    ) -> None:
        """Record that a prompt was sent to a server."""
        if not hashes:
            return
        stats = self._class_stats(request_class)
        depth = stats.key_depth(hashes)
        is_seen = (
            depth < len(hashes) and hashes[depth] in self._server_by_prefix
        )
        stats.record_prompt(hashes, is_seen)
        for value in hashes[depth:]:
            self._server_by_prefix[value] = name
            self._server_by_prefix.move_to_end(value)
        while len(self._server_by_prefix) > self._max_prefixes:
            self._server_by_prefix.popitem(last=False)

    def record_cached(
        self,
        request_class: str,
        plan: PrefixPlan | None,
        name: str,
        cached_tokens: int,
    ) -> None:
        """Record the prompt tokens that were in the server's cache."""
        if plan is None or plan.recurring_tokens <= plan.shared_tokens:
            return
        hit_rate = (cached_tokens - plan.shared_tokens) / (
            plan.recurring_tokens - plan.shared_tokens
        )
        hit_rates = self._class_stats(request_class).hit_rates
        placement = plan.placement(name)
        hit_rate = min(1.0, max(0.0, hit_rate))
        hit_rates[placement] += SMOOTHING_FACTOR * (
            hit_rate - hit_rates[placement]
        )

    def remove_prefixes_of(self, name: str) -> None:
        """Remove the prefixes recorded for a server that lost its cache."""
        for key in [k for k, v in self._server_by_prefix.items() if v == name]:
            del self._server_by_prefix[key]

    def _class_stats(self, name: str) -> _ClassPrefixStats:
        stats = self._stats_by_class.get(name)
        if stats is None:
            stats = self._stats_by_class[name] = _ClassPrefixStats()
        return stats

    def _home_order(self, key: str) -> list[str]:
        order = self._home_orders.get(key)
        if order is None:
            if len(self._home_orders) > self._max_prefixes:
                self._home_orders.clear()
            order = rendezvous_order(key, self._names)[:HOME_CANDIDATES]
            self._home_orders[key] = order
        return order


def _mean_prefix_tokens(depth: int) -> int:
    """Return the mean length of prefixes that end between depth and the next.

    The unit is tokens; a negative depth means no prefix.
    """
    return int(prefix_tokens(depth) * 1.2) if depth >= 0 else 0
