"""Transfer of the body of a response of the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from logging import getLogger

from aiohttp import ClientResponse

_LOGGER = getLogger(__name__)

# Transfers of at least this size are logged. On a narrow link they hold up
# everything else.
LARGE_BODY_BYTES = 65_536
# Longest time that a body may take in all, however steadily it arrives.
MAX_BODY_S = 30.0
# The link is in use when bytes of a body have arrived within this time.
RECEIVING_S = 0.3


class BodyTooLargeError(ValueError):
    """The body of a response exceeds the limit of its caller."""


@dataclass(slots=True)
class Transfer:
    """Progress of one call; times are those of the client's clock.

    call is the method and the path. head_s is None until the head of the
    response has arrived.
    """

    call: str
    sent_s: float
    head_s: float | None = None
    received_bytes: int = 0

    def describe(self, now_s: float) -> str:
        """Return how far the call has come, for error messages."""
        waited_s = now_s - self.sent_s
        if self.head_s is None:
            return f"{self.call}: no response after {waited_s:.2f} s"
        return (
            f"{self.call}: {self.received_bytes} bytes of the body received "
            f"after {waited_s:.2f} s, the head after "
            f"{self.head_s - self.sent_s:.2f} s"
        )


class TransferMonitor:
    """Time limits of calls that share the link to the store.

    A body may take longer than a call as long as it keeps arriving. Calls
    without an answer wait on while the large body of another one arrives: on
    a narrow link their answers come behind it. stall_limit_s is the time
    without any byte after which a transfer fails.
    """

    def __init__(
        self, clock: Callable[[], float], stall_limit_s: float
    ) -> None:
        self._clock = clock
        self._stall_limit_s = stall_limit_s
        self._scopes: set[asyncio.Timeout] = set()
        self._received_s = float("-inf")
        # Shortest time until the head of a response, None before the first.
        self.fastest_head_s: float | None = None

    def record_head(self, transfer: Transfer) -> None:
        """Record that the head of a response has arrived."""
        transfer.head_s = self._clock()
        took_s = transfer.head_s - transfer.sent_s
        if self.fastest_head_s is None or took_s < self.fastest_head_s:
            self.fastest_head_s = took_s

    def is_receiving(self) -> bool:
        """Return whether bytes of a large body arrive at present."""
        return self._clock() - self._received_s <= RECEIVING_S

    @asynccontextmanager
    async def async_limit(self, timeout_s: float) -> AsyncIterator[None]:
        """Raise TimeoutError after a time that arriving bodies extend."""
        async with asyncio.timeout(timeout_s) as scope:
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)

    async def async_read_body(
        self, response: ClientResponse, limit: int, transfer: Transfer
    ) -> bytes:
        """Return the body.

        Raises BodyTooLargeError if it exceeds limit bytes, and TimeoutError
        if it stalls.
        """
        if (response.content_length or 0) > limit:
            raise BodyTooLargeError(
                f"response body has {response.content_length} bytes, "
                f"{limit} allowed"
            )
        parts: list[bytes] = []
        is_large = (response.content_length or 0) >= LARGE_BODY_BYTES
        async with asyncio.timeout(MAX_BODY_S):
            while part := await self._async_read_part(response):
                transfer.received_bytes += len(part)
                if is_large or transfer.received_bytes >= LARGE_BODY_BYTES:
                    self._received_s = self._clock()
                    self._extend()
                if transfer.received_bytes > limit:
                    raise BodyTooLargeError(
                        f"response body is longer than {limit} bytes"
                    )
                parts.append(part)
        if transfer.received_bytes >= LARGE_BODY_BYTES:
            _log_large(transfer, self._clock())
        return b"".join(parts)

    async def _async_read_part(self, response: ClientResponse) -> bytes:
        """Return the next bytes of a body, empty at its end."""
        async with asyncio.timeout(self._stall_limit_s):
            return await response.content.readany()

    def _extend(self) -> None:
        ends_s = asyncio.get_running_loop().time() + self._stall_limit_s
        for scope in self._scopes:
            when_s = scope.when()
            if when_s is not None and when_s < ends_s and not scope.expired():
                scope.reschedule(ends_s)


def _log_large(transfer: Transfer, now_s: float) -> None:
    head_s = now_s if transfer.head_s is None else transfer.head_s
    _LOGGER.info(
        "large response of the store received",
        extra={
            "call": transfer.call,
            "bytes": transfer.received_bytes,
            "head_after_s": round(head_s - transfer.sent_s, 3),
            "body_took_s": round(now_s - head_s, 3),
        },
    )
