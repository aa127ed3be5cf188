"""State of one request in the filter chain."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp.web import BaseRequest

from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.models import Route


@dataclass(kw_only=True, slots=True)
class EntryContext:
    """Request with what the filters have found out about it."""

    http: BaseRequest
    request: CallerRequest
    configuration: FleetConfiguration | None = None
    route: Route | None = None
    customer: CustomerQuota | None = None
    body: bytes = b""

    @property
    def tier(self) -> int:
        """Return the tier; the customer's goes before the route's."""
        if self.customer is not None and self.customer.tier is not None:
            return self.customer.tier
        return self.route.tier if self.route is not None else 0
