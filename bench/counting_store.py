"""Object store for virtual time that counts calls and limits their rate."""

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
    """In-memory ObjectStore with the call rates of the platform.

    reads and writes count the calls by second of virtual time. Calls above
    the rate of a second fail with STORE_RATE_LIMITED.
    """

    def __init__(self) -> None:
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._version = 0
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.refused_calls = 0

    def put(self, plural: str, name: str, spec: dict[str, Any]) -> None:
        """Write an object without counting a call."""
        self._write(
            StoredObject(plural=plural, name=name, version=0, spec=spec)
        )

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object."""
        await self._async_count_call(self.reads, READS_PER_S)
        item = self._objects.get((plural, name))
        if item is None:
            raise _build_error(ErrorCode.STORE_NOT_FOUND)
        return item

    async def async_list(self, plural: str) -> ObjectList:
        """Return all objects of a kind, given by its plural name."""
        await self._async_count_call(self.reads, READS_PER_S)
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
        await self._async_count_call(self.writes, WRITES_PER_S)
        if (plural, name) in self._objects:
            raise _build_error(ErrorCode.STORE_CONFLICT)
        return self._write(
            StoredObject(plural=plural, name=name, version=0, spec=spec)
        )

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Write an object if its version is still the one in the store."""
        await self._async_count_call(self.writes, WRITES_PER_S)
        if self._objects[item.plural, item.name].version != item.version:
            raise _build_error(ErrorCode.STORE_CONFLICT)
        return self._write(item)

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object, whatever its version is."""
        await self._async_count_call(self.writes, WRITES_PER_S)
        del self._objects[item.plural, item.name]

    async def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        """Wait for timeout_s and report no events.

        Watched objects don't change in the benchmarks that use this store.
        """
        await self._async_count_call(self.reads, READS_PER_S)
        await asyncio.sleep(timeout_s)
        events: tuple[WatchEvent, ...] = ()
        for event in events:
            yield event

    async def _async_count_call(
        self, counts: Counter[int], limit: int
    ) -> None:
        second = int(asyncio.get_running_loop().time())
        counts[second] += 1
        if counts[second] > limit:
            self.refused_calls += 1
            raise _build_error(ErrorCode.STORE_RATE_LIMITED)
        await asyncio.sleep(LATENCY_S)

    def _write(self, item: StoredObject) -> StoredObject:
        self._version += 1
        written = replace(item, version=self._version)
        self._objects[item.plural, item.name] = written
        return written


def _build_error(code: ErrorCode) -> AzurewickError:
    return AzurewickError(code, "refused", step=Step.STORE, retry_after_s=1.0)
