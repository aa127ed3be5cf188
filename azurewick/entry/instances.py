"""Registration and discovery of entry instances through the store."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from logging import getLogger
from random import Random
from typing import Any

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.address import is_address
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

KIND_INSTANCES = "azurewick-instances"
ATTR_HEARTBEAT = "beat"
ATTR_ADDRESS = "address"
ATTR_REGION = "region"
# Writes to the store are billed; stale reads cost a tenth.
HEARTBEAT_INTERVAL_S = 8.0
READ_INTERVAL_S = 3.0
# Longest time between two reads while the store answers.
MAX_READ_GAP_S = 6.0
# An instance without heartbeats for this long is no longer live and loses its
# shares. The time is longer than outages of some seconds, as an instance that
# can't reach the store still uses its shares. One that stops tells its peers.
INSTANCE_TIMEOUT_S = 25.0
# Timeout for the removal of a stopping instance from the store.
REMOVE_TIMEOUT_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class PeerInstance:
    """Entry instance as peers see it; datagrams go to address "IP:port"."""

    address: str
    region: str


# Heartbeat and what the instance says of itself.
_Status = tuple[int, PeerInstance]


class InstanceTable:
    """Statuses of the instances, with the times at which they changed.

    Clocks of other machines aren't used: an instance is live while its
    status changes.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._known: dict[str, tuple[_Status, float]] = {}
        self._updated_s: float | None = None

    def update(
        self, statuses: Mapping[str, Mapping[str, Any]], now_s: float
    ) -> None:
        """Set the statuses of all instances, by name.

        The time in which they couldn't be read doesn't count: instances that
        couldn't write either aren't dead after an outage of the store.
        """
        unseen_s = 0.0
        if self._updated_s is not None:
            unseen_s = max(0.0, now_s - self._updated_s - MAX_READ_GAP_S)
        self._updated_s = now_s
        known: dict[str, tuple[_Status, float]] = {}
        for name, fields in statuses.items():
            status = _read_status(fields)
            if status is None:
                continue
            entry = self._known.get(name)
            if entry is None or entry[0] != status:
                entry = (status, now_s)
            else:
                entry = (status, entry[1] + unseen_s)
            known[name] = entry
        self._known = known

    def live_peers(self, now_s: float) -> dict[str, PeerInstance]:
        """Return the other live instances by name."""
        peers: dict[str, PeerInstance] = {}
        for name, ((_, peer), changed_s) in self._known.items():
            if (
                name != self._own_name
                and now_s - changed_s < INSTANCE_TIMEOUT_S
            ):
                peers[name] = peer
        return peers


class InstanceDirectory:
    """Registers this instance in the store and finds the others.

    on_peers gets the live peers by name after each read. An instance that
    can't read the store keeps the peers that it had. registered_s is the time
    at which the list first had what this run has written, so that it isn't
    older than that; it is None until then.
    """

    def __init__(
        self,
        store: StatusStore,
        name: str,
        own: PeerInstance,
        random: Random,
        on_peers: Callable[[Mapping[str, PeerInstance]], None],
    ) -> None:
        self._store = store
        self._name = name
        self._own = own
        self._random = random
        self._on_peers = on_peers
        self._table = InstanceTable(name)
        self.registered_s: float | None = None
        self._heartbeat = random.getrandbits(31)
        self._first_heartbeat = self._heartbeat + 1
        self._task: Task[None] | None = None
        self._live: dict[str, PeerInstance] | None = None
        self._next_heartbeat_s = 0.0

    def start(self) -> None:
        """Start to write heartbeats and to read the other instances."""
        self._task = create_supervised_task(
            "instance directory", self._async_run
        )

    async def async_stop(self) -> None:
        """Stop, and remove this instance from the store."""
        if self._task is None:
            return
        await async_cancel(self._task)
        try:
            async with asyncio.timeout(REMOVE_TIMEOUT_S):
                await self._store.async_delete(self._build_object())
        except (AzurewickError, TimeoutError) as err:
            _LOGGER.warning(
                "can't remove this instance from the store: %r", err
            )

    async def _async_run(self) -> None:
        while True:
            now_s = monotonic_s()
            if now_s >= self._next_heartbeat_s:
                try:
                    await self._async_publish()
                    self._next_heartbeat_s = now_s + HEARTBEAT_INTERVAL_S
                except AzurewickError as err:
                    _LOGGER.warning("heartbeat failed: %s", err)
            try:
                await self._async_read()
            except AzurewickError as err:
                _LOGGER.warning("can't list the other instances: %s", err)
            await asyncio.sleep(
                READ_INTERVAL_S * self._random.uniform(0.8, 1.2)
            )

    async def _async_publish(self) -> None:
        self._heartbeat += 1
        item = self._build_object()
        try:
            await self._store.async_update_status(item)
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_NOT_FOUND:
                raise
            await self._store.async_create(KIND_INSTANCES, self._name, {})
            await self._store.async_update_status(item)

    async def _async_read(self) -> None:
        listed = await self._store.async_list(KIND_INSTANCES, allow_stale=True)
        now_s = monotonic_s()
        self._table.update(
            {item.name: item.status for item in listed.items}, now_s
        )
        live = self._table.live_peers(now_s)
        if live != self._live:
            _LOGGER.info(
                "other entry instances changed", extra={"live": sorted(live)}
            )
            self._live = live
        if self.registered_s is None and any(
            item.name == self._name and self._is_own(item.status)
            for item in listed.items
        ):
            self.registered_s = now_s
        self._on_peers(live)

    def _is_own(self, fields: Mapping[str, Any]) -> bool:
        """Return whether a status was written by this run."""
        status = _read_status(fields)
        return status is not None and (
            self._first_heartbeat <= status[0] <= self._heartbeat
        )

    def _build_object(self) -> StoredObject:
        return StoredObject(
            plural=KIND_INSTANCES,
            name=self._name,
            version=0,
            status={
                ATTR_HEARTBEAT: self._heartbeat,
                ATTR_ADDRESS: self._own.address,
                ATTR_REGION: self._own.region,
            },
        )


def _read_status(fields: Mapping[str, Any]) -> _Status | None:
    """Return the status of an instance; None if it isn't valid.

    Other writers may store statuses with fields of another type.
    """
    beat = fields.get(ATTR_HEARTBEAT)
    address = fields.get(ATTR_ADDRESS)
    region = fields.get(ATTR_REGION, "")
    if not (
        isinstance(beat, int)
        and isinstance(address, str)
        and isinstance(region, str)
        and is_address(address)
    ):
        return None
    return beat, PeerInstance(address=address, region=region)
