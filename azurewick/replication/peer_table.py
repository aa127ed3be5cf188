"""Configurations of the peers, as their reports tell."""

from __future__ import annotations

from collections.abc import Mapping

from azurewick.helpers.address import split_address
from azurewick.replication.models import ConfigurationNotice
from azurewick.replication.models import PeerAddress
from azurewick.replication.models import PeerCopy

# A peer without reports for this long counts as silent.
SILENT_AFTER_S = 2.0
# A peer that has failed to provide its copy isn't asked again for this long.
# Instances that refuse as they are busy soon have time again.
PEER_RETRY_S = 0.15
# After a large answer of the store, a reader goes on with the next one at
# once; the report about that may take this long.
RECEIVED_LATELY_S = 0.7


class PeerTable:
    """Latest notices of the live peers."""

    def __init__(self) -> None:
        self._peers: dict[str, PeerAddress] = {}
        self._copies: dict[str, PeerCopy] = {}
        self._failed_until_s: dict[str, float] = {}
        # When a peer has last told that it receives a large answer.
        self._receiving_s = float("-inf")

    def set_peers(self, peers: Mapping[str, PeerAddress]) -> None:
        """Set the other live instances, by name."""
        self._peers = dict(peers)
        self._copies = {
            name: copy for name, copy in self._copies.items() if name in peers
        }
        self._failed_until_s = {
            name: until_s
            for name, until_s in self._failed_until_s.items()
            if name in peers
        }

    def is_peer(self, host: str) -> bool:
        """Return whether an IP address is that of a peer."""
        return any(
            split_address(peer.address)[0] == host
            for peer in self._peers.values()
        )

    def record(
        self, name: str, notice: ConfigurationNotice, now_s: float
    ) -> PeerCopy | None:
        """Record a notice; return the copy, None if the peer isn't known."""
        peer = self._peers.get(name)
        if peer is None:
            return None
        if notice.is_receiving:
            self._receiving_s = now_s
        copy = PeerCopy(
            name=name,
            address=peer.address,
            is_same_region=peer.is_same_region,
            revision=notice.revision,
            checked_revision=notice.checked_revision,
            confirmed_s=now_s - notice.age_s,
            received_s=now_s,
            read_time_s=notice.read_time_s,
            is_receiving=notice.is_receiving,
        )
        self._copies[name] = copy
        return copy

    def record_failure(self, name: str, now_s: float) -> None:
        """Record that a peer hasn't provided its copy."""
        self._failed_until_s[name] = now_s + PEER_RETRY_S

    def live_copies(self, now_s: float) -> list[PeerCopy]:
        """Return the copies of the peers whose reports arrive."""
        return [
            copy
            for copy in self._copies.values()
            if now_s - copy.received_s <= SILENT_AFTER_S
        ]

    def available_copies(self, now_s: float) -> list[PeerCopy]:
        """Return the live copies without those that were just refused."""
        return [
            copy
            for copy in self.live_copies(now_s)
            if self._failed_until_s.get(copy.name, now_s) <= now_s
        ]

    def is_any_receiving(self, now_s: float) -> bool:
        """Return whether a peer receives a large answer of the store."""
        return now_s - self._receiving_s <= RECEIVED_LATELY_S
