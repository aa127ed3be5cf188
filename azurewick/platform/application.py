"""Construction of an entry instance for the platform."""

from __future__ import annotations

from random import Random

from azurewick.entry.application import EntryInstance
from azurewick.entry.models import BackendEntry
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.models import VersionMove
from azurewick.entry.settings import EntrySettings
from azurewick.entry.watches import StoreKinds
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.platform.const import KIND_CONFIGURATION
from azurewick.platform.const import KIND_EVACUATIONS
from azurewick.platform.const import KIND_ROLLOUTS
from azurewick.platform.const import KIND_SERVERS
from azurewick.platform.const import NAME_CONFIGURATION
from azurewick.platform.documents import decode_configuration
from azurewick.platform.documents import decode_rollout
from azurewick.platform.documents import decode_server
from azurewick.platform.requests import PlatformProtocol
from azurewick.platform.store import PlatformStore
from azurewick.replication.models import ObjectName
from azurewick.store.protocols import StoredObject


class PlatformDocuments:
    """DocumentDecoder for the platform's document formats."""

    def decode_configuration(self, item: StoredObject) -> FleetConfiguration:
        """Return the configuration that an object holds."""
        if item.name != NAME_CONFIGURATION:
            raise AzurewickError(
                ErrorCode.INVALID_CONFIGURATION,
                f"the configuration is at {NAME_CONFIGURATION}",
                step=Step.CONFIGURE,
                peer=f"{item.plural}/{item.name}",
            )
        return decode_configuration(item)

    def decode_server(self, item: StoredObject) -> BackendEntry:
        """Return the backend server that an object describes."""
        return decode_server(item)

    def decode_move(self, item: StoredObject) -> VersionMove:
        """Return the version move that an object orders."""
        return decode_rollout(item)


def build_entry(settings: EntrySettings) -> EntryInstance:
    """Return an entry instance that uses the platform's protocols."""
    return EntryInstance(
        settings,
        store=PlatformStore(settings.store_address),
        kinds=StoreKinds(
            configuration=ObjectName(
                plural=KIND_CONFIGURATION, name=NAME_CONFIGURATION
            ),
            servers=KIND_SERVERS,
            moves=KIND_ROLLOUTS,
            evacuations=KIND_EVACUATIONS,
        ),
        decoder=PlatformDocuments(),
        protocol=PlatformProtocol(),
        random=Random(),
    )
