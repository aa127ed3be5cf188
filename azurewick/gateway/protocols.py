"""Interfaces of the packages that the gateway is composed of."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any
from typing import Protocol

from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimDecision
from azurewick.configuration.snapshot import ConfigurationSnapshot
from azurewick.models import BackendServer
from azurewick.models import Customer
from azurewick.models import GatewayInstance
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.routing.models import OfferResult


class ClusterState(Protocol):
    """View of the configuration and of the live instances."""

    @property
    def snapshot(self) -> ConfigurationSnapshot | None:
        """Return the configuration in force, None before the first one."""

    @property
    def moves(self) -> tuple[dict[str, Any], ...]:
        """Return the version move objects as stored."""

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration and instances are known."""

    def backend_servers(
        self, pool: str, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return the servers of a pool without the leaving ones."""

    def gateways(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return the live gateways."""

    def record_failure(self, name: str, now_s: float) -> None:
        """Count a connection to an agent that could not be opened."""

    def record_success(self, name: str, now_s: float) -> None:
        """Note that an agent answered."""

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Take a load report from an agent's response."""

    def async_add_listener(
        self, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a listener after each change; return its removal."""

    def async_add_load_listener(
        self, listener: Callable[[LoadReport], None]
    ) -> None:
        """Call a listener with each load report that arrives."""

    async def async_start(self) -> None:
        """Start to follow the cluster."""

    async def async_stop(self) -> None:
        """Stop to follow the cluster."""


class OutputPredictor(Protocol):
    """Expected length of answers."""

    def predict(self, customer: str, request_class: str) -> int:
        """Return the expected output tokens."""

    def record(
        self, customer: str, request_class: str, output_tokens: int
    ) -> None:
        """Learn from a finished request."""


class CustomerLimiter(Protocol):
    """Rate limit of the customers."""

    def take(self, customer: Customer, now_s: float) -> float | None:
        """Return None, or the seconds until a new try may pass."""


class RetryBudget(Protocol):
    """Limit of the retries in relation to the requests."""

    def record_request(self, now_s: float) -> None:
        """Count a request."""

    def try_retry(self, now_s: float) -> bool:
        """Count a retry if one is allowed; return whether it is."""


class FloorRound(Protocol):
    """One confirmation of an admission floor by the agents of a pool."""

    def record_ack(self, agent: str, now_s: float) -> None:
        """Note that an agent has set the floor."""

    def record_unreachable(self, agent: str, now_s: float) -> None:
        """Note that an agent did not answer."""

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether no agent may dispatch below the floor."""


class ClaimCoordinator(Protocol):
    """Claims of non-repeatable requests; now_s is wall-clock time."""

    async def async_claim(
        self, key: str, fingerprint: str, now_s: float
    ) -> ClaimDecision:
        """Claim a key; raises store_unavailable with outcome not_run."""

    async def async_complete(
        self, key: str, answer: Answer, now_s: float
    ) -> None:
        """Store the answer of an own claim."""

    async def async_release(self, key: str, now_s: float) -> None:
        """Free an own claim whose request was not run."""

    async def async_wait(self, key: str, timeout_s: float) -> ClaimDecision:
        """Wait until a claim of another owner is no longer in progress."""


class VersionSelector(Protocol):
    """Choice of the version that a request gets during a rollout."""

    def choose(
        self, offer: Offer, versions: Collection[str], now_s: float
    ) -> str | None:
        """Return a version, None for any."""

    def choose_fallback(
        self, offer: Offer, refused: str, versions: Collection[str]
    ) -> str | None:
        """Return the version that may take what another one refused."""

    def choose_servers(
        self, request_class: str, version: str, names: Iterable[str]
    ) -> frozenset[str]:
        """Return the servers of a version that get requests of a class."""

    def record_result(
        self,
        offer: Offer,
        version: str,
        result: OfferResult,
        now_s: float,
        *,
        backend_server: str = "",
        route: str = "",
    ) -> None:
        """Note how an offer to a version ended."""


class PoisonDetector(Protocol):
    """Requests that crash backend servers."""

    def record_crash(
        self,
        source: str,
        incarnation: str,
        fingerprints: Collection[str],
        now_s: float,
    ) -> None:
        """Note the fingerprints in flight at a crash."""

    def record_success(self, fingerprint: str) -> None:
        """Clear the suspicion of a fingerprint that finished."""

    def crash_count(self, fingerprint: str, now_s: float) -> int:
        """Return the crashes of a fingerprint that are not forgotten."""

    def is_poison(self, fingerprint: str, now_s: float) -> bool:
        """Return whether to refuse a fingerprint."""

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a fingerprint was in flight at a crash."""


class BackgroundService(Protocol):
    """Service that lives as long as the gateway."""

    async def async_start(self) -> None:
        """Start the service."""

    async def async_stop(self) -> None:
        """Stop the service."""
