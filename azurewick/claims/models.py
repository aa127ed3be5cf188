"""Claims of non-repeatable requests and the store objects that hold them."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from hashlib import sha256
from typing import Final

PLURAL_CLAIMS: Final = "claims"

# An idempotency key is valid for 24 h. The margin keeps a gateway whose clock
# is ahead from expiring it early.
CLAIM_LIFETIME_S: Final = 86_400.0
CLOCK_MARGIN_S: Final = 300.0
MAX_ANSWER_BYTES: Final = 16_384


class ClaimState(StrEnum):
    """State of a claim."""

    CLAIMED = "claimed"
    DONE = "done"
    RELEASED = "released"


class ClaimKind(StrEnum):
    """Result of an operation on a key, or of waiting for a key.

    RELEASED means that the earlier request was not run and that the key may
    be claimed again; it is never the result of a claim operation.
    """

    GRANTED = "granted"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    MISMATCH = "mismatch"
    NOT_RETAINED = "not_retained"
    RELEASED = "released"


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Stored response of a finished request."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimDecision:
    """Decision about a key; answer is set for a replay."""

    kind: ClaimKind
    answer: Answer | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Claim:
    """Claim of one key; token identifies the request that owns it."""

    state: ClaimState
    token: str
    fingerprint: str
    claimed_at_s: float
    answer: Answer | None = None

    def is_expired(self, now_s: float) -> bool:
        """Return whether the key may be claimed again."""
        return now_s > self.claimed_at_s + CLAIM_LIFETIME_S + CLOCK_MARGIN_S


class OperationKind(StrEnum):
    """Kind of change to a claim."""

    CLAIM = "claim"
    COMPLETE = "complete"
    RELEASE = "release"


@dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """Change to the claim of a key; now_s is wall-clock time."""

    kind: OperationKind
    key: str
    token: str
    now_s: float
    fingerprint: str = ""
    answer: Answer | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """Entry of a head for an immutable object with settled claims.

    The object may be deleted when its newest claim has expired.
    """

    name: str
    newest_at_s: float
    claim_count: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ShardHead:
    """Head of a shard: its recent claims and the list of its segments.

    A claim in the head takes precedence over one of the same key in a
    segment.
    """

    claims: dict[str, Claim] = field(default_factory=dict)
    segments: tuple[Segment, ...] = ()


def make_claim_key(
    customer: str, request_class: str, idempotency_key: str
) -> str:
    """Return the key of a claim.

    The key is the first 16 bytes of a SHA-256 in hex; the lengths in its
    input keep different parts from giving the same text.
    """
    parts = (customer, request_class, idempotency_key)
    text = "".join(f"{len(part)}:{part}" for part in parts)
    return sha256(text.encode()).hexdigest()[:32]
