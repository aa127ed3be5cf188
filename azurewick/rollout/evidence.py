"""Counts of outcomes by version that one gateway sees.

Left out of the evidence are refusals (a lack of capacity), cancelled
requests whose first token was not late, and crashes that repeat a request
seen in an earlier crash (a poison request).
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

from azurewick.models import Offer
from azurewick.rollout.counts import Counts
from azurewick.rollout.counts import EvidenceKey
from azurewick.rollout.counts import EvidenceRow
from azurewick.rollout.crashes import CrashGrouper
from azurewick.rollout.reference import SpeedReference
from azurewick.routing.models import OfferResult
from azurewick.routing.models import OfferStatus

MAX_ROUTES = 64
OTHER_ROUTES = "other"


class EvidenceCounter:
    """Counts the outcomes that one gateway sees."""

    def __init__(
        self,
        gateway: str,
        incarnation: str,
        is_suspect: Callable[[str, float], bool],
    ) -> None:
        self._gateway = gateway
        self._incarnation = incarnation
        self._crashes = CrashGrouper(is_suspect)
        self._reference = SpeedReference()
        self._counts: dict[EvidenceKey, Counts] = {}
        self._routes: dict[str, set[str]] = {}

    def record(
        self,
        offer: Offer,
        key: EvidenceKey,
        result: OfferResult,
        now_s: float,
        *,
        is_old: bool,
    ) -> tuple[EvidenceRow, ...]:
        """Count a result and return the rows that changed.

        The counts of the old version are kept for all its servers together.
        """
        server = key.backend_server
        key = self._limit_route(key)
        if is_old:
            key = key._replace(backend_server="")
        if result.status is OfferStatus.BROKEN:
            return self._record_broken(offer, server, key, now_s)
        counts = self._judge(key, result, is_old)
        if counts is None:
            return ()
        return (self._add(key, counts),)

    def rows(self) -> tuple[EvidenceRow, ...]:
        """Return the counts since the start."""
        return tuple(
            EvidenceRow(self._gateway, self._incarnation, key, counts)
            for key, counts in self._counts.items()
        )

    def keep_classes(self, request_classes: Iterable[str]) -> None:
        """Forget the counts of other classes."""
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
        if crash.is_repeated:
            # Requests of the crash that were counted before its cause was
            # known are taken back.
            undone = Counts(requests=-1, broken=-1)
            rows = [self._add(item, undone) for item in crash.keys]
            if crash.keys:
                rows.append(self._add(crash.keys[0], Counts(crashes=-1)))
            crash.keys.clear()
            return tuple(rows)
        crash.keys.append(key)
        is_first = len(crash.keys) == 1
        counts = Counts(requests=1, broken=1, crashes=int(is_first))
        return (self._add(key, counts),)

    def _judge(
        self, key: EvidenceKey, result: OfferResult, is_old: bool
    ) -> Counts | None:
        if result.status is OfferStatus.REFUSED:
            return None
        if result.status is OfferStatus.FAILED:
            return Counts(requests=1, failures=1)
        if result.status is OfferStatus.CANCELLED:
            is_late = result.first_token_s is None and (
                self._reference.is_late(key, result)
            )
            return Counts(requests=1, slow=1) if is_late else None
        is_slow = self._reference.is_slow(key, result, learn=is_old)
        return Counts(requests=1, slow=int(is_slow))
