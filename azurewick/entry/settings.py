"""Settings of an entry instance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Addresses and limits of one entry instance.

    Addresses are "IP:port"; other entry instances send datagrams to
    peer_address. link_mbit_per_s is the bandwidth of the instance's own link.
    regions maps failure domains to regions. body_memory_bytes
    is the memory that the bodies of requests may take together. grace_s is
    the time between SIGTERM and the platform's kill. The limits of retries
    and the tolerance of quotas hold for all entry instances together: in each
    window, retries may reach retry_ratio of the requests and retry_allowance
    more, and usage may exceed a quota by the fraction quota_overage of it and
    by quota_allowance tokens. A version that is being moved to may get the
    fraction exposure_share of its service's requests since the order, and
    exposure_allowance more. In any second, all instances together may send a
    cold server cold_overage times the rate that it takes, and cold_allowance
    requests more. follows_evacuations is set where operators may order that
    a failure domain's servers get no requests. With learns_capacity the limit
    of concurrent requests of each server is learned from its latencies, and
    with learns_engine_times the times of each service's engines.
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
    link_mbit_per_s: float = 100.0
    max_connections: int = 600
    body_memory_bytes: int = 67_108_864
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_allowance: float = 0.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.0
    quota_allowance: float = 0.0
    exposure_share: float = 0.1
    exposure_allowance: float = 50.0
    cold_overage: float = 1.0
    cold_allowance: float = 0.0
    follows_evacuations: bool = False
    learns_capacity: bool = False
    learns_engine_times: bool = False
