"""Departures of backend servers, from all sources."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum

from azurewick.entry.models import BackendEntry

# Departures are in the reports to the peers for this long. Some tens of
# reports are sent in this time, of which some may get lost.
NEWS_S = 10.0
MAX_REPORTED = 64
# Departures that are remembered.
MAX_DEPARTURES = 4096


class DepartureSource(StrEnum):
    """What tells that a server leaves or has left."""

    DRAINING_ENTRY = "draining entry"
    REMOVED_ENTRY = "removed entry"
    ANSWER = "answer"


@dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """End of one run of a server.

    run is that of BackendEntry.run_name. revision is the store's revision at
    which a removed entry was known to be missing, 0 for the other sources.
    """

    run: str
    source: DepartureSource
    revision: int = 0

    @property
    def is_final(self) -> bool:
        """Return whether only another run of the server can be used again.

        An entry is also removed when a live server can't reach the store for
        some seconds; the server then comes back with a newer entry.
        """
        return self.source is not DepartureSource.REMOVED_ENTRY


class Departures:
    """What this instance knows of the departures of server runs."""

    def __init__(self) -> None:
        # By run; the time is that of the news.
        self._known: OrderedDict[str, tuple[Departure, float]] = OrderedDict()

    def record(self, departure: Departure, now_s: float) -> bool:
        """Record a departure; return whether it is news."""
        known = self._known.get(departure.run)
        if known is not None and (
            known[0].is_final
            or (
                not departure.is_final
                and departure.revision <= known[0].revision
            )
        ):
            return False
        self._known[departure.run] = (departure, now_s)
        self._known.move_to_end(departure.run)
        if len(self._known) > MAX_DEPARTURES:
            self._known.popitem(last=False)
        return True

    def find(self, entry: BackendEntry) -> Departure | None:
        """Return the departure of the run that an entry describes.

        An entry that is newer than its removal shows a server that is back.
        """
        known = self._known.get(entry.run_name)
        if known is None:
            return None
        departure, _ = known
        if departure.is_final or entry.revision <= departure.revision:
            return departure
        return None

    def news(self, now_s: float) -> list[Departure]:
        """Return the departures for the reports to the peers."""
        found: list[Departure] = []
        for departure, known_s in reversed(self._known.values()):
            if now_s - known_s > NEWS_S or len(found) == MAX_REPORTED:
                break
            found.append(departure)
        return found
