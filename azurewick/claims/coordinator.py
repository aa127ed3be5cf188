"""Coordinator of claims: group commit per shard over the object store."""

from __future__ import annotations

from asyncio import CancelledError
from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections.abc import Callable
from collections.abc import Sequence
from logging import getLogger
from random import Random
from typing import Final
from uuid import uuid4

from azurewick.claims.committer import ClaimForwarder
from azurewick.claims.committer import ShardCommitter
from azurewick.claims.decisions import describe_claim
from azurewick.claims.models import Answer
from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import ClaimKind
from azurewick.claims.models import Operation
from azurewick.claims.models import OperationKind
from azurewick.claims.shard import ClaimShard
from azurewick.errors import AzurewickError
from azurewick.errors import Outcome
from azurewick.helpers.clock import wall_clock_s
from azurewick.store.protocols import ObjectStore

_LOGGER = getLogger(__name__)

# With one writer for each shard, 8 shards and 60 ms keep 7,800 claims a
# second under 300 writes a second (script/bench claims). The number of shards
# is stored in each head and can't change while claims are retained.
DEFAULT_SHARDS: Final = 8
DEFAULT_COMMIT_INTERVAL_S: Final = 0.06
DEFAULT_WRITE_TIMEOUT_S: Final = 2.0
MAX_DEFERRED_OPERATIONS: Final = 4096
MAX_CLAIM_TOKENS: Final = 65_536
INITIAL_POLL_INTERVAL_S: Final = 0.1
MAX_POLL_INTERVAL_S: Final = 1.0
DEFERRED_RETRY_INTERVAL_S: Final = 2.0


class ClaimCoordinator:
    """Claims and releases idempotency keys for one gateway.

    owner is the name and incarnation of the gateway. Operations are batched:
    those that arrive during a write or less than commit_interval_s after its
    start go into the next one. A write is retried for at most
    write_timeout_s.

    async_claim grants a claim only when the store has confirmed it. When the
    store fails, it raises store_unavailable with outcome not_run when the
    claim was certainly not written, else with unknown. In both cases the
    request must not be dispatched. A claim that may have been written is
    released in the background when the store is back; until then all
    gateways see its key as in progress.
    """

    def __init__(
        self,
        store: ObjectStore,
        owner: str,
        shard_count: int = DEFAULT_SHARDS,
        *,
        commit_interval_s: float = DEFAULT_COMMIT_INTERVAL_S,
        write_timeout_s: float = DEFAULT_WRITE_TIMEOUT_S,
        wall_clock: Callable[[], float] = wall_clock_s,
        forwarder: ClaimForwarder | None = None,
    ) -> None:
        self._wall_clock = wall_clock
        self._random = Random(owner)
        # Keeps tokens unique when two processes are configured with one name.
        self._token_prefix = f"{owner}/{uuid4().hex[:8]}"
        self._claim_counter = 0
        self._tokens: dict[str, str] = {}
        self._deferred: dict[str, Operation] = {}
        self._retry_task: Task[None] | None = None
        self._committers = [
            ShardCommitter(
                number,
                ClaimShard(store, f"shard-{number:03d}", shard_count),
                commit_interval_s=commit_interval_s,
                write_timeout_s=write_timeout_s,
                wall_clock=wall_clock,
                forwarder=forwarder,
                random=self._random,
            )
            for number in range(shard_count)
        ]

    async def async_claim(
        self, key: str, fingerprint: str, now_s: float
    ) -> ClaimDecision:
        """Claim a key for one request; now_s is wall-clock time.

        Raises AzurewickError with code store_unavailable, also when the
        head of the shard is full or too many operations are pending.
        """
        self._claim_counter += 1
        token = f"{self._token_prefix}/{self._claim_counter}"
        operation = Operation(
            kind=OperationKind.CLAIM,
            key=key,
            token=token,
            now_s=now_s,
            fingerprint=fingerprint,
        )
        try:
            decision = await self._committer_for(operation.key).async_submit(
                operation
            )
        except CancelledError:
            self._defer_release(operation)
            raise
        except AzurewickError as err:
            if err.outcome is not Outcome.NOT_RUN:
                self._defer_release(operation)
            raise
        if decision.kind is ClaimKind.GRANTED:
            self._tokens[key] = token
            if len(self._tokens) > MAX_CLAIM_TOKENS:
                # Tokens of requests with an unknown outcome are never popped;
                # drop the oldest token.
                del self._tokens[next(iter(self._tokens))]
        return decision

    async def async_complete(
        self, key: str, answer: Answer, now_s: float
    ) -> None:
        """Record the answer of a request that this gateway has claimed.

        When the store fails, the write is retried in the background.
        """
        await self._async_submit_or_defer(
            Operation(
                kind=OperationKind.COMPLETE,
                key=key,
                token=self._pop_token(key),
                now_s=now_s,
                answer=answer,
            )
        )

    async def async_release(self, key: str, now_s: float) -> None:
        """Release the claim of a request that certainly was not run.

        When the store fails, the write is retried in the background.
        """
        await self._async_submit_or_defer(
            Operation(
                kind=OperationKind.RELEASE,
                key=key,
                token=self._pop_token(key),
                now_s=now_s,
            )
        )

    async def async_wait(self, key: str, timeout_s: float) -> ClaimDecision:
        """Wait until another request with the key completes or is released.

        Returns in_progress at the time-out, and released when the request
        was not run: then the key may be claimed again. All waiting requests
        of a shard share its reads. An error of the store counts as
        in_progress.
        """
        loop = get_running_loop()
        deadline_s = loop.time() + timeout_s
        poll_interval_s = INITIAL_POLL_INTERVAL_S
        while True:
            decision = await self._async_poll(key)
            remaining_s = deadline_s - loop.time()
            if decision.kind is not ClaimKind.IN_PROGRESS or remaining_s <= 0:
                return decision
            jitter = 0.75 + 0.5 * self._random.random()
            await sleep(min(remaining_s, poll_interval_s * jitter))
            poll_interval_s = min(2 * poll_interval_s, MAX_POLL_INTERVAL_S)

    async def async_apply(
        self, operations: Sequence[Operation]
    ) -> list[ClaimDecision]:
        """Apply operations that another gateway forwarded to this one.

        Raises the AzurewickError of the first operation that fails.
        """
        return await gather(
            *(
                self._committer_for(item.key).async_submit(
                    item, is_forwarded=True
                )
                for item in operations
            )
        )

    async def async_stop(self) -> None:
        """Stop the retries and try once more to write deferred operations."""
        if self._retry_task is not None:
            self._retry_task.cancel()
            self._retry_task = None
        await self._async_write_deferred()

    @property
    def deferred_count(self) -> int:
        """Return how many completions and releases wait for a retry."""
        return len(self._deferred)

    async def _async_poll(self, key: str) -> ClaimDecision:
        try:
            claim = await self._committer_for(key).async_find(key)
        except AzurewickError:
            return ClaimDecision(kind=ClaimKind.IN_PROGRESS)
        return describe_claim(claim, self._wall_clock())

    def _pop_token(self, key: str) -> str:
        token = self._tokens.pop(key, None)
        if token is None:
            raise ValueError(f"key {key} is not claimed by this gateway")
        return token

    def _committer_for(self, key: str) -> ShardCommitter:
        return self._committers[int(key[:8], 16) % len(self._committers)]

    async def _async_submit_or_defer(self, operation: Operation) -> None:
        try:
            await self._committer_for(operation.key).async_submit(operation)
        except CancelledError:
            self._defer(operation)
            raise
        except AzurewickError:
            self._defer(operation)

    def _defer_release(self, operation: Operation) -> None:
        """Release in the background a claim that may have been written."""
        self._defer(
            Operation(
                kind=OperationKind.RELEASE,
                key=operation.key,
                token=operation.token,
                now_s=operation.now_s,
            )
        )

    def _defer(self, operation: Operation) -> None:
        if len(self._deferred) >= MAX_DEFERRED_OPERATIONS:
            _LOGGER.warning(
                "%d completions and releases wait for the store already; "
                "key %s may stay claimed until its claim expires",
                MAX_DEFERRED_OPERATIONS,
                operation.key,
            )
            return
        self._deferred[operation.token] = operation
        if self._retry_task is None:
            self._retry_task = create_task(self._async_retry_deferred())

    async def _async_retry_deferred(self) -> None:
        try:
            while self._deferred:
                await self._async_write_deferred()
                if self._deferred:
                    await sleep(DEFERRED_RETRY_INTERVAL_S)
        finally:
            self._retry_task = None

    async def _async_write_deferred(self) -> None:
        for token, operation in list(self._deferred.items()):
            try:
                await self._committer_for(operation.key).async_submit(
                    operation
                )
            except AzurewickError:
                return
            self._deferred.pop(token, None)
