"""Conversion of the platform's JSON documents into data classes."""

from __future__ import annotations

from typing import Annotated
from typing import Literal
from typing import TypeVar

from msgspec import Meta
from msgspec import Struct

from azurewick.entry.models import BackendEntry
from azurewick.entry.models import CustomerQuota
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.models import MoveState
from azurewick.entry.models import RequestLimits
from azurewick.entry.models import Route
from azurewick.entry.models import RouteKind
from azurewick.entry.models import Service
from azurewick.entry.models import VersionMove
from azurewick.entry.models import WeightedService
from azurewick.entry.routes import RouteTable
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.helpers.address import is_address
from azurewick.helpers.validation import InvalidDataError
from azurewick.helpers.validation import shorten
from azurewick.helpers.validation import validate
from azurewick.store.protocols import StoredObject

_Wire = TypeVar("_Wire", bound=Struct)

# Numbers in text may also be infinite; JSON can't hold such ones.
MAX_NUMBER = 1e12
MAX_DURATION_MS = 1e9
# Largest integer that every reader of JSON keeps.
MAX_INTEGER = 2**53 - 1
Amount = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
DurationMs = Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)]
Integer = Annotated[int, Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
# The value of a request is a power of its tier, which has to fit a float.
Tier = Annotated[int, Meta(ge=-100, le=100)]
Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]

STATE_DRAINING = "draining"
# A server that claims more slots would get nearly all requests of its service.
MAX_SLOTS = 10_000


class SplitWire(Struct, frozen=True):
    """Service that gets a share of a route's requests, by weight."""

    service: str
    weight: Amount


class RouteWire(Struct, frozen=True, kw_only=True):
    """Route of the configuration."""

    name: str = ""
    host: str
    path_prefix: str
    type: RouteKind
    service: str | None = None
    split: tuple[SplitWire, ...] = ()
    # Tier of the route's requests; 0 is the highest.
    priority: Tier = 0
    # Response time up to which a response counts with its full value.
    goal_ms: DurationMs = 1000.0
    timeout_ms: DurationMs | None = None
    # Maximum time between two events of a stream. An event may hold several
    # tokens.
    itl_target_ms: DurationMs | None = None
    attempts: Integer = 1
    public: bool = False
    # Set on routes whose requests contain a prompt; doesn't request session
    # affinity.
    sticky: bool = False
    resumable: bool = False
    home_regions: tuple[str, ...] = ()


class EngineWire(Struct, frozen=True, kw_only=True):
    """Model engine of a service's backend servers."""

    slots: Count
    # Capacity of one engine's KV cache in tokens.
    kv_capacity: Count
    # Number of tokens in one event of a stream.
    stride: Annotated[int, Meta(ge=1, le=MAX_INTEGER)] = 1


class ServiceWire(Struct, frozen=True, kw_only=True):
    """Service of the configuration."""

    name: str
    health_path: str = "/healthz"
    # Maximum number of connections to one backend server, from all clients
    # together.
    max_conns: Count = 100
    engine: EngineWire | None = None
    # How long a server is cold after its start, and the rate of requests that
    # it takes then.
    cold_s: Annotated[float, Meta(ge=0, le=MAX_DURATION_MS / 1000)] = 0.0
    cold_per_s: Amount = 0.0


class TenantWire(Struct, frozen=True, kw_only=True):
    """Customer of the configuration."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: Tier | None = None
    # Unit of rate_per_s and burst: token_count for tokens, else requests.
    unit: str = ""
    default_tokens: Count = 0
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0
    home_regions: tuple[str, ...] = ()


class LimitsWire(Struct, frozen=True, kw_only=True):
    """Limits on the requests of callers."""

    max_header_bytes: Count = 16_384
    max_body_bytes: Count = 4_194_304
    header_timeout_ms: DurationMs = 3000.0
    idle_timeout_ms: DurationMs = 15_000.0


class ConfigurationWire(Struct, frozen=True, kw_only=True):
    """Configuration document."""

    version: Count
    routes: tuple[RouteWire, ...] = ()
    services: tuple[ServiceWire, ...] = ()
    tenants: tuple[TenantWire, ...] = ()
    limits: LimitsWire = LimitsWire()


class ServerWire(Struct, frozen=True, kw_only=True):
    """Document that describes a backend server."""

    service: str
    addr: Annotated[
        str, Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}\Z")
    ]
    zone: str
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Only model engines have a phase.
    phase: str | None = None
    # Start time of the server in milliseconds since the epoch.
    born: Count = 0
    # How much longer the server was cold when the document was written.
    cold_left_ms: DurationMs = 0.0


class RolloutWire(Struct, frozen=True, kw_only=True):
    """Order to move a service to a target version within duration_s."""

    service: str
    target: str
    duration_s: Annotated[float, Meta(gt=0, le=MAX_DURATION_MS / 1000)]


def decode_configuration(item: StoredObject) -> FleetConfiguration:
    """Return the configuration that an object holds.

    Raises AzurewickError with code invalid_configuration.
    """
    wire = _validate(ConfigurationWire, item)
    customers = {
        tenant.name: _build_customer(tenant) for tenant in wire.tenants
    }
    return FleetConfiguration(
        version=wire.version,
        routes=RouteTable([_build_route(route) for route in wire.routes]),
        services={
            service.name: _build_service(service) for service in wire.services
        },
        customers=customers,
        customer_by_key={
            key: customers[tenant.name]
            for tenant in wire.tenants
            for key in tenant.api_keys
        },
        limits=RequestLimits(
            max_head_bytes=wire.limits.max_header_bytes,
            max_body_bytes=wire.limits.max_body_bytes,
            idle_timeout_s=wire.limits.idle_timeout_ms / 1000,
        ),
    )


def decode_server(item: StoredObject) -> BackendEntry:
    """Return the backend server that an object describes.

    Raises AzurewickError with code invalid_configuration when the object
    doesn't describe a usable server; other writers may store such objects.
    """
    # Other writers may store entries with fields of another type.
    wire = _validate(ServerWire, item, strict=True)
    if not is_address(wire.addr):
        raise _invalid(item, f"addr: no valid address {shorten(wire.addr)}")
    return BackendEntry(
        name=item.name,
        service=wire.service,
        address=wire.addr,
        failure_domain=wire.zone,
        version=wire.version,
        slots=wire.slots,
        is_draining=wire.state == STATE_DRAINING,
        is_engine=wire.phase is not None,
        started_ms=wire.born,
        revision=item.version,
        cold_left_s=wire.cold_left_ms / 1000,
    )


def decode_rollout(item: StoredObject) -> VersionMove:
    """Return the version move that an object orders.

    Raises AzurewickError with code invalid_configuration.
    """
    wire = _validate(RolloutWire, item)
    state = item.status.get("state")
    # A status with another target was written for an earlier order.
    is_current = item.status.get("target", wire.target) == wire.target
    return VersionMove(
        service=wire.service,
        target_version=wire.target,
        duration_s=wire.duration_s,
        state=(
            MoveState(state)
            if is_current and state in tuple(MoveState)
            else None
        ),
        revision=item.version,
    )


def _build_route(wire: RouteWire) -> Route:
    services = tuple(
        WeightedService(name=part.service, weight=part.weight)
        for part in wire.split
    )
    if not services and wire.service is not None:
        services = (WeightedService(name=wire.service, weight=1.0),)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        kind=wire.type,
        services=services,
        tier=wire.priority,
        target_s=wire.goal_ms / 1000,
        timeout_s=None if not wire.timeout_ms else wire.timeout_ms / 1000,
        event_gap_s=(
            None if not wire.itl_target_ms else wire.itl_target_ms / 1000
        ),
        max_attempts=max(1, wire.attempts),
        is_public=wire.public,
        is_resumable=wire.resumable,
        has_prompt=wire.sticky,
        home_regions=frozenset(wire.home_regions),
    )


def _build_service(wire: ServiceWire) -> Service:
    engine = wire.engine
    return Service(
        name=wire.name,
        tokens_per_event=1 if engine is None else engine.stride,
        memory_tokens=0 if engine is None else engine.kv_capacity,
        cold_s=wire.cold_s,
        cold_per_s=wire.cold_per_s,
    )


def _build_customer(wire: TenantWire) -> CustomerQuota:
    return CustomerQuota(
        name=wire.name,
        tier=wire.priority,
        rate_per_s=wire.rate_per_s,
        burst=wire.burst,
        counts_tokens=wire.unit == "token_count",
        default_tokens=wire.default_tokens,
        home_regions=frozenset(wire.home_regions),
    )


def _validate(
    model: type[_Wire], item: StoredObject, *, strict: bool = False
) -> _Wire:
    try:
        return validate(model, item.spec, strict=strict)
    except InvalidDataError as err:
        raise _invalid(item, str(err)) from err


def _invalid(item: StoredObject, message: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.INVALID_CONFIGURATION,
        message,
        step=Step.CONFIGURE,
        peer=f"{item.plural}/{item.name}",
    )
