"""Test doubles of components that the gateway's tests don't run."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import ClaimKind
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step


class InMemoryClaims:
    """Claims in memory that behave like the claims in the store.

    While is_unavailable is set, each claim fails with unavailable_outcome.
    """

    def __init__(self) -> None:
        self.claims: dict[str, Any] = {}
        self.is_unavailable = False
        self.unavailable_outcome = Outcome.NOT_RUN

    async def async_claim(self, key, fingerprint, now_s):
        """Grant the first claim of a key; answer later ones from it."""
        if self.is_unavailable:
            raise AzurewickError(
                ErrorCode.STORE_UNAVAILABLE,
                "down",
                step=Step.STORE,
                outcome=self.unavailable_outcome,
            )
        if key not in self.claims:
            self.claims[key] = (fingerprint, None)
            return ClaimDecision(kind=ClaimKind.GRANTED)
        first, answer = self.claims[key]
        if first != fingerprint:
            return ClaimDecision(kind=ClaimKind.MISMATCH)
        if answer is None:
            return ClaimDecision(kind=ClaimKind.IN_PROGRESS)
        return ClaimDecision(kind=ClaimKind.REPLAY, answer=answer)

    async def async_complete(self, key, answer, now_s):
        """Store the answer with its claim."""
        self.claims[key] = (self.claims[key][0], answer)

    async def async_release(self, key, now_s):
        """Remove the claim of the key."""
        del self.claims[key]

    async def async_wait(self, key, timeout_s):
        """Return at once: no other gateway ends a claim here."""
        return ClaimDecision(kind=ClaimKind.IN_PROGRESS)


class FakeFloorClient:
    """Floor client that records calls and acknowledges them.

    The agents in silent_agents don't acknowledge. before_ack is awaited
    before each result is returned.
    """

    def __init__(self) -> None:
        self.calls: list[tuple[str, int]] = []
        self.silent_agents: set[str] = set()
        self.before_ack: Callable[[], Awaitable[None]] | None = None

    async def async_set_floor(self, server, floor_tier):
        """Record the call; return whether the agent acknowledges it."""
        self.calls.append((server.name, floor_tier))
        if self.before_ack is not None:
            await self.before_ack()
        return server.name not in self.silent_agents

    def close_connections_except(self, control_addresses):
        """Do nothing: this client has no connections."""
