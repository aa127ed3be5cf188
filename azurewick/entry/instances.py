"""Directory of the entry instances in the store."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from logging import getLogger
from random import Random

from azurewick.entry.placement import InstanceShare
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.clock import monotonic_s
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

KIND_INSTANCES = "azurewick-instances"
ATTR_BEAT = "beat"
HEARTBEAT_INTERVAL_S = 3.0
# Three missed heartbeats and the age of a stale list.
DEAD_AFTER_S = 12.0


class InstanceTable:
    """Instances by the time at which their heartbeat last changed."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._beats: dict[str, tuple[object, float]] = {}

    def update(self, items: dict[str, object], now_s: float) -> None:
        """Take the heartbeats of all instances."""
        beats: dict[str, tuple[object, float]] = {}
        for name, beat in items.items():
            known = self._beats.get(name)
            if known is None or known[0] != beat:
                known = (beat, now_s)
            beats[name] = known
        self._beats = beats

    def live(self, now_s: float) -> list[str]:
        """Return the names of the instances that are alive, ours too."""
        names = {
            name
            for name, (_, changed_s) in self._beats.items()
            if now_s - changed_s < DEAD_AFTER_S
        }
        return sorted(names | {self._own_name})


class InstanceDirectory:
    """Registers this instance and counts the others.

    on_share gets this instance's share of what all instances use together.
    An instance that can't read the store keeps the share that it had.
    """

    def __init__(
        self,
        store: StatusStore,
        name: str,
        random: Random,
        on_share: Callable[[InstanceShare], None],
    ) -> None:
        self._store = store
        self._name = name
        self._random = random
        self._on_share = on_share
        self._table = InstanceTable(name)
        self._beat = random.getrandbits(31)
        self._task: Task[None] | None = None
        self._live: list[str] = []

    def start(self) -> None:
        """Start to send heartbeats."""
        self._task = asyncio.create_task(self._async_run())

    async def async_stop(self) -> None:
        """Stop and take this instance out of the directory."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        try:
            async with asyncio.timeout(0.3):
                await self._store.async_delete(self._object())
        except (AzurewickError, TimeoutError) as err:
            _LOGGER.warning("can't remove this instance's entry: %s", err)

    async def _async_run(self) -> None:
        while True:
            try:
                await self._async_beat()
                await self._async_read()
            except AzurewickError as err:
                _LOGGER.warning("heartbeat failed: %s", err)
            await asyncio.sleep(
                HEARTBEAT_INTERVAL_S * self._random.uniform(0.8, 1.2)
            )

    async def _async_beat(self) -> None:
        self._beat += 1
        try:
            await self._store.async_update_status(self._object())
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_NOT_FOUND:
                raise
            await self._store.async_create(
                KIND_INSTANCES, self._name, {}, {ATTR_BEAT: self._beat}
            )

    async def _async_read(self) -> None:
        listed = await self._store.async_list(KIND_INSTANCES, allow_stale=True)
        now_s = monotonic_s()
        self._table.update(
            {item.name: item.status.get(ATTR_BEAT) for item in listed.items},
            now_s,
        )
        live = self._table.live(now_s)
        if live != self._live:
            _LOGGER.info("entry instances changed", extra={"live": live})
            self._live = live
        self._on_share(
            InstanceShare(index=live.index(self._name), count=len(live))
        )

    def _object(self) -> StoredObject:
        return StoredObject(
            plural=KIND_INSTANCES,
            name=self._name,
            version=0,
            status={ATTR_BEAT: self._beat},
        )
