"""One shard in the store: its cached head, its segments and its writes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import replace
from uuid import uuid4

from azurewick.claims.codec import decode_claims
from azurewick.claims.codec import decode_head
from azurewick.claims.codec import encode_claims
from azurewick.claims.codec import encode_head
from azurewick.claims.decisions import add_segment
from azurewick.claims.decisions import decide_operations
from azurewick.claims.decisions import find_unlisted
from azurewick.claims.decisions import plan_roll
from azurewick.claims.decisions import remove_expired
from azurewick.claims.decisions import ShardDecision
from azurewick.claims.key_index import KeyIndex
from azurewick.claims.models import Claim
from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import Operation
from azurewick.claims.models import PLURAL_CLAIMS
from azurewick.claims.models import ShardHead
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.store.protocols import ObjectStore
from azurewick.store.protocols import StoredObject


class ClaimShard:
    """Reads and writes one shard; one call at a time.

    A segment never changes after the head lists it. The version of the head
    thus stands for the whole shard, and an update of the head against that
    version proves that no other writer added a claim in between.
    """

    def __init__(self, store: ObjectStore, name: str, shards: int) -> None:
        self._store = store
        self._name = name
        self._shards = shards
        self._item: StoredObject | None = None
        self._head: ShardHead | None = None
        self._keys: dict[str, KeyIndex] = {}
        # Own segments that no head may list, with the version of the head
        # against which their update was sent; None when none was sent.
        self._doubtful: dict[str, int | None] = {}

    @property
    def is_cached(self) -> bool:
        """Return whether a head is cached."""
        return self._head is not None

    async def async_apply(
        self, operations: Sequence[Operation], now_s: float
    ) -> tuple[ClaimDecision | None, ...]:
        """Decide operations and write the head when it changes.

        A decision that needs no write is made on a head read during this
        call, because a cached one may be old. Raises AzurewickError of the
        store; store_conflict asks for another call.
        """
        fresh = self._head is None
        if fresh:
            await self.async_read()
        decision = await self._async_decide(operations)
        if not decision.changed and not fresh:
            await self.async_read()
            decision = await self._async_decide(operations)
        if decision.changed:
            await self._async_write(remove_expired(decision.head, now_s))
        return decision.decisions

    async def async_find(self, key: str) -> Claim | None:
        """Return the claim of a key in the cached head or a segment."""
        head = self._cached()
        if key in head.claims:
            return head.claims[key]
        return (await self._async_find_older([key])).get(key)

    async def async_read(self) -> None:
        """Read the head, and the segments that are new since the last time.

        Raises AzurewickError of the store.
        """
        self._head = None
        try:
            item = await self._store.async_get(PLURAL_CLAIMS, self._name)
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_NOT_FOUND:
                raise
            self._item, self._head = None, ShardHead()
            return
        head = decode_head(item.spec, self._shards)
        gone, new = find_unlisted(self._keys, head)
        for name in gone:
            del self._keys[name]
        for name in new:
            claims = await self._async_read_segment(name)
            self._keys[name] = KeyIndex(claims)
        self._item, self._head = item, head
        await self._async_remove_doubtful(head, item.version)

    async def _async_decide(
        self, operations: Sequence[Operation]
    ) -> ShardDecision:
        head = self._cached()
        older = await self._async_find_older(
            operation.key
            for operation in operations
            if operation.key not in head.claims
        )
        return decide_operations(head, older, operations)

    async def _async_find_older(self, keys: Iterable[str]) -> dict[str, Claim]:
        """Return the claims of keys in segments, the newest one of each."""
        found: dict[str, Claim] = {}
        loaded: dict[str, dict[str, Claim]] = {}
        segments = self._cached().segments
        for key in keys:
            for segment in reversed(segments):
                name = segment.name
                if not self._keys[name].may_contain(key):
                    continue
                if name not in loaded:
                    loaded[name] = await self._async_read_segment(name)
                if key in loaded[name]:
                    found[key] = loaded[name][key]
                    break
        return found

    async def _async_read_segment(self, name: str) -> dict[str, Claim]:
        try:
            item = await self._store.async_get(PLURAL_CLAIMS, name)
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_NOT_FOUND:
                raise
            # Another writer removed the segment after this head was read.
            self._head = None
            raise AzurewickError(
                ErrorCode.STORE_CONFLICT,
                f"segment {name} was removed",
                step=Step.CLAIM,
            ) from err
        return decode_claims(item.spec.get("claims"))

    async def _async_write(self, head: ShardHead) -> None:
        before = self._cached()
        roll = plan_roll(head)
        if roll is not None:
            # The name is unique: a writer that loses the race for the head
            # must not change a segment that the winner lists.
            name = f"{self._name}-{uuid4().hex[:12]}"
            self._doubtful[name] = None
            self._head = None
            await self._store.async_create(
                PLURAL_CLAIMS, name, {"claims": encode_claims(roll.settled)}
            )
            head = add_segment(roll.head, name, roll.settled)
            self._doubtful[name] = self._item.version if self._item else 0
        # The cache stays empty when the update fails or its result is lost.
        self._head = None
        spec = encode_head(head, self._shards)
        if self._item is None:
            self._item = await self._store.async_create(
                PLURAL_CLAIMS, self._name, spec
            )
        else:
            self._item = await self._store.async_update(
                replace(self._item, spec=spec)
            )
        if roll is not None:
            self._doubtful.pop(name)
            self._keys[name] = KeyIndex(roll.settled)
        self._head = head
        await self._async_remove(before, head)
        await self._async_remove_doubtful(head, self._item.version)

    async def _async_remove(self, before: ShardHead, after: ShardHead) -> None:
        """Delete the segments that have expired; a failure leaves them."""
        gone, _ = find_unlisted(
            (segment.name for segment in before.segments), after
        )
        for name in gone:
            self._keys.pop(name, None)
            await self._async_delete(name)

    async def _async_remove_doubtful(
        self, head: ShardHead, version: int
    ) -> None:
        """Delete own segments that no head can list any more.

        While the head has the version against which a segment's update was
        sent, that update may still take effect.
        """
        listed = {segment.name for segment in head.segments}
        for name, base in list(self._doubtful.items()):
            if name in listed:
                del self._doubtful[name]
            elif base != version:
                del self._doubtful[name]
                await self._async_delete(name)

    async def _async_delete(self, name: str) -> None:
        try:
            item = await self._store.async_get(PLURAL_CLAIMS, name)
            await self._store.async_delete(item)
        except AzurewickError:
            return

    def _cached(self) -> ShardHead:
        if self._head is None:
            raise RuntimeError("the shard's head was not read")
        return self._head
