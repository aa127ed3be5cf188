"""Versioned objects with a change history, as the object API serves them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

API_VERSION = "azurewick.dev/v1"
KIND_BY_PLURAL = {
    "claims": "Claim",
    "configurations": "Configuration",
    "instances": "Instance",
    "leases": "Lease",
    "versionmoves": "VersionMove",
}

Resource = dict[str, Any]


class StatusError(Exception):
    """Error with the fields of a Kubernetes Status object.

    code is the HTTP status, reason the machine-readable cause.
    """

    def __init__(
        self,
        code: int,
        reason: str,
        message: str,
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s
        self.code = code
        self.reason = reason
        self.message = message

    def as_status(self) -> Resource:
        """Return the Status object."""
        return {
            "kind": "Status",
            "apiVersion": "v1",
            "status": "Failure",
            "code": self.code,
            "reason": self.reason,
            "message": self.message,
        }


@dataclass(frozen=True, slots=True)
class Change:
    """One change of an object, as reported by a watch.

    type is ADDED, MODIFIED or DELETED.
    """

    version: int
    type: str
    resource: Resource


@dataclass(slots=True)
class _Collection:
    objects: dict[str, Resource] = field(default_factory=dict)
    history: deque[Change] = field(default_factory=deque)
    # Version of the newest change that was dropped from the history.
    compacted_version: int = 0


class VersionedObjects:
    """Objects by resource type and name, with a change history per type.

    Each write increments one version shared by all objects. plural is the
    resource type, one of KIND_BY_PLURAL; another one raises StatusError 404.
    """

    def __init__(self, history_length: int = 1000) -> None:
        self.version = 1
        self._history_length = history_length
        self._collections = {
            plural: _Collection() for plural in KIND_BY_PLURAL
        }
        self._listeners: set[Callable[[], None]] = set()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for each change."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Remove a callback."""
        self._listeners.discard(listener)

    def list_objects(self, plural: str) -> list[Resource]:
        """Return all objects of a resource type, sorted by name."""
        objects = self._collection(plural).objects
        return [objects[name] for name in sorted(objects)]

    def get(self, plural: str, name: str) -> Resource:
        """Return an object; raises StatusError 404 when there is none."""
        resource = self._collection(plural).objects.get(name)
        if resource is None:
            raise StatusError(404, "NotFound", f"no {plural} {name!r}")
        return resource

    def create(self, plural: str, name: str, content: Resource) -> Resource:
        """Create an object; raises StatusError 409 when it exists."""
        if name in self._collection(plural).objects:
            raise StatusError(
                409, "AlreadyExists", f"{plural} {name!r} exists already"
            )
        return self._write(plural, name, "ADDED", content)

    def update(
        self, plural: str, name: str, content: Resource, version: str | None
    ) -> Resource:
        """Replace an object that is at the given version.

        Without a version the write is unconditional, as in Kubernetes.
        Raises StatusError 404 when the object doesn't exist and 409 when it
        is at another version.
        """
        self._check_version(self.get(plural, name), version)
        return self._write(plural, name, "MODIFIED", content)

    def put(self, plural: str, name: str, content: Resource) -> Resource:
        """Create or replace an object without a condition."""
        exists = name in self._collection(plural).objects
        change_type = "MODIFIED" if exists else "ADDED"
        return self._write(plural, name, change_type, content)

    def delete(self, plural: str, name: str, version: str | None) -> Resource:
        """Delete an object that is at the given version.

        Without a version the deletion is unconditional. Raises StatusError
        404 when the object doesn't exist and 409 when it is at another
        version.
        """
        resource = self.get(plural, name)
        self._check_version(resource, version)
        resource = self._write(plural, name, "DELETED", resource)
        del self._collection(plural).objects[name]
        return resource

    def changes_after(self, plural: str, version: int) -> list[Change]:
        """Return the changes after a version, oldest first.

        Raises StatusError 410 when the history doesn't hold all of them.
        """
        collection = self._collection(plural)
        if version < collection.compacted_version:
            raise StatusError(
                410,
                "Expired",
                f"version {version} is older than the history, which begins"
                f" after version {collection.compacted_version}",
            )
        changes: list[Change] = []
        for change in reversed(collection.history):
            if change.version <= version:
                break
            changes.append(change)
        return changes[::-1]

    def _collection(self, plural: str) -> _Collection:
        collection = self._collections.get(plural)
        if collection is None:
            raise StatusError(404, "NotFound", f"no resource type {plural!r}")
        return collection

    def _check_version(self, resource: Resource, version: str | None) -> None:
        current = resource["metadata"]["resourceVersion"]
        if version is not None and version != current:
            raise StatusError(
                409,
                "Conflict",
                f"the object is at version {current}, not {version}",
            )

    def _write(
        self, plural: str, name: str, change_type: str, content: Resource
    ) -> Resource:
        self.version += 1
        metadata = dict(content.get("metadata") or {})
        metadata["name"] = name
        metadata["resourceVersion"] = str(self.version)
        resource: Resource = {
            "apiVersion": API_VERSION,
            "kind": KIND_BY_PLURAL[plural],
            "metadata": metadata,
            "spec": content.get("spec") or {},
            "status": content.get("status") or {},
        }
        collection = self._collection(plural)
        collection.objects[name] = resource
        collection.history.append(Change(self.version, change_type, resource))
        if len(collection.history) > self._history_length:
            collection.compacted_version = collection.history.popleft().version
        for listener in tuple(self._listeners):
            listener()
        return resource
