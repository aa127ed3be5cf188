"""Data classes and the protocol of the routers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from azurewick.models import BackendServer
from azurewick.models import LoadReport
from azurewick.models import Offer


class OfferStatus(StrEnum):
    """How an offer ended, as observed by the gateway."""

    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN = "broken"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferResult:
    """Result of one offer, as observed by the gateway.

    first_token_s and duration_s count from the sending of the offer;
    first_token_s is None when no token arrived.
    """

    status: OfferStatus
    first_token_s: float | None
    duration_s: float
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int


class Router(Protocol):
    """Chooses a backend server for each offer of one pool in a gateway.

    No method raises for a server that is not in the last update_servers.
    """

    def update_servers(self, servers: Sequence[BackendServer]) -> None:
        """Replace the servers that may be chosen."""

    def record_report(self, report: LoadReport, now_s: float) -> None:
        """Record a load report that arrived at now_s."""

    def choose(
        self,
        offer: Offer,
        *,
        excluded: frozenset[str],
        version: str | None,
        now_s: float,
    ) -> str | None:
        """Return the name of a server, or None when none may be chosen.

        version limits the choice to servers of that version.
        """

    def expected_cached_tokens(self, offer: Offer, name: str) -> int:
        """Return the prompt tokens expected in a server's prefix cache."""

    def record_sent(self, offer: Offer, name: str, now_s: float) -> None:
        """Record that an offer was sent to a server."""

    def record_result(
        self, offer: Offer, name: str, result: OfferResult, now_s: float
    ) -> None:
        """Record the end of an offer that was sent to a server."""
