"""Counted outcomes of versions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class EvidenceKey(NamedTuple):
    """What a count belongs to; backend_server is empty when unknown."""

    request_class: str
    version: str
    route: str
    backend_server: str = ""


# Not frozen: a frozen class takes three times as long to build, and one is
# built for each request. Its users replace it and don't change it.
@dataclass(slots=True)
class Counts:
    """Counted outcomes.

    failures are answers that report an error, slow those later than the old
    version's on like requests, broken the requests lost in crashes.
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
    """Counts of one gateway since its start."""

    gateway: str
    incarnation: str
    key: EvidenceKey
    counts: Counts
