"""Refusals that several parts of the gateway give."""

from __future__ import annotations

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# The view of the cluster is renewed within seconds.
RETRY_AFTER_NOT_READY_S = 1.0


def refuse_not_ready(message: str, step: Step) -> AzurewickError:
    """Return the refusal of a gateway that can't decide yet."""
    return AzurewickError(
        ErrorCode.NOT_READY,
        message,
        step=step,
        retry_after_s=RETRY_AFTER_NOT_READY_S,
    )


def refuse_poison() -> AzurewickError:
    """Return the refusal of a request that the detector calls poison."""
    return AzurewickError(
        ErrorCode.POISON_REQUEST,
        "request content has crashed several backend servers",
        step=Step.SELECT,
    )
