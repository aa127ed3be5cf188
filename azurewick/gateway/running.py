"""Requests that run in this gateway, and the callers that read them."""

from __future__ import annotations

from asyncio import Event
from asyncio import Future
from asyncio import get_running_loop
from asyncio import shield
from asyncio import Task
from collections.abc import Iterator

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step
from azurewick.gateway.context import RequestContext
from azurewick.gateway.streaming import AnswerBuffer
from azurewick.gateway.streaming import AnswerHead
from azurewick.gateway.streaming import AnswerReader
from azurewick.gateway.streaming import HISTORY_BYTES


class RunningRequest:
    """One run of a request with the answer for all its callers."""

    def __init__(self, context: RequestContext) -> None:
        self.context = context
        self.buffer = AnswerBuffer(
            history_bytes=HISTORY_BYTES if context.claim_key else 0
        )
        self.task: Task[None] | None = None
        self._head: Future[AnswerHead] = get_running_loop().create_future()
        # The error has been seen even if each caller has gone.
        self._head.add_done_callback(_retrieve)

    def start_answer(self, head: AnswerHead) -> None:
        """Set the head of the answer."""
        self._head.set_result(head)

    def fail(self, error: AzurewickError) -> None:
        """End the run with an error, in the stream when it has started."""
        if not self._head.done():
            self._head.set_exception(error)
        self.buffer.close(error)

    async def async_head(self) -> AnswerHead:
        """Wait for the head; raises AzurewickError when the run fails."""
        return await shield(self._head)

    def open_reader(self) -> AnswerReader:
        """Return a reader of the whole answer."""
        return self.buffer.open_reader()

    @property
    def has_ended(self) -> bool:
        """Return whether the answer or an error is complete."""
        return self.buffer.is_closed

    @property
    def is_abandoned(self) -> bool:
        """Return whether no caller reads a run that may be cancelled."""
        return (
            self.context.request_class.repeatable
            and self.buffer.reader_count == 0
        )

    def cancel(self) -> bool:
        """Cancel the run; return whether it was still running."""
        return (
            not self.has_ended and self.task is not None and self.task.cancel()
        )


def _retrieve(head: Future[AnswerHead]) -> None:
    if not head.cancelled():
        head.exception()


class RunningRequests:
    """Index of the running requests for joins and for the shutdown."""

    def __init__(self) -> None:
        self._requests: set[RunningRequest] = set()
        self._by_key: dict[str, RunningRequest] = {}
        self._idle = Event()
        self._idle.set()

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[RunningRequest]:
        return iter(tuple(self._requests))

    def add(self, running: RunningRequest) -> None:
        """Add a request that starts."""
        self._requests.add(running)
        self._idle.clear()
        if key := running.context.claim_key:
            self._by_key[key] = running

    def remove(self, running: RunningRequest) -> None:
        """Remove a request that has ended."""
        self.remove_key(running)
        self._requests.discard(running)
        if not self._requests:
            self._idle.set()

    def remove_key(self, running: RunningRequest) -> None:
        """Let no caller join a request any more."""
        key = running.context.claim_key
        if self._by_key.get(key) is running:
            del self._by_key[key]

    def find(self, context: RequestContext) -> RunningRequest | None:
        """Return the run that a request with the same key can join.

        Raises AzurewickError when the key is in use for another content or
        when the beginning of the answer is no longer kept.
        """
        running = self._by_key.get(context.claim_key)
        if running is None:
            return None
        if running.context.fingerprint != context.fingerprint:
            raise AzurewickError(
                ErrorCode.IDEMPOTENCY_MISMATCH,
                "another request with this idempotency key is running",
                step=Step.CLAIM,
            )
        if not running.buffer.can_join:
            raise AzurewickError(
                ErrorCode.DUPLICATE_REQUEST,
                "request is running and its answer is too long to join",
                step=Step.CLAIM,
                outcome=Outcome.UNKNOWN,
                retry_after_s=5.0,
            )
        return running

    async def async_wait_idle(self) -> None:
        """Wait until no request runs."""
        await self._idle.wait()
