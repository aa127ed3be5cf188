"""Filters that find the customer and the request class of a request."""

from __future__ import annotations

from azurewick.configuration.snapshot import ConfigurationSnapshot
from azurewick.const import HEADER_REQUEST_CLASS
from azurewick.const import PATH_CHAT_COMPLETIONS
from azurewick.errors import AzurewickError
from azurewick.errors import ErrorCode
from azurewick.errors import Step
from azurewick.gateway.context import RequestContext
from azurewick.gateway.protocols import ClusterState
from azurewick.gateway.refusals import not_ready_error
from azurewick.models import PoolKind
from azurewick.models import RequestClass

BEARER_PREFIX = "bearer "
MAX_AUTHORIZATION_BYTES = 512


def require_snapshot(cluster: ClusterState) -> ConfigurationSnapshot:
    """Return the configuration; raise not_ready before the first one."""
    if cluster.snapshot is None:
        raise not_ready_error(
            "no configuration has been received yet", Step.RECEIVE
        )
    return cluster.snapshot


class AuthenticationFilter:
    """Finds the customer by the hash of the API key."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster

    async def async_apply(self, context: RequestContext) -> None:
        """Set the customer; refuse a missing or unknown API key."""
        snapshot = require_snapshot(self._cluster)
        value = context.headers.get("Authorization", "")
        customer = None
        if (
            value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX
            and len(value) <= MAX_AUTHORIZATION_BYTES
        ):
            key = value[len(BEARER_PREFIX) :].strip()
            # Bytes that are not UTF-8 arrive as lone surrogates, which can't
            # be encoded for the hash.
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
    """Finds the request class, which determines the tier and the pool."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster

    async def async_apply(self, context: RequestContext) -> None:
        """Set the class and the pool; refuse a class that is not allowed."""
        snapshot = require_snapshot(self._cluster)
        if context.pool and context.pool not in snapshot.pools:
            raise _classification_error(
                ErrorCode.UNKNOWN_POOL, f"unknown pool {context.pool[:63]!r}"
            )
        name = context.headers.get(HEADER_REQUEST_CLASS)
        request_class = (
            self._find_default_class(context, snapshot)
            if name is None
            else self._find_class(context, snapshot, name)
        )
        self._check_path(context, snapshot, request_class)
        context.request_class = request_class
        context.pool = request_class.pool

    @staticmethod
    def _find_class(
        context: RequestContext, snapshot: ConfigurationSnapshot, name: str
    ) -> RequestClass:
        request_class = snapshot.classes.get(name)
        if request_class is None:
            raise _classification_error(
                ErrorCode.UNKNOWN_CLASS, f"unknown request class {name[:63]!r}"
            )
        if name not in context.customer.classes:
            raise _classification_error(
                ErrorCode.CLASS_NOT_ALLOWED,
                f"customer {context.customer.name} may not use class {name}",
            )
        return request_class

    @staticmethod
    def _find_default_class(
        context: RequestContext, snapshot: ConfigurationSnapshot
    ) -> RequestClass:
        """Return the only class of the customer that serves the path.

        Raises unknown_class when there is none or more than one.
        """
        classes = [
            snapshot.classes[name]
            for name in context.customer.classes
            if name in snapshot.classes
            and _serves_path(context, snapshot, snapshot.classes[name])
        ]
        if len(classes) != 1:
            raise _classification_error(
                ErrorCode.UNKNOWN_CLASS,
                f"header {HEADER_REQUEST_CLASS} is required: the customer has"
                f" {len(classes)} classes that serve this path, not one",
            )
        return classes[0]

    @staticmethod
    def _check_path(
        context: RequestContext,
        snapshot: ConfigurationSnapshot,
        request_class: RequestClass,
    ) -> None:
        if not _serves_path(context, snapshot, request_class):
            raise _classification_error(
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


def _classification_error(code: ErrorCode, message: str) -> AzurewickError:
    return AzurewickError(code, message, step=Step.CLASSIFY)
