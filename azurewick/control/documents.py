"""Documents that are replicated through Sync: revisions and deltas."""

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

# Most revisions that a delta can span. The configuration changes 620 times a
# day, so 64 revisions cover more than an hour.
MAX_HISTORY = 64
CONFIGURATION_SECTIONS = ("pools", "classes", "customers")


class DocumentName(StrEnum):
    """Documents that each process keeps a replica of."""

    CONFIGURATION = "configuration"
    MOVES = "moves"
    INSTANCES = "instances"


@dataclass(frozen=True, kw_only=True, slots=True)
class Delta:
    """Change of a document; an item that is None is removed.

    base is the smallest revision that it applies to. content_hash is the hash
    of the full document after the change.
    """

    base: int
    revision: int
    changes: dict[str, Any]
    content_hash: bytes


class Document:
    """Items by key at one revision, with the keys of recent changes."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: Mapping[str, Any] = {}
        self._history: deque[tuple[int, frozenset[str]]] = deque(
            maxlen=MAX_HISTORY
        )
        self._oldest_base = 0
        self._content_hash: bytes | None = None

    @property
    def content_hash(self) -> bytes:
        """Return the hash of the items, equal in each process."""
        if self._content_hash is None:
            self._content_hash = hash_items(self.items)
        return self._content_hash

    def replace(
        self,
        items: Mapping[str, Any],
        revision: int,
        changed: Collection[str] | None = None,
    ) -> bool:
        """Replace all items; False when the revision is not larger.

        changed are the keys that differ. None compares all items.
        """
        if revision <= self.revision:
            return False
        if not self.revision:
            # No delta starts before the first revision.
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
        self._content_hash = None
        return True

    def delta_since(self, revision: int) -> Delta | None:
        """Return the change since a revision.

        None when the history doesn't reach back to it.
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
            content_hash=self.content_hash,
        )

    def items_after(self, delta: Delta) -> Mapping[str, Any] | None:
        """Return the items after a delta, without storing them.

        None when the delta doesn't apply to this revision or the result has
        another hash. Then the full document is needed.
        """
        if self.revision < delta.base:
            return None
        items = dict(self.items)
        for key, item in delta.changes.items():
            if item is None:
                items.pop(key, None)
            else:
                items[key] = item
        return items if hash_items(items) == delta.content_hash else None


def hash_items(items: Mapping[str, Any]) -> bytes:
    """Return the XXH3-128 hash of items, whatever their order."""
    return xxh3_128_digest(
        orjson.dumps(dict(items), option=orjson.OPT_SORT_KEYS)
    )


def split_configuration(spec: Mapping[str, Any]) -> dict[str, Any]:
    """Return the items of a valid configuration by "section/name"."""
    return {
        f"{section}/{item['name']}": item
        for section in CONFIGURATION_SECTIONS
        for item in spec.get(section, ())
    }


def join_configuration(items: Mapping[str, Any]) -> dict[str, list[Any]]:
    """Return the spec of a configuration from its items."""
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
