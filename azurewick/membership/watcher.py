"""Watch of the objects of one plural in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from logging import getLogger
from random import Random

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.log_limit import LogLimit
from azurewick.store.budget import Backoff
from azurewick.store.protocols import EventType
from azurewick.store.protocols import ObjectStore
from azurewick.store.protocols import StoredObject
from azurewick.store.protocols import WatchEvent

_LOGGER = getLogger(__name__)

# Time until a store that stops without closing the connection is detected.
WATCH_TIMEOUT_S = 30.0
# After a shorter watch the watcher pauses, so that a store that ends each
# watch at once isn't called in a busy loop.
MIN_WATCH_S = 1.0
# Shortest pause after a watch that ended early.
EARLY_END_PAUSE_S = 0.1
# Shortest pause until a change that its consumer failed on is reported again.
CHANGE_RETRY_PAUSE_S = 0.5
# Only the relays watch, so short waits don't overload a returning store.
MAX_BACKOFF_S = 5.0


class StoreWatcher:
    """Keeps the objects of a plural up to date and reports each change.

    on_change gets all objects by name and the version of the list. When it
    raises an error, it is called again after a pause, as the store doesn't
    send the same change twice.
    on_reachability_change gets whether the store is reachable. With
    polls_after_failure, the first watch after a failure or interruption
    doesn't wait, so that a missed change and the return of the store are
    noticed at once.
    """

    def __init__(
        self,
        store: ObjectStore,
        plural: str,
        on_change: Callable[[Mapping[str, StoredObject], int], None],
        clock: Callable[[], float],
        random: Random,
        *,
        watch_timeout_s: float = WATCH_TIMEOUT_S,
        max_backoff_s: float = MAX_BACKOFF_S,
        early_end_pause_s: float = EARLY_END_PAUSE_S,
        on_reachability_change: Callable[[bool], None] | None = None,
        polls_after_failure: bool = False,
    ) -> None:
        self.watch_timeout_s = watch_timeout_s
        self._early_end_pause_s = early_end_pause_s
        self._on_reachability_change = on_reachability_change
        self._polls_after_failure = polls_after_failure
        self._polls_next = False
        self._store = store
        self._plural = plural
        self._on_change = on_change
        self._clock = clock
        self._backoff = Backoff(random, maximum_s=max_backoff_s)
        self._objects: dict[str, StoredObject] = {}
        self._version: int | None = None
        self._has_unhandled_change = False
        self._log_limit = LogLimit()
        self._reachable: bool | None = None
        # Called when the store has confirmed that the objects are current.
        self.on_confirmed: Callable[[], None] | None = None
        # Called with all objects and the version of the list after each
        # answer of the store, once all changes in it are applied.
        self.on_synced: (
            Callable[[Mapping[str, StoredObject], int], None] | None
        ) = None
        self._scope: asyncio.Timeout | None = None

    @property
    def plural(self) -> str:
        """Return the plural of the watched objects."""
        return self._plural

    @property
    def version(self) -> int | None:
        """Return the version up to which the changes are known."""
        return self._version

    @property
    def is_reachable(self) -> bool:
        """Return whether the last watch or list was answered."""
        return bool(self._reachable)

    def interrupt(self) -> None:
        """End a waiting watch; the next one starts at once."""
        self._polls_next = self._polls_after_failure
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(asyncio.get_running_loop().time())

    async def async_run(self) -> None:
        """Watch until cancelled."""
        while True:
            started_s = self._clock()
            is_poll = self._polls_next
            try:
                if self._version is None:
                    await self._async_list()
                async with asyncio.timeout(None) as self._scope:
                    await self._async_watch(0.0 if is_poll else None)
                if self._has_unhandled_change:
                    self._report_change()
            except TimeoutError:
                _LOGGER.info("store watch of %s interrupted", self._plural)
                continue
            except AzurewickError as err:
                await self._async_handle_error(err)
                continue
            except Exception:
                # A change may not have been applied. When the caller starts
                # the watcher again, it reads all objects.
                self._version = None
                raise
            finally:
                self._scope = None
            if self._has_unhandled_change:
                self._polls_next = True
                await asyncio.sleep(
                    self._backoff.next_wait_s(CHANGE_RETRY_PAUSE_S)
                )
            elif is_poll:
                self._polls_next = False
            elif self._clock() - started_s < MIN_WATCH_S:
                await asyncio.sleep(
                    self._backoff.next_wait_s(self._early_end_pause_s)
                )

    async def _async_list(self) -> None:
        listed = await self._store.async_list(self._plural)
        self._objects = {item.name: item for item in listed.items}
        self._version = listed.version
        self._set_reachable(True)
        self._report_change()
        self._report_synced()

    async def _async_watch(self, timeout_s: float | None) -> None:
        assert self._version is not None
        if timeout_s is None:
            timeout_s = self.watch_timeout_s
        async for event in self._store.async_watch(
            self._plural, self._version, timeout_s
        ):
            self._set_reachable(True)
            self._apply(event)
        self._report_synced()

    def _report_synced(self) -> None:
        if self.on_synced is not None:
            assert self._version is not None
            self.on_synced(self._objects, self._version)

    def _apply(self, event: WatchEvent) -> None:
        self._version = max(self._version or 0, event.version)
        if event.object is None:
            return
        if event.type is EventType.DELETED:
            self._objects.pop(event.object.name, None)
        else:
            self._objects[event.object.name] = event.object
        self._report_change()

    def _report_change(self) -> None:
        assert self._version is not None
        try:
            self._on_change(self._objects, self._version)
            self._has_unhandled_change = False
        except Exception:
            self._has_unhandled_change = True
            if self._log_limit.allows(self._plural, self._clock()):
                _LOGGER.exception("a change of %s isn't handled", self._plural)

    async def _async_handle_error(self, err: AzurewickError) -> None:
        self._polls_next = self._polls_after_failure
        if err.code is ErrorCode.STORE_WATCH_EXPIRED:
            self._version = None
        else:
            self._set_reachable(False, err)
        await asyncio.sleep(self._backoff.next_wait_s(err.retry_after_s))

    def _set_reachable(
        self, reachable: bool, err: AzurewickError | None = None
    ) -> None:
        if reachable:
            self._backoff.reset()
            if self.on_confirmed is not None:
                self.on_confirmed()
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if self._on_reachability_change is not None:
            self._on_reachability_change(reachable)
        if reachable:
            _LOGGER.info("store watch of %s established", self._plural)
        else:
            _LOGGER.warning("store watch of %s failed: %s", self._plural, err)
