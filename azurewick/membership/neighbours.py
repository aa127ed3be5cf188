"""Choice of the gateways that a process calls for Sync."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from azurewick.control.topology import Place
from azurewick.control.topology import place_agent
from azurewick.control.topology import place_gateway
from azurewick.membership.view import MembershipView
from azurewick.models import GatewayInstance


class Neighbours:
    """Chooses the gateways to call and records which of them answer."""

    def __init__(
        self,
        *,
        name: str,
        region: str,
        failure_domain: str,
        is_agent: bool,
        view: MembershipView,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        self._name = name
        self._region = region
        self._failure_domain = failure_domain
        self._compute_place = place_agent if is_agent else place_gateway
        self._view = view
        self._clock = clock
        self._random = random
        self._placed_gateways: tuple[GatewayInstance, ...] | None = None
        self._place = Place(is_relay=False, candidates=())
        self.last_contact_s = clock()

    def place(self) -> Place:
        """Return this node's Sync role and the gateways that it calls."""
        gateways = self._view.gateways()
        if gateways != self._placed_gateways:
            self._placed_gateways = gateways
            self._place = self._compute_place(
                self._name, self._region, self._failure_domain, gateways
            )
        return self._place

    def choose_cross_check(self, is_due: bool) -> GatewayInstance | None:
        """Return a gateway outside the usual ones for a Sync, if any.

        It is an ejected gateway that may be back or, when is_due, a random
        live one, preferably of the own failure domain.
        """
        to_retry = self._view.gateways_to_retry(self._clock())
        if to_retry:
            return to_retry[0]
        if not is_due:
            return None
        others = [
            gateway
            for gateway in self._view.gateways()
            if not self._is_own(gateway)
        ]
        in_own_domain = [
            gateway
            for gateway in others
            if gateway.failure_domain == self._failure_domain
        ]
        choices = in_own_domain or others
        return self._random.choice(choices) if choices else None

    def find_gateway(self, name: str) -> GatewayInstance | None:
        """Return a listed gateway."""
        return self._view.find_gateway(name)

    def record_contact(self, peer: str) -> None:
        """Record that a gateway answered a Sync."""
        self.last_contact_s = self._clock()
        self._view.record_success(peer, self.last_contact_s)

    def record_no_contact(self, peer: str) -> None:
        """Record that a gateway didn't answer a Sync."""
        if self._view.find_gateway(peer) is not None:
            self._view.record_failure(peer, self._clock(), refused=True)

    def _is_own(self, gateway: GatewayInstance) -> bool:
        return gateway.name == self._name
