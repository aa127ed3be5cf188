"""Data classes shared by the packages."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class PoolKind(StrEnum):
    """Kind of the backend servers of a pool."""

    MODEL = "model"
    SERVICE = "service"


class InstanceState(StrEnum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassTarget:
    """Target of a request class; None leaves a part open."""

    first_token_s: float | None = None
    inter_token_s: float | None = None
    completion_s: float | None = None

    @property
    def start_budget_s(self) -> float | None:
        """Return the time within which the answer has to start or end."""
        if self.first_token_s is not None:
            return self.first_token_s
        return self.completion_s


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestClass:
    """Class of requests with one pool, tier and target.

    version serves the class before its first version move; None allows all
    versions of the pool.
    """

    name: str
    pool: str
    tier: int
    target: ClassTarget
    repeatable: bool = True
    version: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Customer:
    """Customer with its API keys, kept as SHA-256 hashes, and limits."""

    name: str
    key_hashes: frozenset[str]
    classes: frozenset[str]
    rate_limit_per_s: float
    burst_requests: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """Backend server with the addresses of the agent beside it.

    address is "IP:port" of the agent's HTTP port and control_address that
    of its control port.
    """

    name: str
    pool: str
    kind: PoolKind
    address: str
    control_address: str
    failure_domain: str
    region: str
    version: str
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayInstance:
    """Gateway with its control address, "IP:port"."""

    name: str
    control_address: str
    failure_domain: str
    region: str
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load of a backend server as its agent saw it.

    age_s is the age of the report when it was sent. queued_work_s is the
    time that the queued requests need at the learned rates, and floor_tier
    the lowest tier that the agent dispatches.
    """

    backend_server: str
    incarnation: str
    version: str
    running: int = 0
    queued: int = 0
    queued_work_s: float = 0.0
    batch_limit: int = 1
    prefill_tokens_per_s: float = 0.0
    decode_tokens_per_s: float = 0.0
    floor_tier: int = 9
    draining: bool = False
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Offer:
    """Metadata of a request that a gateway offers to an agent.

    budget_s is the time left, at sending, until the class target is missed;
    None leaves the request without a deadline. The target is that of the
    first token, or of the whole answer if is_completion_budget is set;
    inter_token_s is the target between tokens. incarnation is that of the
    agent which the offer is meant for, empty when not yet known.
    """

    request_id: str
    customer: str
    request_class: str
    tier: int
    method: str
    path: str
    content_type: str = "application/json"
    budget_s: float | None = None
    is_completion_budget: bool = False
    inter_token_s: float | None = None
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    repeatable: bool = True
    fingerprint: str = ""
    claim_key: str = ""
    incarnation: str = ""
    prefix_hashes: tuple[str, ...] = field(default=())
    # Prompt tokens that the gateway expects in the chosen server's cache.
    expected_cached_tokens: int = 0
