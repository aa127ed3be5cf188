"""Watch streams of the object API stand-in."""

from __future__ import annotations

from asyncio import Event
from asyncio import wait_for
import json
from time import monotonic

from aiohttp import web

from fakes.object_store import Resource
from fakes.object_store import StatusError
from fakes.object_store import VersionedObjects

BOOKMARK_INTERVAL_S = 1.0


class WatchStream:
    """Stream of the changes of one resource type, as JSON lines.

    It ends at its time-out, when the stopped event is set, or after an
    ERROR event when the client reads so slowly that changes it has not
    received yet were dropped from the history.
    """

    def __init__(
        self, objects: VersionedObjects, plural: str, stopped: Event
    ) -> None:
        self.events = 0
        self.sent_bytes = 0
        self._objects = objects
        self._plural = plural
        self._stopped = stopped
        self._version = 0

    def start(self, version: int) -> list[Resource]:
        """Return the first events of a watch after a version.

        A watch after version 0 starts with an ADDED event for each object.
        Raises StatusError 410 when the version is older than the history.
        """
        if version == 0:
            self._version = self._objects.version
            items = self._objects.list_objects(self._plural)
            return [_event("ADDED", item) for item in items]
        self._version = version
        return self._next_events()

    async def async_run(
        self,
        response: web.StreamResponse,
        events: list[Resource],
        timeout_s: float,
    ) -> None:
        """Write the first events and then each change, until the end.

        Writes a BOOKMARK after BOOKMARK_INTERVAL_S without a change.
        """
        deadline_s = monotonic() + timeout_s
        changed = Event()
        self._objects.add_listener(changed.set)
        try:
            while True:
                await self._async_write(response, events)
                left_s = deadline_s - monotonic()
                if self._stopped.is_set() or left_s <= 0:
                    return
                events = await self._async_wait(changed, left_s)
        except StatusError as err:
            error = _event("ERROR", err.as_status())
            await self._async_write(response, [error])
        finally:
            self._objects.remove_listener(changed.set)

    async def _async_wait(
        self, changed: Event, left_s: float
    ) -> list[Resource]:
        events = self._next_events()
        if events:
            return events
        changed.clear()
        try:
            await wait_for(changed.wait(), min(left_s, BOOKMARK_INTERVAL_S))
        except TimeoutError:
            metadata = {"resourceVersion": str(self._version)}
            return [_event("BOOKMARK", {"metadata": metadata})]
        return self._next_events()

    def _next_events(self) -> list[Resource]:
        changes = self._objects.changes_after(self._plural, self._version)
        self._version = max(self._version, self._objects.version)
        return [_event(item.type, item.resource) for item in changes]

    async def _async_write(
        self, response: web.StreamResponse, events: list[Resource]
    ) -> None:
        if not events:
            return
        self.events += len(events)
        data = b"".join(json.dumps(event).encode() + b"\n" for event in events)
        self.sent_bytes += len(data)
        await response.write(data)


def _event(event_type: str, resource: Resource) -> Resource:
    return {"type": event_type, "object": resource}
