"""Data about an exchange for the request log."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(kw_only=True, slots=True)
class AttemptTrace:
    """Log data of one attempt at a backend server.

    load is the number of this instance's requests at the server, including
    this one. sent_s and first_byte_s count from the receipt of the request.
    bytes_received and bytes_sent count the body from the server and the part
    of it that was passed on to the caller. framing says what marks the end
    of the body, and ending how the answer ended; both are empty as long as
    they aren't known.
    revision is that of the server's entry, is_listed whether the server had
    one, and list_age_s the time since the store had last confirmed the list
    of the servers, all at the choice of the server.
    """

    server: str
    load: int
    sent_s: float
    revision: int = 0
    is_listed: bool = True
    list_age_s: float | None = None
    first_byte_s: float | None = None
    outcome: str = ""
    bytes_received: int = 0
    bytes_sent: int = 0
    framing: str = ""
    ending: str = ""


@dataclass(kw_only=True, slots=True)
class ExchangeTrace:
    """Log data of an exchange.

    waited_s is the time spent waiting for a slot, over all attempts.
    """

    attempts: list[AttemptTrace] = field(default_factory=list)
    waited_s: float = 0.0
    status: int = 0
    bytes_sent: int = 0
