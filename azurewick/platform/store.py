"""Client of the platform's object store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from dataclasses import replace
from logging import getLogger
import re
from typing import Any
from urllib.parse import quote

import orjson

from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.log_limit import LogLimit
from azurewick.helpers.validation import shorten
from azurewick.platform.partial_documents import parse_document
from azurewick.store.client import MAX_LIST_BYTES
from azurewick.store.client import ObjectApiClient
from azurewick.store.protocols import EventType
from azurewick.store.protocols import ObjectList
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent

_LOGGER = getLogger(__name__)

# The store normally responds within 4 ms, and within 60 times that when slow.
REQUEST_TIMEOUT_S = 1.0
# Rate limit of one instance, which runs four watches with their checks, a
# heartbeat and a regular list.
CALLS_PER_S = 20.0
BURST_CALLS = 40.0
MAX_REVISION = 2**63 - 1
MAX_REVISION_DIGITS = 20
# Names appear in paths, headers and log lines.
_NAME = re.compile(r"[!-.0-~]{1,253}")
_LOG_LIMIT = LogLimit()


class PlatformStore(ObjectApiClient):
    """StatusStore over the platform's object API and its long polling."""

    def __init__(self, address: str) -> None:
        super().__init__(
            f"http://{address}",
            calls_per_s=CALLS_PER_S,
            burst_calls=BURST_CALLS,
            request_timeout_s=REQUEST_TIMEOUT_S,
            clock=monotonic_s,
            prefix="/objects",
            parse=parse_document,
        )

    async def async_get(self, plural: str, name: str) -> StoredObject:
        """Return an object; errors as in ObjectStore."""
        body = await self._async_call(
            "GET", f"{plural}/{quote(name, safe='')}"
        )
        return self._decode(decode_item, plural, body)

    async def async_list(
        self,
        plural: str,
        *,
        allow_stale: bool = False,
        on_head: Callable[[], None] | None = None,
    ) -> ObjectList:
        """Return all objects of a collection; errors as in ObjectStore.

        A stale list may be seconds old and costs the store a tenth. on_head
        is called when the store begins to answer.
        """
        items: list[StoredObject] = []
        stale = "allow_stale=1" if allow_stale else ""
        last_name = ""
        revision: int | None = None
        while True:
            query = "&".join(
                part
                for part in (
                    stale,
                    f"since_rev={quote(last_name, safe='')}"
                    if last_name
                    else "",
                )
                if part
            )
            body = await self._async_call(
                "GET",
                f"{plural}?{query}" if query else plural,
                limit=MAX_LIST_BYTES,
                on_head=on_head,
            )
            page = self._decode(decode_page, plural, body)
            items.extend(page.items)
            # A watch from the first page's revision also returns the changes
            # made between two pages.
            revision = page.version if revision is None else revision
            names = [_read_name(item) for item in body["items"]]
            # Items without a readable name may also end a page.
            next_name = next(filter(None, reversed(names)), "")
            if not body.get("more") or next_name in ("", last_name):
                return ObjectList(version=revision, items=tuple(items))
            last_name = next_name

    async def async_create(
        self,
        plural: str,
        name: str,
        spec: dict[str, Any],
        status: dict[str, Any] | None = None,
    ) -> StoredObject:
        """Create an object; errors as in ObjectStore."""
        body = await self._async_call(
            "POST",
            plural,
            orjson.dumps(
                {"meta": {"name": name}, "spec": spec, "status": status}
            ),
        )
        return self._decode(decode_item, plural, body, Outcome.UNKNOWN)

    async def async_update(self, item: StoredObject) -> StoredObject:
        """Write an object's spec if its version is current.

        Version 0 writes unconditionally.
        """
        return await self._async_put(
            item, _object_path(item), {"spec": item.spec}
        )

    async def async_update_status(self, item: StoredObject) -> StoredObject:
        """Write an object's status if its version is current.

        Version 0 writes unconditionally.
        """
        return await self._async_put(
            item, f"{_object_path(item)}/status", {"status": item.status}
        )

    async def async_delete(self, item: StoredObject) -> None:
        """Delete an object if its version is current.

        Version 0 deletes unconditionally.
        """
        query = f"?revision={item.version}" if item.version else ""
        await self._async_call("DELETE", f"{_object_path(item)}{query}")

    async def async_watch(
        self,
        plural: str,
        after_version: int,
        timeout_s: float,
        *,
        limit_bytes: int = MAX_LIST_BYTES,
        answer_timeout_s: float = REQUEST_TIMEOUT_S,
        on_head: Callable[[], None] | None = None,
    ) -> AsyncIterator[WatchEvent]:
        """Yield the changes after a version and a bookmark.

        Waits for a change until the time-out, in one long poll, and for the
        answer for answer_timeout_s longer. on_head is called when the store
        begins to answer.
        """
        wait_ms = round(timeout_s * 1000)
        body = await self._async_call(
            "GET",
            f"{plural}?watch={after_version}&wait_ms={wait_ms}",
            limit=limit_bytes,
            timeout_s=timeout_s + answer_timeout_s,
            on_head=on_head,
            too_large_code=ErrorCode.STORE_RESPONSE_TOO_LARGE,
        )
        for event in self._decode(decode_events, plural, body):
            yield event

    async def async_has_changes(
        self, plural: str, version: int, *, allow_stale: bool = True
    ) -> bool:
        """Return whether objects have changed after a version.

        A stale answer may be seconds old and costs the store a tenth of a
        call. Raises AzurewickError as async_watch.
        """
        stale = "&allow_stale=1" if allow_stale else ""
        body = await self._async_call(
            "GET",
            f"{plural}?watch={version}&wait_ms=0{stale}",
            limit=MAX_LIST_BYTES,
        )
        events = self._decode(decode_events, plural, body)
        return any(event.object is not None for event in events)

    async def _async_put(
        self, item: StoredObject, path: str, content: dict[str, Any]
    ) -> StoredObject:
        meta: dict[str, Any] = {"name": item.name}
        if item.version:
            meta["revision"] = item.version
        body = await self._async_call(
            "PUT", path, orjson.dumps({"meta": meta, **content})
        )
        return self._decode(decode_item, item.plural, body, Outcome.UNKNOWN)


def _object_path(item: StoredObject) -> str:
    return f"{item.plural}/{quote(item.name, safe='')}"


def decode_item(plural: str, body: Any) -> StoredObject:
    """Return the object in a JSON document; ValueError if invalid.

    A spec or status that isn't a JSON object is replaced by an empty one;
    its fields are validated where they are used. An object without a valid
    revision has version 0 and neither spec nor status.
    """
    name = _read_name(body)
    if _NAME.fullmatch(name) is None:
        raise ValueError(f"an object in {plural} has no valid name")
    try:
        revision = _read_revision(body["meta"].get("revision"))
    except ValueError as err:
        _log_skipped(plural, name, err)
        return StoredObject(plural=plural, name=name, version=0)
    if "spec" not in body:
        _log_skipped(plural, name, "spec is missing or unreadable")
    return StoredObject(
        plural=plural,
        name=name,
        version=revision,
        spec=_dict_or_empty(body.get("spec")),
        status=_dict_or_empty(body.get("status")),
    )


def decode_page(plural: str, body: Any) -> ObjectList:
    """Return a page of a list; skip items that can't be decoded.

    Raises ValueError when the page itself is invalid.
    """
    try:
        items = [_decode_or_skip(plural, item) for item in body["items"]]
        return ObjectList(
            version=_read_revision(body["store_revision"]),
            items=tuple(item for item in items if item is not None),
        )
    except (KeyError, TypeError) as err:
        raise ValueError(f"invalid list of {plural}: {err!r}") from err


def decode_events(plural: str, body: Any) -> list[WatchEvent]:
    """Return the events of a long poll and a bookmark at its revision.

    Objects that can't be decoded are skipped. Raises ValueError when the
    response itself is invalid.
    """
    try:
        revision = _read_revision(body["store_revision"])
        decoded = [_decode_event(plural, event) for event in body["events"]]
    except (KeyError, TypeError) as err:
        raise ValueError(
            f"invalid watch response of {plural}: {err!r}"
        ) from err
    events = [
        # The next watch must not skip changes because of an odd revision.
        replace(event, version=min(event.version, revision))
        for event in decoded
        if event is not None
    ]
    events.append(WatchEvent(type=EventType.BOOKMARK, version=revision))
    return events


def _decode_event(plural: str, body: Any) -> WatchEvent | None:
    if not isinstance(body, dict):
        _log_skipped(plural, "", "an event is not an object")
        return None
    item = _decode_or_skip(plural, body.get("object"))
    if item is None:
        return None
    return WatchEvent(
        type=EventType.DELETED if body.get("removed") else EventType.MODIFIED,
        version=item.version,
        object=item,
    )


def _decode_or_skip(plural: str, body: Any) -> StoredObject | None:
    try:
        return decode_item(plural, body)
    except ValueError as err:
        _log_skipped(plural, "", err)
        return None


def _log_skipped(plural: str, name: str, reason: object) -> None:
    if _LOG_LIMIT.allows((plural, name), monotonic_s()):
        _LOGGER.warning(
            "skipped an object of the store: %s/%s: %s", plural, name, reason
        )


def _read_revision(value: Any) -> int:
    """Return a revision; ValueError if it is invalid."""
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = int(value[:MAX_REVISION_DIGITS])
    if isinstance(value, int) and 0 <= value <= MAX_REVISION:
        return value
    raise ValueError(f"no valid revision: {shorten(value)}")


def _dict_or_empty(value: Any) -> dict[str, Any]:
    return value if isinstance(value, dict) else {}


def _read_name(body: Any) -> str:
    meta = body.get("meta") if isinstance(body, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    return name if isinstance(name, str) else ""
