"""Names on the platform's wire."""

from __future__ import annotations

from typing import Final

ENV_NODE_FILE: Final = "AZUREWICK_NODE_FILE"

HEADER_AUTHORIZATION: Final = "Authorization"
# Time that the caller still waits, in milliseconds.
HEADER_DEADLINE: Final = "X-Deadline-Ms"
HEADER_EXPECT_INSTANCE: Final = "X-Expect-Instance"
HEADER_LAST_EVENT_ID: Final = "Last-Event-Id"
HEADER_LENGTH_HINT: Final = "X-Length-Hint"
# Set by a backend server that has rejected the request.
HEADER_NOT_EXECUTED: Final = "X-Not-Executed"
HEADER_PREFIX: Final = "X-Prefix-Hash"
HEADER_REQUEST_ID: Final = "X-Request-Id"
# Signature of the backend server over its whole answer.
HEADER_SIGNATURE: Final = "X-Response-Seal"
HEADER_TENANT: Final = "X-Tenant"
# Prompt tokens and the maximum of output tokens, separated by a comma.
HEADER_TOKENS: Final = "X-Token-Count"

AUTHORIZATION_SCHEME: Final = "token "

# Headers that concern one connection only.
HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers that only the scheduler may set towards a backend server.
OWN_HEADERS: Final = frozenset(
    {
        "authorization",
        "content-length",
        "kv-fetch",
        "kv-from",
        "x-deadline-ms",
        "x-expect-instance",
        "x-expect-version",
        "x-hold",
        "x-kv-backup",
        "x-pin-ms",
        "x-tenant",
    }
)

STATUS_MISDIRECTED: Final = 421

KIND_CONFIGURATION: Final = "config"
KIND_SERVERS: Final = "servers"
KIND_ROLLOUTS: Final = "rollouts"
