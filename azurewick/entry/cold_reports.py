"""What reports say of servers that may have restarted lately."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

# Limit of the claims in a report, of about 25 bytes each.
MAX_CLAIMS = 16
# Unit of the ages.
CLAIM_AGE_UNIT_S = 0.01
# Older claims say nothing of a server that is cold for some seconds.
MAX_CLAIM_AGE_S = 120.0
MAX_RUN_CHARACTERS = 300


@dataclass(frozen=True, kw_only=True, slots=True)
class RestartClaim:
    """What an instance itself has seen of a run of a server.

    failed_age_s is the time since a connection to it was refused or lost,
    answered_age_s since it answered again after that, and started_age_s since
    the instance first saw the run in the list. Each is None if the instance
    has seen no such thing.
    """

    run: str
    failed_age_s: float | None = None
    answered_age_s: float | None = None
    started_age_s: float | None = None


def encode_claims(claims: Sequence[RestartClaim]) -> list[Any]:
    """Return the claims as a report holds them."""
    return [
        [
            claim.run,
            _encode_age(claim.failed_age_s),
            _encode_age(claim.answered_age_s),
            _encode_age(claim.started_age_s),
        ]
        for claim in claims[:MAX_CLAIMS]
    ]


def read_claims(body: Any) -> tuple[RestartClaim, ...]:
    """Return the claims in a report.

    Raises TypeError or ValueError when they are invalid.
    """
    if not isinstance(body, list):
        raise TypeError("restart claims are not a list")
    return tuple(
        RestartClaim(
            run=_read_run(run),
            failed_age_s=_read_age(failed),
            answered_age_s=_read_age(answered),
            started_age_s=_read_age(started),
        )
        for run, failed, answered, started in body[:MAX_CLAIMS]
    )


def _encode_age(age_s: float | None) -> int | None:
    if age_s is None:
        return None
    return round(min(age_s, MAX_CLAIM_AGE_S) / CLAIM_AGE_UNIT_S)


def _read_age(value: Any) -> float | None:
    if value is None:
        return None
    if not isinstance(value, int):
        raise TypeError("the age of a restart claim is not a whole number")
    if not 0 <= value <= MAX_CLAIM_AGE_S / CLAIM_AGE_UNIT_S:
        raise ValueError("the age of a restart claim is out of range")
    return value * CLAIM_AGE_UNIT_S


def _read_run(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_RUN_CHARACTERS:
        raise TypeError("a restart claim names no run of a server")
    return value
