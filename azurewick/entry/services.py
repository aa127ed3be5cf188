"""Pools of the services that an entry instance dispatches to."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random

from azurewick.admission.retry_budget import RetryBudget
from azurewick.entry.backend_client import BackendClient
from azurewick.entry.backends import Backend
from azurewick.entry.dispatcher import Dispatcher
from azurewick.entry.exchange import ExchangeParts
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import MoveState
from azurewick.entry.models import Route
from azurewick.entry.patience import CallerPatience
from azurewick.entry.peers import PeerView
from azurewick.entry.placement import LeastLoadPlacement
from azurewick.entry.protocols import WireProtocol
from azurewick.entry.settings import EntrySettings
from azurewick.entry.state import FleetState
from azurewick.entry.work import WorkEstimator
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# Part of the shared retry budget that instances use together; the rest
# covers their different windows.
RETRY_SAFETY = 0.7


class ServicePools:
    """One dispatcher and one retry budget a service."""

    def __init__(
        self,
        *,
        settings: EntrySettings,
        state: FleetState,
        client: BackendClient,
        protocol: WireProtocol,
        peers: PeerView,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._settings = settings
        self._state = state
        self._client = client
        self._protocol = protocol
        self._clock = clock
        self._random = random
        self._work = WorkEstimator()
        self._patience = CallerPatience()
        self._parts: dict[str, ExchangeParts] = {}
        self.placement = LeastLoadPlacement(
            failure_domain=settings.failure_domain,
            regions=settings.regions,
            random=random,
            peers=peers,
        )
        self._peers = peers
        state.on_change.append(self.fill)

    def parts_of(self, service: str) -> ExchangeParts:
        """Return the parts of the exchanges with a service."""
        parts = self._parts.get(service)
        if parts is None:
            parts = self._build(service)
            self._parts[service] = parts
        return parts

    def choose_service(self, route: Route) -> str:
        """Return the service of a request by the weights of its route.

        Raises AzurewickError when the route has no service.
        """
        total = sum(one.weight for one in route.services)
        if total <= 0:
            raise AzurewickError(
                ErrorCode.OVERLOADED,
                "route has no service",
                step=Step.SELECT,
                retry_after_s=1.0,
            )
        point = self._random.random() * total
        for one in route.services:
            point -= one.weight
            if point < 0:
                return one.name
        return route.services[-1].name

    def apply_settings(self, settings: EntrySettings) -> None:
        """Use new bounds of the repeats from now on."""
        self._settings = settings
        for parts in self._parts.values():
            parts.retries = self._build_retries()

    def share_budgets(self) -> None:
        """Split the shared retry budgets by the number of instances now."""
        for parts in self._parts.values():
            parts.retries.allowance = self._retry_allowance()

    def longest_run_s(self, route: Route, request: CallerRequest) -> float:
        """Return how long a request may run at the slowest server."""
        slowdowns = [
            backend.slowdown
            for service in route.services
            for backend in self._candidates(service.name)
        ]
        slowdown = max(slowdowns, default=1.0)
        return self._work.longest_s(route, request) * slowdown

    def fill(self) -> None:
        """Give free slots to waiting requests."""
        for parts in self._parts.values():
            parts.dispatcher.fill()

    def _build_retries(self) -> RetryBudget:
        settings = self._settings
        return RetryBudget(
            window_s=settings.retry_window_s,
            ratio=settings.retry_ratio * RETRY_SAFETY,
            allowance=self._retry_allowance(),
        )

    def _retry_allowance(self) -> float:
        total = self._settings.retry_allowance * RETRY_SAFETY
        return total / self._peers.count

    def _build(self, service: str) -> ExchangeParts:
        return ExchangeParts(
            client=self._client,
            protocol=self._protocol,
            dispatcher=Dispatcher(
                partial(self._candidates, service),
                self.placement,
                self._peers.demand,
                self._clock,
            ),
            retries=self._build_retries(),
            work=self._work,
            patience=self._patience,
            tokens_per_event=partial(self._tokens_per_event, service),
            clock=self._clock,
        )

    def _tokens_per_event(self, service: str) -> int:
        configuration = self._state.configuration
        known = configuration and configuration.services.get(service)
        return known.tokens_per_event if known else 1

    def _candidates(self, service: str) -> list[Backend]:
        servers = self._state.servers_of(service)
        move = self._state.moves.get(service)
        if move is None:
            return servers
        if move.state is MoveState.COMPLETE:
            return [
                one
                for one in servers
                if one.entry.version == move.target_version
            ]
        return [
            one for one in servers if one.entry.version != move.target_version
        ]
