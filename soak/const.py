"""Names and time limits of the soak test."""

from __future__ import annotations

from typing import Final

HOST: Final = "127.0.0.1"
CALLER_HOST: Final = "soak.example"
API_KEY: Final = "soak-key"
CUSTOMER: Final = "soak-customer"

SERVICE_PLAIN: Final = "plain"
SERVICE_NEXT: Final = "plain-next"
SERVICE_STREAM: Final = "stream"

PATH_BOOKING: Final = "/booking/"
PATH_LOOKUP: Final = "/lookup/"
PATH_DRAFT: Final = "/draft/"
# Each configuration routes this path to another service, so that a run shows
# which configuration was in force.
PATH_PROBE: Final = "/probe/"

ROUTE_TIMEOUT_S: Final = 4.0

# Time limits of the guarantees of the entry instances.

# From SIGTERM until an instance must have exited; part of its settings.
GRACE_S: Final = 8.0
# From a server's draining state in the store until no run starts there.
DRAIN_NOTICE_S: Final = 2.5
# From a configuration in the store until it must be in force.
CONFIGURATION_DELAY_S: Final = 2.5
# From the first run under a configuration until no older one may be used by
# the same process.
ROLLBACK_SLACK_S: Final = 0.25
# The guarantees hold only if no fault affected an instance for this long.
UNDISTURBED_WINDOW_S: Final = 3.0
# From the time limit of a request until its final answer, and from the
# disconnect of a caller until the end of its runs.
LATENESS_SLACK_S: Final = 0.5
# From the end of the last fault until callers must be served again.
RECOVERY_S: Final = 12.0
MAX_ATTEMPTS: Final = 2
