"""Compact index of the keys in one segment."""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable
from typing import Final

# Half of a key: an index takes 8 bytes a key, a set of strings about 150. Two
# keys with the same prefix only cost an unnecessary read.
_PREFIX_DIGITS: Final = 16


class KeyIndex:
    """Sorted key prefixes; only a read of the segment confirms a match."""

    def __init__(self, keys: Iterable[str]) -> None:
        self._prefixes = array(
            "Q", sorted(int(key[:_PREFIX_DIGITS], 16) for key in keys)
        )

    def may_contain(self, key: str) -> bool:
        """Return False when the segment certainly doesn't have the key."""
        prefix = int(key[:_PREFIX_DIGITS], 16)
        position = bisect_left(self._prefixes, prefix)
        return (
            position < len(self._prefixes)
            and self._prefixes[position] == prefix
        )
