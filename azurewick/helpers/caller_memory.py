"""Account of the memory that a server holds for its callers' connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from logging import getLogger
from typing import Protocol

from azurewick.helpers.log_limit import LogLimit

_LOGGER = getLogger(__name__)

# Default limit of all connections together.
LIMIT_BYTES = 33_554_432
# Default time after which an answer that its caller doesn't read is given up.
# The kernel of a slow caller may take bytes in steps some seconds apart.
UNREAD_ANSWER_S = 15.0


class CloseCause(StrEnum):
    """Limit for which a caller's connection is closed."""

    MEMORY = "memory"
    UNREAD_ANSWER = "unread_answer"
    CONNECTIONS = "connections"
    FRAMING = "framing"


@dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on what a server holds for its callers' connections.

    memory_bytes bounds received bytes that no request has taken yet, heads
    and unread answers of all connections. unread_answer_s is how long a caller
    may leave an answer unread, counted from the last byte that it took.
    """

    memory_bytes: int = LIMIT_BYTES
    unread_answer_s: float = UNREAD_ANSWER_S


class MemoryHolder(Protocol):
    """Connection for which memory is held."""

    @property
    def progress_s(self) -> float:
        """Return when the connection last had an answer, or was opened."""


class CallerMemory:
    """Memory held for the connections of one server.

    on_close is called with the cause of each connection that is closed for a
    limit.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self.limits = limits
        self.held_bytes = 0
        self.on_close: Callable[[CloseCause], None] = lambda cause: None
        self._held: dict[MemoryHolder, int] = {}
        self._log_limit = LogLimit()

    def update(self, holder: MemoryHolder, held_bytes: int) -> None:
        """Set what is held for a connection."""
        self.held_bytes += held_bytes - self._held.get(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        else:
            self._held.pop(holder, None)

    def remove(self, holder: MemoryHolder) -> None:
        """Forget a connection."""
        self.held_bytes -= self._held.pop(holder, 0)

    def choose_closed(self, now_s: float) -> list[MemoryHolder]:
        """Return the connections to close so that the limit is kept.

        Those that have held most for longest without an answer come first.
        The only connection is never among them.
        """
        excess_bytes = self.held_bytes - self.limits.memory_bytes
        if excess_bytes <= 0:
            return []
        holders = sorted(
            self._held,
            key=lambda holder: (
                self._held[holder] * (now_s - holder.progress_s)
            ),
        )
        chosen: list[MemoryHolder] = []
        while excess_bytes > 0 and len(holders) > 1:
            holder = holders.pop()
            excess_bytes -= self._held[holder]
            chosen.append(holder)
        return chosen

    def record_close(self, cause: CloseCause, now_s: float) -> None:
        """Record a closed connection; log the first one of an interval."""
        self.on_close(cause)
        if self._log_limit.allows(cause, now_s):
            _LOGGER.warning(
                "caller's connection closed",
                extra={
                    "cause": cause.value,
                    "held_bytes": self.held_bytes,
                    "limit_bytes": self.limits.memory_bytes,
                },
            )
