"""State of one request in the filter chain."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp.web import BaseRequest

from azurewick.entry.line import Rank
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.models import Route


@dataclass(kw_only=True, slots=True)
class EntryContext:
    """Request with what the filters have found out about it.

    has_quota says that the request's cost is taken from its customer.
    """

    http: BaseRequest
    request: CallerRequest
    configuration: FleetConfiguration | None = None
    route: Route | None = None
    customer: CustomerQuota | None = None
    body: bytes = b""
    has_quota: bool = False

    @property
    def rank(self) -> Rank:
        """Return the rank; the customer's tier goes before the route's."""
        route_tier = self.route.tier if self.route is not None else 0
        if self.customer is None or self.customer.tier is None:
            return route_tier, route_tier
        return self.customer.tier, route_tier
