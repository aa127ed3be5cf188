"""Keeps the configuration of an instance up to date."""

from __future__ import annotations

import asyncio
from asyncio import Task
from collections.abc import Callable
from logging import getLogger
from random import Random

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.helpers.clock import monotonic_s
from azurewick.helpers.log_limit import LogLimit
from azurewick.helpers.tasks import async_cancel
from azurewick.helpers.tasks import create_supervised_task
from azurewick.replication.codec import decode_document
from azurewick.replication.document import build_document
from azurewick.replication.document import Document
from azurewick.replication.history import DocumentHistory
from azurewick.replication.models import ConfigurationNotice
from azurewick.replication.models import ObjectName
from azurewick.replication.models import PeerCopy
from azurewick.replication.peer_client import PeerClient
from azurewick.replication.peer_table import PEER_RETRY_S
from azurewick.replication.peer_table import PeerTable
from azurewick.replication.planner import Action
from azurewick.replication.planner import ANSWER_TIMEOUT_S
from azurewick.replication.planner import choose_source
from azurewick.replication.planner import estimate_read_time_s
from azurewick.replication.planner import OwnCopy
from azurewick.replication.planner import plan_store_access
from azurewick.replication.planner import POLL_TIMEOUT_S
from azurewick.replication.planner import StorePlan
from azurewick.store.budget import Backoff
from azurewick.store.protocols import EventType
from azurewick.store.protocols import StatusStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

# The configuration is read again within a second of the store's return.
MAX_BACKOFF_S = 0.6
# A watch that is answered with more than one version is given up: the newest
# version alone is smaller. This allows for a version that has grown.
GROWTH_FACTOR = 1.5
GROWTH_BYTES = 65_536
# Answers that have begun within this time hold the same version.
SAME_ANSWER_S = 0.2
# Shortest time of a watch, so that a store that ends each one at once isn't
# called in a busy loop.
MIN_WATCH_S = 0.1
# Round trip to the store until one has been measured.
DEFAULT_ROUND_TRIP_S = 0.02
# Sources of a version, for the log.
SOURCE_STORE = "store"


class ConfigurationReplicator:
    """Gets new versions of the configuration from the store or from peers.

    apply puts an object in force and returns whether it is valid. on_news is
    called when a version has come into force, with whether it came from the
    store.
    """

    def __init__(
        self,
        store: StatusStore,
        target: ObjectName,
        own_name: str,
        random: Random,
        *,
        link_mbit_per_s: float,
        apply: Callable[[StoredObject], bool],
        on_news: Callable[[bool], None] = lambda from_store: None,
    ) -> None:
        self.history = DocumentHistory()
        self.peers = PeerTable()
        self._store = store
        self._target = target
        self._own_name = own_name
        self._link_mbit_per_s = link_mbit_per_s
        self._apply = apply
        self._on_news = on_news
        self._client = PeerClient()
        self._backoff = Backoff(random, maximum_s=MAX_BACKOFF_S)
        self._log_limit = LogLimit()
        self._tasks: list[Task[None]] = []
        self._changed = asyncio.Event()
        self._started_s = monotonic_s()
        # The newest version that the store or a peer has shown, and up to
        # which revision the store has confirmed that it is the newest.
        self._revision = 0
        self._checked_revision: int | None = None
        self._confirmed_s = float("-inf")
        self._missing_since_s: float | None = None
        self._is_fetching = False
        self._store_scope: asyncio.Timeout | None = None
        # When the store has begun its answer to the call in progress.
        self._head_s: float | None = None

    def start(self) -> None:
        """Start to follow the configuration."""
        self._started_s = monotonic_s()
        self._tasks = [
            create_supervised_task(
                "configuration from the store", self._async_follow_store
            ),
            create_supervised_task(
                "configuration from peers", self._async_follow_peers
            ),
        ]

    async def async_stop(self) -> None:
        """Stop to follow the configuration."""
        await async_cancel(*self._tasks)
        await self._client.async_close()

    def notice(self, now_s: float) -> ConfigurationNotice | None:
        """Return what peers are told; None before the first version."""
        document = self.history.newest
        if document is None or self._checked_revision is None:
            return None
        if self._confirmed_s == float("-inf"):
            return None
        return ConfigurationNotice(
            revision=document.revision,
            checked_revision=self._checked_revision,
            age_s=max(0.0, now_s - self._confirmed_s),
            read_time_s=self._read_time_s,
            is_receiving=self._store.is_receiving,
        )

    def record_notice(
        self, name: str, notice: ConfigurationNotice | None, now_s: float
    ) -> None:
        """Use what a peer tells of its configuration."""
        if notice is None:
            return
        copy = self.peers.record(name, notice, now_s)
        if copy is None:
            return
        if copy.revision == self._revision:
            self._confirm(copy.confirmed_s, copy.checked_revision)
        elif copy.revision > self._revision:
            if self._missing_since_s is None:
                self._missing_since_s = now_s
            self._wake()

    def interrupt(self) -> None:
        """End a call whose answer hasn't begun: it may be lost."""
        if self._head_s is None:
            self._end_store_access()

    @property
    def _read_time_s(self) -> float:
        round_trip_s = self._store.fastest_answer_s
        return estimate_read_time_s(
            self._link_mbit_per_s,
            DEFAULT_ROUND_TRIP_S if round_trip_s is None else round_trip_s,
        )

    def _own_copy(self, now_s: float) -> OwnCopy:
        return OwnCopy(
            name=self._own_name,
            started_s=self._started_s,
            read_time_s=self._read_time_s,
            revision=self._revision,
            confirmed_s=self._confirmed_s,
            can_watch=self._checked_revision is not None,
            is_peer_receiving=self.peers.is_any_receiving(now_s),
            missing_since_s=(
                None if self._is_fetching else self._missing_since_s
            ),
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_wait(self, timeout_s: float | None) -> None:
        """Wait for news or until the time-out."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _async_follow_store(self) -> None:
        while True:
            now_s = monotonic_s()
            plan = plan_store_access(
                self._own_copy(now_s), self.peers.live_copies(now_s), now_s
            )
            if plan.action is Action.WAIT:
                await self._async_wait(plan.wait_s)
                continue
            try:
                await self._async_access_store(plan)
                self._backoff.reset()
            except AzurewickError as err:
                await self._async_handle_error(err)
            except Exception:
                # A version may not have come into force. When the task starts
                # again, it reads the newest one.
                self._checked_revision = None
                raise

    async def _async_handle_error(self, err: AzurewickError) -> None:
        if err.code in (
            ErrorCode.STORE_WATCH_EXPIRED,
            ErrorCode.STORE_RESPONSE_TOO_LARGE,
        ):
            _LOGGER.info("the configuration is read as a whole: %s", err)
            self._checked_revision = None
            return
        if self._log_limit.allows(err.code, monotonic_s()):
            _LOGGER.warning("can't follow the configuration: %s", err)
        await self._async_wait(self._backoff.next_wait_s(err.retry_after_s))

    async def _async_access_store(self, plan: StorePlan) -> None:
        """Read or watch, unless a peer's copy makes it needless meanwhile."""
        sent_s = monotonic_s()
        try:
            async with asyncio.timeout(None) as self._store_scope:
                if plan.action is Action.READ:
                    await self._async_read()
                else:
                    await self._async_watch(plan.wait_s)
        except TimeoutError:
            _LOGGER.info("call to the store for the configuration given up")
        finally:
            self._store_scope = self._head_s = None
        if plan.wait_s and monotonic_s() - sent_s < MIN_WATCH_S:
            await self._async_wait(MIN_WATCH_S)

    def _record_head(self) -> None:
        self._head_s = monotonic_s()

    async def _async_read(self) -> None:
        listed = await self._store.async_list(
            self._target.plural, on_head=self._record_head
        )
        confirmed_s = self._head_s
        for item in listed.items:
            self._adopt_stored(item, confirmed_s, listed.version)
        self._confirm(confirmed_s, listed.version)
        # What a peer has announced is older, or it is there now.
        self._missing_since_s = None

    async def _async_watch(self, wait_s: float) -> None:
        assert self._checked_revision is not None
        newest: StoredObject | None = None
        checked_revision = self._checked_revision
        async for event in self._store.async_watch(
            self._target.plural,
            checked_revision,
            wait_s,
            limit_bytes=self._watch_limit_bytes(),
            answer_timeout_s=(ANSWER_TIMEOUT_S if wait_s else POLL_TIMEOUT_S),
            on_head=self._record_head,
        ):
            checked_revision = max(checked_revision, event.version)
            if (
                event.object is not None
                and event.type is not EventType.DELETED
                and event.object.name == self._target.name
            ):
                newest = event.object
        confirmed_s = self._head_s
        if newest is not None:
            self._adopt_stored(newest, confirmed_s, checked_revision)
        self._confirm(confirmed_s, checked_revision)

    def _watch_limit_bytes(self) -> int:
        document = self.history.newest
        size_bytes = 0 if document is None else document.size_bytes
        return round(size_bytes * GROWTH_FACTOR) + GROWTH_BYTES

    async def _async_follow_peers(self) -> None:
        while True:
            now_s = monotonic_s()
            source = choose_source(
                self._own_copy(now_s),
                self.peers.available_copies(now_s),
                now_s,
            )
            if source is not None:
                await self._async_fetch(source)
            else:
                is_behind = any(
                    copy.revision > self._revision
                    for copy in self.peers.live_copies(now_s)
                )
                await self._async_wait(PEER_RETRY_S if is_behind else None)

    async def _async_fetch(self, source: PeerCopy) -> None:
        """Get the copy of a peer."""
        sent_s = monotonic_s()
        base = self.history.newest
        self._is_fetching = True
        try:
            data = await self._client.async_fetch(
                source.address, "" if base is None else base.digest
            )
            document = decode_document(data, self.history.find)
        except AzurewickError as err:
            self.peers.record_failure(source.name, monotonic_s())
            if self._log_limit.allows(source.name, monotonic_s()):
                _LOGGER.info("no configuration from %s: %s", source.name, err)
            return
        finally:
            self._is_fetching = False
            self._wake()
        if document.revision <= self._revision:
            self.peers.record_failure(source.name, monotonic_s())
            return
        is_announced = document.revision == source.revision
        self._adopt(
            document,
            source.confirmed_s if is_announced else None,
            source.checked_revision if is_announced else document.revision,
            source=source.name,
            transfer_bytes=len(data),
            took_s=monotonic_s() - sent_s,
        )
        self._end_needless_answer(source.confirmed_s)

    def _adopt_stored(
        self,
        item: StoredObject,
        confirmed_s: float | None,
        checked_revision: int,
    ) -> None:
        if item.name == self._target.name and item.version > self._revision:
            self._adopt(
                build_document(item.version, item.spec),
                confirmed_s,
                checked_revision,
                source=SOURCE_STORE,
                content=item,
            )

    def _adopt(
        self,
        document: Document,
        confirmed_s: float | None,
        checked_revision: int,
        *,
        source: str,
        content: StoredObject | None = None,
        transfer_bytes: int = 0,
        took_s: float = 0.0,
    ) -> None:
        """Put a newer version in force, and tell the peers.

        It counts as known only after that: should it fail, the task that has
        got the version starts again and gets it once more.
        """
        if content is None:
            content = StoredObject(
                plural=self._target.plural,
                name=self._target.name,
                version=document.revision,
                spec=document.decode(),
            )
        _LOGGER.info(
            "new configuration received",
            extra={
                "revision": document.revision,
                "learned_from": source,
                "bytes": document.size_bytes,
                "transfer_bytes": transfer_bytes or None,
                "transfer_took_s": round(took_s, 3) if took_s else None,
            },
        )
        is_valid = self._apply(content)
        self._revision = document.revision
        self._missing_since_s = None
        self._confirm(confirmed_s, max(checked_revision, document.revision))
        if is_valid:
            self.history.add(document)
            self._on_news(source == SOURCE_STORE)

    def _confirm(self, confirmed_s: float | None, revision: int) -> None:
        """Record when the store has shown that there is no newer version.

        revision is the one of the store up to which this holds.
        """
        if confirmed_s is not None:
            self._confirmed_s = max(self._confirmed_s, confirmed_s)
        self._checked_revision = max(self._checked_revision or 0, revision)

    def _end_needless_answer(self, confirmed_s: float) -> None:
        """End an answer of the store that is as old as a peer's copy.

        Should it hold a newer version, the next watch brings that.
        """
        if self._head_s is not None and (
            confirmed_s >= self._head_s - SAME_ANSWER_S
        ):
            self._end_store_access()

    def _end_store_access(self) -> None:
        scope = self._store_scope
        if scope is not None and not scope.expired():
            scope.reschedule(asyncio.get_running_loop().time())
