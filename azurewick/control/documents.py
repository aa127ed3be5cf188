"""Documents that travel through Sync: revisions and differences."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson
from xxhash import xxh3_128_digest

from azurewick.store.protocols import StoredObject

# Revisions that a process can send as a difference. Configuration changes
# 620 times a day, so 64 revisions cover more than an hour of them.
MAX_HISTORY = 64
CONFIGURATION_SECTIONS = ("pools", "classes", "customers")


class DocumentName(StrEnum):
    """Documents that each process holds."""

    CONFIGURATION = "configuration"
    MOVES = "moves"
    INSTANCES = "instances"


@dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Change of a document; an item of None is removed.

    base is the smallest revision that it applies to. digest is that of the
    whole document after the change.
    """

    base: int
    revision: int
    changes: dict[str, Any]
    digest: bytes


class Document:
    """Items by key at one revision, with its latest changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: Mapping[str, Any] = {}
        self._history: deque[tuple[int, frozenset[str]]] = deque(
            maxlen=MAX_HISTORY
        )
        self._oldest_base = 0
        self._digest: bytes | None = None

    @property
    def digest(self) -> bytes:
        """Return the digest of the items, the same in each process."""
        if self._digest is None:
            self._digest = digest_of(self.items)
        return self._digest

    def replace(
        self,
        items: Mapping[str, Any],
        revision: int,
        changed: Collection[str] | None = None,
    ) -> bool:
        """Take all items at a revision; False when it is not larger.

        changed are the keys that differ, when the caller knows them.
        """
        if revision <= self.revision:
            return False
        if not self.revision:
            # Nobody is sent a difference from before the first revision.
            changed = ()
        if changed is None:
            changed = {
                key
                for key in self.items.keys() | items.keys()
                if self.items.get(key) != items.get(key)
            }
        if not self.revision:
            self._oldest_base = revision
        elif len(self._history) == MAX_HISTORY:
            self._oldest_base = self._history[0][0]
        self._history.append((revision, frozenset(changed)))
        self.items = items
        self.revision = revision
        self._digest = None
        return True

    def delta_since(self, revision: int) -> Delta | None:
        """Return the change since a caller's revision.

        None when the history doesn't reach back so far.
        """
        if not 0 < self._oldest_base <= revision:
            return None
        keys: set[str] = set()
        for changed_at, changed in self._history:
            if changed_at > revision:
                keys |= changed
        return Delta(
            base=revision,
            revision=self.revision,
            changes={key: self.items.get(key) for key in sorted(keys)},
            digest=self.digest,
        )

    def merge(self, delta: Delta) -> Mapping[str, Any] | None:
        """Return the items after a delta.

        None when it doesn't fit, so that the whole document is needed.
        """
        if self.revision < delta.base:
            return None
        items = dict(self.items)
        for key, item in delta.changes.items():
            if item is None:
                items.pop(key, None)
            else:
                items[key] = item
        return items if digest_of(items) == delta.digest else None


def digest_of(items: Mapping[str, Any]) -> bytes:
    """Return the digest of items in a canonical order."""
    return xxh3_128_digest(
        orjson.dumps(dict(items), option=orjson.OPT_SORT_KEYS)
    )


def split_configuration(spec: Mapping[str, Any]) -> dict[str, Any]:
    """Return the items of a validated configuration by section and name."""
    return {
        f"{section}/{item['name']}": item
        for section in CONFIGURATION_SECTIONS
        for item in spec.get(section, ())
    }


def join_configuration(items: Mapping[str, Any]) -> dict[str, list[Any]]:
    """Return the configuration's spec from its items."""
    spec: dict[str, list[Any]] = {
        section: [] for section in CONFIGURATION_SECTIONS
    }
    for key in sorted(items):
        spec[key.partition("/")[0]].append(items[key])
    return spec


def describe_object(item: StoredObject) -> dict[str, Any]:
    """Return an object in the form of the object API."""
    return {
        "metadata": {"name": item.name, "resourceVersion": str(item.version)},
        "spec": item.spec,
        "status": item.status,
    }
