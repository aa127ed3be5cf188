"""Object store in virtual time that counts and limits calls."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.store.protocols import ObjectList
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent

LATENCY_S = 0.005
READS_PER_S = 2000
WRITES_PER_S = 300


class CountingStore:
    """ObjectStore with the platform's rates; objects change by writes."""

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.refused = 0

    def put(self, plural: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object without a call."""
        self._write(
            StoredObject(plural=plural, name=name, version=0, spec=spec)
        )

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object."""
        await self._async_count(self.reads, READS_PER_S)
        item = self._objects.get((plural, name))
        if item is None:
            raise _error(ErrorCode.STORE_NOT_FOUND)
        return item

    async def async_list(self, plural: str) -> ObjectList:
        """Return all objects of a plural."""
        await self._async_count(self.reads, READS_PER_S)
        items = tuple(
            item for key, item in self._objects.items() if key[0] == plural
        )
        return ObjectList(version=self._version, items=items)

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        """Create an object."""
        await self._async_count(self.writes, WRITES_PER_S)
        if (plural, name) in self._objects:
            raise _error(ErrorCode.STORE_CONFLICT)
        return self._write(
            StoredObject(plural=plural, name=name, version=0, spec=spec)
        )

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Write an object at its version."""
        await self._async_count(self.writes, WRITES_PER_S)
        if self._objects[item.plural, item.name].version != item.version:
            raise _error(ErrorCode.STORE_CONFLICT)
        return self._write(item)

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object at its version."""
        await self._async_count(self.writes, WRITES_PER_S)
        del self._objects[item.plural, item.name]

    async def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        """Wait for the time-out; the watched plurals don't change here."""
        await self._async_count(self.reads, READS_PER_S)
        await asyncio.sleep(timeout_s)
        events: tuple[WatchEvent, ...] = ()
        for event in events:
            yield event

    async def _async_count(self, counts: Counter[int], limit: int) -> None:
        second = int(asyncio.get_running_loop().time())
        counts[second] += 1
        if counts[second] > limit:
            self.refused += 1
            raise _error(ErrorCode.STORE_RATE_LIMITED)
        await asyncio.sleep(LATENCY_S)

    def _write(self, item: StoredObject) -> StoredObject:
        self._version += 1
        written = replace(item, version=self._version)
        self._objects[item.plural, item.name] = written
        return written


def _error(code: ErrorCode) -> AzurewickError:
    return AzurewickError(code, "refused", step=Step.STORE, retry_after_s=1.0)
