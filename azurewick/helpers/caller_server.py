"""HTTP server that limits the connections of callers."""

from __future__ import annotations

from asyncio import TimerHandle
from typing import Any

from aiohttp.web import BaseRequest
from aiohttp.web import RequestHandler
from aiohttp.web import Server
from aiohttp.web import StreamResponse

from azurewick.const import MAX_HEADER_FIELDS
from azurewick.helpers.caller_connection import CallerConnection
from azurewick.helpers.caller_input import BODY_BUFFER_BYTES
from azurewick.helpers.caller_memory import CallerLimits
from azurewick.helpers.caller_memory import CallerMemory
from azurewick.helpers.caller_memory import CloseCause

# Load balancers commonly keep idle connections open for as long as this.
KEEPALIVE_S = 75.0
# The server closes idle connections itself, by a limit that may change.
# aiohttp's timer also closes connections on which a head is being received.
AIOHTTP_KEEPALIVE_S = 86_400.0
# Shortest time between two searches for connections that were idle too long.
MIN_SEARCH_INTERVAL_S = 0.1
# Time spent on reading the rest of a refused body. Closing at once would reset
# the connection, and a caller that still sends might not get the error.
LINGERING_S = 2.0
# Maximum length of the request line and of each header field.
MAX_FIELD_BYTES = 8190
# Limit of a whole request head until the configuration has another one.
MAX_HEAD_BYTES = 65_536
# Interval at which the memory and the unread answers are looked at.
SWEEP_INTERVAL_S = 1.0
# A connection without a request may be closed for a new one after this time.
NEW_CONNECTION_S = 1.0


class CallerRequest(BaseRequest):
    """Request whose response announces the limit on idle connections."""

    async def _prepare_hook(self, resp: StreamResponse) -> None:
        assert isinstance(self.protocol, CallerConnection)
        owner = self.protocol.owner
        if resp.keep_alive and owner is not None:
            timeout_s = int(owner.idle_timeout_s)
            if self.protocol._close:
                resp.force_close()
            elif timeout_s > 0:
                resp.headers.setdefault("Connection", "keep-alive")
                resp.headers["Keep-Alive"] = f"timeout={timeout_s}"


class CallerServer(Server):
    """aiohttp server with a connection limit and limits on idle connections.

    A connection on which no request head has arrived within
    header_timeout_s, from its start or from the head's first byte, is closed,
    and one that has been idle for idle_timeout_s since its last response.
    """

    def __init__(
        self,
        handler: Any,
        *,
        header_timeout_s: float,
        max_connections: int,
        max_field_bytes: int = MAX_FIELD_BYTES,
        limits: CallerLimits | None = None,
    ) -> None:
        super().__init__(
            handler,
            request_factory=self._build_request,
            handler_cancellation=True,
            keepalive_timeout=AIOHTTP_KEEPALIVE_S,
            access_log=None,
            auto_decompress=False,
            lingering_time=LINGERING_S,
            read_bufsize=BODY_BUFFER_BYTES,
            max_headers=MAX_HEADER_FIELDS,
            max_line_size=max_field_bytes,
            max_field_size=max_field_bytes,
        )
        self.header_timeout_s = header_timeout_s
        self.max_connections = max_connections
        # Maximum of a request line with all header fields.
        self.max_head_bytes = MAX_HEAD_BYTES
        self._idle_timeout_s = KEEPALIVE_S
        # Idle connections with the times since when, the oldest first.
        self._idle_since_s: dict[CallerConnection, float] = {}
        self._timer: TimerHandle | None = None
        # Connections without a request, the oldest first.
        self._new_since_s: dict[CallerConnection, float] = {}
        self.memory = CallerMemory(limits or CallerLimits())
        self._sweep_timer: TimerHandle | None = None

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def idle_timeout_s(self) -> float:
        """Return how long a connection may be idle."""
        return self._idle_timeout_s

    @property
    def is_full(self) -> bool:
        """Return whether a new connection would be closed."""
        return (
            self.connection_count >= self.max_connections
            and not self._idle_since_s
            and not self._has_old_new()
        )

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Set how long connections may be idle, those already open too."""
        if idle_timeout_s != self._idle_timeout_s:
            self._idle_timeout_s = idle_timeout_s
            self._close_expired()

    def add_idle(self, connection: CallerConnection) -> None:
        """Count a connection as idle from now on."""
        self._idle_since_s.pop(connection, None)
        self._idle_since_s[connection] = self._loop.time()
        if self._timer is None:
            self._start_timer()

    def remove_idle(self, connection: CallerConnection) -> bool:
        """Count a connection as used; return whether it was idle."""
        return self._idle_since_s.pop(connection, None) is not None

    def close_oldest_idle(self) -> bool:
        """Close the connection that was idle for longest, if there is one."""
        connection = next(iter(self._idle_since_s), None)
        if connection is None:
            return False
        del self._idle_since_s[connection]
        connection.force_close()
        return True

    def add_new(self, connection: CallerConnection) -> None:
        """Count a connection as one that has no request yet."""
        self._new_since_s[connection] = self._loop.time()
        if self._sweep_timer is None:
            self._sweep_timer = self._loop.call_later(
                SWEEP_INTERVAL_S, self._sweep
            )

    def remove_new(self, connection: CallerConnection) -> None:
        """Count a connection as one that has had a request."""
        self._new_since_s.pop(connection, None)

    def close_oldest_new(self) -> bool:
        """Close the connection that has been without a request for longest.

        Connections that have just been opened stay.
        """
        if not self._has_old_new():
            return False
        connection = next(iter(self._new_since_s))
        del self._new_since_s[connection]
        self.memory.record_close(CloseCause.CONNECTIONS, self._loop.time())
        connection.force_close()
        return True

    def forget(self, connection: CallerConnection) -> None:
        """Forget a connection that has been closed."""
        self.remove_idle(connection)
        self.remove_new(connection)
        self.memory.remove(connection)

    def keep_memory_limit(self) -> None:
        """Close connections while they hold more memory than allowed."""
        if self.memory.held_bytes <= self.memory.limits.memory_bytes:
            return
        now_s = self._loop.time()
        # What was held may have been taken meanwhile.
        self._update_memory()
        for connection in self.memory.choose_closed(now_s):
            assert isinstance(connection, CallerConnection)
            self.memory.record_close(CloseCause.MEMORY, now_s)
            self.memory.remove(connection)
            connection.abort()

    def pre_shutdown(self) -> None:
        """Close idle connections, and the others after their requests."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        super().pre_shutdown()

    def __call__(self) -> RequestHandler:
        """Return the protocol handler of a new connection."""
        return CallerConnection(self, loop=self._loop, **self._kwargs)

    def _build_request(
        self,
        message: Any,
        payload: Any,
        protocol: RequestHandler,
        writer: Any,
        task: Any,
    ) -> BaseRequest:
        return CallerRequest(
            message, payload, protocol, writer, task, self._loop
        )

    def _has_old_new(self) -> bool:
        since_s = next(iter(self._new_since_s.values()), None)
        return (
            since_s is not None
            and self._loop.time() - since_s >= NEW_CONNECTION_S
        )

    def _update_memory(self) -> None:
        for connection in self._connections:
            if isinstance(connection, CallerConnection):
                self.memory.update(connection, connection.held_bytes())

    def _sweep(self) -> None:
        """Close connections whose callers don't read; renew the account."""
        self._sweep_timer = None
        now_s = self._loop.time()
        limit_s = self.memory.limits.unread_answer_s
        for connection in list(self._connections):
            if not isinstance(connection, CallerConnection):
                continue
            if connection.unread_answer_s(now_s) >= limit_s:
                self.memory.record_close(CloseCause.UNREAD_ANSWER, now_s)
                connection.abort()
        self._update_memory()
        self.keep_memory_limit()
        if self._connections:
            self._sweep_timer = self._loop.call_later(
                SWEEP_INTERVAL_S, self._sweep
            )

    def _close_expired(self) -> None:
        now_s = self._loop.time()
        while self._idle_since_s:
            oldest_s = next(iter(self._idle_since_s.values()))
            if now_s - oldest_s < self._idle_timeout_s:
                break
            self.close_oldest_idle()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._idle_since_s:
            self._start_timer()

    def _start_timer(self) -> None:
        """Wake up when the oldest idle connection has reached the limit."""
        oldest_s = next(iter(self._idle_since_s.values()))
        now_s = self._loop.time()
        self._timer = self._loop.call_later(
            max(
                MIN_SEARCH_INTERVAL_S, oldest_s + self._idle_timeout_s - now_s
            ),
            self._close_expired,
        )
