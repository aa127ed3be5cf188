"""Evacuated failure domains, whose servers get no requests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial
from logging import getLogger
from typing import Any

from azurewick.entry.backends import Backend
from azurewick.helpers.log_limit import LogLimit
from azurewick.helpers.validation import shorten

_LOGGER = getLogger(__name__)

SOURCE_STORE = "store"
SOURCE_PEER = "peer"
# The end of all evacuations is in the reports for this long. Some tens of
# reports are sent in this time, of which some may get lost.
NEWS_S = 10.0
# Bounds of the list in a report, which is one datagram. A part of the list
# would end evacuations, so that a longer one is left to the store.
MAX_REPORTED = 64
MAX_REPORTED_CHARACTERS = 2048
MAX_REVISION = 2**63 - 1
# A starting instance waits this long for the store's list when its
# configuration came from a peer. Each peer sends a report in this time.
UNREADABLE_AFTER_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationList:
    """All evacuated failure domains at a revision of the store."""

    revision: int
    domains: frozenset[str]


class Evacuations:
    """Evacuations in force: those of the newest known revision.

    on_evacuation_end is called with the failure domain and the time before
    its servers may be used again, on_change after each change of the domains.
    """

    def __init__(self, *, is_followed: bool = False) -> None:
        self.is_followed = is_followed
        self.on_evacuation_end: list[Callable[[str, float], None]] = []
        self.on_change: list[Callable[[], None]] = []
        self._current: EvacuationList | None = None
        self._news_s = float("-inf")
        self._unreadable_since_s: float | None = None
        # Whether an instance may be ready by what is known.
        self._is_settled = not is_followed
        self._log_limit = LogLimit()

    @property
    def domains(self) -> frozenset[str]:
        """Return the evacuated failure domains."""
        return frozenset() if self._current is None else self._current.domains

    def is_settled(self, now_s: float, *, has_peer_copy: bool) -> bool:
        """Return whether requests may be served.

        The store's list has to be read once. If it can't be read, an instance
        whose configuration is a peer's copy takes the list from its peers.
        """
        since_s = self._unreadable_since_s
        if (
            not self._is_settled
            and has_peer_copy
            and since_s is not None
            and now_s - since_s >= UNREADABLE_AFTER_S
        ):
            self._is_settled = True
            _LOGGER.warning(
                "the evacuations can't be read from the store, those that "
                "peers report apply"
            )
        return self._is_settled

    def set_readable(self, readable: bool, now_s: float) -> None:
        """Record whether the list can be read from the store."""
        if readable:
            self._unreadable_since_s = None
        elif self._unreadable_since_s is None:
            self._unreadable_since_s = now_s

    def update_from_store(
        self, domains: Iterable[str], revision: int, now_s: float
    ) -> None:
        """Apply the store's list unless a peer has read a newer one."""
        self._is_settled = True
        if self._current is None or revision >= self._current.revision:
            self._apply(
                EvacuationList(revision=revision, domains=frozenset(domains)),
                now_s,
                source=SOURCE_STORE,
            )

    def record_peer(
        self, known: EvacuationList | None, peer: str, now_s: float
    ) -> None:
        """Apply a peer's list if it is newer."""
        if not self.is_followed or known is None:
            return
        current = self._current
        if current is None or known.revision > current.revision:
            self._apply(known, now_s, source=SOURCE_PEER, peer=peer)
        elif (
            known.revision < current.revision
            and known.domains != current.domains
        ):
            # The peer has missed a change.
            self._news_s = now_s

    def news(self, now_s: float) -> EvacuationList | None:
        """Return the list for the reports to the peers, if they need it."""
        current = self._current
        if current is None or not (
            current.domains or now_s - self._news_s <= NEWS_S
        ):
            return None
        if _is_reportable(current.domains):
            return current
        if self._log_limit.allows("size", now_s):
            _LOGGER.warning(
                "%d evacuated failure domains are too many for the reports",
                len(current.domains),
            )
        return None

    def mark(self, servers: Iterable[Backend]) -> None:
        """Mark the servers whose failure domain is evacuated."""
        domains = self.domains
        for server in servers:
            server.is_evacuated = server.entry.failure_domain in domains

    def _apply(
        self,
        known: EvacuationList,
        now_s: float,
        *,
        source: str,
        peer: str | None = None,
    ) -> None:
        before = self.domains
        self._current = known
        if known.domains == before:
            return
        self._news_s = now_s
        for domain in sorted(known.domains ^ before):
            _LOGGER.info(
                "evacuation %s",
                "starts" if domain in known.domains else "ends",
                extra={
                    "failure_domain": domain,
                    "revision": known.revision,
                    "learned_from": source,
                    "peer": peer,
                },
            )
        for domain in sorted(before - known.domains):
            for on_end in self.on_evacuation_end:
                self._call(partial(on_end, domain, now_s), now_s)
        for on_change in self.on_change:
            self._call(on_change, now_s)

    def _call(self, callback: Callable[[], None], now_s: float) -> None:
        """Call a callback; one that fails must not stop the others."""
        try:
            callback()
        except Exception:
            if self._log_limit.allows("callback", now_s):
                _LOGGER.exception("a change of the evacuations isn't handled")


def encode_evacuations(known: EvacuationList) -> list[Any]:
    """Encode a list for a report."""
    return [known.revision, sorted(known.domains)]


def decode_evacuations(body: Any) -> EvacuationList | None:
    """Return the list in a report, None if there is none or it is too long.

    Raises TypeError or ValueError when it is invalid.
    """
    if body is None:
        return None
    revision, domains = body
    if not isinstance(revision, int) or not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"no valid revision: {shorten(revision)}")
    if not isinstance(domains, list) or not all(
        isinstance(domain, str) for domain in domains
    ):
        raise TypeError("evacuated domains are not a list of names")
    if not _is_reportable(domains):
        return None
    return EvacuationList(revision=revision, domains=frozenset(domains))


def _is_reportable(domains: Iterable[str]) -> bool:
    names = tuple(domains)
    return (
        len(names) <= MAX_REPORTED
        and sum(map(len, names)) <= MAX_REPORTED_CHARACTERS
    )
