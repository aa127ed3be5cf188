"""Settings file that the platform provides to an entry instance."""

from __future__ import annotations

from pathlib import Path

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from azurewick.entry.settings import EntrySettings
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.settings.loader import describe_validation_error
from azurewick.settings.loader import read_settings_file
from azurewick.settings.models import Address

# Share of the file descriptors for callers' connections. The others are for
# connections to backend servers and the store, and for files.
CALLER_CONNECTION_SHARE = 0.6


class NodeModel(BaseModel):
    """Base of the models of the file; ignores unknown fields."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class ListenTable(NodeModel):
    """Addresses on which the process listens."""

    front: Address
    ready_addr: Address


class LimitsTable(NodeModel):
    """Resource limits of the process."""

    max_fds: int = Field(default=1024, gt=0)


class BoundsTable(NodeModel):
    """Limits that the platform's rules set for the process.

    grace_s is the time between SIGTERM and the kill. In each quota window,
    customers may exceed their quota by the share quota_overage, plus
    quota_slack tokens.
    """

    grace_s: float = Field(default=8.0, gt=0)
    retry_ratio: float = Field(default=0.2, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    # Retries per window that all instances together may send in addition to
    # the ratio.
    retry_slack: float = Field(default=0.0, ge=0)
    quota_window_s: float = Field(default=8.0, gt=0)
    quota_overage: float = Field(default=0.0, ge=0)
    quota_slack: float = Field(default=0.0, ge=0)


class StoreTable(NodeModel):
    """Address of the platform's store."""

    addr: Address


class NodeFile(NodeModel):
    """Settings file of one process."""

    node_name: str
    zone: str
    region: str
    # Region of each failure domain.
    zones: dict[str, str] = {}
    listen: ListenTable
    limits: LimitsTable = LimitsTable()
    bounds: BoundsTable = BoundsTable()
    platform: StoreTable
    # First and last port for the processes of the scheduler. The first one
    # serves the metrics; the second one receives messages of peers.
    port_range: tuple[int, int]


def parse_node_file(text: str) -> EntrySettings:
    """Return the settings in a JSON text of the platform.

    Raises AzurewickError with code invalid_settings.
    """
    try:
        node = NodeFile.model_validate_json(text)
    except ValidationError as err:
        raise AzurewickError(
            ErrorCode.INVALID_SETTINGS,
            describe_validation_error(err),
            step=Step.SETTINGS,
        ) from err
    host = node.listen.front.rpartition(":")[0]
    first_port = node.port_range[0]
    bounds = node.bounds
    return EntrySettings(
        name=node.node_name,
        failure_domain=node.zone,
        region=node.region,
        regions=dict(node.zones),
        address=node.listen.front,
        ready_address=node.listen.ready_addr,
        metrics_address=f"{host}:{first_port}",
        peer_address=f"{host}:{first_port + 1}",
        store_address=node.platform.addr,
        max_connections=int(node.limits.max_fds * CALLER_CONNECTION_SHARE),
        grace_s=bounds.grace_s,
        retry_ratio=bounds.retry_ratio,
        retry_window_s=bounds.retry_window_s,
        retry_allowance=bounds.retry_slack,
        quota_window_s=bounds.quota_window_s,
        quota_overage=bounds.quota_overage,
        quota_allowance=bounds.quota_slack,
    )


def load_node_file(path: Path) -> EntrySettings:
    """Return the settings in a settings file of the platform.

    Raises AzurewickError with code invalid_settings.
    """
    return parse_node_file(read_settings_file(path))


class NodeSettingsFile:
    """SettingsFile in the platform's format."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def load(self) -> EntrySettings:
        """Return the settings.

        Raises AzurewickError with code invalid_settings.
        """
        return load_node_file(self.path)
