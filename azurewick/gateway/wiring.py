"""Components that a gateway is built from."""

from __future__ import annotations

from asyncio import create_task
from asyncio import gather
from asyncio import Task
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from azurewick.gateway.agent_client import AgentClient
from azurewick.gateway.metrics import GatewayMetrics
from azurewick.gateway.protocols import BackgroundService
from azurewick.gateway.protocols import ClaimCoordinator
from azurewick.gateway.protocols import ClusterState
from azurewick.gateway.protocols import CustomerLimiter
from azurewick.gateway.protocols import OutputPredictor
from azurewick.gateway.protocols import PoisonDetector
from azurewick.gateway.protocols import RetryBudget
from azurewick.gateway.protocols import VersionSelector
from azurewick.gateway.shedding import FloorConfirmer
from azurewick.routing.models import Router
from azurewick.settings.models import GatewaySettings


class BackgroundTasks:
    """Tasks that may outlive the request that started them."""

    def __init__(self) -> None:
        self._tasks: set[Task[Any]] = set()

    def create_task(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine as a task; a reference is kept until it ends."""
        task = create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def async_wait_idle(self) -> None:
        """Wait until the tasks running at the call have ended."""
        await gather(*self._tasks, return_exceptions=True)


@dataclass(kw_only=True, slots=True)
class GatewayComponents:
    """Components of a gateway.

    create_router and create_retry_budget are called once for each pool.
    """

    settings: GatewaySettings
    cluster: ClusterState
    agents: AgentClient
    floor_confirmer: FloorConfirmer
    claims: ClaimCoordinator
    limiter: CustomerLimiter
    poison: PoisonDetector
    versions: VersionSelector
    predictor: OutputPredictor
    metrics: GatewayMetrics
    background: BackgroundTasks
    create_router: Callable[[], Router]
    create_retry_budget: Callable[[], RetryBudget]
    hash_prefix: Callable[[bytes], tuple[str, ...]]
    services: tuple[BackgroundService, ...] = ()
