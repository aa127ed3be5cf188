"""Convictions: the sets of traits whose requests are refused."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

# Convictions are forgotten after this time.
RETENTION_S: Final = 900.0
MAX_CULPRITS: Final = 64
# Separates the traits in the name of a conviction. Names of prompt parts come
# from a list with commas and have none.
TRAIT_SEPARATOR: Final = ","


def conviction_name(traits: Iterable[str]) -> str:
    """Return the name of the conviction of a set of traits."""
    return TRAIT_SEPARATOR.join(sorted(traits))


def convicted_traits(name: str) -> frozenset[str]:
    """Return the traits that a conviction names."""
    return frozenset(name.split(TRAIT_SEPARATOR))


class ConvictionSet:
    """Convictions by name, each with its time and its traits.

    A conviction applies to the requests that have all of its traits. None of
    them covers another one.
    """

    def __init__(self) -> None:
        self._convicted_s: OrderedDict[str, float] = OrderedDict()
        # Traits of the convictions that have more than one.
        self._combined: dict[str, frozenset[str]] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._convicted_s

    def __iter__(self) -> Iterator[tuple[str, float]]:
        return iter(tuple(self._convicted_s.items()))

    @property
    def combined(self) -> tuple[tuple[str, frozenset[str]], ...]:
        """Return the convictions with several traits, and these."""
        return tuple(self._combined.items())

    def time_s(self, name: str) -> float:
        """Return the time of a conviction."""
        return self._convicted_s[name]

    def find(self, traits: Iterable[str], now_s: float) -> str | None:
        """Return the first conviction that applies to a request."""
        if not self._convicted_s:
            return None
        traits = tuple(traits)
        for trait in traits:
            if self._is_in_force(trait, now_s):
                return trait
        for name, members in self._combined.items():
            if members.issubset(traits) and self._is_in_force(name, now_s):
                return name
        return None

    def naming(self, trait: str) -> list[str]:
        """Return the convictions that name a trait."""
        found = [
            name
            for name, members in self._combined.items()
            if trait in members
        ]
        if trait in self._convicted_s:
            found.append(trait)
        return found

    def covers(self, traits: frozenset[str]) -> bool:
        """Return whether a conviction applies to all that have the traits."""
        return any(trait in self._convicted_s for trait in traits) or any(
            members <= traits for members in self._combined.values()
        )

    def add(self, traits: frozenset[str], convicted_s: float) -> str:
        """Add a conviction in place of those it covers; return its name."""
        for name, members in self.combined:
            if traits <= members:
                self.remove(name)
        name = conviction_name(traits)
        self._convicted_s[name] = convicted_s
        if len(traits) > 1:
            self._combined[name] = traits
        if len(self._convicted_s) > MAX_CULPRITS:
            self.remove(next(iter(self._convicted_s)))
        return name

    def remove(self, name: str) -> None:
        """Remove a conviction."""
        del self._convicted_s[name]
        self._combined.pop(name, None)

    def expire(self, now_s: float) -> None:
        """Forget convictions that are older than RETENTION_S."""
        for name, convicted_s in self:
            if now_s - convicted_s >= RETENTION_S:
                self.remove(name)

    def _is_in_force(self, name: str, now_s: float) -> bool:
        convicted_s = self._convicted_s.get(name)
        return convicted_s is not None and now_s - convicted_s < RETENTION_S
