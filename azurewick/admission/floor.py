"""Admission floor of a pool: in the agent, and its confirmation."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import Final

from azurewick.const import ADMISSION_FLOOR_HOLD_S
from azurewick.const import HIGHEST_TIER
from azurewick.const import LOWEST_TIER
from azurewick.const import PERMIT_DURATION_S

# After a request was shed, no lower tier may be dispatched for this long.
RULE_WINDOW_S: Final = 1.0


class AdmissionFloor:
    """Lowest tier that an agent may dispatch.

    Without a contact in the last permit time only the highest tier passes:
    a gateway that could not reach the agent sheds on that assumption.
    """

    def __init__(self, permit_s: float = PERMIT_DURATION_S) -> None:
        self._permit_s = permit_s
        self._last_contact_s: float | None = None
        self._expiry_by_tier: dict[int, float] = {}

    def set_floor(self, floor_tier: int, hold_s: float, now_s: float) -> None:
        """Set or renew a floor; this is also a contact."""
        self.record_contact(now_s)
        expiry_s = now_s + hold_s
        before_s = self._expiry_by_tier.get(floor_tier, expiry_s)
        self._expiry_by_tier[floor_tier] = max(expiry_s, before_s)

    def record_contact(self, now_s: float) -> None:
        """Record that a relay or a gateway reached this agent."""
        self._last_contact_s = now_s

    def current(self, now_s: float) -> int:
        """Return the most restrictive floor that has not expired."""
        if (
            self._last_contact_s is None
            or now_s - self._last_contact_s > self._permit_s
        ):
            return HIGHEST_TIER
        self._expiry_by_tier = {
            tier: expiry_s
            for tier, expiry_s in self._expiry_by_tier.items()
            if expiry_s >= now_s
        }
        return min(self._expiry_by_tier, default=LOWEST_TIER)


class FloorRound:
    """Confirmation, at a gateway, that a pool's floor is in force.

    It stays confirmed until the floors might expire inside the window in
    which the tier rule forbids lower tiers; a new round is needed then.
    """

    def __init__(
        self,
        agents: Collection[str],
        *,
        floor_tier: int,
        started_s: float,
        hold_s: float = ADMISSION_FLOOR_HOLD_S,
        permit_s: float = PERMIT_DURATION_S,
        unreachable_since_s: Mapping[str, float] | None = None,
    ) -> None:
        self.floor_tier = floor_tier
        self._valid_until_s = started_s + hold_s - RULE_WINDOW_S
        self._permit_s = permit_s
        self._missing = set(agents)
        known = unreachable_since_s or {}
        self._unreachable_since_s = {
            agent: known[agent] for agent in agents if agent in known
        }

    @property
    def unreachable_since_s(self) -> Mapping[str, float]:
        """Return the unreachable agents, to be handed to the next round."""
        return self._unreachable_since_s

    def pending(self) -> frozenset[str]:
        """Return the agents that have not acknowledged."""
        return frozenset(self._missing)

    def record_ack(self, agent: str, now_s: float) -> None:
        """Record that an agent has set the floor."""
        self._missing.discard(agent)
        self._unreachable_since_s.pop(agent, None)

    def record_unreachable(self, agent: str, now_s: float) -> None:
        """Record that a call to an agent failed."""
        if agent in self._missing:
            self._unreachable_since_s.setdefault(agent, now_s)

    def is_valid(self, now_s: float) -> bool:
        """Return whether the acknowledged floors still hold long enough."""
        return now_s <= self._valid_until_s

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether a request of the floor's tier may be shed."""
        if not self.is_valid(now_s):
            return False
        return all(
            agent in self._unreachable_since_s
            and now_s - self._unreachable_since_s[agent] > self._permit_s
            for agent in self._missing
        )
