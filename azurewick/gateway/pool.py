"""State of one pool in a gateway: router, retry budget and load reports.

A suspect is a request whose content was in flight when a backend server
crashed. Each suspect runs on one server at a time, so that a request that
causes crashes takes down few servers before it is refused as poison.
"""

from __future__ import annotations

from asyncio import Event
from asyncio import timeout
from dataclasses import replace

from aiohttp import ClientResponse

from azurewick.admission.retry_budget import build_late_answer_budget
from azurewick.admission.retry_budget import RetryBudget
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.agent_client import parse_load
from azurewick.gateway.context import RequestContext
from azurewick.gateway.refusals import poison_request_error
from azurewick.gateway.wiring import GatewayComponents
from azurewick.helpers.clock import monotonic_s
from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.models import RequestClass
from azurewick.poison.placement import SuspectPlacement
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

# A suspect without a target waits at most this long for its server.
SUSPECT_WAIT_S = 30.0
# English and Spanish texts have about four bytes per token.
BYTES_PER_TOKEN = 4


class PoolState:
    """Chooses servers for the requests of one pool.

    reports holds the last load report of each server by its name.
    """

    def __init__(self, name: str, components: GatewayComponents) -> None:
        self.name = name
        self.router = components.create_router()
        self.retry_budget = components.create_retry_budget()
        self.reports: dict[str, LoadReport] = {}
        self._reported_s: dict[str, float] = {}
        self._components = components
        self._servers: dict[str, BackendServer] = {}
        self._placement = SuspectPlacement()
        self._late_answer_budgets: dict[int, RetryBudget] = {}
        self._offer_ended = Event()
        components.cluster.async_add_load_listener(self._handle_report)

    def _handle_report(self, report: LoadReport) -> None:
        """Store a load report unless it is older than the stored one.

        A report that arrives through a relay or a probe may be old and may
        come from an earlier incarnation of the agent.
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
        """Update the servers of the pool from the cluster state."""
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
        self._components.floor_confirmer.add_servers(self.name, servers)

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """Return the servers that accept new requests."""
        return tuple(self._servers.values())

    @property
    def _versions(self) -> set[str]:
        return {server.version for server in self._servers.values()}

    async def async_choose(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> BackendServer | AzurewickError:
        """Return the server for the next offer, or the error if there is none.

        excluded has the names of the servers that have refused the request.
        Raises poison_request for a suspect that becomes poison.
        """
        now_s = monotonic_s()
        self.refresh(now_s)
        detector = self._components.poison
        if detector.is_suspect(context.fingerprint, now_s):
            return await self._async_choose_for_suspect(context, excluded)
        if _is_expired(context, now_s):
            return _target_unreachable_error()
        offer = self.build_offer(context, "")
        name = self._choose_server(
            offer, context.request_class, excluded, now_s
        )
        if name is None or name not in self._servers:
            return _no_server_error()
        self._placement.record_start(
            context.fingerprint, context.request_id, name
        )
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
        name = self._choose_server_for_version(offer, version, excluded, now_s)
        if name is not None or version is None or not excluded:
            return name
        # All servers of the version have refused. Only the old version may
        # take the request then: refusals of its servers must not raise the
        # share of the version under test.
        fallback = self._components.versions.choose_fallback(
            offer, version, versions
        )
        if fallback is None:
            return None
        return self._choose_server_for_version(
            offer, fallback, excluded, now_s
        )

    def _choose_version(
        self,
        offer: Offer,
        request_class: RequestClass,
        versions: set[str],
        now_s: float,
    ) -> str | None:
        version = self._components.versions.choose(offer, versions, now_s)
        # Without a version move the class stays on its configured version,
        # even when no server of that version is left.
        return request_class.version if version is None else version

    def _find_servers_for_version(
        self, offer: Offer, version: str | None
    ) -> frozenset[str]:
        """Return the names of the servers that may get an offer of a version.

        None as version stands for any version.
        """
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

    def _choose_server_for_version(
        self,
        offer: Offer,
        version: str | None,
        excluded: frozenset[str],
        now_s: float,
    ) -> str | None:
        excluded |= self._servers.keys() - self._find_servers_for_version(
            offer, version
        )
        return self.router.choose(
            offer, excluded=excluded, version=version, now_s=now_s
        )

    async def _async_choose_for_suspect(
        self, context: RequestContext, excluded: frozenset[str]
    ) -> BackendServer | AzurewickError:
        """Wait until the server of a suspect is free, and return it."""
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
            names = self._find_servers_for_version(offer, version) - excluded
            if not names:
                return _no_server_error()
            if self._components.poison.is_poison(context.fingerprint, now_s):
                raise poison_request_error()
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
            self._offer_ended.clear()
            try:
                async with timeout(min(limit_s - now_s, 1.0)):
                    await self._offer_ended.wait()
            except TimeoutError:
                continue
        return _target_unreachable_error()

    def record_request(self, context: RequestContext) -> None:
        """Count a request for the budgets of retries and late answers."""
        now_s = monotonic_s()
        self.retry_budget.record_request(now_s)
        self._late_answer_budget(context.request_class.tier).record_request(
            now_s
        )

    def try_late_answer(
        self, context: RequestContext, error: AzurewickError
    ) -> bool:
        """Take a late answer from the budget of the request's tier.

        Returns whether the request may miss its target instead of being
        shed. That is so only when shedding it would stop a lower tier.
        """
        tier = context.request_class.tier
        if (
            context.may_miss_target
            or error.code is not ErrorCode.TARGET_UNREACHABLE
        ):
            return False
        if not self._components.floor_confirmer.has_lower_tier(
            self.name, tier
        ):
            return False
        return self._late_answer_budget(tier).try_retry(monotonic_s())

    def _late_answer_budget(self, tier: int) -> RetryBudget:
        if tier not in self._late_answer_budgets:
            self._late_answer_budgets[tier] = build_late_answer_budget()
        return self._late_answer_budgets[tier]

    def release(self, context: RequestContext) -> None:
        """Record that an offer has ended; wake the suspects that wait."""
        self._placement.release(context.fingerprint, context.request_id)
        self._offer_ended.set()

    def build_offer(self, context: RequestContext, server: str) -> Offer:
        """Return an offer with the time that is left until the deadline.

        An empty server name leaves out the agent's incarnation and the
        expected cached tokens.
        """
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
        """Stop sending the last known incarnation in offers to an agent.

        After a broken connection the agent may have restarted. It would
        refuse offers for its previous incarnation.
        """
        self.reports.pop(server, None)
        # A relay may still send reports of the previous incarnation, so older
        # reports are ignored from now on.
        self._reported_s[server] = monotonic_s()

    def record_load(
        self, response: ClientResponse, name: str
    ) -> LoadReport | None:
        """Record the load report of a response if it is the named server's."""
        report = parse_load(response)
        if report is None or report.backend_server != name:
            return None
        now_s = monotonic_s()
        self._handle_report(report)
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
        """Report a result to the router, version selector and predictor.

        route is the model of a chat request. All chat requests share a path,
        but the faults of a version may affect a single model.
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


def _target_unreachable_error() -> AzurewickError:
    return AzurewickError(
        ErrorCode.TARGET_UNREACHABLE,
        "the latency target passed before a server was free",
        step=Step.SELECT,
    )


def _no_server_error() -> AzurewickError:
    return AzurewickError(
        ErrorCode.OVERLOADED,
        "no backend server of the pool accepts the request",
        step=Step.SELECT,
    )
