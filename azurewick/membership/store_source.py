"""Documents that a process reads directly from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from functools import partial
from logging import getLogger
from random import Random
from typing import Any

from pydantic import ValidationError

from azurewick.configuration.models import FleetConfigurationModel
from azurewick.control.documents import describe_object
from azurewick.control.documents import DocumentName
from azurewick.control.documents import split_configuration
from azurewick.membership.watcher import StoreWatcher
from azurewick.settings.loader import describe_validation_error
from azurewick.store.protocols import ObjectStore
from azurewick.store.protocols import StoredObject

_LOGGER = getLogger(__name__)

CONFIGURATION_NAME = "fleet"
PLURAL_BY_DOCUMENT = {
    DocumentName.CONFIGURATION: "configurations",
    DocumentName.INSTANCES: "instances",
    DocumentName.MOVES: "versionmoves",
}

DocumentCallback = Callable[[DocumentName, Mapping[str, Any], int], None]


class StoreSource:
    """Watches selected documents in the store and reports their changes."""

    def __init__(
        self,
        store: ObjectStore,
        on_document: DocumentCallback,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._store = store
        self._on_document = on_document
        self._clock = clock
        self._random = random
        self._tasks: dict[DocumentName, asyncio.Task[None]] = {}

    @property
    def watched(self) -> frozenset[DocumentName]:
        """Return the documents that are being watched."""
        return frozenset(self._tasks)

    def update_watches(self, wanted: Collection[DocumentName]) -> None:
        """Start and stop watches, so that exactly the wanted ones run."""
        for name in sorted(self._tasks.keys() - set(wanted)):
            self._tasks.pop(name).cancel()
        for name in sorted(set(wanted) - self._tasks.keys()):
            watcher = StoreWatcher(
                self._store,
                PLURAL_BY_DOCUMENT[name],
                partial(self._handle_objects, name),
                self._clock,
                self._random,
            )
            self._tasks[name] = asyncio.create_task(watcher.async_run())

    async def async_stop(self) -> None:
        """Stop all watches."""
        tasks = tuple(self._tasks.values())
        self.update_watches(())
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_objects(
        self,
        name: DocumentName,
        objects: Mapping[str, StoredObject],
        version: int,
    ) -> None:
        if name is DocumentName.CONFIGURATION:
            item = objects.get(CONFIGURATION_NAME)
            if item is not None and _is_valid_configuration(
                item.spec, item.version
            ):
                items = split_configuration(item.spec)
                self._on_document(name, items, item.version)
        elif name is DocumentName.MOVES:
            items = {
                key: describe_object(stored) for key, stored in objects.items()
            }
            self._on_document(name, items, version)
        else:
            specs = {key: stored.spec for key, stored in objects.items()}
            self._on_document(name, specs, version)


def _is_valid_configuration(spec: Mapping[str, Any], version: int) -> bool:
    try:
        FleetConfigurationModel.model_validate(spec)
    except ValidationError as err:
        _LOGGER.error(
            "configuration revision %d is invalid and ignored: %s",
            version,
            describe_validation_error(err),
        )
        return False
    return True
