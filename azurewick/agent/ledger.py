"""Ledger of request ids: the at-most-once check at the last hop."""

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


_OUTCOMES: Final = {
    # A queued copy may still be dispatched, so its end isn't known yet.
    LedgerState.QUEUED: Outcome.UNKNOWN,
    LedgerState.DISPATCHED: Outcome.RAN,
    LedgerState.CANCELLED: Outcome.NOT_RUN,
    LedgerState.RAN: Outcome.RAN,
    LedgerState.UNKNOWN: Outcome.UNKNOWN,
}


class DispatchLedger:
    """Request ids that are queued, dispatched, cancelled or finished.

    A refused id is not kept: it was not run here, so another offer of it is
    safe. Cancelled and finished ids stay for retention_s; the oldest of
    them go first when there are more than max_finished.
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
        """Return the state of an id, None when it is not known."""
        if request_id in self._active:
            return self._active[request_id]
        finished = self._finished.get(request_id)
        return finished[0] if finished else None

    def outcome(self, request_id: str) -> Outcome | None:
        """Return what is known about the run, None for an unknown id."""
        state = self.state(request_id)
        return _OUTCOMES[state] if state else None

    def admit(self, request_id: str, now_s: float) -> None:
        """Enter a new id as queued.

        Raises AzurewickError with code cancelled or duplicate_request when
        the id is known; its outcome is that of the first copy.
        """
        self._forget(now_s)
        state = self.state(request_id)
        if state is LedgerState.CANCELLED:
            raise AzurewickError(
                ErrorCode.CANCELLED,
                "the request was cancelled before it was dispatched",
                step=Step.QUEUE,
            )
        if state is not None:
            raise AzurewickError(
                ErrorCode.DUPLICATE_REQUEST,
                f"request id {request_id} is {state} already",
                step=Step.QUEUE,
                outcome=_OUTCOMES[state],
            )
        self._active[request_id] = LedgerState.QUEUED

    def refuse(self, request_id: str) -> None:
        """Forget a queued id that was refused without a dispatch."""
        if self._active.get(request_id) is LedgerState.QUEUED:
            del self._active[request_id]

    def dispatch(self, request_id: str) -> None:
        """Record the dispatch of a queued id, before its first byte."""
        if self._active.get(request_id) is not LedgerState.QUEUED:
            raise ValueError(f"request id {request_id} is not queued")
        self._active[request_id] = LedgerState.DISPATCHED

    def undo_dispatch(self, request_id: str) -> None:
        """Forget a dispatched id of which surely no byte was written."""
        if self._active.get(request_id) is LedgerState.DISPATCHED:
            del self._active[request_id]

    def finish(self, request_id: str, *, ran: bool, now_s: float) -> None:
        """Record the end of a dispatched id; ran is False when unsure."""
        if self._active.get(request_id) is not LedgerState.DISPATCHED:
            return
        del self._active[request_id]
        state = LedgerState.RAN if ran else LedgerState.UNKNOWN
        self._finished[request_id] = (state, now_s)
        self._forget(now_s)

    def cancel(self, request_id: str, now_s: float) -> LedgerState | None:
        """Cancel an id that was not dispatched; return its state before.

        An unknown id is cancelled too, so that its offer is refused when it
        arrives after its cancellation.
        """
        state = self.state(request_id)
        if state not in (None, LedgerState.QUEUED):
            return state
        self._active.pop(request_id, None)
        self._finished[request_id] = (LedgerState.CANCELLED, now_s)
        self._forget(now_s)
        return state

    def _forget(self, now_s: float) -> None:
        while self._finished:
            request_id, (_, end_s) = next(iter(self._finished.items()))
            if (
                len(self._finished) <= self._max_finished
                and end_s + self._retention_s > now_s
            ):
                return
            del self._finished[request_id]
