"""Records of the requests, runs and faults of a soak test."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from hashlib import sha256

from soak.const import PATH_BOOKING
from soak.const import PATH_DRAFT

MIN_STREAM_EVENTS = 4
STREAM_LENGTHS = 12


class End(StrEnum):
    """How a caller's request ended."""

    ANSWERED = "answered"
    # The connection ended before a complete answer.
    CUT = "cut"
    # The request could not be sent.
    UNSENT = "unsent"
    # No complete answer came within the caller's time-out.
    SILENT = "silent"
    # The caller closed the connection before a complete answer.
    LEFT = "left"


@dataclass(kw_only=True, slots=True)
class Call:
    """One request of a caller; times in seconds of the monotonic clock.

    seal is the value of the X-Response-Seal header, see seal_of. was_refused
    is set when no process listened at the instance's port, so that none has
    read the request.
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
    was_refused: bool = False

    @property
    def runs_at_most_once(self) -> bool:
        """Return whether the request must not run more than once."""
        return self.path.startswith(PATH_BOOKING)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.path.startswith(PATH_DRAFT)


@dataclass(kw_only=True, slots=True)
class Run:
    """One run of a request at a backend server.

    is_answer_incomplete is set when the run ended before the answer was
    complete, for example by an injected fault. It is not set when the server
    noticed that the entry instance had closed the connection.
    """

    request_id: str
    path: str
    backend: str
    service: str
    customer: str
    started_s: float
    ended_s: float | None = None
    is_answer_incomplete: bool = False


@dataclass(kw_only=True, slots=True)
class Disturbance:
    """Period of one fault.

    instance is empty when the fault may affect all instances. is_planned
    marks planned work, such as a graceful stop or a new configuration.
    """

    kind: str
    started_s: float
    ended_s: float
    instance: str = ""
    is_planned: bool = False


@dataclass(kw_only=True, slots=True)
class ConfigurationChange:
    """Configuration that the store has acknowledged.

    probe_service is the service of the route for PATH_PROBE.
    """

    version: int
    probe_service: str
    acknowledged_s: float


@dataclass(kw_only=True, slots=True)
class BackendDrain:
    """Draining state of a backend server that the store has acknowledged."""

    backend: str
    acknowledged_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Stall:
    """Period in which the event loop of the soak ran nothing else."""

    started_s: float
    ended_s: float


@dataclass(kw_only=True, slots=True)
class History:
    """All records of one run of the soak test.

    starts holds the name of the instance and the time of each process start.
    """

    calls: list[Call] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    changes: list[ConfigurationChange] = field(default_factory=list)
    drains: list[BackendDrain] = field(default_factory=list)
    starts: list[tuple[str, float]] = field(default_factory=list)
    unexpected_exits: list[str] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)

    def stalled_s(self, start_s: float, end_s: float) -> float:
        """Return for how long the soak's event loop stalled in a period."""
        return sum(
            max(0.0, min(end_s, stall.ended_s) - max(start_s, stall.started_s))
            for stall in self.stalls
        )

    def is_undisturbed(
        self,
        instance: str,
        start_s: float,
        end_s: float,
        *,
        allow_planned: bool = False,
    ) -> bool:
        """Return whether no fault affected an instance in a period.

        With allow_planned, planned work doesn't count as a fault.
        """
        return not any(
            disturbance.started_s <= end_s
            and disturbance.ended_s >= start_s
            and disturbance.instance in ("", instance)
            and not (allow_planned and disturbance.is_planned)
            for disturbance in self.disturbances
        )


def plain_body(request_id: str, path: str) -> bytes:
    """Return the expected response body of a plain service."""
    return f"{request_id} {path} ".encode() * 12


def event_count(request_id: str) -> int:
    """Return the number of events in the stream of a request."""
    return MIN_STREAM_EVENTS + int(request_id[-4:], 16) % STREAM_LENGTHS


def stream_event(request_id: str, number: int) -> bytes:
    """Return one server-sent event of a stream; numbers start at 1."""
    return f"id: {number}\ndata: {request_id}.{number}\n\n".encode()


def stream_body(request_id: str) -> bytes:
    """Return the complete event stream of a request."""
    return b"".join(
        stream_event(request_id, number)
        for number in range(1, event_count(request_id) + 1)
    )


def seal_of(body: bytes) -> str:
    """Return the signature of a complete response body."""
    return sha256(body).hexdigest()[:24]
