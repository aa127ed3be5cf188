"""Dispatchers and retry budgets of the services."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from azurewick.admission.retry_budget import RetryBudget
from azurewick.entry.backend_client import BackendClient
from azurewick.entry.backends import Backend
from azurewick.entry.crash_guard import CrashGuard
from azurewick.entry.dispatcher import Dispatcher
from azurewick.entry.dispatcher import SlotDispatcher
from azurewick.entry.exchange import ExchangeParts
from azurewick.entry.grant_dispatcher import GrantDispatcher
from azurewick.entry.home_regions import HomeRefusal
from azurewick.entry.home_regions import HomeRegions
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import Route
from azurewick.entry.peers import PeerView
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.protocols import WireProtocol
from azurewick.entry.request_age import RequestAgeEstimator
from azurewick.entry.request_queue import Demand
from azurewick.entry.send_limits import SendLimits
from azurewick.entry.server_learning import ServerLearning
from azurewick.entry.settings import EntrySettings
from azurewick.entry.slot_grants import SlotGrants
from azurewick.entry.state import FleetState
from azurewick.entry.state import SOURCE_SERVER
from azurewick.entry.version_moves import VersionMoves
from azurewick.entry.work import WorkEstimator
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# Fraction of the shared retry budget that instances use together. The rest
# covers that their windows don't coincide.
RETRY_BUDGET_FRACTION = 0.7


class ServicePools:
    """One dispatcher and one retry budget per service."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        state: FleetState,
        client: BackendClient,
        protocol: WireProtocol,
        peers: PeerView,
        crash_guard: CrashGuard,
        moves: VersionMoves,
        send_limits: SendLimits,
        learning: ServerLearning,
        clock: Callable[[], float],
        random: Random,
        on_home_refusal: Callable[
            [frozenset[str], HomeRefusal], None
        ] = lambda regions, reason: None,
    ) -> None:
        self._settings = settings
        self._state = state
        self._client = client
        self._protocol = protocol
        self._clock = clock
        self._random = random
        self._work_estimator = WorkEstimator(
            lambda service: learning.timings(service, clock())
        )
        self._request_ages = RequestAgeEstimator()
        self._parts: dict[str, ExchangeParts] = {}
        self.placement = LeastLoadPlacement(
            failure_domain=settings.failure_domain,
            regions=settings.regions,
            random=random,
            peers=peers,
            send_limits=send_limits,
            capacity=learning.capacity,
        )
        self._send_limits = send_limits
        self._learning = learning
        # Without it, each instance uses its own shares.
        self.grants: SlotGrants | None = None
        self._peers = peers
        self._crash_guard = crash_guard
        self._moves = moves
        self.home_regions = HomeRegions(
            configuration=lambda: state.configuration,
            regions=lambda: self._settings.regions,
            servers_of=state.servers_of,
            on_refusal=on_home_refusal,
        )
        state.on_change.append(self.dispatch_waiting)

    def exchange_parts(self, service: str) -> ExchangeParts:
        """Return what exchanges with a service use; build it if needed."""
        parts = self._parts.get(service)
        if parts is None:
            parts = self._build(service)
            self._parts[service] = parts
        return parts

    def choose_service(self, route: Route) -> str:
        """Choose a service at random by the weights of the route.

        Raises AzurewickError when no service of the route has a weight.
        """
        total = sum(service.weight for service in route.services)
        if total <= 0:
            raise AzurewickError(
                ErrorCode.OVERLOADED,
                "no service of the route has a weight above 0",
                step=Step.SELECT,
                retry_after_s=1.0,
            )
        point = self._random.random() * total
        for service in route.services:
            point -= service.weight
            if point < 0:
                return service.name
        return route.services[-1].name

    def apply_settings(self, settings: EntrySettings) -> None:
        """Apply new settings; each service gets a new retry budget."""
        self._settings = settings
        for parts in self._parts.values():
            parts.retry_budget = self._build_retry_budget()

    def split_retry_budgets(self) -> None:
        """Split the retry allowances by the current number of instances."""
        for parts in self._parts.values():
            parts.retry_budget.allowance = self._retry_allowance()

    def max_run_s(self, route: Route, request: CallerRequest) -> float:
        """Return how long a request may run at the slowest server."""
        return max(
            (
                backend.slowdown
                * self._work_estimator.max_work_s(route, request, service.name)
                for service in route.services
                for backend in self._moves.serving(service.name)
            ),
            default=self._work_estimator.max_work_s(route, request),
        )

    def dispatch_waiting(self) -> None:
        """Dispatch waiting requests to free slots."""
        for parts in self._parts.values():
            parts.dispatcher.assign_slots()

    def _build_retry_budget(self) -> RetryBudget:
        settings = self._settings
        return RetryBudget(
            window_s=settings.retry_window_s,
            ratio=settings.retry_ratio * RETRY_BUDGET_FRACTION,
            allowance=self._retry_allowance(),
        )

    def _retry_allowance(self) -> float:
        total = self._settings.retry_allowance * RETRY_BUDGET_FRACTION
        return total / self._peers.instance_count

    def _build(self, service: str) -> ExchangeParts:
        return ExchangeParts(
            service=service,
            client=self._client,
            protocol=self._protocol,
            dispatcher=self._build_dispatcher(service),
            retry_budget=self._build_retry_budget(),
            work_estimator=self._work_estimator,
            request_ages=self._request_ages,
            crash_guard=self._crash_guard,
            moves=self._moves,
            learning=self._learning,
            tokens_per_event=partial(self._tokens_per_event, service),
            record_departure=partial(
                self._state.record_departure, source=SOURCE_SERVER
            ),
            servers_age_s=lambda: self._state.servers_age_s,
            clock=self._clock,
            send_limits=self._send_limits,
        )

    def _build_dispatcher(self, service: str) -> SlotDispatcher:
        local = Dispatcher(
            partial(self._candidates, service),
            self.placement,
            self._peers.demand,
            self._clock,
        )
        if self.grants is None:
            return local
        return GrantDispatcher(
            service, local, self.grants, self._peers.demand, self._clock
        )

    def _tokens_per_event(self, service: str) -> int:
        configuration = self._state.configuration
        known = configuration and configuration.services.get(service)
        return known.tokens_per_event if known else 1

    def _candidates(self, service: str, demand: Demand) -> list[Backend]:
        servers = self._moves.serving(
            service, on_new_version=demand.on_new_version
        )
        home_regions = demand.current_home_regions()
        if home_regions is None:
            return servers
        found = self.home_regions.select(servers, home_regions)
        now_s = self._clock()
        if demand.on_new_version and not any(
            server.is_available(now_s) for server in found
        ):
            # The new version may run in other regions only.
            return self.home_regions.select(
                self._moves.serving(service), home_regions
            )
        return found
