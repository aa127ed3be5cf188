"""Data classes of the entry instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from multidict import CIMultiDictProxy

from azurewick.entry.request_body import RequestBody
from azurewick.entry.routes import RouteTable

# Time limit of a request when neither its caller nor its route sets one.
DEFAULT_TIMEOUT_S = 60.0


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
    """Service of a route; its share of the requests is its weight."""

    name: str
    weight: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Properties of the requests of one host and path prefix.

    target_s is the time to the first output, or to the answer of a plain
    service, within which a request has its full value. event_gap_s is the
    longest pause between two events of a stream. tier 0 is the highest.
    home_regions are the only regions whose servers may get the requests; any
    may if it is empty.
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
    home_regions: frozenset[str] = frozenset()

    @property
    def is_stream(self) -> bool:
        """Return whether the answers are streams of events."""
        return self.kind is RouteKind.STREAM

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT

    def limit_s(self, request: CallerRequest) -> float:
        """Return the time after its receipt at which a request is ended."""
        limits = (request.deadline_s, self.timeout_s)
        return min(
            (limit for limit in limits if limit is not None),
            default=DEFAULT_TIMEOUT_S,
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class Service:
    """Group of backend servers that serve the same requests.

    tokens_per_event is the number of output tokens in one event of a model
    engine's stream, and memory_tokens the capacity of one engine's KV cache, 0
    if it isn't known. A server that has just started is cold for about cold_s
    and then takes cold_per_s requests a second; the service has no cold
    servers if that is 0.
    """

    name: str
    tokens_per_event: int = 1
    memory_tokens: int = 0
    cold_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CustomerQuota:
    """Customer and its quota, which all entry instances share.

    Rate and burst count tokens if counts_tokens is set, else requests. A
    rate of 0 means no quota. tier replaces the route's tier unless it is
    None. default_tokens is the cost of a request that states no token count.
    home_regions bind the customer's requests as those of a route do.
    """

    name: str
    tier: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_tokens: int = 0
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestLimits:
    """Limits on what a caller may send."""

    max_head_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetConfiguration:
    """Configuration of the fleet; a larger version is newer."""

    version: int
    routes: RouteTable[Route]
    services: Mapping[str, Service]
    customers: Mapping[str, CustomerQuota]
    customer_by_key: Mapping[str, CustomerQuota]
    limits: RequestLimits = RequestLimits()


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendEntry:
    """Backend server as the platform lists it.

    slots is the number of requests that it runs at the same time. is_engine
    is set for a model engine, which runs them in a batch. started_ms is the
    time of its start in milliseconds since the epoch; it tells apart
    restarts of a server under the same name. revision is the store's
    revision at the last change of the entry, and cold_left_s how much longer
    the server was cold then.
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
    # Not compared: a change of these alone is no change of the server.
    revision: int = field(default=0, compare=False)
    cold_left_s: float = field(default=0.0, compare=False)

    @property
    def run_name(self) -> str:
        """Return the name of this run; a restarted server may keep its own."""
        return f"{self.name}/{self.started_ms}"


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionMove:
    """Request to move a service to a version within a time.

    revision is that of the stored object, for conditional writes.
    """

    service: str
    target_version: str
    duration_s: float
    state: MoveState | None
    revision: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PromptPart:
    """Part of a prompt that other requests may have in common."""

    name: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerRequest:
    """Caller's request without its body.

    target is the path with the query, as sent. deadline_s is how long the
    caller waits, counted from received_s. input_tokens is None when the
    request doesn't state it. output_tokens is the maximum length of the
    answer.
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
    """Attempt to run a request at a backend server.

    is_wanted tells, once the connection is established, whether the server
    still accepts the request.
    """

    request: CallerRequest
    body: RequestBody | None
    customer: str
    backend_name: str
    address: str
    time_left_s: float | None
    last_event_id: str | None = None
    is_wanted: Callable[[], bool] = field(default=lambda: True)


@dataclass(frozen=True, kw_only=True, slots=True)
class AnswerHead:
    """Status and headers of a backend server's answer.

    is_rejection is set when the server states that it hasn't run the
    request, is_other_server when it also is not the one that was addressed,
    has_other_request_id when the answer carries the id of another
    request, is_server_leaving when the server says that it stops, is_signed
    when it has a signature header, and is_encoded when it has a content
    encoding. retry_after_s is the time for which the server wants no
    requests, if it states one with its refusal. status_line is the first
    line as it was received, and identity has the names, in lower case, and
    values of the header fields that no answer to another request has.
    """

    status: int
    is_rejection: bool = False
    is_other_server: bool = False
    has_other_request_id: bool = False
    is_server_leaving: bool = False
    retry_after_s: float | None = None
    is_signed: bool = False
    is_encoded: bool = False
    content_length: int | None = None
    headers: tuple[tuple[str, str], ...] = field(default=())
    status_line: bytes = b""
    identity: frozenset[tuple[bytes, bytes]] = frozenset()

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300
