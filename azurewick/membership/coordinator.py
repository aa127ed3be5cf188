"""State of the cluster as one process knows it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from logging import getLogger
from random import Random
from typing import Any

from azurewick.configuration.snapshot import build_snapshot
from azurewick.configuration.snapshot import ConfigurationSnapshot
from azurewick.control.documents import describe_object
from azurewick.control.documents import Document
from azurewick.control.documents import DocumentName
from azurewick.control.documents import join_configuration
from azurewick.control.documents import split_configuration
from azurewick.errors import AzurewickError
from azurewick.membership.view import MembershipView
from azurewick.membership.watcher import StoreWatcher
from azurewick.models import BackendServer
from azurewick.models import GatewayInstance
from azurewick.models import LoadReport
from azurewick.platform.protocols import ObjectStore
from azurewick.platform.protocols import StoredObject
from azurewick.settings.models import NodeSettings

_LOGGER = getLogger(__name__)

CONFIGURATION_NAME = "fleet"
PLURAL_CONFIGURATIONS = "configurations"
PLURAL_INSTANCES = "instances"
PLURAL_MOVES = "versionmoves"


class ClusterState:
    """Configuration, moves and live instances, for one process."""

    def __init__(
        self,
        settings: NodeSettings,
        store: ObjectStore,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._store = store
        self._clock = clock
        self._random = Random(settings.name)
        self._view = MembershipView()
        self._documents = {name: Document() for name in DocumentName}
        self._listeners: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self.snapshot: ConfigurationSnapshot | None = None
        self.moves: tuple[dict[str, Any], ...] = ()

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.snapshot is not None

    def backend_servers(
        self, pool: str, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return the servers of a pool that may get new work."""
        return self._view.backend_servers(pool)

    def gateways(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return the live gateways."""
        return self._view.gateways()

    def record_failure(
        self, name: str, now_s: float, *, refused: bool = False
    ) -> None:
        """Count a failed offer or probe; refused is a refused connection."""
        self._view.record_failure(name, now_s, refused=refused)

    def record_success(self, name: str, now_s: float) -> None:
        """Count an answered offer or probe."""
        self._view.record_success(name, now_s)

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Take a load report from an answer of an agent."""
        self._view.record_load(report, now_s)

    def async_add_listener(
        self, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a listener after each change; return its removal."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    async def async_start(self) -> None:
        """Start the watches."""
        for plural, on_change in (
            (PLURAL_CONFIGURATIONS, self._update_configuration),
            (PLURAL_MOVES, self._update_moves),
            (PLURAL_INSTANCES, self._update_instances),
        ):
            watcher = StoreWatcher(
                self._store, plural, on_change, self._clock, self._random
            )
            self._tasks.append(asyncio.create_task(watcher.async_run()))

    async def async_stop(self) -> None:
        """Stop the watches."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def _update_configuration(
        self, objects: Mapping[str, StoredObject], version: int
    ) -> None:
        item = objects.get(CONFIGURATION_NAME)
        if item is None:
            return
        try:
            build_snapshot(item.spec, item.version)
        except AzurewickError as err:
            _LOGGER.error("configuration %d refused: %s", item.version, err)
            return
        self._accept(
            DocumentName.CONFIGURATION,
            split_configuration(item.spec),
            item.version,
        )

    def _update_moves(
        self, objects: Mapping[str, StoredObject], version: int
    ) -> None:
        items = {name: describe_object(one) for name, one in objects.items()}
        self._accept(DocumentName.MOVES, items, version)

    def _update_instances(
        self, objects: Mapping[str, StoredObject], version: int
    ) -> None:
        items = {name: one.spec for name, one in objects.items()}
        self._accept(DocumentName.INSTANCES, items, version)

    def _accept(
        self, name: DocumentName, items: Mapping[str, Any], revision: int
    ) -> bool:
        """Take a document if it is newer; False when nothing changed."""
        document = self._documents[name]
        if document.revision and items == document.items:
            return False
        if not document.replace(items, revision):
            return False
        if name is DocumentName.CONFIGURATION:
            self.snapshot = build_snapshot(join_configuration(items), revision)
            _LOGGER.info("configuration %d is in force", revision)
        elif name is DocumentName.MOVES:
            self.moves = tuple(items[key] for key in sorted(items))
        else:
            self._view.update_list(items, revision, self._clock())
        for listener in tuple(self._listeners):
            listener()
        return True
