"""Lookup of routes by host and path."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Generic
from typing import Protocol
from typing import TypeVar


class HostPrefix(Protocol):
    """Item with the host and path prefix that it applies to."""

    @property
    def host(self) -> str:
        """Return the host name in lower case."""

    @property
    def path_prefix(self) -> str:
        """Return the prefix, which starts and ends with a slash."""


_Item = TypeVar("_Item", bound=HostPrefix)


class RouteTable(Generic[_Item]):
    """Routes by host and path prefix; the longest prefix wins.

    The cost of a lookup depends on the number of slashes in the path, not on
    the number of routes.
    """

    def __init__(self, routes: Iterable[_Item]) -> None:
        self._by_host: dict[str, dict[str, _Item]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = route

    def __len__(self) -> int:
        return sum(len(prefixes) for prefixes in self._by_host.values())

    def find(self, host: str, path: str) -> _Item | None:
        """Return the route of a path, or None.

        host is in lower case, with or without a port.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            prefixes = self._by_host.get(host.partition(":")[0])
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
