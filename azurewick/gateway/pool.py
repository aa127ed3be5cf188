"""State of one pool in a gateway: router, retry budget and suspects."""

from __future__ import annotations

from asyncio import Event
from asyncio import timeout
from dataclasses import replace

from aiohttp import ClientResponse

from azurewick.admission.retry_budget import build_late_budget
from azurewick.admission.retry_budget import RetryBudget
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.agent_client import parse_load
from azurewick.gateway.context import RequestContext
from azurewick.gateway.refusals import refuse_poison
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.models import RequestClass
from azurewick.poison.placement import SuspectPlacement
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

# A suspect without a target waits this long for its server.
SUSPECT_WAIT_S = 30.0
# English and Spanish texts have about four bytes per token.
BYTES_PER_TOKEN = 4


class PoolState:
    """Chooses servers for the requests of one pool."""

    def __init__(self, name: str, components: GatewayComponents) -> None:
        self.name = name
        self.router = components.create_router()
        self.retry_budget = components.create_retry_budget()
        self.reports: dict[str, LoadReport] = {}
        self._reported_s: dict[str, float] = {}
        self._components = components
        self._servers: dict[str, BackendServer] = {}
        self._placement = SuspectPlacement()
        self._late_budgets: dict[int, RetryBudget] = {}
        self._suspect_ended = Event()
        components.cluster.async_add_load_listener(self._take_report)

    def _take_report(self, report: LoadReport) -> None:
        """Take a report that came through a relay or a probe.

        It may be older than the last one, and of a former incarnation.
        """
        name = report.backend_server
        if self.reports.get(name) is report:
            return
        now_s = monotonic_s()
        reported_s = now_s - report.age_s
        if name not in self._servers:
            return
        if reported_s < self._reported_s.get(name, reported_s):
            return
        self._reported_s[name] = reported_s
        self.reports[name] = report
        self.router.record_report(report, now_s)

    def refresh(self, now_s: float) -> None:
        """Take the live servers from the cluster state."""
        servers = self._components.cluster.backend_servers(self.name, now_s)
        current = {server.name: server for server in servers}
        if current == self._servers:
            return
        self._servers = current
        self.reports = {
            name: report
            for name, report in self.reports.items()
            if name in current
        }
        self._reported_s = {
            name: reported_s
            for name, reported_s in self._reported_s.items()
            if name in current
        }
        self.router.update_servers(servers)
        self._components.floor.observe_servers(self.name, servers)

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """Return the servers that get new work."""
        return tuple(self._servers.values())

    @property
    def _versions(self) -> set[str]:
        return {server.version for server in self._servers.values()}

    async def async_choose(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> BackendServer | AzurewickError:
        """Return the server for the next offer, or why there is none."""
        now_s = monotonic_s()
        self.refresh(now_s)
        detector = self._components.poison
        if detector.is_suspect(context.fingerprint, now_s):
            return await self._async_choose_for_suspect(context, excluded)
        if _is_expired(context, now_s):
            return _missed_target()
        offer = self.build_offer(context, "")
        name = self._choose_server(
            offer, context.request_class, excluded, now_s
        )
        if name is None or name not in self._servers:
            return _no_server()
        self._placement.start(context.fingerprint, context.request_id, name)
        return self._servers[name]

    def _choose_server(
        self,
        offer: Offer,
        request_class: RequestClass,
        excluded: frozenset[str],
        now_s: float,
    ) -> str | None:
        versions = self._versions
        version = self._choose_version(offer, request_class, versions, now_s)
        name = self._choose_server_of(offer, version, excluded, now_s)
        if name is not None or version is None or not excluded:
            return name
        # All servers of the version have refused. A refusal must not raise
        # the share of a version under test, so only the old one may follow.
        other = self._components.versions.choose_fallback(
            offer, version, versions
        )
        if other is None:
            return None
        return self._choose_server_of(offer, other, excluded, now_s)

    def _choose_version(
        self,
        offer: Offer,
        request_class: RequestClass,
        versions: set[str],
        now_s: float,
    ) -> str | None:
        version = self._components.versions.choose(offer, versions, now_s)
        # Without a move the class stays on its configured version, also when
        # no server of it is left: another one was not asked for.
        return request_class.version if version is None else version

    def _find_open_servers(
        self, offer: Offer, version: str | None
    ) -> frozenset[str]:
        """Return the servers that a version uses for a class."""
        names = frozenset(
            server.name
            for server in self._servers.values()
            if version in (None, server.version)
        )
        if version is None:
            return names
        return self._components.versions.choose_servers(
            offer.request_class, version, names
        )

    def _choose_server_of(
        self,
        offer: Offer,
        version: str | None,
        excluded: frozenset[str],
        now_s: float,
    ) -> str | None:
        excluded |= self._servers.keys() - self._find_open_servers(
            offer, version
        )
        return self.router.choose(
            offer, excluded=excluded, version=version, now_s=now_s
        )

    async def _async_choose_for_suspect(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> BackendServer | AzurewickError:
        deadline_s = context.deadline_s
        limit_s = monotonic_s() + SUSPECT_WAIT_S
        if deadline_s is not None:
            limit_s = min(limit_s, deadline_s)
        while (now_s := monotonic_s()) < limit_s:
            self.refresh(now_s)
            offer = self.build_offer(context, "")
            version = self._choose_version(
                offer, context.request_class, self._versions, now_s
            )
            names = self._find_open_servers(offer, version) - excluded
            if not names:
                return _no_server()
            if self._components.poison.is_poison(context.fingerprint, now_s):
                raise refuse_poison()
            name = self._placement.acquire(
                context.fingerprint,
                context.request_id,
                names,
                self._components.poison.crash_count(
                    context.fingerprint, now_s
                ),
            )
            if name is not None:
                return self._servers[name]
            self._suspect_ended.clear()
            try:
                async with timeout(min(limit_s - now_s, 1.0)):
                    await self._suspect_ended.wait()
            except TimeoutError:
                continue
        return _missed_target()

    def record_request(self, context: RequestContext) -> None:
        """Count a request for the budgets of retries and late answers."""
        now_s = monotonic_s()
        self.retry_budget.record_request(now_s)
        self._late_budget(context.request_class.tier).record_request(now_s)

    def may_answer_late(
        self, context: RequestContext, error: AzurewickError
    ) -> bool:
        """Take a late answer from the tier's budget if it has one.

        Only a request that protects lower tiers from its refusal gets one.
        """
        tier = context.request_class.tier
        if context.is_late or error.code is not ErrorCode.TARGET_UNREACHABLE:
            return False
        if not self._components.floor.has_lower_tier(self.name, tier):
            return False
        return self._late_budget(tier).try_retry(monotonic_s())

    def _late_budget(self, tier: int) -> RetryBudget:
        if tier not in self._late_budgets:
            self._late_budgets[tier] = build_late_budget()
        return self._late_budgets[tier]

    def release(self, context: RequestContext) -> None:
        """Note that an offer has ended."""
        self._placement.release(context.fingerprint, context.request_id)
        self._suspect_ended.set()

    def build_offer(self, context: RequestContext, server: str) -> Offer:
        """Return the offer with the time that is left now."""
        request_class = context.request_class
        report = self.reports.get(server)
        deadline_s = context.deadline_s
        if context.prefix_hashes is None:
            context.prefix_hashes = self._components.hash_prefix(context.body)
        offer = Offer(
            request_id=context.request_id,
            customer=context.customer.name,
            request_class=request_class.name,
            tier=request_class.tier,
            method=context.method,
            path=context.path,
            content_type=context.content_type,
            budget_s=(
                None
                if deadline_s is None
                else max(0.0, deadline_s - monotonic_s())
            ),
            is_completion_budget=request_class.target.first_token_s is None,
            inter_token_s=request_class.target.inter_token_s,
            prompt_tokens=len(context.body) // BYTES_PER_TOKEN,
            expected_output_tokens=self._components.predictor.predict(
                context.customer.name, request_class.name
            ),
            repeatable=request_class.repeatable,
            fingerprint=context.fingerprint,
            claim_key="" if request_class.repeatable else context.claim_key,
            incarnation="" if report is None else report.incarnation,
            prefix_hashes=context.prefix_hashes,
        )
        if not server:
            return offer
        cached_tokens = self.router.expected_cached_tokens(offer, server)
        return replace(offer, expected_cached_tokens=cached_tokens)

    def forget_incarnation(self, server: str) -> None:
        """Send the next offers without the incarnation of an agent.

        After a broken connection the agent may have restarted, and would
        refuse offers for its former incarnation.
        """
        self.reports.pop(server, None)
        # A relay may still send reports of the former incarnation.
        self._reported_s[server] = monotonic_s()

    def take_load(
        self, response: ClientResponse, name: str
    ) -> LoadReport | None:
        """Take the load report of a response if it is that server's."""
        report = parse_load(response)
        if report is None or report.backend_server != name:
            return None
        now_s = monotonic_s()
        self._take_report(report)
        self._components.cluster.record_load(report, now_s)
        return report

    def record_result(
        self,
        offer: Offer,
        server: BackendServer,
        result: OfferResult,
        now_s: float,
        *,
        route: str = "",
    ) -> None:
        """Tell the router, the rollouts and the predictor of a result.

        route is the model of a chat request, which may fail alone; all chat
        requests have one path.
        """
        self.router.record_result(offer, server.name, result, now_s)
        self._components.versions.record_result(
            offer,
            server.version,
            result,
            now_s,
            backend_server=server.name,
            route=route,
        )
        if result.status is OfferStatus.FINISHED and result.output_tokens:
            self._components.predictor.record(
                offer.customer, offer.request_class, result.output_tokens
            )


def _is_expired(context: RequestContext, now_s: float) -> bool:
    deadline_s = context.deadline_s
    return deadline_s is not None and now_s >= deadline_s


def _missed_target() -> AzurewickError:
    return AzurewickError(
        ErrorCode.TARGET_UNREACHABLE,
        "the target's time is over before a server was free",
        step=Step.SELECT,
    )


def _no_server() -> AzurewickError:
    return AzurewickError(
        ErrorCode.OVERLOADED,
        "no backend server of the pool takes the request",
        step=Step.SELECT,
    )
