"""What a caller's connection needs of its server."""

from __future__ import annotations

from typing import Protocol

from azurewick.helpers.caller_memory import CallerMemory
from azurewick.helpers.caller_memory import MemoryHolder


class ConnectionOwner(Protocol):
    """Server that limits its connections."""

    header_timeout_s: float
    max_connections: int
    max_head_bytes: int
    memory: CallerMemory

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""

    @property
    def idle_timeout_s(self) -> float:
        """Return how long a connection may be idle."""

    def add_idle(self, connection: MemoryHolder) -> None:
        """Count a connection as idle from now on."""

    def remove_idle(self, connection: MemoryHolder) -> bool:
        """Count a connection as used; return whether it was idle."""

    def close_oldest_idle(self) -> bool:
        """Close the connection that was idle for longest, if there is one."""

    def add_new(self, connection: MemoryHolder) -> None:
        """Count a connection as one that has no request yet."""

    def remove_new(self, connection: MemoryHolder) -> None:
        """Count a connection as one that has had a request."""

    def close_oldest_new(self) -> bool:
        """Close the one that has been without a request for longest."""

    def forget(self, connection: MemoryHolder) -> None:
        """Forget a connection that has been closed."""

    def keep_memory_limit(self) -> None:
        """Close connections while they hold more memory than allowed."""
