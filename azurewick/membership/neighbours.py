"""Gateways that a process calls, after what it learned of them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from azurewick.control.topology import Place
from azurewick.control.topology import place_agent
from azurewick.control.topology import place_gateway
from azurewick.membership.view import MembershipView
from azurewick.models import GatewayInstance


class Neighbours:
    """Chooses gateways from the membership view and records contacts."""

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
        self._choose = place_agent if is_agent else place_gateway
        self._view = view
        self._clock = clock
        self._random = random
        self._placed: tuple[GatewayInstance, ...] | None = None
        self._place = Place(is_relay=False, candidates=())
        self.contact_s = clock()

    def place(self) -> Place:
        """Return the own place among the live gateways."""
        gateways = self._view.gateways()
        if gateways != self._placed:
            self._placed = gateways
            self._place = self._choose(
                self._name, self._region, self._failure_domain, gateways
            )
        return self._place

    def choose_cross_check(self, is_due: bool) -> GatewayInstance | None:
        """Return a lost gateway that may be back, or another when due."""
        waiting = self._view.gateways_to_retry(self._clock())
        if waiting:
            return waiting[0]
        if not is_due:
            return None
        others = [
            one for one in self._view.gateways() if not self._is_own(one)
        ]
        near = [
            one for one in others if one.failure_domain == self._failure_domain
        ]
        choice = near or others
        return self._random.choice(choice) if choice else None

    def find_gateway(self, name: str) -> GatewayInstance | None:
        """Return a listed gateway."""
        return self._view.find_gateway(name)

    def record_contact(self, peer: str) -> None:
        """Learn that a gateway answered a Sync."""
        self.contact_s = self._clock()
        self._view.record_success(peer, self.contact_s)

    def record_no_contact(self, peer: str) -> None:
        """Learn that a gateway didn't answer a Sync."""
        if self._view.find_gateway(peer) is not None:
            self._view.record_failure(peer, self._clock(), refused=True)

    def _is_own(self, gateway: GatewayInstance) -> bool:
        return gateway.name == self._name
