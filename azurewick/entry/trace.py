"""What the log says about an exchange."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(kw_only=True, slots=True)
class AttemptTrace:
    """What the log says about one dispatch.

    load is the number of this instance's requests at the server, this one
    included. sent_s and first_byte_s count from the request's receipt.
    """

    server: str
    load: int
    sent_s: float
    first_byte_s: float | None = None
    outcome: str = ""


@dataclass(kw_only=True, slots=True)
class ExchangeTrace:
    """What the log says about an exchange."""

    attempts: list[AttemptTrace] = field(default_factory=list)
    waited_s: float = 0.0
    status: int = 0
    bytes_sent: int = 0
