"""Data classes that several packages use."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum


class PoolKind(StrEnum):
    """Kind of the backend servers in a pool: model engine or service."""

    MODEL = "model"
    SERVICE = "service"


class InstanceState(StrEnum):
    """State of an instance in the platform's list of instances."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True, slots=True)
class ClassTarget:
    """Latency target of a request class; None sets no target.

    first_token_s is the time to the first token, inter_token_s the time
    between two tokens and completion_s the time to the whole response.
    """

    first_token_s: float | None = None
    inter_token_s: float | None = None
    completion_s: float | None = None

    @property
    def start_budget_s(self) -> float | None:
        """Return the target for the first token, else for the completion."""
        if self.first_token_s is not None:
            return self.first_token_s
        return self.completion_s


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestClass:
    """Requests with the same pool, tier and latency target.

    Requests that are not repeatable must not run twice. version is the one
    that serves the class before its first version move; None allows all
    versions in the pool.
    """

    name: str
    pool: str
    tier: int
    target: ClassTarget
    repeatable: bool = True
    version: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Customer:
    """Customer with the request classes it may use and its rate limit.

    key_hashes are the SHA-256 hashes of its API keys.
    """

    name: str
    key_hashes: frozenset[str]
    classes: frozenset[str]
    rate_limit_per_s: float
    burst_requests: float


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """Backend server and its agent.

    address and control_address are "IP:port" of the agent's HTTP port and
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
    """Gateway; control_address is "IP:port" of its control port."""

    name: str
    control_address: str
    failure_domain: str
    region: str
    state: InstanceState = InstanceState.LIVE


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load of a backend server as reported by its agent.

    age_s is the age of the report when it was sent. queued_work_s is the
    estimated time to run the queued requests at the measured token rates.
    floor_tier is the lowest tier that the agent dispatches.
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

    budget_s is the time left, when the offer is sent, until the latency
    target of the request class is missed; None sets no deadline. The target
    is that for the first token, or for the whole response if
    is_completion_budget is set. inter_token_s is the target for the time
    between two tokens. incarnation identifies the run of the agent process
    that the offer is meant for; it is empty when not yet known.
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
    # Prompt tokens that the gateway expects in the prefix cache of the chosen
    # backend server.
    expected_cached_tokens: int = 0
