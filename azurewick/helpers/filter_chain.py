"""Chain of filters that is applied to each request before dispatch."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Generic
from typing import Protocol
from typing import TypeVar

Context = TypeVar("Context")
_Context = TypeVar("_Context", contravariant=True)


class RequestFilter(Protocol[_Context]):
    """Filter that checks a request or adds data to its context."""

    async def async_apply(self, context: _Context) -> None:
        """Return to accept the request; raise AzurewickError to refuse."""


class FilterChain(Generic[Context]):
    """Filters that are applied to a request in order."""

    def __init__(self, filters: Sequence[RequestFilter[Context]]) -> None:
        self._filters = tuple(filters)

    async def async_apply(self, context: Context) -> None:
        """Apply the filters; an error stops the chain and is raised."""
        for request_filter in self._filters:
            await request_filter.async_apply(context)
