"""Reads and writes of one claim shard in the store, with a cached head."""

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
from azurewick.claims.decisions import diff_segments
from azurewick.claims.decisions import plan_flush
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
    """Reads and writes one shard; calls must not overlap.

    A segment never changes after the head lists it. The version of the head
    thus identifies the state of the whole shard, and an update of the head
    that is conditional on it succeeds only when no other writer has added a
    claim in between.
    """

    def __init__(
        self, store: ObjectStore, name: str, shard_count: int
    ) -> None:
        self._store = store
        self._name = name
        self._shard_count = shard_count
        self._stored_head: StoredObject | None = None
        self._head: ShardHead | None = None
        self._key_indexes: dict[str, KeyIndex] = {}
        # Segments written by this process that the head may not list, each
        # with the version of the head that its update was conditional on;
        # None before the update is sent.
        self._unconfirmed: dict[str, int | None] = {}

    @property
    def is_cached(self) -> bool:
        """Return whether a head is cached."""
        return self._head is not None

    async def async_apply(
        self, operations: Sequence[Operation], now_s: float
    ) -> tuple[ClaimDecision | None, ...]:
        """Decide operations and write the head when it changes.

        A decision that needs no write is made on a head read during this
        call, because the cached one may be stale. Raises the AzurewickError
        of the store; after store_conflict the call may be repeated.
        """
        is_fresh = self._head is None
        if is_fresh:
            await self.async_read()
        decision = await self._async_decide(operations)
        if not decision.is_changed and not is_fresh:
            await self.async_read()
            decision = await self._async_decide(operations)
        if decision.is_changed:
            await self._async_write(remove_expired(decision.head, now_s))
        return decision.decisions

    async def async_find(self, key: str) -> Claim | None:
        """Return the claim of a key in the cached head or a segment."""
        head = self._cached_head()
        if key in head.claims:
            return head.claims[key]
        return (await self._async_find_in_segments([key])).get(key)

    async def async_read(self) -> None:
        """Read the head, and the segments that are new since the last read.

        Raises the AzurewickError of the store.
        """
        self._head = None
        try:
            item = await self._store.async_get(PLURAL_CLAIMS, self._name)
        except AzurewickError as err:
            if err.code is not ErrorCode.STORE_NOT_FOUND:
                raise
            self._stored_head, self._head = None, ShardHead()
            return
        head = decode_head(item.spec, self._shard_count)
        removed, added = diff_segments(self._key_indexes, head)
        for name in removed:
            del self._key_indexes[name]
        for name in added:
            claims = await self._async_read_segment(name)
            self._key_indexes[name] = KeyIndex(claims)
        self._stored_head, self._head = item, head
        await self._async_delete_unconfirmed(head, item.version)

    async def _async_decide(
        self, operations: Sequence[Operation]
    ) -> ShardDecision:
        head = self._cached_head()
        segment_claims = await self._async_find_in_segments(
            operation.key
            for operation in operations
            if operation.key not in head.claims
        )
        return decide_operations(head, segment_claims, operations)

    async def _async_find_in_segments(
        self, keys: Iterable[str]
    ) -> dict[str, Claim]:
        """Return the newest claim of each key that is in a segment."""
        found: dict[str, Claim] = {}
        loaded: dict[str, dict[str, Claim]] = {}
        segments = self._cached_head().segments
        for key in keys:
            for segment in reversed(segments):
                name = segment.name
                if not self._key_indexes[name].may_contain(key):
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
            # Another writer deleted the segment after this head was read.
            self._head = None
            raise AzurewickError(
                ErrorCode.STORE_CONFLICT,
                f"segment {name} of the claim shard was deleted",
                step=Step.CLAIM,
            ) from err
        return decode_claims(item.spec.get("claims"))

    async def _async_write(self, head: ShardHead) -> None:
        before = self._cached_head()
        flush = plan_flush(head)
        if flush is not None:
            # The name is unique: a writer whose update of the head fails
            # must not have overwritten a segment that another one lists.
            name = f"{self._name}-{uuid4().hex[:12]}"
            self._unconfirmed[name] = None
            self._head = None
            await self._store.async_create(
                PLURAL_CLAIMS, name, {"claims": encode_claims(flush.settled)}
            )
            head = add_segment(flush.head, name, flush.settled)
            self._unconfirmed[name] = (
                self._stored_head.version if self._stored_head else 0
            )
        # The cache stays empty when the update fails or its reply is lost.
        self._head = None
        spec = encode_head(head, self._shard_count)
        if self._stored_head is None:
            self._stored_head = await self._store.async_create(
                PLURAL_CLAIMS, self._name, spec
            )
        else:
            self._stored_head = await self._store.async_update(
                replace(self._stored_head, spec=spec)
            )
        if flush is not None:
            self._unconfirmed.pop(name)
            self._key_indexes[name] = KeyIndex(flush.settled)
        self._head = head
        await self._async_delete_unlisted(before, head)
        await self._async_delete_unconfirmed(head, self._stored_head.version)

    async def _async_delete_unlisted(
        self, before: ShardHead, after: ShardHead
    ) -> None:
        """Delete expired segments; one that can't be deleted stays."""
        removed, _ = diff_segments(
            (segment.name for segment in before.segments), after
        )
        for name in removed:
            self._key_indexes.pop(name, None)
            await self._async_delete(name)

    async def _async_delete_unconfirmed(
        self, head: ShardHead, version: int
    ) -> None:
        """Delete segments of this process that no head can list any more.

        While the head still has the version that the update was conditional
        on, a delayed update may take effect and list the segment.
        """
        listed = {segment.name for segment in head.segments}
        for name, base_version in list(self._unconfirmed.items()):
            if name in listed:
                del self._unconfirmed[name]
            elif base_version != version:
                del self._unconfirmed[name]
                await self._async_delete(name)

    async def _async_delete(self, name: str) -> None:
        try:
            item = await self._store.async_get(PLURAL_CLAIMS, name)
            await self._store.async_delete(item)
        except AzurewickError:
            return

    def _cached_head(self) -> ShardHead:
        if self._head is None:
            raise RuntimeError(
                f"head of {self._name} is not cached; call async_read first"
            )
        return self._head
