"""Group commit of one claim shard."""

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

MAX_BATCH: Final = 256
MAX_PENDING: Final = 4096
FIRST_BACKOFF_S: Final = 0.01
LAST_BACKOFF_S: Final = 0.32
# Batches for another writer leave sooner, since it groups them again.
REMOTE_INTERVAL_S: Final = 0.01
# A head that is younger than this serves another look of a waiting request.
READ_INTERVAL_S: Final = 0.1

_RETRIED: Final = frozenset(
    {
        ErrorCode.PEER_UNREACHABLE,
        ErrorCode.STORE_CONFLICT,
        ErrorCode.STORE_NOT_FOUND,
        ErrorCode.STORE_UNAVAILABLE,
        ErrorCode.STORE_RATE_LIMITED,
    }
)


@dataclass(kw_only=True, slots=True)
class _Pending:
    operation: Operation
    done: Future[ClaimDecision]
    end_s: float
    local: bool = False
    # Some write with this operation may have taken effect.
    maybe_written: bool = False


class ClaimRoute(Protocol):
    """Way to the gateway that writes a shard for all gateways.

    It only saves writes: with two writers, or none, the conditional update
    still decides. A gateway that can't reach the writer writes itself.
    """

    def writer(self, shard: int) -> str | None:
        """Return the gateway that writes a shard, None for this one."""

    async def async_apply(
        self, writer: str, shard: int, operations: Sequence[Operation]
    ) -> Sequence[ClaimDecision]:
        """Let the writer apply operations (ClaimCoordinator.async_apply).

        Raises AzurewickError: peer_unreachable with outcome unknown when
        the answer is lost, or the writer's own error.
        """


class Committer:
    """Puts the operations that arrive during a write into the next one."""

    def __init__(
        self,
        number: int,
        shard: ClaimShard,
        *,
        commit_interval_s: float,
        budget_s: float,
        wall_clock: Callable[[], float],
        route: ClaimRoute | None,
        random: Random,
    ) -> None:
        self._number = number
        self._shard = shard
        self._commit_interval_s = commit_interval_s
        self._budget_s = budget_s
        self._wall_clock = wall_clock
        self._route = route
        self._random = random
        self._pending: list[_Pending] = []
        self._task: Task[None] | None = None
        self._next_commit_s = 0.0
        self._lock = Lock()
        self._read_at_s = float("-inf")

    async def async_find(self, key: str) -> Claim | None:
        """Return the claim of a key; those who wait share the reads.

        Raises AzurewickError of the store.
        """
        loop = get_running_loop()
        async with self._lock:
            age_s = loop.time() - self._read_at_s
            if not self._shard.is_cached or age_s >= READ_INTERVAL_S:
                await self._shard.async_read()
                self._read_at_s = loop.time()
            return await self._shard.async_find(key)

    async def async_submit(
        self, operation: Operation, *, local: bool = False
    ) -> ClaimDecision:
        """Return the decision of an operation; local never passes it on.

        Raises AzurewickError with code store_unavailable. Its outcome is
        not_run only when no write with the operation was ever sent.
        """
        if len(self._pending) >= MAX_PENDING:
            raise AzurewickError(
                ErrorCode.STORE_UNAVAILABLE,
                f"{MAX_PENDING} claims wait for the store already",
                step=Step.CLAIM,
                retry_after_s=1.0,
            )
        loop = get_running_loop()
        pending = _Pending(
            operation=operation,
            done=loop.create_future(),
            end_s=loop.time() + self._budget_s,
            local=local,
        )
        self._pending.append(pending)
        if self._task is None:
            self._task = create_task(self._async_commit())
        return await pending.done

    async def _async_commit(self) -> None:
        loop = get_running_loop()
        try:
            while self._pending:
                await sleep(max(0.0, self._next_commit_s - loop.time()))
                batch = self._pending[:MAX_BATCH]
                del self._pending[:MAX_BATCH]
                self._next_commit_s = loop.time() + self._commit_interval_s
                batch = self._remove_late(batch, loop.time())
                if batch:
                    await self._async_write(batch)
        finally:
            self._task = None

    def _remove_late(
        self, batch: list[_Pending], now_s: float
    ) -> list[_Pending]:
        """Refuse what waited too long for the write before.

        A request that stopped waiting must not be claimed any more either.
        """
        late = [item for item in batch if item.end_s <= now_s]
        self._fail(
            late,
            AzurewickError(
                ErrorCode.STORE_UNAVAILABLE,
                f"no write within {self._budget_s:g} s",
                step=Step.CLAIM,
            ),
        )
        return [item for item in batch if not item.done.done()]

    async def _async_write(self, batch: list[_Pending]) -> None:
        loop = get_running_loop()
        end_s = max(item.end_s for item in batch)
        backoff_s = FIRST_BACKOFF_S
        is_first = True
        while True:
            try:
                decisions = await self._async_try(batch, is_first)
            except AzurewickError as err:
                failure = err
            except Exception as err:
                _LOGGER.exception("a write of claims failed")
                failure = AzurewickError(
                    ErrorCode.STORE_UNAVAILABLE,
                    repr(err),
                    step=Step.CLAIM,
                    outcome=Outcome.UNKNOWN,
                )
            else:
                self._finish(batch, decisions)
                return
            is_first = False
            if failure.outcome is not Outcome.NOT_RUN:
                for item in batch:
                    item.maybe_written = True
            pause_s = max(backoff_s, failure.retry_after_s or 0.0)
            pause_s *= 0.5 + self._random.random()
            if failure.code not in _RETRIED or loop.time() + pause_s > end_s:
                self._fail(batch, failure)
                return
            await sleep(pause_s)
            backoff_s = min(2 * backoff_s, LAST_BACKOFF_S)

    async def _async_try(
        self, batch: list[_Pending], is_first: bool
    ) -> Sequence[ClaimDecision | None]:
        operations = [item.operation for item in batch]
        writer = None
        if self._route is not None and is_first:
            writer = self._route.writer(self._number)
        # An operation that came from another gateway is never passed on, so
        # that two gateways that differ on the writer don't send it around.
        if writer is None or any(item.local for item in batch):
            async with self._lock:
                return await self._shard.async_apply(
                    operations, self._wall_clock()
                )
        return await self._async_pass_on(writer, operations)

    async def _async_pass_on(
        self, writer: str, operations: list[Operation]
    ) -> Sequence[ClaimDecision]:
        assert self._route is not None
        self._next_commit_s = get_running_loop().time() + REMOTE_INTERVAL_S
        try:
            return await self._route.async_apply(
                writer, self._number, operations
            )
        except AzurewickError as err:
            # The writer may have written some of the operations whatever
            # became of the others.
            raise AzurewickError(
                ErrorCode.PEER_UNREACHABLE,
                err.message,
                step=Step.CLAIM,
                peer=writer,
                outcome=Outcome.UNKNOWN,
            ) from err

    def _finish(
        self,
        batch: list[_Pending],
        decisions: Sequence[ClaimDecision | None],
    ) -> None:
        for item, decision in zip(batch, decisions, strict=True):
            if item.done.done():
                continue
            if decision is not None:
                item.done.set_result(decision)
                continue
            item.done.set_exception(
                AzurewickError(
                    ErrorCode.STORE_UNAVAILABLE,
                    "the claim shard has no room",
                    step=Step.CLAIM,
                )
            )

    def _fail(self, batch: list[_Pending], err: AzurewickError) -> None:
        for item in batch:
            if item.done.done():
                continue
            outcome = Outcome.NOT_RUN
            if item.maybe_written:
                outcome = Outcome.UNKNOWN
            item.done.set_exception(
                AzurewickError(
                    ErrorCode.STORE_UNAVAILABLE,
                    f"the claim could not be written: {err.message}",
                    step=Step.CLAIM,
                    peer=err.peer,
                    outcome=outcome,
                )
            )
