"""Interfaces of the packages that the gateway uses.

now_s is monotonic time in seconds unless a class says otherwise.
"""

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
    """Configuration and live instances, as this gateway knows them."""

    @property
    def snapshot(self) -> ConfigurationSnapshot | None:
        """Return the current configuration, or None before the first one."""

    @property
    def moves(self) -> tuple[dict[str, Any], ...]:
        """Return the version move objects as stored."""

    @property
    def is_ready(self) -> bool:
        """Return whether the gateway knows enough to accept requests."""

    def backend_servers(
        self, pool: str, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return the servers of a pool, except those shutting down."""

    def gateways(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return the live gateways."""

    def record_failure(self, name: str, now_s: float) -> None:
        """Record that a connection to an agent could not be opened."""

    def record_success(self, name: str, now_s: float) -> None:
        """Record that an agent responded."""

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Record a load report from an agent's response."""

    def async_add_listener(
        self, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Call a listener after each change.

        Returns a function that removes the listener.
        """

    def async_add_load_listener(
        self, listener: Callable[[LoadReport], None]
    ) -> None:
        """Call a listener with each load report that arrives."""

    async def async_start(self) -> None:
        """Start to watch the cluster."""

    async def async_stop(self) -> None:
        """Stop watching the cluster."""


class OutputPredictor(Protocol):
    """Predictor of the length of answers."""

    def predict(self, customer: str, request_class: str) -> int:
        """Return the expected number of output tokens."""

    def record(
        self, customer: str, request_class: str, output_tokens: int
    ) -> None:
        """Update the prediction from a finished request."""


class CustomerLimiter(Protocol):
    """Rate limiter of the customers."""

    def take(self, customer: Customer, now_s: float) -> float | None:
        """Count a request if its customer is within the rate limit.

        Returns None then, or else the seconds until a retry may pass.
        """


class RetryBudget(Protocol):
    """Limit of the retries as a share of the requests."""

    def record_request(self, now_s: float) -> None:
        """Count a request."""

    def try_retry(self, now_s: float) -> bool:
        """Count a retry if the budget allows one; return whether it does."""


class FloorRound(Protocol):
    """One confirmation of an admission floor by the agents of a pool.

    The admission floor is the lowest tier that agents may dispatch. An agent
    that neither a relay nor a gateway reaches loses its permit to dispatch
    lower tiers after a fixed time.
    """

    def record_ack(self, agent: str, now_s: float) -> None:
        """Record that an agent has set the floor."""

    def record_unreachable(self, agent: str, now_s: float) -> None:
        """Record that a call to an agent failed."""

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether no agent can dispatch tiers below the floor."""


class ClaimCoordinator(Protocol):
    """Claims of non-repeatable requests in the store.

    A claim gives one gateway the right to run the request of a key. now_s is
    wall-clock time.
    """

    async def async_claim(
        self, key: str, fingerprint: str, now_s: float
    ) -> ClaimDecision:
        """Claim a key; raises store_unavailable with outcome not_run."""

    async def async_complete(
        self, key: str, answer: Answer, now_s: float
    ) -> None:
        """Store the answer of a key that this gateway has claimed."""

    async def async_release(self, key: str, now_s: float) -> None:
        """Release a key of this gateway whose request was not run."""

    async def async_wait(self, key: str, timeout_s: float) -> ClaimDecision:
        """Wait until another gateway's claim is no longer in progress."""


class VersionSelector(Protocol):
    """Selector of the version that serves a request during a rollout."""

    def choose(
        self, offer: Offer, versions: Collection[str], now_s: float
    ) -> str | None:
        """Return the version for an offer, or None to allow any version."""

    def choose_fallback(
        self, offer: Offer, refused: str, versions: Collection[str]
    ) -> str | None:
        """Return the version to try after another one has refused."""

    def choose_servers(
        self, request_class: str, version: str, names: Iterable[str]
    ) -> frozenset[str]:
        """Return the servers of a version that may serve a class."""

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
        """Record how an offer to a server of a version ended."""


class PoisonDetector(Protocol):
    """Detector of requests that crash backend servers.

    A fingerprint is a digest of a request's class and content.
    """

    def record_crash(
        self,
        source: str,
        incarnation: str,
        fingerprints: Collection[str],
        now_s: float,
    ) -> None:
        """Record the fingerprints that were in flight at a crash."""

    def record_success(self, fingerprint: str) -> None:
        """Clear the crashes of a fingerprint whose request finished."""

    def crash_count(self, fingerprint: str, now_s: float) -> int:
        """Return the number of recent crashes of a fingerprint."""

    def is_poison(self, fingerprint: str, now_s: float) -> bool:
        """Return whether to refuse requests with a fingerprint."""

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a fingerprint was in flight at a recent crash."""


class BackgroundService(Protocol):
    """Service that runs as long as the gateway."""

    async def async_start(self) -> None:
        """Start the service."""

    async def async_stop(self) -> None:
        """Stop the service."""
