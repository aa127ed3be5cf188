"""Documents that a process reads from the store itself."""

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
PLURALS = {
    DocumentName.CONFIGURATION: "configurations",
    DocumentName.INSTANCES: "instances",
    DocumentName.MOVES: "versionmoves",
}

OnDocument = Callable[[DocumentName, Mapping[str, Any], int], None]


class StoreSource:
    """Runs the watches of the documents that a process wants."""

    def __init__(
        self,
        store: ObjectStore,
        on_document: OnDocument,
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
        """Return the documents with a watch."""
        return frozenset(self._tasks)

    def watch(self, wanted: Collection[DocumentName]) -> None:
        """Start and stop watches, so that exactly the wanted ones run."""
        for name in sorted(self._tasks.keys() - set(wanted)):
            self._tasks.pop(name).cancel()
        for name in sorted(set(wanted) - self._tasks.keys()):
            watcher = StoreWatcher(
                self._store,
                PLURALS[name],
                partial(self._take, name),
                self._clock,
                self._random,
            )
            self._tasks[name] = asyncio.create_task(watcher.async_run())

    async def async_stop(self) -> None:
        """End all watches."""
        tasks = tuple(self._tasks.values())
        self.watch(())
        await asyncio.gather(*tasks, return_exceptions=True)

    def _take(
        self,
        name: DocumentName,
        objects: Mapping[str, StoredObject],
        version: int,
    ) -> None:
        if name is DocumentName.CONFIGURATION:
            item = objects.get(CONFIGURATION_NAME)
            if item is not None and _is_valid(item.spec, item.version):
                items = split_configuration(item.spec)
                self._on_document(name, items, item.version)
        elif name is DocumentName.MOVES:
            items = {key: describe_object(one) for key, one in objects.items()}
            self._on_document(name, items, version)
        else:
            specs = {key: one.spec for key, one in objects.items()}
            self._on_document(name, specs, version)


def _is_valid(spec: Mapping[str, Any], version: int) -> bool:
    try:
        FleetConfigurationModel.model_validate(spec)
    except ValidationError as err:
        _LOGGER.error(
            "configuration %d refused: %s",
            version,
            describe_validation_error(err),
        )
        return False
    return True
