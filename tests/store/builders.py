"""In-memory object store for tests."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
from typing import Any

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.store.protocols import EventType
from azurewick.store.protocols import ObjectList
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent


def store_error(
    code: ErrorCode, outcome: Outcome = Outcome.NOT_RUN
) -> AzurewickError:
    return AzurewickError(code, "injected", step=Step.STORE, outcome=outcome)


class MemoryStore:
    """In-memory ObjectStore that can simulate faults.

    While is_down is set, all calls fail. lose_answers is the number of next
    writes that take effect although their response is lost.
    """

    def __init__(self):
        self.version = 0
        self.objects: dict[tuple[str, str], StoredObject] = {}
        self.events: list[WatchEvent] = []
        self.changed = asyncio.Event()
        self.is_down = False
        self.lose_answers = 0
        self.calls: list[str] = []

    def set_down(self, is_down: bool) -> None:
        self.is_down = is_down
        self._notify_watchers()

    def put(self, plural: str, name: str, spec: dict) -> StoredObject:
        """Write unconditionally, as another client of the store would."""
        return self._write(
            StoredObject(plural=plural, name=name, version=0, spec=spec)
        )

    async def async_get(self, plural: str, name: str) -> StoredObject:
        self._record_call("get")
        if (plural, name) not in self.objects:
            raise store_error(ErrorCode.STORE_NOT_FOUND)
        return self.objects[plural, name]

    async def async_list(self, plural: str) -> ObjectList:
        self._record_call("list")
        items = tuple(
            item for key, item in self.objects.items() if key[0] == plural
        )
        return ObjectList(version=self.version, items=items)

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        self._record_call("create")
        if (plural, name) in self.objects:
            raise store_error(ErrorCode.STORE_CONFLICT)
        item = StoredObject(
            plural=plural, name=name, version=0, spec=spec, status=status or {}
        )
        return self._return_or_lose(self._write(item))

    async def async_update(self, item: StoredObject) -> StoredObject:
        self._record_call("update")
        self._check_version(item)
        return self._return_or_lose(self._write(item))

    async def async_delete(self, item: StoredObject) -> None:
        self._record_call("delete")
        self._check_version(item)
        del self.objects[item.plural, item.name]
        self._record_event(EventType.DELETED, item)

    async def async_watch(
        self, plural: str, after_version: int, timeout_s: float
    ) -> AsyncIterator[WatchEvent]:
        self._record_call("watch")
        position = 0
        while True:
            while position < len(self.events):
                event = self.events[position]
                position += 1
                if event.version > after_version and (
                    event.object.plural == plural
                ):
                    yield event
            changed = self.changed
            await changed.wait()
            if self.is_down:
                raise store_error(ErrorCode.STORE_UNAVAILABLE)

    def _record_call(self, kind: str) -> None:
        self.calls.append(kind)
        if self.is_down:
            raise store_error(ErrorCode.STORE_UNAVAILABLE)

    def _check_version(self, item: StoredObject) -> None:
        current = self.objects.get((item.plural, item.name))
        if current is None:
            raise store_error(ErrorCode.STORE_NOT_FOUND)
        if current.version != item.version:
            raise store_error(ErrorCode.STORE_CONFLICT)

    def _write(self, item: StoredObject) -> StoredObject:
        key = (item.plural, item.name)
        event_type = (
            EventType.MODIFIED if key in self.objects else EventType.ADDED
        )
        written = self._record_event(event_type, item)
        self.objects[key] = written
        return written

    def _record_event(self, event_type: EventType, item: StoredObject):
        self.version += 1
        written = replace(item, version=self.version)
        self.events.append(
            WatchEvent(type=event_type, version=self.version, object=written)
        )
        self._notify_watchers()
        return written

    def _return_or_lose(self, item: StoredObject) -> StoredObject:
        if self.lose_answers:
            self.lose_answers -= 1
            raise store_error(ErrorCode.STORE_UNAVAILABLE, Outcome.UNKNOWN)
        return item

    def _notify_watchers(self) -> None:
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
