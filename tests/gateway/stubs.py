"""Stub components with which a gateway starts in tests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimDecision
from azurewick.configuration.snapshot import ConfigurationSnapshot
from azurewick.const import PERMIT_DURATION_S
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.agent_client import AgentClient
from azurewick.gateway.metrics import GatewayMetrics
from azurewick.gateway.shedding import FloorConfirmer
from azurewick.gateway.shedding import GrpcFloorClient
from azurewick.gateway.wiring import BackgroundTasks
from azurewick.gateway.wiring import GatewayComponents
from azurewick.models import BackendServer
from azurewick.models import Customer
from azurewick.models import GatewayInstance
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.poison.detector import PoisonDetector as CrashDetector
from azurewick.routing.baselines import LeastOutstandingRouter
from azurewick.routing.models import OfferResult
from azurewick.settings.models import GatewaySettings


def build_components(settings: GatewaySettings) -> GatewayComponents:
    """Return stub components of a gateway with these settings."""
    cluster = EmptyCluster()
    return GatewayComponents(
        settings=settings,
        cluster=cluster,
        agents=AgentClient(),
        floor_confirmer=FloorConfirmer(
            cluster, GrpcFloorClient(settings.name), AllAgentsRound
        ),
        claims=RefusingClaims(),
        limiter=UnlimitedCustomers(),
        poison=CrashDetector(),
        versions=AnyVersion(),
        predictor=FixedPredictor(),
        metrics=GatewayMetrics(),
        background=BackgroundTasks(),
        create_router=DeterministicLeastOutstandingRouter,
        create_retry_budget=WindowRetryBudget,
        hash_prefix=lambda body: (),
    )


class EmptyCluster:
    """Cluster state without a configuration, so the gateway isn't ready."""

    snapshot: ConfigurationSnapshot | None = None
    moves: tuple[dict[str, Any], ...] = ()
    is_ready = False

    def backend_servers(
        self, pool: str, now_s: float
    ) -> tuple[BackendServer, ...]:
        """Return no server."""
        return ()

    def gateways(self, now_s: float) -> tuple[GatewayInstance, ...]:
        """Return no gateway."""
        return ()

    def record_failure(self, name: str, now_s: float) -> None:
        """Ignore a failure."""

    def record_success(self, name: str, now_s: float) -> None:
        """Ignore a success."""

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Ignore a load report."""

    def async_add_listener(
        self, listener: Callable[[], None]
    ) -> Callable[[], None]:
        """Ignore a listener: nothing changes."""
        return lambda: None

    def async_add_load_listener(
        self, listener: Callable[[LoadReport], None]
    ) -> None:
        """Ignore a listener: no report arrives."""

    async def async_start(self) -> None:
        """Start nothing."""

    async def async_stop(self) -> None:
        """Stop nothing."""


class RefusingClaims:
    """Claims without a store, so non-repeatable requests are refused."""

    async def async_claim(
        self, key: str, fingerprint: str, now_s: float
    ) -> ClaimDecision:
        """Refuse the claim."""
        raise AzurewickError(
            ErrorCode.STORE_UNAVAILABLE,
            "this gateway has no store for claims",
            step=Step.CLAIM,
        )

    async def async_complete(
        self, key: str, answer: Answer, now_s: float
    ) -> None:
        """Do nothing: no claim was granted."""

    async def async_release(self, key: str, now_s: float) -> None:
        """Do nothing: no claim was granted."""

    async def async_wait(self, key: str, timeout_s: float) -> ClaimDecision:
        """Refuse the claim."""
        return await self.async_claim(key, "", 0.0)


class UnlimitedCustomers:
    """Customer limiter without a limit."""

    def take(self, customer: Customer, now_s: float) -> float | None:
        """Let the request pass."""
        return None


class AnyVersion:
    """Version selector without a rollout."""

    def choose(
        self, offer: Offer, versions: Collection[str], now_s: float
    ) -> str | None:
        """Return None for any version."""
        return None

    def choose_fallback(
        self, offer: Offer, refused: str, versions: Collection[str]
    ) -> str | None:
        """Return None: there is no fallback version."""
        return None

    def choose_servers(
        self, request_class: str, version: str, names: Iterable[str]
    ) -> frozenset[str]:
        """Return all servers."""
        return frozenset(names)

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
        """Ignore a result."""


class FixedPredictor:
    """Output predictor that always returns the same length."""

    def predict(self, customer: str, request_class: str) -> int:
        """Return a typical answer length in tokens."""
        return 256

    def record(
        self, customer: str, request_class: str, output_tokens: int
    ) -> None:
        """Ignore a length."""


class WindowRetryBudget:
    """Allows 10% more offers than requests, plus 10, over 10 s."""

    WINDOW_S = 10.0
    EXTRA_SHARE = 0.1
    EXTRA_OFFERS = 10

    def __init__(self) -> None:
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a request."""
        self._requests.append(now_s)
        self._remove_old(now_s)

    def try_retry(self, now_s: float) -> bool:
        """Count a retry if the budget allows one; return whether it does."""
        self._remove_old(now_s)
        allowed = self.EXTRA_OFFERS + self.EXTRA_SHARE * len(self._requests)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now_s)
        return True

    def _remove_old(self, now_s: float) -> None:
        for times in (self._requests, self._retries):
            while times and now_s - times[0] > self.WINDOW_S:
                times.popleft()


class AllAgentsRound:
    """Floor round that needs each agent to acknowledge or lose its permit.

    An agent counts as without a permit once it has been unreachable for
    longer than the permit's duration.
    """

    def __init__(self, agents: Sequence[str], now_s: float) -> None:
        self._waiting = set(agents)
        self._unreachable_since: dict[str, float] = {}

    def record_ack(self, agent: str, now_s: float) -> None:
        """Record that an agent has set the floor."""
        self._waiting.discard(agent)

    def record_unreachable(self, agent: str, now_s: float) -> None:
        """Record that a call to an agent failed."""
        self._unreachable_since.setdefault(agent, now_s)

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether no agent can dispatch tiers below the floor."""
        return all(
            agent in self._unreachable_since
            and now_s - self._unreachable_since[agent] > PERMIT_DURATION_S
            for agent in self._waiting
        )


class DeterministicLeastOutstandingRouter(LeastOutstandingRouter):
    """Least-outstanding router that breaks ties by the lowest name.

    Tests can then predict its choice.
    """

    def _pick(self, names: list[str]) -> str:
        return min(names, key=lambda name: self._outstanding[name])
