"""Data classes of the claims package."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ClaimKind(StrEnum):
    """Answer of the store to a claim."""

    GRANTED = "granted"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    MISMATCH = "mismatch"
    NOT_RETAINED = "not_retained"


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Answer kept with a claim."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimDecision:
    """Decision on a claim; a replay carries the first answer."""

    kind: ClaimKind
    answer: Answer | None = None
