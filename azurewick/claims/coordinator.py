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

from azurewick.claims.committer import ClaimRoute
from azurewick.claims.committer import Committer
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
# is part of the stored form: it can't change while claims are kept.
DEFAULT_SHARDS: Final = 8
DEFAULT_COMMIT_INTERVAL_S: Final = 0.06
DEFAULT_BUDGET_S: Final = 2.0
MAX_SETTLEMENTS: Final = 4096
MAX_TOKENS: Final = 65_536
FIRST_POLL_S: Final = 0.1
LAST_POLL_S: Final = 1.0
SETTLE_INTERVAL_S: Final = 2.0


class ClaimCoordinator:
    """Claims of one gateway; owner is its name and incarnation.

    Operations that arrive during a write or within commit_interval_s after
    it go into the next one. A write is tried for at most budget_s.

    async_claim never grants a claim of which it doesn't know that the store
    has it. When the store fails, the refusal is store_unavailable: outcome
    not_run when the claim surely was not written, else unknown. In both
    cases the request must not be dispatched. A claim that may have been
    written is released in the background when the store is back; until then
    its key is in progress for everyone.
    """

    def __init__(
        self,
        store: ObjectStore,
        owner: str,
        shards: int = DEFAULT_SHARDS,
        *,
        commit_interval_s: float = DEFAULT_COMMIT_INTERVAL_S,
        budget_s: float = DEFAULT_BUDGET_S,
        wall_clock: Callable[[], float] = wall_clock_s,
        route: ClaimRoute | None = None,
    ) -> None:
        self._wall_clock = wall_clock
        self._random = Random(owner)
        # Two processes with one name by mistake must not share tokens.
        self._token_prefix = f"{owner}/{uuid4().hex[:8]}"
        self._counter = 0
        self._tokens: dict[str, str] = {}
        self._unsettled: dict[str, Operation] = {}
        self._settler: Task[None] | None = None
        self._committers = [
            Committer(
                number,
                ClaimShard(store, f"shard-{number:03d}", shards),
                commit_interval_s=commit_interval_s,
                budget_s=budget_s,
                wall_clock=wall_clock,
                route=route,
                random=self._random,
            )
            for number in range(shards)
        ]

    async def async_claim(
        self, key: str, fingerprint: str, now_s: float
    ) -> ClaimDecision:
        """Claim a key for one request; now_s is wall-clock time.

        Raises AzurewickError with code store_unavailable, or overloaded
        when the shard has no room.
        """
        self._counter += 1
        token = f"{self._token_prefix}/{self._counter}"
        operation = Operation(
            kind=OperationKind.CLAIM,
            key=key,
            token=token,
            now_s=now_s,
            fingerprint=fingerprint,
        )
        try:
            decision = await self._committer(operation.key).async_submit(
                operation
            )
        except CancelledError:
            self._abandon(operation)
            raise
        except AzurewickError as err:
            if err.outcome is not Outcome.NOT_RUN:
                self._abandon(operation)
            raise
        if decision.kind is ClaimKind.GRANTED:
            self._tokens[key] = token
            if len(self._tokens) > MAX_TOKENS:
                # A request whose outcome is unknown never ends its claim.
                del self._tokens[next(iter(self._tokens))]
        return decision

    async def async_complete(
        self, key: str, answer: Answer, now_s: float
    ) -> None:
        """Record the end of the own request and its answer.

        When the store fails, the end is written in the background.
        """
        await self._async_end(
            Operation(
                kind=OperationKind.COMPLETE,
                key=key,
                token=self._take_token(key),
                now_s=now_s,
                answer=answer,
            )
        )

    async def async_release(self, key: str, now_s: float) -> None:
        """Record that the own request surely was not run.

        When the store fails, the release is written in the background.
        """
        await self._async_end(
            Operation(
                kind=OperationKind.RELEASE,
                key=key,
                token=self._take_token(key),
                now_s=now_s,
            )
        )

    async def async_wait(self, key: str, timeout_s: float) -> ClaimDecision:
        """Wait for the end of another request with the key.

        Returns in_progress at the time-out, and released when the request
        was not run: then the key may be claimed again. Reads of one shard
        are shared by all who wait. The store's errors count as no news.
        """
        loop = get_running_loop()
        end_s = loop.time() + timeout_s
        poll_s = FIRST_POLL_S
        while True:
            decision = await self._async_look(key)
            left_s = end_s - loop.time()
            if decision.kind is not ClaimKind.IN_PROGRESS or left_s <= 0:
                return decision
            jitter = 0.75 + 0.5 * self._random.random()
            await sleep(min(left_s, poll_s * jitter))
            poll_s = min(2 * poll_s, LAST_POLL_S)

    async def async_apply(
        self, operations: Sequence[Operation]
    ) -> list[ClaimDecision]:
        """Apply operations of another gateway as the writer of their shard.

        Raises the first operation's AzurewickError.
        """
        return await gather(
            *(
                self._committer(item.key).async_submit(item, local=True)
                for item in operations
            )
        )

    async def async_stop(self) -> None:
        """Try once more to write the ends that are still unwritten."""
        if self._settler is not None:
            self._settler.cancel()
            self._settler = None
        await self._async_settle_once()

    @property
    def unsettled(self) -> int:
        """Return how many ends wait for the store."""
        return len(self._unsettled)

    async def _async_look(self, key: str) -> ClaimDecision:
        try:
            claim = await self._committer(key).async_find(key)
        except AzurewickError:
            return ClaimDecision(kind=ClaimKind.IN_PROGRESS)
        return describe_claim(claim, self._wall_clock())

    def _take_token(self, key: str) -> str:
        token = self._tokens.pop(key, None)
        if token is None:
            raise ValueError(f"key {key} is not claimed by this gateway")
        return token

    def _committer(self, key: str) -> Committer:
        return self._committers[int(key[:8], 16) % len(self._committers)]

    async def _async_end(self, operation: Operation) -> None:
        try:
            await self._committer(operation.key).async_submit(operation)
        except CancelledError:
            self._settle_later(operation)
            raise
        except AzurewickError:
            self._settle_later(operation)

    def _abandon(self, operation: Operation) -> None:
        """Release later a claim that may have been written."""
        self._settle_later(
            Operation(
                kind=OperationKind.RELEASE,
                key=operation.key,
                token=operation.token,
                now_s=operation.now_s,
            )
        )

    def _settle_later(self, operation: Operation) -> None:
        if len(self._unsettled) >= MAX_SETTLEMENTS:
            _LOGGER.warning(
                "%d ends of claims are unwritten, key %s stays claimed",
                MAX_SETTLEMENTS,
                operation.key,
            )
            return
        self._unsettled[operation.token] = operation
        if self._settler is None:
            self._settler = create_task(self._async_settle())

    async def _async_settle(self) -> None:
        try:
            while self._unsettled:
                await self._async_settle_once()
                if self._unsettled:
                    await sleep(SETTLE_INTERVAL_S)
        finally:
            self._settler = None

    async def _async_settle_once(self) -> None:
        for token, operation in list(self._unsettled.items()):
            try:
                await self._committer(operation.key).async_submit(operation)
            except AzurewickError:
                return
            self._unsettled.pop(token, None)
