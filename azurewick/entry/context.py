"""State of one request in the filter chain."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp.web import BaseRequest

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.models import Route
from azurewick.entry.request_body import RequestBody
from azurewick.entry.request_queue import Rank


@dataclass(kw_only=True, slots=True)
class EntryContext:
    """Caller's request and what the filters have determined about it.

    body is None if the request has none. quota_cost is the amount charged to
    the customer's quota. traits are what requests that crash their servers
    may have in common.
    """

    http_request: BaseRequest
    request: CallerRequest
    configuration: FleetConfiguration | None = None
    route: Route | None = None
    customer: CustomerQuota | None = None
    body: RequestBody | None = None
    quota_cost: float = 0.0
    traits: tuple[str, ...] = ()

    @property
    def rank(self) -> Rank:
        """Return the rank: the tier of the customer, then of the route.

        The route's tier stands in for that of a customer without one.
        """
        route_tier = self.route.tier if self.route is not None else 0
        if self.customer is None or self.customer.tier is None:
            return route_tier, route_tier
        return self.customer.tier, route_tier
