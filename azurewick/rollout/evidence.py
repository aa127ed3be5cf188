"""Counts of request outcomes by version in one gateway.

These outcomes say nothing about a version and are not counted: refusals (a
lack of capacity), requests cancelled before their first token was late or
after it arrived, and crashes with a request that was in an earlier crash (a
poison request).
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from azurewick.models import Offer
from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.crashes import CrashGrouper
from azurewick.rollout.reference import LatencyReference
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

# Routes counted apart for each request class, to bound the evidence; requests
# of further routes are counted together as OTHER_ROUTES.
MAX_ROUTES = 64
OTHER_ROUTES = "other"


class EvidenceCounter:
    """Counts the outcomes of one gateway's requests.

    is_suspect takes a fingerprint and the time in seconds and returns
    whether another gateway saw a crash with that request.
    """

    def __init__(
        self,
        gateway: str,
        incarnation: str,
        is_suspect: Callable[[str, float], bool],
    ) -> None:
        self._gateway = gateway
        self._incarnation = incarnation
        self._crashes = CrashGrouper(is_suspect)
        self._reference = LatencyReference()
        self._counts: dict[EvidenceKey, Counts] = {}
        self._routes: dict[str, set[str]] = {}

    def record(
        self,
        offer: Offer,
        key: EvidenceKey,
        result: OfferResult,
        now_s: float,
        *,
        is_old_version: bool,
    ) -> tuple[EvidenceRow, ...]:
        """Count a result and return the rows that changed.

        The old version is counted for all its servers together.
        """
        server = key.backend_server
        key = self._limit_route(key)
        if is_old_version:
            key = key._replace(backend_server="")
        if result.status is OfferStatus.BROKEN:
            return self._record_broken(offer, server, key, now_s)
        counts = self._classify(key, result, is_old_version)
        if counts is None:
            return ()
        return (self._add(key, counts),)

    def rows(self) -> tuple[EvidenceRow, ...]:
        """Return the cumulative counts since the start of the gateway."""
        return tuple(
            EvidenceRow(self._gateway, self._incarnation, key, counts)
            for key, counts in self._counts.items()
        )

    def keep_classes(self, request_classes: Iterable[str]) -> None:
        """Delete the counts of all other request classes."""
        kept = set(request_classes)
        for key in list(self._counts):
            if key.request_class not in kept:
                del self._counts[key]

    def _limit_route(self, key: EvidenceKey) -> EvidenceKey:
        routes = self._routes.setdefault(key.request_class, set())
        if key.route not in routes and len(routes) >= MAX_ROUTES:
            return key._replace(route=OTHER_ROUTES)
        routes.add(key.route)
        return key

    def _add(self, key: EvidenceKey, counts: Counts) -> EvidenceRow:
        total = self._counts.get(key, Counts()) + counts
        self._counts[key] = total
        return EvidenceRow(self._gateway, self._incarnation, key, total)

    def _record_broken(
        self, offer: Offer, server: str, key: EvidenceKey, now_s: float
    ) -> tuple[EvidenceRow, ...]:
        crash = self._crashes.record(server, offer.fingerprint, now_s)
        if crash.has_repeated_request:
            # Subtract the requests of this crash that were counted before
            # the repeated request was seen.
            correction = Counts(requests=-1, broken=-1)
            rows = [self._add(item, correction) for item in crash.counted_keys]
            if crash.counted_keys:
                rows.append(
                    self._add(crash.counted_keys[0], Counts(crashes=-1))
                )
            crash.counted_keys.clear()
            return tuple(rows)
        crash.counted_keys.append(key)
        is_first = len(crash.counted_keys) == 1
        counts = Counts(requests=1, broken=1, crashes=int(is_first))
        return (self._add(key, counts),)

    def _classify(
        self, key: EvidenceKey, result: OfferResult, is_old_version: bool
    ) -> Counts | None:
        if result.status is OfferStatus.REFUSED:
            return None
        if result.status is OfferStatus.FAILED:
            return Counts(requests=1, failures=1)
        if result.status is OfferStatus.CANCELLED:
            is_late = result.first_token_s is None and (
                self._reference.is_first_token_late(key, result)
            )
            return Counts(requests=1, slow=1) if is_late else None
        is_slow = self._reference.is_slow(key, result, record=is_old_version)
        return Counts(requests=1, slow=int(is_slow))
