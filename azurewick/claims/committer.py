"""Group commit of claim operations to one shard."""

from __future__ import annotations

from asyncio import create_task
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Lock
from asyncio import sleep
from asyncio import Task
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from logging import getLogger
from random import Random
from typing import Final
from typing import Protocol

from azurewick.claims.models import Claim
from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import Operation
from azurewick.claims.shard import ClaimShard
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Outcome
from azurewick.errors import Step

_LOGGER = getLogger(__name__)

MAX_BATCH_OPERATIONS: Final = 256
MAX_PENDING_OPERATIONS: Final = 4096
INITIAL_BACKOFF_S: Final = 0.01
MAX_BACKOFF_S: Final = 0.32
# Shorter than the commit interval, since the writer batches again.
FORWARD_INTERVAL_S: Final = 0.01
# Waiting requests that poll the shard share a head up to this age.
MAX_HEAD_AGE_S: Final = 0.1

_RETRYABLE_CODES: Final = frozenset(
    {
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.STORE_CONFLICT,
        ErrorCode.STORE_NOT_FOUND,
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.STORE_RATE_LIMITED,
    }
)


@dataclass(kw_only=True, slots=True)
class _PendingOperation:
    operation: Operation
    result: Future[ClaimDecision]
    deadline_s: float
    is_forwarded: bool = False
    # True once a write with this operation may have taken effect.
    maybe_written: bool = False


class ClaimForwarder(Protocol):
    """Forwards operations to the one gateway that writes a shard.

    Forwarding only reduces the number of writes to the store. Correctness
    comes from the conditional update of the head, also with two writers or
    none. A gateway that can't reach the writer writes the shard itself.
    """

    def writer(self, shard: int) -> str | None:
        """Return the writer of a shard, None when it is this gateway."""

    async def async_apply(
        self, writer: str, shard: int, operations: Sequence[Operation]
    ) -> Sequence[ClaimDecision]:
        """Have the writer apply operations with ClaimCoordinator.async_apply.

        Raises AzurewickError: peer_unreachable with outcome unknown when
        the reply is lost, or the error of the writer.
        """


class ShardCommitter:
    """Commits the operations on one shard in batches.

    Operations that arrive during a write go into the next one.
    """

    def __init__(
        self,
        shard_number: int,
        shard: ClaimShard,
        *,
        commit_interval_s: float,
        write_timeout_s: float,
        wall_clock: Callable[[], float],
        forwarder: ClaimForwarder | None,
        random: Random,
    ) -> None:
        self._shard_number = shard_number
        self._shard = shard
        self._commit_interval_s = commit_interval_s
        self._write_timeout_s = write_timeout_s
        self._wall_clock = wall_clock
        self._forwarder = forwarder
        self._random = random
        self._pending: list[_PendingOperation] = []
        self._task: Task[None] | None = None
        self._next_commit_s = 0.0
        self._lock = Lock()
        self._head_read_at_s = float("-inf")

    async def async_find(self, key: str) -> Claim | None:
        """Return the claim of a key, or None.

        Concurrent callers share a head that is younger than MAX_HEAD_AGE_S.
        Raises the AzurewickError of the store.
        """
        loop = get_running_loop()
        async with self._lock:
            age_s = loop.time() - self._head_read_at_s
            if not self._shard.is_cached or age_s >= MAX_HEAD_AGE_S:
                await self._shard.async_read()
                self._head_read_at_s = loop.time()
            return await self._shard.async_find(key)

    async def async_submit(
        self, operation: Operation, *, is_forwarded: bool = False
    ) -> ClaimDecision:
        """Commit an operation and return its decision.

        is_forwarded marks an operation that came from another gateway; it is
        not forwarded again.

        Raises AzurewickError with code store_unavailable. Its outcome is
        not_run only when no write with the operation was ever sent.
        """
        if len(self._pending) >= MAX_PENDING_OPERATIONS:
            raise AzurewickError(
                ErrorCode.STORE_UNAVAILABLE,
                f"{MAX_PENDING_OPERATIONS} claim operations of the shard are "
                "already pending",
                step=Step.CLAIM,
                retry_after_s=1.0,
            )
        loop = get_running_loop()
        pending = _PendingOperation(
            operation=operation,
            result=loop.create_future(),
            deadline_s=loop.time() + self._write_timeout_s,
            is_forwarded=is_forwarded,
        )
        self._pending.append(pending)
        if self._task is None:
            self._task = create_task(self._async_commit())
        return await pending.result

    async def _async_commit(self) -> None:
        loop = get_running_loop()
        try:
            while self._pending:
                await sleep(max(0.0, self._next_commit_s - loop.time()))
                batch = self._pending[:MAX_BATCH_OPERATIONS]
                del self._pending[:MAX_BATCH_OPERATIONS]
                self._next_commit_s = loop.time() + self._commit_interval_s
                batch = self._fail_expired(batch, loop.time())
                if batch:
                    await self._async_write_with_retries(batch)
        finally:
            self._task = None

    def _fail_expired(
        self, batch: list[_PendingOperation], now_s: float
    ) -> list[_PendingOperation]:
        """Fail operations past their deadline and return the remaining ones.

        An operation expires while the previous write takes too long. An
        operation whose caller was cancelled is dropped as well, so that its
        key isn't claimed for a request that no longer waits.
        """
        expired = [item for item in batch if item.deadline_s <= now_s]
        self._set_error(
            expired,
            AzurewickError(
                ErrorCode.STORE_UNAVAILABLE,
                f"not sent to the store within {self._write_timeout_s:g} s",
                step=Step.CLAIM,
            ),
        )
        return [item for item in batch if not item.result.done()]

    async def _async_write_with_retries(
        self, batch: list[_PendingOperation]
    ) -> None:
        loop = get_running_loop()
        deadline_s = max(item.deadline_s for item in batch)
        backoff_s = INITIAL_BACKOFF_S
        is_first_attempt = True
        while True:
            try:
                decisions = await self._async_write_once(
                    batch, is_first_attempt
                )
            except AzurewickError as err:
                failure = err
            except Exception as err:
                _LOGGER.exception(
                    "unexpected error while writing a claim shard"
                )
                failure = AzurewickError(
                    ErrorCode.STORE_UNAVAILABLE,
                    repr(err),
                    step=Step.CLAIM,
                    outcome=Outcome.UNKNOWN,
                )
            else:
                self._set_decisions(batch, decisions)
                return
            is_first_attempt = False
            if failure.outcome is not Outcome.NOT_RUN:
                for item in batch:
                    item.maybe_written = True
            pause_s = max(backoff_s, failure.retry_after_s or 0.0)
            pause_s *= 0.5 + self._random.random()
            if (
                failure.code not in _RETRYABLE_CODES
                or loop.time() + pause_s > deadline_s
            ):
                self._set_error(batch, failure)
                return
            await sleep(pause_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _async_write_once(
        self, batch: list[_PendingOperation], is_first_attempt: bool
    ) -> Sequence[ClaimDecision | None]:
        operations = [item.operation for item in batch]
        writer = None
        if self._forwarder is not None and is_first_attempt:
            writer = self._forwarder.writer(self._shard_number)
        # A forwarded operation is not forwarded again: two gateways that
        # disagree on the writer would send it back and forth.
        if writer is None or any(item.is_forwarded for item in batch):
            async with self._lock:
                return await self._shard.async_apply(
                    operations, self._wall_clock()
                )
        return await self._async_forward(writer, operations)

    async def _async_forward(
        self, writer: str, operations: list[Operation]
    ) -> Sequence[ClaimDecision]:
        assert self._forwarder is not None
        self._next_commit_s = get_running_loop().time() + FORWARD_INTERVAL_S
        try:
            return await self._forwarder.async_apply(
                writer, self._shard_number, operations
            )
        except AzurewickError as err:
            # The error concerns one operation; the writer may have written
            # the others.
            raise AzurewickError(
                ErrorCode.PEER_UNREACHABLE,
                err.message,
                step=Step.CLAIM,
                peer=writer,
                outcome=Outcome.UNKNOWN,
            ) from err

    def _set_decisions(
        self,
        batch: list[_PendingOperation],
        decisions: Sequence[ClaimDecision | None],
    ) -> None:
        for item, decision in zip(batch, decisions, strict=True):
            if item.result.done():
                continue
            if decision is not None:
                item.result.set_result(decision)
                continue
            item.result.set_exception(
                AzurewickError(
                    ErrorCode.STORE_UNAVAILABLE,
                    "the head of the claim shard is full",
                    step=Step.CLAIM,
                )
            )

    def _set_error(
        self, batch: list[_PendingOperation], err: AzurewickError
    ) -> None:
        for item in batch:
            if item.result.done():
                continue
            outcome = Outcome.NOT_RUN
            if item.maybe_written:
                outcome = Outcome.UNKNOWN
            item.result.set_exception(
                AzurewickError(
                    ErrorCode.STORE_UNAVAILABLE,
                    f"the claim could not be written: {err.message}",
                    step=Step.CLAIM,
                    peer=err.peer,
                    outcome=outcome,
                )
            )
