"""Errors with a code, and the processing step and peer they arose at."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a backend server has run a request."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Step(StrEnum):
    """Processing step at which an error arose."""

    RECEIVE = "receive"
    AUTHENTICATE = "authenticate"
    CLASSIFY = "classify"
    LIMIT = "limit"
    CLAIM = "claim"
    SELECT = "select"
    OFFER = "offer"
    QUEUE = "queue"
    DISPATCH = "dispatch"
    STREAM = "stream"
    STORE = "store"
    SYNC = "sync"
    ORDER = "order"
    SETTINGS = "settings"
    CONFIGURE = "configure"


class ErrorCode(StrEnum):
    """Stable error codes; callers and scripts may rely on them."""

    INVALID_REQUEST = "invalid_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_CLASS = "unknown_class"
    CLASS_NOT_ALLOWED = "class_not_allowed"
    UNKNOWN_POOL = "unknown_pool"
    UNKNOWN_ROUTE = "unknown_route"
    REQUEST_TIMEOUT = "request_timeout"
    IDEMPOTENCY_KEY_REQUIRED = "idempotency_key_required"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    TARGET_UNREACHABLE = "target_unreachable"
    DISPLACED = "displaced"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    DUPLICATE_REQUEST = "duplicate_request"
    WRONG_INCARNATION = "wrong_incarnation"
    CANCELLED = "cancelled"
    POISON_REQUEST = "poison_request"
    OUTCOME_UNKNOWN = "outcome_unknown"
    ANSWER_NOT_RETAINED = "answer_not_retained"
    BACKEND_UNREACHABLE = "backend_unreachable"
    BACKEND_FAILED = "backend_failed"
    STREAM_BROKEN = "stream_broken"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_CONFLICT = "store_conflict"
    STORE_NOT_FOUND = "store_not_found"
    STORE_RATE_LIMITED = "store_rate_limited"
    STORE_WATCH_EXPIRED = "store_watch_expired"
    STORE_RESPONSE_TOO_LARGE = "store_response_too_large"
    STALE_FENCING_NUMBER = "stale_fencing_number"
    UNAUTHENTICATED = "unauthenticated"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_CONFIGURATION = "invalid_configuration"
    PEER_UNREACHABLE = "peer_unreachable"


# Codes of requests refused for lack of capacity. For these the rule holds that
# no lower tier may be dispatched while a request is refused.
SHED_CODES = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.TARGET_UNREACHABLE,
        ErrorCode.DISPLACED,
    }
)

HTTP_STATUS: dict[ErrorCode, int] = {
    ErrorCode.INVALID_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEADERS_TOO_LARGE: 431,
    ErrorCode.UNKNOWN_KEY: 401,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.UNKNOWN_CLASS: 404,
    ErrorCode.UNKNOWN_POOL: 404,
    ErrorCode.UNKNOWN_ROUTE: 404,
    ErrorCode.REQUEST_TIMEOUT: 408,
    ErrorCode.CLASS_NOT_ALLOWED: 403,
    ErrorCode.IDEMPOTENCY_KEY_REQUIRED: 400,
    ErrorCode.IDEMPOTENCY_MISMATCH: 422,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.DUPLICATE_REQUEST: 409,
    ErrorCode.CANCELLED: 499,
    ErrorCode.POISON_REQUEST: 422,
    ErrorCode.ANSWER_NOT_RETAINED: 409,
    ErrorCode.OUTCOME_UNKNOWN: 504,
    ErrorCode.BACKEND_FAILED: 502,
    ErrorCode.BACKEND_UNREACHABLE: 502,
    ErrorCode.STREAM_BROKEN: 502,
    ErrorCode.STALE_FENCING_NUMBER: 409,
    ErrorCode.STORE_CONFLICT: 409,
}
DEFAULT_HTTP_STATUS = 503


class AzurewickError(Exception):
    """Error with a stable code, processing step, peer and outcome.

    outcome says whether the request has run. retry_after_s is the time after
    which a retry may succeed; None if a retry won't help or no time is known.
    """

    def __init__(
        self,
        code: ErrorCode,
        message: str,
        *,
        step: Step,
        peer: str = "",
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.code = code
        self.message = message
        self.step = step
        self.peer = peer
        self.outcome = outcome
        self.retry_after_s = retry_after_s

    def __str__(self) -> str:
        peer = f" at {self.peer}" if self.peer else ""
        return f"{self.code}: {self.message} (step {self.step}{peer})"

    @property
    def http_status(self) -> int:
        """Return the HTTP status for the code."""
        return HTTP_STATUS.get(self.code, DEFAULT_HTTP_STATUS)

    def as_body(self) -> dict[str, dict[str, str | float | None]]:
        """Return the JSON error body."""
        return {
            "error": {
                "code": self.code.value,
                "message": self.message,
                "step": self.step.value,
                "peer": self.peer,
                "outcome": self.outcome.value,
                "retry_after_s": self.retry_after_s,
            }
        }

    @classmethod
    def from_body(cls, body: object) -> AzurewickError:
        """Return the error that a JSON error body describes.

        Raises ValueError when the body is not a valid error body.
        """
        if not isinstance(body, dict) or not isinstance(
            body.get("error"), dict
        ):
            raise ValueError("JSON value is not an error body")
        fields = body["error"]
        try:
            return cls(
                ErrorCode(fields["code"]),
                str(fields["message"]),
                step=Step(fields["step"]),
                peer=str(fields.get("peer", "")),
                outcome=Outcome(fields["outcome"]),
                retry_after_s=fields.get("retry_after_s"),
            )
        except KeyError as err:
            raise ValueError(f"error body has no field {err}") from err
