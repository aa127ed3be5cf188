"""Object store in memory with injected faults."""

from __future__ import annotations

from asyncio import Event
from asyncio import timeout
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.store.protocols import EventType
from azurewick.store.protocols import ObjectList
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent
from fakes.object_store import Resource
from fakes.object_store import StatusError
from fakes.object_store import VersionedObjects

_ERROR_CODES = {
    404: ErrorCode.STORE_NOT_FOUND,
    409: ErrorCode.STORE_CONFLICT,
    410: ErrorCode.STORE_WATCH_EXPIRED,
}


class MemoryStore:
    """ObjectStore for tests and benchmarks without sockets.

    While is_down is set, each call fails without effect. The next
    lose_answers writes take effect and then fail with an unknown outcome.
    plural is the resource type as in the paths of the object API, such as
    "leases". Failures are raised as AzurewickError with a STORE_* code.
    """

    def __init__(self) -> None:
        self.objects = VersionedObjects()
        self.is_down = False
        self.lose_answers = 0
        self.calls: Counter[str] = Counter()

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object."""
        self._record_call("get")
        try:
            return _parse(plural, self.objects.get(plural, name))
        except StatusError as err:
            raise _to_azurewick_error(err) from err

    async def async_list(self, plural: str) -> ObjectList:
        """Return all objects of a resource type."""
        self._record_call("list")
        items = self.objects.list_objects(plural)
        return ObjectList(
            version=self.objects.version,
            items=tuple(_parse(plural, item) for item in items),
        )

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        """Create an object; fails with STORE_CONFLICT when it exists."""
        self._record_call("create")
        content = {"spec": spec, "status": status or {}}
        try:
            resource = self.objects.create(plural, name, content)
        except StatusError as err:
            raise _to_azurewick_error(err) from err
        return self._finish_write(plural, resource)

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Replace an object if the store still holds item.version.

        Fails with STORE_CONFLICT at another version.
        """
        self._record_call("update")
        content = {"spec": item.spec, "status": item.status}
        try:
            resource = self.objects.update(
                item.plural, item.name, content, str(item.version)
            )
        except StatusError as err:
            raise _to_azurewick_error(err) from err
        return self._finish_write(item.plural, resource)

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object if the store still holds item.version.

        Fails with STORE_CONFLICT at another version.
        """
        self._record_call("delete")
        version = str(item.version)
        try:
            resource = self.objects.delete(item.plural, item.name, version)
        except StatusError as err:
            raise _to_azurewick_error(err) from err
        self._finish_write(item.plural, resource)

    async def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version until the time-out.

        Fails with STORE_WATCH_EXPIRED when the history doesn't reach back to
        that version.
        """
        self._record_call("watch")
        changed = Event()
        self.objects.add_listener(changed.set)
        try:
            async with timeout(timeout_s):
                while True:
                    changed.clear()
                    for event in self._changes(plural, after_version):
                        after_version = event.version
                        yield event
                    await changed.wait()
        except TimeoutError:
            return
        finally:
            self.objects.remove_listener(changed.set)

    def _changes(self, plural: str, after_version: int) -> list[WatchEvent]:
        self._check_available()
        try:
            changes = self.objects.changes_after(plural, after_version)
        except StatusError as err:
            raise _to_azurewick_error(err) from err
        return [
            WatchEvent(
                type=EventType(change.type),
                version=change.version,
                object=_parse(plural, change.resource),
            )
            for change in changes
        ]

    def _record_call(self, kind: str) -> None:
        self.calls[kind] += 1
        self._check_available()

    def _check_available(self) -> None:
        if self.is_down:
            raise _unavailable(Outcome.NOT_RUN)

    def _finish_write(self, plural: str, resource: Resource) -> StoredObject:
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise _unavailable(Outcome.UNKNOWN)
        return _parse(plural, resource)


def _unavailable(outcome: Outcome) -> AzurewickError:
    return AzurewickError(
        ErrorCode.STORE_UNAVAILABLE,
        "no answer from the store",
        step=Step.STORE,
        peer="memory",
        outcome=outcome,
    )


def _to_azurewick_error(err: StatusError) -> AzurewickError:
    return AzurewickError(
        _ERROR_CODES[err.code], err.message, step=Step.STORE, peer="memory"
    )


def _parse(plural: str, resource: Resource) -> StoredObject:
    metadata = resource["metadata"]
    return StoredObject(
        plural=plural,
        name=metadata["name"],
        version=int(metadata["resourceVersion"]),
        spec=resource["spec"],
        status=resource["status"],
    )
