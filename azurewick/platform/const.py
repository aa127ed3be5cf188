"""Header names, collections and other names in the platform's protocols."""

from __future__ import annotations

from typing import Final

ENV_NODE_FILE: Final = "AZUREWICK_NODE_FILE"

HEADER_AUTHORIZATION: Final = "Authorization"
# How long the caller will still wait, in milliseconds.
HEADER_DEADLINE: Final = "X-Deadline-Ms"
HEADER_EXPECT_INSTANCE: Final = "X-Expect-Instance"
HEADER_LAST_EVENT_ID: Final = "Last-Event-Id"
HEADER_LENGTH_HINT: Final = "X-Length-Hint"
# Set by a backend server that has rejected a request without running it.
HEADER_NOT_EXECUTED: Final = "X-Not-Executed"
HEADER_PREFIX_HASHES: Final = "X-Prefix-Hash"
HEADER_REQUEST_ID: Final = "X-Request-Id"
# Signature that a backend server computes over its complete response.
HEADER_SIGNATURE: Final = "X-Response-Seal"
# "1" in all answers of a backend server that is about to stop.
HEADER_SERVER_LEAVING: Final = "Server-Leaving"
HEADER_TENANT: Final = "X-Tenant"
# Number of prompt tokens and maximum number of output tokens, separated by a
# comma.
HEADER_TOKEN_COUNTS: Final = "X-Token-Count"

AUTHORIZATION_SCHEME: Final = "token "

# Headers that apply to a single connection and must not be forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
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
# Headers to backend servers that only the scheduler may set; those that a
# caller has sent are removed.
SCHEDULER_HEADERS: Final = frozenset(
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

STATUS_MISDIRECTED_REQUEST: Final = 421

KIND_CONFIGURATION: Final = "config"
NAME_CONFIGURATION: Final = "main"
KIND_SERVERS: Final = "servers"
KIND_ROLLOUTS: Final = "rollouts"
KIND_EVACUATIONS: Final = "evacuations"
