"""Builders for the rollout tests."""

from __future__ import annotations

from azurewick.models import Offer
from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.models import VersionMove
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

OLD = "v1"
NEW = "v2"


def build_move(**changes) -> VersionMove:
    fields = {
        "id": "m1",
        "request_class": "quick",
        "version": NEW,
        "by_time_s": 2000.0,
        "requested_by": "ana",
    }
    return VersionMove(**(fields | changes))


def build_offer(number: int = 0, **changes) -> Offer:
    fields = {
        "request_id": f"r{number}",
        "customer": "c",
        "request_class": "quick",
        "tier": 0,
        "method": "POST",
        "path": "/v1/chat/completions",
        "fingerprint": f"f{number}",
    }
    return Offer(**(fields | changes))


def build_result(
    status: OfferStatus = OfferStatus.FINISHED, **changes
) -> OfferResult:
    fields = {
        "first_token_s": 0.1,
        "duration_s": 1.0,
        "prompt_tokens": 100,
        "cached_tokens": 0,
        "output_tokens": 10,
    }
    return OfferResult(status=status, **(fields | changes))


class Traffic:
    """Traffic of one gateway, returned as cumulative evidence rows."""

    def __init__(self, gateway: str = "g") -> None:
        self._gateway = gateway
        self._counts: dict[EvidenceKey, Counts] = {}

    def add(self, version, *, route="a", server="", **counts) -> None:
        key = EvidenceKey("quick", version, route, server)
        total = self._counts.get(key, Counts()) + Counts(**counts)
        self._counts[key] = total

    def rows(self) -> list[EvidenceRow]:
        return [
            EvidenceRow(self._gateway, "1", key, counts)
            for key, counts in self._counts.items()
        ]
