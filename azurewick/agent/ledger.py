"""Ledger of request ids, which keeps a request from running twice."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from typing import Final

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step

DEFAULT_RETENTION_S: Final = 600.0
DEFAULT_MAX_FINISHED: Final = 100_000


class LedgerState(StrEnum):
    """State of a request id."""

    QUEUED = "queued"
    DISPATCHED = "dispatched"
    CANCELLED = "cancelled"
    RAN = "ran"
    UNKNOWN = "unknown"


_OUTCOME_BY_STATE: Final = {
    # A queued request may still be dispatched.
    LedgerState.QUEUED: Outcome.UNKNOWN,
    LedgerState.DISPATCHED: Outcome.RAN,
    LedgerState.CANCELLED: Outcome.NOT_RUN,
    LedgerState.RAN: Outcome.RAN,
    LedgerState.UNKNOWN: Outcome.UNKNOWN,
}


class DispatchLedger:
    """Request ids that are queued, dispatched, cancelled or finished.

    A refused id is not kept: it did not run here, so it may be offered
    again. Cancelled and finished ids are kept for retention_s; beyond
    max_finished the oldest are removed first.
    """

    def __init__(
        self,
        *,
        retention_s: float = DEFAULT_RETENTION_S,
        max_finished: int = DEFAULT_MAX_FINISHED,
    ) -> None:
        self._retention_s = retention_s
        self._max_finished = max_finished
        self._active: dict[str, LedgerState] = {}
        self._finished: OrderedDict[str, tuple[LedgerState, float]] = (
            OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._active) + len(self._finished)

    def state(self, request_id: str) -> LedgerState | None:
        """Return the state of an id, None for an unknown id."""
        if request_id in self._active:
            return self._active[request_id]
        finished = self._finished.get(request_id)
        return finished[0] if finished else None

    def outcome(self, request_id: str) -> Outcome | None:
        """Return the outcome of a request, None for an unknown id."""
        state = self.state(request_id)
        return _OUTCOME_BY_STATE[state] if state else None

    def admit(self, request_id: str, now_s: float) -> None:
        """Add a new id as queued.

        Raises AzurewickError with code cancelled or duplicate_request when
        the id is known; its outcome is that of the first offer.
        """
        self._evict_finished(now_s)
        state = self.state(request_id)
        if state is LedgerState.CANCELLED:
            raise AzurewickError(
                ErrorCode.CANCELLED,
                "the request was cancelled before its dispatch",
                step=Step.QUEUE,
            )
        if state is not None:
            raise AzurewickError(
                ErrorCode.DUPLICATE_REQUEST,
                f"request id {request_id} was offered before; it is {state}",
                step=Step.QUEUE,
                outcome=_OUTCOME_BY_STATE[state],
            )
        self._active[request_id] = LedgerState.QUEUED

    def refuse(self, request_id: str) -> None:
        """Remove a refused id, so that the request may be offered again."""
        if self._active.get(request_id) is LedgerState.QUEUED:
            del self._active[request_id]

    def dispatch(self, request_id: str) -> None:
        """Record the dispatch of a queued id before its first byte is sent."""
        if self._active.get(request_id) is not LedgerState.QUEUED:
            raise ValueError(f"request id {request_id} is not queued")
        self._active[request_id] = LedgerState.DISPATCHED

    def undo_dispatch(self, request_id: str) -> None:
        """Remove a dispatched id of whose request no byte was written."""
        if self._active.get(request_id) is LedgerState.DISPATCHED:
            del self._active[request_id]

    def finish(self, request_id: str, *, ran: bool, now_s: float) -> None:
        """Record the end of a dispatched id.

        ran is False when it is not known whether the request has run.
        """
        if self._active.get(request_id) is not LedgerState.DISPATCHED:
            return
        del self._active[request_id]
        state = LedgerState.RAN if ran else LedgerState.UNKNOWN
        self._finished[request_id] = (state, now_s)
        self._evict_finished(now_s)

    def cancel(self, request_id: str, now_s: float) -> LedgerState | None:
        """Cancel an id that was not dispatched; return its previous state.

        An unknown id is recorded as cancelled too: its offer may arrive
        after the cancellation and is then refused.
        """
        state = self.state(request_id)
        if state not in (None, LedgerState.QUEUED):
            return state
        self._active.pop(request_id, None)
        self._finished[request_id] = (LedgerState.CANCELLED, now_s)
        self._evict_finished(now_s)
        return state

    def _evict_finished(self, now_s: float) -> None:
        while self._finished:
            request_id, (_, end_s) = next(iter(self._finished.items()))
            if (
                len(self._finished) <= self._max_finished
                and end_s + self._retention_s > now_s
            ):
                return
            del self._finished[request_id]
