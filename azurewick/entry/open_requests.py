"""Requests in progress, and what becomes of them when an instance stops."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from logging import getLogger

from azurewick.entry.context import EntryContext
from azurewick.entry.exchange import Exchange
from azurewick.entry.filters import RETRY_AFTER_DRAINING_S
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step

_LOGGER = getLogger(__name__)

# Limit of the lines about single requests: warnings are not rate-limited.
MAX_LOGGED_REQUESTS = 20


class RequestStage(StrEnum):
    """How far a request has come."""

    RECEIVING = "receiving"
    WAITING = "waiting"
    SENT = "sent"
    ANSWERING = "answering"


@dataclass(kw_only=True, slots=True, eq=False)
class OpenRequest:
    """Request in progress.

    exchange is None until the filters have accepted the request. limit ends
    the request when the instance stops.
    """

    context: EntryContext
    exchange: Exchange | None = None
    limit: asyncio.Timeout = field(
        default_factory=lambda: asyncio.timeout(None)
    )

    def build_stop_error(self) -> AzurewickError:
        """Return the error for a caller that has received no answer yet."""
        message = "entry instance stops before the request has ended"
        if self.exchange is not None and self.exchange.may_have_run:
            return AzurewickError(
                ErrorCode.OUTCOME_UNKNOWN,
                message,
                step=Step.DISPATCH,
                outcome=Outcome.UNKNOWN,
            )
        return AzurewickError(
            ErrorCode.DRAINING,
            message,
            step=Step.QUEUE if self.exchange else Step.RECEIVE,
            retry_after_s=RETRY_AFTER_DRAINING_S,
        )

    @property
    def stage(self) -> RequestStage:
        """Return how far the request has come."""
        exchange = self.exchange
        if exchange is None:
            return RequestStage.RECEIVING
        if exchange.is_answer_started:
            return RequestStage.ANSWERING
        if exchange.may_have_run:
            return RequestStage.SENT
        return RequestStage.WAITING


class OpenRequests:
    """The requests in progress of an instance."""

    def __init__(self) -> None:
        self._requests: set[OpenRequest] = set()
        self._idle = asyncio.Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: OpenRequest) -> None:
        """Add a request that has just arrived."""
        self._requests.add(request)
        self._idle.clear()

    def remove(self, request: OpenRequest) -> None:
        """Remove a request that has ended."""
        self._requests.remove(request)
        if not self._requests:
            self._idle.set()

    async def async_wait_idle(self) -> None:
        """Wait until no request is in progress."""
        await self._idle.wait()

    def end_all(self, now_s: float) -> None:
        """End the requests in progress, as the instance stops.

        Each one ends with an error that says whether it may have run.
        """
        if self._requests:
            self._log_open(now_s)
        at_s = asyncio.get_running_loop().time()
        for open_ in self._requests:
            if open_.limit.when() is None:
                open_.limit.reschedule(at_s)

    def _log_open(self, now_s: float) -> None:
        """Log how many requests are in progress, and the oldest ones."""
        requests = sorted(
            self._requests, key=lambda open_: open_.context.request.received_s
        )
        _LOGGER.warning(
            "requests are still active at the end of the drain",
            extra={
                "active": len(requests),
                "stages": dict(Counter(open_.stage for open_ in requests)),
            },
        )
        for open_ in requests[:MAX_LOGGED_REQUESTS]:
            _log_open_request(open_, now_s)


def _log_open_request(open_: OpenRequest, now_s: float) -> None:
    request, route = open_.context.request, open_.context.route
    attempts = [] if open_.exchange is None else open_.exchange.trace.attempts
    _LOGGER.warning(
        "request is open at the end of the drain",
        extra={
            "request_id": request.request_id,
            "route": "" if route is None else route.name,
            "stage": open_.stage,
            "age_s": round(now_s - request.received_s, 4),
            "server": attempts[-1].server if attempts else "",
        },
    )
