"""Interfaces of the platform's object store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Any
from typing import Protocol

from azurewick.errors import ErrorCode


class EventType(StrEnum):
    """Type of a watch event."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"
    BOOKMARK = "BOOKMARK"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoredObject:
    """Object in the store.

    plural is the name of its collection, such as "leases". version is the
    store's revision at the last write of the object; it increases with each
    write to any object.
    """

    plural: str
    name: str
    version: int
    spec: dict[str, Any] = field(default_factory=dict)
    status: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class ObjectList:
    """Objects of one collection at one version of the store."""

    version: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class WatchEvent:
    """Change of an object; a bookmark has only the store's version."""

    type: EventType
    version: int
    object: StoredObject | None = None


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches.

    Each method raises AzurewickError with one of these codes:
    store_unavailable, with outcome unknown when a write was sent but its
    response is lost, and not_run when it was never sent; store_conflict;
    store_not_found; store_rate_limited; store_watch_expired.
    """

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object."""

    async def async_list(self, plural: str) -> ObjectList:
        """Return all objects of a collection."""

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        """Create an object; store_conflict if it exists."""

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Write an object if its version is still the one in the store."""

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object if its version is still the one in the store."""

    def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version until the time-out."""


class StatusStore(ObjectStore, Protocol):
    """Store that writes spec and status separately.

    On request it returns stale lists. on_trouble is called with the error
    when a call finds the store unavailable or limiting its calls, and with
    the seconds that it waited in vain for an answer, and on_answer when the
    store has answered a call.
    """

    on_trouble: Callable[[ErrorCode, float], None] | None
    on_answer: Callable[[], None] | None

    @property
    def is_receiving(self) -> bool:
        """Return whether the body of a response is arriving."""

    @property
    def fastest_answer_s(self) -> float | None:
        """Return the shortest time of an answer, None before the first."""

    def async_watch(
        self,
        plural: str,
        after_version: int,
        timeout_s: float,
        *,
        limit_bytes: int = ...,
        answer_timeout_s: float = ...,
        on_head: Callable[[], None] | None = None,
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version until the time-out.

        Raises AzurewickError with code store_response_too_large when the
        answer has more than limit_bytes. on_head is called when the store
        begins to answer.
        """

    async def async_close(self) -> None:
        """Close the connections."""

    async def async_list(
        self,
        plural: str,
        *,
        allow_stale: bool = False,
        on_head: Callable[[], None] | None = None,
    ) -> ObjectList:
        """Return all objects of a collection.

        A stale list is cheaper for the store. on_head is called when the
        store begins to answer.
        """

    async def async_update_status(self, item: StoredObject) -> StoredObject:
        """Write an object's status; version 0 writes unconditionally."""

    async def async_has_changes(
        self, plural: str, version: int, *, allow_stale: bool = True
    ) -> bool:
        """Return whether objects have changed after a version.

        A stale answer is cheaper for the store than a watch.
        Raises AzurewickError as async_watch.
        """
