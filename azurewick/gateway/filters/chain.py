"""Filter chain that each request passes before it is run."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from azurewick.gateway.context import RequestContext


class RequestFilter(Protocol):
    """Check of a request, or a step that fills in its context."""

    async def async_apply(self, context: RequestContext) -> None:
        """Let the request pass, or raise AzurewickError to refuse it."""


class FilterChain:
    """Filters in the order in which they are applied."""

    def __init__(self, filters: Sequence[RequestFilter]) -> None:
        self._filters = tuple(filters)

    async def async_apply(self, context: RequestContext) -> None:
        """Apply each filter; the first error ends the chain."""
        for request_filter in self._filters:
            await request_filter.async_apply(context)
