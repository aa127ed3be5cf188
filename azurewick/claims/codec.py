"""Form of heads and segments in the store."""

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
# Lists without field names keep a claim near 100 bytes.
AnswerForm = tuple[int, str, str]
ClaimForm = tuple[ClaimState, str, str, float, AnswerForm | None]
SegmentForm = tuple[str, float, int]

_CLAIMS: TypeAdapter[dict[str, ClaimForm]] = TypeAdapter(dict[Key, ClaimForm])


class HeadForm(BaseModel):
    """Spec of a head. shards is the number of shards of the whole system."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    shards: int = Field(ge=1)
    claims: dict[Key, ClaimForm]
    segments: tuple[SegmentForm, ...] = ()


def encode_claims(claims: dict[str, Claim]) -> dict[str, Any]:
    """Return the JSON form of claims."""
    return {key: _encode(claim) for key, claim in claims.items()}


def encode_head(head: ShardHead, shards: int) -> dict[str, Any]:
    """Return the spec of a head."""
    return {
        "shards": shards,
        "claims": encode_claims(head.claims),
        "segments": [
            [segment.name, segment.newest_at_s, segment.claims]
            for segment in head.segments
        ],
    }


def decode_claims(form: Any) -> dict[str, Claim]:
    """Return the claims in a segment's spec.

    Raises AzurewickError when they are malformed.
    """
    try:
        return _decode(_CLAIMS.validate_python(form))
    except (ValidationError, ValueError) as err:
        raise _malformed(str(err)) from err


def decode_head(spec: dict[str, Any], shards: int) -> ShardHead:
    """Return the head in a spec.

    Raises AzurewickError when it is malformed or written for another number
    of shards; two numbers would let one key be claimed in two shards.
    """
    try:
        form = HeadForm.model_validate(spec)
        claims = _decode(form.claims)
    except (ValidationError, ValueError) as err:
        raise _malformed(str(err)) from err
    if form.shards != shards:
        raise _malformed(f"{form.shards} shards instead of {shards}")
    return ShardHead(
        claims=claims,
        segments=tuple(
            Segment(name=name, newest_at_s=newest_at_s, claims=count)
            for name, newest_at_s, count in form.segments
        ),
    )


def encoded_size(spec: dict[str, Any]) -> int:
    """Return the bytes of a spec as compact JSON."""
    return len(json.dumps(spec, separators=(",", ":")))


def claim_size(claim: Claim) -> int:
    """Return the bytes of a claim and its key in a spec, within a few."""
    size = 32 + len(claim.token) + len(claim.fingerprint) + 48
    if claim.answer is not None:
        size += len(claim.answer.body) * 4 // 3
        size += len(claim.answer.content_type) + 16
    return size


def _encode(claim: Claim) -> list[Any]:
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


def _decode(form: dict[str, ClaimForm]) -> dict[str, Claim]:
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
        ) in form.items()
    }


def _decode_answer(form: AnswerForm) -> Answer:
    status, content_type, body = form
    return Answer(
        status=status,
        content_type=content_type,
        body=b64decode(body, validate=True),
    )


def _malformed(reason: str) -> AzurewickError:
    return AzurewickError(
        ErrorCode.STORE_UNAVAILABLE,
        f"a claim shard is malformed: {reason[:200]}",
        step=Step.CLAIM,
    )
