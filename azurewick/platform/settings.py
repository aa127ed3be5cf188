"""Settings file that the platform provides to an entry instance."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import field
from msgspec import Meta
from msgspec import Struct
import orjson

from azurewick.entry.request_body import CUSTOMER_SHARE
from azurewick.entry.settings import EntrySettings
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.caller_memory import CallerLimits
from azurewick.helpers.caller_memory import UNREAD_ANSWER_S
from azurewick.helpers.listener import BACKLOG
from azurewick.helpers.validation import InvalidDataError
from azurewick.helpers.validation import validate
from azurewick.settings.files import read_settings_file

# Share of the file descriptors for callers' connections. The others are for
# connections to backend servers and the store, and for files.
CALLER_CONNECTION_SHARE = 0.6
# Share of the file descriptors for connections at the peers' address, and its
# least number.
PEER_CONNECTION_SHARE = 0.1
MIN_PEER_CONNECTIONS = 8
# Descriptors that callers' new connections leave to health checks, backend
# servers, the store and files. A listener accepts its whole backlog before
# the limit of connections is applied.
RESERVED_DESCRIPTORS = 50
MIN_BACKLOG = 16
# Share of the memory for the bodies of requests. The process itself, what is
# received and sent at the time, and what the allocator hasn't returned to the
# system come on top.
BODY_MEMORY_SHARE = 0.25
# Share of the memory for what callers' connections hold beside the bodies.
CALLER_MEMORY_SHARE = 0.1
BYTES_PER_MB = 1_048_576


# IP address and port.
Address = Annotated[
    str,
    Meta(
        pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-f:]+\]):[0-9]{1,5}\Z"
    ),
]
Amount = Annotated[float, Meta(ge=0, le=1e12)]
DurationS = Annotated[float, Meta(gt=0, le=1e6)]
Port = Annotated[int, Meta(ge=0, le=65_535)]


class ListenTable(Struct, frozen=True):
    """Addresses on which the process listens."""

    front: Address
    ready_addr: Address


class LimitsTable(Struct, frozen=True):
    """Resource limits of the process.

    caller_memory_share is the share of the memory for what callers'
    connections hold beside bodies, and body_customer_share the share of the
    bodies' memory that one of several customers may take; answers that stay
    unread for unread_answer_s are given up.
    """

    # Part of each core that the process may use.
    cpu_share: Annotated[float, Meta(gt=0, le=1e4)] = 1.0
    cores: Annotated[float, Meta(gt=0, le=1e4)] = 1.0
    max_fds: Annotated[int, Meta(gt=0, le=2**31)] = 1024
    memory_mb: Annotated[float, Meta(gt=0, le=2**31)] = 256.0
    link_mbps: Annotated[float, Meta(gt=0, le=1e9)] = 100.0
    caller_memory_share: Annotated[float, Meta(gt=0, le=0.5)] = (
        CALLER_MEMORY_SHARE
    )
    body_customer_share: Annotated[float, Meta(gt=0, le=1)] = CUSTOMER_SHARE
    unread_answer_s: Annotated[float, Meta(ge=1, le=3600)] = UNREAD_ANSWER_S


class BoundsTable(Struct, frozen=True):
    """Limits that the platform's rules set for the process.

    grace_s is the time between SIGTERM and the kill. In each quota window,
    customers may exceed their quota by the share quota_overage, plus
    quota_slack tokens.
    """

    grace_s: DurationS = 8.0
    retry_ratio: Amount = 0.2
    retry_window_s: DurationS = 10.0
    # Retries per window that all instances together may send in addition to
    # the ratio.
    retry_slack: Amount = 0.0
    quota_window_s: DurationS = 8.0
    quota_overage: Amount = 0.0
    quota_slack: Amount = 0.0
    # Share of a service's requests that a bad version may get, and the number
    # that it may get in addition.
    exposure_share: Amount = 0.1
    exposure_slack: Amount = 50.0
    # A cold server may get cold_overage times the rate that it takes, plus
    # cold_slack requests, in each second.
    cold_overage: Amount = 1.0
    cold_slack: Amount = 0.0
    # Time after which the servers of an evacuated failure domain get no more
    # requests. Missing where there are no evacuations.
    evacuate_ms: Amount | None = None


class LearningTable(Struct, frozen=True):
    """What instances learn from measurements, in place of fixed values."""

    learns_capacity: bool = False
    learns_engine_times: bool = False


class StoreTable(Struct, frozen=True):
    """Address of the platform's store."""

    addr: Address


class NodeFile(Struct, frozen=True, kw_only=True):
    """Settings file of one process."""

    node_name: str
    zone: str
    region: str
    # Region of each failure domain.
    zones: dict[str, str] = field(default_factory=dict)
    listen: ListenTable
    limits: LimitsTable = LimitsTable()
    bounds: BoundsTable = BoundsTable()
    learning: LearningTable = LearningTable()
    platform: StoreTable
    # First and last port for the processes of the scheduler. The first one
    # serves the metrics; the second one receives messages of peers.
    port_range: tuple[Port, Port]
    # Unset to compare with requests that are placed without a broker.
    uses_slot_grants: bool = True


def parse_node_file(text: str) -> EntrySettings:
    """Return the settings in a JSON text of the platform.

    Raises AzurewickError with code invalid_settings.
    """
    try:
        node = validate(NodeFile, orjson.loads(text), strict=False)
    except (InvalidDataError, orjson.JSONDecodeError) as err:
        raise AzurewickError(
            ErrorCode.INVALID_SETTINGS,
            str(err),
            step=Step.SETTINGS,
        ) from err
    host = node.listen.front.rpartition(":")[0]
    first_port = node.port_range[0]
    bounds = node.bounds
    max_fds = node.limits.max_fds
    max_connections = int(max_fds * CALLER_CONNECTION_SHARE)
    peer_connections = max(
        MIN_PEER_CONNECTIONS, int(max_fds * PEER_CONNECTION_SHARE)
    )
    left = max_fds - max_connections - peer_connections - RESERVED_DESCRIPTORS
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
        link_mbit_per_s=node.limits.link_mbps,
        processor_cores=node.limits.cpu_share * node.limits.cores,
        max_connections=max_connections,
        peer_connections=peer_connections,
        listen_backlog=max(MIN_BACKLOG, min(BACKLOG, left)),
        body_customer_share=node.limits.body_customer_share,
        caller_limits=CallerLimits(
            memory_bytes=int(
                node.limits.memory_mb
                * BYTES_PER_MB
                * node.limits.caller_memory_share
            ),
            unread_answer_s=node.limits.unread_answer_s,
        ),
        body_memory_bytes=int(
            node.limits.memory_mb * BYTES_PER_MB * BODY_MEMORY_SHARE
        ),
        grace_s=bounds.grace_s,
        retry_ratio=bounds.retry_ratio,
        retry_window_s=bounds.retry_window_s,
        retry_allowance=bounds.retry_slack,
        quota_window_s=bounds.quota_window_s,
        quota_overage=bounds.quota_overage,
        quota_allowance=bounds.quota_slack,
        exposure_share=bounds.exposure_share,
        exposure_allowance=bounds.exposure_slack,
        cold_overage=bounds.cold_overage,
        cold_allowance=bounds.cold_slack,
        follows_evacuations=bounds.evacuate_ms is not None,
        uses_slot_grants=node.uses_slot_grants,
        learns_capacity=node.learning.learns_capacity,
        learns_engine_times=node.learning.learns_engine_times,
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
