"""Decisions about where an instance gets the configuration from."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum

from azurewick.replication.models import PeerCopy

# Instances that watch the store for the others. One may lose its answers or
# end, and the other one still sees each change.
READERS = 2
# A watch waits for this long, so that one whose answer is lost is noticed.
WATCH_S = 1.0
# Longest wait for the answer beyond that. The store takes 4 ms, and 60 times
# that when it is slow.
ANSWER_TIMEOUT_S = 0.6
# Longest wait for an answer that is given at once.
POLL_TIMEOUT_S = 1.0
# The store confirms the configuration of the best informed instance within
# this time, or others ask the store themselves. The platform wants changes in
# force 2.5 s after their confirmation.
MAX_AGE_S = 1.5
# Instances of a higher rank wait longer, so that one of them asks the store.
RANK_STEP_S = 0.1
MAX_RANK = 3
# The same while an instance receives a large answer of the store. The largest
# document takes 1.7 s on the narrowest link, and a change that comes just
# after its beginning is in the next answer.
MAX_AGE_RECEIVING_S = 4.5
# An instance without confirmation for this long can't reach the store.
LOST_STORE_AFTER_S = 3.0
# Peers have this long to provide a version that one of them has announced.
PEER_PATIENCE_S = 0.6
# An instance that starts takes the configuration of a peer only when it was
# confirmed so lately. Older ones may hold keys that have been withdrawn.
MAX_START_AGE_S = 2.0
# Longest time for which an instance that starts waits for a peer's copy.
MAX_START_WAIT_S = 1.0
# Shortest wait, as timers may fire a millisecond early.
MIN_WAIT_S = 0.02
# Longest wait until the next decision: peers may end meanwhile.
MAX_WAIT_S = 0.5
# Largest value of the store.
LARGEST_DOCUMENT_BITS = 8 * 1_048_576
# Round trips in which it is sent, with windows of 64 KB.
LARGEST_DOCUMENT_ROUND_TRIPS = 16


class Action(StrEnum):
    """What an instance does next with the store."""

    # Read the whole configuration.
    READ = "read"
    # Wait for a change, or ask for one without waiting.
    WATCH = "watch"
    # Leave the store alone.
    WAIT = "wait"


@dataclass(frozen=True, kw_only=True, slots=True)
class StorePlan:
    """Next action, and the longest time that it may wait for a change."""

    action: Action
    wait_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnCopy:
    """Configuration of this instance.

    revision is 0 before the first one. can_watch is unset when only a whole
    read shows what has changed. missing_since_s is since when a version is
    known that no peer has provided, None if there is no such version.
    is_peer_receiving says that a peer has lately received a large answer of
    the store.
    """

    name: str
    started_s: float
    read_time_s: float
    revision: int = 0
    confirmed_s: float = float("-inf")
    can_watch: bool = False
    missing_since_s: float | None = None
    is_peer_receiving: bool = False


def plan_store_access(
    own: OwnCopy, peers: Sequence[PeerCopy], now_s: float
) -> StorePlan:
    """Return what to do next with the store.

    Few instances watch the store and read large changes from it; the others
    get them from these. An instance that hears from no peer with a recent
    configuration asks the store itself.
    """
    if own.missing_since_s is not None:
        left_s = own.missing_since_s + PEER_PATIENCE_S - now_s
        if left_s > 0:
            return StorePlan(action=Action.WAIT, wait_s=left_s)
        return StorePlan(action=Action.READ)
    if not own.revision:
        return _plan_start(own, now_s)
    if not own.can_watch:
        return StorePlan(action=Action.READ)
    rank = _rank(own, peers, now_s)
    if rank < READERS:
        return StorePlan(action=Action.WATCH, wait_s=WATCH_S)
    limit_s = MAX_AGE_S
    if own.is_peer_receiving:
        limit_s = MAX_AGE_RECEIVING_S
    limit_s += min(rank - READERS, MAX_RANK) * RANK_STEP_S
    left_s = own.confirmed_s + limit_s - now_s
    if left_s > 0:
        return StorePlan(action=Action.WAIT, wait_s=_clamp(left_s))
    return StorePlan(action=Action.WATCH)


def choose_source(
    own: OwnCopy, peers: Sequence[PeerCopy], now_s: float
) -> PeerCopy | None:
    """Return the peer to get a newer configuration from, None if none has it.

    peers doesn't hold those that have just failed to provide it.
    """
    newer = [peer for peer in peers if peer.revision > own.revision]
    if not own.revision:
        newer = [
            peer
            for peer in newer
            if now_s - peer.confirmed_s <= MAX_START_AGE_S
        ]
    if not newer:
        return None
    newest = max(peer.revision for peer in newer)
    return min(
        (peer for peer in newer if peer.revision == newest),
        # The link between regions is narrow and billed by volume.
        key=lambda peer: (
            not peer.is_same_region,
            peer.read_time_s,
            peer.name,
        ),
    )


def estimate_read_time_s(link_mbit_per_s: float, round_trip_s: float) -> float:
    """Return how long reading the largest document from the store takes.

    It is rounded, so that small differences don't change the ranks.
    """
    return round(
        LARGEST_DOCUMENT_BITS / (link_mbit_per_s * 1e6)
        + LARGEST_DOCUMENT_ROUND_TRIPS * round_trip_s,
        1,
    )


def _plan_start(own: OwnCopy, now_s: float) -> StorePlan:
    """Return how an instance gets its first configuration.

    A slow link waits for the copy of a peer, which is smaller. When the
    store has no configuration yet, it is watched.
    """
    if own.can_watch:
        return StorePlan(action=Action.WATCH, wait_s=WATCH_S)
    wait_s = min(own.read_time_s, MAX_START_WAIT_S)
    left_s = own.started_s + wait_s - now_s
    if left_s > 0:
        return StorePlan(action=Action.WAIT, wait_s=left_s)
    return StorePlan(action=Action.READ)


def _clamp(wait_s: float) -> float:
    return min(max(wait_s, MIN_WAIT_S), MAX_WAIT_S)


def _rank(own: OwnCopy, peers: Sequence[PeerCopy], now_s: float) -> int:
    """Return how many peers are better placed to read from the store."""
    own_key = own.read_time_s, own.name
    return sum(
        (peer.read_time_s, peer.name) < own_key
        for peer in peers
        if peer.is_receiving or now_s - peer.confirmed_s <= LOST_STORE_AFTER_S
    )
