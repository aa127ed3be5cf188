"""Filters that decide whether the gateway accepts a request."""

from __future__ import annotations

from azurewick.const import HEADER_IDEMPOTENCY_KEY
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.context import build_fingerprint
from azurewick.gateway.context import RequestContext
from azurewick.gateway.protocols import ClusterState
from azurewick.gateway.protocols import CustomerLimiter
from azurewick.gateway.protocols import PoisonDetector
from azurewick.gateway.refusals import not_ready_error
from azurewick.gateway.refusals import poison_request_error
from azurewick.helpers.clock import monotonic_s

RETRY_AFTER_DRAINING_S = 1.0


class ReadinessFilter:
    """Refuses requests until the gateway is ready and while it drains."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self.draining = False

    @property
    def is_ready(self) -> bool:
        """Return whether the gateway accepts new requests."""
        return not self.draining and self._cluster.is_ready

    async def async_apply(self, context: RequestContext) -> None:
        """Refuse the request unless the gateway is ready."""
        if self.draining:
            raise AzurewickError(
                ErrorCode.DRAINING,
                "gateway is shutting down",
                step=Step.RECEIVE,
                retry_after_s=RETRY_AFTER_DRAINING_S,
            )
        if not self._cluster.is_ready:
            raise not_ready_error(
                "gateway has not received the cluster state yet", Step.RECEIVE
            )


class CustomerLimitFilter:
    """Enforces the rate limit of each customer."""

    def __init__(self, limiter: CustomerLimiter) -> None:
        self._limiter = limiter

    async def async_apply(self, context: RequestContext) -> None:
        """Refuse the request when its customer exceeds its rate limit."""
        wait_s = self._limiter.take(context.customer, monotonic_s())
        if wait_s is not None:
            raise AzurewickError(
                ErrorCode.RATE_LIMITED,
                f"customer {context.customer.name} exceeds its rate limit",
                step=Step.LIMIT,
                retry_after_s=wait_s,
            )


class PoisonFilter:
    """Refuses requests whose content has crashed several servers."""

    def __init__(self, detector: PoisonDetector) -> None:
        self._detector = detector

    async def async_apply(self, context: RequestContext) -> None:
        """Set the fingerprint; refuse the request when it is poison."""
        context.fingerprint = build_fingerprint(context)
        if self._detector.is_poison(context.fingerprint, monotonic_s()):
            raise poison_request_error()


class IdempotencyKeyFilter:
    """Requires an idempotency key for non-repeatable classes."""

    async def async_apply(self, context: RequestContext) -> None:
        """Refuse a request without a key if its class needs one."""
        if context.request_class.repeatable or context.idempotency_key:
            return
        raise AzurewickError(
            ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
            f"class {context.request_class.name} requires the header"
            f" {HEADER_IDEMPOTENCY_KEY}",
            step=Step.CLASSIFY,
        )
