"""Link between the agent and the relays: loads, crashes and permits."""

from __future__ import annotations

from collections.abc import Collection

from aiomisc import Service

from azurewick.agent.agent import Agent
from azurewick.control.models import PoisonNotice
from azurewick.helpers.clock import monotonic_s
from azurewick.membership.coordinator import ClusterState
from azurewick.poison.detector import FORGET_AFTER_S
from azurewick.poison.detector import PoisonDetector
from azurewick.store.client import ObjectApiClient


class CrashReporter:
    """Crash listener that shares crashes with the gateways."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._detector = PoisonDetector()

    def record_crash(
        self,
        source: str,
        incarnation: str,
        fingerprints: Collection[str],
        now_s: float,
    ) -> None:
        """Count a crash and share it; incarnation names the server's run."""
        self._detector.record_crash(source, incarnation, fingerprints, now_s)
        for fingerprint in fingerprints:
            self._cluster.record_poison(
                PoisonNotice(
                    fingerprint=fingerprint,
                    source=source,
                    incarnation=incarnation,
                    crashes=1,
                    remaining_s=FORGET_AFTER_S,
                ),
                now_s,
            )

    def is_poison(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the fingerprint has to be refused."""
        return self._detector.is_poison(fingerprint, now_s)


class ClusterLink(Service):
    """Service that keeps the agent in contact with the relays."""

    __required__ = ("agent", "cluster", "store")
    agent: Agent
    cluster: ClusterState
    store: ObjectApiClient

    async def start(self) -> None:
        """Start Sync; each answered call renews the permit."""
        self.cluster.async_add_contact_listener(
            self.agent.dispatcher.record_contact
        )
        await self.cluster.async_start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop Sync."""
        await self.cluster.async_stop()
        await self.store.async_close()

    def share_load(self) -> None:
        """Hand the present load to the next Sync."""
        self.cluster.record_load(self.agent.report(), monotonic_s())
