"""Traits of requests that crash servers, kept in the platform's store.

The instances tell each other of a conviction within a second. The store keeps
it for instances that are cut off from the others, and while all of them start
again.
"""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from hashlib import blake2b
from logging import getLogger
from random import Random

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.log_limit import LogLimit
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.poison.convictions import RETENTION_S
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

KIND_CONVICTIONS = "azurewick-convictions"
ATTR_TRAIT = "trait"
# Stale reads cost a tenth of a call.
READ_INTERVAL_S = 3.0
# Interval of the first reads until one succeeds, and of writes that failed.
RETRY_INTERVAL_S = 0.4
# Reads after which an instance writes a conviction of a peer itself: the peer
# may have been killed or cut off before it could.
READS_UNTIL_WRITTEN = 2


class ConvictionStore:
    """Writes convictions to the store and reads those of others.

    on_conviction gets each stored trait once. An entry is removed after
    RETENTION_S by the instances that have seen it for that long.
    """

    def __init__(
        self,
        store: StatusStore,
        random: Random,
        on_conviction: Callable[[str], None],
    ) -> None:
        self._store = store
        self._random = random
        self._on_conviction = on_conviction
        # Times at which the entries were first seen, by name and version.
        self._seen_s: dict[tuple[str, int], float] = {}
        self._stored: set[str] = set()
        # Number of reads without an entry for what peers have convicted.
        self._missed_reads: dict[str, int] = {}
        # What is to be written: whether the trait is convicted.
        self._pending: dict[str, bool] = {}
        self._has_pending = asyncio.Event()
        self._log_limit = LogLimit()
        self._tasks: list[Task[None]] = []

    def start(self) -> None:
        """Start to read, and to write what is convicted."""
        self._tasks = [
            create_supervised_task("convictions", self._async_read_all),
            create_supervised_task(
                "writes of convictions", self._async_write_all
            ),
        ]

    async def async_stop(self) -> None:
        """Stop reading and writing."""
        await async_cancel(*self._tasks)

    def record_convicted(self, trait: str, is_own: bool) -> None:
        """Write a conviction to the store unless it is there.

        One that a peer has reached is left to the peer at first.
        """
        if trait in self._stored:
            return
        if is_own:
            self._set_pending(trait, True)
        else:
            self._missed_reads[trait] = 0

    def record_acquitted(self, trait: str) -> None:
        """Remove a conviction from the store."""
        self._missed_reads.pop(trait, None)
        self._set_pending(trait, False)

    def _adopt_missing(self) -> None:
        """Write the convictions of peers that the peers haven't written."""
        for trait, reads in tuple(self._missed_reads.items()):
            if trait in self._stored:
                del self._missed_reads[trait]
            elif reads + 1 >= READS_UNTIL_WRITTEN:
                del self._missed_reads[trait]
                self._set_pending(trait, True)
            else:
                self._missed_reads[trait] = reads + 1

    def _set_pending(self, trait: str, is_convicted: bool) -> None:
        self._pending[trait] = is_convicted
        self._has_pending.set()

    async def _async_read_all(self) -> None:
        allow_stale = False
        while True:
            interval_s = READ_INTERVAL_S
            try:
                await self._async_read(allow_stale)
                allow_stale = True
            except AzurewickError as err:
                _LOGGER.info("can't read the convictions: %s", err)
                if not allow_stale:
                    interval_s = RETRY_INTERVAL_S
            await asyncio.sleep(interval_s * self._random.uniform(0.8, 1.2))

    async def _async_read(self, allow_stale: bool) -> None:
        listed = await self._store.async_list(
            KIND_CONVICTIONS, allow_stale=allow_stale
        )
        now_s = monotonic_s()
        seen_s: dict[tuple[str, int], float] = {}
        stored: set[str] = set()
        for item in listed.items:
            trait = item.spec.get(ATTR_TRAIT)
            if not isinstance(trait, str) or item.name != _object_name(trait):
                if self._log_limit.allows(item.name, now_s):
                    _LOGGER.info(
                        "stored conviction %s has no trait, or another name",
                        item.name,
                    )
                continue
            key = (item.name, item.version)
            seen_s[key] = self._seen_s.get(key, now_s)
            stored.add(trait)
            if key not in self._seen_s:
                self._on_conviction(trait)
            elif now_s - seen_s[key] >= RETENTION_S:
                self._set_pending(trait, False)
        self._seen_s = seen_s
        # Other instances remove entries. A write that a stale read doesn't
        # show yet is at most written once more, and the store refuses that.
        self._stored = stored
        self._adopt_missing()

    async def _async_write_all(self) -> None:
        while True:
            await self._has_pending.wait()
            self._has_pending.clear()
            for trait, is_convicted in tuple(self._pending.items()):
                try:
                    await self._async_write(trait, is_convicted)
                except AzurewickError as err:
                    _LOGGER.info("can't write a conviction: %s", err)
                    self._has_pending.set()
                else:
                    if self._pending.get(trait) == is_convicted:
                        del self._pending[trait]
            if self._pending:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _async_write(self, trait: str, is_convicted: bool) -> None:
        name = _object_name(trait)
        try:
            if is_convicted:
                await self._store.async_create(
                    KIND_CONVICTIONS, name, {ATTR_TRAIT: trait}
                )
            else:
                await self._store.async_delete(
                    StoredObject(plural=KIND_CONVICTIONS, name=name, version=0)
                )
        except AzurewickError as err:
            if err.code not in (
                ErrorCode.STORE_CONFLICT,
                ErrorCode.STORE_NOT_FOUND,
            ):
                raise
            _LOGGER.debug("another instance has written %s", trait)
        if is_convicted:
            self._stored.add(trait)
        else:
            self._stored.discard(trait)


def _object_name(trait: str) -> str:
    return blake2b(trait.encode(), digest_size=8).hexdigest()
