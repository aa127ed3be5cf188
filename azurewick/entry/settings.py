"""Settings of an entry instance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from azurewick.helpers.caller_memory import CallerLimits


@dataclass(frozen=True, kw_only=True, slots=True)
class EntrySettings:
    """Addresses and limits of one entry instance.

    Addresses are "IP:port"; other entry instances send datagrams to
    peer_address. link_mbit_per_s is the bandwidth of the instance's own link,
    and processor_cores what it may use of the processor, in cores.
    regions maps failure domains to regions. body_memory_bytes is the memory
    that the bodies of requests may take together, and body_customer_share the
    share of it for one customer; caller_limits bound what callers' connections
    hold beside them. peer_connections is the largest number of connections at
    peer_address, and listen_backlog that of callers' connections that are
    accepted at once. grace_s is
    the time between SIGTERM and the platform's kill. The limits of retries
    and the tolerance of quotas hold for all entry instances together: in each
    window, retries may reach retry_ratio of the requests and retry_allowance
    more, and usage may exceed a quota by the fraction quota_overage of it and
    by quota_allowance tokens. A version that is being moved to may get the
    fraction exposure_share of its service's requests since the order, and
    exposure_allowance more. In any second, all instances together may send a
    cold server cold_overage times the rate that it takes, and cold_allowance
    requests more. follows_evacuations is set where operators may order that
    a failure domain's servers get no requests. uses_slot_grants is unset to
    place requests by the instance's own shares instead of a broker's grants.
    With learns_capacity the limit of concurrent requests of each server is
    learned from its latencies, and with learns_engine_times the times of each
    service's engines.
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
    processor_cores: float = 1.0
    max_connections: int = 600
    body_memory_bytes: int = 67_108_864
    body_customer_share: float = 0.8
    caller_limits: CallerLimits = CallerLimits()
    peer_connections: int = 400
    listen_backlog: int = 1024
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
    uses_slot_grants: bool = True
    learns_capacity: bool = False
    learns_engine_times: bool = False
