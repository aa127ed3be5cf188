"""Admission floor: the lowest tier that the agents of a pool dispatch.

An agent applies its floor; a gateway confirms that all agents have set it
before it sheds a request of the floor's tier.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping
from typing import Final

from azurewick.const import ADMISSION_FLOOR_DURATION_S
from azurewick.const import HIGHEST_TIER
from azurewick.const import LOWEST_TIER
from azurewick.const import PERMIT_DURATION_S

# No lower tier may be dispatched for this long after a request was shed.
LOWER_TIER_BLOCK_S: Final = 1.0


class AdmissionFloor:
    """Lowest tier that an agent may dispatch.

    Lower tiers need a permit, which each contact from a relay or a gateway
    renews. Without one only the highest tier is dispatched: a gateway that
    has not reached the agent for that long relies on it when it sheds.
    """

    def __init__(self, permit_duration_s: float = PERMIT_DURATION_S) -> None:
        self._permit_duration_s = permit_duration_s
        self._last_contact_s: float | None = None
        self._expiry_by_tier: dict[int, float] = {}

    def set_floor(
        self, floor_tier: int, duration_s: float, now_s: float
    ) -> None:
        """Set or renew a floor for duration_s, and renew the permit."""
        self.record_contact(now_s)
        expiry_s = now_s + duration_s
        previous_expiry_s = self._expiry_by_tier.get(floor_tier, expiry_s)
        self._expiry_by_tier[floor_tier] = max(expiry_s, previous_expiry_s)

    def record_contact(self, now_s: float) -> None:
        """Renew the permit: a relay or a gateway reached this agent."""
        self._last_contact_s = now_s

    def current(self, now_s: float) -> int:
        """Return the most restrictive floor that has not expired."""
        if (
            self._last_contact_s is None
            or now_s - self._last_contact_s > self._permit_duration_s
        ):
            return HIGHEST_TIER
        self._expiry_by_tier = {
            tier: expiry_s
            for tier, expiry_s in self._expiry_by_tier.items()
            if expiry_s >= now_s
        }
        return min(self._expiry_by_tier, default=LOWEST_TIER)


class FloorRound:
    """One round of a gateway that confirms the floor of a pool's agents.

    The floor is confirmed when each agent has acknowledged it or has been
    unreachable until its permit expired. A round becomes invalid when a
    floor could expire within LOWER_TIER_BLOCK_S; a new round is needed then.
    """

    def __init__(
        self,
        agents: Collection[str],
        *,
        floor_tier: int,
        started_s: float,
        floor_duration_s: float = ADMISSION_FLOOR_DURATION_S,
        permit_duration_s: float = PERMIT_DURATION_S,
        unreachable_since_s: Mapping[str, float] | None = None,
    ) -> None:
        self.floor_tier = floor_tier
        self._valid_until_s = started_s + floor_duration_s - LOWER_TIER_BLOCK_S
        self._permit_duration_s = permit_duration_s
        self._unacknowledged = set(agents)
        previous = unreachable_since_s or {}
        self._unreachable_since_s = {
            agent: previous[agent] for agent in agents if agent in previous
        }

    @property
    def unreachable_since_s(self) -> Mapping[str, float]:
        """Return since when agents are unreachable, for the next round."""
        return self._unreachable_since_s

    def pending(self) -> frozenset[str]:
        """Return the agents that have not acknowledged the floor."""
        return frozenset(self._unacknowledged)

    def record_ack(self, agent: str, now_s: float) -> None:
        """Record that an agent has set the floor."""
        self._unacknowledged.discard(agent)
        self._unreachable_since_s.pop(agent, None)

    def record_unreachable(self, agent: str, now_s: float) -> None:
        """Record that a call to an agent failed."""
        if agent in self._unacknowledged:
            self._unreachable_since_s.setdefault(agent, now_s)

    def is_valid(self, now_s: float) -> bool:
        """Return whether the floors of this round last long enough to shed."""
        return now_s <= self._valid_until_s

    def is_confirmed(self, now_s: float) -> bool:
        """Return whether a request of the floor's tier may be shed."""
        if not self.is_valid(now_s):
            return False
        return all(
            agent in self._unreachable_since_s
            and now_s - self._unreachable_since_s[agent]
            > self._permit_duration_s
            for agent in self._unacknowledged
        )
