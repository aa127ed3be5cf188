"""Agent: dispatcher, health of the backend server and load report."""

from __future__ import annotations

from asyncio import create_task
from asyncio import Task
from collections.abc import Callable
from logging import getLogger
from uuid import uuid4

from aiohttp import ClientError

from azurewick.admission.dispatch_window import DispatchWindow
from azurewick.agent.backend import BackendClient
from azurewick.agent.dispatcher import Dispatcher
from azurewick.agent.health import BackendHealth
from azurewick.agent.health import Crash
from azurewick.agent.http_api import DispatchApi
from azurewick.agent.interfaces import ConcurrencyLimit
from azurewick.agent.interfaces import CrashListener
from azurewick.agent.interfaces import Floor
from azurewick.agent.interfaces import RequestQueue
from azurewick.agent.ledger import DispatchLedger
from azurewick.agent.metrics import AgentMetrics
from azurewick.agent.orders import AgentOrder
from azurewick.agent.rates import ServerRates
from azurewick.errors import AzurewickError
from azurewick.errors import Outcome
from azurewick.helpers.clock import monotonic_s
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.models import PoolKind
from azurewick.settings.models import AgentSettings

_LOGGER = getLogger(__name__)


class Agent:
    """Components of an agent, without its network listeners.

    It is the BackendMonitor of its dispatch API: the connections to the
    backend server tell it when the server has crashed.
    """

    def __init__(
        self,
        settings: AgentSettings,
        *,
        queue: RequestQueue,
        floor: Floor,
        limit: ConcurrencyLimit,
        window: DispatchWindow | None = None,
        crash_listener: CrashListener | None = None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self.settings = settings
        self.metrics = AgentMetrics()
        self._clock = clock
        self._crash_listener = crash_listener
        self._health = BackendHealth()
        self._probe_task: Task[None] | None = None
        self.backend = BackendClient(
            settings.backend_url, has_cancel=settings.kind == "model"
        )
        self.dispatcher = Dispatcher(
            name=settings.name,
            incarnation=uuid4().hex,
            queue=queue,
            floor=floor,
            limit=limit,
            ledger=DispatchLedger(),
            rates=ServerRates(),
            clock=clock,
            window=window or DispatchWindow(),
            is_model=PoolKind(settings.kind) is PoolKind.MODEL,
        )
        self.api = DispatchApi(
            self.dispatcher, self.backend, self, self.build_load_report, clock
        )

    def build_load_report(self) -> LoadReport:
        """Return the current load of the backend server and the queue."""
        dispatcher = self.dispatcher
        return LoadReport(
            backend_server=self.settings.name,
            incarnation=dispatcher.incarnation,
            version=self.settings.version,
            running=dispatcher.running,
            queued=dispatcher.queued,
            queued_work_s=dispatcher.queued_work_s,
            batch_limit=dispatcher.limit.limit,
            prefill_tokens_per_s=dispatcher.rates.prefill_tokens_per_s,
            decode_tokens_per_s=dispatcher.rates.decode_tokens_per_s(
                dispatcher.limit.limit
            ),
            floor_tier=dispatcher.floor.current(self._clock()),
            draining=dispatcher.state.draining,
        )

    async def async_probe(self) -> None:
        """Probe the backend server once and update its health."""
        try:
            self._health.record_probe(await self.backend.async_probe())
        except AzurewickError as err:
            if err.outcome is Outcome.NOT_RUN:
                self._report_crash(
                    self._health.record_refused_connection(self._clock()),
                    "refused",
                )
            else:
                self._health.record_probe(False)
        except (ClientError, TimeoutError):
            self._health.record_probe(False)
        self._update_health()

    def tick(self) -> None:
        """Dispatch what an expired floor allows again; update the metrics."""
        self.dispatcher.dispatch_queued()
        self.metrics.record_load(self.build_load_report())

    def set_draining(self, draining: bool) -> None:
        """Start or end the drain, in which new requests are refused."""
        if draining != self.dispatcher.state.draining:
            _LOGGER.info(
                "agent %s %s",
                self.settings.name,
                "drains" if draining else "resumes",
            )
        self.dispatcher.set_draining(draining)

    async def async_execute_order(self, order: AgentOrder) -> None:
        """Execute an order whose signature and fencing number are valid.

        Raises AzurewickError when the engine refuses the order.
        """
        if order.action == "drain":
            self.set_draining(True)
        elif order.action == "resume":
            self.set_draining(False)
        else:
            await self.backend.async_order(order)

    def record_start(self, offer: Offer) -> None:
        """Record that a request is sent to the backend server."""
        self._health.record_start(offer.request_id, offer.fingerprint)

    def record_end(self, offer: Offer) -> None:
        """Record that a request ended without a broken connection."""
        self._health.record_end(offer.request_id)

    def record_broken_connection(self, offer: Offer) -> None:
        """Record that the backend server broke a connection."""
        crash = self._health.record_broken_connection(
            offer.request_id, self._clock()
        )
        self._report_crash(crash, "all connections broke")
        if crash is not None and self._probe_task is None:
            # The periodic probe may be a second away; until it runs,
            # requests would be sent to a server that is down.
            self._probe_task = create_task(self._async_probe_immediately())

    def record_refused_connection(self, offer: Offer) -> None:
        """Record that the backend server refused a connection."""
        # No byte of this request was written, so it can't have caused the
        # crash.
        self._health.record_end(offer.request_id)
        crash = self._health.record_refused_connection(self._clock())
        self._report_crash(crash, "refused a connection")
        self._update_health()

    def is_poison(self, fingerprint: str) -> bool:
        """Return whether requests with the fingerprint are refused."""
        if self._crash_listener is None:
            return False
        return self._crash_listener.is_poison(fingerprint, self._clock())

    def record_outcome(self, tier: int, code: str) -> None:
        """Count the end of a request in the metrics."""
        self.metrics.record_outcome(tier, code)

    async def _async_probe_immediately(self) -> None:
        try:
            await self.async_probe()
        finally:
            self._probe_task = None

    def _report_crash(self, crash: Crash | None, reason: str) -> None:
        if crash is None:
            return
        self.metrics.record_crash()
        _LOGGER.warning(
            "backend server of agent %s crashed (%s),"
            " %d request fingerprints in flight",
            self.settings.name,
            reason,
            len(crash.fingerprints),
        )
        if self._crash_listener is not None:
            self._crash_listener.record_crash(
                self.settings.name,
                f"{self.dispatcher.incarnation}/{crash.number}",
                crash.fingerprints,
                self._clock(),
            )

    def _update_health(self) -> None:
        healthy = self._health.is_healthy
        if healthy == self.dispatcher.state.healthy:
            return
        _LOGGER.info(
            "backend server of agent %s is %s",
            self.settings.name,
            "healthy" if healthy else "not healthy",
        )
        self.dispatcher.set_healthy(healthy)
