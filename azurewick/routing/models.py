"""Data classes of the routing package."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class OfferStatus(StrEnum):
    """How an offer ended."""

    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    BROKEN = "broken"
    CANCELLED = "cancelled"


@dataclass(frozen=True, kw_only=True, slots=True)
class OfferResult:
    """What the gateway saw of one offer."""

    status: OfferStatus
    first_token_s: float | None = None
    duration_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
