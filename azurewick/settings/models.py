"""Validated settings of the daemons."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import StringConstraints

from azurewick.const import MAX_BODY_BYTES
from azurewick.const import SYNC_INTERVAL_S

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[
    str,
    StringConstraints(
        pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$"
    ),
]
HttpUrl = Annotated[
    str, StringConstraints(pattern=r"^https?://[^/\s]+$", max_length=200)
]


class SettingsModel(BaseModel):
    """Base of the settings models; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class OrderKey(SettingsModel):
    """Key that signs orders to agents; key_id allows key rotation."""

    key_id: Name
    secret: Annotated[str, StringConstraints(min_length=32)]


class StoreSettings(SettingsModel):
    """URL, time-out and rate limits of the platform's object API."""

    url: HttpUrl
    request_timeout_s: float = Field(default=2.0, gt=0, le=60)
    calls_per_s: float = Field(default=5.0, gt=0, le=1000)
    burst_calls: float = Field(default=20.0, ge=1, le=1000)
    # A gateway that writes a shard of claims needs about 27 writes per second
    # at the peak. At most as many gateways as there are shards use this rate.
    claim_calls_per_s: float = Field(default=60.0, gt=0, le=1000)


class NodeSettings(SettingsModel):
    """Settings that gateways and agents share."""

    name: Name
    region: Name
    failure_domain: Name
    address: Address
    control_address: Address
    metrics_address: Address | None = None
    store: StoreSettings
    peers: tuple[Address, ...] = Field(
        default=(),
        description="control addresses of gateways to ask at the start",
    )
    order_keys: tuple[OrderKey, ...] = ()
    sync_interval_s: float = Field(default=SYNC_INTERVAL_S, gt=0, le=60)
    drain_delay_s: float = Field(default=0.0, ge=0, le=300)
    drain_timeout_s: float = Field(default=300.0, gt=0, le=3600)
    log_format: Literal["text", "json"] = "text"
    log_level: Literal["debug", "info", "warning", "error"] = "info"


class GatewaySettings(NodeSettings):
    """Settings of a gateway."""

    role: Literal["gateway"]
    max_body_bytes: int = Field(default=MAX_BODY_BYTES, ge=1024)
    max_connections: int = Field(default=20_000, ge=1)
    header_timeout_s: float = Field(default=5.0, gt=0, le=60)


class AgentSettings(NodeSettings):
    """Settings of an agent."""

    role: Literal["agent"]
    pool: Name
    kind: Literal["model", "service"]
    version: Name
    backend_url: HttpUrl
    max_batch: int = Field(default=64, ge=1, le=4096)
    initial_batch: int = Field(default=8, ge=1, le=4096)
    max_queue: int = Field(default=256, ge=1, le=100_000)
    engine_checks_fencing: bool = False


DaemonSettings = Annotated[
    GatewaySettings | AgentSettings, Field(discriminator="role")
]
