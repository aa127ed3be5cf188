"""Home regions, outside of which a request must not be sent."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from enum import StrEnum
from logging import getLogger

from azurewick.entry.backends import Backend
from azurewick.entry.models import CallerRequest
from azurewick.entry.models import CustomerQuota
from azurewick.entry.models import FleetConfiguration
from azurewick.entry.models import Route
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

_LOGGER = getLogger(__name__)

# Servers of a home region may be added soon; their starts take some seconds.
RETRY_AFTER_NO_SERVER_S = 1.0
# Region names in messages are cut, so that the cause stays readable.
MAX_NAMES_CHARACTERS = 80


class HomeRefusal(StrEnum):
    """Why the home regions of a request couldn't take it."""

    NO_COMMON_REGION = "no_common_region"
    NO_SERVER = "no_server"
    FULL = "full"


def combine_regions(
    route: Route, customer: CustomerQuota | None
) -> frozenset[str] | None:
    """Return the regions that the route and the customer allow.

    None means all regions. The result is empty when the route and the
    customer have no home region in common.
    """
    restrictions = [route.home_regions]
    if customer is not None:
        restrictions.append(customer.home_regions)
    restrictions = [regions for regions in restrictions if regions]
    if not restrictions:
        return None
    return frozenset.intersection(*restrictions)


def select_servers(
    servers: Iterable[Backend],
    home_regions: frozenset[str],
    region_by_domain: Mapping[str, str],
) -> list[Backend]:
    """Return the servers in the home regions.

    One whose failure domain is in no known region is in no home region.
    """
    return [
        server
        for server in servers
        if region_by_domain.get(server.entry.failure_domain) in home_regions
    ]


def describe_regions(regions: Iterable[str]) -> str:
    """Return region names for a message."""
    return ", ".join(sorted(regions))[:MAX_NAMES_CHARACTERS] or "none"


class HomeRegions:
    """Looks up home regions in the configuration in force.

    configuration, regions and servers_of return the current state. on_refusal
    gets the home regions of a refused request and the reason.
    """

    def __init__(
        self,
        *,
        configuration: Callable[[], FleetConfiguration | None],
        regions: Callable[[], Mapping[str, str]],
        servers_of: Callable[[str], Sequence[Backend]],
        on_refusal: Callable[[frozenset[str], HomeRefusal], None],
    ) -> None:
        self.configuration = configuration
        self.on_refusal = on_refusal
        self._regions = regions
        self._servers_of = servers_of
        self._logged_version = 0
        self._logged: set[tuple[str, str]] = set()

    def bind(
        self,
        request: CallerRequest,
        route: Route,
        customer: CustomerQuota | None,
    ) -> RequestHomes:
        """Return the home regions of one request."""
        return RequestHomes(self, request, route, customer)

    def select(
        self, servers: Iterable[Backend], home_regions: frozenset[str]
    ) -> list[Backend]:
        """Return the servers in the home regions."""
        return select_servers(servers, home_regions, self._regions())

    def has_server(self, service: str, home_regions: frozenset[str]) -> bool:
        """Return whether a service has a server there, usable or not."""
        return bool(self.select(self._servers_of(service), home_regions))

    def log_refusal(self, route: str, customer: str, message: str) -> None:
        """Log a cause once by route, customer and configuration version."""
        configuration = self.configuration()
        version = 0 if configuration is None else configuration.version
        if version != self._logged_version:
            self._logged_version = version
            self._logged.clear()
        if (route, customer) in self._logged:
            return
        self._logged.add((route, customer))
        _LOGGER.warning(
            "requests are refused: %s",
            message,
            extra={
                "route": route,
                "customer": customer,
                "configuration_version": version,
            },
        )


class RequestHomes:
    """Home regions of one request, by the configuration in force.

    The route is found by the request's host and path, the customer by its
    name. One that the configuration no longer has keeps the home regions that
    it had when the request arrived.
    """

    def __init__(
        self,
        homes: HomeRegions,
        request: CallerRequest,
        route: Route,
        customer: CustomerQuota | None,
    ) -> None:
        self._homes = homes
        self._request = request
        self._route = route
        self._customer = customer
        self._configuration: FleetConfiguration | None = None
        self._regions = combine_regions(route, customer)

    def regions(self) -> frozenset[str] | None:
        """Return the regions that the request may be sent to; None = all."""
        configuration = self._homes.configuration()
        if configuration is None or configuration is self._configuration:
            return self._regions
        self._configuration = configuration
        request = self._request
        # Later configurations may lack them.
        self._route = (
            configuration.routes.find(request.host, request.path)
            or self._route
        )
        if self._customer is not None:
            self._customer = configuration.customers.get(
                self._customer.name, self._customer
            )
        self._regions = combine_regions(self._route, self._customer)
        return self._regions

    def allows(self, server: Backend) -> bool:
        """Return whether the request may be sent to a server."""
        regions = self.regions()
        return regions is None or bool(self._homes.select([server], regions))

    def raise_if_unservable(self, service: str) -> None:
        """Raise AzurewickError if no server could ever take the request."""
        regions = self.regions()
        if regions is None:
            return
        if not regions:
            reason = HomeRefusal.NO_COMMON_REGION
            message = self._describe_conflict()
        elif not self._homes.has_server(service, regions):
            reason = HomeRefusal.NO_SERVER
            message = (
                f"service {service} has no server in the home regions "
                f"{describe_regions(regions)}"
            )
        else:
            return
        self._homes.on_refusal(regions, reason)
        customer = "" if self._customer is None else self._customer.name
        self._homes.log_refusal(self._route.name, customer, message)
        raise AzurewickError(
            ErrorCode.OVERLOADED,
            message,
            step=Step.SELECT,
            retry_after_s=RETRY_AFTER_NO_SERVER_S,
        )

    def explain(self, error: AzurewickError, service: str) -> AzurewickError:
        """Return the error for a request that got no server in its time.

        Raises AzurewickError instead if no server can take it any more.
        """
        regions = self.regions()
        if regions is None or error.code is not ErrorCode.OVERLOADED:
            return error
        self.raise_if_unservable(service)
        self._homes.on_refusal(regions, HomeRefusal.FULL)
        return AzurewickError(
            error.code,
            f"{error.message} (home regions {describe_regions(regions)})",
            step=error.step,
            peer=error.peer,
            outcome=error.outcome,
            retry_after_s=error.retry_after_s,
        )

    def _describe_conflict(self) -> str:
        assert self._customer is not None
        return (
            "no common home region: the route has "
            f"{describe_regions(self._route.home_regions)}, the customer "
            f"{describe_regions(self._customer.home_regions)}"
        )
