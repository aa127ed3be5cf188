"""Policies for the number of requests that a server may have at a time.

The learned one is in a module of its own, as a start takes longer with it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Protocol

from azurewick.entry.backends import Backend

# Limit of requests at a server of a plain service, as a multiple of what it
# runs at once. The server queues the rest, which costs less than a refusal.
PLAIN_SLOT_FACTOR = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSample:
    """Time of an answer at a server, relative to that expected.

    number counts the samples of an instance. load is the number of requests
    at the server, those of the peers included. It is 0 if the time is that to
    the first output, which says little about the load.
    """

    number: int
    server: str
    load: float
    slowdown: float
    age_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class CapacityReport:
    """Newest measurements of an instance, and the limits below the usual."""

    samples: tuple[LoadSample, ...] = ()
    limits: Mapping[str, int] = field(default_factory=dict)

    def __bool__(self) -> bool:
        return bool(self.samples or self.limits)


class CapacityPolicy(Protocol):
    """Policy for the number of requests that a server may have."""

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""

    def slowdown(
        self, backend: Backend, average: float, now_s: float
    ) -> float:
        """Return the present slowdown; average is that of a longer time."""


class AnnouncedCapacity:
    """Baseline: an engine's slots, and a multiple of a plain server's."""

    def limit(self, backend: Backend, now_s: float) -> int:
        """Return the limit for all instances together."""
        return usual_limit(backend)

    def slowdown(
        self, backend: Backend, average: float, now_s: float
    ) -> float:
        """Return the average."""
        return average


def usual_limit(backend: Backend) -> int:
    """Return the limit of a server of which nothing is known."""
    if backend.is_engine:
        return backend.entry.slots
    return round(backend.entry.slots * PLAIN_SLOT_FACTOR)
