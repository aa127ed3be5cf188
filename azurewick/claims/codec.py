"""JSON encoding of shard heads and segments in the store."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
import json
from typing import Annotated
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import StringConstraints
from pydantic import TypeAdapter
from pydantic import ValidationError

from azurewick.claims.models import Answer
from azurewick.claims.models import Claim
from azurewick.claims.models import ClaimState
from azurewick.claims.models import Segment
from azurewick.claims.models import ShardHead
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

Key = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{32}$")]
# Arrays without field names keep a claim without an answer near 100 bytes.
EncodedAnswer = tuple[int, str, str]
EncodedClaim = tuple[ClaimState, str, str, float, EncodedAnswer | None]
EncodedSegment = tuple[str, float, int]

_CLAIMS_ADAPTER: TypeAdapter[dict[str, EncodedClaim]] = TypeAdapter(
    dict[Key, EncodedClaim]
)


class HeadSpec(BaseModel):
    """Stored spec of a shard head.

    shards is the number of shards of the whole system.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    shards: int = Field(ge=1)
    claims: dict[Key, EncodedClaim]
    segments: tuple[EncodedSegment, ...] = ()


def encode_claims(claims: dict[str, Claim]) -> dict[str, Any]:
    """Return the JSON form of claims."""
    return {key: _encode_claim(claim) for key, claim in claims.items()}


def encode_head(head: ShardHead, shard_count: int) -> dict[str, Any]:
    """Return the stored spec of a shard head."""
    return {
        "shards": shard_count,
        "claims": encode_claims(head.claims),
        "segments": [
            [segment.name, segment.newest_at_s, segment.claim_count]
            for segment in head.segments
        ],
    }


def decode_claims(encoded: Any) -> dict[str, Claim]:
    """Return the claims in a segment's spec.

    Raises AzurewickError when they are malformed.
    """
    try:
        return _decode_claims(_CLAIMS_ADAPTER.validate_python(encoded))
    except (ValidationError, ValueError) as err:
        raise _malformed_error(str(err)) from err


def decode_head(spec: dict[str, Any], shard_count: int) -> ShardHead:
    """Return the shard head in a stored spec.

    Raises AzurewickError when it is malformed or was written with another
    number of shards: a key would then map to two shards and could be claimed
    in both.
    """
    try:
        head_spec = HeadSpec.model_validate(spec)
        claims = _decode_claims(head_spec.claims)
    except (ValidationError, ValueError) as err:
        raise _malformed_error(str(err)) from err
    if head_spec.shards != shard_count:
        raise _malformed_error(
            f"written for {head_spec.shards} shards, expected {shard_count}"
        )
    return ShardHead(
        claims=claims,
        segments=tuple(
            Segment(name=name, newest_at_s=newest_at_s, claim_count=count)
            for name, newest_at_s, count in head_spec.segments
        ),
    )


def encoded_size(spec: dict[str, Any]) -> int:
    """Return the size of a spec as compact JSON, in bytes."""
    return len(json.dumps(spec, separators=(",", ":")))


def claim_size(claim: Claim) -> int:
    """Return the approximate bytes of a claim and its key in a spec."""
    size = 32 + len(claim.token) + len(claim.fingerprint) + 48
    if claim.answer is not None:
        size += len(claim.answer.body) * 4 // 3
        size += len(claim.answer.content_type) + 16
    return size


def _encode_claim(claim: Claim) -> list[Any]:
    answer = None
    if claim.answer is not None:
        answer = [
            claim.answer.status,
            claim.answer.content_type,
            b64encode(claim.answer.body).decode(),
        ]
    return [
        claim.state.value,
        claim.token,
        claim.fingerprint,
        round(claim.claimed_at_s, 3),
        answer,
    ]


def _decode_claims(encoded: dict[str, EncodedClaim]) -> dict[str, Claim]:
    return {
        key: Claim(
            state=state,
            token=token,
            fingerprint=fingerprint,
            claimed_at_s=claimed_at_s,
            answer=answer and _decode_answer(answer),
        )
        for key, (
            state,
            token,
            fingerprint,
            claimed_at_s,
            answer,
        ) in encoded.items()
    }


def _decode_answer(encoded: EncodedAnswer) -> Answer:
    status, content_type, body = encoded
    return Answer(
        status=status,
        content_type=content_type,
        body=b64decode(body, validate=True),
    )


def _malformed_error(reason: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.STORE_UNAVAILABLE,
        f"stored claims are malformed: {reason[:200]}",
        step=Step.CLAIM,
    )
