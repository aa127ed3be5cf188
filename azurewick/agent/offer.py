"""Validation of the offers and cancellations that the agent receives."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import StringConstraints
from pydantic import ValidationError

from azurewick.const import HIGHEST_TIER
from azurewick.const import LOWEST_TIER
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.models import Offer
from azurewick.settings.loader import describe_validation_error

MAX_TOKENS = 100_000_000

# Printable ASCII without spaces: the value is used in URLs and headers.
RequestId = Annotated[str, StringConstraints(pattern=r"^[!-~]{1,200}$")]
Label = Annotated[str, StringConstraints(max_length=200)]
RequestPath = Annotated[
    str, StringConstraints(pattern=r"^/[!-\"$-~]*$", max_length=4096)
]
Tokens = Annotated[int, Field(ge=0, le=MAX_TOKENS)]


class WireModel(BaseModel):
    """Base of received messages; unknown fields of newer peers are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class OfferModel(WireModel):
    """Metadata of an offer as received in a header; see models.Offer."""

    request_id: RequestId
    customer: Label
    request_class: Label
    tier: int = Field(ge=HIGHEST_TIER, le=LOWEST_TIER)
    method: Literal["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"]
    path: RequestPath
    content_type: Annotated[
        str, StringConstraints(pattern=r"^[ -~]*$", max_length=200)
    ] = "application/json"
    budget_s: float | None = Field(
        default=None, ge=-1e6, le=1e6, allow_inf_nan=False
    )
    is_completion_budget: bool = False
    inter_token_s: float | None = Field(default=None, gt=0, le=1e6)
    prompt_tokens: Tokens = 0
    expected_output_tokens: Tokens = 0
    expected_cached_tokens: Tokens = 0
    repeatable: bool = True
    fingerprint: Label = ""
    claim_key: Label = ""
    incarnation: Label = ""
    prefix_hashes: tuple[Label, ...] = Field(default=(), max_length=256)


class CancelModel(WireModel):
    """Body of a cancellation.

    incarnation is that of the agent to which the request was offered.
    """

    request_id: RequestId
    incarnation: Label = ""


def _build_invalid_request_error(err: ValidationError) -> AzurewickError:
    return AzurewickError(
        ErrorCode.INVALID_REQUEST,
        describe_validation_error(err),
        step=Step.RECEIVE,
    )


def parse_offer(header: str) -> Offer:
    """Return the offer of a JSON header value.

    Raises AzurewickError with code invalid_request.
    """
    try:
        model = OfferModel.model_validate_json(header)
    except ValidationError as err:
        raise _build_invalid_request_error(err) from err
    return Offer(**model.model_dump())


def parse_cancel(body: bytes) -> CancelModel:
    """Return the cancellation of a JSON body.

    Raises AzurewickError with code invalid_request.
    """
    try:
        return CancelModel.model_validate_json(body)
    except ValidationError as err:
        raise _build_invalid_request_error(err) from err
