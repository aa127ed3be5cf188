"""State of one caller's request while the gateway handles it."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from hashlib import sha256
from itertools import count
from secrets import token_hex

from aiohttp.streams import StreamReader

from azurewick.claims.models import make_claim_key
from azurewick.models import Customer
from azurewick.models import RequestClass

# Length of the fingerprints. 128 bits make a collision among the requests of
# a day negligible.
_DIGEST_BYTES = 16


@dataclass(kw_only=True, slots=True)
class RequestContext:
    """Request of a caller; each filter adds the fields it determines.

    received_s is monotonic time. Before the request class is known, pool is
    set for requests to plain services only. send_continue sends 100 Continue
    to a caller that waits for it before sending its body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    payload: StreamReader | None
    received_s: float
    request_id: str
    pool: str = ""
    header_bytes: int = 0
    header_fields: int = 0
    content_type: str = "application/json"
    body: bytes = b""
    idempotency_key: str = ""
    # Model that a chat request names; empty for other requests.
    model: str = ""
    fingerprint: str = ""
    send_continue: Callable[[], Awaitable[None]] | None = None
    prefix_hashes: tuple[str, ...] | None = None
    # The request is answered although its target can no longer be met.
    may_miss_target: bool = False
    customer: Customer = field(init=False)
    request_class: RequestClass = field(init=False)

    @property
    def class_label(self) -> str:
        """Return the class name, empty before the class is known."""
        request_class = getattr(self, "request_class", None)
        return request_class.name if request_class is not None else ""

    @property
    def deadline_s(self) -> float | None:
        """Return the monotonic time at which the target is missed.

        None if the class has no such target or the request may miss it.
        """
        budget_s = self.request_class.target.start_budget_s
        if self.may_miss_target:
            return None
        return None if budget_s is None else self.received_s + budget_s

    @property
    def claim_key(self) -> str:
        """Return the key that identifies a request and its resends.

        It includes the customer, so that no customer can join or replay the
        request of another one. It is empty without an idempotency key.
        """
        if not self.idempotency_key:
            return ""
        return make_claim_key(
            self.customer.name, self.request_class.name, self.idempotency_key
        )


class RequestIds:
    """Generator of request ids: gateway name, incarnation and a counter.

    The incarnation differs after each restart of a gateway.
    """

    def __init__(self, name: str, incarnation: str | None = None) -> None:
        self.incarnation = incarnation or token_hex(6)
        self._prefix = f"{name}.{self.incarnation}."
        self._counter = count(1)

    def create(self) -> str:
        """Return a unique request id."""
        return f"{self._prefix}{next(self._counter)}"


def digest(*parts: str | bytes) -> str:
    """Return the first 16 bytes of the SHA-256 of the parts in hex."""
    state = sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        # Without the length ("ab", "c") and ("a", "bc") would be equal.
        state.update(len(data).to_bytes(4, "big"))
        state.update(data)
    return state.digest()[:_DIGEST_BYTES].hex()


def build_fingerprint(context: RequestContext) -> str:
    """Return the fingerprint of a request's class and content.

    Method and path are included because requests to plain services often
    have an empty body.
    """
    return digest(
        context.request_class.name,
        context.method,
        context.path,
        context.body,
    )
