"""Data classes of the entry instance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from multidict import CIMultiDictProxy

from azurewick.entry.routes import RouteTable


class RouteKind(StrEnum):
    """Kind of the requests of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class MoveState(StrEnum):
    """State of a version move."""

    IN_PROGRESS = "in_progress"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True, kw_only=True, slots=True)
class WeightedService:
    """Service of a route with its share of the route's requests."""

    name: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Requests of one host and path prefix.

    target_s is the time within which an answer earns its full value and
    event_gap_s the longest pause between the events of a stream. tier 0 is
    the highest.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    tier: int = 0
    target_s: float = 1.0
    timeout_s: float | None = None
    event_gap_s: float | None = None
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answers are streams of events."""
        return self.kind is RouteKind.STREAM

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Backend servers that serve the same requests.

    tokens_per_event is what one event of a model engine's stream holds.
    """

    name: str
    tokens_per_event: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class CustomerQuota:
    """Customer with the quota over all entry instances; rate 0 is none.

    Rate and burst count tokens if counts_tokens is set, else requests.
    """

    name: str
    tier: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Limits on what a caller may send."""

    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetConfiguration:
    """Configuration of one version; a larger version is newer."""

    version: int
    routes: RouteTable[Route]
    services: Mapping[str, Service]
    customers: Mapping[str, CustomerQuota]
    customer_by_key: Mapping[str, CustomerQuota]
    limits: RequestLimits = RequestLimits()


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendEntry:
    """Backend server as the platform lists it.

    is_engine says that it runs a model in batches of its slots.
    started_ms is the time of its start in milliseconds since the epoch; a
    server may start again under the name that it had.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    is_draining: bool = False
    is_engine: bool = False
    started_ms: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionMove:
    """Order to move a service to a version within a time.

    revision is that of the stored order, for conditional writes.
    """

    service: str
    target_version: str
    duration_s: float
    state: MoveState | None
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may share."""

    name: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """Caller's request without its body.

    target is the path with its query as sent. deadline_s is how long the
    caller waits from received_s on. input_tokens is None when the caller
    doesn't say.
    """

    request_id: str
    method: str
    target: str
    path: str
    host: str
    headers: CIMultiDictProxy[str]
    received_s: float
    deadline_s: float | None = None
    api_key: str | None = None
    input_tokens: int | None = None
    output_tokens: int = 0
    expected_output_tokens: int | None = None
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendCall:
    """One dispatch of a request to a backend server."""

    request: CallerRequest
    body: bytes
    customer: str
    backend_name: str
    address: str
    time_left_s: float | None
    last_event_id: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Head of a backend server's answer.

    is_rejection says that the server states not to have run the request;
    is_foreign that the answer belongs to another request.
    """

    status: int
    is_rejection: bool = False
    is_foreign: bool = False
    is_signed: bool = False
    is_encoded: bool = False
    content_length: int | None = None
    headers: tuple[tuple[str, str], ...] = field(default=())

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300
