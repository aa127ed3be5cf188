"""The agent: its parts, the backend server's health and the load report."""

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
    """Agent without its listeners; also the monitor of the streams."""

    def __init__(
        self,
        settings: AgentSettings,
        *,
        queue: RequestQueue,
        floor: Floor,
        limit: ConcurrencyLimit,
        window: DispatchWindow | None = None,
        crashes: CrashListener | None = None,
        clock: Callable[[], float] = monotonic_s,
    ) -> None:
        self.settings = settings
        self.metrics = AgentMetrics()
        self._clock = clock
        self._listener = crashes
        self._health = BackendHealth()
        self._probe: Task[None] | None = None
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
            self.dispatcher, self.backend, self, self.report, clock
        )

    def report(self) -> LoadReport:
        """Return the present load."""
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
        """Probe the backend server once and take its health."""
        try:
            self._health.record_probe(await self.backend.async_probe())
        except AzurewickError as err:
            if err.outcome is Outcome.NOT_RUN:
                self._take_crash(
                    self._health.record_refused(self._clock()), "refused"
                )
            else:
                self._health.record_probe(False)
        except (ClientError, TimeoutError):
            self._health.record_probe(False)
        self._take_health()

    def tick(self) -> None:
        """Dispatch what an expired floor has held back; update metrics."""
        self.dispatcher.pump()
        self.metrics.record_load(self.report())

    def set_draining(self, draining: bool) -> None:
        """Start or end the drain."""
        if draining != self.dispatcher.state.draining:
            _LOGGER.info(
                "%s %s",
                self.settings.name,
                "drains" if draining else "resumes",
            )
        self.dispatcher.set_draining(draining)

    async def async_obey(self, order: AgentOrder) -> None:
        """Carry out an order that was checked."""
        if order.action == "drain":
            self.set_draining(True)
        elif order.action == "resume":
            self.set_draining(False)
        else:
            await self.backend.async_order(order)

    def record_start(self, offer: Offer) -> None:
        """Record that a request goes to the backend server."""
        self._health.record_start(offer.request_id, offer.fingerprint)

    def record_end(self, offer: Offer) -> None:
        """Record that a request ended without a broken connection."""
        self._health.record_end(offer.request_id)

    def record_broken(self, offer: Offer) -> None:
        """Record a connection that the backend server broke."""
        crash = self._health.record_broken(offer.request_id, self._clock())
        self._take_crash(crash, "all streams broke")
        if crash is not None and self._probe is None:
            # The next probe may be a second away; a request sent before it
            # would meet a server that is down.
            self._probe = create_task(self._async_probe_now())

    def record_refused(self, offer: Offer) -> None:
        """Record a connection that the backend server refused."""
        # No byte of this request was written, so it is no suspect.
        self._health.record_end(offer.request_id)
        crash = self._health.record_refused(self._clock())
        self._take_crash(crash, "refused a connection")
        self._take_health()

    def is_poison(self, fingerprint: str) -> bool:
        """Return whether a fingerprint has to be refused."""
        if self._listener is None:
            return False
        return self._listener.is_poison(fingerprint, self._clock())

    def record_outcome(self, tier: int, code: str) -> None:
        """Count the end of a request."""
        self.metrics.record_outcome(tier, code)

    async def _async_probe_now(self) -> None:
        try:
            await self.async_probe()
        finally:
            self._probe = None

    def _take_crash(self, crash: Crash | None, reason: str) -> None:
        if crash is None:
            return
        self.metrics.record_crash()
        _LOGGER.warning(
            "backend server of %s crashed (%s), %d fingerprints in flight",
            self.settings.name,
            reason,
            len(crash.fingerprints),
        )
        if self._listener is not None:
            self._listener.record_crash(
                self.settings.name,
                f"{self.dispatcher.incarnation}/{crash.run}",
                crash.fingerprints,
                self._clock(),
            )

    def _take_health(self) -> None:
        healthy = self._health.is_healthy
        if healthy == self.dispatcher.state.healthy:
            return
        _LOGGER.info(
            "backend server of %s is %s",
            self.settings.name,
            "healthy" if healthy else "not healthy",
        )
        self.dispatcher.set_healthy(healthy)
