"""Composition root of the gateway daemon: builds its components."""

from __future__ import annotations

from collections.abc import Sequence
from math import inf

from xxhash import xxh64_intdigest

from azurewick.admission.customer_limit import CustomerLimiter
from azurewick.admission.floor import FloorRound
from azurewick.admission.retry_budget import RetryBudget
from azurewick.claims.coordinator import ClaimCoordinator
from azurewick.claims.remote import ClaimWriterApi
from azurewick.claims.remote import GrpcClaimForwarder
from azurewick.const import HIGHEST_TIER
from azurewick.gateway.agent_client import AgentClient
from azurewick.gateway.metrics import GatewayMetrics
from azurewick.gateway.rollouts import RolloutService
from azurewick.gateway.shedding import FloorConfirmer
from azurewick.gateway.shedding import GrpcFloorClient
from azurewick.gateway.wiring import BackgroundTasks
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.membership.coordinator import ClusterState
from azurewick.poison.detector import PoisonDetector
from azurewick.rollout.decisions import VersionSelector
from azurewick.routing.affinity import prefix_hashes
from azurewick.routing.estimator import OutputLengthPredictor
from azurewick.routing.selector import LeastCostRouter
from azurewick.settings.models import GatewaySettings
from azurewick.store.client import ObjectApiClient
from azurewick.store.factory import open_store


def build_gateway(settings: GatewaySettings) -> GatewayComponents:
    """Build the components of a gateway from its settings."""
    store = open_store(settings.store)
    cluster = ClusterState(settings, store, monotonic_s)
    incarnation = cluster.incarnation
    claims_store = open_store(settings.store, settings.store.claim_calls_per_s)
    claims = ClaimCoordinator(
        claims_store,
        f"{settings.name}/{incarnation}",
        forwarder=GrpcClaimForwarder(
            settings.name, cluster.gateways, monotonic_s
        ),
    )
    cluster.add_service(ClaimWriterApi(claims))
    poison = PoisonDetector()
    versions = VersionSelector(
        settings.name, incarnation, is_suspect=poison.is_suspect
    )
    return GatewayComponents(
        settings=settings,
        cluster=cluster,
        agents=AgentClient(),
        floor_confirmer=FloorConfirmer(
            cluster, GrpcFloorClient(settings.name), build_floor_round
        ),
        claims=claims,
        limiter=CustomerLimiter(),
        poison=poison,
        versions=versions,
        predictor=OutputLengthPredictor(),
        metrics=GatewayMetrics(),
        background=BackgroundTasks(),
        create_router=lambda: LeastCostRouter(
            xxh64_intdigest(settings.name.encode()),
            settings.region,
            settings.failure_domain,
        ),
        create_retry_budget=RetryBudget,
        hash_prefix=prefix_hashes,
        services=(
            StoreShutdownService(store),
            ClaimShutdownService(claims, claims_store),
            RolloutService(cluster, store, versions, poison, settings.name),
        ),
    )


class ClaimShutdownService:
    """Service that writes pending claim results before the gateway exits."""

    def __init__(
        self, claims: ClaimCoordinator, store: ObjectApiClient
    ) -> None:
        self._claims = claims
        self._store = store

    async def async_start(self) -> None:
        """Do nothing: claims need no startup."""

    async def async_stop(self) -> None:
        """Write the pending claim results, then close the connections."""
        await self._claims.async_stop()
        await self._store.async_close()


class StoreShutdownService:
    """Service that closes the store connections at shutdown."""

    def __init__(self, store: ObjectApiClient) -> None:
        self._store = store

    async def async_start(self) -> None:
        """Do nothing: the client connects on its first call."""

    async def async_stop(self) -> None:
        """Close the connections to the store."""
        await self._store.async_close()


def build_floor_round(agents: Sequence[str], now_s: float) -> FloorRound:
    """Return a round that collects acknowledgements of an admission floor.

    FloorConfirmer renews the floors and checks their age itself, so the
    round has no expiry of its own. now_s is monotonic time.
    """
    return FloorRound(
        agents, floor_tier=HIGHEST_TIER, started_s=now_s, floor_duration_s=inf
    )
