"""Running requests and the callers that read their answers."""

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
    """One run of a request, whose answer one or more callers read."""

    def __init__(self, context: RequestContext) -> None:
        self.context = context
        self.buffer = AnswerBuffer(
            history_bytes=HISTORY_BYTES if context.claim_key else 0
        )
        self.task: Task[None] | None = None
        self._head: Future[AnswerHead] = get_running_loop().create_future()
        # Avoids asyncio's "exception was never retrieved" when all callers
        # have disconnected.
        self._head.add_done_callback(_mark_exception_retrieved)

    def start_answer(self, head: AnswerHead) -> None:
        """Set the status and headers of the answer."""
        self._head.set_result(head)

    def fail(self, error: AzurewickError) -> None:
        """End the run with an error.

        Readers get it instead of the head, or in the stream if the answer
        has started.
        """
        if not self._head.done():
            self._head.set_exception(error)
        self.buffer.close(error)

    async def async_head(self) -> AnswerHead:
        """Wait for the status and headers of the answer.

        Raises AzurewickError when the run fails before them.
        """
        return await shield(self._head)

    def open_reader(self) -> AnswerReader:
        """Return a reader of the whole answer."""
        return self.buffer.open_reader()

    @property
    def has_ended(self) -> bool:
        """Return whether the run has ended, with an answer or an error."""
        return self.buffer.is_closed

    @property
    def is_abandoned(self) -> bool:
        """Return whether the run has no reader and may be cancelled.

        Non-repeatable requests run to their end without a reader.
        """
        return (
            self.context.request_class.repeatable
            and self.buffer.reader_count == 0
        )

    def cancel(self) -> bool:
        """Cancel the run; return whether the cancellation was requested."""
        return (
            not self.has_ended and self.task is not None and self.task.cancel()
        )


def _mark_exception_retrieved(head: Future[AnswerHead]) -> None:
    if not head.cancelled():
        head.exception()


class RunningRequests:
    """Running requests of the gateway, indexed by claim key."""

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
        """Add a request and make it available for joins."""
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
        """Stop further callers from joining a request."""
        key = running.context.claim_key
        if self._by_key.get(key) is running:
            del self._by_key[key]

    def find(self, context: RequestContext) -> RunningRequest | None:
        """Return the run that a request with the same key can join.

        Raises AzurewickError when the key is in use for a request with other
        content, or when the start of the answer is no longer buffered.
        """
        running = self._by_key.get(context.claim_key)
        if running is None:
            return None
        if running.context.fingerprint != context.fingerprint:
            raise AzurewickError(
                ErrorCode.IDEMPOTENCY_MISMATCH,
                "a request with the same idempotency key but other content"
                " is running",
                step=Step.CLAIM,
            )
        if not running.buffer.can_join:
            raise AzurewickError(
                ErrorCode.DUPLICATE_REQUEST,
                "request is already running and the start of its answer is"
                " no longer buffered",
                step=Step.CLAIM,
                outcome=Outcome.UNKNOWN,
                retry_after_s=5.0,
            )
        return running

    async def async_wait_idle(self) -> None:
        """Wait until no request is running."""
        await self._idle.wait()
