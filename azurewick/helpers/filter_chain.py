"""Filter chain that each request passes before it is run."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Generic
from typing import Protocol
from typing import TypeVar

Context = TypeVar("Context")
_Context = TypeVar("_Context", contravariant=True)


class RequestFilter(Protocol[_Context]):
    """Check of a request, or a step that fills in its context."""

    async def async_apply(self, context: _Context) -> None:
        """Let the request pass, or raise AzurewickError to refuse it."""


class FilterChain(Generic[Context]):
    """Filters in the order in which they are applied."""

    def __init__(self, filters: Sequence[RequestFilter[Context]]) -> None:
        self._filters = tuple(filters)

    async def async_apply(self, context: Context) -> None:
        """Apply each filter; the first error ends the chain."""
        for request_filter in self._filters:
            await request_filter.async_apply(context)
