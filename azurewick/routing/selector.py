"""Router that chooses the backend server with the least expected cost."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import random
from statistics import median
from typing import Final

from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer
from azurewick.routing.affinity import Placement
from azurewick.routing.affinity import PrefixAffinity
from azurewick.routing.affinity import PrefixPlan
from azurewick.routing.cost import estimate_cost
from azurewick.routing.cost import pool_means
from azurewick.routing.cost import SentOffer
from azurewick.routing.cost import ServerEstimate
from azurewick.routing.cost import STRAGGLER_FACTOR
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

# Random servers compared for each request. With more, gateways with the same
# load reports would all choose the same server.
SUBSET_SIZE: Final = 4
# Above 1, because a prefill delays the request and also those after it.
PREFILL_WEIGHT: Final = 3.0
# Weight of the prefill time that a prefix cached on its home server saves for
# the later requests of all gateways.
HOME_WEIGHT: Final = 6.0
# Below 1, because later requests wait for only part of the decode time that a
# request occupies.
DECODE_WEIGHT: Final = 0.1
REMOTE_DOMAIN_COST_S: Final = 0.002
# Round trip between regions, and the rate at which transferred bytes are
# charged: a tenth of the 15 Mbit/s link, which all traffic shares.
REMOTE_REGION_COST_S: Final = 0.05
REGION_LINK_BYTES_PER_S: Final = 15e6 / 8 / 10
BYTES_PER_PROMPT_TOKEN: Final = 4
BYTES_PER_OUTPUT_TOKEN: Final = 75
# Interval at which the pool's means and the degraded servers are recomputed.
# Both iterate over all servers, of which a large pool has hundreds.
REFRESH_INTERVAL_S: Final = 0.05
# A degraded server is probed with one request at a time, after a delay that
# doubles with each probe.
FIRST_PROBE_DELAY_S: Final = 2.0
MAX_PROBE_DELAY_S: Final = 30.0
# Failures in a row from which a server counts as degraded.
MAX_CONSECUTIVE_FAILURES: Final = 2


class LeastCostRouter:
    """Choose the server of least expected cost among a few candidates.

    The candidates are random servers and those that may have cached the
    prompt's prefix. Slow, unresponsive and failing servers are avoided,
    except for probes.
    """

    def __init__(
        self, seed: int, region: str = "", failure_domain: str = ""
    ) -> None:
        self._random = random.Random(seed)
        self._region = region
        self._failure_domain = failure_domain
        self._servers: dict[str, BackendServer] = {}
        self._estimates: dict[str, ServerEstimate] = {}
        self._affinity = PrefixAffinity()
        self._refresh_due_s = 0.0
        self._mean_wait_s = 0.0
        self._mean_occupancy = 0.0
        self._degraded: set[str] = set()
        self._plans: dict[str, PrefixPlan | None] = {}

    def update_servers(self, servers: Sequence[BackendServer]) -> None:
        """Replace the servers that may be chosen."""
        self._servers = {
            server.name: server
            for server in sorted(servers, key=lambda server: server.name)
        }
        self._estimates = {
            name: self._estimates.get(name) or ServerEstimate()
            for name in self._servers
        }
        self._affinity.update_servers(self._servers)
        self._refresh_due_s = 0.0

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Record a load report that arrived at now_s."""
        estimate = self._estimates.get(report.backend_server)
        if estimate is None:
            return
        previous = estimate.report
        if not estimate.record_report(report, now_s):
            return
        if previous is not None and previous.incarnation != report.incarnation:
            self._affinity.remove_prefixes_of(report.backend_server)

    def choose(
        self,
        offer: Offer,
        *,
        excluded: frozenset[str],
        version: str | None,
        now_s: float,
    ) -> str | None:
        """Return the name of a server, or None when none may be chosen."""
        names = [
            server.name
            for server in self._servers.values()
            if server.name not in excluded
            and version in (None, server.version)
            and not self._is_draining(server.name)
        ]
        if not names:
            return None
        self._refresh_pool_state(now_s)
        degraded = self._degraded.intersection(names)
        probed = self._choose_probe(degraded, now_s)
        if probed is not None:
            return probed
        healthy = [name for name in names if name not in degraded] or names
        return self._choose_least_cost(offer, healthy, now_s)

    def expected_cached_tokens(self, offer: Offer, name: str) -> int:
        """Return the prompt tokens expected in a server's prefix cache."""
        return self._affinity.cached_tokens(
            offer.request_class, self._plan(offer, self._servers), name
        )

    def record_sent(self, offer: Offer, name: str, now_s: float) -> None:
        """Record that an offer was sent to a server."""
        estimate = self._estimates.get(name)
        if estimate is None:
            return
        cached_tokens = self.expected_cached_tokens(offer, name)
        cost = estimate_cost(
            estimate,
            offer,
            cached_tokens=cached_tokens,
            mean_wait_s=self._mean_wait_s,
            mean_occupancy=self._mean_occupancy,
            now_s=now_s,
        )
        estimate.outstanding[offer.request_id] = SentOffer(
            sent_s=now_s,
            service_s=estimate.service_s(offer, cached_tokens),
            prefill_s=cost.prefill_s,
            expected_first_token_s=cost.first_token_s,
        )
        self._plans[offer.request_id] = self._plan(offer, self._servers)
        self._affinity.record_sent(
            offer.request_class, offer.prefix_hashes, name
        )

    def record_result(
        self, offer: Offer, name: str, result: OfferResult, now_s: float
    ) -> None:
        """Record the end of an offer that was sent to a server."""
        plan = self._plans.pop(offer.request_id, None)
        estimate = self._estimates.get(name)
        if estimate is None:
            return
        estimate.record_result(offer, result, now_s)
        if result.status is OfferStatus.FINISHED:
            self._affinity.record_cached(
                offer.request_class, plan, name, result.cached_tokens
            )

    def _plan(self, offer: Offer, names: Collection[str]) -> PrefixPlan | None:
        return self._affinity.plan(
            offer.request_class,
            offer.prefix_hashes,
            offer.prompt_tokens,
            names,
        )

    def _is_draining(self, name: str) -> bool:
        report = self._estimates[name].report
        return report is not None and report.draining

    def _refresh_pool_state(self, now_s: float) -> None:
        """Update the pool's means and degraded servers once per interval."""
        if now_s < self._refresh_due_s:
            return
        self._refresh_due_s = now_s + REFRESH_INTERVAL_S
        self._mean_wait_s, self._mean_occupancy = pool_means(
            self._estimates.values()
        )
        self._degraded = self._find_degraded(list(self._servers), now_s)

    def _find_degraded(self, names: list[str], now_s: float) -> set[str]:
        """Return the servers that are slow, unresponsive or failing."""
        inter_token_s = {
            name: worst_s
            for name in names
            if (worst_s := self._estimates[name].worst_inter_token_s())
            is not None
        }
        median_s = median(inter_token_s.values()) if inter_token_s else 0.0
        degraded = set()
        for name in names:
            estimate = self._estimates[name]
            if (
                inter_token_s.get(name, 0.0) > STRAGGLER_FACTOR * median_s
                or estimate.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
                or estimate.is_overdue(now_s)
            ):
                degraded.add(name)
                if estimate.probe_delay_s == 0.0:
                    estimate.probe_delay_s = FIRST_PROBE_DELAY_S
                    estimate.next_probe_s = now_s + FIRST_PROBE_DELAY_S
            else:
                estimate.probe_delay_s = 0.0
        return degraded

    def _choose_probe(self, degraded: set[str], now_s: float) -> str | None:
        """Return a degraded server that is due for a probe, or None."""
        for name in sorted(degraded):
            estimate = self._estimates[name]
            if now_s < estimate.next_probe_s or estimate.outstanding:
                continue
            estimate.probe_delay_s = min(
                MAX_PROBE_DELAY_S, 2.0 * estimate.probe_delay_s
            )
            estimate.next_probe_s = now_s + estimate.probe_delay_s
            return name
        return None

    def _choose_least_cost(
        self, offer: Offer, names: list[str], now_s: float
    ) -> str:
        sampled = self._random.sample(names, min(SUBSET_SIZE, len(names)))
        plan = self._plan(offer, names)
        cache_candidates = plan.placements if plan is not None else {}
        candidates = list(dict.fromkeys([*sampled, *cache_candidates]))

        def cost_s(name: str) -> float:
            estimate = self._estimates[name]
            cost = estimate_cost(
                estimate,
                offer,
                cached_tokens=self._affinity.cached_tokens(
                    offer.request_class, plan, name
                ),
                mean_wait_s=self._mean_wait_s,
                mean_occupancy=self._mean_occupancy,
                now_s=now_s,
            )
            total_s = (
                cost.wait_s
                + PREFILL_WEIGHT * cost.prefill_s
                + DECODE_WEIGHT * cost.decode_s
                + cost.staleness_penalty_s
                + self._network_cost_s(name, offer)
            )
            if plan and plan.placement(name) is Placement.HOME:
                saved_s = plan.home_tokens / estimate.prefill_tokens_per_s
                total_s -= HOME_WEIGHT * saved_s
            return total_s

        return min(candidates, key=cost_s)

    def _network_cost_s(self, name: str, offer: Offer) -> float:
        """Return the cost, in seconds, of the network path to a server."""
        server = self._servers[name]
        if server.region != self._region and self._region:
            transfer_bytes = (
                BYTES_PER_PROMPT_TOKEN * offer.prompt_tokens
                + BYTES_PER_OUTPUT_TOKEN * offer.expected_output_tokens
            )
            return (
                REMOTE_REGION_COST_S + transfer_bytes / REGION_LINK_BYTES_PER_S
            )
        if server.failure_domain != self._failure_domain:
            return REMOTE_DOMAIN_COST_S
        return 0.0
