"""Groups of engines, and the election of the broker of each group."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from functools import lru_cache
from hashlib import blake2b
from logging import getLogger
from math import log
from typing import NamedTuple
from typing import Protocol

from azurewick.entry.models import BackendEntry

_LOGGER = getLogger(__name__)

# Bounds what one broker has to handle.
MAX_GROUP_ENGINES = 32
# An elected broker is reused for this long; the reports that decide the
# election arrive every 0.2 s.
ELECTION_TTL_S = 0.1
# Time for which a broker that doesn't answer is not elected; it doubles each
# time. A longer first one would leave an asker that has lost some datagrams
# with another broker than the others, and engines with too many requests.
SUSPECTED_S = 0.3
MAX_SUSPECTED_S = 2.4
MAX_DOUBLINGS = 10
# Scores kept: instances times groups of a large fleet.
CACHED_SCORES = 16_384


class Group(NamedTuple):
    """Engines of a service in one region that share a broker."""

    service: str
    region: str
    number: int

    def __str__(self) -> str:
        """Return the group's name in log lines."""
        return f"{self.service}/{self.region}/{self.number}"


class LiveInstances(Protocol):
    """Instances that take part in elections."""

    def processor_shares(self, now_s: float) -> Mapping[str, float]:
        """Return the processor shares that the live peers report."""


def split_groups(
    service: str, engines: Iterable[BackendEntry], regions: Mapping[str, str]
) -> dict[Group, frozenset[str]]:
    """Return the names of a service's engines by group."""
    by_region: dict[str, list[str]] = {}
    for engine in engines:
        region = regions.get(engine.failure_domain, "")
        by_region.setdefault(region, []).append(engine.name)
    return {
        Group(service, region, start // MAX_GROUP_ENGINES): frozenset(
            sorted(names)[start : start + MAX_GROUP_ENGINES]
        )
        for region, names in by_region.items()
        for start in range(0, len(names), MAX_GROUP_ENGINES)
    }


def elect(group: Group, shares: Mapping[str, float]) -> str | None:
    """Return the instance with the highest weighted rendezvous score.

    shares are the weights by name. Returns None if all are 0.
    """
    scores = [
        (share * _unit_score(group, name), name)
        for name, share in shares.items()
        if share > 0
    ]
    return max(scores)[1] if scores else None


class BrokerElection:
    """Brokers of the groups as this instance sees them.

    own_share is the processor share that this instance reports.
    """

    def __init__(
        self, own_name: str, own_region: str, peers: LiveInstances
    ) -> None:
        self.own_share = 0.0
        self._own_name = own_name
        self._own_region = own_region
        self._peers = peers
        self._peer_regions: Mapping[str, str] | None = None
        self._elected: dict[Group, tuple[str | None, float]] = {}
        # Brokers that don't answer this instance: how often in a row, and
        # until when others are elected.
        self._suspicions: dict[str, int] = {}
        self._suspected_until_s: dict[str, float] = {}

    @property
    def knows_peers(self) -> bool:
        """Return whether the list of the peers has been read."""
        return self._peer_regions is not None

    def region_of(self, name: str) -> str:
        """Return the region of an instance, empty if it isn't known."""
        if name == self._own_name:
            return self._own_region
        return (self._peer_regions or {}).get(name, "")

    def set_peers(self, regions: Mapping[str, str]) -> None:
        """Set the regions of the live peers by name."""
        self._peer_regions = dict(regions)
        self.expire()

    def expire(self) -> None:
        """Elect all brokers anew when they are asked for."""
        self._elected = {
            group: (broker, float("-inf"))
            for group, (broker, _) in self._elected.items()
        }

    def suspect(self, name: str, now_s: float) -> None:
        """Elect other instances for a time, as a broker doesn't answer.

        A broker that has ended counts as live until its reports have been
        missing for 1 or 2 s. All its askers notice it before, and elect the
        same next one.
        """
        times = self._suspicions.get(name, 0)
        self._suspicions[name] = times + 1
        self._suspected_until_s[name] = now_s + min(
            MAX_SUSPECTED_S, SUSPECTED_S * 2 ** min(times, MAX_DOUBLINGS)
        )
        self.expire()

    def trust(self, name: str) -> None:
        """Record that a broker answers."""
        self._suspicions.pop(name, None)

    def broker(self, group: Group, now_s: float) -> str | None:
        """Return the broker of a group; None without a candidate.

        Instances of the group's region are preferred. In a region without
        instances any other may be elected.
        """
        known, elected_s = self._elected.get(group, (None, float("-inf")))
        if 0 <= now_s - elected_s < ELECTION_TTL_S:
            return known
        shares = {
            name: share
            for name, share in self._peers.processor_shares(now_s).items()
            if name in (self._peer_regions or {})
            and now_s >= self._suspected_until_s.get(name, now_s)
        }
        shares[self._own_name] = self.own_share
        near = {
            name: share
            for name, share in shares.items()
            if self.region_of(name) == group.region
        }
        broker = elect(group, near or shares)
        if broker != known:
            _LOGGER.info(
                "slot broker changed",
                extra={
                    "group": str(group),
                    "broker": broker,
                    "previous_broker": known,
                    "candidates": len(near or shares),
                },
            )
        self._elected[group] = (broker, now_s)
        return broker


@lru_cache(maxsize=CACHED_SCORES)
def _unit_score(group: Group, name: str) -> float:
    """Return the score of an instance with a weight of 1."""
    digest = blake2b(f"{group}/{name}".encode(), digest_size=8).digest()
    drawn = (int.from_bytes(digest) + 1) / (2**64 + 2)
    return -1.0 / log(drawn)
