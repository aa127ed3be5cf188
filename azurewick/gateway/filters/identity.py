"""Filters that find the customer and the class of a request."""

from __future__ import annotations

from azurewick.configuration.snapshot import ConfigurationSnapshot
from azurewick.const import HEADER_REQUEST_CLASS
from azurewick.const import PATH_CHAT_COMPLETIONS
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.context import RequestContext
from azurewick.gateway.protocols import ClusterState
from azurewick.gateway.refusals import refuse_not_ready
from azurewick.models import PoolKind
from azurewick.models import RequestClass

BEARER_PREFIX = "bearer "
MAX_KEY_BYTES = 512


def require_snapshot(cluster: ClusterState) -> ConfigurationSnapshot:
    """Return the configuration; raises not_ready when there is none."""
    if cluster.snapshot is None:
        raise refuse_not_ready(
            "no configuration has been received yet", Step.RECEIVE
        )
    return cluster.snapshot


class AuthenticationFilter:
    """Finds the customer by the hash of the API key."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster

    async def async_apply(self, context: RequestContext) -> None:
        """Set the customer; refuse unknown keys."""
        snapshot = require_snapshot(self._cluster)
        value = context.headers.get("Authorization", "")
        customer = None
        if (
            value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX
            and len(value) <= MAX_KEY_BYTES
        ):
            key = value[len(BEARER_PREFIX) :].strip()
            # Bytes outside UTF-8 arrive as surrogates, which have no hash.
            if key.isascii():
                customer = snapshot.find_customer(key)
        if customer is None:
            raise AzurewickError(
                ErrorCode.UNKNOWN_KEY,
                "API key is missing or unknown",
                step=Step.AUTHENTICATE,
            )
        context.customer = customer


class ClassFilter:
    """Finds the class, and with it the tier and the pool."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster

    async def async_apply(self, context: RequestContext) -> None:
        """Set the class; refuse classes the customer doesn't have."""
        snapshot = require_snapshot(self._cluster)
        if context.pool and context.pool not in snapshot.pools:
            raise _refuse(
                ErrorCode.UNKNOWN_POOL, f"no pool {context.pool[:63]!r}"
            )
        name = context.headers.get(HEADER_REQUEST_CLASS)
        request_class = (
            self._find_only_class(context, snapshot)
            if name is None
            else self._find_class(context, snapshot, name)
        )
        self._check_pool(context, snapshot, request_class)
        context.request_class = request_class
        context.pool = request_class.pool

    @staticmethod
    def _find_class(
        context: RequestContext, snapshot: ConfigurationSnapshot, name: str
    ) -> RequestClass:
        request_class = snapshot.classes.get(name)
        if request_class is None:
            raise _refuse(ErrorCode.UNKNOWN_CLASS, f"no class {name[:63]!r}")
        if name not in context.customer.classes:
            raise _refuse(
                ErrorCode.CLASS_NOT_ALLOWED,
                f"customer may not use class {name}",
            )
        return request_class

    @staticmethod
    def _find_only_class(
        context: RequestContext, snapshot: ConfigurationSnapshot
    ) -> RequestClass:
        classes = [
            snapshot.classes[name]
            for name in context.customer.classes
            if name in snapshot.classes
            and _serves_path(context, snapshot, snapshot.classes[name])
        ]
        if len(classes) != 1:
            raise _refuse(
                ErrorCode.UNKNOWN_CLASS,
                f"{HEADER_REQUEST_CLASS} is required: customer has"
                f" {len(classes)} classes here",
            )
        return classes[0]

    @staticmethod
    def _check_pool(
        context: RequestContext,
        snapshot: ConfigurationSnapshot,
        request_class: RequestClass,
    ) -> None:
        if not _serves_path(context, snapshot, request_class):
            raise _refuse(
                ErrorCode.CLASS_NOT_ALLOWED,
                f"class {request_class.name} doesn't serve this path",
            )


def _serves_path(
    context: RequestContext,
    snapshot: ConfigurationSnapshot,
    request_class: RequestClass,
) -> bool:
    if context.pool:
        return request_class.pool == context.pool
    return (
        context.path == PATH_CHAT_COMPLETIONS
        and snapshot.pools[request_class.pool] is PoolKind.MODEL
    )


def _refuse(code: ErrorCode, message: str) -> AzurewickError:
    return AzurewickError(code, message, step=Step.CLASSIFY)
