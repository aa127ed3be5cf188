"""State machine of a claim shard, without input or output.

The head is changed only by a conditional update against the version on which
the decision was made, so a granted claim holds for all gateways. Each
operation carries the token of its request. When it is applied again after a
lost reply, it finds its own token and gives the same result.

A claim is settled when it is done or released. Settled claims are flushed
from the head to segments, which are immutable.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
from typing import Final

from azurewick.claims.codec import claim_size
from azurewick.claims.models import Claim
from azurewick.claims.models import CLAIM_LIFETIME_S
from azurewick.claims.models import ClaimDecision
from azurewick.claims.models import ClaimKind
from azurewick.claims.models import ClaimState
from azurewick.claims.models import CLOCK_MARGIN_S
from azurewick.claims.models import MAX_ANSWER_BYTES
from azurewick.claims.models import Operation
from azurewick.claims.models import OperationKind
from azurewick.claims.models import Segment
from azurewick.claims.models import ShardHead

# Settled claims are flushed above this size. Each write sends the whole head,
# so a small head saves bytes; with a large one more replays find their answer
# in the head and need no read of a segment.
FLUSH_THRESHOLD_BYTES: Final = 65_536
# The store accepts values up to 1 MB. Claims of running requests stay in the
# head and may fill it up to this limit.
MAX_HEAD_BYTES: Final = 900_000
# With this many segments or more, new segments are written without answers.
MAX_SEGMENTS_WITH_ANSWERS: Final = 1_000
MAX_SEGMENTS: Final = 4_000
SEGMENT_ENTRY_BYTES: Final = 48

# A released claim is kept until no delayed write of the same claim can arrive.
RELEASED_LIFETIME_S: Final = 600.0

_IN_PROGRESS: Final = ClaimDecision(kind=ClaimKind.IN_PROGRESS)
_GRANTED: Final = ClaimDecision(kind=ClaimKind.GRANTED)
_MISMATCH: Final = ClaimDecision(kind=ClaimKind.MISMATCH)
_NOT_RETAINED: Final = ClaimDecision(kind=ClaimKind.NOT_RETAINED)
_RELEASED: Final = ClaimDecision(kind=ClaimKind.RELEASED)


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardDecision:
    """Result of applying operations to a head.

    is_changed tells whether head has to be written. decisions follow the
    order of the operations; None means that the head is full.
    """

    head: ShardHead
    decisions: tuple[ClaimDecision | None, ...]
    is_changed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Flush:
    """Move of settled claims to a new segment; head is what remains."""

    head: ShardHead
    settled: dict[str, Claim]


def head_size(head: ShardHead) -> int:
    """Return the approximate size of a head in the store, in bytes."""
    return (
        sum(claim_size(claim) for claim in head.claims.values())
        + SEGMENT_ENTRY_BYTES * len(head.segments)
        + 64
    )


def decide_operations(
    head: ShardHead,
    segment_claims: Mapping[str, Claim],
    operations: Sequence[Operation],
) -> ShardDecision:
    """Apply operations in order and return the head to write.

    segment_claims has the claims of the operations' keys that are in
    segments.
    """
    claims = dict(head.claims)
    free_bytes = MAX_HEAD_BYTES - head_size(head)
    decisions: list[ClaimDecision | None] = []
    is_changed = False
    for operation in operations:
        key = operation.key
        existing = claims.get(key) or segment_claims.get(key)
        if existing is not None and existing.is_expired(operation.now_s):
            existing = None
        decision, claim = _decide(existing, operation)
        if claim is not None:
            growth_bytes = claim_size(claim)
            if key in claims:
                growth_bytes -= claim_size(claims[key])
            if growth_bytes > free_bytes:
                claim, decision = _fit_full_head(claim, operation, decision)
                growth_bytes = 0
            if claim is not None:
                claims[key] = claim
                free_bytes -= growth_bytes
                is_changed = True
        decisions.append(decision)
    return ShardDecision(
        head=replace(head, claims=claims),
        decisions=tuple(decisions),
        is_changed=is_changed,
    )


def describe_claim(claim: Claim | None, now_s: float) -> ClaimDecision:
    """Return the decision for another request with the key of a claim."""
    if claim is None or claim.is_expired(now_s):
        return _RELEASED
    if claim.state is ClaimState.RELEASED:
        return _RELEASED
    if claim.state is ClaimState.CLAIMED:
        return _IN_PROGRESS
    if claim.answer is None:
        return _NOT_RETAINED
    return ClaimDecision(kind=ClaimKind.REPLAY, answer=claim.answer)


def remove_expired(head: ShardHead, now_s: float) -> ShardHead:
    """Return the head without claims and segments that have expired."""
    oldest_s = now_s - CLAIM_LIFETIME_S - CLOCK_MARGIN_S
    oldest_released_s = now_s - RELEASED_LIFETIME_S
    return ShardHead(
        claims={
            key: claim
            for key, claim in head.claims.items()
            if claim.claimed_at_s
            >= (
                oldest_released_s
                if claim.state is ClaimState.RELEASED
                else oldest_s
            )
        },
        segments=tuple(
            segment
            for segment in head.segments
            if segment.newest_at_s >= oldest_s
        ),
    )


def plan_flush(head: ShardHead) -> Flush | None:
    """Return the flush to do, or None when the head stays as it is.

    A head is flushed above FLUSH_THRESHOLD_BYTES when its settled claims
    take at least half of that; smaller segments would fill the list of
    segments too fast. Claims of running requests stay, so that completing
    them changes only the head.
    """
    if (
        head_size(head) <= FLUSH_THRESHOLD_BYTES
        or len(head.segments) >= MAX_SEGMENTS
    ):
        return None
    settled = {
        key: claim
        for key, claim in head.claims.items()
        if claim.state is not ClaimState.CLAIMED
    }
    if sum(map(claim_size, settled.values())) < FLUSH_THRESHOLD_BYTES // 2:
        return None
    if len(head.segments) >= MAX_SEGMENTS_WITH_ANSWERS:
        settled = {
            key: replace(claim, answer=None) for key, claim in settled.items()
        }
    running = {
        key: claim
        for key, claim in head.claims.items()
        if claim.state is ClaimState.CLAIMED
    }
    return Flush(head=replace(head, claims=running), settled=settled)


def add_segment(
    head: ShardHead, name: str, settled: Mapping[str, Claim]
) -> ShardHead:
    """Return the head with a new segment of settled claims in its list."""
    segment = Segment(
        name=name,
        newest_at_s=max(claim.claimed_at_s for claim in settled.values()),
        claim_count=len(settled),
    )
    return replace(head, segments=(*head.segments, segment))


def diff_segments(
    known_names: Iterable[str], head: ShardHead
) -> tuple[set[str], list[str]]:
    """Return the known segments that head doesn't list, and the new ones.

    Both are given by name.
    """
    listed = [segment.name for segment in head.segments]
    known_names = set(known_names)
    return known_names - set(listed), [
        n for n in listed if n not in known_names
    ]


def _decide(
    existing: Claim | None, operation: Operation
) -> tuple[ClaimDecision | None, Claim | None]:
    if operation.kind is OperationKind.CLAIM:
        return _decide_claim(existing, operation)
    if operation.kind is OperationKind.COMPLETE:
        return _decide_complete(existing, operation)
    return _decide_release(existing, operation)


def _decide_claim(
    existing: Claim | None, operation: Operation
) -> tuple[ClaimDecision, Claim | None]:
    if existing is None or (
        existing.state is ClaimState.RELEASED
        and existing.token != operation.token
    ):
        return _GRANTED, Claim(
            state=ClaimState.CLAIMED,
            token=operation.token,
            fingerprint=operation.fingerprint,
            claimed_at_s=operation.now_s,
        )
    if existing.state is ClaimState.RELEASED:
        # A delayed copy of a claim that its own request has released.
        return _IN_PROGRESS, None
    if existing.token == operation.token:
        return _GRANTED, None
    if existing.fingerprint != operation.fingerprint:
        return _MISMATCH, None
    return describe_claim(existing, operation.now_s), None


def _decide_complete(
    existing: Claim | None, operation: Operation
) -> tuple[ClaimDecision, Claim | None]:
    if existing is None or existing.token != operation.token:
        return _IN_PROGRESS, None
    if existing.state is not ClaimState.CLAIMED:
        return describe_claim(existing, operation.now_s), None
    answer = operation.answer
    if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
        answer = None
    done = replace(existing, state=ClaimState.DONE, answer=answer)
    return describe_claim(done, operation.now_s), done


def _decide_release(
    existing: Claim | None, operation: Operation
) -> tuple[ClaimDecision, Claim | None]:
    released = Claim(
        state=ClaimState.RELEASED,
        token=operation.token,
        fingerprint="",
        claimed_at_s=operation.now_s,
    )
    if existing is None:
        # Blocks a delayed write of the claim that may still arrive.
        return _RELEASED, released
    if existing.token != operation.token:
        return _IN_PROGRESS, None
    if existing.state is not ClaimState.CLAIMED:
        return describe_claim(existing, operation.now_s), None
    return _RELEASED, released


def _fit_full_head(
    claim: Claim, operation: Operation, decision: ClaimDecision | None
) -> tuple[Claim | None, ClaimDecision | None]:
    """Return the claim and decision that a full head accepts.

    A completion is stored without its answer, a release as it is; a new
    claim is refused.
    """
    if operation.kind is OperationKind.COMPLETE:
        return replace(claim, answer=None), _NOT_RETAINED
    if operation.kind is OperationKind.RELEASE:
        return claim, decision
    return None, None
