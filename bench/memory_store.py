"""In-memory implementation of the ObjectStore protocol, without watches."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.store.protocols import ObjectList
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent

StoreOperation = Callable[[], StoredObject]
# Runs the operation of a store call, whose kind is "read" or "write". It may
# wait, or fail before or after the operation, to simulate faults.
CallWrapper = Callable[[str, StoreOperation], Awaitable[StoredObject]]


async def async_call_directly(
    kind: str, operation: StoreOperation
) -> StoredObject:
    """Run the operation of a call without delay or fault."""
    return operation()


class StoreData:
    """Objects of one store, which the clients of several processes share."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], tuple[int, str]] = {}
        self.calls: Counter[str] = Counter()
        self.bytes_read = 0
        self.bytes_written = 0
        self.largest_value_bytes = 0
        self._version = 0

    def read(self, plural: str, name: str) -> StoredObject:
        """Return a copy of an object."""
        self.calls["read"] += 1
        found = self.objects.get((plural, name))
        if found is None:
            raise _build_error(ErrorCode.STORE_NOT_FOUND, name)
        self.bytes_read += len(found[1])
        return StoredObject(
            plural=plural,
            name=name,
            version=found[0],
            spec=json.loads(found[1]),
        )

    def write(
        self, plural: str, name: str, version: int | None, spec: dict[str, Any]
    ) -> StoredObject:
        """Write an object if its version is the current one.

        Version None means that the object must not exist.
        """
        self.calls["write"] += 1
        text = json.dumps(spec, separators=(",", ":"))
        self.bytes_written += len(text)
        found = self.objects.get((plural, name))
        if (found and found[0]) != version:
            self.calls["conflict"] += 1
            raise _build_error(ErrorCode.STORE_CONFLICT, name)
        self._version += 1
        self.largest_value_bytes = max(self.largest_value_bytes, len(text))
        self.objects[(plural, name)] = (self._version, text)
        return StoredObject(
            plural=plural, name=name, version=self._version, spec=spec
        )

    def delete(self, item: StoredObject) -> StoredObject:
        """Delete an object if its version is the current one."""
        self.calls["write"] += 1
        found = self.objects.get((item.plural, item.name))
        if found is None or found[0] != item.version:
            raise _build_error(ErrorCode.STORE_CONFLICT, item.name)
        del self.objects[(item.plural, item.name)]
        return item


class MemoryStore:
    """Client of an in-memory store; call_wrapper runs each call."""

    def __init__(
        self, data: StoreData, call_wrapper: CallWrapper = async_call_directly
    ) -> None:
        self.data = data
        self.call_wrapper = call_wrapper

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object."""
        return await self.call_wrapper(
            "read", lambda: self.data.read(plural, name)
        )

    async def async_list(self, plural: str) -> ObjectList:
        """Fail: claims are never listed."""
        raise NotImplementedError

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        """Create an object."""
        return await self.call_wrapper(
            "write", lambda: self.data.write(plural, name, None, spec)
        )

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Write an object if its version is still the one in the store."""
        return await self.call_wrapper(
            "write",
            lambda: self.data.write(
                item.plural, item.name, item.version, item.spec
            ),
        )

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object if its version is still the one in the store."""
        await self.call_wrapper("write", lambda: self.data.delete(item))

    def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        """Fail: claims are never watched."""
        raise NotImplementedError


def _build_error(code: ErrorCode, name: str) -> AzurewickError:
    return AzurewickError(code, name, step=Step.STORE, peer="store")
