"""Settings of an entry instance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Addresses, limits and bounds of one entry instance.

    Addresses are "IP:port"; other entry instances send datagrams to
    peer_address. regions maps failure domains to regions. The
    allowances hold for all entry instances together.
    """

    name: str
    failure_domain: str
    region: str
    address: str
    ready_address: str
    peer_address: str
    store_address: str
    regions: Mapping[str, str] = field(default_factory=dict)
    metrics_address: str | None = None
    max_connections: int = 600
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_allowance: float = 0.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.0
    quota_allowance: float = 0.0
