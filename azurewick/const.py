"""Constants that several packages use."""

from __future__ import annotations

from typing import Final

HEADER_CLAIM_REPLAYED: Final = "X-Azurewick-Replayed"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_LOAD: Final = "X-Azurewick-Load"
HEADER_OFFER: Final = "X-Azurewick-Offer"
HEADER_OUTCOME: Final = "X-Azurewick-Outcome"
HEADER_REQUEST_CLASS: Final = "X-Request-Class"
HEADER_REQUEST_ID: Final = "X-Request-Id"
HEADER_RETRY_AFTER: Final = "Retry-After"

CONTENT_TYPE_EVENTS: Final = "text/event-stream"

PATH_AGENT_CANCEL: Final = "/v1/cancel"
PATH_AGENT_DISPATCH: Final = "/v1/dispatch"
PATH_CHAT_COMPLETIONS: Final = "/v1/chat/completions"
PATH_HEALTH: Final = "/health"
PATH_READY: Final = "/ready"
PREFIX_SERVICES: Final = "/services/"

# Tier 0 is the highest; a larger number is a lower tier.
HIGHEST_TIER: Final = 0
LOWEST_TIER: Final = 9

MAX_BODY_BYTES: Final = 1_048_576
MAX_HEADER_BYTES: Final = 16_384
MAX_HEADER_FIELDS: Final = 64

# An agent may dispatch tiers below the highest only for this long after its
# last contact with a gateway, or with a relay: a gateway that passes control
# data on. A gateway that can't reach an agent relies on this.
PERMIT_DURATION_S: Final = 5.0
# An admission floor stays in force for this long after its last renewal. The
# hysteresis keeps lower tiers out between two bursts of higher-tier requests.
ADMISSION_FLOOR_DURATION_S: Final = 5.0
SYNC_INTERVAL_S: Final = 2.0
# Three failed probes in a row, one per second, mark a peer or a backend
# server as unreachable within a few seconds.
PROBE_INTERVAL_S: Final = 1.0
PROBE_FAILURES_UNTIL_LEAVING: Final = 3
