"""Errors with which several parts of the gateway refuse requests."""

from __future__ import annotations

from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step

# The cluster state is synchronised within seconds.
RETRY_AFTER_NOT_READY_S = 1.0


def not_ready_error(message: str, step: Step) -> AzurewickError:
    """Return the error of a gateway that can't serve the request yet."""
    return AzurewickError(
        ErrorCode.NOT_READY,
        message,
        step=step,
        retry_after_s=RETRY_AFTER_NOT_READY_S,
    )


def poison_request_error() -> AzurewickError:
    """Return the error of a request that the detector reports as poison."""
    return AzurewickError(
        ErrorCode.POISON_REQUEST,
        "request content has crashed several backend servers",
        step=Step.SELECT,
    )
