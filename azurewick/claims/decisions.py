"""Pure state machine of a claim shard.

A head is changed only by a conditional update against the version on which
the decision was made, so a decision that grants a claim holds for the whole
system. Each operation carries the token of its request. Applied again after
a lost answer, it finds its own token and gives the same result.
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

# Each write sends the whole head, so a small head saves bytes; a large one
# keeps answers where a replay needs no second read.
HEAD_BYTES: Final = 65_536
# The store takes values up to 1 MB. Claims that are still running can't
# leave the head, so they may fill it up to here.
MAX_HEAD_BYTES: Final = 900_000
# From this many segments on, answers are dropped to keep the claims.
SEGMENTS_WITH_ANSWERS: Final = 1_000
MAX_SEGMENTS: Final = 4_000
SEGMENT_BYTES: Final = 48

# A released claim only has to outlast a late copy of its own claim.
RELEASED_LIFETIME_S: Final = 600.0

_IN_PROGRESS: Final = ClaimDecision(kind=ClaimKind.IN_PROGRESS)
_GRANTED: Final = ClaimDecision(kind=ClaimKind.GRANTED)
_MISMATCH: Final = ClaimDecision(kind=ClaimKind.MISMATCH)
_NOT_RETAINED: Final = ClaimDecision(kind=ClaimKind.NOT_RETAINED)
_RELEASED: Final = ClaimDecision(kind=ClaimKind.RELEASED)


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardDecision:
    """Head to write, the decision of each operation, and whether it changed.

    A decision of None says that the shard has no room for the claim.
    """

    head: ShardHead
    decisions: tuple[ClaimDecision | None, ...]
    changed: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Roll:
    """Head without the claims that go into a new segment."""

    head: ShardHead
    settled: dict[str, Claim]


def head_size(head: ShardHead) -> int:
    """Return the bytes of a head in the store, within a few."""
    return (
        sum(claim_size(claim) for claim in head.claims.values())
        + SEGMENT_BYTES * len(head.segments)
        + 64
    )


def decide_operations(
    head: ShardHead,
    older: Mapping[str, Claim],
    operations: Sequence[Operation],
) -> ShardDecision:
    """Apply operations in order and return the head to write.

    older has the claims of the operations' keys that are in segments.
    """
    claims = dict(head.claims)
    room_bytes = MAX_HEAD_BYTES - head_size(head)
    decisions: list[ClaimDecision | None] = []
    changed = False
    for operation in operations:
        key = operation.key
        present = claims.get(key) or older.get(key)
        if present is not None and present.is_expired(operation.now_s):
            present = None
        decision, claim = _decide(present, operation)
        if claim is not None:
            growth_bytes = claim_size(claim)
            if key in claims:
                growth_bytes -= claim_size(claims[key])
            if growth_bytes > room_bytes:
                claim, decision = _shrink(claim, operation, decision)
                growth_bytes = 0
            if claim is not None:
                claims[key] = claim
                room_bytes -= growth_bytes
                changed = True
        decisions.append(decision)
    return ShardDecision(
        head=replace(head, claims=claims),
        decisions=tuple(decisions),
        changed=changed,
    )


def describe_claim(claim: Claim | None, now_s: float) -> ClaimDecision:
    """Return what a waiting request is told about a claim."""
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


def plan_roll(head: ShardHead) -> Roll | None:
    """Return a roll when the head is too large and mostly settled.

    Running claims stay, so that their end changes only the head. A segment
    of few claims would not be worth its place in the list.
    """
    if head_size(head) <= HEAD_BYTES or len(head.segments) >= MAX_SEGMENTS:
        return None
    settled = {
        key: claim
        for key, claim in head.claims.items()
        if claim.state is not ClaimState.CLAIMED
    }
    if sum(map(claim_size, settled.values())) < HEAD_BYTES // 2:
        return None
    if len(head.segments) >= SEGMENTS_WITH_ANSWERS:
        settled = {
            key: replace(claim, answer=None) for key, claim in settled.items()
        }
    running = {
        key: claim
        for key, claim in head.claims.items()
        if claim.state is ClaimState.CLAIMED
    }
    return Roll(head=replace(head, claims=running), settled=settled)


def add_segment(
    head: ShardHead, name: str, settled: Mapping[str, Claim]
) -> ShardHead:
    """Return the head that lists a new segment."""
    segment = Segment(
        name=name,
        newest_at_s=max(claim.claimed_at_s for claim in settled.values()),
        claims=len(settled),
    )
    return replace(head, segments=(*head.segments, segment))


def find_unlisted(
    known: Iterable[str], head: ShardHead
) -> tuple[set[str], list[str]]:
    """Return the segments to forget and those to load, by name."""
    listed = [segment.name for segment in head.segments]
    known = set(known)
    return known - set(listed), [n for n in listed if n not in known]


def _decide(
    present: Claim | None, operation: Operation
) -> tuple[ClaimDecision | None, Claim | None]:
    if operation.kind is OperationKind.CLAIM:
        return _decide_claim(present, operation)
    if operation.kind is OperationKind.COMPLETE:
        return _decide_complete(present, operation)
    return _decide_release(present, operation)


def _decide_claim(
    present: Claim | None, operation: Operation
) -> tuple[ClaimDecision, Claim | None]:
    if present is None or (
        present.state is ClaimState.RELEASED
        and present.token != operation.token
    ):
        return _GRANTED, Claim(
            state=ClaimState.CLAIMED,
            token=operation.token,
            fingerprint=operation.fingerprint,
            claimed_at_s=operation.now_s,
        )
    if present.state is ClaimState.RELEASED:
        # The request gave its claim up before this copy of it arrived.
        return _IN_PROGRESS, None
    if present.token == operation.token:
        return _GRANTED, None
    if present.fingerprint != operation.fingerprint:
        return _MISMATCH, None
    return describe_claim(present, operation.now_s), None


def _decide_complete(
    present: Claim | None, operation: Operation
) -> tuple[ClaimDecision, Claim | None]:
    if present is None or present.token != operation.token:
        return _IN_PROGRESS, None
    if present.state is not ClaimState.CLAIMED:
        return describe_claim(present, operation.now_s), None
    answer = operation.answer
    if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
        answer = None
    done = replace(present, state=ClaimState.DONE, answer=answer)
    return describe_claim(done, operation.now_s), done


def _decide_release(
    present: Claim | None, operation: Operation
) -> tuple[ClaimDecision, Claim | None]:
    released = Claim(
        state=ClaimState.RELEASED,
        token=operation.token,
        fingerprint="",
        claimed_at_s=operation.now_s,
    )
    if present is None:
        # A mark for a claim whose write may still be under way.
        return _RELEASED, released
    if present.token != operation.token:
        return _IN_PROGRESS, None
    if present.state is not ClaimState.CLAIMED:
        return describe_claim(present, operation.now_s), None
    return _RELEASED, released


def _shrink(
    claim: Claim, operation: Operation, decision: ClaimDecision | None
) -> tuple[Claim | None, ClaimDecision | None]:
    """Return what a full head takes: an end without answer, no new claim."""
    if operation.kind is OperationKind.COMPLETE:
        return replace(claim, answer=None), _NOT_RETAINED
    if operation.kind is OperationKind.RELEASE:
        return claim, decision
    return None, None
