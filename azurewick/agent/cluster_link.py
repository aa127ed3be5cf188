"""Exchange of loads and crashes between the agent and the gateways."""

from __future__ import annotations

from collections.abc import Collection

from aiomisc import Service

from azurewick.agent.agent import Agent
from azurewick.control.models import PoisonNotice
from azurewick.helpers.clock import monotonic_s
from azurewick.membership.coordinator import ClusterState
from azurewick.poison.detector import POISON_CRASH_RETENTION_S
from azurewick.poison.detector import PoisonDetector
from azurewick.store.client import ObjectApiClient


class CrashReporter:
    """Crash listener that also sends each crash to the gateways."""

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
        """Count a crash against each fingerprint and share it.

        source is the backend server's name. incarnation identifies the run
        of the server that crashed, so that each crash is counted once.
        """
        self._detector.record_crash(source, incarnation, fingerprints, now_s)
        for fingerprint in fingerprints:
            self._cluster.record_poison(
                PoisonNotice(
                    fingerprint=fingerprint,
                    source=source,
                    incarnation=incarnation,
                    crashes=1,
                    remaining_s=POISON_CRASH_RETENTION_S,
                ),
                now_s,
            )

    def is_poison(self, fingerprint: str, now_s: float) -> bool:
        """Return whether requests with the fingerprint are refused."""
        return self._detector.is_poison(fingerprint, now_s)


class ClusterLink(Service):
    """Service that exchanges cluster state with the gateways by Sync calls."""

    __required__ = ("agent", "cluster", "store")
    agent: Agent
    cluster: ClusterState
    store: ObjectApiClient

    async def start(self) -> None:
        """Start the Sync calls.

        Each answered call renews the agent's permit to dispatch the lower
        tiers.
        """
        self.cluster.async_add_contact_listener(
            self.agent.dispatcher.record_contact
        )
        await self.cluster.async_start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the Sync calls and close the store client."""
        await self.cluster.async_stop()
        await self.store.async_close()

    def share_load(self) -> None:
        """Set the load report that the next Sync call sends."""
        self.cluster.record_load(self.agent.build_load_report(), monotonic_s())
