"""What callers and backend servers of the soak have seen."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from hashlib import sha256

from soak.const import PATH_BOOKING
from soak.const import PATH_DRAFT

SHORTEST_STREAM_EVENTS = 4
STREAM_EVENT_CHOICES = 12


class End(StrEnum):
    """How a caller's request ended."""

    ANSWERED = "answered"
    # The connection ended before a complete answer.
    CUT = "cut"
    # The request could not be sent.
    UNSENT = "unsent"
    SILENT = "silent"
    LEFT = "left"


@dataclass(kw_only=True, slots=True)
class Call:
    """One request of a caller; times in seconds of the loop's clock.

    seal is the signature that came with the answer.
    """

    request_id: str
    path: str
    instance: str
    sent_s: float
    ended_s: float = 0.0
    end: End = End.UNSENT
    status: int = 0
    seal: str = ""
    body: bytes = b""

    @property
    def runs_once(self) -> bool:
        """Return whether the request may run at most once."""
        return self.path.startswith(PATH_BOOKING)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.path.startswith(PATH_DRAFT)


@dataclass(kw_only=True, slots=True)
class Run:
    """One run of a request at a backend server.

    is_spoiled says that the server broke off or lost the answer. It is not
    set when the other side closed the connection.
    """

    request_id: str
    path: str
    backend: str
    service: str
    customer: str
    started_s: float
    ended_s: float | None = None
    is_spoiled: bool = False


@dataclass(kw_only=True, slots=True)
class Disturbance:
    """Time of one fault; instance is empty for those that all may feel."""

    kind: str
    started_s: float
    ended_s: float
    instance: str = ""
    is_planned: bool = False


@dataclass(kw_only=True, slots=True)
class ConfigurationChange:
    """Acknowledged configuration and the service of the probe route."""

    version: int
    probe_service: str
    acknowledged_s: float


@dataclass(kw_only=True, slots=True)
class Departure:
    """Backend server whose draining state the store has acknowledged."""

    backend: str
    acknowledged_s: float


@dataclass(kw_only=True, slots=True)
class History:
    """All that a soak run has recorded."""

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    changes: list[ConfigurationChange] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    starts: list[tuple[str, float]] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)

    def is_calm(
        self,
        instance: str,
        start_s: float,
        end_s: float,
        *,
        allow_planned: bool = False,
    ) -> bool:
        """Return whether no disturbance touched an instance in a time."""
        return not any(
            one.started_s <= end_s
            and one.ended_s >= start_s
            and one.instance in ("", instance)
            and not (allow_planned and one.is_planned)
            for one in self.disturbances
        )


def plain_body(request_id: str, path: str) -> bytes:
    """Return the answer of a plain service."""
    return f"{request_id} {path} ".encode() * 12


def event_count(request_id: str) -> int:
    """Return how many events the stream of a request has."""
    return SHORTEST_STREAM_EVENTS + int(request_id[-4:], 16) % (
        STREAM_EVENT_CHOICES
    )


def stream_event(request_id: str, number: int) -> bytes:
    """Return an event of a stream; numbers start at 1."""
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()


def stream_body(request_id: str) -> bytes:
    """Return the whole stream of a request."""
    return b"".join(
        stream_event(request_id, number)
        for number in range(1, event_count(request_id) + 1)
    )


def seal_of(body: bytes) -> str:
    """Return the signature of a whole answer."""
    return sha256(body).hexdigest()[:24]
