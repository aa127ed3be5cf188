"""Request outcomes counted for each version."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class EvidenceKey(NamedTuple):
    """Class, version, route and server that outcomes are counted for.

    backend_server is empty for counts that are not kept for each server.
    """

    request_class: str
    version: str
    route: str
    backend_server: str = ""


# Not frozen: building a frozen instance takes three times as long, and one is
# built for each request. Treat instances as immutable all the same.
@dataclass(slots=True)
class Counts:
    """Number of requests by outcome, and of backend server crashes.

    failures are answers that report an error, slow those that took longer
    than the old version takes for requests of about the same size, and
    broken the requests whose stream broke off in a crash.
    """

    requests: int = 0
    failures: int = 0
    slow: int = 0
    broken: int = 0
    crashes: int = 0

    def __add__(self, other: Counts) -> Counts:
        return Counts(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
            self.broken + other.broken,
            self.crashes + other.crashes,
        )

    def __sub__(self, other: Counts) -> Counts:
        return Counts(
            self.requests - other.requests,
            self.failures - other.failures,
            self.slow - other.slow,
            self.broken - other.broken,
            self.crashes - other.crashes,
        )


class EvidenceRow(NamedTuple):
    """Cumulative counts of one gateway process since its start."""

    gateway: str
    incarnation: str
    key: EvidenceKey
    counts: Counts
